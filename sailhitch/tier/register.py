"""One register with compare-and-set over a few voters: CASPaxos (Rystsov 2018), no leader, no log.

`Acceptor` is a voter's side, `Round` one try of a proposer's. Both hold to the paper; what is more
is for disks that lose what they held. Each change of a vote has a number, its stamp.

- A head is accepted only with the stamps of the promises that it rests on: whoever holds what was
  decided also holds that the others had voted, and how far.
- A voter that starts votes only once the others have said which stamp of it they know. A later one
  than its own shows that its disk is an old or an empty one; so does one in an `Accept` or in
  gossip, at any later time.
- A voter whose disk has lost votes is mended by a round of its own: it has a majority of the
  *others* promise a new ballot, and takes the latest that they accepted. Whatever was decided with
  its lost vote is known to one of them, or can't be decided any more.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import Enum
from typing import Final

import msgspec

from .messages import (
    NO_BALLOT,
    Accept,
    Accepted,
    Ballot,
    ChosenState,
    Message,
    Prepare,
    Promise,
    VoteRecoveryReply,
)
from .transitions import StateChange, Transition

VOTE_KEY: Final = "vote"  # the name under which a voter's vote is kept
ANY_PROPOSER: Final = ""  # in a ballot of a vote: which proposers had promises was forgotten


def majority(voters: int) -> int:
    """Return how many of so many voters decide."""
    return voters // 2 + 1


class Vote(msgspec.Struct, frozen=True, array_like=True):
    """What a voter has promised and accepted; on disk before it is said."""

    promised: Ballot
    accepted: ChosenState | None
    stamp: int  # how many changes of the vote there were
    # Ballots promised since the last accepted one, the latest of each proposer.
    unfinished: tuple[Ballot, ...] = ()


class VoterMode(Enum):
    """Whether a voter votes."""

    CHECKING_DISK = "asking"  # whether its disk is an old one
    RECOVERING = "mending"  # its disk was old or empty, and it learns from the others
    VOTING = "voting"


class Acceptor:
    """A voter's vote. What returns True has changed it: keep `vote` before the answer goes out."""

    def __init__(self, name: str, voters: Collection[str], kept: Vote | None) -> None:
        self.name, self.others = name, [v for v in voters if v != name]
        self.quorum = majority(len(voters))
        # Of any majority that has accepted something, so many of the others include one at least.
        self.recovery_quorum = len(voters) - self.quorum + 1
        self.vote = kept or Vote(NO_BALLOT, None, 0)
        self.mode = VoterMode.CHECKING_DISK if self.others else VoterMode.VOTING
        self.has_lost_votes = False  # the disk was found to have lost votes
        self._recovery_replies: set[str] = set()
        self._recovery_promises: dict[str, Promise] = {}

    @property
    def has_never_voted(self) -> bool:
        """Whether it has never voted, as far as it knows."""
        return self.vote.stamp == 0

    # --- Voting

    def prepare(self, ballot: Ballot) -> tuple[Promise, bool]:
        """Promise to accept nothing below a ballot, if nothing above it was promised."""
        ok = ballot >= self.vote.promised
        news = ballot > self.vote.promised
        if news:
            others = (one for one in self.vote.unfinished if one.by != ballot.by)
            self._set_vote(ballot, self.vote.accepted, (*others, ballot))
        vote = self.vote
        return Promise(ballot, ok, vote.promised, vote.accepted, vote.stamp), news

    def accept(self, message: Accept) -> tuple[Accepted, bool]:
        """Accept a head, if nothing above its ballot was promised."""
        ballot = message.ballot
        ok = ballot >= self.vote.promised
        said = self.vote.accepted
        news = ok and (said is None or said.ballot != ballot)
        if news:
            self._set_vote(ballot, ChosenState(ballot, message.state), ())
        answer = Accepted(ballot, ok, self.vote.promised, self.vote.stamp, [*message.stamps])
        return answer, news

    def learn(self, decided: ChosenState) -> bool:
        """Take in what was decided: it may be said again at any time, and can't be wrong."""
        said = self.vote.accepted
        if said is not None and said.ballot >= decided.ballot:
            return False
        unfinished = tuple(one for one in self.vote.unfinished if one > decided.ballot)
        self._set_vote(max(self.vote.promised, decided.ballot), decided, unfinished)
        return True

    def has_unfinished(self, proposer: str) -> bool:
        """Return whether it has promised a round of this proposer and has accepted none since.

        Such a round may still be decided, also where its proposer has ended.
        """
        return any(one.by in (proposer, ANY_PROPOSER) for one in self.vote.unfinished)

    def _set_vote(
        self, promised: Ballot, accepted: ChosenState | None, unfinished: tuple[Ballot, ...]
    ) -> None:
        self.vote = Vote(promised, accepted, self.vote.stamp + 1, unfinished)

    # --- Coming back

    def observe_stamp(self, stamp: int) -> bool:
        """Somebody knows this stamp of this voter; whether that shows that it has lost votes."""
        if stamp <= self.vote.stamp or self.mode is VoterMode.RECOVERING:
            return False
        self.has_lost_votes = True
        self.mode = VoterMode.RECOVERING
        return True

    def on_recovery_reply(self, voter: str, answer: VoteRecoveryReply, lone: bool) -> None:
        """An answer to this voter's own question, asked since it started.

        With `lone` fewer answers do: it has waited for long, and a voter that is down for good
        must not keep others from voting that have only been restarted. One that has never voted
        waits for all: it can't tell itself from one that has lost everything.
        """
        if voter not in self.others or self.observe_stamp(answer.stamps.get(self.name, 0)):
            return
        self._recovery_replies.add(voter)
        if self.mode is not VoterMode.CHECKING_DISK:
            return
        need = (
            len(self.others)
            if self.has_never_voted
            else self.quorum - 1
            if lone
            else self.recovery_quorum
        )
        if len(self._recovery_replies) >= need:
            self.mode = VoterMode.VOTING

    def on_recovery_promise(self, voter: str, promise: Promise) -> ChosenState | bool | None:
        """Return a promise for this voter's own mending round.

        Once a majority of the others has promised, what they have accepted last (None: nothing);
        False until then. Whoever gets it sees to its contents and calls `mend`.
        """
        if self.mode is not VoterMode.RECOVERING or voter not in self.others or not promise.ok:
            return False
        if any(one.ballot != promise.ballot for one in self._recovery_promises.values()):
            self._recovery_promises.clear()
        self._recovery_promises[voter] = promise
        if len(self._recovery_promises) < self.quorum:
            return False
        found = [
            one.accepted for one in self._recovery_promises.values() if one.accepted is not None
        ]
        return max(found, key=lambda one: one.ballot, default=None)

    def recover(self, ballot: Ballot, accepted: ChosenState | None, known: int) -> None:
        """Go on from what the others had accepted when they promised `ballot`.

        `known` is the latest stamp of this voter that anybody has seen.
        """
        forgotten = Ballot(ballot.n, ANY_PROPOSER, 0)
        self.vote = Vote(ballot, accepted, max(known, self.vote.stamp) + 1, (forgotten,))
        self.mode = VoterMode.VOTING
        self._recovery_promises.clear()


