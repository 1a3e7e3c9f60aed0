"""Deadlines of requests whose body is still being read.

A request's time counts from when its last byte arrived. While a host takes nothing, reading is
paused, and that byte may wait unread: the request must get its final response in time all the same.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..policy_interface import AttemptOutcome
from .request_context import Attempt, RequestContext
from .timer_wheel import MS, NEVER

if TYPE_CHECKING:
    from .core import GatewayCore

# A host that has taken nothing for so long is silent: its attempt ends once the request's last byte
# may have arrived a request's time ago.
HOST_SILENT_AFTER: Final = 300 * MS
# A silent host's attempt ends at the latest after this time, even if the client is slow too.
MAX_UPLOAD_STALL: Final = 8000 * MS


class UploadDeadlines:
    """Sets the deadlines of streamed requests, and ends attempts at hosts that take nothing."""

    def __init__(self, core: GatewayCore) -> None:
        self._core = core

    def initial(self) -> int:
        """Return the deadline of a request whose last byte has not arrived, as far as known."""
        return self._core.drain_until if self._core.drain_since else NEVER

    def body_arrived(self, request: RequestContext, arrived: int) -> None:
        """Start the time of a request whose last byte has arrived, though it is unread."""
        assert request.upload is not None
        request.upload.arrived_at = arrived
        self._set_deadline(request, arrived)
        for attempt in request.open_attempts:
            attempt.restart(max(attempt.sent_at, arrived))
        assert request.pool is not None
        request.pool.body_arrived(request, arrived)
        self._core.schedule(request)

    def expire_before_last_byte(self, request: RequestContext, arrived: int) -> bool:
        """Return whether a request is over, as the last byte, which was just read, is too late.

        Its attempts have not run, and can't run if that byte is not passed on.
        """
        core = self._core
        now = core.clock()
        if request.closed:
            return True
        if now < core.deadline(request, arrived) or not request.open_attempts:
            return False
        self._set_deadline(request, arrived)
        for attempt in request.open_attempts:
            attempt.expires_at = request.deadline
        core.check_timeouts(request, now)
        return request.closed

    def body_complete(self, request: RequestContext, arrived: int) -> None:
        """Handle the last byte of a streamed body, which arrived at `arrived` and was passed on."""
        core = self._core
        if request.closed:
            return
        now = core.clock()
        self._set_deadline(request, arrived)
        for attempt in request.open_attempts:
            attempt.restart(now)
        assert request.pool is not None
        request.pool.body_arrived(request, arrived)
        request.pool.body_complete(request, now)
        if not request.closed:
            core.schedule(request)

    def check_unread(self, request: RequestContext, arrived_at: int) -> None:
        """Start a request's time if its last byte is known to have arrived, though it is unread."""
        upload = request.upload
        if upload is not None and not request.closed and arrived_at and not upload.arrived_at:
            self.body_arrived(request, arrived_at)

    def check_paused(
        self, request: RequestContext, missing_at: int, arrived_at: int, now: int
    ) -> None:
        """Check a request while reading its body is paused; called several times a second.

        `missing_at`: latest time at which its last byte is known to have been missing.
        `arrived_at`: when that byte arrived; 0 if it is not known to have arrived.
        """
        upload = request.upload
        if upload is None or request.closed:
            return
        upload.observe_progress(now)
        self.check_unread(request, arrived_at)
        silent_for = upload.silent_for(now)
        overdue = now >= self._core.deadline(request, missing_at)
        if silent_for >= MAX_UPLOAD_STALL or (overdue and silent_for >= HOST_SILENT_AFTER):
            self._end_stalled(request)

    def observe_rest(self, request: RequestContext, now: int) -> None:
        """Observe a body whose last byte was read, while the rest of it waits for the host."""
        upload = request.upload
        if upload is not None and upload.complete:
            upload.observe_progress(now)

    def expiry_outcome(self, attempt: Attempt, now: int) -> AttemptOutcome:
        """Return the outcome of an attempt whose time ends before its last byte was written."""
        upload = attempt.request.upload
        if upload is None or upload.silent_for(now) < HOST_SILENT_AFTER:
            return AttemptOutcome.EXPIRED
        return AttemptOutcome.STALLED

    def _set_deadline(self, request: RequestContext, arrived: int) -> None:
        request.deadline = min(request.deadline, self._core.deadline(request, arrived))

    def _end_stalled(self, request: RequestContext) -> None:
        pool = request.pool
        assert pool is not None
        for attempt in list(request.open_attempts):
            if attempt.connection is not None and attempt.connection.has_unsent_bytes():
                pool.abort(attempt, AttemptOutcome.STALLED)
