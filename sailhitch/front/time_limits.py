"""Time limits on the states of a client connection, by resource pressure.

Limits are shortest under high pressure. The relaxed ones are the longest that the platform allows:
an error or a close within 3 s, and no close of a silent connection before 2 s while there is room.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from .slots import WAITING, ConnectionSlot, Reason, State
from .survival import Kind, LifeTables


class Limits(NamedTuple):
    """A limit without pressure, and one under high pressure."""

    relaxed: int
    strict: int


NEW_CONNECTION_GRACE: Final = 250_000  # us for which the first request may be in flight
FIRST_BYTE_LIMIT: Final = Limits(2_100_000, NEW_CONNECTION_GRACE)  # us
REQUEST_LIMIT: Final = Limits(2_500_000, 1_000_000)  # us
MIN_BODY_RATE: Final = 24 * 1024  # bytes/s at which a body must arrive after REQUEST_LIMIT...
MAX_BODY_STALL: Final = 700_000  # ...and us for which it may then stall
MAX_READ_STALL: Final = Limits(5_000_000, 1_000_000)  # us
MIN_READ_RATE: Final = Limits(64 * 1024, 256 * 1024)  # bytes/s of a response after that
MAX_IDLE: Final = 30_000_000  # us
# A limit is at least twice the time that this share of requests needed.
GOOD_CLIENT_QUANTILE: Final = 0.995

_READING: Final = (
    (State.FRESH, Kind.FRESH, FIRST_BYTE_LIMIT),
    (State.HEAD, Kind.HEAD, REQUEST_LIMIT),
    (State.BODY, Kind.BODY, REQUEST_LIMIT),
)


class TimeLimits:
    """The limits by state, in microseconds; 0 for none."""

    def __init__(self) -> None:
        self._by_state: list[int] = [0] * len(State)

    def update(self, pressure_factor: float, tables: LifeTables) -> None:
        """Set the limits by pressure (0 to 1), and by the time that complete requests needed."""
        limits = [0] * len(State)
        for state, kind, (relaxed, strict) in _READING:
            # Under any pressure, well-behaved connections keep the time that they need.
            needed = 2 * tables.request_age_quantile(kind, GOOD_CLIENT_QUANTILE, strict // 2)
            shortest = min(relaxed, max(strict, needed))
            limits[state] = int(relaxed + pressure_factor * (shortest - relaxed))
        relaxed, strict = MAX_READ_STALL
        limits[State.WRITING] = int(relaxed + pressure_factor * (strict - relaxed))
        limits[State.IDLE] = MAX_IDLE
        self._by_state = limits

    def of(self, state: State) -> int:
        """Return how long a connection may be in a state; 0 for no limit."""
        return self._by_state[state]

    def write_time(self, unsent: int, pressure_factor: float) -> int:
        """Return how long a client may take to read `unsent` bytes of a response."""
        relaxed, strict = MIN_READ_RATE
        rate = relaxed + pressure_factor * (strict - relaxed)
        return self._by_state[State.WRITING] + int(unsent / rate * 1e6)

    def exceeded(self, slot: ConnectionSlot, now: int) -> Reason | None:
        """Return the reason to close a connection that has exceeded a limit, or None."""
        state = slot.state
        age = now - slot.since
        if state == State.WRITING:
            stalled = now - slot.unsent_at > self._by_state[state]
            return Reason.UNREAD if stalled or now > slot.unsent_by else None
        if state == State.BODY and self._keeps_body_rate(slot, now, age):
            return None
        if state in WAITING and age > self._by_state[state]:
            if state == State.FRESH:
                return Reason.SILENT
            return Reason.IDLE if state == State.IDLE else Reason.SLOW
        return None

    def _keeps_body_rate(self, slot: ConnectionSlot, now: int, age: int) -> bool:
        """Return whether a body that exceeds the time limit keeps the minimum rate.

        This spares well-behaved clients on slow links. Progress doesn't reset `since`, so a body
        that trickles in gains no time.
        """
        late = age - self._by_state[State.BODY]
        min_bytes = late * MIN_BODY_RATE // 1_000_000
        return now - slot.unsent_at < MAX_BODY_STALL and slot.unsent > min_bytes
