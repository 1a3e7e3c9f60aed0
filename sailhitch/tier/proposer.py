"""A member's reads and rounds of the register: one job at a time, retried until it is chosen.

The proposer owns when messages are resent, when an attempt times out, and the backoff after a
preempted attempt, so that concurrent proposers do not go on preempting each other.
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

RESEND_INTERVAL: Final = 100_000  # us until an unanswered message is sent again
ROUND_TIMEOUT: Final = 4_000_000  # us until an attempt without progress is abandoned
BACKOFF_STEP: Final = 50_000  # us; after the n-th failure in a row the delay is up to 2^n of these
MAX_DOUBLINGS: Final = 5  # of the upper bound of the backoff
MAX_READS: Final = 6  # quorum reads without a ballot, before a round with a ballot

JobCallback = Callable[[ChosenState | None, ProposalResult], None]
"""Called with the chosen state, or None where the register is empty."""


class Job:
    """A change to propose, or with `change` None a read, and the callback for its result.

    Once a `final` job is completed, no round of an earlier incarnation of this member can be
    chosen any more.
    """

    def __init__(
        self,
        change: StateChange | None,
        on_completed: JobCallback,
        final: bool = False,
        with_ballot: bool = False,
    ) -> None:
        """Make a job. With `with_ballot`, a read begins with a round instead of a quorum read.

        It then supersedes a round of an earlier incarnation that may be unfinished.
        """
        self.change = change
        self.on_completed = on_completed
        self.final = final
        self.reads = MAX_READS if with_ballot else 0
        self.may_be_chosen = False  # an abandoned attempt may have been accepted by some voters


class QuorumRead:
    """A read without a ballot: finds a state that a majority has accepted under one ballot.

    Whatever was chosen before the read began is accepted by one of that majority under that ballot
    or a lower one, so the state that it finds is no older.

    A `final` read counts only voters that have promised no round of the reader's name since they
    last accepted. `Accept`s of a round of an earlier incarnation were sent after a majority had
    promised it, and before this read began, so one of the voters that agree here had promised it.
    Unless that voter has accepted a higher ballot since, it answers `UnfinishedRound`. So that
    round is not chosen later, not even by another proposer that finds it accepted by a minority.
    """

    def __init__(self, number: int, voters: Collection[str], final: bool = False) -> None:
        self.number = number
        self.voters = tuple(voters)
        self.final = final
        self.quorum = majority(len(self.voters))
        self._replies: dict[str, ReadReply | UnfinishedRound] = {}

    def unanswered(self) -> list[tuple[str, Message]]:
        """Return the requests to send, or to send again, to voters that have not answered."""
        request = ReadRequest(self.number)
        return [(voter, request) for voter in self.voters if voter not in self._replies]

    def on_reply(self, voter: str, reply: ReadReply | UnfinishedRound) -> None:
        """Record a voter's reply."""
        if reply.number == self.number:
            self._replies[voter] = reply

    def chosen(self) -> ChosenState | None:
        """Return the chosen state, once that is certain."""
        states = [
            reply.accepted
            for reply in self._replies.values()
            if reply.accepted is not None
            and not (self.final and isinstance(reply, UnfinishedRound))
        ]
        return next((state for state in states if states.count(state) >= self.quorum), None)

    def has_unfinished(self) -> bool:
        """Return whether a round of an earlier incarnation of this member may still be chosen."""
        return self.final and any(
            isinstance(reply, UnfinishedRound) for reply in self._replies.values()
        )

    def is_empty(self) -> bool:
        """Return whether nothing was chosen: a majority has accepted nothing."""
        return sum(reply.accepted is None for reply in self._replies.values()) >= self.quorum

    def is_inconclusive(self) -> bool:
        """Return whether a majority has answered without agreeing: a change may be in progress."""
        return len(self._replies) >= self.quorum and self.chosen() is None and not self.is_empty()


