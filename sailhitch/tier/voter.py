"""A voter's part of a member: it persists votes before answers, grants leases, and recovers."""

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

STAMPS_KEY: Final = "stamps"  # the key of the stamps on disk
# us until a restarted voter votes after fewer replies
REDUCED_QUORUM_AFTER: Final = 10_000_000
RESEND_INTERVAL: Final = 300_000  # us until a recovering voter sends its requests again


def content_digests(state: RegisterState) -> tuple[str, ...]:
    """Return the digests of the contents needed before a state is accepted or applied."""
    versions = (state.active, state.pending, state.traffic_policy)
    return (
        *(version.digest for version in versions if version is not None),
        state.configuration_digest,
    )


class Voter:
    """Answers as a voter. A changed vote is appended to `effects` as a `Persist` before the answer.

    A state is accepted only once its contents are on this voter's disk, so the contents of a chosen
    state can be fetched from a majority of the voters, whoever proposed it.
    """

    def __init__(
        self,
        name: str,
        voters: Collection[str],
        persisted_vote: bytes | None,
        contents: ContentStore,
        stamps: dict[str, int],
        grants: GrantTable | None,
        next_ballot: Callable[[], Ballot],
        nonce: int,
        effects: list[Effect],
    ) -> None:
        vote = None
        if persisted_vote is not None:
            vote = msgspec.msgpack.decode(persisted_vote, type=Vote)
        self.acceptor = Acceptor(name, voters, vote)
        self.name = name
        self.contents = contents
        self.stamps = stamps
        self.grants = grants
        self._next_ballot = next_ballot
        self.nonce = nonce
        self.effects = effects
        self.others = self.acceptor.others
        self._sent_at = 0
        self._started_at: int | None = None
        self._recovery_ballot: Ballot | None = None
        # The state that a recovering voter resumes from, once it has the contents.
        self._recovered_state: ChosenState | None = None
        self._is_recovered_state_known = False
        self._logged_mode = VoterMode.CHECKING_DISK
        self._record_own_stamp()

    @property
    def is_voting(self) -> bool:
        """Return whether it votes: its disk was checked and needs no recovery."""
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
        """Return the state that it accepted, whose contents it has to retain."""
        return self.acceptor.vote.accepted

    # --- Votes

    def read_reply(self, reader: str, number: int) -> ReadReply | UnfinishedRound | None:
        """Return the reply to a read; None where this voter does not vote."""
        if not self.is_voting:
            return None
        if self.acceptor.has_unfinished(reader):
            return UnfinishedRound(number, self.accepted_state())
        return ReadReply(number, self.accepted_state())

    def prepare(self, message: Prepare) -> Promise | None:
        """Return the promise or the rejection of a ballot; None where this voter does not vote."""
        if not self.is_voting:
            return None
        answer, is_changed = self.acceptor.prepare(message.ballot)
        if is_changed:
            self._persist_vote()
        return answer

    def accept(self, message: Accept) -> Accepted | None:
        """Return the answer to an `Accept`.

        None where this voter does not vote, or does not have the contents yet.
        """
        if self.observe_stamp(message.stamps.get(self.name, 0)) or not self.is_voting:
            return None
        if not self.contents.has(*content_digests(message.state)):
            return None
        has_new_stamps = self._merge_stamps(message.stamps)
        answer, is_changed = self.acceptor.accept(message)
        if is_changed or has_new_stamps:
            self._persist_vote()
        return answer

    def _merge_stamps(self, stamps: dict[str, int]) -> bool:
        """Keep the latest stamp of each voter, and return whether any of these is new."""
        has_new = False
        for voter, stamp in stamps.items():
            known = self.stamps.get(voter, 0)
            has_new = has_new or stamp > known
            self.stamps[voter] = max(stamp, known)
        return has_new

    def learn(self, chosen: ChosenState) -> None:
        """Accept a chosen state whose contents are on this voter's disk."""
        if self.is_voting and self.acceptor.learn(chosen):
            self._persist_vote()

    # --- Leases

    def grant(self, name: str, request: LeaseRequest, required_revision: int, now: int) -> bool:
        """Grant a lease if the member has confirmed the required revision; return whether it did.

        A voter that does not vote grants no lease.
        """
        ok = self.is_voting and request.confirmed_revision >= required_revision
        if ok and self.grants is not None:
            self.grants.record(name, now)
        return ok

    # --- Recovery

    def on_tick(self, now: int) -> list[tuple[str, Message]]:
        """Return the messages to the other voters, while this one checks its disk or recovers."""
        self._log_mode()
        if self._started_at is None:
            self._started_at = now
        if self.is_voting or now - self._sent_at < RESEND_INTERVAL:
            return []
        self._sent_at = now
        if self.acceptor.mode is VoterMode.CHECKING_DISK:
            return [(voter, VoteRecoveryRequest(self.nonce)) for voter in self.others]
        if self._is_recovered_state_known:
            self.complete_recovery()
            return []
        if self._recovery_ballot is None:
            self._recovery_ballot = self._next_ballot()
        return [(voter, Prepare(self._recovery_ballot)) for voter in self.others]

    def recover_vote(self, request: VoteRecoveryRequest) -> VoteRecoveryReply:
        """Return the reply to a voter that has started."""
        return VoteRecoveryReply(request.nonce, dict(self.stamps))

    def on_recovery_reply(self, voter: str, reply: VoteRecoveryReply, now: int) -> None:
        """Process another voter's reply about the votes of this one."""
        if reply.nonce != self.nonce:
            return
        is_reduced = self._started_at is not None and now - self._started_at >= REDUCED_QUORUM_AFTER
        self.acceptor.on_recovery_reply(voter, reply, is_reduced)
        self._merge_stamps(reply.stamps)
        self._log_mode()

    def observe_stamp(self, stamp: int) -> bool:
        """Compare another member's stamp of this voter; return whether votes were lost."""
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
        """Process a promise for this voter's own recovery; `fetch` fetches a state's contents."""
        if (
            self._recovery_ballot is None
            or promise.ballot != self._recovery_ballot
            or self._is_recovered_state_known
        ):
            return
        if not promise.ok:
            self._recovery_ballot = None  # on_tick takes one above the ballot that was promised
            return
        recovered = self.acceptor.on_recovery_promise(voter, promise)
        if isinstance(recovered, bool):
            return
        self._recovered_state = recovered
        self._is_recovered_state_known = True
        if recovered is not None:
            fetch(recovered.state, voter)
        self.complete_recovery()

    def complete_recovery(self) -> None:
        """Vote again, if the recovered state is known and its contents have arrived."""
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
