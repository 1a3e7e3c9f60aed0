"""One process of the tier: composes the parts, dispatches messages and orders each tick.

Why this is safe, argued at length in `docs/design/tier.md`: the meet of two versions permits only
what both permit. A member acts by the active version, or by the meet of active and pending. It
confirms a pending version once it applies nothing older, and a pending version becomes active only
when every member of the configuration has confirmed it, or can't act any more (its lease has
expired at a majority of voters, which grant it none for any older state). So whatever any member
does at any time is allowed by the version that is active then.
"""

from __future__ import annotations

import random
from typing import Any

from ..pages import Tree
from .config import BootstrapVersion, MemberStatus, TierConfig
from .configuration import Configuration
from .content_exchange import MAX_CONFIRMED_SOURCES, MAX_OTHER_SOURCES, ContentMessage
from .content_store import CONTENT_KEY_PREFIX
from .effects import AppliedVersions, Effect
from .gossip_exchange import GossipExchange
from .join import Joining
from .lease_renewal import RENEWALS_PER_LEASE, LeaseRenewal
from .messages import Ack, ChosenState, GossipMessage, Message, Nack, Ping, Relayed
from .operator_commands import OperatorCommands
from .outbox import VOTER_REQUESTS
from .parts import build_parts
from .pending_change import PendingChange
from .register_view import CHOSEN_KEY, RegisterView
from .status_report import status_report
from .voter_messages import VoterMessages

__all__ = [
    "CHOSEN_KEY",
    "CONTENT_KEY_PREFIX",
    "RENEWALS_PER_LEASE",
    "BootstrapVersion",
    "Configuration",
    "Member",
    "MemberStatus",
    "TierConfig",
]


