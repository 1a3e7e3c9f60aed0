"""One register with compare-and-set over a few voters: CASPaxos (Rystsov 2018), no leader, no log.

`Acceptor` is a voter's side, `Round` one attempt of a proposer. Both follow the paper, and add
protection against disks that lose votes. Each change of a vote has a number, its stamp.

- A state is accepted together with the stamps of the promises that its round is based on. So a
  voter that stores a chosen state also stores the stamps that the other voters had reached.
- After a start, a voter votes only once the others have reported the latest stamp of it that they
  know. A stamp above its own shows that its disk is outdated or empty; so does one in an `Accept`
  or in gossip, at any later time.
- A voter whose disk has lost votes recovers by a round of its own: a majority of the *others*
  promise a new ballot, and it takes the latest state that they accepted. Whatever was chosen with
  its lost vote is known to one of them, or can't be chosen any more.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
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

VOTE_KEY: Final = "vote"  # the key of a voter's vote on disk
ANY_PROPOSER: Final = ""  # in `Vote.unfinished`: promises were lost, and to whom is unknown


def majority(voters: int) -> int:
    """Return the size of a majority of this many voters."""
    return voters // 2 + 1


class Vote(msgspec.Struct, frozen=True, array_like=True):
    """What a voter has promised and accepted; synced to disk before any answer that shows it."""

    promised: Ballot
    accepted: ChosenState | None
    stamp: int  # the number of changes of the vote
    # Ballots promised since the last accepted one, the latest of each proposer.
    unfinished: tuple[Ballot, ...] = ()


class VoterMode(Enum):
    """Whether a voter votes, or what it does before it may."""

    CHECKING_DISK = "asking"  # it asks the others whether its disk is outdated
    RECOVERING = "mending"  # its disk was outdated or empty, and it recovers from the others
    VOTING = "voting"


class Acceptor:
    """A voter's vote.

    Where a method returns that it has changed `vote`, the caller syncs that before it answers.
    """

    def __init__(self, name: str, voters: Collection[str], persisted: Vote | None) -> None:
        self.name = name
        self.others = [voter for voter in voters if voter != name]
        self.quorum = majority(len(voters))
        # Any set of this many other voters contains a member of every majority.
        self.recovery_quorum = len(voters) - self.quorum + 1
        self.vote = persisted or Vote(NO_BALLOT, None, 0)
        self.mode = VoterMode.CHECKING_DISK if self.others else VoterMode.VOTING
        self.has_lost_votes = False  # the disk was found to have lost votes
        self._recovery_replies: set[str] = set()
        self._recovery_promises: dict[str, Promise] = {}

    @property
    def has_never_voted(self) -> bool:
        """Return whether it has never voted, as far as it knows."""
        return self.vote.stamp == 0

    # --- Voting

    def prepare(self, ballot: Ballot) -> tuple[Promise, bool]:
        """Promise to accept nothing below a ballot, if nothing above it was promised.

        Returns:
            The answer, and whether the vote has changed.
        """
        ok = ballot >= self.vote.promised
        is_changed = ballot > self.vote.promised
        if is_changed:
            others = (other for other in self.vote.unfinished if other.proposer != ballot.proposer)
            self._set_vote(ballot, self.vote.accepted, (*others, ballot))
        vote = self.vote
        return Promise(ballot, ok, vote.promised, vote.accepted, vote.stamp), is_changed

    def accept(self, message: Accept) -> tuple[Accepted, bool]:
        """Accept a state, if nothing above its ballot was promised.

        Returns:
            The answer, and whether the vote has changed.
        """
        ballot = message.ballot
        ok = ballot >= self.vote.promised
        accepted = self.vote.accepted
        is_changed = ok and (accepted is None or accepted.ballot != ballot)
        if is_changed:
            self._set_vote(ballot, ChosenState(ballot, message.state), ())
        answer = Accepted(ballot, ok, self.vote.promised, self.vote.stamp, [*message.stamps])
        return answer, is_changed

    def learn(self, chosen: ChosenState) -> bool:
        """Accept a chosen state without a round, and return whether the vote has changed."""
        accepted = self.vote.accepted
        if accepted is not None and accepted.ballot >= chosen.ballot:
            return False
        unfinished = tuple(ballot for ballot in self.vote.unfinished if ballot > chosen.ballot)
        self._set_vote(max(self.vote.promised, chosen.ballot), chosen, unfinished)
        return True

    def has_unfinished(self, proposer: str) -> bool:
        """Return whether it has promised a round of this proposer and has accepted none since.

        Such a round may still be chosen, even if its proposer has ended.
        """
        return any(ballot.proposer in (proposer, ANY_PROPOSER) for ballot in self.vote.unfinished)

    def _set_vote(
        self, promised: Ballot, accepted: ChosenState | None, unfinished: tuple[Ballot, ...]
    ) -> None:
        self.vote = Vote(promised, accepted, self.vote.stamp + 1, unfinished)

    # --- Recovery

    def observe_stamp(self, stamp: int) -> bool:
        """Compare another member's stamp of this voter; return whether votes were lost.

        They were if that stamp is above the voter's own.
        """
        if stamp <= self.vote.stamp or self.mode is VoterMode.RECOVERING:
            return False
        self.has_lost_votes = True
        self.mode = VoterMode.RECOVERING
        return True

    def on_recovery_reply(self, voter: str, reply: VoteRecoveryReply, is_reduced: bool) -> None:
        """Count a reply to this voter's request, and vote once there are enough.

        With `is_reduced`, after a long wait, fewer replies suffice, so that a voter that is down
        for good does not keep restarted voters from voting. A voter that has never voted waits for
        all others: it can't tell whether it has lost everything.
        """
        if voter not in self.others or self.observe_stamp(reply.stamps.get(self.name, 0)):
            return
        self._recovery_replies.add(voter)
        if self.mode is not VoterMode.CHECKING_DISK:
            return
        if len(self._recovery_replies) >= self._required_replies(is_reduced):
            self.mode = VoterMode.VOTING

    def _required_replies(self, is_reduced: bool) -> int:
        if self.has_never_voted:
            return len(self.others)
        return self.quorum - 1 if is_reduced else self.recovery_quorum

    def on_recovery_promise(self, voter: str, promise: Promise) -> ChosenState | bool | None:
        """Count a promise for this voter's own recovery round.

        Returns:
            False until a majority of the others has promised. Then the latest state that they have
            accepted, None for nothing; the caller fetches its contents and calls `recover`.
        """
        if self.mode is not VoterMode.RECOVERING or voter not in self.others or not promise.ok:
            return False
        if any(other.ballot != promise.ballot for other in self._recovery_promises.values()):
            self._recovery_promises.clear()
        self._recovery_promises[voter] = promise
        if len(self._recovery_promises) < self.quorum:
            return False
        return _latest(promise.accepted for promise in self._recovery_promises.values())

    def recover(self, ballot: Ballot, accepted: ChosenState | None, known_stamp: int) -> None:
        """Vote again, from what the others had accepted when they promised `ballot`.

        `known_stamp` is the latest stamp of this voter that anybody knows.
        """
        lost_promises = Ballot(ballot.number, ANY_PROPOSER, 0)
        self.vote = Vote(ballot, accepted, max(known_stamp, self.vote.stamp) + 1, (lost_promises,))
        self.mode = VoterMode.VOTING
        self._recovery_promises.clear()


def _latest(accepted: Iterable[ChosenState | None]) -> ChosenState | None:
    """Return the state with the highest ballot, or None where there is none."""
    states = [state for state in accepted if state is not None]
    return max(states, key=lambda state: state.ballot, default=None)


class Phase(Enum):
    """The phase of a round."""

    PREPARE = "prepare"
    ACCEPT = "accept"
    CHOSEN = "decided"
    EMPTY = "empty"  # the register is empty, and the change writes nothing
    PREEMPTED = "beaten"  # a voter has promised a higher ballot


class Round:
    """One attempt to change the register, under one ballot."""

    def __init__(
        self, ballot: Ballot, voters: Collection[str], change: StateChange, write: bool = False
    ) -> None:
        """Begin a round of these voters.

        With `write`, a state that is chosen already is written again under this ballot; after that
        no unfinished round with a lower ballot can be chosen.
        """
        self.ballot = ballot
        self.voters = tuple(voters)
        self.change = change
        self.write = write
        self.quorum = majority(len(self.voters))
        self.phase = Phase.PREPARE
        self.transition: Transition | None = None
        self.chosen: ChosenState | None = None
        self.preempted_by = NO_BALLOT  # the higher ballot that a voter has promised
        self._promises: dict[str, Promise] = {}  # in the order in which they came
        self._accepted: dict[str, set[str]] = {}  # by voter: the voters whose promises it knows

    def unanswered(self) -> list[tuple[str, Message]]:
        """Return the messages to send, or to send again, to voters that have not answered."""
        if self.phase not in (Phase.PREPARE, Phase.ACCEPT):
            return []
        prepare = Prepare(self.ballot)
        messages: list[tuple[str, Message]] = [
            (voter, prepare) for voter in self.voters if voter not in self._promises
        ]
        if self.phase is Phase.ACCEPT and self.transition is not None:
            stamps = {voter: promise.stamp for voter, promise in self._promises.items()}
            accept = Accept(self.ballot, self.transition.state, stamps)
            messages += [
                (voter, accept) for voter in stamps if self._accepted.get(voter) != stamps.keys()
            ]
        return messages

    def on_promise(self, voter: str, promise: Promise) -> None:
        """Count a voter's answer to `Prepare`; voters that promise late are sent `Accept` too."""
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
        """Apply the change to the latest state that the promises report."""
        accepted = [promise.accepted for promise in self._promises.values()]
        latest = _latest(accepted)
        transition = self.change(None if latest is None else latest.state)
        if transition is None:
            self.phase = Phase.EMPTY
            return
        self.transition = transition
        self.phase = Phase.ACCEPT
        # A state that a majority has accepted under one ballot is chosen already.
        is_chosen = (
            latest is not None
            and transition.state == latest.state
            and accepted.count(latest) >= self.quorum
        )
        if is_chosen and not self.write:
            self.chosen = latest
            self.phase = Phase.CHOSEN

    def on_accepted(self, voter: str, answer: Accepted) -> None:
        """Count a voter's answer to `Accept`."""
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
        """Return whether a majority has accepted, each knowing the promises of all of them.

        Every `Accept` lists the promises so far in the order in which they came, so it suffices to
        check the prefixes of that order.
        """
        order = list(self._promises)
        for count in range(self.quorum, len(order) + 1):
            promised = set(order[:count])
            informed = [voter for voter in promised if promised <= self._accepted.get(voter, set())]
            if len(informed) >= self.quorum:
                return True
        return False
