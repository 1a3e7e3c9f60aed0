"""The events of one gateway instance, and what holds the decisions on them together."""

from __future__ import annotations

import random
from collections.abc import Sequence

from ..interface import (
    BUSY,
    BY_HAND,
    CONNECT_FAILED,
    EXPIRED,
    FAILED,
    MOOT,
    NEVER_RAN,
    NO_ROUTE,
    OK,
    RESTORED,
    TIMEOUT,
    WITHHELD,
    Listed,
    Port,
    Report,
)
from ..settings import KEYED, SAFE, Settings
from .backlog import HEDGE_QUEUE, Backlog, Retries, overtaken
from .cold import COIN_SPENT
from .health import Health
from .overload import RUSH, Overload
from .request import Request
from .roster import Roster
from .score import Scores
from .server import Server, queue_of

PATIENCE = 1.5  # an attempt ends at this multiple of its answer's useful time
SOME_QUEUE = 0.5  # from this reported queue on a server that turns away is full
WATCH_SPREAD = 0.35  # first subscription is spread over this share of rules.ask_within
WATCH_BACKOFF = 500_000  # first wait after a failed call, doubling with jitter
WATCH_BACKOFF_MAX = 4_000_000

# Refusals and failures by their reason (the first eight), and what else is counted for the log.
FIGURES = (
    "shed", "spent", "unplaced", "expired", "timed_out", "capped", "may_have_run", "retired",
    "retries", "hedges", "cuts", "rests", "shuns", "cold",
)  # fmt: skip
DRAIN_TIMER, WATCH_TIMER, HEDGE_TIMER = 1, 2, 3


