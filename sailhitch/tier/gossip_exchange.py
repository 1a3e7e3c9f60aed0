"""Gossip messages: what a member sends in them, and how it processes those of others."""

from __future__ import annotations

from typing import Final

from .messages import GossipMessage
from .parts import MemberParts
from .register_view import RegisterView
from .voter_messages import VoterMessages

RECORDS_PER_MESSAGE: Final = 12  # members' records in a gossip message
REPORT_INTERVAL: Final = 300_000  # us between two reports to the proposer of a pending version


class GossipExchange:
    """Makes, sends and processes gossip messages."""

    def __init__(
        self, parts: MemberParts, register: RegisterView, voter_messages: VoterMessages
    ) -> None:
        self._parts = parts
        self._config = parts.config
        self._gossip = parts.gossip
        self._outbox = parts.outbox
        self._confirmations = parts.confirmations
        self._register = register
        self._voter_messages = voter_messages
        self._has_new_state = False
        self._report_at = 0

    def on_adopted(self) -> None:
        """Spread the state that this member has adopted, and report its confirmation soon."""
        self._has_new_state = True
        self._report_at = 0

    def expedite_new_state(self, now: int) -> None:
        """Gossip at each tick for a while, if a state was adopted since the last call."""
        if self._has_new_state:
            self._has_new_state = False
            self._gossip.gossip_soon(now)

    def send_if_due(self, now: int) -> None:
        """Begin a gossip round if one is due."""
        if self._gossip.is_due(now, self._is_busy(now)):
            self.send_round()

    def send_round(self) -> None:
        """Send gossip to as many members as the configured fan-out."""
        for name in self._gossip.draw_targets(self._config.fanout):
            self.send(name)

    def send(self, to: str) -> None:
        """Send gossip to one member."""
        self._outbox.send(to, self._message())

    def report_confirmed(self, now: int) -> None:
        """Report a confirmation or a fault to the proposer of the pending version.

        The report is repeated while the version is pending. Random gossip would reach the proposer
        too, but later.
        """
        chosen = self._register.chosen
        pending = None if chosen is None else chosen.state.pending
        if pending is None or pending.proposer == self._config.name or now < self._report_at:
            return
        applying = self._register.applying
        if applying is not None and (
            self._confirmations.own_revision >= applying.revision or self._register.fault
        ):
            self._report_at = now + REPORT_INTERVAL
            self.send(pending.proposer)

    def on_message(self, sender: str, message: GossipMessage, now: int) -> None:
        """Process a gossip message, and answer a sender that is behind."""
        self._parts.liveness.on_gossip(sender, message, now)
        self._voter_messages.observe_stamps(message.stamps)
        if message.expired_leases is not None and sender in self._config.voters:
            self._confirmations.record(sender, message.expired_leases)
        if message.chosen is not None:
            self._parts.proposer.observe_ballot(message.chosen.ballot)
            self._register.adopt_chosen(message.chosen, sender)
        chosen = self._register.chosen
        if chosen is None:
            return
        record = self._parts.membership.records.get(sender)
        if record is not None and record.confirmed_revision >= chosen.state.revision:
            # The sender applies that state, and so has all of its contents.
            self._parts.exchange.store.add_source(sender)
        sender_revision = 0 if message.chosen is None else message.chosen.state.revision
        if sender_revision < chosen.state.revision:
            self.send(sender)

    def _message(self) -> GossipMessage:
        parts = self._parts
        records = parts.membership.select_for_gossip(RECORDS_PER_MESSAGE, parts.rng)
        voters = self._config.voters
        stamps = {voter: stamp for voter, stamp in parts.stamps.items() if voter in voters}
        chosen = self._register.chosen
        report = self._confirmations.report(None if chosen is None else chosen.state)
        suspicions = parts.prober.suspicions_to_send()
        return GossipMessage(chosen, records, stamps, report, suspicions)

    def _is_busy(self, now: int) -> bool:
        """Return whether this member or others should learn something soon."""
        register = self._register
        chosen = register.chosen
        if chosen is None or not register.has_read_register or self._gossip.is_expedited(now):
            return True
        is_changing = chosen.state.pending is not None or bool(register.configuration.evicted)
        if is_changing or not register.is_caught_up():
            return True
        return (
            bool(self._parts.proposer.jobs)
            or self._parts.membership.has_unsent_updates()
            or self._parts.prober.has_unsent_updates()
        )
