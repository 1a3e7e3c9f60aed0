"""Who is there: SWIM's probes and suspicion (Das, Gupta, Motivala 2002), with Lifeguard's care.

In each interval a member probes one other, in a random order that names all before any again. One
that does not answer is asked through `HELPERS` others; one that does not answer these either is
suspected, which goes round by gossip, and it can refute by a later life. Who has not refuted in
time is told dead. By Lifeguard (Dadgar, Phillips, Currey 2018) a member that gets no answers is
slower to accuse: helpers say at once when they had none either, and each that says nothing, each
late beat of its own and each refutation counts against the member itself, not against others. A
suspicion that others confirm by probes of their own ends sooner.

Nothing here lets a change go on: a change waits for members, not for what is thought of them.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Sequence
from enum import Enum
from typing import Final

from .messages import MemberRecord, Message, Nack, Ping, Relayed, Suspicion

INTERVAL: Final = 1_000_000  # us between two probes of a member that is well
REPEAT: Final = 200_000  # us until an unanswered question is said again
PATIENCE: Final = 400_000  # us for an answer to the first question, before helpers are asked
HELPERS: Final = 3
NACK_AFTER: Final = 250_000  # us until a helper says that it had no answer either
UNWELL: Final = 8  # the most that counts against oneself; times stretch by one more than it
LEAST: Final = 4.0  # intervals by log10 of the members, from suspected to dead, once confirmed
MOST: Final = 6  # times that, where nobody confirms
CONFIRMERS: Final = 3  # after whom a suspicion can't end any sooner
TIMES: Final = 6  # datagrams that a suspicion goes out with
CARRIED: Final = 4  # suspicions in a datagram at most
PASSED: Final = 64  # probes of others that are being passed on
IncarnationOf = Callable[[str], int]  # a member's latest known life


class Health(Enum):
    """What a member is taken for."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


class _Suspicion:
    """That a life of a member is over, since when, and who has found so by probes of its own."""

    def __init__(self, life: int, now: int) -> None:
        self.incarnation = life
        self.since = now
        self.reporters: set[str] = set()
        self.told = 0  # datagrams that it went out with since it last changed
        self.dead = False

    def ends(self, members: int) -> int:
        """Return when the member is taken for dead."""
        least = LEAST * max(1.0, math.log10(max(2, members))) * INTERVAL
        if members - 2 < CONFIRMERS:
            return self.since + int(least)  # there are too few to wait for
        by = min(max(1, len(self.reporters)), CONFIRMERS + 1)
        spread = math.log(by) / math.log(CONFIRMERS + 1)
        return self.since + int(least * (MOST - (MOST - 1) * spread))


class _Probe:
    """The question under way."""

    def __init__(self, number: int, name: str, now: int) -> None:
        self.number = number
        self.name = name
        self.at = now
        self.said = now
        self.helpers: set[str] = set()  # who were asked and have said nothing yet


