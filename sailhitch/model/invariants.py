"""Checks the design note's promises against the states chosen and the writes made.

The evidence is what is on the disks and what was written, never a member's own report.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from ..tier.config import MemberStatus
from ..tier.effects import AppliedVersions, JobCompleted, ProposalResult
from ..tier.messages import Ballot, RegisterState, Version
from ..tier.register import Vote, majority
from ..tier.voter import content_digests

MAX_RECOVERY = 10_000_000  # us; promise 5
Allows = Callable[[str, int], bool]  # whether the version of a digest permits an act


class InvariantViolationError(AssertionError):
    """A promise was broken; the text starts with its number and says how."""


@dataclass(frozen=True, slots=True)
class WriteEvent:
    """A write of a member: an act that its rules must permit."""

    at: int
    member: str
    act: int
    revision: int  # of the state that the member applied


class InvariantChecker:
    """Checks the design note's promises, which it numbers, at every event."""

    def __init__(self, voters: tuple[str, ...], allows: Allows) -> None:
        self.quorum = majority(len(voters))
        self.allows = allows
        self.votes: dict[Ballot, set[str]] = {}  # the voters that accepted each ballot's state
        self.states: dict[Ballot, RegisterState] = {}
        self.chosen: dict[int, RegisterState] = {}  # by revision
        self._ballots: list[Ballot] = []  # of the chosen states, in order
        self.latest: RegisterState | None = None
        self.in_force: Version | None = None  # the latest active version that a member has applied
        self.in_force_at = 0
        self.in_force_revision = 0
        self.write_count = 0

    # --- Promise 1: one sequence of states

    def on_vote(self, voter: str, encoded: bytes, has: Callable[[str], bool]) -> None:
        """Record a vote on a disk; `has` tells whether a content is on it, complete."""
        vote = msgspec.msgpack.decode(encoded, type=Vote)
        if vote.accepted is None:
            return
        ballot = vote.accepted.ballot
        state = vote.accepted.state
        missing = [digest for digest in content_digests(state) if not has(digest)]
        if missing:
            raise InvariantViolationError(
                f"1: {voter} accepted revision {state.revision} without the contents {missing}"
            )
        if self.states.setdefault(ballot, state) != state:
            raise InvariantViolationError(f"1: two states under one ballot {ballot}")
        voters = self.votes.setdefault(ballot, set())
        voters.add(voter)
        if len(voters) == self.quorum:
            self._choose(ballot, state)

    def _choose(self, ballot: Ballot, state: RegisterState) -> None:
        """Insert a chosen state by its ballot, which may be lower than those already chosen."""
        index = bisect.bisect(self._ballots, ballot)
        self._ballots.insert(index, ballot)
        if index:
            self._check_successor(self.states[self._ballots[index - 1]], state)
        if index + 1 < len(self._ballots):
            self._check_successor(state, self.states[self._ballots[index + 1]])
        else:
            self.latest = state
        self.chosen[state.revision] = state

    def _check_successor(self, previous: RegisterState, state: RegisterState) -> None:
        if state.revision < previous.revision or (
            state.revision == previous.revision and state != previous
        ):
            raise InvariantViolationError(
                f"1: revision {previous.revision} was chosen, and then a different "
                f"revision {state.revision}"
            )
        if state.revision == previous.revision + 1 and not _is_successor(previous, state):
            raise InvariantViolationError(
                f"1: revision {state.revision} is not a permitted change of the previous: {state}"
            )

    def on_result(self, member: str, completed: JobCompleted, change: str) -> None:
        """Check the result of a change that a proposer received."""
        state = completed.state
        if self.chosen.get(state.revision) != state:
            raise InvariantViolationError(
                f"1: {member} received revision {state.revision} in a result, but it was not chosen"
            )
        version = completed.version
        is_own = version is not None and version.change_id == change
        if completed.result is ProposalResult.ACTIVE:
            is_right = is_own and self._was_active(change)
        elif completed.result is ProposalResult.PENDING:
            is_right = is_own and state.pending == version
        else:
            # A refusal is final: the operator makes the change again.
            is_right = completed.result is ProposalResult.UNKNOWN or not self._was_active(change)
        if not is_right:
            raise InvariantViolationError(
                f"1: {member} received {change} as {completed.result.value}, but it is not"
            )

    def _was_active(self, change: str) -> bool:
        """Return whether a change is or was active in a chosen state."""
        return any(
            version is not None and version.change_id == change
            for state in self.chosen.values()
            for version in (state.active, state.traffic_policy)
        )

    # --- Promise 2: no contradicting writes

    def on_apply_requested(self, member: str, versions: AppliedVersions) -> None:
        """Check the versions that a core asks its process to apply."""
        state = self.chosen.get(versions.revision)
        requested = (versions.active, versions.pending, versions.traffic_policy)
        if state is None or (state.active, state.pending, state.traffic_policy) != requested:
            raise InvariantViolationError(
                f"1: {member} applies revision {versions.revision}, which was not chosen"
            )

    def on_applied(self, now: int, versions: AppliedVersions) -> None:
        """Record the versions that a process now applies, unless another applied newer ones."""
        if versions.revision > self.in_force_revision:
            self.in_force_revision = versions.revision
            if self.in_force is None or self.in_force.serial != versions.active.serial:
                self.in_force = versions.active
                self.in_force_at = now

    def on_write(self, write: WriteEvent) -> None:
        """Check a write of a process against the version in force."""
        self.write_count += 1
        if self.in_force is not None and not self.allows(self.in_force.digest, write.act):
            seconds_after = (write.at - self.in_force_at) / 1e6
            raise InvariantViolationError(
                f"2: {write.member} performed act {write.act} under revision {write.revision}, "
                f"{seconds_after:.3f} s after serial {self.in_force.serial}, which forbids it, "
                "took effect"
            )

    # --- Promise 5: liveness

    def on_declared_dead(self, now: int, observer: str, name: str, last_unreachable: int) -> None:
        """Check that a member may be declared dead.

        `last_unreachable` is the last time at which it or the observer could not be reached.
        """
        if now - last_unreachable > MAX_RECOVERY:
            seconds_after = (now - last_unreachable) / 1e6
            raise InvariantViolationError(
                f"5: {observer} declares {name} dead, {seconds_after:.1f} s after either of "
                "them was last unreachable"
            )

    def check_liveness(
        self, observer: str, dead: set[str], up: set[str], members: Iterable[str]
    ) -> None:
        """Check, long after the last fault, that a member knows which members are down."""
        wrong = dead ^ {name for name in members if name not in up}
        if wrong:
            raise InvariantViolationError(
                f"5: {observer} is wrong about which members are dead: {', '.join(sorted(wrong))}"
            )

    # --- Promise 4: termination

    def check_latest_known(self, revisions: dict[str, int]) -> None:
        """Check, long after the last fault, that all live members know the latest state."""
        for name, revision in revisions.items():
            if self.latest is not None and revision < self.latest.revision:
                raise InvariantViolationError(
                    f"4: {name} knows revision {revision}, but {self.latest.revision} was chosen"
                )

    def check_ended(self, statuses: dict[str, MemberStatus], revisions: dict[str, int]) -> None:
        """Check, long after the last fault, that nothing is pending and all apply one state."""
        if self.latest is None:
            raise InvariantViolationError("4: no state was ever chosen")
        if self.latest.pending is not None:
            raise InvariantViolationError(
                f"4: serial {self.latest.pending.serial} is still pending"
            )
        for name, status in statuses.items():
            if status is not MemberStatus.ACTIVE or revisions[name] != self.latest.revision:
                raise InvariantViolationError(
                    f"4: {name} is {status.name} at revision {revisions[name]}, "
                    f"not ACTIVE at {self.latest.revision}"
                )


def _is_successor(previous: RegisterState, state: RegisterState) -> bool:
    """Return whether one permitted change leads from the previous state to this one."""
    keeps_active = state.active == previous.active
    if state.traffic_policy != previous.traffic_policy:
        base = 0 if previous.traffic_policy is None else previous.traffic_policy.serial
        keeps_others = (state.active, state.pending, state.configuration_digest) == (
            previous.active,
            previous.pending,
            previous.configuration_digest,
        )
        return (
            keeps_others and state.traffic_policy is not None and state.traffic_policy.base == base
        )
    if previous.pending is None:
        if state.pending is not None:
            return keeps_active and state.pending.base == previous.active.serial
        return keeps_active or state.active.base == previous.active.serial
    if state.pending is not None:
        return keeps_active and state.pending == previous.pending
    return keeps_active or state.active == previous.pending
