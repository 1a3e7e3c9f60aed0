"""Liveness of members: their records, probes of them, and the refutation of suspicions."""

from __future__ import annotations

from typing import Final

import msgspec

from .membership import MembershipTable
from .messages import Ack, GossipMessage, Nack, Ping
from .outbox import Outbox
from .probes import Health, Prober

INCARNATION_KEY: Final = "self"  # the name on disk of this member's latest incarnation
METADATA_TTL: Final = 10_000_000  # us for which a member's metadata counts after its last record


class Liveness:
    """Connects the membership table and the prober. Effects go to the member's outbox."""

    def __init__(self, membership: MembershipTable, prober: Prober, outbox: Outbox) -> None:
        self._membership = membership
        self._prober = prober
        self._outbox = outbox
        self._name = membership.name

    def persist_incarnation(self) -> None:
        """Write this member's incarnation to disk, so that the next one is above it."""
        encoded = msgspec.msgpack.encode(self._membership.own_record.incarnation)
        self._outbox.persist({INCARNATION_KEY: encoded})

    def on_probe(self, sender: str, message: Ping | Ack | Nack) -> None:
        """Answer a probe, or process the reply to one."""
        if isinstance(message, Ping):
            self._refute(message.suspected_incarnation)
            self._outbox.send(sender, Ack(message.number))
        elif isinstance(message, Ack):
            self._prober.on_ack(sender, message.number)
        else:
            self._prober.on_nack(sender, message.number)

    def on_gossip(self, sender: str, message: GossipMessage, now: int) -> None:
        """Merge the records and suspicions of a gossip message."""
        table = self._membership
        prober = self._prober
        if table.merge(message.records, now):
            self.persist_incarnation()
            self._outbox.log_event(
                "another process used this name", {"life": table.own_record.incarnation}
            )
        prober.on_records(message.records)
        self._refute(prober.on_suspicions(message.suspicions, table.incarnation_of, now))
        suspected = prober.suspected_incarnation(sender, table.incarnation_of)
        if suspected:
            # The sender is alive and may not know that it is suspected.
            self._outbox.send(sender, Ping(0, suspected))

    def _refute(self, incarnation: int) -> None:
        """Raise this member's incarnation above a suspected one, given as 0 for none."""
        if incarnation and self._membership.raise_incarnation(incarnation):
            self._prober.on_own_suspicion()
            self.persist_incarnation()

    def metadata(self, own: bytes, now: int) -> dict[str, bytes]:
        """Return the metadata of live members, this one included, by name.

        The last metadata of a member that fails together with its zone still report the zone as
        healthy, so a member's metadata is ignored as soon as it is suspected.
        """
        records = self._membership.records
        health = self._prober.health
        metadata = {
            name: records[name].metadata
            for name, updated_at in self._membership.updated_at.items()
            if now - updated_at <= METADATA_TTL
            and records[name].metadata
            and health(name, records[name].incarnation) is Health.ALIVE
        }
        return {**metadata, self._name: own} if own else metadata

    def confirmed(self, revision: int) -> list[str]:
        """Return the members that have confirmed that revision or a later one."""
        records = self._membership.records
        return [name for name, record in records.items() if record.confirmed_revision >= revision]

    def members_behind(self, names: tuple[str, ...], revision: int) -> list[str]:
        """Return those of `names` that are not declared dead and have not confirmed `revision`."""
        records = self._membership.records
        dead = set(self._prober.dead_members())
        return [
            name
            for name in names
            if name not in dead
            and name != self._name
            and (name not in records or records[name].confirmed_revision < revision)
        ]