class Prober:
    """One member's probes and what it makes of them. Times by its own clock, in microseconds."""

    def __init__(self, name: str, rng: random.Random, now: int) -> None:
        self.name = name
        self.rng = rng
        self.unwell = 0
        self._suspicions: dict[str, _Suspicion] = {}
        self._probe: _Probe | None = None
        self._turn: list[str] = []
        self._number = 0
        self._next = now
        self._beat = now
        self._passed: dict[tuple[str, int], int] = {}  # whose probe, its number: when to say no

    # --- What is thought of others

    def health(self, name: str, life: int) -> Health:
        """Return what a member of that life is taken for."""
        one = self._suspicions.get(name)
        if one is None or one.incarnation < life:
            return Health.ALIVE
        return Health.DEAD if one.dead else Health.SUSPECT

    def is_alive(self, name: str) -> bool:
        """Return whether it is not taken for dead."""
        one = self._suspicions.get(name)
        return one is None or not one.dead

    def suspected_incarnation(self, name: str, life_of: IncarnationOf) -> int:
        """The life of a member that is suspected, or 0. Who is suspected is told, and refutes."""
        one = self._suspicions.get(name)
        return 0 if one is None or one.incarnation < life_of(name) else one.incarnation

    def dead_members(self) -> list[str]:
        """Who is taken for dead."""
        return [name for name, one in self._suspicions.items() if one.dead]

    def has_unsent_updates(self) -> bool:
        """Return whether a suspicion was not passed on often enough."""
        return any(one.told < TIMES for one in self._suspicions.values())

    def suspicions_to_send(self) -> list[Suspicion]:
        """Suspicions to pass on with a datagram, those that went out least before others."""
        if not self._suspicions:
            return []
        open_ = [(one.told, name) for name, one in self._suspicions.items() if one.told < TIMES]
        names = [name for _, name in sorted(open_)[:CARRIED]]
        for name in names:
            self._suspicions[name].told += 1
        if len(names) < CARRIED:
            # Whoever has started since heard none of it, and finds out by itself alone.
            dead = [name for name in self.dead_members() if name not in names]
            names += self.rng.sample(dead, min(1, len(dead)))
        return [self._said(name) for name in names]

    def _said(self, name: str) -> Suspicion:
        one = self._suspicions[name]
        return Suspicion(name, one.incarnation, sorted(one.reporters))

    def on_suspicions(self, doubts: Iterable[Suspicion], life_of: IncarnationOf, now: int) -> int:
        """Others' suspicions; the highest life of this member that is doubted, or 0.

        `life_of` tells the latest known of a member: an older one's suspicion is void.
        """
        mine = 0
        for doubt in doubts:
            if doubt.name == self.name:
                mine = max(mine, doubt.incarnation)
            elif doubt.incarnation >= life_of(doubt.name):
                self._suspect(doubt.name, doubt.incarnation, doubt.reporters, now)
        return mine

    def on_records(self, rows: Iterable[MemberRecord]) -> None:
        """Members' words about themselves: a later life than the suspected one refutes it."""
        if not self._suspicions:
            return
        for row in rows:
            one = self._suspicions.get(row.name)
            if one is not None and row.incarnation > one.incarnation:
                del self._suspicions[row.name]

    def on_own_suspicion(self) -> None:
        """A sign that this member itself is slow or cut off."""
        self.unwell = min(UNWELL, self.unwell + 1)

    def _suspect(self, name: str, life: int, by: Iterable[str], now: int) -> None:
        one = self._suspicions.get(name)
        if one is None or one.incarnation < life:
            one = self._suspicions[name] = _Suspicion(life, now)
        if one.incarnation != life or one.dead:
            return
        more = set(by) - one.reporters
        if more and len(one.reporters) <= CONFIRMERS:
            one.reporters |= set(sorted(more)[: CONFIRMERS + 1 - len(one.reporters)])
            one.told = 0

    # --- Probing

    def on_tick(
        self, now: int, others: Sequence[str], life_of: IncarnationOf
    ) -> list[tuple[str, Message]]:
        """Time passes; `others` are those to be probed. What to say."""
        if now - self._beat > INTERVAL:
            # This process stood still: that nobody answered meanwhile says nothing of others.
            self.on_own_suspicion()
            late = now - self._beat
            for one in self._suspicions.values():
                one.since += late
            self._probe = None
        self._beat = now
        for one in self._suspicions.values():
            one.dead = one.dead or now >= one.ends(len(others) + 1)
        stretch = self.unwell + 1
        said = self._no_answers(now)
        probe = self._probe
        if probe is not None and now - probe.at >= INTERVAL * stretch:
            self._failed(probe, life_of, now)
            self._probe = probe = None
        if probe is not None and now - probe.said >= REPEAT:
            # One question and one answer get through half of the time where three in ten are lost.
            probe.said = now
            said.append(
                (probe.name, Ping(probe.number, self.suspected_incarnation(probe.name, life_of)))
            )
        if probe is not None and not probe.helpers and now - probe.at >= PATIENCE * stretch:
            said += self._ask_helpers(probe, others, life_of)
        if self._probe is None and now >= self._next and others:
            said += self._begin(now, others, life_of)
        return said

    def _begin(
        self, now: int, others: Sequence[str], life_of: IncarnationOf
    ) -> list[tuple[str, Message]]:
        while self._turn and self._turn[-1] not in others:
            self._turn.pop()
        if not self._turn:
            self._turn = list(others)
            self.rng.shuffle(self._turn)
        self._number += 1
        name = self._turn.pop()
        self._probe = _Probe(self._number, name, now)
        self._next = now + INTERVAL * (self.unwell + 1)
        return [(name, Ping(self._number, self.suspected_incarnation(name, life_of)))]

    def _ask_helpers(
        self, probe: _Probe, others: Sequence[str], life_of: IncarnationOf
    ) -> list[tuple[str, Message]]:
        if not self.is_alive(probe.name):
            return []
        able = [one for one in others if one != probe.name and self.is_alive(one)]
        probe.helpers = set(self.rng.sample(able, min(HELPERS, len(able))))
        ping = Relayed(
            self.name,
            probe.name,
            Ping(probe.number, self.suspected_incarnation(probe.name, life_of)),
        )
        return [(one, ping) for one in sorted(probe.helpers)]

    def _failed(self, probe: _Probe, life_of: IncarnationOf, now: int) -> None:
        if not self.is_alive(probe.name):
            return  # as before; it says nothing about this member
        for _ in probe.helpers:
            # Helpers that say nothing at all are more likely out of reach.
            self.on_own_suspicion()
        self._suspect(probe.name, life_of(probe.name), [self.name], now)

    def on_ack(self, name: str, number: int) -> None:
        """A probed member has answered, by whatever way."""
        probe = self._probe
        if probe is not None and (probe.name, probe.number) == (name, number):
            self._probe = None
            self.unwell = max(0, self.unwell - 1)

    def on_nack(self, helper: str, number: int) -> None:
        """A helper had no answer either, and can be reached."""
        if self._probe is not None and self._probe.number == number:
            self._probe.helpers.discard(helper)

    # --- Helping

    def on_relayed_ping(self, origin: str, number: int, now: int) -> None:
        """Another's probe is passed on."""
        if len(self._passed) < PASSED:
            self._passed[origin, number] = now + NACK_AFTER

    def on_relayed_ack(self, origin: str, number: int) -> None:
        """Its answer has gone back."""
        self._passed.pop((origin, number), None)

    def _no_answers(self, now: int) -> list[tuple[str, Message]]:
        late = [key for key, at in self._passed.items() if now >= at]
        for key in late:
            del self._passed[key]
        return [(origin, Nack(number)) for origin, number in late]
