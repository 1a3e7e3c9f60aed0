"""The tier's promises (docs/design/tier.md) in the model: random scenarios, and mutations.

Each mutation removes one safeguard. Beside it is the first seed whose scenario then violates one of
the promises named, or a scenario written for it. Safeguards whose removal no known scenario
detects are not listed.
"""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import msgspec
import pytest

from sailhitch.model.scenario import (
    Event,
    Scenario,
    draw_scenario,
    draw_scenario_with_death,
    find_violation,
    format_scenario,
    play,
    shrink,
)
from sailhitch.model.tier import TierProcess, World
from sailhitch.tier.content_exchange import ContentExchange
from sailhitch.tier.content_store import ContentStore, root_of
from sailhitch.tier.effects import (
    AppliedVersions,
    ApplyVersions,
    JobCompleted,
    LogEvent,
    Persist,
    Send,
)
from sailhitch.tier.lease import GrantTable
from sailhitch.tier.member import Member
from sailhitch.tier.pending_change import PendingChange
from sailhitch.tier.proposer import QuorumRead
from sailhitch.tier.register import Acceptor, Round, VoterMode
from sailhitch.tier.register_view import RegisterView
from sailhitch.tier.voter import Voter

SEEDS = 200
SLOW_APPLY = (500, 1_500_000)  # us, the range in which a slow process applies versions
Patch = pytest.MonkeyPatch


def _play(seed: int) -> tuple[int, str | None]:
    return seed, find_violation(draw_scenario(seed))


def test_the_promises_hold_through_random_faults() -> None:
    with ProcessPoolExecutor() as pool:
        violations = [result for result in pool.map(_play, range(SEEDS), chunksize=5) if result[1]]
    assert not violations, format_scenario(*shrink(draw_scenario(violations[0][0])))


def test_a_member_that_left_and_came_back_with_an_older_disk_keeps_no_change_waiting() -> None:
    """Seed 100328 violated promise 4: a pending version waited for the member for ever."""
    assert find_violation(draw_scenario(100_328)) is None


@pytest.mark.parametrize("seed", [401296, 401720, 403616, 501117, 501891])
def test_a_change_ends_after_its_proposer_died(seed: int) -> None:
    assert find_violation(draw_scenario_with_death(seed)) is None


def test_a_slow_apply_alone_violates_no_promise(monkeypatch: Patch) -> None:
    monkeypatch.setattr("sailhitch.model.tier_process.APPLY_DURATION_RANGE", SLOW_APPLY)
    assert [seed for seed in range(15) if find_violation(draw_scenario(seed))] == []


def test_a_run_is_a_function_of_scenario_and_seed() -> None:
    worlds = [play(draw_scenario(7)) for _ in range(2)]
    assert worlds[0].kernel.event_count == worlds[1].kernel.event_count
    assert worlds[0].checker.chosen == worlds[1].checker.chosen
    assert worlds[0].checker.write_count > 1000


# --- Mutations


def _sends_before_the_sync(patch: Patch) -> None:
    real = Member.take_effects

    def take(self: Member) -> list[Any]:
        effects = real(self)
        return sorted(effects, key=lambda effect: isinstance(effect, Persist))

    patch.setattr(Member, "take_effects", take)


def _acts_on_pending_before_active(patch: Patch) -> None:
    _patch_permitted_acts(patch, lambda world, versions: versions.pending or versions.active)


def _acts_on_old_until_active(patch: Patch) -> None:
    _patch_permitted_acts(patch, lambda world, versions: versions.active)


def _patch_permitted_acts(patch: Patch, chosen: Callable[[World, AppliedVersions], Any]) -> None:
    """Have each process act by the version that `chosen` returns."""
    real = TierProcess._apply

    def apply(self: TierProcess, versions: AppliedVersions) -> None:
        real(self, versions)
        self.permitted_acts = self.world.permitted(chosen(self.world, versions).digest)

    patch.setattr(TierProcess, "_apply", apply)


