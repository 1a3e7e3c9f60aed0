"""Limits of the process's resources."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from ..front import ConnectionBudget

# Descriptors for the event loop, the listener, discovery, the log and files.
RESERVED_DESCRIPTORS: Final = 36
MIN_DESCRIPTORS: Final = 8  # for clients and hosts, however low the limit
REQUEST_SLOT_DIVISOR: Final = 3  # fronts use the descriptors divided by this for requests


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """The limits of the process and of requests' time. Times are microseconds."""

    memory_mb: int
    descriptors: int
    max_requests: int
    longest_deadline: int
    max_retry_after: int = 0  # longest Retry-After to send; 0 to send none
    request_slots: int = (
        0  # connections that fronts use for requests; 0: derived from `descriptors`
    )

    def request_slot_count(self) -> int:
        """Return the number of connections that fronts use for requests."""
        return self.request_slots or max(1, self.descriptors // REQUEST_SLOT_DIVISOR)

    def connection_budget(self) -> ConnectionBudget:
        """Return the budget for connections of clients and to hosts."""
        descriptors = max(MIN_DESCRIPTORS, self.descriptors - RESERVED_DESCRIPTORS)
        return ConnectionBudget(descriptors, self.request_slot_count())
