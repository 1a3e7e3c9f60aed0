"""How two processes share what one gateway may use. No I/O, and nothing to agree on.

Memory for bodies: each goes by its even part, whatever the other does. Descriptors: each goes by
what the other says it holds, with a margin for what both open until the next word of it, and has a
least part that is its own. Rates: by who takes clients in, half each while both do, and all for the
new one once the old has stopped. The one that is left goes by the whole, whoever ended and however.
What one held above its part goes as anything above a limit does.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Final

from ..core.resource_limits import ResourceLimits

LEAST: Final = 4  # one part in so many of the descriptors is any process's own
MARGIN: Final = 16


@dataclass(slots=True)
class Share:
    """One process's part, by what it sees itself."""

    has_predecessor: bool = False  # a predecessor lives...
    predecessor_drains: bool = False  # ...and takes nobody in any more
    has_successor: bool = False  # a successor lives
    successor_is_ready: bool = False  # ...and takes clients in

    def processes(self) -> int:
        """Return how many share."""
        return 1 + self.has_predecessor + self.has_successor

    def limits(self, whole: ResourceLimits, others: int) -> ResourceLimits:
        """Return what this process may use of what the gateway may, the others holding so many
        descriptors.
        """
        count = self.processes()
        if count == 1:
            return whole
        left = whole.descriptors - others - MARGIN
        return replace(
            whole,
            memory_mb=whole.memory_mb // count,
            descriptors=max(whole.descriptors // LEAST, left),
            # Fronts deal out connections to the gateway, whichever process takes them.
            request_slots=whole.request_slot_count(),
        )

    def intake(self) -> float:
        """Return the part of the gateway's clients that comes here."""
        others = (self.has_predecessor and not self.predecessor_drains) + (
            self.has_successor and self.successor_is_ready
        )
        return 1.0 / (1 + others)
