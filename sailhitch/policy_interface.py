"""Types at the boundary of the decision module. No decisions are made here.

Events are method calls on `Gateway`, each with its time in microseconds. Actions are method calls
on a `Port`, which the embedding gateway implements.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final, NamedTuple, Protocol


class EndpointState(StrEnum):
    """An endpoint's state in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class WatchEventKind(StrEnum):
    """What an event of the endpoint list contains or means."""

    CHANGES = "changes"
    SNAPSHOT = "full"
    RESTORED = "restored"  # the last known list, at startup
    FAILED = "failed"  # the call failed, or the watch was lost
    MAINTENANCE = "by_hand"  # an operator's change; no sign that the watch works


class AttemptOutcome(StrEnum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    BUSY = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"  # nothing was written: nobody waits for the response any more
    WITHHELD = "withheld"  # nothing was written: the endpoint was ruled out after its selection
    NO_ROUTE = "no_route"  # nothing was written: this machine temporarily had no port or route
    EXPIRED = "expired"  # the deadline passed before the last byte of the request was written
    STALLED = "stalled"  # the endpoint read nothing more before the last byte was written


# Outcomes that prove that the attempt had no effect.
NEVER_RAN: Final = frozenset(
    (
        AttemptOutcome.BUSY,
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.EXPIRED,
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.NO_ROUTE,
        AttemptOutcome.STALLED,
        AttemptOutcome.WITHHELD,
    )
)


class Endpoint(NamedTuple):
    """A server as listed by discovery. `started_at` is 0 if it started long ago."""

    name: str
    weight: float
    zone: int
    cell: int
    state: EndpointState
    started_at: int
    kind: int


class LoadReport(NamedTuple):
    """A server's load report; None where it reports no value. `service_time` in microseconds."""

    queue_length: float | None  # requests waiting
    service_time: float | None
    in_flight: float | None = None  # requests at the server, waiting or being served


class RateSnapshot(NamedTuple):
    """The state of a `CubicRate`: responses and requests per second, times in microseconds."""

    receive_rate: float
    receive_rate_at: int
    first_received_at: int
    send_rate: float
    rate_at_cut: float
    cut_at: int
    saddle: float


class ServerSnapshot(NamedTuple):
    """What a gateway has measured of the server instance that started at `started_at`."""

    started_at: int
    kind: int
    queue_ewma: float
    service_time_ewma: float
    response_time_ewma: float
    answered_at: int
    answered_sent_at: int
    ejections: int
    ejected_until: int
    consecutive_failures: int
    error_ewma: float
    rate: RateSnapshot


class PolicySnapshot(NamedTuple):
    """What a gateway has measured, for the process that takes over from it."""

    servers: dict[str, ServerSnapshot]
    classes: dict[str, tuple[float, float]]  # usual latency and work, by class name
    arrivals: list[tuple[float, float, float]]  # priority weight, clients' retries, first attempts
    arrivals_at: int
    started_at: int
    typical: tuple[float, float, float]  # queue, latency, service
    typical_service_times: list[float]  # by kind
    fleet: RateSnapshot
    late_sum: float


class Port(Protocol):
    """The actions of a gateway."""

    def send(self, req: int, server: str, timeout: int) -> None:
        """Start an attempt. `timeout` 0 means until the client's deadline."""

    def refuse(self, req: int, retry_after: int) -> None:
        """Reject the request: it had no effect. `retry_after` 0 gives no advice."""

    def fail(self, req: int) -> None:
        """Fail the request: it may or may not have had an effect."""

    def cancel(self, req: int, attempt: int) -> None:
        """Cancel one attempt; its outcome is still reported."""

    def set_timer(self, token: int, at: int) -> None:
        """Request a `timer` event with this token at that time. Timers can't be cancelled."""

    def watch(self, on: bool) -> None:
        """Subscribe to changes of the endpoint list, or stop; an `on_watch_event` follows."""

    def log(self, text: str) -> None:
        """Write a line to the log."""
