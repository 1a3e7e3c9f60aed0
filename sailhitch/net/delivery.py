"""Bytes that a parser was given and has not passed on.

A parser collects an element of a message, such as the value of a field, until its end comes, and
tells nobody before. The peer decides when that is. So what the parser may hold is counted from
outside: what was read less what was delivered, in whatever phase of a message.
"""

from __future__ import annotations

from typing import Final

from .head_fields import MAX_HEAD_BYTES

# Bytes; room for a head of one field, and for the syntax that one read has.
MAX_UNDELIVERED: Final = MAX_HEAD_BYTES + 8 * 1024

# Bytes that a parser is given at a time, so that the syntax between short pieces of a body in one
# read stays below MAX_UNDELIVERED.
PARSED_AT_ONCE: Final = 16 * 1024


class DeliveryCounter:
    """Counts what the parser of a connection may hold.

    Callbacks of the parser add what they are given to `delivered`, unless they drop it. Subclasses
    have the attributes below among their slots, and call `reset_delivery`.
    """

    delivered: int  # bytes since the last `count_parsed`
    undelivered: int  # bytes that the parser may hold; too many by the syntax of the last read

    def reset_delivery(self) -> None:
        """Start to count, for a parser that holds nothing."""
        self.delivered = self.undelivered = 0

    def count_parsed(self, size: int) -> None:
        """Count a read of `size` bytes, now that the parser has had all of it."""
        delivered = self.delivered
        if delivered:
            self.delivered = 0
            self.undelivered = size - delivered if size > delivered else 0
        else:
            self.undelivered += size
