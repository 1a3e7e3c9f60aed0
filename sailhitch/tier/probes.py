"""Failure detection: SWIM's probes and suspicion (Das, Gupta, Motivala 2002), with Lifeguard.

In each interval a member probes one other, in a random order that covers all before any again. One
that does not answer is probed through `INDIRECT_PROBES` helpers; one that does not answer these
either is suspected. Suspicions spread by gossip, and a suspected member refutes them by a later
incarnation. One that has not refuted in time is declared dead.

By Lifeguard (Dadgar, Phillips, Currey 2018) a member that gets no acks is slower to suspect others:
helpers send a nack when they had no ack either, and each helper that sends nothing, each late tick
and each refutation raise the member's own health penalty. A suspicion that others confirm by probes
of their own expires sooner.

Nothing here lets a change proceed: a change waits for members, whatever their suspected health.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Sequence
from enum import Enum
from typing import Final

from .messages import MemberRecord, Message, Nack, Ping, Relayed, Suspicion

PROBE_INTERVAL: Final = 1_000_000  # us, of a member without a health penalty
PING_RETRY_INTERVAL: Final = 200_000  # us until an unanswered ping is repeated
DIRECT_PROBE_TIMEOUT: Final = 400_000  # us for the ack of a ping, before helpers are asked
INDIRECT_PROBES: Final = 3  # helpers that are asked
NACK_DELAY: Final = 250_000  # us until a helper reports that it had no ack either
MAX_HEALTH_PENALTY: Final = 8  # intervals and timeouts are multiplied by 1 + the penalty
# Probe intervals by log10 of the members, from suspected to dead, once confirmed.
SUSPICION_ALPHA: Final = 4.0
SUSPICION_BETA: Final = 6  # factor on that timeout where no other member confirms
MAX_CONFIRMATIONS: Final = 3  # further ones don't make a suspicion expire any sooner
MAX_TRANSMISSIONS: Final = 6  # datagrams that carry a suspicion
MAX_SUSPICIONS_PER_DATAGRAM: Final = 4
MAX_RELAYED_PINGS: Final = 64  # others' probes that are being relayed
IncarnationOf = Callable[[str], int]  # the latest known incarnation by member name


class Health(Enum):
    """A member's state as the failure detector sees it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


class _SuspicionState:
    """A suspicion of one incarnation, with the members that reported it by probes of their own."""

    def __init__(self, incarnation: int, now: int) -> None:
        self.incarnation = incarnation
        self.since = now
        self.reporters: set[str] = set()
        self.transmissions = 0  # since it last changed
        self.dead = False

    def expires_at(self, members: int) -> int:
        """Return when the member is declared dead."""
        min_timeout = SUSPICION_ALPHA * max(1.0, math.log10(max(2, members))) * PROBE_INTERVAL
        if members - 2 < MAX_CONFIRMATIONS:
            return self.since + int(min_timeout)  # too few members to confirm it
        reporters = min(max(1, len(self.reporters)), MAX_CONFIRMATIONS + 1)
        confirmed_share = math.log(reporters) / math.log(MAX_CONFIRMATIONS + 1)
        factor = SUSPICION_BETA - (SUSPICION_BETA - 1) * confirmed_share
        return self.since + int(min_timeout * factor)


class _Probe:
    """The probe in flight."""

    def __init__(self, number: int, name: str, now: int) -> None:
        self.number = number
        self.name = name
        self.started_at = now
        self.sent_at = now
        self.helpers: set[str] = set()  # those that have sent neither ack nor nack


