"""Ask the operating system, past the event loop: pending events, and what its errors mean."""

from __future__ import annotations

import errno
import select
from typing import Final

# Errors of a system that has no more descriptors or buffers to give.
OUT_OF_RESOURCES: Final = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


def has_event(descriptor: int, events: int) -> bool:
    """Return whether one of these poll(2) events is pending; costs about a microsecond."""
    poll = select.poll()
    poll.register(descriptor, events)
    return bool(poll.poll(0))