class Member:
    """The sans-IO core of a member. Methods take the time; `take_effects` returns what to do."""

    def __init__(
        self,
        config: TierConfig,
        boot: int,
        persisted: dict[str, bytes],
        rng: random.Random,
        now: int,
        bootstrap_version: BootstrapVersion | None,
    ) -> None:
        """Start a member.

        Args:
            config: The member's settings.
            boot: A random number of this process.
            persisted: The items on the member's disk.
            rng: The source of all random choices.
            now: The time.
            bootstrap_version: The first version, if this member may bootstrap the tier.
        """
        parts = build_parts(config, boot, persisted, rng, now)
        self._parts = parts
        self.config = config
        self.boot = boot
        self.rng = rng
        self.prober = parts.prober
        self.membership = parts.membership
        self.contents = parts.exchange.store
        self.proposer = parts.proposer
        self.lease = parts.lease
        self.voter = parts.voter
        self.metadata = b""  # attached to this member's record for the process that runs it
        self._outbox = parts.outbox
        self._register = RegisterView(parts, persisted, bootstrap_version, self._on_adopted)
        self._voter_messages = VoterMessages(parts, self._register, self._send_gossip)
        self._gossip_exchange = GossipExchange(parts, self._register, self._voter_messages)
        self._pending_change = PendingChange(parts, self._register)
        self._joining = Joining(parts, self._register, self._pending_change.is_lease_expired)
        self._lease_renewal = LeaseRenewal(parts)
        self._commands = OperatorCommands(parts, self._register, now)
        parts.liveness.persist_incarnation()
        self._register.begin_startup_read()

    @property
    def chosen(self) -> ChosenState | None:
        """Return the latest chosen state that this member knows."""
        return self._register.chosen

    def was_active(self, serial: int) -> bool | None:
        """Return whether a version is or was active; None if this member does not know."""
        return self._register.active_versions.was_active(serial)

    @property
    def applying(self) -> AppliedVersions | None:
        """Return the versions that the process was last asked to apply."""
        return self._register.applying

    @property
    def confirmed_revision(self) -> int:
        """Return the revision that this process applies, or a later one."""
        return self._parts.confirmations.own_revision

    @property
    def configuration(self) -> Configuration:
        """Return the configuration of the latest state whose contents this member has."""
        return self._register.configuration

    @property
    def knows_configuration(self) -> bool:
        """Return whether `configuration` was chosen; until one is loaded, it is empty."""
        return self._register.knows_configuration

    # --- Events

    def take_effects(self) -> list[Effect]:
        """Return the effects since the last call, in the order to execute."""
        return self._outbox.take_effects()

    def on_tick(self, now: int) -> None:
        """Run all timed actions that are due; called about ten times a second."""
        self._record_heartbeat()
        if self.voter is not None:
            self._outbox.send_all(self.voter.on_tick(now))
        self._outbox.send_all(self.proposer.on_tick(now))
        self._register.retry_startup_read(now)
        if not self.is_caught_up():
            self._register.apply_chosen()
        self._parts.exchange.send_requests(now, self._content_sources)
        self._lease_renewal.renew_if_due(now)
        others = self._parts.gossip.others
        self._outbox.send_all(self.prober.on_tick(now, others, self.membership.incarnation_of))
        self._gossip_exchange.expedite_new_state(now)
        self._pending_change.report_expired_leases(now)
        self._joining.join(now)
        self._pending_change.activate(now)
        self._pending_change.recover_round(now)
        self._voter_messages.persist_stamps()
        self._gossip_exchange.report_confirmed(now)
        self._gossip_exchange.send_if_due(now)
        self._deliver_local_messages(now)

    def on_message(self, sender: str, message: Message, now: int) -> None:
        """Process a message; its sender is authenticated, its content may be wrong."""
        self._outbox.on_direct_message(sender)
        self._dispatch(sender, message, now)
        self._deliver_local_messages(now)

    def confirm_applied(self, revision: int, now: int) -> None:
        """Confirm that nothing in this process uses anything older than this revision."""
        if revision > self.confirmed_revision:
            self.gossip_soon(now)
            self._parts.confirmations.own_revision = revision
            self._register.fault = ""
            self._record_heartbeat()
            self._lease_renewal.renew(now)
            self._pending_change.activate(now)
            self._gossip_exchange.send_round()
            self._gossip_exchange.report_confirmed(now)
            self._parts.exchange.release_before(revision)
            if self.is_caught_up():
                self._register.release_unreferenced()
        self._deliver_local_messages(now)

    def report_apply_failure(self, revision: int, reason: str) -> None:
        """Record that this process can't apply that revision; it stays at an older one."""
        self._register.report_apply_failure(revision, reason)

    def gossip_soon(self, now: int) -> None:
        """Gossip at each tick for a while, because this member has news that others wait for."""
        self._parts.gossip.gossip_soon(now)

    def _record_heartbeat(self) -> None:
        self.membership.record_heartbeat(
            self.confirmed_revision, self._register.fault, self.metadata
        )

    def _on_adopted(self) -> None:
        self._pending_change.on_adopted()
        self._gossip_exchange.on_adopted()

    def _send_gossip(self, to: str) -> None:
        self._gossip_exchange.send(to)

    # --- Operators' commands; `OperatorCommands` documents them

    def propose(
        self, content: bytes | Tree, base: int, needs_confirmation: bool, operator: str, when: int
    ) -> int:
        """Propose a version made from the active one of serial `base`; return the job's number."""
        return self._commands.propose(content, base, needs_confirmation, operator, when)

    def propose_traffic_policy(self, content: bytes, base: int, operator: str, when: int) -> int:
        """Propose a traffic policy made from that of serial `base`; return the job's number."""
        return self._commands.propose_traffic_policy(content, base, operator, when)

    def read(self) -> int:
        """Read the register from a majority of voters; return the job's number."""
        return self._commands.read()

    def withdraw(self, serial: int) -> int:
        """Withdraw a pending version; return the job's number."""
        return self._commands.withdraw(serial)

    def why_not_evictable(self, name: str, min_silence: int, now: int) -> str:
        """Return why a member must not be evicted; an empty text permits it."""
        return self._commands.why_not_evictable(name, min_silence, now)

    def evict(self, name: str) -> int | None:
        """Evict a member; return the job's number, or None if this one has to catch up."""
        return self._commands.evict(name)

    def why_not_admitted(self, name: str) -> str:
        """Return why a member must not be given an address; an empty text permits it."""
        return self._commands.why_not_admitted(name)

    def admit(self, name: str, address: str) -> int | None:
        """Set a member's address; return the job's number, or None if this one has to catch up."""
        return self._commands.admit(name, address)

    def leave(self) -> int | None:
        """Leave the tier; return the job's number, or None if this one has to catch up."""
        return self._commands.leave()

    # --- Status

    def is_caught_up(self) -> bool:
        """Return whether this member has all contents of the chosen state."""
        return self._register.is_caught_up()

    def member_status(self, now: int) -> MemberStatus:
        """Return whether this member may act under its rules; checked right before it acts."""
        register = self._register
        if register.register_regressed:
            return MemberStatus.REGISTER_REGRESSED
        if self.membership.has_duplicate_name(now):
            return MemberStatus.DUPLICATE_NAME
        if not register.has_read_register:
            return MemberStatus.READING_REGISTER
        if register.has_left:
            return MemberStatus.NOT_A_MEMBER
        if not register.joined_revision:
            # The current configuration is unknown until its contents have arrived.
            is_known = register.is_caught_up()
            return MemberStatus.NOT_A_MEMBER if is_known else MemberStatus.BEHIND
        if self.confirmed_revision < register.joined_revision:
            return MemberStatus.BEHIND
        if self.lease is not None and now >= self.lease.expires_at():
            return MemberStatus.LEASE_EXPIRED
        return MemberStatus.ACTIVE

    def waiting_for(self) -> list[str]:
        """Return the members that a pending version waits for."""
        return self._pending_change.waiting_for()

    def metadata_by_member(self, now: int) -> dict[str, bytes]:
        """Return the metadata of the live members, including this one, by name."""
        return self._parts.liveness.metadata(self.metadata, now)

    def members_behind(self) -> list[str]:
        """Return the live members that have not confirmed what this one applies."""
        return self._parts.liveness.members_behind(
            self.configuration.members, self.confirmed_revision
        )

    def status(self, now: int) -> dict[str, Any]:
        """Return what `tier status` shows. Ages are by this process's clock."""
        return status_report(self, now)

    # --- Messages

    def _deliver_local_messages(self, now: int) -> None:
        """Process this member's messages to itself, before it sends those to others."""
        while (message := self._outbox.take_local_message()) is not None:
            self._dispatch(self.config.name, message, now)

    def _dispatch(self, sender: str, message: Message, now: int) -> None:
        if isinstance(message, GossipMessage):
            self._gossip_exchange.on_message(sender, message, now)
        elif isinstance(message, ContentMessage):
            if self._parts.exchange.on_message(sender, message, now):
                self._voter_messages.on_content_complete(now)
                self._register.apply_chosen()
        elif isinstance(message, Relayed):
            self._on_relayed(sender, message, now)
        elif isinstance(message, (Ping, Ack, Nack)):
            self._parts.liveness.on_probe(sender, message)
        elif isinstance(message, VOTER_REQUESTS):
            self._voter_messages.on_request(sender, message, now)
        elif sender in self.config.voters:
            if not self._outbox.is_relayed:
                self._outbox.relays.on_reply(sender)
            self._voter_messages.on_reply(sender, message, now)

    def _on_relayed(self, sender: str, relayed: Relayed, now: int) -> None:
        """Forward a message, or process one for this member; its reply goes back over the relay."""
        if relayed.to == self.config.name:
            with self._outbox.replying_over(relayed.origin, sender):
                self._dispatch(relayed.origin, relayed.message, now)
        elif relayed.origin == sender:  # otherwise it was relayed before; one hop is the most
            if isinstance(relayed.message, Ping):
                self.prober.on_relayed_ping(sender, relayed.message.number, now)
            elif isinstance(relayed.message, Ack):
                self.prober.on_relayed_ack(relayed.to, relayed.message.number)
            self._outbox.send(relayed.to, relayed)

    def _content_sources(self) -> list[list[str]]:
        """Return the live members to fetch from: voters and those that apply the state; others."""
        exchange = self._parts.exchange
        confirmed = exchange.sample(
            self._parts.liveness.confirmed(self._register.revision), MAX_CONFIRMED_SOURCES
        )
        likely = sorted({*self.config.voters, *confirmed} - {self.config.name})
        others = exchange.sample(list(self._parts.gossip.others), MAX_OTHER_SOURCES)
        is_alive = self.prober.is_alive
        return [[name for name in names if is_alive(name)] for names in (likely, others)]
