"""The `Port` by which a pool's decision module sends attempts and responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..policy_interface import AttemptOutcome
from .request_context import Attempt

if TYPE_CHECKING:
    from .pool import Pool


class PolicyPort:
    """Carries out the decision module's actions; implements `Port`.

    The module is not reentrant: outcomes that are known while it runs are reported once it has
    returned.
    """

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._core = pool.core

    def send(self, req: int, server: str, timeout: int) -> None:
        """Send an attempt that times out after `timeout` microseconds; 0: at the deadline."""
        request = self._core.open_requests.get(req)
        if request is None:
            return
        pool = self._pool
        now = self._core.clock()
        expires_at = min(now + timeout, request.deadline) if timeout > 0 else request.deadline
        attempt = Attempt(request, request.attempts, server, now, expires_at)
        request.attempts += 1
        request.open_attempts.append(attempt)
        upload = request.upload
        if upload is not None and not upload.complete:
            attempt.timeout = timeout
            if not upload.arrived_at:
                expires_at = attempt.expires_at = request.deadline
        max_attempts = pool.settings.limits.max_attempts
        too_late = request.closed or now >= expires_at or request.attempts > max_attempts
        if too_late or (upload is not None and not upload.replayable()):
            pool.defer_outcome(attempt, AttemptOutcome.NOT_SENT)
        else:
            pool.transport.start(attempt, now)
            self._core.schedule(request)

    def refuse(self, req: int, retry_after: int) -> None:
        """Reject a request; `retry_after` in microseconds, 0 for no advice."""
        request = self._core.open_requests.get(req)
        if request is not None and not request.closed:
            self._core.counters.refused += 1
            self._core.respond_rejected(request, retry_after)

    def fail(self, req: int) -> None:
        """Report a request as failed."""
        request = self._core.open_requests.get(req)
        if request is not None and not request.closed:
            self._core.respond_failed(request)

    def cancel(self, req: int, attempt: int) -> None:
        """Cancel an attempt, if it is still open."""
        request = self._core.open_requests.get(req)
        if request is None:
            return
        for open_attempt in request.open_attempts:
            if open_attempt.number == attempt:
                open_attempt.cancel()
                self._pool.defer_outcome(open_attempt, AttemptOutcome.CANCELLED)

    def set_timer(self, token: int, at: int) -> None:
        """Call the module's `timer` with `token` at time `at`."""
        self._core.timers.push(at, (self._pool, token))

    def watch(self, on: bool) -> None:
        """Open or end the watch of the endpoint list."""
        if self._pool.set_watch_wanted is not None:
            self._pool.set_watch_wanted(on)

    def log(self, text: str) -> None:
        """Write a line to the log, at a limited rate."""
        self._core.logger.write_limited("module", text)
