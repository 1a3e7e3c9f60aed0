"""Counts the outcomes of a pool's attempts, and logs hosts whose attempts begin to fail."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..policy_interface import AttemptOutcome

if TYPE_CHECKING:
    from .pool import Pool

MAX_REASON: Final = 100  # characters of a malformed response's description in the log
# Outcomes that say nothing about the host.
NOT_ATTRIBUTED: Final = (
    AttemptOutcome.NOT_SENT,
    AttemptOutcome.CANCELLED,
    AttemptOutcome.NO_ROUTE,
    AttemptOutcome.WITHHELD,
)


class OutcomeRecorder:
    """Records the outcomes of one pool's attempts."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._counters = pool.core.counters
        self._logger = pool.core.logger
        self.failing: set[str] = set()  # hosts whose last attempt failed; used for logging only

    def record(self, server: str, status: AttemptOutcome, attributable: bool) -> None:
        """Record an outcome; `attributable`: it says something about the host."""
        statuses = self._counters.statuses
        statuses[status] = statuses.get(status, 0) + 1
        if not attributable or status in NOT_ATTRIBUTED:
            return
        if self._pool.on_outcome is not None:
            self._pool.on_outcome(server, status)
        if status == AttemptOutcome.OK:
            self.failing.discard(server)
        elif server not in self.failing:
            self.failing.add(server)
            self._logger.write_limited(f"host {server}", f"host {server}: {status}")

    def record_malformed(self, server: str, reason: str) -> None:
        """Record an invalid response of a host."""
        self._counters.malformed += 1
        self._logger.write_limited(
            f"malformed {server}", f"host {server}: malformed response: {reason[:MAX_REASON]}"
        )

    def record_unexpected_status(self, server: str, status: int) -> None:
        """Record a complete response that neither serves nor rejects the request."""
        self._logger.write_limited(
            f"status {status} {server}", f"host {server} responded with status {status}"
        )