class Phase(Enum):
    """How far a round has come."""

    PREPARE = "prepare"
    ACCEPT = "accept"
    CHOSEN = "decided"
    EMPTY = "empty"  # there is nothing yet, and the change makes nothing
    PREEMPTED = "beaten"  # a voter has promised a higher ballot


class Round:
    """One try to change the register under one ballot."""

    def __init__(
        self, ballot: Ballot, voters: Collection[str], change: StateChange, write: bool = False
    ) -> None:
        """`write`: also what is decided already is written again, under this ballot.

        What was under way under a lower one can't come to anything after that.
        """
        self.ballot = ballot
        self.voters = tuple(voters)
        self.change = change
        self.write = write
        self.quorum = majority(len(self.voters))
        self.phase = Phase.PREPARE
        self.transition: Transition | None = None
        self.chosen: ChosenState | None = None
        self.preempted_by = NO_BALLOT  # what beat it
        self._promises: dict[str, Promise] = {}  # in the order in which they came
        self._accepted: dict[str, set[str]] = {}  # by voter: of whose promises it knows

    def unanswered(self) -> list[tuple[str, Message]]:
        """Return what to say, and again where no answer has come."""
        if self.phase not in (Phase.PREPARE, Phase.ACCEPT):
            return []
        prepare = Prepare(self.ballot)
        said: list[tuple[str, Message]] = [
            (v, prepare) for v in self.voters if v not in self._promises
        ]
        if self.phase is Phase.ACCEPT and self.transition is not None:
            stamps = {voter: promise.stamp for voter, promise in self._promises.items()}
            accept = Accept(self.ballot, self.transition.state, stamps)
            said += [(v, accept) for v in stamps if self._accepted.get(v) != stamps.keys()]
        return said

    def on_promise(self, voter: str, promise: Promise) -> None:
        """A voter's answer to `Prepare`; one that comes late may still accept."""
        if self.phase not in (Phase.PREPARE, Phase.ACCEPT) or promise.ballot != self.ballot:
            return
        if not promise.ok:
            self.phase = Phase.PREEMPTED
            self.preempted_by = promise.promised
            return
        self._promises.setdefault(voter, promise)
        if self.phase is Phase.PREPARE and len(self._promises) >= self.quorum:
            self._choose()

    def _choose(self) -> None:
        said = [one.accepted for one in self._promises.values()]
        found = [one for one in said if one is not None]
        last = max(found, key=lambda one: one.ballot, default=None)
        step = self.change(None if last is None else last.state)
        if step is None:
            self.phase = Phase.EMPTY
            return
        self.transition = step
        self.phase = Phase.ACCEPT
        # A majority that has accepted one ballot has decided it: there is nothing to write again.
        known = last is not None and step.state == last.state and said.count(last) >= self.quorum
        if known and not self.write:
            self.chosen = last
            self.phase = Phase.CHOSEN

    def on_accepted(self, voter: str, answer: Accepted) -> None:
        """A voter's answer to `Accept`."""
        if (
            self.phase is not Phase.ACCEPT
            or answer.ballot != self.ballot
            or self.transition is None
        ):
            return
        if not answer.ok:
            self.phase = Phase.PREEMPTED
            self.preempted_by = answer.promised
            return
        self._accepted.setdefault(voter, set()).update(answer.known_promises)
        if self._is_chosen():
            self.phase = Phase.CHOSEN
            self.chosen = ChosenState(self.ballot, self.transition.state)

    def _is_chosen(self) -> bool:
        """Return whether a majority has accepted, each of it knowing of all the others' promises.

        What voters know of grows as promises come, so only beginnings of their order matter.
        """
        order = list(self._promises)
        for count in range(self.quorum, len(order) + 1):
            first = set(order[:count])
            knowing = [v for v in first if first <= self._accepted.get(v, set())]
            if len(knowing) >= self.quorum:
                return True
        return False
