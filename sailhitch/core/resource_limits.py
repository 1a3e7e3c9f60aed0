"""What the process may use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from ..front import ConnectionBudget

# Descriptors for the loop, the listener, discovery, the log and files.
RESERVED_DESCRIPTORS: Final = 36
MIN_DESCRIPTORS: Final = 8  # left to clients and hosts, whatever the limit
REQUEST_SLOT_SHARE: Final = 3  # fronts deal out one part in so many of the descriptors for requests


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """The limits of the process, and how long a request may take. Times are microseconds."""

    memory_mb: int
    descriptors: int
    max_requests: int
    longest_deadline: int
    max_retry_after: int = 0  # the latest time that a Retry-After may name; 0 for none at all
    request_slots: int = 0  # connections that fronts deal out for requests; 0: by the descriptors

    def request_slot_count(self) -> int:
        """Return the connections that fronts deal out for requests."""
        return self.request_slots or max(1, self.descriptors // REQUEST_SLOT_SHARE)

    def sizes(self) -> ConnectionBudget:
        """Return what is left to clients and hosts."""
        descriptors = max(MIN_DESCRIPTORS, self.descriptors - RESERVED_DESCRIPTORS)
        return ConnectionBudget(descriptors, self.request_slot_count())
