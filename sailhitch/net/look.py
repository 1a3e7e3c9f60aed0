"""What the system says past the loop: of a socket's unread state, and of its own shortness."""

from __future__ import annotations

import errno
import select
from typing import Final

# What a system says that has no more descriptors or buffers to give.
SCARCE: Final = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


def shows(descriptor: int, event: int) -> bool:
    """Whether one of these events of poll(2) is there now; costs about a microsecond."""
    look = select.poll()
    look.register(descriptor, event)
    return bool(look.poll(0))
