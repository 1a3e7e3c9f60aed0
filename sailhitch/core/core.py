"""What all fronts and pools share: requests and their deadlines, timers, descriptors, figures.

Owns the one final answer to each request: when it is due, that it goes out once, and what is let go
of after it. It knows fronts and transports by the protocols in `interfaces.py`.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Final

from ..front import ConnectionAdmission, ConnectionSlot, Reason, Verdict
from ..policy_interface import AttemptOutcome
from .budget import Budget
from .interfaces import Client, Connection, ResponseSource
from .invariants import Invariants, Violation
from .log import Log
from .pool import Pool
from .request_context import RequestContext
from .resource_limits import ResourceLimits
from .response import Response
from .timer_wheel import LATE, NEVER, TimerWheel

MS: Final = 1000
# A response is due so long before the client stops waiting for it...
RESPONSE_MARGIN: Final = 10 * MS
# ...and at least by what a timer may be late.
TIMER_GRANULARITY: Final = 2 * MS
OVERDUE_AFTER: Final = 25 * MS  # so long after that the module has surely forgotten a request
PERIODIC_INTERVAL: Final = 25 * MS  # how often lateness of the loop is looked at
HOST_SWEEP_INTERVAL: Final = 1000 * MS
# Clients have limits of a few seconds, to be kept to a fraction.
CLIENT_SWEEP_INTERVAL: Final = 200 * MS
STATISTICS_INTERVAL: Final = 10_000 * MS
MAX_DRAIN_HOLD: Final = 1500 * MS  # connections are kept no longer than this once told to end

Due = RequestContext | tuple[Pool, int] | None  # a request, a timer of a pool's module, or the beat


class Counters:
    """What is counted for the periodic line in the log."""

    __slots__ = (
        "bad_lists",
        "bad_requests",
        "crowded",
        "cut",
        "disconnected",
        "failed",
        "faults",
        "malformed",
        "overdue",
        "panics",
        "refused",
        "requests",
        "served",
        "shed",
        "statuses",
    )

    def __init__(self) -> None:
        self.requests = self.served = self.refused = self.failed = self.disconnected = 0
        self.bad_requests = self.malformed = self.bad_lists = self.panics = self.overdue = 0
        self.shed = self.crowded = self.faults = self.cut = 0
        self.statuses: dict[str, int] = {}


class GatewayCore:
    """The process's requests, whatever front they came by and whatever pool they go to."""

    def __init__(self, bounds: ResourceLimits, loop: asyncio.AbstractEventLoop, log: Log) -> None:
        self.limits = bounds
        self.loop = loop
        self.logger = log
        # One clock for all: it runs evenly and starts from the time of day, so that a host's
        # `started_ms` compares with it.
        self.epoch = (time.time_ns() - time.monotonic_ns()) // 1000  # us
        self.budget = Budget(bounds.memory_mb)
        self.invariants = Invariants(log)
        self.pools: list[Pool] = []
        self.clients: dict[Connection, None] = {}
        self.admission = ConnectionAdmission(bounds.sizes(), self.clock())
        self.arriving: set[Connection] = set()  # accepted, and not yet among the clients
        # Listeners that close once their queues are empty.
        self.draining_listeners: set[object] = set()
        # Of requests that are open, here or at a host.
        self.request_by_name: dict[bytes, RequestContext] = {}
        self.open_requests: dict[int, RequestContext] = {}
        self.counters = Counters()
        self.ready = False
        self.drain_since = 0
        self.drain_until = 0  # by then the last answer is out
        self.closing_clients = False  # no connection is kept any more
        # Takes connections that fall idle, where another process of this gateway goes on with them.
        self.pass_on_connection: Callable[[Connection], bool] | None = None
        self.timers: TimerWheel[Due] = TimerWheel(
            loop, self.clock, self._fire, self._fire_failed, self._on_stall, _is_stale
        )
        self._next_id = 1
        self.stalled_until = 0  # when it last went on after it was held up
        self._tick_at = self._sweep_at = self._stats_at = self._client_sweep_at = 0

    # --- Clock and timers

    def clock(self) -> int:
        """Return the time in microseconds; no step of the wall clock changes it."""
        return time.monotonic_ns() // 1000 + self.epoch

    def event_loop_stalled(self, now: int) -> bool:
        """Whether the loop has had no turn for a while, and what has come meanwhile is unread."""
        return now - self._tick_at > PERIODIC_INTERVAL + LATE

    def begin(self) -> None:
        """Start the periodic work."""
        now = self.clock()
        self._tick_at = now + PERIODIC_INTERVAL
        self._sweep_at = now + HOST_SWEEP_INTERVAL
        self._stats_at = now + STATISTICS_INTERVAL
        self.timers.push(self._tick_at, None)

    def finish(self) -> None:
        """End at once: timers and connections are let go."""
        self.timers.stop()
        for client in list(self.clients):
            client.abort()
        for pool in self.pools:
            pool.transport.stop()

    def reconfigure(self, bounds: ResourceLimits) -> None:
        """Go by other bounds, with all that is open going on."""
        self.limits = bounds
        self.budget.resize(bounds.memory_mb)
        self.admission.resize(bounds.sizes())

    def _fire(self, what: Due, at: int, now: int) -> None:
        if what is None:
            self._on_periodic_tick(now)
        elif isinstance(what, tuple):
            what[0].timer(what[1], now)
        elif what.wake_at == at:
            self._due(what, now)

    def _fire_failed(self, what: Due, error: Exception) -> None:
        """Handle a timer that raised; if it was a request's, its client gets an answer."""
        self.fault("a timer", error)
        if isinstance(what, RequestContext) and not what.closed:
            self.respond_failed(what)

    def _on_stall(self, now: int, late: int) -> None:
        self.logger.write_limited("stall", f"held up for {late // MS} ms")
        self.stalled_until = now
        for pool in self.pools:
            pool.on_stall(now)

    def fault(self, where: str, error: Exception) -> None:
        """Something has raised that should not have; whoever calls goes on."""
        self.counters.faults += 1
        self.logger.write_limited(
            f"fault {where}", f"{where} failed: {error!r:.100}, {_raised_at(error)}"
        )

    def policy_failed(self, error: Exception) -> None:
        """A pool's module has raised."""
        self.counters.panics += 1
        what = f"{type(error).__name__}: {error}, {_raised_at(error)}"
        self.logger.write_limited("panic", f"the module failed: {what}")

    def _guard(self, where: str, work: Callable[[int], None], now: int) -> None:
        try:
            work(now)
        except Exception as error:
            self.fault(where, error)

    def _on_periodic_tick(self, now: int) -> None:
        """What is looked at regularly; each part by itself, so that none can end another."""
        self.timers.push(max(now + PERIODIC_INTERVAL // 2, self._tick_at + PERIODIC_INTERVAL), None)
        self._tick_at = now
        self._guard("the door", self._watch_admission, now)
        if now >= self._sweep_at:
            self._sweep_at = now + HOST_SWEEP_INTERVAL
            for pool in self.pools:
                self._guard("the sweep of hosts", pool.transport.sweep, now)
        if now >= self._client_sweep_at:
            self._client_sweep_at = now + CLIENT_SWEEP_INTERVAL
            for client in list(self.clients):
                self._guard("the sweep of clients", client.sweep, now)
        if now >= self._stats_at:
            self._stats_at = now + STATISTICS_INTERVAL
            self._guard("the line of figures", self.log_statistics, now)

    def _watch_admission(self, now: int) -> None:
        self.admission.update_pressure(now, self.upstream_descriptors(), self.budget.share())
        self.release(self.admission.low_value_slots(now), Reason.SEAT)

    def schedule(self, request: RequestContext) -> None:
        """Look at this request again when its next time-out is due."""
        at = request.deadline + OVERDUE_AFTER if not request.closed else NEVER
        for attempt in request.open_attempts:
            at = min(at, attempt.expires_at)
            if attempt.connect_by:
                at = min(at, attempt.connect_by)
        if at < NEVER and (not request.wake_at or at < request.wake_at):
            request.wake_at = at
            self.timers.push(at, request)

    def _due(self, request: RequestContext, now: int) -> None:
        request.wake_at = 0
        pool = request.pool
        assert pool is not None
        for attempt in list(request.open_attempts):
            pool.check_timeouts(attempt, now)
        if not request.closed and now >= request.deadline + OVERDUE_AFTER:
            # The module still owes this one: its client must not be left without an answer.
            self.counters.overdue += 1
            self.logger.write_limited("overdue", "a request was still held after its deadline")
            pool.client_disconnected(request, now)
            if request.attempts:
                self.respond_failed(request)
            else:
                self.respond_rejected(request, 0)  # it was never sent
        self.schedule(request)

    # --- Requests

    def request(self, request: RequestContext) -> None:
        """A request has come whole; from here on its client is owed one answer."""
        pool = request.pool
        assert pool is not None
        now = self.clock()
        arrived = request.arrived_at or self.arrival(now)
        deadline = self._deadline(request, arrived)
        request.deadline = NEVER if request.is_uploading() else deadline
        request.id = self._next_id
        self._next_id += 1
        self.counters.requests += 1
        if len(self.open_requests) >= self.limits.max_requests:
            self.counters.shed += 1
            self.respond_rejected(request, 0)
            return
        self.open_requests[request.id] = self.request_by_name[request.name] = request
        pool.request(request, now, deadline)
        if not request.closed:
            self.schedule(request)

    def arrival(self, now: int) -> int:
        """When what is read now came: a loop that was held up reads late what came long ago."""
        return now - self.timers.lag

    def _deadline(self, request: RequestContext, arrived: int) -> int:
        wait = request.wait_ms * MS
        deadline = (
            arrived + wait - min(wait, max(TIMER_GRANULARITY, min(RESPONSE_MARGIN, wait // 10)))
        )
        if self.drain_since:
            deadline = min(deadline, self.drain_until)
        return deadline

    def body_complete(self, request: RequestContext) -> None:
        """The last byte has come of a body that flows: the request's time runs from here on."""
        if request.closed:
            return
        now = self.clock()
        request.deadline = self._deadline(request, self.arrival(now))
        for attempt in request.open_attempts:
            attempt.sent_at = now
            patience = attempt.timeout
            attempt.expires_at = (
                min(now + patience, request.deadline) if patience else request.deadline
            )
        assert request.pool is not None
        request.pool.body_complete(request, now)
        if not request.closed:
            self.schedule(request)

    def client_disconnected(self, request: RequestContext) -> None:
        """The client closed its connection; what is out goes on to its outcome."""
        if request.closed:
            return
        self.counters.disconnected += 1
        request.client = None
        request.closed = True
        if request.pool is not None:
            request.pool.client_disconnected(request, self.clock())
            # What is out without its last byte never ran, and says nothing of its host. Nobody
            # wants it to run any more.
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
        """Let go of a request that is over, and of its body once no attempt needs it."""
        if request.closed and not request.open_attempts:
            self.open_requests.pop(request.id, None)
            if self.request_by_name.get(request.name) is request:
                del self.request_by_name[request.name]
            self.release_body(request)
            request.head = b""
            request.fallback_response = None
            request.wake_at = 0

    def release_body(self, request: RequestContext) -> None:
        """The body is not needed any more."""
        self.budget.give_back(request.reserved)
        request.reserved = 0
        request.body = b""
        if request.upload is not None:
            request.upload.close()

    def respond_served(self, request: RequestContext, answer: Response | None) -> None:
        """A host's answer is the final one."""
        self.counters.served += 1
        client = self._conclude(request)
        if client is not None and answer is not None:
            client.serve(request, answer)

    def respond_streaming(
        self, request: RequestContext, answer: Response, length: int | None, source: ResponseSource
    ) -> Client | None:
        """A host's answer is the final one and is passed on as it comes; to whom, if to anybody."""
        self.counters.served += 1
        client = self._conclude(request)
        if client is not None:
            client.begin(request, answer, length, source)
        return client

    def respond_rejected(self, request: RequestContext, retry_after: int) -> None:
        """Turned away: a repeat is harmless."""
        if not self.invariants.before_refusal(request):
            self.respond_failed(request)
            return
        client = self._conclude(request)
        if client is not None:
            client.refuse(request, retry_after)

    def respond_failed(self, request: RequestContext) -> None:
        """Failed, which promises nothing."""
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
        """Descriptors held by connections to hosts."""
        return sum([pool.transport.size() for pool in self.pools])

    def _close_oldest_idle(self) -> bool:
        """Free a descriptor of the connection to a host that has stood idle longest."""
        idle = [(s, i) for i, p in enumerate(self.pools) if (s := p.transport.oldest_idle())]
        return bool(idle) and self.pools[min(idle)[1]].transport.close_oldest_idle()

    def free_descriptor(self) -> bool:
        """Whether one more connection to a host may be opened; closes an idle one if need be.

        Guards against either side taking all descriptors: what a crowd of clients holds must not
        keep requests from hosts, and the other way round. Both sides have a part that is theirs.
        It can do harm where one side is idle for long: its part stands empty. What is closed here
        is free on the loop's next turn; the reserve covers the few that are opened until then.
        """
        admission = self.admission
        hosts = self.upstream_descriptors()
        most = admission.descriptors()
        if admission.held + hosts < most:
            return True
        if admission.held > admission.budget.min_client_share * most:
            now = self.clock()
            if self.release(admission.eviction_candidates(now), Reason.ROOM):
                return True
        return self._close_oldest_idle()

    def admission_verdict(self) -> Verdict:
        """Return whether there is room for one more client; whoever must go for it goes."""
        admission = self.admission
        if not admission.needs_eviction(self.upstream_descriptors()):
            return Verdict.ADMIT
        if self.release(admission.eviction_candidates(self.clock()), Reason.ROOM):
            return Verdict.WAIT
        if admission.held < admission.budget.max_client_descriptors and self._close_oldest_idle():
            return Verdict.WAIT
        # What is half-way in or out only needs the loop to get round to it.
        soon = bool(self.arriving) or any(c.is_closed() for c in self.clients)
        return Verdict.WAIT if soon else Verdict.REJECT

    def on_descriptors_exhausted(self, own_limit: bool = True) -> None:
        """The system refuses a descriptor that the settings promise.

        `own_limit`: this process has reached its own (EMFILE), and goes by a lower one for a while.
        A shortage of the whole system says nothing of how many this process may hold. By a
        limit of what it held it would close nearly all clients, new ones too, after the shortage.
        """
        now = self.clock()
        if own_limit:
            self.admission.on_descriptors_exhausted(now, self.upstream_descriptors())
        if not self.release(self.admission.eviction_candidates(now), Reason.ROOM):
            self._close_oldest_idle()

    def release(self, slots: list[ConnectionSlot], reason: Reason) -> int:
        """Let these go, but for those on which bytes are found; how many went."""
        gone = 0
        for slot in slots:
            if slot.owner is not None and slot.owner.close_unless_unread(reason):
                gone += 1
            else:
                self.admission.not_evicted(slot, self.clock())
        return gone

    def retry_after(self) -> int:
        """Return the Retry-After of a refused connection, in microseconds; 0 if unknown."""
        most = self.limits.max_retry_after
        after = self.admission.retry_after(self.clock()) if most else 0
        return after if after <= most else 0

    # --- Drain, log

    def last_response_after(self) -> int:
        """Return how long after SIGTERM the last answer is surely out: SIGKILL comes soon after."""
        longest = min(3_000_000, self.limits.longest_deadline)
        return longest + 550_000

    def drain(self) -> None:
        """SIGTERM: nobody new is asked in. Who is inside is served on, for `drain_hold`.

        The front takes new connections elsewhere within moments, and may find that the other
        gateways are being restarted too. Its clients go on using the connections that they have,
        so closing each with its next answer would take from them the only service there is.
        """
        self.drain_since = self.clock()
        # Fixed now: settings that come later don't move the end of this process.
        self.drain_until = self.drain_since + self.last_response_after()
        self.ready = False
        # What is open may have been promised more time than this process has.
        for request in list(self.open_requests.values()):
            if request.closed or request.is_uploading() or request.deadline <= self.drain_until:
                continue
            request.deadline = self.drain_until
            for attempt in request.open_attempts:
                attempt.expires_at = min(attempt.expires_at, self.drain_until)
            self.schedule(request)

    def drain_hold(self) -> int:
        """How long after SIGTERM connections are kept: what is taken then still has its time."""
        return min(MAX_DRAIN_HOLD, (self.drain_until - self.drain_since) // 2)

    def close_idle_clients(self) -> bool:
        """From now on each answer closes its connection, and those with none owed are closed.

        Returns whether anybody is still owed something, or has asked and was not read yet.
        """
        self.closing_clients = True
        left = bool(self.arriving) or bool(self.draining_listeners)
        for client in list(self.clients):
            idle = client.is_idle() and not client.is_closed()
            if not (idle and client.close_idle(Reason.ANSWERED)):
                left = left or idle or client.has_unanswered_request()
        return left

    def log_statistics(self, now: int) -> None:
        """The lines of figures."""
        c = self.counters
        outcomes = " ".join(f"{k}={v}" for k, v in sorted(c.statuses.items()))
        self.logger.write(
            f"requests={c.requests} served={c.served} refused={c.refused} failed={c.failed} "
            f"gone={c.disconnected} cut={c.cut} bad={c.bad_requests} shed={c.shed} "
            f"crowded={c.crowded} open={len(self.open_requests)} clients={len(self.clients)} "
            f"upstream={self.upstream_descriptors()} "
            f"opened={sum(p.transport.opened for p in self.pools)} "
            f"hosts={sum(len(p.endpoints) for p in self.pools)} "
            f"lag_ms={self.timers.worst // MS} panics={c.panics} "
            f"faults={c.faults} overdue={c.overdue} violations={self.invariants.total} "
            f"outcomes: {outcomes}"
        )
        if self.invariants.total:
            self.logger.write(f"violations: {self.invariants.summary()}")
        self.logger.write(self.admission.summary())
        for pool in self.pools:
            self.logger.write(f"{pool.name}: {pool.summary()}")
        self.timers.worst = 0


def _is_stale(what: Due, at: int) -> bool:
    """Return whether a timer's request is over or due at another time."""
    return isinstance(what, RequestContext) and what.wake_at != at


def _raised_at(error: Exception) -> str:
    """Return the function and line that an exception comes from."""
    where = error.__traceback__
    while where is not None and where.tb_next is not None:
        where = where.tb_next
    return "line 0" if where is None else f"{where.tb_frame.f_code.co_name} line {where.tb_lineno}"
