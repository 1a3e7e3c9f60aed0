"""How long calls to discovery and the pauses between them may take."""

from __future__ import annotations

from typing import Final, NamedTuple

from ..settings import Settings

# s after which a change counts as notified, from when discovery had it and could be reached,
# whatever calls failed before. The same holds for what a silent watch misses.
NOTIFY_WITHIN: Final = 6.0
PROCESSING_MARGIN: Final = 0.2  # s of that for the CPU

# Where discovery is one service for all gateways.
SHARED_CONNECT_TIMEOUT: Final = 0.5  # s
SHARED_RESPONSE_TIMEOUT: Final = 1.7  # s, also for a whole list
# Latest start of the next call, in s after the start of one that fails: its connection and its
# response have to fit into what is left.
SHARED_NEXT_CALL: Final = (
    NOTIFY_WITHIN - PROCESSING_MARGIN - SHARED_CONNECT_TIMEOUT - SHARED_RESPONSE_TIMEOUT
)
SHARED_WAIT: Final = SHARED_NEXT_CALL - SHARED_RESPONSE_TIMEOUT  # s that a watch waits
SHARED_BACKOFF_MIN: Final = 0.25  # s
SHARED_BACKOFF_MAX: Final = 1.0  # s, with few gateways

# Where an agent on this machine pushes the list.
AGENT_WAIT_MAX: Final = 0.4  # s
AGENT_RESPONSE_TIMEOUT_MAX: Final = 0.3  # s
# Parts of the drain rule's grace that a watch may wait, then be silent, and that a pause may take.
# What is left is for the next call and for the CPU.
AGENT_WAIT_SHARE: Final = 0.3
AGENT_SILENCE_SHARE: Final = 0.25
AGENT_PAUSE_SHARE: Final = 0.15
MIN_GRACE: Final = 0.1  # s; by a shorter one a gateway would do nothing but call
BACKOFF_MIN: Final = 0.05  # s
BACKOFF_MAX: Final = 0.3  # s, with few gateways

MIN_POLL_INTERVAL: Final = 0.02  # s between two calls if a response came at once with no update
MAX_FAILING_CALLS: Final = 100.0  # per second, of all gateways together


class CallTimes(NamedTuple):
    """Times of calls and pauses, in seconds."""

    wait: float  # that a watch waits for an update
    connect: float  # until a connection is established
    call: float  # of a whole watch call, its wait included
    snapshot_call: float  # of a call for the whole list, which has nothing to wait for
    backoff_min: float  # after a failed call, with few failures before
    backoff_max: float  # with few gateways
    pause: float  # the longest, with any number of gateways
    next_call: float  # from the start of a failed call to the start of the next, at the most


def call_times(settings: Settings) -> CallTimes:
    """Return the times for the kind of discovery and the grace of the drain rule.

    What an agent has counts as notified, also while nobody asks for it. It may come back right
    after it was sent a call that it never answers, even the first one of a process. That call,
    connecting for it, the pause and the next call have to fit into the grace together.
    """
    if settings.needs_watch:
        return CallTimes(
            wait=SHARED_WAIT,
            connect=SHARED_CONNECT_TIMEOUT,
            call=SHARED_NEXT_CALL,
            snapshot_call=SHARED_CONNECT_TIMEOUT + SHARED_RESPONSE_TIMEOUT,
            backoff_min=SHARED_BACKOFF_MIN,
            backoff_max=SHARED_BACKOFF_MAX,
            pause=SHARED_NEXT_CALL,
            next_call=SHARED_NEXT_CALL,
        )
    grace = max(MIN_GRACE, settings.rules.drain_grace / 1e6)
    wait = min(AGENT_WAIT_MAX, AGENT_WAIT_SHARE * grace)
    call = wait + min(AGENT_RESPONSE_TIMEOUT_MAX, AGENT_SILENCE_SHARE * grace)
    return CallTimes(
        wait=wait,
        connect=call,
        call=call,
        snapshot_call=call,
        backoff_min=BACKOFF_MIN,
        backoff_max=BACKOFF_MAX,
        pause=AGENT_PAUSE_SHARE * grace,
        next_call=grace,
    )
