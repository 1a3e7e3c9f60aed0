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

TIMES: Final = 6  # datagrams that a news goes out with before it takes its turn like the others
TWIN_AFTER: Final = 4  # lives taken against others' within `TWIN_QUIET` each
TROUBLE: Final = 100  # letters of why a member can't go by a head
TWIN_QUIET: Final = 20_000_000


class MembershipTable:
    """Rows of members, this one's own among them."""

    def __init__(self, name: str, life: int, boot: int) -> None:
        self.name = name
        self.records: dict[str, MemberRecord] = {name: MemberRecord(name, life, boot, 0, 0, "")}
        self.seen: dict[str, int] = {}  # when each one's row last moved on
        self.refuted = 0  # lives taken in a row against another's
        self._refuted_at = 0
        self._fresh: dict[str, int] = {}  # news, and how often it was passed on
        self._turn: list[str] = []  # whose rows are to be passed on before anybody's again

    @property
    def mine(self) -> MemberRecord:
        return self.records[self.name]

    def twin(self, now: int) -> bool:
        """Whether another process goes by this one's name."""
        return self.refuted >= TWIN_AFTER and now - self._refuted_at < TWIN_QUIET

    def beat(self, confirmed: int, trouble: str, word: bytes = b"") -> None:
        """One more sign of life."""
        old = self.mine
        self.records[self.name] = MemberRecord(
            self.name, old.life, old.boot, old.beats + 1, confirmed, trouble[:TROUBLE], word
        )

    def merge(self, rows: Iterable[MemberRecord], now: int) -> bool:
        """Take in others' rows; whether this one's own life had to be raised."""
        raised, known, me = False, self.records, self.name
        for row in rows:
            name = row.name
            if name == me:
                raised = self._about_me(row, now) or raised
                continue
            old = known.get(name)
            if old is not None and row.life <= old.life:
                if row.life < old.life or row.beats <= old.beats:
                    continue
                if row.confirmed != old.confirmed:
                    self._fresh[name] = 0
            else:
                self._fresh[name] = 0
            known[name] = row
            self.seen[name] = now
        return raised

    def _about_me(self, row: MemberRecord, now: int) -> bool:
        mine = self.mine
        if row.boot == mine.boot or row.life < mine.life:
            return False
        self.refuted = self.refuted + 1 if now - self._refuted_at < TWIN_QUIET else 1
        self._refuted_at = now
        return self.live_above(row.life)

    def life_of(self, name: str) -> int:
        """The latest known life of a member; 0: none."""
        row = self.records.get(name)
        return 0 if row is None else row.life

    def live_above(self, life: int) -> bool:
        """Go on in a life above one that is doubted; whether that is news."""
        mine = self.mine
        if life < mine.life:
            return False
        self.records[self.name] = msgspec.structs.replace(mine, life=life + 1)
        return True

    def has_news(self) -> bool:
        """Whether a row has changed and was not passed on often enough."""
        return bool(self._fresh)

    def pick(self, most: int, rng: random.Random) -> list[MemberRecord]:
        """Rows for one datagram: this one's own, then what is news, then the others in turn.

        The work is bounded by `most`, whatever the number of members.
        """
        chosen = {self.name: None}
        for name in list(self._fresh)[: most - 1]:
            chosen[name] = None
            self._fresh[name] += 1
            if self._fresh[name] >= TIMES:
                del self._fresh[name]
        turn = self._turn
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