class Proposer:
    """The queue of jobs, and the read or round of the first one."""

    def __init__(self, name: str, boot: int, voters: Collection[str], rng: random.Random) -> None:
        self.name = name
        self.boot = boot
        self.voters = voters
        self.rng = rng
        self.jobs: deque[Job] = deque()
        self.round: Round | None = None
        self.quorum_read: QuorumRead | None = None
        self.failed_attempts = 0
        self._highest_number = 0
        self._read_number = 0
        self._started_at = 0
        self._sent_at = 0
        self._backoff_until = 0

    def add(self, job: Job) -> None:
        """Append a job to the queue."""
        self.jobs.append(job)

    def observe_ballot(self, ballot: Ballot) -> None:
        """Record a ballot, so that later ones of this proposer are above it."""
        self._highest_number = max(self._highest_number, ballot.number)

    def next_ballot(self) -> Ballot:
        """Return a ballot above all that were observed."""
        self._highest_number += 1
        return Ballot(self._highest_number, self.name, self.boot)

    def on_tick(self, now: int) -> list[tuple[str, Message]]:
        """Return the messages to send now."""
        if not self.jobs or now < self._backoff_until:
            return []
        timed_out = now - self._started_at >= ROUND_TIMEOUT
        if self.round is None and self.quorum_read is None:
            self._begin(now)
        elif timed_out or (self.quorum_read is not None and self.quorum_read.is_inconclusive()):
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
            self._read_number += 1
            self.quorum_read = QuorumRead(self._read_number, self.voters, job.final)
        else:
            self.round = Round(self.next_ballot(), self.voters, job.change or read, job.final)

    def _back_off(self, now: int) -> None:
        """Abandon the attempt, and retry after a backoff that grows with the failures in a row."""
        if self.quorum_read is not None and self.quorum_read.has_unfinished():
            self.jobs[0].reads = MAX_READS  # continue with a round, which supersedes that one
        if self.round is not None and self.round.transition is not None:
            self.jobs[0].may_be_chosen = True
        self.round = None
        self.quorum_read = None
        self.failed_attempts += 1
        upper_bound = BACKOFF_STEP << min(self.failed_attempts, MAX_DOUBLINGS)
        self._backoff_until = now + self.rng.randrange(BACKOFF_STEP // 5, upper_bound)

    def _send_unanswered(self, now: int) -> list[tuple[str, Message]]:
        self._sent_at = now
        attempt = self.round or self.quorum_read
        return [] if attempt is None else attempt.unanswered()

    def on_read_reply(self, voter: str, reply: ReadReply | UnfinishedRound) -> None:
        """Process a voter's answer to `ReadRequest`."""
        if self.quorum_read is not None:
            self.quorum_read.on_reply(voter, reply)
            chosen = self.quorum_read.chosen()
            if chosen is not None or self.quorum_read.is_empty():
                self._complete_job(chosen, ProposalResult.NO_CHANGE)

    def on_promise(self, voter: str, promise: Promise, now: int) -> list[tuple[str, Message]]:
        """Process a voter's answer to `Prepare`, and return the messages to send."""
        self.observe_ballot(promise.promised)
        if self.round is None:
            return []
        before = self.round.phase
        self.round.on_promise(voter, promise)
        return self._on_phase_change(now) if self.round.phase is not before else []

    def on_accepted(self, voter: str, answer: Accepted, now: int) -> list[tuple[str, Message]]:
        """Process a voter's answer to `Accept`, and return the messages to send."""
        self.observe_ballot(answer.promised)
        if self.round is None or self.round.phase is not Phase.ACCEPT:
            return []
        before = self.round.phase
        self.round.on_accepted(voter, answer)
        return self._on_phase_change(now) if self.round.phase is not before else []

    def _on_phase_change(self, now: int) -> list[tuple[str, Message]]:
        attempt = self.round
        assert attempt is not None
        if attempt.phase is Phase.PREEMPTED:
            self._back_off(now)
        elif attempt.phase is Phase.EMPTY:
            self._complete_job(None, ProposalResult.NO_CHANGE)
        elif attempt.phase is Phase.CHOSEN:
            assert attempt.transition is not None
            self._complete_job(attempt.chosen, attempt.transition.result)
        elif attempt.phase is Phase.ACCEPT:
            return self._send_unanswered(now)
        return []

    def _complete_job(self, chosen: ChosenState | None, result: ProposalResult) -> None:
        self.round = None
        self.quorum_read = None
        self.failed_attempts = 0
        self.jobs.popleft().on_completed(chosen, result)
