"""A member's rounds at the register: one job at a time, again until it is decided.

Owns when a round is said again, when it gives way to another ballot, and how long to stand back
after it was beaten, so that proposers that meet do not go on beating each other.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Collection
from typing import Final

from .effects import ProposalResult
from .messages import (
    Accepted,
    Ballot,
    ChosenState,
    Message,
    Promise,
    ReadReply,
    ReadRequest,
    UnfinishedRound,
)
from .register import Phase, Round, majority
from .transitions import StateChange, read

RESEND_INTERVAL: Final = 100_000  # us until something unanswered is said again
ROUND_TIMEOUT: Final = 4_000_000  # us until a round that gets no further gives way to the next
BACKOFF_STEP: Final = 50_000  # us; after the n-th defeat in a row up to 2^n of these are waited
MAX_READS: Final = 6  # readings without a ballot before one with

JobCallback = Callable[[ChosenState | None, ProposalResult], None]  # None: the register is empty


class Job:
    """A change to make, and whom to tell; `change` None: only read.

    `final`: no round that an earlier life of this member began is decided after what is read.
    """

    def __init__(
        self,
        change: StateChange | None,
        ended: JobCallback,
        final: bool = False,
        at_once: bool = False,
    ) -> None:
        """`at_once`: there may be such a round, and a round of this life puts an end to it."""
        self.change = change
        self.on_completed = ended
        self.final = final
        self.reads = MAX_READS if at_once else 0


class QuorumRead:
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
        self.number = number
        self.voters = tuple(voters)
        self.final = final
        self.quorum = majority(len(self.voters))
        self._replies: dict[str, ReadReply | UnfinishedRound] = {}

    def unanswered(self) -> list[tuple[str, Message]]:
        look = ReadRequest(self.number)
        return [(v, look) for v in self.voters if v not in self._replies]

    def on_reply(self, voter: str, answer: ReadReply | UnfinishedRound) -> None:
        """A voter's answer."""
        if answer.number == self.number:
            self._replies[voter] = answer

    def chosen(self) -> ChosenState | None:
        """Return what was decided, once that is certain."""
        said = [
            one.accepted
            for one in self._replies.values()
            if one.accepted is not None and not (self.final and isinstance(one, UnfinishedRound))
        ]
        return next((one for one in said if said.count(one) >= self.quorum), None)

    def has_unfinished(self) -> bool:
        """Return whether a round of an earlier life of this member may still be decided."""
        return self.final and any(
            isinstance(one, UnfinishedRound) for one in self._replies.values()
        )

    def is_empty(self) -> bool:
        """Return whether nothing was decided: a majority has accepted nothing."""
        return sum(one.accepted is None for one in self._replies.values()) >= self.quorum

    def is_inconclusive(self) -> bool:
        """Return whether a majority has answered and does not agree: a change may be under way."""
        return len(self._replies) >= self.quorum and self.chosen() is None and not self.is_empty()


class Proposer:
    """Jobs, one after the other."""

    def __init__(self, name: str, boot: int, voters: Collection[str], rng: random.Random) -> None:
        self.name = name
        self.boot = boot
        self.voters = voters
        self.rng = rng
        self.jobs: deque[Job] = deque()
        self.round: Round | None = None
        self.reading: QuorumRead | None = None
        self.defeats = 0
        self._highest_number = self._number = 0
        self._started_at = self._sent_at = 0
        self._backoff_until = 0

    def add(self, job: Job) -> None:
        """One more, behind those that wait."""
        self.jobs.append(job)

    def observe_ballot(self, ballot: Ballot) -> None:
        """A ballot was heard of; those to come are above it."""
        self._highest_number = max(self._highest_number, ballot.n)

    def next_ballot(self) -> Ballot:
        """One above all that were heard of."""
        self._highest_number += 1
        return Ballot(self._highest_number, self.name, self.boot)

    def on_tick(self, now: int) -> list[tuple[str, Message]]:
        """Time passes: what to say now."""
        if not self.jobs or now < self._backoff_until:
            return []
        stuck = now - self._started_at >= ROUND_TIMEOUT
        if self.round is None and self.reading is None:
            self._begin(now)
        elif stuck or (self.reading is not None and self.reading.is_inconclusive()):
            self._back_off(now)
            return []
        elif now - self._sent_at < RESEND_INTERVAL:
            return []
        return self._send_unanswered(now)

    def _begin(self, now: int) -> None:
        job = self.jobs[0]
        self._started_at = now
        if job.change is None and job.reads < MAX_READS:
            job.reads += 1
            self._number += 1
            self.reading = QuorumRead(self._number, self.voters, job.final)
        else:
            self.round = Round(self.next_ballot(), self.voters, job.change or read, job.final)

    def _back_off(self, now: int) -> None:
        """Leave off, and begin anew after a while that grows with the defeats."""
        if self.reading is not None and self.reading.has_unfinished():
            self.jobs[0].reads = MAX_READS  # only a round of its own puts an end to that one
        self.round = self.reading = None
        self.defeats += 1
        most = BACKOFF_STEP << min(self.defeats, 5)
        self._backoff_until = now + self.rng.randrange(BACKOFF_STEP // 5, most)

    def _send_unanswered(self, now: int) -> list[tuple[str, Message]]:
        self._sent_at = now
        at = self.round or self.reading
        return [] if at is None else at.unanswered()

    def on_read_reply(self, voter: str, answer: ReadReply | UnfinishedRound) -> None:
        """A voter's answer to `ReadRequest`."""
        if self.reading is not None:
            self.reading.on_reply(voter, answer)
            found = self.reading.chosen()
            if found is not None or self.reading.is_empty():
                self._complete_job(found, ProposalResult.NO_CHANGE)

    def on_promise(self, voter: str, promise: Promise, now: int) -> list[tuple[str, Message]]:
        """Return a voter's answer to `Prepare`; what to say next."""
        self.observe_ballot(promise.promised)
        if self.round is None:
            return []
        before = self.round.phase
        self.round.on_promise(voter, promise)
        return self._on_phase_change(now) if self.round.phase is not before else []

    def on_accepted(self, voter: str, answer: Accepted, now: int) -> list[tuple[str, Message]]:
        """Return a voter's answer to `Accept`."""
        self.observe_ballot(answer.promised)
        if self.round is None or self.round.phase is not Phase.ACCEPT:
            return []
        before = self.round.phase
        self.round.on_accepted(voter, answer)
        return self._on_phase_change(now) if self.round.phase is not before else []

    def _on_phase_change(self, now: int) -> list[tuple[str, Message]]:
        at = self.round
        assert at is not None
        if at.phase is Phase.PREEMPTED:
            self._back_off(now)
        elif at.phase is Phase.EMPTY:
            self._complete_job(None, ProposalResult.NO_CHANGE)
        elif at.phase is Phase.CHOSEN:
            assert at.transition is not None
            self._complete_job(at.chosen, at.transition.result)
        elif at.phase is Phase.ACCEPT:
            return self._send_unanswered(now)
        return []

    def _complete_job(self, decided: ChosenState | None, end: ProposalResult) -> None:
        self.round = self.reading = None
        self.defeats = 0
        self.jobs.popleft().on_completed(decided, end)
