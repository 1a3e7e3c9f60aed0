"""A member's rounds at the register: one job at a time, again until it is decided.

Owns when a round is said again, when it gives way to another ballot, and how long to stand back
after it was beaten, so that proposers that meet do not go on beating each other.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Collection
from typing import Final

from .effects import End
from .line import Change, read
from .messages import (
    Accepted,
    Ballot,
    Decided,
    Message,
    Promise,
    ReadReply,
    ReadRequest,
    UnfinishedRound,
)
from .register import Phase, Round, majority

RESEND: Final = 100_000  # us until something unanswered is said again
PATIENCE: Final = 4_000_000  # us until a round that gets no further gives way to the next
STEP: Final = 50_000  # us; after the n-th defeat in a row up to 2^n of these are waited
LOOKS: Final = 6  # readings without a ballot before one with

Ended = Callable[[Decided | None, End], None]  # None: the register is empty


class Job:
    """A change to make, and whom to tell; `change` None: only read.

    `final`: no round that an earlier life of this member began is decided after what is read.
    """

    def __init__(
        self, change: Change | None, ended: Ended, final: bool = False, at_once: bool = False
    ) -> None:
        """`at_once`: there may be such a round, and a round of this life puts an end to it."""
        self.change, self.ended, self.final = change, ended, final
        self.looks = LOOKS if at_once else 0


class Reading:
    """A reading without a ballot: one head that a majority has accepted under one ballot.

    Whatever was decided before it began is accepted by one of that majority under that ballot or a
    lower one, so what it finds is no older.

    A `final` one counts only voters that have promised no round of the reader's name since they
    last accepted. Accepts of an earlier life's round were sent after a majority had promised it,
    and before this reading began, so one of those that agree here had promised it. Unless that one
    has accepted a higher ballot since, it answers `UnfinishedRound`. So nothing of that round is
    decided later, also not by another proposer that finds it accepted by a minority.
    """

    def __init__(self, number: int, voters: Collection[str], final: bool = False) -> None:
        self.number, self.voters, self.final = number, tuple(voters), final
        self.need = majority(len(self.voters))
        self._seen: dict[str, ReadReply | UnfinishedRound] = {}

    def unanswered(self) -> list[tuple[str, Message]]:
        look = ReadRequest(self.number)
        return [(v, look) for v in self.voters if v not in self._seen]

    def seen(self, voter: str, answer: ReadReply | UnfinishedRound) -> None:
        """A voter's answer."""
        if answer.number == self.number:
            self._seen[voter] = answer

    def found(self) -> Decided | None:
        """What was decided, once that is certain."""
        said = [
            one.accepted for one in self._seen.values()
            if one.accepted is not None and not (self.final and isinstance(one, UnfinishedRound))
        ]  # fmt: skip
        return next((one for one in said if said.count(one) >= self.need), None)

    def has_unfinished(self) -> bool:
        """Whether a round of an earlier life of this member may still be decided."""
        return self.final and any(isinstance(one, UnfinishedRound) for one in self._seen.values())

    def empty(self) -> bool:
        """Whether nothing was decided: a majority has accepted nothing."""
        return sum(one.accepted is None for one in self._seen.values()) >= self.need

    def torn(self) -> bool:
        """Whether a majority has answered and does not agree: a change may be under way."""
        return len(self._seen) >= self.need and self.found() is None and not self.empty()


class Proposer:
    """Jobs, one after the other."""

    def __init__(self, name: str, boot: int, voters: Collection[str], rng: random.Random) -> None:
        self.name, self.boot, self.voters, self.rng = name, boot, voters, rng
        self.jobs: deque[Job] = deque()
        self.round: Round | None = None
        self.reading: Reading | None = None
        self.defeats = 0
        self._top = self._number = 0
        self._began = self._said = 0
        self._rest_until = 0

    def add(self, job: Job) -> None:
        """One more, behind those that wait."""
        self.jobs.append(job)

    def rank(self, ballot: Ballot) -> None:
        """A ballot was heard of; those to come are above it."""
        self._top = max(self._top, ballot.n)

    def ballot(self) -> Ballot:
        """One above all that were heard of."""
        self._top += 1
        return Ballot(self._top, self.name, self.boot)

    def tick(self, now: int) -> list[tuple[str, Message]]:
        """Time passes: what to say now."""
        if not self.jobs or now < self._rest_until:
            return []
        stuck = now - self._began >= PATIENCE
        if self.round is None and self.reading is None:
            self._begin(now)
        elif stuck or (self.reading is not None and self.reading.torn()):
            self._again(now)
            return []
        elif now - self._said < RESEND:
            return []
        return self._say(now)

    def _begin(self, now: int) -> None:
        job = self.jobs[0]
        self._began = now
        if job.change is None and job.looks < LOOKS:
            job.looks += 1
            self._number += 1
            self.reading = Reading(self._number, self.voters, job.final)
        else:
            self.round = Round(self.ballot(), self.voters, job.change or read, job.final)

    def _again(self, now: int) -> None:
        """Leave off, and begin anew after a while that grows with the defeats."""
        if self.reading is not None and self.reading.has_unfinished():
            self.jobs[0].looks = LOOKS  # only a round of its own puts an end to that one
        self.round = self.reading = None
        self.defeats += 1
        most = STEP << min(self.defeats, 5)
        self._rest_until = now + self.rng.randrange(STEP // 5, most)

    def _say(self, now: int) -> list[tuple[str, Message]]:
        self._said = now
        at = self.round or self.reading
        return [] if at is None else at.unanswered()

    def seen(self, voter: str, answer: ReadReply | UnfinishedRound) -> None:
        """A voter's answer to `ReadRequest`."""
        if self.reading is not None:
            self.reading.seen(voter, answer)
            found = self.reading.found()
            if found is not None or self.reading.empty():
                self._end(found, End.NONE)

    def promised(self, voter: str, promise: Promise, now: int) -> list[tuple[str, Message]]:
        """A voter's answer to `Prepare`; what to say next."""
        self.rank(promise.promised)
        if self.round is None:
            return []
        before = self.round.phase
        self.round.promised(voter, promise)
        return self._after(now) if self.round.phase is not before else []

    def accepted(self, voter: str, answer: Accepted, now: int) -> list[tuple[str, Message]]:
        """A voter's answer to `Accept`."""
        self.rank(answer.promised)
        if self.round is None or self.round.phase is not Phase.ACCEPT:
            return []
        before = self.round.phase
        self.round.accepted(voter, answer)
        return self._after(now) if self.round.phase is not before else []

    def _after(self, now: int) -> list[tuple[str, Message]]:
        at = self.round
        assert at is not None
        if at.phase is Phase.BEATEN:
            self._again(now)
        elif at.phase is Phase.EMPTY:
            self._end(None, End.NONE)
        elif at.phase is Phase.DECIDED:
            assert at.step is not None
            self._end(at.decided, at.step.end)
        elif at.phase is Phase.ACCEPT:
            return self._say(now)
        return []

    def _end(self, decided: Decided | None, end: End) -> None:
        self.round = self.reading = None
        self.defeats = 0
        self.jobs.popleft().ended(decided, end)
