"""What staff can ask of the platform's gateway: the acts behind the operators' door."""

from __future__ import annotations

from collections.abc import Callable

from ..core.pool import Pool


class Staff:
    """Asks a pool; `said` tells it, and whoever else must hear, what staff say of a host."""

    def __init__(self, pool: Pool, said: Callable[[str, bool], None]) -> None:
        self.pool, self.core, self.said = pool, pool.core, said

    def serving(self) -> bool:
        return self.core.ready

    def enter(self, target: str) -> bool:
        return self._say(target, True)

    def leave(self, target: str) -> bool:
        return self._say(target, False)

    def _say(self, target: str, out: bool) -> bool:
        maintenance = self.pool.maintenance
        if not maintenance.knows(target):
            return False
        if out != maintenance.is_out(target):
            self.said(target, out)
            word = "out for maintenance" if out else "back in use"
            self.core.logger.say(f"operators: host {target:.80} {word}")
        return True
