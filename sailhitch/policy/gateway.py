"""The entry point of the decision module: handles events by calling the other parts."""

from __future__ import annotations

import random
from collections.abc import Sequence

from ..policy_interface import (
    NEVER_RAN,
    AttemptOutcome,
    Endpoint,
    LoadReport,
    Port,
    WatchEventKind,
)
from ..settings import Idempotency, Settings
from .backlog import HEDGE_MAX_QUEUE, Backlog, Retries
from .counters import new_counters
from .endpoint_table import EndpointTable
from .health import Health
from .overload import Overload
from .request import Request
from .retry import is_out_of_time, retry_cost, retry_refusal_reason
from .score import Scores
from .server import Server, shows_full_queue
from .slow_start import NO_DRAW
from .watch import WatchSchedule

BACKLOG_TIMER = 1
WATCH_TIMER = 2
HEDGE_TIMER = 3


class Gateway:
    """The decision module of one gateway instance. Its public methods are the events."""

    def __init__(self, port: Port, settings: Settings, seed: int) -> None:
        self.port = port
        self.settings = settings
        self.random = random.Random(seed)
        self.counters = new_counters()
        self.open_requests: dict[int, Request] = {}
        self.endpoint_table = EndpointTable(settings, self.random)
        self.scores = Scores(settings)
        self.overload = Overload(settings, self.endpoint_table, self.random, self.counters)
        self.health = Health(
            self.endpoint_table, self.scores, self.overload, self.random, self.counters
        )
        self.backlog = Backlog(self.open_requests)
        self.retries = Retries(self.open_requests)
        self.watch = WatchSchedule(self.random)
        self.retired = False

    # --- Events

    def start(self, now: int) -> None:
        """Start with no endpoints; the last known list follows through `on_watch_event`."""
        self.overload.started_at = now
        if self.settings.gateway_index < 0:
            self.port.log("the settings give no valid gateway index: this gateway uses all servers")

    def on_stall(self, now: int, duration: int) -> None:
        """Record that this process was stalled until now, for `duration` microseconds."""
        self.overload.record_stall(now, duration)

    def reconfigure(self, now: int, settings: Settings) -> None:
        """Apply new settings, keep learned state; open requests keep their class's old settings."""
        self.settings = settings
        self.overload.reconfigure(now, settings)
        self.scores.reconfigure(settings)
        self.endpoint_table.reconfigure(settings)
        class_index = {cls: i for i, cls in reversed(list(enumerate(settings.classes)))}
        for request in self.open_requests.values():
            request.class_index = class_index.get(request.request_class, len(settings.classes))
        self.endpoint_table.regroup(now)

    def set_share(self, share: float) -> None:
        """Set the share of the gateway's clients that are connected to this process.

        Rates and arrivals are measured per process, so they are scaled with the share. Otherwise a
        rate limit of the whole gateway, cut again to the rate that half of its clients cause, would
        be halved twice. Slow start needs no scaling: it gives servers a share of this process's
        requests, and the shares of all processes add up.
        """
        ratio = self.overload.set_client_share(share)
        for server in self.endpoint_table.servers.values() if ratio != 1.0 else ():
            server.rate.scale(ratio)

    def retire(self, now: int) -> None:
        """Reject or fail all held requests and hold no more: the pool has been removed."""
        self.retired = True
        for request in self.backlog.remove_all():
            self._finish(now, request, "retired")

    def on_watch_event(
        self, now: int, mode: WatchEventKind, entries: Sequence[Endpoint], since: int = 0
    ) -> None:
        """Apply an event of the endpoint list; after a failure, reopen the watch with backoff.

        `since` is the latest time when the previous list is known to have been current; 0: unknown.
        """
        if mode == WatchEventKind.FAILED:
            self.port.set_timer(WATCH_TIMER, now + self.watch.on_failed())
            return
        if mode == WatchEventKind.RESTORED:
            if self.settings.needs_watch:
                delay = self.watch.initial_delay(self.settings.rules.watch_within)
                self.port.set_timer(WATCH_TIMER, now + delay)
        elif mode != WatchEventKind.MAINTENANCE:
            self.watch.on_event()
        self.endpoint_table.on_watch_event(now, mode, entries, since)
        self._drain_backlog(now)

    def request(
        self,
        now: int,
        req: int,
        cls: int,
        deadline: int,
        work: int,
        key: int | None,
        tenant: int,
        repeat: bool = False,
        uploading: bool = False,
    ) -> None:
        """Handle a client's request. `work` is the client's estimate of its cost; 0 if unknown.

        `uploading`: the body is incomplete, and no server can start on it before `body_complete`.
        """
        request_class = self.settings.classes[cls]
        request = Request(now, req, request_class, deadline, work, key)
        request.class_index = cls
        request.is_uploading = uploading
        self.overload.record_request(now, request)
        self.open_requests[req] = request
        self.retries.on_request()
        self.endpoint_table.subsetter.sizer.on_request(now)
        if self.overload.should_shed(now, request_class, tenant, repeat):
            self._finish(now, request, "shed")
            return
        request.set_time_limits(now, deadline, int(self.overload.usual_latency(request)))
        request.selection_draw = self.random.random()
        self._place_or_hold(now, request)

    def outcome(
        self,
        now: int,
        req: int,
        attempt: int,
        status: AttemptOutcome,
        closed: bool,
        latency: int,
        name: str,
        report: LoadReport | None,
        reflects_server: bool = True,
    ) -> None:
        """Record the outcome of an attempt, and retry or finish its request.

        `reflects_server`: False if this gateway caused the outcome; server statistics then stay.
        """
        server = self.endpoint_table.servers.get(name)
        request = self.open_requests.get(req)
        was_streamed = request is not None and request.latency_recorded
        sent = None
        was_ejected = False
        if server is not None:
            sent = server.on_outcome(req, attempt)
            was_ejected = server.ejections > 0
            if reflects_server and not (was_streamed and status == AttemptOutcome.OK):
                self.health.record_outcome(now, server, status, latency, report, sent)
        if request is not None:
            request.open_attempts -= 1
            if closed:
                if not was_streamed:
                    self.overload.record_latency(now, request, latency)
                del self.open_requests[req]
            elif not request.streaming:
                if status not in NEVER_RAN:
                    request.on_may_have_run(server, sent)
                elif status == AttemptOutcome.BUSY and shows_full_queue(report):
                    # A full server is the earliest sign that the fleet is full: its late responses
                    # arrive only after it has worked off its queue.
                    self.overload.record_lateness(now, request, True)
                self._retry_or_finish(now, request, status, was_ejected)
        if self.backlog.held:
            self._drain_backlog(now)

    def body_arrived(self, req: int, deadline: int, arrived: int) -> None:
        """Count a request's times from when its last byte arrived, which may be unread yet."""
        request = self.open_requests.get(req)
        if request is not None and request.is_uploading:
            request.count_from(arrived, deadline)
            self.overload.record_request(arrived, request)

    def body_complete(self, now: int, req: int) -> None:
        """Restart the clock of a request's attempt, now that its last byte was passed on.

        Measured from the first byte, a slow upload would make the server look slow or unresponsive.
        """
        request = self.open_requests.get(req)
        if request is not None and request.is_uploading:
            request.is_uploading = False
            for server in self.endpoint_table.servers.values() if request.open_attempts else ():
                server.on_body_complete(now, req)

    def response_started(
        self,
        now: int,
        req: int,
        attempt: int,
        name: str,
        latency: int,
        report: LoadReport | None = None,
        record_outcome: bool = False,
    ) -> None:
        """Record that a response is being streamed to the client; deadlines no longer apply.

        With `record_outcome`, the server's statistics are updated now and not when the response
        ends: how long the client takes to read it is not the server's doing.
        """
        request = self.open_requests.get(req)
        if request is not None:
            request.streaming = True
        if not record_outcome:
            return
        server = self.endpoint_table.servers.get(name)
        if server is not None:
            sent = server.on_outcome(req, attempt)
            self.health.record_outcome(now, server, AttemptOutcome.OK, latency, report, sent)
        if request is not None:
            request.latency_recorded = True
            self.overload.record_latency(now, request, latency)

    def client_disconnected(self, now: int, req: int) -> None:
        """Drop a request whose client has disconnected."""
        self.open_requests.pop(req, None)

    def timer(self, now: int, token: int) -> None:
        """Handle a timer that was set through the port."""
        if token == BACKLOG_TIMER:
            if now >= self.backlog.next_check_at:
                self.backlog.next_check_at = 0
                self._drain_backlog(now)
        elif token == HEDGE_TIMER:
            self._send_hedges(now)
        elif token == WATCH_TIMER and not self.watch.is_open:
            self.port.watch(True)

    # --- Server selection: the paper's algorithm 1

    def _finish(self, now: int, request: Request, reason: str) -> None:
        """Reject or fail a request; reject it only if a repeat by the client is safe."""
        self.counters[reason] += 1
        del self.open_requests[request.id]
        if reason != "may_have_run" and request.may_be_rejected():
            self.port.refuse(request.id, self.overload.retry_delay(now))
        else:
            self.port.fail(request.id)

    def _place(self, now: int, request: Request) -> bool:
        """Send to the slow start draw's server or the best; return False if none has a token."""
        server = self.endpoint_table.pick_cold(now, request)
        if server is None:
            server = self.scores.best(now, request, self.endpoint_table.candidates(now, request))
        if server is None:
            return False
        server.take_token()
        self._send(now, request, server)
        return True

    def _send(self, now: int, request: Request, server: Server) -> None:
        server.on_sent(now, request.id, request.attempts, request.is_uploading)
        request.attempts += 1
        request.open_attempts += 1
        request.selection_draw = self.random.random()  # for the next attempt
        if self.endpoint_table.slow_start.is_cold(now, server):
            self.counters["cold"] += 1
        else:
            self.endpoint_table.slow_start.count_request(server)
        self.port.send(request.id, server.name, max(0, request.attempts_end_at - now))
        if request.attempts == 1 and request.request_class.idempotency == Idempotency.SAFE:
            request.first_server = server
            usual_latency = self.overload.usual_latency(request)
            if usual_latency and self.settings.limits.may_duplicate:
                self.retries.schedule_hedge(now, request, usual_latency)
                self._schedule_hedge_check()

    def _place_or_hold(self, now: int, request: Request) -> None:
        if self._place(now, request):
            return
        if now >= request.hold_until or self.retired:
            self._finish(now, request, "unplaced")
            return
        request.selection_draw = NO_DRAW
        self.backlog.hold(request)
        self._schedule_backlog_check(now)

    def _drain_backlog(self, now: int) -> None:
        self.backlog.drain(now, self._finish_expired, self._place)
        self._schedule_backlog_check(now)

    def _finish_expired(self, now: int, request: Request) -> None:
        """Finish a held request for which no server had a token in time."""
        self.overload.record_lateness(now, request, True)
        self._finish(now, request, "expired")

    def _schedule_backlog_check(self, now: int) -> None:
        if at := self.backlog.schedule_check(now):
            self.port.set_timer(BACKLOG_TIMER, at)

    # --- Retries and hedged requests

    def _retry_or_finish(
        self, now: int, request: Request, status: AttemptOutcome, was_ejected: bool
    ) -> None:
        """Retry a request whose attempt has failed, if that is allowed, or else finish it."""
        if request.open_attempts:
            return
        if is_out_of_time(now, request, status):
            # Attempts lost with a failing server are no sign that the fleet is overloaded.
            if not was_ejected:
                self.overload.record_lateness(now, request, status != AttemptOutcome.NOT_SENT)
            self._finish(now, request, "timed_out")
            return
        refusal = retry_refusal_reason(request, status, self.settings.limits, self.retries.budget)
        if refusal is not None:
            self._finish(now, request, refusal)
            return
        self.counters["retries"] += 1
        self.retries.budget -= retry_cost(status)
        self._place_or_hold(now, request)

    def _schedule_hedge_check(self) -> None:
        if at := self.retries.schedule_check():
            self.port.set_timer(HEDGE_TIMER, at)

    def _send_hedges(self, now: int) -> None:
        """Hedge unanswered requests: send them to another server while the first attempt runs on.

        Guards against connections or network paths that accept a request and never respond, so that
        the client need not wait for the timeout. Evidence of that is that the server has answered
        requests sent well after this one. If the whole fleet is slow, as under overload, hedges
        would slow it down further. So none is sent while the fleet's rate is limited, servers
        report queues or requests are held, and each one costs as much of the budget as a retry.
        """
        may_hedge_now = not self.backlog.held and not self.overload.is_limited()
        may_hedge_now = may_hedge_now and self.scores.typical_queue < HEDGE_MAX_QUEUE
        for request in self.retries.pop_unanswered(now):
            if not (
                may_hedge_now
                and self.retries.may_hedge(request, self.overload.usual_latency(request))
            ):
                continue
            if now < request.hold_until and self._place(now, request):
                self.counters["hedges"] += 1
                self.retries.budget -= 1.0
        self._schedule_hedge_check()