def _confirms_before_it_has_applied(patch: Patch) -> None:
    patch.setattr("sailhitch.model.tier_process.APPLY_DURATION_RANGE", SLOW_APPLY)
    # Otherwise the early release of contents would be detected first.
    patch.setattr(ContentExchange, "release_before", lambda self, revision: None)
    real = TierProcess.perform

    def perform(self: TierProcess, effect: Send | ApplyVersions | JobCompleted | LogEvent) -> None:
        real(self, effect)
        if isinstance(effect, ApplyVersions):
            assert self.member is not None
            self.member.confirm_applied(effect.versions.revision, self.clock())

    patch.setattr(TierProcess, "perform", perform)


def _accepts_an_older_ballot(patch: Patch) -> None:
    real = Acceptor.accept

    def accept(self: Acceptor, message: Any) -> Any:
        vote = self.vote
        if message.ballot < vote.promised:
            self.vote = type(vote)(message.ballot, vote.accepted, vote.stamp)
        return real(self, message)

    patch.setattr(Acceptor, "accept", accept)


def _ignores_accepted_states(patch: Patch) -> None:
    real = Round._choose

    def choose(self: Round) -> None:
        first = min(self._promises, key=lambda voter: self._promises[voter].accepted is not None)
        self._promises = {first: self._promises[first]} | self._promises
        accepted = self._promises[first].accepted
        for voter, promise in self._promises.items():
            self._promises[voter] = type(promise)(
                promise.ballot, True, promise.promised, accepted, promise.stamp
            )
        real(self)

    patch.setattr(Round, "_choose", choose)


def _reads_from_one_voter(patch: Patch) -> None:
    real = QuorumRead.__init__

    def init(self: QuorumRead, *args: Any) -> None:
        real(self, *args)
        self.quorum = 1

    patch.setattr(QuorumRead, "__init__", init)


def _votes_without_a_disk_check(patch: Patch) -> None:
    patch.setattr(Acceptor, "observe_stamp", lambda self, stamp: False)

    def on_recovery_reply(self: Acceptor, *_: Any) -> None:
        self.mode = VoterMode.VOTING

    patch.setattr(Acceptor, "on_recovery_reply", on_recovery_reply)


def _acts_before_the_register_read(patch: Patch) -> None:
    real = Member.__init__

    def init(self: Member, *args: Any) -> None:
        real(self, *args)
        if self.chosen is not None:
            self._register.has_read_register = True
            self._register.apply_chosen()

    patch.setattr(Member, "__init__", init)


def _activates_without_confirmations(patch: Patch) -> None:
    patch.setattr(PendingChange, "waiting_for", lambda self: [])


def _changes_a_configuration_that_it_lacks(patch: Patch) -> None:
    patch.setattr(RegisterView, "is_caught_up", lambda self: self.chosen is not None)


def _grants_leases_to_members_behind(patch: Patch) -> None:
    real = Voter.grant
    patch.setattr(
        Voter, "grant", lambda self, name, request, required, now: real(self, name, request, 0, now)
    )
    patch.setattr(GrantTable, "record", lambda self, name, now: None)


def _reports_leases_expired_too_early(patch: Patch) -> None:
    patch.setattr(
        GrantTable, "has_expired", lambda self, name, now: now - self.since > self.length // 4
    )


def _never_lets_its_lease_expire(patch: Patch) -> None:
    patch.setattr("sailhitch.tier.lease.Lease.expires_at", lambda self: 1 << 62)


def _takes_a_root_page_for_its_tree(patch: Patch) -> None:
    real = ContentStore._has_content

    def has_content(self: ContentStore, digest: str) -> bool:
        root = root_of(digest)
        return real(self, digest) if root is None else root in self._pages

    patch.setattr(ContentStore, "_has_content", has_content)


def _releases_applied_contents(patch: Patch) -> None:
    patch.setattr(ContentExchange, "retain_for_apply", lambda self, state: None)


