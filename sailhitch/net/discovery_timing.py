"""Time limits of calls to discovery and of the delays between them."""

from __future__ import annotations

from typing import Final, NamedTuple

from ..settings import Settings

# s after which a change counts as notified, from when discovery had it and could be reached,
# however many calls failed before. This also applies to changes that a silent watch misses.
NOTIFY_WITHIN: Final = 6.0
PROCESSING_MARGIN: Final = 0.2  # s of that for processing

# If discovery is one service shared by all gateways.
SHARED_CONNECT_TIMEOUT: Final = 0.5  # s
SHARED_RESPONSE_TIMEOUT: Final = 1.7  # s, also for the full list
# Latest start of the next call, in s after the start of one that fails. Connecting and the response
# have to fit into the remaining time.
SHARED_NEXT_CALL: Final = (
    NOTIFY_WITHIN - PROCESSING_MARGIN - SHARED_CONNECT_TIMEOUT - SHARED_RESPONSE_TIMEOUT
)
# s that a watch call waits for an update
SHARED_WAIT: Final = SHARED_NEXT_CALL - SHARED_RESPONSE_TIMEOUT
SHARED_BACKOFF_MIN: Final = 0.25  # s
SHARED_BACKOFF_MAX: Final = 1.0  # s, with few gateways

# If an agent on this machine provides the list.
AGENT_WAIT_MAX: Final = 0.4  # s
AGENT_RESPONSE_TIMEOUT_MAX: Final = 0.3  # s
# Shares of the drain rule's grace period: for the wait of a watch call, for its response after
# that, and for the delay after a failed call. The rest is for the next call and for processing.
AGENT_WAIT_SHARE: Final = 0.3
AGENT_SILENCE_SHARE: Final = 0.25
AGENT_PAUSE_SHARE: Final = 0.15
MIN_GRACE: Final = 0.1  # s; with a shorter one a gateway would only be busy with calls
BACKOFF_MIN: Final = 0.05  # s
BACKOFF_MAX: Final = 0.3  # s, with few gateways

MIN_POLL_INTERVAL: Final = 0.02  # s between two calls if a response came at once without an update
MAX_FAILING_CALLS: Final = 100.0  # per second, by all gateways together


class CallTimes(NamedTuple):
    """Time limits of calls and delays, in seconds."""

    wait: float  # that a watch call waits for an update
    connect: float  # until a connection is established
    call: float  # of a complete watch call, including its wait
    snapshot_call: float  # of a call for the full list, which does not wait
    backoff_min: float  # shortest delay after a failed call
    backoff_max: float  # longest delay, with few gateways
    pause: float  # longest delay with any number of gateways
    next_call: float  # at most, from the start of a failed call to the start of the next


def call_times(settings: Settings) -> CallTimes:
    """Return the time limits for the kind of discovery and the drain rule's grace period.

    A change that an agent has counts as notified even if no call asks for it. The agent may come
    back right after a call that it never answers, even the first one of a process. That call, its
    connect, the delay and the next call have to fit into the grace period together.
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
