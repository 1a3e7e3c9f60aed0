"""Poll a socket outside of the event loop, for what the loop has not read yet."""

from __future__ import annotations

import select


def has_event(descriptor: int, events: int) -> bool:
    """Return whether one of these poll(2) events is pending; costs about a microsecond."""
    poll = select.poll()
    poll.register(descriptor, events)
    return bool(poll.poll(0))
