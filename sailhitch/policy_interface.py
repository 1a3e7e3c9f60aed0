"""What the decision module is told and what it can do: types and vocabulary, no decisions.

Events come in as method calls of `Gateway`, each with its time in microseconds. Actions leave
through a `Port`, which the embedding gateway provides.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

# A server's state in the list.
READY, DRAINING, GONE = "ready", "draining", "gone"
# What kind of news a list event is.
CHANGES, FULL, RESTORED, FAILED = "changes", "full", "restored", "failed"
BY_HAND = "by_hand"  # changes that staff have made; they say nothing of the watch on the list
# How an attempt ended.
OK, ERROR, BUSY, TIMEOUT = "ok", "error", "full", "timeout"
CONNECT_FAILED, RESET, CANCELLED, MOOT = "connect_failed", "reset", "cancelled", "moot"
WITHHELD = "withheld"  # nothing of it was written: news since the choice forbids this server
NO_ROUTE = "no_route"  # nothing of it was written: this machine found no port or way, for a moment
EXPIRED = "expired"  # its time was over before anything of it was written: no connection came up
# These prove that the attempt did not run.
NEVER_RAN = frozenset((BUSY, CONNECT_FAILED, EXPIRED, MOOT, NO_ROUTE, WITHHELD))


class Listed(NamedTuple):
    """A server as discovery lists it. `boot` is 0 where it started long ago."""

    server: str
    weight: float
    zone: int
    cell: int
    state: str
    boot: int
    kind: int


class Report(NamedTuple):
    """A server's load report; None where it does not say. `service` is in microseconds."""

    queue: float | None  # requests waiting
    service: float | None
    inflight: float | None = None  # requests it holds, waiting or in work


class KnownRate(NamedTuple):
    """A cubic rate as `CubicRate` holds it: answers and sends a second, times in microseconds."""

    rrate: float
    t_rate: int
    begun: int
    srate: float
    r0: float
    t_cut: int
    saddle: float


class KnownServer(NamedTuple):
    """What a gateway has learned of a server, in the life that began at `boot`."""

    boot: int
    kind: int
    q_bar: float
    service: float
    r_bar: float
    seen: int
    sent_seen: int
    failures: int
    shun_until: int
    strikes: int
    errors: float
    rate: KnownRate


class Knowledge(NamedTuple):
    """What a gateway has learned, for the process that goes on in its place."""

    servers: dict[str, KnownServer]
    classes: dict[str, tuple[float, float]]  # usual latency and work, by name
    arrivals: list[tuple[float, float, float]]  # worth, repeats and first tries in the window
    t_arrival: int
    t_start: int
    typical: tuple[float, float, float]  # queue, latency, service
    typical_service: list[float]  # by kind
    fleet: KnownRate
    late_sum: float


class Port(Protocol):
    """What a gateway can do to the world."""

    def send(self, req: int, server: str, timeout: int) -> None:
        """Start an attempt; `timeout` 0 is until the client gives up."""

    def refuse(self, req: int, retry_after: int) -> None:
        """Answer 'turned away': a repeat is harmless. `retry_after` 0 gives no advice."""

    def fail(self, req: int) -> None:
        """Answer 'failed', which promises nothing about the effect."""

    def cancel(self, req: int, attempt: int) -> None:
        """Stop waiting for one attempt; its outcome still comes."""

    def set_timer(self, token: int, at: int) -> None:
        """Ask for a `timer` event with this token at that time. Timers cannot be taken back."""

    def watch(self, on: bool) -> None:
        """Subscribe to changes of the list, or stop; a `members` event answers."""

    def log(self, text: str) -> None:
        """Add a line to the log."""
