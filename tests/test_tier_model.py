"""Promises of the tier (docs/design/tier.md) in the model: held by seeds, and by a checker.

Each mutation takes one safeguard away; the seed beside it is the first whose story then breaks one
of the promises named. What is left out has no story that shows it, and no place here.
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
SLOW = (500, 1_500_000)  # us that a switch may take where its slowness is what matters
Patch = pytest.MonkeyPatch


def _play(seed: int) -> tuple[int, str | None]:
    return seed, find_violation(draw_scenario(seed))


def test_the_promises_hold_through_random_faults() -> None:
    with ProcessPoolExecutor() as pool:
        violations = [result for result in pool.map(_play, range(SEEDS), chunksize=5) if result[1]]
    assert not violations, format_scenario(*shrink(draw_scenario(violations[0][0])))


def test_a_member_that_left_and_came_back_with_an_older_disk_keeps_no_change_waiting() -> None:
    """The story of seed 100328: promise 4, as a pending version waits for it for ever."""
    assert find_violation(draw_scenario(100_328)) is None


@pytest.mark.parametrize("seed", [401296, 401720, 403616, 501117, 501891])
def test_a_change_ends_after_its_proposer_died(seed: int) -> None:
    assert find_violation(draw_scenario_with_death(seed)) is None


def test_a_slow_switch_alone_breaks_nothing(monkeypatch: Patch) -> None:
    monkeypatch.setattr("sailhitch.model.tier_process.APPLY_DURATION_RANGE", SLOW)
    assert [seed for seed in range(15) if find_violation(draw_scenario(seed))] == []


def test_a_run_is_a_function_of_story_and_seed() -> None:
    ends = [play(draw_scenario(7)) for _ in range(2)]
    assert ends[0].kernel.event_count == ends[1].kernel.event_count
    assert ends[0].checker.chosen == ends[1].checker.chosen
    assert ends[0].checker.write_count > 1000


# --- Mutations


def _answers_before_the_sync(patch: Patch) -> None:
    real = Member.take_effects

    def take(self: Member) -> list[Any]:
        out = real(self)
        return sorted(out, key=lambda one: isinstance(one, Persist))

    patch.setattr(Member, "take_effects", take)


def _acts_on_new_before_active(patch: Patch) -> None:
    _views(patch, lambda world, acting: acting.pending or acting.active)


def _acts_on_old_until_active(patch: Patch) -> None:
    _views(patch, lambda world, acting: acting.active)


def _views(patch: Patch, chosen: Callable[[World, AppliedVersions], Any]) -> None:
    real = TierProcess._apply

    def switch(self: TierProcess, acting: AppliedVersions) -> None:
        real(self, acting)
        self.permitted_acts = self.world.permitted(chosen(self.world, acting).digest)

    patch.setattr(TierProcess, "_apply", switch)


def _confirms_before_it_acts(patch: Patch) -> None:
    patch.setattr("sailhitch.model.tier_process.APPLY_DURATION_RANGE", SLOW)
    # Contents that it lets go of too early would be found out first.
    patch.setattr(ContentExchange, "release_before", lambda self, revision: None)
    real = TierProcess.perform

    def happen(self: TierProcess, effect: Send | ApplyVersions | JobCompleted | LogEvent) -> None:
        real(self, effect)
        if isinstance(effect, ApplyVersions):
            assert self.member is not None
            self.member.confirm_applied(effect.versions.revision, self.clock())

    patch.setattr(TierProcess, "perform", happen)


def _accepts_an_older_ballot(patch: Patch) -> None:
    real = Acceptor.accept

    def accept(self: Acceptor, message: Any) -> Any:
        vote = self.vote
        if message.ballot < vote.promised:
            self.vote = type(vote)(message.ballot, vote.accepted, vote.stamp)
        return real(self, message)

    patch.setattr(Acceptor, "accept", accept)


def _ignores_what_was_accepted(patch: Patch) -> None:
    real = Round._choose

    def choose(self: Round) -> None:
        first = min(self._promises, key=lambda v: self._promises[v].accepted is not None)
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


def _votes_from_any_disk(patch: Patch) -> None:
    patch.setattr(Acceptor, "observe_stamp", lambda self, stamp: False)

    def heard(self: Acceptor, *_: Any) -> None:
        self.mode = VoterMode.VOTING

    patch.setattr(Acceptor, "on_recovery_reply", heard)


def _acts_before_it_has_heard(patch: Patch) -> None:
    real = Member.__init__

    def init(self: Member, *args: Any) -> None:
        real(self, *args)
        if self.chosen is not None:
            self._register.has_read_register = True
            self._register.apply_chosen()

    patch.setattr(Member, "__init__", init)


def _trusts_a_timer(patch: Patch) -> None:
    patch.setattr(PendingChange, "waiting_for", lambda self: [])


def _makes_a_roster_from_one_it_does_not_have(patch: Patch) -> None:
    patch.setattr(RegisterView, "is_caught_up", lambda self: self.chosen is not None)


def _grants_to_those_behind(patch: Patch) -> None:
    real = Voter.grant
    patch.setattr(
        Voter, "grant", lambda self, name, poll, floor, now: real(self, name, poll, 0, now)
    )
    patch.setattr(GrantTable, "record", lambda self, name, now: None)


def _takes_a_lease_for_lapsed_too_early(patch: Patch) -> None:
    patch.setattr(
        GrantTable, "has_expired", lambda self, name, now: now - self.since > self.length // 4
    )


def _keeps_a_lease_for_ever(patch: Patch) -> None:
    patch.setattr("sailhitch.tier.lease.Lease.expires_at", lambda self: 1 << 62)


def _takes_a_root_for_its_tree(patch: Patch) -> None:
    real = ContentStore._has_content

    def has_one(self: ContentStore, digest: str) -> bool:
        root = root_of(digest)
        return real(self, digest) if root is None else root in self._pages

    patch.setattr(ContentStore, "_has_content", has_one)


def _lets_go_of_what_is_applied(patch: Patch) -> None:
    patch.setattr(ContentExchange, "retain_for_apply", lambda self, state: None)


S = 1_000_000
# g2 hears nothing of a change that g1 and g3 decide; then g3 is away, and g1 without its disk.
LOST = Scenario(
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
# The same with the disk of a day before the change put back.
OLD = msgspec.structs.replace(
    LOST,
    events=tuple(
        msgspec.structs.replace(one, kind="old", value=0.3) if one.kind == "lost" else one
        for one in LOST.events
    ),
)

# g1 comes back with an empty disk while most of what is said is lost, and two others are cut off.
DEAF = Scenario(
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

# Each says of another that it is gone, until nobody is in any more.
ALL_OUT = Scenario(
    1,
    3,
    3,
    3 * S,
    tuple(Event(int((4.8 + 1.5 * i) * S), "gone", (i,), S) for i in range(3)),
)

# With the seed of a story that shows it, others follow where it does so no more; or with a story.
MUTATIONS: list[tuple[Callable[[Patch], None], int | Scenario, str]] = [
    (_answers_before_the_sync, 0, "1"),
    (_acts_on_new_before_active, 1, "2"),
    (_acts_on_old_until_active, 6, "2"),
    (_confirms_before_it_acts, 3, "2"),
    (_accepts_an_older_ballot, 3, "1"),
    (_ignores_what_was_accepted, 1, "1"),
    (_reads_from_one_voter, 1, "12"),
    (_votes_from_any_disk, LOST, "14"),
    (_votes_from_any_disk, OLD, "14"),
    (_acts_before_it_has_heard, 50, "12"),
    (_trusts_a_timer, 2, "2"),
    (_makes_a_roster_from_one_it_does_not_have, DEAF, "24"),
    (_grants_to_those_behind, 15, "2"),
    (_takes_a_lease_for_lapsed_too_early, 37, "2"),
    (_keeps_a_lease_for_ever, 88, "2"),
    (_takes_a_root_for_its_tree, 0, "1"),
    (_lets_go_of_what_is_applied, 0, "1"),
]


@pytest.mark.parametrize(
    ("mutation", "first", "promises"),
    MUTATIONS,
    ids=[f"{one[0].__name__[1:]}-{i}" for i, one in enumerate(MUTATIONS)],
)
def test_each_safeguard_is_missed(
    mutation: Callable[[Patch], None], first: int | Scenario, promises: str, monkeypatch: Patch
) -> None:
    if isinstance(first, Scenario):
        scenarios = [msgspec.structs.replace(first, seed=seed) for seed in range(40)]
    else:
        scenarios = [draw_scenario(seed) for seed in (first, *range(60))]
    mutation(monkeypatch)
    violation = next(
        (violation for scenario in scenarios if (violation := find_violation(scenario))), None
    )
    assert violation is not None
    assert violation[0] in promises, violation


def test_no_story_told_here_breaks_a_promise_by_itself() -> None:
    for scenario in (LOST, OLD, DEAF, ALL_OUT):
        for seed in range(5):
            assert find_violation(msgspec.structs.replace(scenario, seed=seed)) is None


@pytest.mark.parametrize("scenario", [LOST, OLD], ids=["lost", "old"])
def test_a_lost_or_an_old_disk_of_a_voter_takes_nothing_back(scenario: Scenario) -> None:
    world = play(scenario)
    assert world.checker.latest is not None
    assert world.checker.latest.revision >= 3


def test_a_failing_story_is_cut_down_to_a_short_one(monkeypatch: Patch) -> None:
    _acts_on_old_until_active(monkeypatch)
    seed = next(s for s in range(50) if find_violation(draw_scenario(s)))
    small, violation = shrink(draw_scenario(seed))
    assert len(small.events) <= 2 < len(draw_scenario(seed).events)
    assert "propose" in format_scenario(small, violation)
