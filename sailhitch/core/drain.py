"""Graceful shutdown: deadlines of open requests, and closing of connections between requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..front import Reason
from .timer_wheel import LATE, MS

if TYPE_CHECKING:
    from .core import GatewayCore

MAX_DRAIN_HOLD: Final = 1500 * MS  # longest time that connections are kept open while draining
MAX_RESPONSE_WAIT: Final = 3000 * MS  # longest time to a response, whatever the settings allow
# After SIGTERM, on top of the longest deadline: SIGKILL may come 700 ms after that deadline, and a
# process may be held up for 150 ms right before it writes.
RESPONSE_MARGIN: Final = 500 * MS


def last_response_after(longest_deadline: int) -> int:
    """Return the time from SIGTERM by which the last response is sent, in microseconds."""
    return min(MAX_RESPONSE_WAIT, longest_deadline) + RESPONSE_MARGIN


def earliest_signal(core: GatewayCore, now: int) -> int:
    """Return the earliest time at which a signal that is handled now may have come."""
    # The event loop handles signals some iterations after its overdue timers.
    just_stalled = now - core.stalls.until <= LATE
    return core.stalls.since if just_stalled else core.earliest_arrival(now)


def shorten_deadlines(core: GatewayCore) -> None:
    """Limit the deadlines of open requests to the time that this process has left."""
    drain_until = core.drain_until
    for request in list(core.open_requests.values()):
        if request.closed or request.deadline <= drain_until:
            continue
        request.deadline = drain_until
        for attempt in request.open_attempts:
            attempt.expires_at = min(attempt.expires_at, drain_until)
        core.schedule(request)


def close_idle_clients(core: GatewayCore) -> bool:
    """Close idle connections; return whether any is left.

    Those whose client awaits a response, or has sent bytes that are unread, are left.
    """
    remaining = bool(core.arriving) or bool(core.draining_listeners)
    for client in list(core.clients):
        idle = client.is_idle() and not client.is_closed()
        if not (idle and client.close_idle(Reason.ANSWERED)):
            remaining = remaining or idle or client.has_unanswered_request()
    return remaining
