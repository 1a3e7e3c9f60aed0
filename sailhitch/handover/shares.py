"""How the processes of one gateway divide its resources. No I/O, and no agreement is needed.

Memory for bodies is divided evenly. Descriptors: each process may use what the others did not hold
at their last report, less a margin for what they open until the next one, but always a minimum
share. Rates follow the clients: half for each while both accept connections, all for the new
process once the old one drains. A process on its own may use everything. Use above a share is
handled like use above any other limit.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Final

from ..core.resource_limits import ResourceLimits

MIN_DESCRIPTOR_SHARE: Final = 4  # each process may always use 1/4 of the descriptors
DESCRIPTOR_MARGIN: Final = 16  # for what the others open until their next report


@dataclass(slots=True)
class Share:
    """One process's share, based on what it knows of the others."""

    has_predecessor: bool = False  # a predecessor is running...
    predecessor_drains: bool = False  # ...and accepts no more connections
    has_successor: bool = False  # a successor is running...
    successor_is_ready: bool = False  # ...and accepts connections

    def processes(self) -> int:
        """Return the number of processes that share the resources."""
        return 1 + self.has_predecessor + self.has_successor

    def limits(self, total: ResourceLimits, descriptors_elsewhere: int) -> ResourceLimits:
        """Return this process's part of the gateway's limits."""
        count = self.processes()
        if count == 1:
            return total
        unused = total.descriptors - descriptors_elsewhere - DESCRIPTOR_MARGIN
        return replace(
            total,
            memory_mb=total.memory_mb // count,
            descriptors=max(total.descriptors // MIN_DESCRIPTOR_SHARE, unused),
            # Fronts distribute connections to the gateway, whichever process accepts them.
            request_slots=total.request_slot_count(),
        )

    def client_share(self) -> float:
        """Return the fraction of the gateway's new clients that connect to this process."""
        others_accepting = (self.has_predecessor and not self.predecessor_drains) + (
            self.has_successor and self.successor_is_ready
        )
        return 1.0 / (1 + others_accepting)
