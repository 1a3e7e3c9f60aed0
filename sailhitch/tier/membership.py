"""The members of the tier, as gossip reports them: each one's latest record of itself.

A member's records are ordered by its incarnation and the heartbeats of that incarnation. A member
that receives a record of its own name in a later incarnation takes one above it, as SWIM's
refutation does (Das, Gupta, Motivala 2002). Repeated refutations show that two processes use one
name.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Final

import msgspec

from .messages import MemberRecord

# Datagrams that carry an updated record first; after those it takes its turn like all others.
MAX_TRANSMISSIONS: Final = 6
DUPLICATE_AFTER: Final = 4  # refutations, each within `DUPLICATE_WINDOW` of the one before
DUPLICATE_WINDOW: Final = 20_000_000  # us
MAX_FAULT_LENGTH: Final = 100  # characters of the reason why a member can't apply a state


class MembershipTable:
    """The latest records of all members, this one included."""

    def __init__(self, name: str, incarnation: int, boot: int) -> None:
        self.name = name
        self.records: dict[str, MemberRecord] = {
            name: MemberRecord(name, incarnation, boot, 0, 0, "")
        }
        self.updated_at: dict[str, int] = {}  # when each member's record last advanced
        self.refutations = 0  # in a row, each within `DUPLICATE_WINDOW` of the one before
        self._refuted_at = 0
        self._transmissions: dict[str, int] = {}  # by member whose record was updated
        self._gossip_order: list[str] = []  # members whose records were not sent in this cycle

    @property
    def own_record(self) -> MemberRecord:
        """This member's record."""
        return self.records[self.name]

    def has_duplicate_name(self, now: int) -> bool:
        """Return whether another process uses this member's name."""
        return self.refutations >= DUPLICATE_AFTER and now - self._refuted_at < DUPLICATE_WINDOW

    def record_heartbeat(self, confirmed: int, fault: str, metadata: bytes = b"") -> None:
        """Advance this member's heartbeat, with its status."""
        old = self.own_record
        self.records[self.name] = MemberRecord(
            self.name,
            old.incarnation,
            old.boot,
            old.heartbeat + 1,
            confirmed,
            fault[:MAX_FAULT_LENGTH],
            metadata,
        )

    def merge(self, records: Iterable[MemberRecord], now: int) -> bool:
        """Merge records from gossip; return whether this member's incarnation was raised."""
        raised = False
        known = self.records
        own_name = self.name
        for record in records:
            name = record.name
            if name == own_name:
                raised = self._on_record_of_own_name(record, now) or raised
                continue
            old = known.get(name)
            if old is not None and record.incarnation <= old.incarnation:
                if record.incarnation < old.incarnation or record.heartbeat <= old.heartbeat:
                    continue
                if record.confirmed_revision != old.confirmed_revision:
                    self._transmissions[name] = 0
            else:
                self._transmissions[name] = 0
            known[name] = record
            self.updated_at[name] = now
        return raised

    def _on_record_of_own_name(self, record: MemberRecord, now: int) -> bool:
        own = self.own_record
        if record.boot == own.boot or record.incarnation < own.incarnation:
            return False
        self.refutations = self.refutations + 1 if now - self._refuted_at < DUPLICATE_WINDOW else 1
        self._refuted_at = now
        return self.raise_incarnation(record.incarnation)

    def incarnation_of(self, name: str) -> int:
        """Return the latest known incarnation of a member, 0 for none."""
        record = self.records.get(name)
        return 0 if record is None else record.incarnation

    def raise_incarnation(self, incarnation: int) -> bool:
        """Raise this member's incarnation above a suspected one; return whether it changed."""
        own = self.own_record
        if incarnation < own.incarnation:
            return False
        self.records[self.name] = msgspec.structs.replace(own, incarnation=incarnation + 1)
        return True

    def has_unsent_updates(self) -> bool:
        """Return whether an updated record was sent fewer than `MAX_TRANSMISSIONS` times."""
        return bool(self._transmissions)

    def select_for_gossip(self, limit: int, rng: random.Random) -> list[MemberRecord]:
        """Return the records for one datagram: the own one, updated ones, then the others in turn.

        The work is bounded by `limit`, whatever the number of members.
        """
        chosen = {self.name: None}
        for name in list(self._transmissions)[: limit - 1]:
            chosen[name] = None
            self._transmissions[name] += 1
            if self._transmissions[name] >= MAX_TRANSMISSIONS:
                del self._transmissions[name]
        order = self._gossip_order
        for _ in range(min(limit, len(self.records))):
            if len(chosen) >= limit:
                break
            if not order:
                # Shuffled in each cycle, so that no two members keep sending the same records.
                order.extend(name for name in self.records if name != self.name)
                rng.shuffle(order)
            if order:
                chosen[order.pop()] = None
        return [self.records[name] for name in chosen]
