"""Handles requests to this member's voter, and the replies of other voters."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from .messages import (
    Accept,
    Accepted,
    LeaseGrant,
    LeaseRequest,
    Message,
    Prepare,
    Promise,
    ReadReply,
    ReadRequest,
    UnfinishedRound,
    VoteRecoveryReply,
    VoteRecoveryRequest,
)
from .parts import MemberParts
from .register_view import RegisterView
from .voter import STAMPS_KEY

VoterRequest = ReadRequest | Prepare | Accept | VoteRecoveryRequest | LeaseRequest

SendGossip = Callable[[str], None]
"""Sends a gossip message to a member."""


class VoterMessages:
    """Dispatches requests and replies to the voter and the proposer, and records voters' stamps."""

    def __init__(self, parts: MemberParts, register: RegisterView, send_gossip: SendGossip) -> None:
        self._name = parts.config.name
        self._voter = parts.voter
        self._proposer = parts.proposer
        self._lease = parts.lease
        self._exchange = parts.exchange
        self._outbox = parts.outbox
        self._stamps = parts.stamps
        self._persisted_stamps = parts.persisted_stamps
        self._register = register
        self._send_gossip = send_gossip
        # The sender and the request that is answered once the contents of its state are fetched.
        self._deferred_accept: tuple[str, Accept] | None = None

    def on_request(self, sender: str, request: VoterRequest, now: int) -> None:
        """Answer a request, if this member is a voter and is able to."""
        if self._voter is None:
            return
        answer: Message | None = None
        if isinstance(request, ReadRequest):
            answer = self._voter.read_reply(sender, request.number)
        elif isinstance(request, Prepare):
            self._proposer.observe_ballot(request.ballot)
            answer = self._voter.prepare(request)
        elif isinstance(request, Accept):
            answer = self._accept(sender, request, now)
        elif isinstance(request, VoteRecoveryRequest):
            answer = self._voter.recover_vote(request)
        else:
            answer = self._grant_lease(sender, request, now)
        if answer is not None:
            self._outbox.send(sender, answer)

    def _accept(self, sender: str, request: Accept, now: int) -> Accepted | None:
        """Return the answer; None while contents are fetched, or if the voter does not vote."""
        assert self._voter is not None
        self._proposer.observe_ballot(request.ballot)
        answer = self._voter.accept(request)
        if answer is None and self._voter.is_voting:
            self._deferred_accept = sender, request
            self._exchange.fetch_for_vote(request.state, sender)
            self._exchange.send_requests(now)
        return answer

    def _grant_lease(self, sender: str, request: LeaseRequest, now: int) -> LeaseGrant | None:
        """Return the answer; a refused sender is first sent gossip with what it may have missed."""
        assert self._voter is not None
        chosen = self._register.chosen
        if not self._register.has_read_register or chosen is None:
            return None
        is_member = sender in self._register.index.members
        granted = is_member and self._voter.grant(
            sender, request, chosen.state.required_revision, now
        )
        if not granted and sender != self._name:
            self._send_gossip(sender)
        return LeaseGrant(request.number, granted)

    def on_reply(self, sender: str, message: Message, now: int) -> None:
        """Process a voter's answer to a request of this member."""
        if isinstance(message, ReadReply | UnfinishedRound):
            self._proposer.on_read_reply(sender, message)
        elif isinstance(message, Promise):
            self.observe_stamp(sender, message.stamp)
            self._outbox.send_all(self._proposer.on_promise(sender, message, now))
            if self._voter is not None:
                self._voter.on_recovery_promise(sender, message, self._exchange.fetch_for_vote)
        elif isinstance(message, Accepted):
            self.observe_stamp(sender, message.stamp)
            self._outbox.send_all(self._proposer.on_accepted(sender, message, now))
        elif isinstance(message, VoteRecoveryReply) and self._voter is not None:
            self._voter.on_recovery_reply(sender, message, now)
        elif isinstance(message, LeaseGrant) and message.granted and self._lease is not None:
            self._lease.on_grant(sender, message.number)

    def on_content_complete(self, now: int) -> None:
        """Continue the recovery or the vote that waited for the contents."""
        if self._voter is None:
            return
        self._voter.complete_recovery()
        if self._deferred_accept is not None:
            sender, request = self._deferred_accept
            self._deferred_accept = None
            self.on_request(sender, request, now)

    # --- Stamps

    def observe_stamps(self, stamps: dict[str, int]) -> None:
        """Record the stamps of the voters' votes that another member has reported."""
        for voter, stamp in stamps.items():
            if stamp > self._stamps.get(voter, 0) or voter == self._name:
                self.observe_stamp(voter, stamp)

    def observe_stamp(self, voter: str, stamp: int) -> None:
        """Record a voter's stamp; one of this member's own may show that its votes were lost."""
        self._stamps[voter] = max(stamp, self._stamps.get(voter, 0))
        if self._voter is not None and voter == self._name:
            self._voter.observe_stamp(stamp)

    def persist_stamps(self) -> None:
        """Persist the known stamps if this member is a voter and they have changed."""
        if self._voter is not None and self._stamps != self._persisted_stamps:
            self._persisted_stamps = dict(self._stamps)
            self._outbox.persist({STAMPS_KEY: msgspec.msgpack.encode(self._stamps)})
