"""Request lifecycle, shared by all fronts and pools: from a complete request to its response.

Ensures that each request gets exactly one final response in time, and releases its resources after
it. Fronts and transports are known only by the protocols in `interfaces.py`.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import Final

from ..front import ConnectionAdmission, ConnectionSlot, Reason, Verdict
from ..policy_interface import AttemptOutcome
from . import drain
from .budget import Budget
from .counters import Counters
from .descriptors import DescriptorManager
from .interfaces import Client, Connection, PassOnConnection, ResponseSource
from .invariants import Invariants, Violation
from .log import Log, origin_of
from .memory_guard import MemoryGuard
from .memory_monitor import MemoryMonitor
from .periodic import CLIENT_SWEEP_INTERVAL, PERIODIC_INTERVAL, PeriodicTasks
from .pool import Pool
from .read_scheduler import ReadScheduler
from .recent_requests import RecentRequests
from .request_context import RequestContext
from .resource_limits import ResourceLimits
from .response import Response
from .stalls import StallHistory
from .statistics import write_statistics
from .timer_wheel import LATE, MS, NEVER, TIMER_DELAY, TimerQueue
from .upload_deadlines import UploadDeadlines

__all__ = ["CLIENT_SWEEP_INTERVAL", "PERIODIC_INTERVAL", "Counters", "GatewayCore"]

# A response is due before the client stops waiting, by this margin or a tenth of the wait, whatever
# is shorter...
RESPONSE_MARGIN: Final = 10 * MS
# ...but at least by the delay that a timer may have.
TIMER_GRANULARITY: Final = 2 * MS
# After the deadline. The core then responds itself, as the decision module failed to.
OVERDUE_AFTER: Final = 25 * MS

RECENT_REJECTIONS: Final = 4

# What a timer is for: a request, a token of a pool's decision module, or None for periodic work.
TimerTarget = RequestContext | tuple[Pool, int] | None


class GatewayCore:
    """The requests of one process, from all its fronts to all its pools."""

    def __init__(
        self, limits: ResourceLimits, loop: asyncio.AbstractEventLoop, logger: Log
    ) -> None:
        self.limits = limits
        self.loop = loop
        self.logger = logger
        # Offset of the monotonic clock to the time of day at the start, so that times of `clock`
        # are comparable with a host's `started_ms`.
        self.epoch = (time.time_ns() - time.monotonic_ns()) // 1000  # us
        self.budget = Budget(limits.memory_mb)
        self.invariants = Invariants(logger)
        self.pools: list[Pool] = []
        self.clients: dict[Connection, None] = {}
        self.admission = ConnectionAdmission(limits.connection_budget(), self.clock())
        self.arriving: set[Connection] = set()  # accepted, not yet in `clients`
        # Listeners that close once their accept queues are empty.
        self.draining_listeners: set[object] = set()
        # Requests that await a response or the outcome of an attempt.
        self.request_by_name: dict[bytes, RequestContext] = {}
        self.open_requests: dict[int, RequestContext] = {}
        self.recent_requests = RecentRequests()
        self.counters = Counters()
        self.recent_rejections: deque[str] = deque(maxlen=RECENT_REJECTIONS)  # for the log
        self.ready = False
        self._stop_signal_at = 0  # when a signal to drain may have come; 0 if none has
        self.drain_since = 0
        self.drain_until = 0  # when the last response is sent
        self.closing_clients = False  # each response closes its connection
        # Passes connections that become idle to this process's successor, if there is one.
        self.pass_on_connection: PassOnConnection | None = None
        self.timers: TimerQueue[TimerTarget] = TimerQueue(
            loop, self.clock, self._fire, self._fire_failed, self._on_stall, _is_stale
        )
        self.stalls = StallHistory()
        self.catching_up = False  # configuration that arrived during a stall is not applied yet
        self.periodic = PeriodicTasks(self)
        self.read_scheduler = ReadScheduler(loop)
        self.memory = MemoryMonitor(self)
        self.memory_guard = MemoryGuard(self)
        self._descriptors = DescriptorManager(self)
        self.uploads = UploadDeadlines(self)
        self._next_id = 1

    # --- Clock and timers

    def clock(self) -> int:
        """Return the time in microseconds; no step of the wall clock changes it."""
        return time.monotonic_ns() // 1000 + self.epoch

    def may_be_outdated(self, now: int) -> bool:
        """Return whether updates may have arrived that the pools' choices don't reflect.

        Either the event loop is late, and what arrived meanwhile is unread, or `catching_up`.
        """
        return self.catching_up or now - self.periodic.last_tick_at > PERIODIC_INTERVAL + LATE

    def start(self) -> None:
        """Start the periodic work."""
        self.periodic.start(self.clock())

    def on_read(self, size: int) -> None:
        """Count a read from a connection; look at the memory again after so many bytes."""
        memory = self.memory
        memory.read_bytes += size
        if memory.read_bytes > memory.check_at:
            self.check_memory(self.clock())

    def check_memory(self, now: int) -> None:
        """Look at the resident size, and give up memory if it is too much."""
        self.memory.update(now)
        self.memory_guard.on_growth()
        self.memory_guard.on_resident(self.memory.resident)

    def stop(self) -> None:
        """Stop at once: cancel the timers and abort all connections."""
        self.timers.stop()
        self.memory.close()
        for client in list(self.clients):
            client.abort()
        for pool in self.pools:
            pool.transport.stop()

    def reconfigure(self, limits: ResourceLimits) -> None:
        """Apply other limits; open requests continue."""
        self.limits = limits
        self.budget.resize(limits.memory_mb)
        self.admission.resize(limits.connection_budget())

    def _fire(self, target: TimerTarget, at: int, now: int) -> None:
        if target is None:
            self.periodic.tick(now)
        elif isinstance(target, tuple):
            pool, token = target
            pool.timer(token, now)
        elif target.wake_at == at:
            self.check_timeouts(target, now)

    def _fire_failed(self, target: TimerTarget, error: Exception) -> None:
        """Handle a timer that raised; if it was a request's, its client gets a response."""
        self.fault("a timer", error)
        if isinstance(target, RequestContext) and not target.closed:
            self.respond_failed(target)

    def detect_stall(self, now: int) -> None:
        """Report a stall of the event loop to the pools before its delayed timers have run.

        The event loop may read sockets before it runs timers, and the decision module must know of
        the stall before it evaluates a response that was delayed by it.
        """
        due = self.periodic.next_tick_at
        if now - due > LATE and not self.stalls.is_recorded(due):
            self._on_stall(now, now - due)

    def _on_stall(self, now: int, late: int) -> None:
        self.logger.write_limited("stall", f"event loop stalled for {late // MS} ms")
        duration = self.stalls.record(now, late)
        for pool in self.pools:
            pool.on_stall(now, duration)

    def fault(self, where: str, error: Exception) -> None:
        """Count and log an unexpected exception; the caller continues."""
        self.counters.faults += 1
        self.logger.write_limited(
            f"fault {where}", f"{where} failed: {error!r:.100}, {origin_of(error)}"
        )

    def policy_failed(self, error: Exception) -> None:
        """Count and log an exception of a pool's decision module."""
        self.counters.panics += 1
        details = f"{type(error).__name__}: {error}, {origin_of(error)}"
        self.logger.write_limited("panic", f"the module failed: {details}")

    def schedule(self, request: RequestContext) -> None:
        """Set a timer for the request's next time-out."""
        at = request.deadline + OVERDUE_AFTER if not request.closed else NEVER
        for attempt in request.open_attempts:
            at = min(at, attempt.expires_at)
            if attempt.connect_by:
                at = min(at, attempt.connect_by)
        if at < NEVER and (not request.wake_at or at < request.wake_at):
            request.wake_at = at
            self.timers.push(at, request)

    def check_timeouts(self, request: RequestContext, now: int) -> None:
        """End what has timed out of a request, and set its next timer."""
        request.wake_at = 0
        pool = request.pool
        assert pool is not None
        for attempt in list(request.open_attempts):
            pool.check_timeouts(attempt, now)
        if not request.closed and now >= request.deadline + OVERDUE_AFTER:
            # The module has not decided, but the client must get a response.
            self.counters.overdue += 1
            self.logger.write_limited("overdue", "a request had no response after its deadline")
            pool.client_disconnected(request, now)
            if request.attempts:
                self.respond_failed(request)
            else:
                self.respond_rejected(request, 0)  # no attempt was made
        self.schedule(request)

    def expire_requests(self) -> None:
        """Check the timeouts of all open requests now, whether or not their timers have fired."""
        now = self.clock()
        for request in list(self.open_requests.values()):
            try:
                self.check_timeouts(request, now)
            except Exception as error:
                self._fire_failed(request, error)

    # --- Requests

    def request(self, request: RequestContext) -> None:
        """Accept a complete request; from now on its client must get one response."""
        pool = request.pool
        assert pool is not None
        now = self.clock()
        arrived = request.arrived_at or self.earliest_arrival(now)
        deadline = self.deadline(request, arrived)
        request.deadline = self.uploads.initial() if request.is_uploading() else deadline
        request.id = self._next_id
        self._next_id += 1
        self.counters.requests += 1
        if len(self.open_requests) >= self.limits.max_requests:
            self.counters.shed += 1
            self.respond_rejected(request, 0)
            return
        self.open_requests[request.id] = self.request_by_name[request.name] = request
        self.recent_requests.on_opened(request)
        pool.request(request, now, deadline)
        if not request.closed:
            self.schedule(request)

    def earliest_arrival(self, now: int) -> int:
        """Return the earliest time at which bytes that are read now may have arrived.

        They are read late by as much as the periodic tick is overdue. After a late tick they may
        have arrived since the tick before: while the loop was busy, it did not look for them.
        """
        due = self.periodic.next_tick_at
        earliest = due if now - due > TIMER_DELAY else now
        return min(earliest, self.periodic.busy_since or earliest)

    def deadline(self, request: RequestContext, arrived: int) -> int:
        """Return when a request whose last byte arrived at `arrived` must have its response."""
        wait = request.wait_ms * MS
        margin = max(TIMER_GRANULARITY, min(RESPONSE_MARGIN, wait // 10))
        deadline = arrived + wait - min(wait, margin)
        if self.drain_since:
            deadline = min(deadline, self.drain_until)
        return deadline

    def client_disconnected(self, request: RequestContext) -> None:
        """Close a request whose client disconnected; attempts run on to their outcomes."""
        if request.closed:
            return
        self.counters.disconnected += 1
        request.client = None
        request.closed = request.client_left = True
        if request.pool is not None:
            request.pool.client_disconnected(request, self.clock())
            # An attempt whose last byte was not sent never ran, says nothing about its host, and is
            # no longer needed.
            for attempt in list(request.open_attempts):
                unsent = attempt.connection is not None and attempt.connection.has_unsent_bytes()
                if request.is_uploading() or unsent:
                    attempt.cancel()
                    request.pool.attempt_finished(attempt, AttemptOutcome.NOT_SENT, None, None)
        self.release_request(request)

    def _conclude(self, request: RequestContext) -> Client | None:
        """Close a request; return the client that its one final response goes to."""
        if request.closed:
            self.invariants.record(Violation.ANSWERED_TWICE, request)
            return None
        request.closed = True
        client, request.client = request.client, None
        self.release_request(request)
        return client

    def release_request(self, request: RequestContext) -> None:
        """Release a closed request and its body once no attempt is open."""
        if request.closed and not request.open_attempts:
            was_open = self.open_requests.pop(request.id, None) is not None
            if self.request_by_name.get(request.name) is request:
                del self.request_by_name[request.name]
            if was_open:
                self.recent_requests.on_closed(request, self.clock())
            self.release_body(request)
            request.head = b""
            request.fallback_response = None
            request.wake_at = 0

    def release_body(self, request: RequestContext) -> None:
        """Release the request's body."""
        self.budget.release(request.reserved)
        request.reserved = 0
        request.body = b""
        if request.upload is not None:
            request.upload.close()

    def respond_served(self, request: RequestContext, response: Response | None) -> None:
        """Send a host's response as the final one."""
        self.counters.served += 1
        client = self._conclude(request)
        if client is not None and response is not None:
            client.serve(request, response)

    def respond_streaming(
        self,
        request: RequestContext,
        response: Response,
        length: int | None,
        source: ResponseSource,
    ) -> Client | None:
        """Begin to stream a host's response as the final one; return the client that gets it."""
        self.counters.served += 1
        client = self._conclude(request)
        if client is not None:
            client.begin(request, response, length, source)
        return client

    def respond_rejected(self, request: RequestContext, retry_after: int) -> None:
        """Reject a request, which tells the client that a retry is safe."""
        if not self.invariants.before_refusal(request):
            self.respond_failed(request)
            return
        client = self._conclude(request)
        if client is not None:
            client.refuse(request, retry_after)

    def respond_failed(self, request: RequestContext) -> None:
        """Report a failure; the request may have taken effect."""
        self.counters.failed += 1
        late = self.clock() >= request.deadline
        fallback = request.fallback_response
        client = self._conclude(request)
        if client is None:
            return
        if fallback is not None:
            client.serve(request, fallback)
        else:
            client.fail(request, late)

    # --- Descriptors

    def upstream_descriptors(self) -> int:
        """Return the descriptors held by connections to hosts."""
        return self._descriptors.upstream_count()

    def free_descriptor(self) -> bool:
        """Return whether one more connection to a host may be opened; closes others if needed."""
        return self._descriptors.free_descriptor()

    def admission_verdict(self) -> Verdict:
        """Return whether one more client can be admitted; closes connections to make room."""
        return self._descriptors.admission_verdict()

    def on_descriptors_exhausted(self, own_limit: bool = True) -> None:
        """Handle the system's refusal of a descriptor (`DescriptorManager.on_exhausted`)."""
        self._descriptors.on_exhausted(own_limit)

    def release(self, slots: list[ConnectionSlot], reason: Reason) -> int:
        """Close connections, except those with unread bytes; return how many were closed."""
        return self._descriptors.release(slots, reason)

    def retry_after(self) -> int:
        """Return the Retry-After of a refused connection, in microseconds; 0 if unknown."""
        longest = self.limits.max_retry_after
        after = self.admission.retry_after(self.clock()) if longest else 0
        return after if after <= longest else 0

    # --- Drain, log

    def last_response_after(self) -> int:
        """Return how long after SIGTERM the last response is sent; SIGKILL follows soon after."""
        return drain.last_response_after(self.limits.longest_deadline)

    def on_stop_signal(self) -> None:
        """Record when SIGTERM may have come: in a stall it is handled late, but SIGKILL is not."""
        if not self._stop_signal_at:
            self._stop_signal_at = drain.earliest_signal(self, self.clock())

    def drain(self) -> None:
        """Begin to drain: report not ready, but keep serving open connections for `drain_hold`.

        The load balancer directs new connections elsewhere almost at once, but the other gateways
        may be restarting too. Clients then depend on the connections that they have; closing each
        with its next response would leave them without any service.
        """
        self.drain_since = self._stop_signal_at or self.clock()
        # Fixed now: a later change of settings must not move the end of this process.
        self.drain_until = self.drain_since + self.last_response_after()
        self.ready = False
        drain.shorten_deadlines(self)

    def drain_hold(self) -> int:
        """Return how long after SIGTERM connections are kept open for further requests."""
        return min(drain.MAX_DRAIN_HOLD, (self.drain_until - self.drain_since) // 2)

    def close_idle_clients(self) -> bool:
        """Close idle connections now, and the others with their next response.

        Returns whether any is left that awaits a response or has unread bytes.
        """
        self.closing_clients = True
        return drain.close_idle_clients(self)

    def log_statistics(self, now: int) -> None:
        """Write the statistics to the log."""
        write_statistics(self)


def _is_stale(target: TimerTarget, at: int) -> bool:
    """Return whether a timer's request is over or due at another time."""
    return isinstance(target, RequestContext) and target.wake_at != at