class Prober:
    """One member's failure detector. Times by its own clock, in microseconds."""

    def __init__(self, name: str, rng: random.Random, now: int) -> None:
        self.name = name
        self.rng = rng
        self.health_penalty = 0
        self._suspicions: dict[str, _SuspicionState] = {}
        self._probe: _Probe | None = None
        self._probe_order: list[str] = []
        self._last_number = 0
        self._next_probe_at = now
        self._last_tick = now
        self._relayed: dict[tuple[str, int], int] = {}  # nack time, by origin and number

    # --- Suspicions

    def health(self, name: str, incarnation: int) -> Health:
        """Return the health of a member's incarnation."""
        suspicion = self._suspicions.get(name)
        if suspicion is None or suspicion.incarnation < incarnation:
            return Health.ALIVE
        return Health.DEAD if suspicion.dead else Health.SUSPECT

    def is_alive(self, name: str) -> bool:
        """Return whether a member is not declared dead."""
        suspicion = self._suspicions.get(name)
        return suspicion is None or not suspicion.dead

    def suspected_incarnation(self, name: str, incarnation_of: IncarnationOf) -> int:
        """Return a member's suspected incarnation, or 0. Probes carry it, so that it can refute."""
        suspicion = self._suspicions.get(name)
        if suspicion is None or suspicion.incarnation < incarnation_of(name):
            return 0
        return suspicion.incarnation

    def dead_members(self) -> list[str]:
        """Return the names of the members declared dead."""
        return [name for name, suspicion in self._suspicions.items() if suspicion.dead]

    def has_unsent_updates(self) -> bool:
        """Return whether a suspicion was sent fewer than `MAX_TRANSMISSIONS` times."""
        return any(
            suspicion.transmissions < MAX_TRANSMISSIONS for suspicion in self._suspicions.values()
        )

    def suspicions_to_send(self) -> list[Suspicion]:
        """Return the suspicions for one datagram, the least sent first."""
        if not self._suspicions:
            return []
        unsent = [
            (suspicion.transmissions, name)
            for name, suspicion in self._suspicions.items()
            if suspicion.transmissions < MAX_TRANSMISSIONS
        ]
        names = [name for _, name in sorted(unsent)[:MAX_SUSPICIONS_PER_DATAGRAM]]
        for name in names:
            self._suspicions[name].transmissions += 1
        if len(names) < MAX_SUSPICIONS_PER_DATAGRAM:
            # Members that have started in the meantime received none of these.
            dead = [name for name in self.dead_members() if name not in names]
            names += self.rng.sample(dead, min(1, len(dead)))
        return [self._message_of(name) for name in names]

    def _message_of(self, name: str) -> Suspicion:
        suspicion = self._suspicions[name]
        return Suspicion(name, suspicion.incarnation, sorted(suspicion.reporters))

    def on_suspicions(
        self, suspicions: Iterable[Suspicion], incarnation_of: IncarnationOf, now: int
    ) -> int:
        """Merge others' suspicions; return the highest suspected incarnation of this member, or 0.

        A suspicion of an earlier incarnation than `incarnation_of` returns is ignored.
        """
        own_incarnation = 0
        for suspicion in suspicions:
            name = suspicion.name
            if name == self.name:
                own_incarnation = max(own_incarnation, suspicion.incarnation)
            elif suspicion.incarnation >= incarnation_of(name):
                self._suspect(name, suspicion.incarnation, suspicion.reporters, now)
        return own_incarnation

    def on_records(self, records: Iterable[MemberRecord]) -> None:
        """Drop the suspicions that a later incarnation refutes."""
        if not self._suspicions:
            return
        for record in records:
            suspicion = self._suspicions.get(record.name)
            if suspicion is not None and record.incarnation > suspicion.incarnation:
                del self._suspicions[record.name]

    def on_own_suspicion(self) -> None:
        """Raise the health penalty: this member may itself be slow or disconnected."""
        self.health_penalty = min(MAX_HEALTH_PENALTY, self.health_penalty + 1)

    def _suspect(self, name: str, incarnation: int, reporters: Iterable[str], now: int) -> None:
        suspicion = self._suspicions.get(name)
        if suspicion is None or suspicion.incarnation < incarnation:
            suspicion = _SuspicionState(incarnation, now)
            self._suspicions[name] = suspicion
        if suspicion.incarnation != incarnation or suspicion.dead:
            return
        new = sorted(set(reporters) - suspicion.reporters)
        if new and len(suspicion.reporters) <= MAX_CONFIRMATIONS:
            suspicion.reporters.update(new[: MAX_CONFIRMATIONS + 1 - len(suspicion.reporters)])
            suspicion.transmissions = 0

    # --- Probing

    def on_tick(
        self, now: int, others: Sequence[str], incarnation_of: IncarnationOf
    ) -> list[tuple[str, Message]]:
        """Advance the time; return the messages to send, each with its addressee.

        `others` are the members to be probed.
        """
        self._check_stall(now)
        for suspicion in self._suspicions.values():
            suspicion.dead = suspicion.dead or now >= suspicion.expires_at(len(others) + 1)
        multiplier = self.health_penalty + 1
        messages = self._due_nacks(now)
        probe = self._probe
        if probe is not None:
            if now - probe.started_at >= PROBE_INTERVAL * multiplier:
                self._on_probe_failed(probe, incarnation_of, now)
                self._probe = None
            else:
                messages += self._continue_probe(probe, multiplier, now, others, incarnation_of)
        if self._probe is None and now >= self._next_probe_at and others:
            messages += self._start_probe(now, others, incarnation_of)
        return messages

    def _check_stall(self, now: int) -> None:
        """After a stall of this process, extend suspicions: it read no answers meanwhile."""
        elapsed = now - self._last_tick
        if elapsed > PROBE_INTERVAL:
            self.on_own_suspicion()
            for suspicion in self._suspicions.values():
                suspicion.since += elapsed
            self._probe = None
        self._last_tick = now

    def _continue_probe(
        self,
        probe: _Probe,
        multiplier: int,
        now: int,
        others: Sequence[str],
        incarnation_of: IncarnationOf,
    ) -> list[tuple[str, Message]]:
        """Repeat an unanswered ping, and ask helpers once the direct timeout is over."""
        messages: list[tuple[str, Message]] = []
        if now - probe.sent_at >= PING_RETRY_INTERVAL:
            # At a loss of 30%, a single ping and its ack get through half of the time.
            probe.sent_at = now
            messages.append((probe.name, self._ping(probe, incarnation_of)))
        if not probe.helpers and now - probe.started_at >= DIRECT_PROBE_TIMEOUT * multiplier:
            messages += self._ask_helpers(probe, others, incarnation_of)
        return messages

    def _ping(self, probe: _Probe, incarnation_of: IncarnationOf) -> Ping:
        return Ping(probe.number, self.suspected_incarnation(probe.name, incarnation_of))

    def _start_probe(
        self, now: int, others: Sequence[str], incarnation_of: IncarnationOf
    ) -> list[tuple[str, Message]]:
        while self._probe_order and self._probe_order[-1] not in others:
            self._probe_order.pop()
        if not self._probe_order:
            self._probe_order = list(others)
            self.rng.shuffle(self._probe_order)
        self._last_number += 1
        name = self._probe_order.pop()
        probe = _Probe(self._last_number, name, now)
        self._probe = probe
        self._next_probe_at = now + PROBE_INTERVAL * (self.health_penalty + 1)
        return [(name, self._ping(probe, incarnation_of))]

    def _ask_helpers(
        self, probe: _Probe, others: Sequence[str], incarnation_of: IncarnationOf
    ) -> list[tuple[str, Message]]:
        if not self.is_alive(probe.name):
            return []
        live = [name for name in others if name != probe.name and self.is_alive(name)]
        probe.helpers = set(self.rng.sample(live, min(INDIRECT_PROBES, len(live))))
        message = Relayed(self.name, probe.name, self._ping(probe, incarnation_of))
        return [(helper, message) for helper in sorted(probe.helpers)]

    def _on_probe_failed(self, probe: _Probe, incarnation_of: IncarnationOf, now: int) -> None:
        if not self.is_alive(probe.name):
            return  # expected, so it does not raise this member's health penalty
        for _ in probe.helpers:
            # A helper that sends no nack suggests that this member can't reach others.
            self.on_own_suspicion()
        self._suspect(probe.name, incarnation_of(probe.name), [self.name], now)

    def on_ack(self, name: str, number: int) -> None:
        """End the probe that is acked, directly or through a helper."""
        probe = self._probe
        if probe is not None and (probe.name, probe.number) == (name, number):
            self._probe = None
            self.health_penalty = max(0, self.health_penalty - 1)

    def on_nack(self, helper: str, number: int) -> None:
        """Record that a helper is reachable, and that it had no ack either."""
        if self._probe is not None and self._probe.number == number:
            self._probe.helpers.discard(helper)

    # --- Helping others' probes

    def on_relayed_ping(self, origin: str, number: int, now: int) -> None:
        """Record a relayed ping, to send a nack if no ack comes."""
        if len(self._relayed) < MAX_RELAYED_PINGS:
            self._relayed[origin, number] = now + NACK_DELAY

    def on_relayed_ack(self, origin: str, number: int) -> None:
        """Record that the ack of a relayed ping was relayed back."""
        self._relayed.pop((origin, number), None)

    def _due_nacks(self, now: int) -> list[tuple[str, Message]]:
        due = [key for key, nack_at in self._relayed.items() if now >= nack_at]
        for key in due:
            del self._relayed[key]
        return [(origin, Nack(number)) for origin, number in due]
