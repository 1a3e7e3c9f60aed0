"""Who is in the tier, as gossip has it: each member's latest word about itself.

A member's rows are ordered by its life (incarnation) and the beats of that life. A member that
hears of its own name in a later life than its own takes one above it, as SWIM's refutation does
(Das, Gupta, Motivala 2002); that this goes on is the sign of two processes under one name.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Final

import msgspec

from .messages import MemberRecord

# Datagrams that a news goes out with before it takes its turn like the others.
TRANSMISSIONS: Final = 6
DUPLICATE_AFTER: Final = 4  # lives taken against others' within `TWIN_QUIET` each
MAX_FAULT_LENGTH: Final = 100  # letters of why a member can't go by a head
DUPLICATE_WINDOW: Final = 20_000_000


class MembershipTable:
    """Rows of members, this one's own among them."""

    def __init__(self, name: str, life: int, boot: int) -> None:
        self.name = name
        self.records: dict[str, MemberRecord] = {name: MemberRecord(name, life, boot, 0, 0, "")}
        self.updated_at: dict[str, int] = {}  # when each one's row last moved on
        self.refutations = 0  # lives taken in a row against another's
        self._refuted_at = 0
        self._transmissions: dict[str, int] = {}  # news, and how often it was passed on
        self._gossip_order: list[str] = []  # whose rows are to be passed on before anybody's again

    @property
    def own_record(self) -> MemberRecord:
        return self.records[self.name]

    def has_duplicate_name(self, now: int) -> bool:
        """Return whether another process goes by this one's name."""
        return self.refutations >= DUPLICATE_AFTER and now - self._refuted_at < DUPLICATE_WINDOW

    def record_heartbeat(self, confirmed: int, trouble: str, word: bytes = b"") -> None:
        """One more sign of life."""
        old = self.own_record
        self.records[self.name] = MemberRecord(
            self.name,
            old.incarnation,
            old.boot,
            old.heartbeat + 1,
            confirmed,
            trouble[:MAX_FAULT_LENGTH],
            word,
        )

    def merge(self, rows: Iterable[MemberRecord], now: int) -> bool:
        """Take in others' rows; whether this one's own life had to be raised."""
        raised = False
        known = self.records
        me = self.name
        for row in rows:
            name = row.name
            if name == me:
                raised = self._on_record_of_own_name(row, now) or raised
                continue
            old = known.get(name)
            if old is not None and row.incarnation <= old.incarnation:
                if row.incarnation < old.incarnation or row.heartbeat <= old.heartbeat:
                    continue
                if row.confirmed_revision != old.confirmed_revision:
                    self._transmissions[name] = 0
            else:
                self._transmissions[name] = 0
            known[name] = row
            self.updated_at[name] = now
        return raised

    def _on_record_of_own_name(self, row: MemberRecord, now: int) -> bool:
        mine = self.own_record
        if row.boot == mine.boot or row.incarnation < mine.incarnation:
            return False
        self.refutations = self.refutations + 1 if now - self._refuted_at < DUPLICATE_WINDOW else 1
        self._refuted_at = now
        return self.raise_incarnation(row.incarnation)

    def incarnation_of(self, name: str) -> int:
        """Return the latest known life of a member; 0: none."""
        row = self.records.get(name)
        return 0 if row is None else row.incarnation

    def raise_incarnation(self, life: int) -> bool:
        """Go on in a life above one that is doubted; whether that is news."""
        mine = self.own_record
        if life < mine.incarnation:
            return False
        self.records[self.name] = msgspec.structs.replace(mine, incarnation=life + 1)
        return True

    def has_unsent_updates(self) -> bool:
        """Return whether a row has changed and was not passed on often enough."""
        return bool(self._transmissions)

    def select_for_gossip(self, most: int, rng: random.Random) -> list[MemberRecord]:
        """Rows for one datagram: this one's own, then what is news, then the others in turn.

        The work is bounded by `most`, whatever the number of members.
        """
        chosen = {self.name: None}
        for name in list(self._transmissions)[: most - 1]:
            chosen[name] = None
            self._transmissions[name] += 1
            if self._transmissions[name] >= TRANSMISSIONS:
                del self._transmissions[name]
        turn = self._gossip_order
        for _ in range(min(most, len(self.records))):
            if len(chosen) >= most:
                break
            if not turn:
                # Anew in another order, so that no two members go on saying the same rows.
                turn.extend(name for name in self.records if name != self.name)
                rng.shuffle(turn)
            if turn:
                chosen[turn.pop()] = None
        return [self.records[name] for name in chosen]
