"""What was really decided and done, and whether a promise was broken.

It looks at disks and at acts, never at what a member says of itself.
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

RECOVERY = 10_000_000  # us; promise 5
Allows = Callable[[str, int], bool]  # whether the version with this digest permits an act


class InvariantViolationError(AssertionError):
    """A promise was broken; the text says which and by what."""


@dataclass(frozen=True, slots=True)
class WriteEvent:
    """Something that was done."""

    at: int
    member: str
    act: int
    revision: int  # of the rules that it was done under


class InvariantChecker:
    """Holds the promises of the design note at every event, by its numbers."""

    def __init__(self, voters: tuple[str, ...], allows: Allows) -> None:
        self.need = majority(len(voters))
        self.allows = allows
        self.votes: dict[Ballot, set[str]] = {}
        self.states: dict[Ballot, RegisterState] = {}
        self.chosen: dict[int, RegisterState] = {}  # by turn
        self._ballots: list[Ballot] = []  # of what was decided, lowest first
        self.latest: RegisterState | None = None
        self.in_force: Version | None = None  # active, and somebody acts by it or was told
        self.in_force_at = self.in_force_turn = 0
        self.write_count = 0

    # --- Promise 1: one line

    def on_vote(self, voter: str, kept: bytes, has: Callable[[str], bool]) -> None:
        """A voter's vote is on its disk; `has` says whether a content is there too, whole."""
        vote = msgspec.msgpack.decode(kept, type=Vote)
        if vote.accepted is None:
            return
        ballot = vote.accepted.ballot
        head = vote.accepted.state
        lacking = [digest for digest in content_digests(head) if not has(digest)]
        if lacking:
            raise InvariantViolationError(
                f"1: {voter} has accepted turn {head.revision} without {lacking}"
            )
        if self.states.setdefault(ballot, head) != head:
            raise InvariantViolationError(f"1: two heads under one ballot {ballot}")
        voters = self.votes.setdefault(ballot, set())
        voters.add(voter)
        if len(voters) == self.need:
            self._choose(ballot, head)

    def _choose(self, ballot: Ballot, head: RegisterState) -> None:
        """In the order of ballots, which is that of the line; a low one may be decided late."""
        at = bisect.bisect(self._ballots, ballot)
        self._ballots.insert(at, ballot)
        if at:
            self._check(self.states[self._ballots[at - 1]], head)
        if at + 1 < len(self._ballots):
            self._check(head, self.states[self._ballots[at + 1]])
        else:
            self.latest = head
        self.chosen[head.revision] = head

    def _check(self, last: RegisterState, head: RegisterState) -> None:
        if head.revision < last.revision or (head.revision == last.revision and head != last):
            raise InvariantViolationError(
                f"1: turn {last.revision} was decided, and then another turn {head.revision}"
            )
        if head.revision == last.revision + 1 and not _follows(last, head):
            raise InvariantViolationError(
                f"1: turn {head.revision} does not follow from the one before: {head}"
            )

    def on_result(self, by: str, done: JobCompleted, change: str) -> None:
        """A proposer was told how its change ended."""
        head = done.state
        if self.chosen.get(head.revision) != head:
            raise InvariantViolationError(
                f"1: {by} was told of turn {head.revision}, which was not decided so"
            )
        found = (
            (head.active, head.traffic_policy)
            if done.result is ProposalResult.ACTIVE
            else (head.pending,)
        )
        here = any(one is not None and one.change_id == change for one in found)
        if done.result in (ProposalResult.ACTIVE, ProposalResult.PENDING) and not here:
            raise InvariantViolationError(
                f"1: {by} was told that {change} is {done.result.value}, and it is not"
            )

    # --- Promise 2: no contradiction

    def on_apply_requested(self, by: str, acting: AppliedVersions) -> None:
        """A process is told to go by this."""
        head = self.chosen.get(acting.revision)
        told = (acting.active, acting.pending, acting.traffic_policy)
        if head is None or (head.active, head.pending, head.traffic_policy) != told:
            raise InvariantViolationError(
                f"1: {by} acts by turn {acting.revision}, which was not decided"
            )

    def on_applied(self, now: int, acting: AppliedVersions) -> None:
        """A process goes by this from here on."""
        if acting.revision > self.in_force_turn:
            self.in_force_turn = acting.revision
            if self.in_force is None or self.in_force.serial != acting.active.serial:
                self.in_force = acting.active
                self.in_force_at = now

    def on_write(self, deed: WriteEvent) -> None:
        """A process has done something that rules may forbid."""
        self.write_count += 1
        if self.in_force is not None and not self.allows(self.in_force.digest, deed.act):
            after = (deed.at - self.in_force_at) / 1e6
            raise InvariantViolationError(
                f"2: {deed.member} did {deed.act} under turn {deed.revision}, {after:.3f} s after "
                f"serial {self.in_force.serial}, which forbids it, was in force"
            )

    # --- Promise 5: who is there

    def on_declared_dead(self, now: int, by: str, name: str, trouble: int) -> None:
        """One takes another for dead; `trouble` is when one of them was last out of reach."""
        if now - trouble > RECOVERY:
            raise InvariantViolationError(
                f"5: {by} takes {name} for dead, {(now - trouble) / 1e6:.1f} s after either of "
                "them was out of reach"
            )

    def check_liveness(self, by: str, dead: set[str], up: set[str], all_: Iterable[str]) -> None:
        """So long after the last fault, at the latest, each knows who runs and who does not."""
        wrong = dead ^ {name for name in all_ if name not in up}
        if wrong:
            raise InvariantViolationError(f"5: {by} is wrong about {', '.join(sorted(wrong))}")

    # --- Promise 4: it ends

    def check_known(self, turns: dict[str, int]) -> None:
        """So long after the last fault, at the latest, all that run know what was decided."""
        for name, turn in turns.items():
            if self.latest is not None and turn < self.latest.revision:
                raise InvariantViolationError(
                    f"4: {name} knows turn {turn}; {self.latest.revision} was decided"
                )

    def check_ended(self, statuses: dict[str, MemberStatus], revisions: dict[str, int]) -> None:
        """So long after the last fault, at the latest, nothing is pending and all act by one."""
        if self.latest is None:
            raise InvariantViolationError("4: nothing was ever decided")
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


def _follows(last: RegisterState, head: RegisterState) -> bool:
    """Return whether one head may be made from the other, by what the changes are for."""
    same = head.active == last.active
    if head.traffic_policy != last.traffic_policy:
        base = 0 if last.traffic_policy is None else last.traffic_policy.serial
        rest = (head.active, head.pending, head.configuration_digest) == (
            last.active,
            last.pending,
            last.configuration_digest,
        )
        return rest and head.traffic_policy is not None and head.traffic_policy.base == base
    if last.pending is None:
        if head.pending is not None:
            return same and head.pending.base == last.active.serial
        return same or head.active.base == last.active.serial
    if head.pending is not None:
        return same and head.pending == last.pending
    return same or head.active == last.pending
