"""Which members are there: their records, probes of them, and the refutation of suspicions."""

from __future__ import annotations

from typing import Final

import msgspec

from .membership import MembershipTable
from .messages import Ack, Nack, News, Ping
from .outbox import Outbox
from .probes import Health, Prober

INCARNATION: Final = "self"  # the name on disk of this member's latest life
METADATA_LIFE: Final = 10_000_000  # us for which a member's metadata counts after its last record


class Presence:
    """Joins the table of records and the prober. Effects go to the member's outbox."""

    def __init__(self, membership: MembershipTable, prober: Prober, outbox: Outbox) -> None:
        self._membership, self._prober, self._outbox = membership, prober, outbox
        self._name = membership.name

    def keep_incarnation(self) -> None:
        """Have this member's life on disk: the next one is above it."""
        encoded = msgspec.msgpack.encode(self._membership.mine.life)
        self._outbox.keep({INCARNATION: encoded})

    def hear_probe(self, sender: str, message: Ping | Ack | Nack) -> None:
        """Answer a probe, or take an answer."""
        if isinstance(message, Ping):
            self._refute(message.doubted)
            self._outbox.send(sender, Ack(message.number))
        elif isinstance(message, Ack):
            self._prober.answered(sender, message.number)
        else:
            self._prober.not_answered(sender, message.number)

    def hear_news(self, sender: str, news: News, now: int) -> None:
        """Take in records and suspicions that came by gossip."""
        table, prober = self._membership, self._prober
        if table.merge(news.records, now):
            self.keep_incarnation()
            self._outbox.tell("name heard in another life", {"life": table.mine.life})
        prober.seen(news.records)
        self._refute(prober.doubted(news.doubts, table.life_of, now))
        suspected = prober.doubt_of(sender, table.life_of)
        if suspected:
            # It is there, and may not know what is said of it.
            self._outbox.send(sender, Ping(0, suspected))

    def _refute(self, life: int) -> None:
        """A life of this member is suspected: go on in the next."""
        if life and self._membership.live_above(life):
            self._prober.ill()
            self.keep_incarnation()

    def metadata(self, own: bytes, now: int) -> dict[str, bytes]:
        """The metadata of those that are there, this member too, by name.

        Danger: who dies with a zone has said of it, last, that it is well. Its metadata does not
        count from when it is suspected.
        """
        records, health = self._membership.records, self._prober.health
        found = {
            name: records[name].word for name, seen in self._membership.seen.items()
            if now - seen <= METADATA_LIFE and records[name].word
            and health(name, records[name].life) is Health.ALIVE
        }  # fmt: skip
        return {**found, self._name: own} if own else found

    def confirmed(self, turn: int) -> list[str]:
        """Members whose records say that they apply that turn or a later one."""
        records = self._membership.records
        return [name for name, record in records.items() if record.confirmed >= turn]

    def lagging(self, names: tuple[str, ...], turn: int) -> list[str]:
        """Those of `names` that are not declared dead and have not confirmed that turn."""
        records, dead = self._membership.records, set(self._prober.dead())
        return [
            name for name in names
            if name not in dead and name != self._name
            and (name not in records or records[name].confirmed < turn)
        ]  # fmt: skip
