"""Ask the operating system, past the event loop, for events that are pending on a socket."""

from __future__ import annotations

import select


def has_event(descriptor: int, events: int) -> bool:
    """Return whether one of these poll(2) events is pending; costs about a microsecond."""
    return bool(pending_events(descriptor, events))


def pending_events(descriptor: int, events: int) -> int:
    """Return those of these poll(2) events that are pending; errors and hang-ups always count."""
    poll = select.poll()
    poll.register(descriptor, events)
    found = poll.poll(0)
    return found[0][1] if found else 0
