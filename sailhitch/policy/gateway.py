"""The decision module of one gateway: its events, and the parts that decide on them."""

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
from .backlog import HEDGE_QUEUE, Backlog, Retries
from .counters import new_counters
from .endpoint_table import EndpointTable
from .health import Health
from .overload import POST_STALL_WINDOW, Overload
from .request import Request
from .retry import is_out_of_time, retry_cost, why_not_retried
from .score import Scores
from .server import Server, shows_full_queue
from .slow_start import DRAW_SPENT
from .watch import WatchSchedule

DRAIN_TIMER = 1
WATCH_TIMER = 2
HEDGE_TIMER = 3


class Gateway:
    """The decisions of one gateway instance."""

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
        """Start with no endpoints; the list as last known follows by `on_watch_event`."""
        self.overload.started_at = now
        if self.settings.gateway_index < 0:
            self.port.log("no number among the gateways is told: all servers are in reach")

    def on_stall(self, now: int) -> None:
        """Note that this process was stalled until now.

        Responses that were outstanding, and requests that are read right after the stall, say
        nothing of the fleet however late they are. Otherwise one stall would make a gateway shed
        load for seconds.
        """
        self.overload.post_stall_until = now + POST_STALL_WINDOW

    def reconfigure(self, now: int, settings: Settings) -> None:
        """Use new settings and keep what was learned.

        Open requests keep their class as it was.
        """
        self.settings = settings
        self.overload.adopt(now, settings)
        self.scores.adopt(settings)
        self.endpoint_table.adopt(settings)
        class_index = {cls: i for i, cls in reversed(list(enumerate(settings.classes)))}
        for request in self.open_requests.values():
            request.class_index = class_index.get(request.request_class, len(settings.classes))
        self.endpoint_table.regroup(now)

    def set_share(self, part: float) -> None:
        """Set the share of the gateway's clients that come to this process.

        Rates and arrivals are measured by process, so they change with the share: a limit of the
        whole gateway that is cut to what half of its clients bring would be halved twice. Slow
        start needs nothing here, as it gives servers shares of what comes, and these add up.
        """
        change = self.overload.share(part)
        for server in self.endpoint_table.servers.values() if change != 1.0 else ():
            server.rate.scale(change)

    def retire(self, now: int) -> None:
        """Finish all held requests and hold none from now on: the pool has been removed."""
        self.retired = True
        for request in self.backlog.empty():
            self._finish(now, request, "retired")

    def on_watch_event(
        self, now: int, mode: WatchEventKind, entries: Sequence[Endpoint], since: int = 0
    ) -> None:
        """Take in an event of the endpoint list; after a failure watch again, with backoff.

        Up to `since` the list surely held as it was before; 0 if that is not known.
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
        self._drain(now)

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
        """Handle a client's request; `work` is 0 if it has no hint of its work.

        `uploading`: its body is incomplete, and a server has no work before `body_complete`.
        """
        kind = self.settings.classes[cls]
        request = Request(now, req, kind, deadline, work, key)
        request.class_index = cls
        request.is_uploading = uploading
        self.open_requests[req] = request
        self.retries.earn()
        self.endpoint_table.reach.width.on_request(now)
        if self.overload.sheds(now, kind, tenant, repeat):
            self._finish(now, request, "shed")
            return
        request.limit_wait(now, deadline, int(self.overload.usual(request)))
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
        fair: bool = True,
    ) -> None:
        """Learn from an attempt that has ended, and retry its request or finish it.

        `fair`: the outcome says something of the server, not of this gateway alone.
        """
        server = self.endpoint_table.servers.get(name)
        request = self.open_requests.get(req)
        streamed = request is not None and request.judged
        sent = None
        failing = False
        if server is not None:
            sent = server.on_outcome(req, attempt)
            failing = server.ejections > 0
            if fair and not (streamed and status == AttemptOutcome.OK):
                self.health.learn(now, server, status, latency, report, sent)
        if request is not None:
            request.open_attempts -= 1
            if closed:
                if not streamed:
                    self.overload.judge(now, request, latency)
                del self.open_requests[req]
            elif not request.streaming:
                if status not in NEVER_RAN:
                    request.on_may_have_run(server, sent)
                elif status == AttemptOutcome.BUSY and shows_full_queue(report):
                    # A full server is the earliest sign that the fleet is full: late responses
                    # follow only when its queue has been worked off.
                    self.overload.late(now, request, True)
                self._continue(now, request, status, failing)
        if self.backlog.held:
            self._drain(now)

    def body_complete(self, now: int, req: int, deadline: int) -> None:
        """Count the time of a request and its attempt from now on, as its body is complete.

        Counted from the first byte, a slow client makes its server look slow and silent.
        """
        request = self.open_requests.get(req)
        if request is None or not request.is_uploading:
            return
        request.is_uploading = False
        moved = now - request.arrived_at
        request.arrived_at = now
        request.hold_until = min(deadline, request.hold_until + moved)
        request.worthless_at += moved if request.worthless_at else 0
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
        learn: bool = False,
    ) -> None:
        """Note that a response is streamed to the client; no deadline applies any more.

        With `learn`, what there is to learn of its server is learned now, and its end is none: how
        long a client takes to read says nothing of the server.
        """
        request = self.open_requests.get(req)
        if request is not None:
            request.streaming = True
        if not learn:
            return
        server = self.endpoint_table.servers.get(name)
        if server is not None:
            sent = server.on_outcome(req, attempt)
            self.health.learn(now, server, AttemptOutcome.OK, latency, report, sent)
        if request is not None:
            request.judged = True
            self.overload.judge(now, request, latency)

    def client_disconnected(self, now: int, req: int) -> None:
        """Drop a request whose client has left."""
        self.open_requests.pop(req, None)

    def timer(self, now: int, token: int) -> None:
        """Handle a timer that was set through the port."""
        if token == DRAIN_TIMER:
            if now >= self.backlog.look_at:
                self.backlog.look_at = 0
                self._drain(now)
        elif token == HEDGE_TIMER:
            self._hedge(now)
        elif token == WATCH_TIMER and not self.watch.is_open:
            self.port.watch(True)

    # --- Choosing a server: the paper's algorithm 1

    def _finish(self, now: int, request: Request, why: str) -> None:
        """Respond without a server; reject only if the request can't have had an effect."""
        self.counters[why] += 1
        del self.open_requests[request.id]
        if why != "may_have_run" and request.may_be_rejected():
            self.port.refuse(request.id, self.overload.comeback(now))
        else:
            self.port.fail(request.id)

    def _place(self, now: int, request: Request) -> bool:
        """Send to the server with the lowest psi that has a token; return False if none has."""
        server = self.endpoint_table.cold_pick(now, request)
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
            self.endpoint_table.slow_start.count(server)
        self.port.send(request.id, server.name, max(0, request.worthless_at - now))
        if request.attempts == 1 and request.request_class.idempotency == Idempotency.SAFE:
            request.first_server = server
            usual = self.overload.usual(request)
            if usual and self.settings.limits.may_duplicate:
                self.retries.expect(now, request, usual)
                self._arm_hedge()

    def _place_or_hold(self, now: int, request: Request) -> None:
        if self._place(now, request):
            return
        if now >= request.hold_until or self.retired:
            self._finish(now, request, "unplaced")
            return
        request.selection_draw = DRAW_SPENT
        self.backlog.hold(request)
        self._arm_drain(now)

    def _drain(self, now: int) -> None:
        self.backlog.drain(now, self._expired, self._place)
        self._arm_drain(now)

    def _expired(self, now: int, request: Request) -> None:
        """Finish a held request for which no token came in time."""
        self.overload.late(now, request, True)
        self._finish(now, request, "expired")

    def _arm_drain(self, now: int) -> None:
        if at := self.backlog.next_look(now):
            self.port.set_timer(DRAIN_TIMER, at)

    # --- Retries and hedged requests

    def _continue(self, now: int, request: Request, status: AttemptOutcome, failing: bool) -> None:
        """Retry a request whose attempt has failed, or finish it."""
        if request.open_attempts:
            return
        if is_out_of_time(now, request, status):
            # What a failing server still has is no sign that the fleet is overloaded.
            if not failing:
                self.overload.late(now, request, status != AttemptOutcome.NOT_SENT)
            self._finish(now, request, "timed_out")
            return
        refusal = why_not_retried(request, status, self.settings.limits, self.retries.budget)
        if refusal is not None:
            self._finish(now, request, refusal)
            return
        self.counters["retries"] += 1
        self.retries.budget -= retry_cost(status)
        self._place_or_hold(now, request)

    def _arm_hedge(self) -> None:
        if at := self.retries.next_look():
            self.port.set_timer(HEDGE_TIMER, at)

    def _hedge(self, now: int) -> None:
        """Send silent requests a second time, elsewhere, the first attempt going on.

        Guards against connections or paths that take a request and say nothing: its client need
        not wait for the time-out. The sign is a server that has answered what was sent well after.
        Where all are slow, as at overload, second copies make all slower. So none goes
        out while the fleet's rate is limited, servers report queues or requests are held, and each
        is paid for like a retry.
        """
        calm = not self.backlog.held and not self.overload.limited()
        calm = calm and self.scores.typical_queue < HEDGE_QUEUE
        for request in self.retries.silent(now):
            if not (calm and self.retries.may_hedge(request, self.overload.usual(request))):
                continue
            if now < request.hold_until and self._place(now, request):
                self.counters["hedges"] += 1
                self.retries.budget -= 1.0
        self._arm_hedge()