S = 1_000_000
# g2 is cut off while g1 and g3 choose a change; then g1 loses its disk, and g3 is down.
LOST_DISK = Scenario(
    1,
    3,
    3,
    None,
    (
        Event(4 * S, "part", (1,), 2 * S),
        Event(int(4.5 * S), "propose", (2,), 0, 1.0),
        Event(int(5.8 * S), "lost", (0,), S // 5),
        Event(int(5.9 * S), "kill", (2,), 5 * S),
    ),
)
# The same, but g1's disk is replaced by an earlier copy, from before the change.
OUTDATED_DISK = msgspec.structs.replace(
    LOST_DISK,
    events=tuple(
        msgspec.structs.replace(event, kind="old", value=0.3) if event.kind == "lost" else event
        for event in LOST_DISK.events
    ),
)

# g1 restarts with an empty disk while most messages are lost, and two other members are cut off.
LOST_DISK_AND_MESSAGES = Scenario(
    1,
    5,
    3,
    None,
    (
        Event(4 * S, "loss", (0,), 4 * S, 0.7),
        Event(int(4.5 * S), "part", (3, 4), 9 * S),
        Event(5 * S, "lost", (0,), S // 5),
        Event(9 * S, "propose", (2,), 0, 0.0),
    ),
)

# Each member evicts another, until the configuration has no members.
ALL_EVICTED = Scenario(
    1,
    3,
    3,
    3 * S,
    tuple(Event(int((4.8 + 1.5 * i) * S), "gone", (i,), S) for i in range(3)),
)

# A mutation, then a scenario that detects it, or the first seed that does; after a change of the
# model that seed may no longer detect it, so further seeds are tried. Last the promises violated.
MUTATIONS: list[tuple[Callable[[Patch], None], int | Scenario, str]] = [
    (_sends_before_the_sync, 0, "1"),
    (_acts_on_pending_before_active, 1, "2"),
    (_acts_on_old_until_active, 6, "2"),
    (_confirms_before_it_has_applied, 3, "2"),
    (_accepts_an_older_ballot, 3, "1"),
    (_ignores_accepted_states, 1, "1"),
    (_reads_from_one_voter, 1, "12"),
    (_votes_without_a_disk_check, LOST_DISK, "14"),
    (_votes_without_a_disk_check, OUTDATED_DISK, "14"),
    (_acts_before_the_register_read, 50, "12"),
    (_activates_without_confirmations, 2, "2"),
    (_changes_a_configuration_that_it_lacks, LOST_DISK_AND_MESSAGES, "24"),
    (_grants_leases_to_members_behind, 15, "2"),
    (_reports_leases_expired_too_early, 37, "2"),
    (_never_lets_its_lease_expire, 88, "2"),
    (_takes_a_root_page_for_its_tree, 0, "1"),
    (_releases_applied_contents, 0, "1"),
]


@pytest.mark.parametrize(
    ("mutation", "detected_by", "promises"),
    MUTATIONS,
    ids=[f"{case[0].__name__[1:]}-{i}" for i, case in enumerate(MUTATIONS)],
)
def test_the_removal_of_each_safeguard_is_detected(
    mutation: Callable[[Patch], None],
    detected_by: int | Scenario,
    promises: str,
    monkeypatch: Patch,
) -> None:
    if isinstance(detected_by, Scenario):
        scenarios = [msgspec.structs.replace(detected_by, seed=seed) for seed in range(40)]
    else:
        scenarios = [draw_scenario(seed) for seed in (detected_by, *range(60))]
    mutation(monkeypatch)
    violation = next(
        (violation for scenario in scenarios if (violation := find_violation(scenario))), None
    )
    assert violation is not None
    assert violation[0] in promises, violation


def test_no_scenario_here_violates_a_promise_without_a_mutation() -> None:
    for scenario in (LOST_DISK, OUTDATED_DISK, LOST_DISK_AND_MESSAGES, ALL_EVICTED):
        for seed in range(5):
            assert find_violation(msgspec.structs.replace(scenario, seed=seed)) is None


@pytest.mark.parametrize("scenario", [LOST_DISK, OUTDATED_DISK], ids=["lost", "old"])
def test_a_lost_or_outdated_disk_of_a_voter_loses_no_change(scenario: Scenario) -> None:
    world = play(scenario)
    assert world.checker.latest is not None
    assert world.checker.latest.revision >= 3


def test_a_failing_scenario_is_shrunk(monkeypatch: Patch) -> None:
    _acts_on_old_until_active(monkeypatch)
    seed = next(seed for seed in range(50) if find_violation(draw_scenario(seed)))
    small, violation = shrink(draw_scenario(seed))
    assert len(small.events) <= 2 < len(draw_scenario(seed).events)
    assert "propose" in format_scenario(small, violation)
