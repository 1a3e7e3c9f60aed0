"""A voter's part of a member: its vote on disk before it is said, its leases, its coming back."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Final

import msgspec

from .content_store import ContentStore
from .effects import Effect, LogEvent, Persist
from .lease import GrantTable
from .messages import (
    Accept,
    Accepted,
    Ballot,
    ChosenState,
    LeaseRequest,
    Message,
    Prepare,
    Promise,
    ReadReply,
    RegisterState,
    UnfinishedRound,
    VoteRecoveryReply,
    VoteRecoveryRequest,
)
from .register import VOTE_KEY, Acceptor, Vote, VoterMode

STAMPS_KEY: Final = "stamps"  # the name under which others' stamps are kept
# Us until a voter that was restarted votes with fewer answers.
REDUCED_QUORUM_AFTER: Final = 10_000_000
RESEND_INTERVAL: Final = 300_000  # us until a question of a voter that comes back is said again


def content_digests(head: RegisterState) -> tuple[str, ...]:
    """Return what must be here before a head can be accepted or acted on."""
    versions = (head.active, head.pending, head.traffic_policy)
    return (
        *(version.digest for version in versions if version is not None),
        head.configuration_digest,
    )


class Voter:
    """Answers as a voter. What changes its vote goes to `out` as a `Keep` before the answer does.

    A head is accepted only where its contents are on this disk: what is decided can be read from a
    majority of the voters, whoever proposed it.
    """

    def __init__(
        self,
        name: str,
        voters: Collection[str],
        kept: bytes | None,
        contents: ContentStore,
        stamps: dict[str, int],
        grants: GrantTable | None,
        ballot: Callable[[], Ballot],
        nonce: int,
        out: list[Effect],
    ) -> None:
        vote = None if kept is None else msgspec.msgpack.decode(kept, type=Vote)
        self.acceptor = Acceptor(name, voters, vote)
        self.name = name
        self.contents = contents
        self.stamps = stamps
        self.grants = grants
        self.ballot = ballot
        self.nonce = nonce
        self.effects = out
        self.others = self.acceptor.others
        self._sent_at = 0
        self._since: int | None = None
        self._recovery_ballot: Ballot | None = None
        # What a mending voter goes on from, once it is here.
        self._recovered_state: ChosenState | None = None
        self._is_recovered_state_known = False
        self._logged_mode = VoterMode.CHECKING_DISK
        self._record_own_stamp()

    @property
    def is_voting(self) -> bool:
        return self.acceptor.mode is VoterMode.VOTING

    def _persist_vote(self) -> None:
        self._record_own_stamp()
        encode = msgspec.msgpack.encode
        self.effects.append(
            Persist({VOTE_KEY: encode(self.acceptor.vote), STAMPS_KEY: encode(self.stamps)})
        )

    def _record_own_stamp(self) -> None:
        stamp = self.acceptor.vote.stamp
        self.stamps[self.name] = max(stamp, self.stamps.get(self.name, 0))

    def accepted_state(self) -> ChosenState | None:
        """Return the head that it accepted and must go on holding; its contents may not go."""
        return self.acceptor.vote.accepted

    # --- Votes

    def read_reply(self, reader: str, number: int) -> ReadReply | UnfinishedRound | None:
        """Return the answer to a reading. None: this voter does not vote."""
        if not self.is_voting:
            return None
        answer = UnfinishedRound if self.acceptor.has_unfinished(reader) else ReadReply
        return answer(number, self.accepted_state())

    def prepare(self, message: Prepare) -> Promise | None:
        """None: this voter does not vote."""
        if not self.is_voting:
            return None
        answer, news = self.acceptor.prepare(message.ballot)
        if news:
            self._persist_vote()
        return answer

    def accept(self, message: Accept) -> Accepted | None:
        """None: this voter does not vote, or does not have the contents yet."""
        if self.observe_stamp(message.stamps.get(self.name, 0)) or not self.is_voting:
            return None
        if not self.contents.has(*content_digests(message.state)):
            return None
        older = any(stamp > self.stamps.get(v, 0) for v, stamp in message.stamps.items())
        for voter, stamp in message.stamps.items():
            self.stamps[voter] = max(stamp, self.stamps.get(voter, 0))
        answer, news = self.acceptor.accept(message)
        news = news or older
        if news:
            self._persist_vote()
        return answer

    def learn(self, decided: ChosenState) -> None:
        """A head that was decided, whose contents are here."""
        if self.is_voting and self.acceptor.learn(decided):
            self._persist_vote()

    # --- Leases

    def grant(self, name: str, poll: LeaseRequest, floor: int, now: int) -> bool:
        """Return whether a member may go on: it has confirmed all that could contradict."""
        ok = self.is_voting and poll.confirmed_revision >= floor
        if ok and self.grants is not None:
            self.grants.record(name, now)
        return ok

    # --- Coming back

    def on_tick(self, now: int) -> list[tuple[str, Message]]:
        """Return what a voter that has started asks the others."""
        self._log_mode()
        if self._since is None:
            self._since = now
        if self.is_voting or now - self._sent_at < RESEND_INTERVAL:
            return []
        self._sent_at = now
        if self.acceptor.mode is VoterMode.CHECKING_DISK:
            return [(v, VoteRecoveryRequest(self.nonce)) for v in self.others]
        if self._is_recovered_state_known:
            self.complete_recovery()
            return []
        if self._recovery_ballot is None:
            self._recovery_ballot = self.ballot()
        return [(v, Prepare(self._recovery_ballot)) for v in self.others]

    def recover_vote(self, hello: VoteRecoveryRequest) -> VoteRecoveryReply:
        """Return the answer to a voter that has started."""
        return VoteRecoveryReply(hello.nonce, dict(self.stamps))

    def on_recovery_reply(self, voter: str, answer: VoteRecoveryReply, now: int) -> None:
        """Another voter says what it knows of this one's votes."""
        if answer.nonce != self.nonce:
            return
        lone = self._since is not None and now - self._since >= REDUCED_QUORUM_AFTER
        self.acceptor.on_recovery_reply(voter, answer, lone)
        for name, stamp in answer.stamps.items():
            self.stamps[name] = max(stamp, self.stamps.get(name, 0))
        self._log_mode()

    def observe_stamp(self, stamp: int) -> bool:
        """Somebody knows this stamp of this voter; whether that shows that it has lost votes."""
        lost = self.acceptor.observe_stamp(stamp)
        if lost:
            self.stamps[self.name] = max(stamp, self.stamps.get(self.name, 0))
            self._recovery_ballot = None
            self._is_recovered_state_known = False
            self._log_mode()
        return lost

    def on_recovery_promise(
        self, voter: str, promise: Promise, fetch: Callable[[RegisterState, str], None]
    ) -> None:
        """A promise for this voter's own mending; `fetch` has contents fetched from a voter."""
        if (
            self._recovery_ballot is None
            or promise.ballot != self._recovery_ballot
            or self._is_recovered_state_known
        ):
            return
        if not promise.ok:
            self._recovery_ballot = None  # the next one is above what beat it
            return
        found = self.acceptor.on_recovery_promise(voter, promise)
        if isinstance(found, bool):
            return
        self._recovered_state = found
        self._is_recovered_state_known = True
        if found is not None:
            fetch(found.state, voter)
        self.complete_recovery()

    def complete_recovery(self) -> None:
        """Vote again, where all that a mending voter goes on from is here."""
        if not self._is_recovered_state_known or self._recovery_ballot is None or self.is_voting:
            return
        if self._recovered_state is not None and not self.contents.has(
            *content_digests(self._recovered_state.state)
        ):
            return
        self.acceptor.recover(
            self._recovery_ballot, self._recovered_state, self.stamps.get(self.name, 0)
        )
        self._persist_vote()
        self._log_mode()

    def _log_mode(self) -> None:
        mode = self.acceptor.mode
        if mode is not self._logged_mode:
            self._logged_mode = mode
            fields: dict[str, object] = {"old_disk": self.acceptor.has_lost_votes}
            self.effects.append(LogEvent(f"voter {mode.value}", fields))