class Gateway:
    """The decisions of one gateway instance."""

    def __init__(self, port: Port, settings: Settings, seed: int) -> None:
        self.port, self.settings = port, settings
        self.random = random.Random(seed)
        # For whoever looks for a cause, and for no decision.
        self.figures = dict.fromkeys(FIGURES, 0)
        self.live: dict[int, Request] = {}
        self.roster = Roster(settings, self.random)
        self.scores = Scores(settings)
        self.overload = Overload(settings, self.roster, self.random, self.figures)
        self.health = Health(self.roster, self.scores, self.overload, self.random, self.figures)
        self.backlog, self.retries = Backlog(self.live), Retries(self.live)
        self.retired = self.watching = False
        self.watch_wait = WATCH_BACKOFF

    # --- Events

    def start(self, now: int) -> None:
        """The instance begins, empty; its last list follows as `members`."""
        self.overload.t_start = now
        if self.settings.me < 0:
            self.port.log("no number among the gateways is told: all servers are in reach")

    def stalled(self, now: int) -> None:
        """This gateway itself stood still until now: what was out meanwhile, and what had come
        and is read at once after it, says nothing of the fleet, however late it is.

        Danger: without this one pause of its own makes a gateway shed for seconds.
        """
        self.overload.t_rush = now + RUSH

    def reconfigure(self, now: int, settings: Settings) -> None:
        """New settings for a running instance, which keeps what it knows.

        Requests taken go on under their class as it was.
        """
        self.settings = settings
        self.overload.adopt(now, settings)
        self.scores.adopt(settings)
        self.roster.adopt(settings)
        places = {cls: i for i, cls in reversed(list(enumerate(settings.classes)))}
        for request in self.live.values():
            request.at = places.get(request.cls, len(settings.classes))
        self.roster.regroup(now)

    def share(self, part: float) -> None:
        """Another process of this gateway serves beside this one; this part of what comes is here.

        Rates and arrivals are this process's own, so they change with its part of what comes.
        Danger: a limit that was the gateway's, cut to what half of its clients brought, would be
        halved twice. Cold servers need nothing here: what they get is a share of what comes, and
        the parts add up.
        """
        change = self.overload.share(part)
        for server in self.roster.servers.values() if change != 1.0 else ():
            server.rate.scale(change)

    def retire(self, now: int) -> None:
        """No server will come any more: what is held is given up at once, and nothing is held."""
        self.retired = True
        for request in self.backlog.empty():
            self._finish(now, request, "retired")

    def members(self, now: int, mode: str, entries: Sequence[Listed], since: int = 0) -> None:
        """Discovery's news. A failed call or broken subscription is asked anew, later each time.

        `since` is when the list was last known to hold as it was before; 0: not known.
        """
        if mode == FAILED:
            self.watching = False
            wait = int(self.watch_wait * (0.5 + self.random.random()))
            self.watch_wait = min(self.watch_wait * 2, WATCH_BACKOFF_MAX)
            self.port.set_timer(WATCH_TIMER, now + wait)
            return
        if mode == RESTORED:
            if self.settings.must_ask:
                # Danger: all gateways start together and discovery's capacity is fixed.
                spread = self.settings.rules.ask_within * WATCH_SPREAD
                self.port.set_timer(WATCH_TIMER, now + int(self.random.random() * spread))
        elif mode != BY_HAND:
            self.watching = True
            self.watch_wait = WATCH_BACKOFF
        self.roster.news(now, mode, entries, since)
        self._drain(now)

    def request(
        self, now: int, req: int, cls: int, deadline: int, work: int, key: int | None,
        tenant: int, repeat: bool = False, filling: bool = False,
    ) -> None:  # fmt: skip
        """A client's request arrives; `work` is 0 where no hint came.

        `filling` is for one whose body still comes: `whole` tells of its last byte. Until then a
        server that it goes to has nothing to do for it.
        """
        kind = self.settings.classes[cls]
        request = Request(now, req, kind, deadline, work, key)
        request.at, request.filling = cls, filling
        self.live[req] = request
        self.retries.earn()
        self.roster.reach.width.arrived(now)
        if self.overload.sheds(now, kind, tenant, repeat):
            self._finish(now, request, "shed")
            return
        # A request is held only while it can still be served in time; late worth extends that.
        useful = kind.aim + int(kind.aim_stretch * work)
        if kind.late_worth > 0:
            useful = max(useful, kind.deadline)
        request.hold_until = min(deadline, now + useful - int(self.overload.usual(request)))
        # An answer that is worth nothing any more is not waited for: it holds a server up.
        request.useless = now + int(PATIENCE * useful) if now + PATIENCE * useful < deadline else 0
        request.coin = self.random.random()
        self._place_or_hold(now, request)

    def outcome(
        self, now: int, req: int, attempt: int, status: str, closed: bool, latency: int,
        name: str, report: Report | None, fair: bool = True,
    ) -> None:  # fmt: skip
        """An attempt ended: learn from it, then go on with its request if that is still owed.

        `fair`: the outcome says something of the server, and not of this gateway alone.
        """
        server = self.roster.servers.get(name)
        request = self.live.get(req)
        streamed, sent, failing = request is not None and request.judged, None, False
        if server is not None:
            sent, failing = server.landed(req, attempt), server.failures > 0
            if fair and not (streamed and status == OK):
                self.health.learn(now, server, status, latency, report, sent)
        if request is not None:
            request.out -= 1
            if closed:
                if not streamed:
                    self.overload.judge(now, request, latency)
                del self.live[req]
            elif not request.streaming:
                if status not in NEVER_RAN:
                    request.ran(server, sent)
                elif status == BUSY and (report is None or (queue_of(report) or 0.0) >= SOME_QUEUE):
                    # A full server is the earliest sign that the fleet is full: answers that come
                    # late follow only when its queue has been worked off. Danger: one that turns
                    # away with no queue is no such sign, as while it drains and the list does not
                    # say so yet. In a release each gateway meets many of those.
                    self.overload.late(now, request, True)
                self._continue(now, request, status, failing)
        if self.backlog.held:
            self._drain(now)

    def whole(self, now: int, req: int, deadline: int) -> None:
        """The last byte of a request's body has come: its time and its attempt's count from here.

        Danger: counted from the first byte, a slow client makes its server look slow and silent.
        """
        request = self.live.get(req)
        if request is None or not request.filling:
            return
        request.filling = False
        moved, request.arrived = now - request.arrived, now
        request.hold_until = min(deadline, request.hold_until + moved)
        request.useless += moved if request.useless else 0
        for server in self.roster.servers.values() if request.out else ():
            server.whole(now, req)

    def first(
        self, now: int, req: int, attempt: int, name: str, latency: int,
        report: Report | None = None, learn: bool = False,
    ) -> None:  # fmt: skip
        """A stream has begun: the client has its answer, and no deadline runs any more.

        With `learn`, what there is to learn of its server is learned now, and its end is none: how
        long a client takes to read says nothing of the server.
        """
        request = self.live.get(req)
        if request is not None:
            request.streaming = True
        if not learn:
            return
        server = self.roster.servers.get(name)
        if server is not None:
            sent = server.landed(req, attempt)
            self.health.learn(now, server, OK, latency, report, sent)
        if request is not None:
            request.judged = True
            self.overload.judge(now, request, latency)

    def gone(self, now: int, req: int) -> None:
        """The client left; nothing is owed any more."""
        self.live.pop(req, None)

    def timer(self, now: int, token: int) -> None:
        """A timer that was asked for has come."""
        if token == DRAIN_TIMER:
            if now >= self.backlog.look_at:
                self.backlog.look_at = 0
                self._drain(now)
        elif token == HEDGE_TIMER:
            self._hedge(now)
        elif token == WATCH_TIMER and not self.watching:
            self.port.watch(True)

    # --- Placing a request: the paper's algorithm 1

    def _finish(self, now: int, request: Request, why: str) -> None:
        """The one final answer this gateway gives itself; a refusal only where it is true."""
        self.figures[why] += 1
        del self.live[request.id]
        if why != "may_have_run" and request.harmless():
            self.port.refuse(request.id, self.overload.comeback(now))
        else:
            self.port.fail(request.id)

    def _place(self, now: int, request: Request) -> bool:
        """Send to the server with the lowest psi that has a token; False where none has."""
        server = self.roster.cold_pick(now, request)
        if server is None:
            server = self.scores.best(now, request, self.roster.candidates(now, request))
        if server is None:
            return False
        server.spend()
        self._send(now, request, server)
        return True

    def _send(self, now: int, request: Request, server: Server) -> None:
        server.sent(now, request.id, request.attempts, request.filling)
        request.attempts += 1
        request.out += 1
        request.coin = self.random.random()  # a further attempt draws anew
        if self.roster.cold.is_cold(now, server):
            self.figures["cold"] += 1
        else:
            self.roster.cold.count(server)
        self.port.send(request.id, server.name, max(0, request.useless - now))
        if request.attempts == 1 and request.cls.effect == SAFE:
            request.first = server
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
        request.coin = COIN_SPENT
        self.backlog.hold(request)
        self._arm_drain(now)

    def _drain(self, now: int) -> None:
        self.backlog.drain(now, self._expired, self._place)
        self._arm_drain(now)

    def _expired(self, now: int, request: Request) -> None:
        """No token came in time."""
        self.overload.late(now, request, True)
        self._finish(now, request, "expired")

    def _arm_drain(self, now: int) -> None:
        if at := self.backlog.next_look(now):
            self.port.set_timer(DRAIN_TIMER, at)

    # --- Further attempts

    def _continue(self, now: int, request: Request, status: str, failing: bool) -> None:
        """An attempt failed and the request is still owed an answer."""
        if request.out:
            return
        if status in (TIMEOUT, EXPIRED, MOOT) or now >= request.hold_until:
            # Danger: what a failing server still holds is no sign that the fleet is overloaded.
            if not failing:
                self.overload.late(now, request, status != MOOT)
            self._finish(now, request, "timed_out")
            return
        if request.may_have_run and request.cls.effect not in (SAFE, KEYED):
            self._finish(now, request, "may_have_run")
            return
        if request.attempts >= self.settings.limits.max_attempts:
            self._finish(now, request, "capped")
            return
        free = status in (CONNECT_FAILED, NO_ROUTE, WITHHELD)  # no server has had any of it
        if self.retries.bank < 1.0 and not free:
            # Danger: at overload every refusal by a server would come back as another attempt.
            self._finish(now, request, "spent")
            return
        self.figures["retries"] += 1
        self.retries.bank -= 0.0 if free else 1.0
        self._place_or_hold(now, request)

    def _arm_hedge(self) -> None:
        if at := self.retries.next_look():
            self.port.set_timer(HEDGE_TIMER, at)

    def _hedge(self, now: int) -> None:
        """Send silent requests a second time, elsewhere, the first attempt going on.

        Guards against connections or paths that take a request and say nothing: its client need
        not wait for the time-out. The sign is a server that has answered what was sent well after.
        Danger: where all are slow, as at overload, second copies make all slower. So none goes
        out while the fleet's rate is limited, servers report queues or requests are held, and each
        is paid for like a retry.
        """
        calm = not self.backlog.held and not self.overload.limited()
        calm = calm and self.scores.q < HEDGE_QUEUE
        for request in self.retries.silent(now):
            if not calm or self.retries.bank < 1.0:
                continue
            if not overtaken(request, self.overload.usual(request)):
                continue
            if now < request.hold_until and self._place(now, request):
                self.figures["hedges"] += 1
                self.retries.bank -= 1.0
        self._arm_hedge()
