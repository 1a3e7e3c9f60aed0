"""Carries out operators' requests on a pool of the gateway."""

from __future__ import annotations

from collections.abc import Callable

from ..core.pool import Pool

MaintenanceAnnouncer = Callable[[str, bool], None]
"""Called with a host's id, and whether it is taken out."""


class OperatorHandlers:
    """The operators' actions on one pool.

    `announce(host, out)` takes a host out for maintenance or puts it back, in this process and in
    every other one concerned.
    """

    def __init__(self, pool: Pool, announce: MaintenanceAnnouncer) -> None:
        self.pool = pool
        self.core = pool.core
        self.announce = announce

    def serving(self) -> bool:
        """Return whether this process can serve."""
        return self.core.ready

    def enter(self, target: str) -> bool:
        """Take a host out; return False for an id that was never listed."""
        return self._set_maintenance(target, True)

    def leave(self, target: str) -> bool:
        """Put a host back; return False for an id that was never listed."""
        return self._set_maintenance(target, False)

    def _set_maintenance(self, target: str, out: bool) -> bool:
        maintenance = self.pool.maintenance
        if not maintenance.knows(target):
            return False
        if out != maintenance.is_out(target):
            self.announce(target, out)
            status = "out for maintenance" if out else "back in use"
            self.core.logger.write(f"operators: host {target:.80} {status}")
        return True
