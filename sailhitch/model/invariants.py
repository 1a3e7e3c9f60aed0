"""What was really decided and done, and whether a promise was broken.

It looks at disks and at acts, never at what a member says of itself.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from ..tier.effects import Acting, Done, End
from ..tier.messages import Ballot, Head, Version
from ..tier.register import Vote, majority
from ..tier.voter import digests

RECOVERY = 10_000_000  # us; promise 5
Allows = Callable[[str, int], bool]  # whether the version with this digest permits an act


class BrokenError(AssertionError):
    """A promise was broken; the text says which and by what."""


@dataclass(frozen=True, slots=True)
class Deed:
    """Something that was done."""

    at: int
    by: str
    act: int
    turn: int  # of the rules that it was done under


class Truth:
    """Holds the promises of the design note at every event, by its numbers."""

    def __init__(self, voters: tuple[str, ...], allows: Allows) -> None:
        self.need, self.allows = majority(len(voters)), allows
        self.votes: dict[Ballot, set[str]] = {}
        self.heads: dict[Ballot, Head] = {}
        self.decided: dict[int, Head] = {}  # by turn
        self._ballots: list[Ballot] = []  # of what was decided, lowest first
        self.latest: Head | None = None
        self.in_force: Version | None = None  # active, and somebody acts by it or was told
        self.in_force_at = self.in_force_turn = 0
        self.deeds = 0

    # --- Promise 1: one line

    def voted(self, voter: str, kept: bytes, has: Callable[[str], bool]) -> None:
        """A voter's vote is on its disk; `has` says whether a content is there too, whole."""
        vote = msgspec.msgpack.decode(kept, type=Vote)
        if vote.accepted is None:
            return
        ballot, head = vote.accepted.ballot, vote.accepted.head
        lacking = [digest for digest in digests(head) if not has(digest)]
        if lacking:
            raise BrokenError(f"1: {voter} has accepted turn {head.turn} without {lacking}")
        if self.heads.setdefault(ballot, head) != head:
            raise BrokenError(f"1: two heads under one ballot {ballot}")
        voters = self.votes.setdefault(ballot, set())
        voters.add(voter)
        if len(voters) == self.need:
            self._decide(ballot, head)

    def _decide(self, ballot: Ballot, head: Head) -> None:
        """In the order of ballots, which is that of the line; a low one may be decided late."""
        at = bisect.bisect(self._ballots, ballot)
        self._ballots.insert(at, ballot)
        if at:
            self._check(self.heads[self._ballots[at - 1]], head)
        if at + 1 < len(self._ballots):
            self._check(head, self.heads[self._ballots[at + 1]])
        else:
            self.latest = head
        self.decided[head.turn] = head

    def _check(self, last: Head, head: Head) -> None:
        if head.turn < last.turn or (head.turn == last.turn and head != last):
            raise BrokenError(f"1: turn {last.turn} was decided, and then another turn {head.turn}")
        if head.turn == last.turn + 1 and not _follows(last, head):
            raise BrokenError(f"1: turn {head.turn} does not follow from the one before: {head}")

    def told(self, by: str, done: Done, change: str) -> None:
        """A proposer was told how its change ended."""
        head = done.head
        if self.decided.get(head.turn) != head:
            raise BrokenError(f"1: {by} was told of turn {head.turn}, which was not decided so")
        found = (head.active, head.posture) if done.end is End.ACTIVE else (head.pending,)
        here = any(one is not None and one.change == change for one in found)
        if done.end in (End.ACTIVE, End.PENDING) and not here:
            raise BrokenError(f"1: {by} was told that {change} is {done.end.value}, and it is not")

    # --- Promise 2: no contradiction

    def acts_by(self, by: str, acting: Acting) -> None:
        """A process is told to go by this."""
        head = self.decided.get(acting.turn)
        told = (acting.active, acting.pending, acting.posture)
        if head is None or (head.active, head.pending, head.posture) != told:
            raise BrokenError(f"1: {by} acts by turn {acting.turn}, which was not decided")

    def goes_by(self, now: int, acting: Acting) -> None:
        """A process goes by this from here on."""
        if acting.turn > self.in_force_turn:
            self.in_force_turn = acting.turn
            if self.in_force is None or self.in_force.serial != acting.active.serial:
                self.in_force, self.in_force_at = acting.active, now

    def did(self, deed: Deed) -> None:
        """A process has done something that rules may forbid."""
        self.deeds += 1
        if self.in_force is not None and not self.allows(self.in_force.digest, deed.act):
            after = (deed.at - self.in_force_at) / 1e6
            raise BrokenError(
                f"2: {deed.by} did {deed.act} under turn {deed.turn}, {after:.3f} s after serial "
                f"{self.in_force.serial}, which forbids it, was in force"
            )

    # --- Promise 5: who is there

    def told_dead(self, now: int, by: str, name: str, trouble: int) -> None:
        """One takes another for dead; `trouble` is when one of them was last out of reach."""
        if now - trouble > RECOVERY:
            raise BrokenError(
                f"5: {by} takes {name} for dead, {(now - trouble) / 1e6:.1f} s after either of "
                "them was out of reach"
            )

    def knows_who_is_there(
        self, by: str, dead: set[str], up: set[str], all_: Iterable[str]
    ) -> None:
        """So long after the last fault, at the latest, each knows who runs and who does not."""
        wrong = dead ^ {name for name in all_ if name not in up}
        if wrong:
            raise BrokenError(f"5: {by} is wrong about {', '.join(sorted(wrong))}")

    # --- Promise 4: it ends

    def known(self, turns: dict[str, int]) -> None:
        """So long after the last fault, at the latest, all that run know what was decided."""
        for name, turn in turns.items():
            if self.latest is not None and turn < self.latest.turn:
                raise BrokenError(f"4: {name} knows turn {turn}; {self.latest.turn} was decided")

    def ended(self, standings: dict[str, Any], turns: dict[str, int]) -> None:
        """So long after the last fault, at the latest, nothing is pending and all act by one."""
        if self.latest is None:
            raise BrokenError("4: nothing was ever decided")
        if self.latest.pending is not None:
            raise BrokenError(f"4: serial {self.latest.pending.serial} is still pending")
        for name, standing in standings.items():
            if standing != "IN" or turns[name] != self.latest.turn:
                raise BrokenError(
                    f"4: {name} is {standing} by turn {turns[name]}, not in by {self.latest.turn}"
                )


def _follows(last: Head, head: Head) -> bool:
    """Whether one head may be made from the other, by what the changes are for."""
    same = head.active == last.active
    if head.posture != last.posture:
        base = 0 if last.posture is None else last.posture.serial
        rest = (head.active, head.pending, head.roster) == (last.active, last.pending, last.roster)
        return rest and head.posture is not None and head.posture.base == base
    if last.pending is None:
        if head.pending is not None:
            return same and head.pending.base == last.active.serial
        return same or head.active.base == last.active.serial
    if head.pending is not None:
        return same and head.pending == last.pending
    return same or head.active == last.pending
