"""Ask the operating system, past the event loop, for events that are pending on a socket."""

from __future__ import annotations

import select


def has_event(descriptor: int, events: int) -> bool:
    """Return whether one of these poll(2) events is pending; costs about a microsecond."""
    poll = select.poll()
    poll.register(descriptor, events)
    return bool(poll.poll(0))
