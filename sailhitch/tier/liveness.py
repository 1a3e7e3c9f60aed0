"""Which members are there: their records, probes of them, and the refutation of suspicions."""

from __future__ import annotations

from typing import Final

import msgspec

from .membership import MembershipTable
from .messages import Ack, GossipMessage, Nack, Ping
from .outbox import Outbox
from .probes import Health, Prober

INCARNATION_KEY: Final = "self"  # the name on disk of this member's latest life
METADATA_TTL: Final = 10_000_000  # us for which a member's metadata counts after its last record


class Liveness:
    """Joins the table of records and the prober. Effects go to the member's outbox."""

    def __init__(self, membership: MembershipTable, prober: Prober, outbox: Outbox) -> None:
        self._membership = membership
        self._prober = prober
        self._outbox = outbox
        self._name = membership.name

    def persist_incarnation(self) -> None:
        """Have this member's life on disk: the next one is above it."""
        encoded = msgspec.msgpack.encode(self._membership.own_record.incarnation)
        self._outbox.persist({INCARNATION_KEY: encoded})

    def on_probe(self, sender: str, message: Ping | Ack | Nack) -> None:
        """Answer a probe, or take an answer."""
        if isinstance(message, Ping):
            self._refute(message.suspected_incarnation)
            self._outbox.send(sender, Ack(message.number))
        elif isinstance(message, Ack):
            self._prober.on_ack(sender, message.number)
        else:
            self._prober.on_nack(sender, message.number)

    def on_gossip(self, sender: str, news: GossipMessage, now: int) -> None:
        """Take in records and suspicions that came by gossip."""
        table = self._membership
        prober = self._prober
        if table.merge(news.records, now):
            self.persist_incarnation()
            self._outbox.log_event(
                "name heard in another life", {"life": table.own_record.incarnation}
            )
        prober.on_records(news.records)
        self._refute(prober.on_suspicions(news.suspicions, table.incarnation_of, now))
        suspected = prober.suspected_incarnation(sender, table.incarnation_of)
        if suspected:
            # It is there, and may not know what is said of it.
            self._outbox.send(sender, Ping(0, suspected))

    def _refute(self, life: int) -> None:
        """A life of this member is suspected: go on in the next."""
        if life and self._membership.raise_incarnation(life):
            self._prober.on_own_suspicion()
            self.persist_incarnation()

    def metadata(self, own: bytes, now: int) -> dict[str, bytes]:
        """Return the metadata of those that are there, this member too, by name.

        Who dies with a zone has said of it, last, that it is well. Its metadata does not
        count from when it is suspected.
        """
        records = self._membership.records
        health = self._prober.health
        found = {
            name: records[name].metadata
            for name, seen in self._membership.updated_at.items()
            if now - seen <= METADATA_TTL
            and records[name].metadata
            and health(name, records[name].incarnation) is Health.ALIVE
        }
        return {**found, self._name: own} if own else found

    def confirmed(self, turn: int) -> list[str]:
        """Members whose records say that they apply that turn or a later one."""
        records = self._membership.records
        return [name for name, record in records.items() if record.confirmed_revision >= turn]

    def members_behind(self, names: tuple[str, ...], turn: int) -> list[str]:
        """Return those of `names` that are not declared dead and have not confirmed that turn."""
        records = self._membership.records
        dead = set(self._prober.dead_members())
        return [
            name
            for name in names
            if name not in dead
            and name != self._name
            and (name not in records or records[name].confirmed_revision < turn)
        ]
