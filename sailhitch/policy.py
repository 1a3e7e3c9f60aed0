"""All decisions of one gateway; types, events and actions stand in sailhitch/interface.py.

C3 adaptive replica selection, sans-IO: a gateway ranks servers by C3's cubic score, sends within
a cubic-adapted rate per server, and holds requests in a backlog when every server it may use is
saturated. The embedding gateway feeds events with their time and carries out
what goes through `Port`.

Times are integer microseconds of the clock handed in, rates are requests a second. Nothing is
shared between instances, and randomness comes from the seed alone. The quantities that
the paper names keep its names: srate, rrate, q_hat, psi, outstanding.
"""

from __future__ import annotations

import hashlib
import heapq
import math
import random
from collections.abc import Sequence

from .interface import (
    BUSY,
    BY_HAND,
    CONNECT_FAILED,
    ERROR,
    FAILED,
    FULL,
    GONE,
    MOOT,
    NEVER_RAN,
    OK,
    READY,
    RESET,
    RESTORED,
    TIMEOUT,
    Knowledge,
    KnownRate,
    KnownServer,
    Listed,
    Port,
    Report,
)
from .settings import KEYED, SAFE, RequestClass, Settings

# --- Tunables. Each says why it has its value.

ALPHA = 0.3  # EWMA weight of a new report or response: a few answers replace the old view
TYPICAL_ALPHA = 0.02  # EWMA weight for the fleet's typical figures: some fifty answers
CLASS_ALPHA = 0.05  # EWMA weight for a class's usual latency and work
REPORT_LIFE = 1_500_000  # a report this old weighs half; the rest is the fleet's typical figure
OS_WEIGHT = 3.0  # the paper's n, where gateways far outnumber a server's queue
CANDIDATES = 16  # servers ranked for a request; more costs CPU and herds
REMOTE_CANDIDATES = 5  # of them from other zones, so that an overloaded zone can spill
SPILL = 3  # servers ranked beside a key's replicas, so that a hot key does not jam these
REPLICAS = 3  # rendezvous servers of a key that are ranked where keys warm...
REPLICAS_MOST = 32  # ...out of so many for a hot one
HOT_WIDTH = 1.5  # a key is spread over this multiple of the servers that its share of traffic fills
KEY_WINDOW = 2000  # requests after which the counts of keys are halved
WARM_GAIN = 0.35  # psi of a key's first server counts this much: work it saves, and spreading loses
CROSS_WEIGHT = 60.0  # psi of another zone is raised by 1 + this * the crossing price
RATE_TAU = 2_000_000  # window of rrate: long enough for several answers at a few a second
UNMEASURED = 500_000  # so long after the fleet's first answer no rate is known to cut to
BETA = 0.2  # a cut takes this share of the rate; the cubic starts at (1 - BETA) * R0
FAIR_SHARE = 0.5  # a cut goes no lower than this share of what a server of the fleet answers
SADDLE_ANSWERS = 10  # the cubic is back at R0 after about this many answers...
SADDLE_MIN = 100_000  # ...and not before the paper's 100 ms
BURST = 2.0  # tokens a server can save up: a trickle is not smooth
QUEUE_SATURATED = 2.0  # reported queue from which a server counts as saturated
HOLD_STEP = 10_000  # how often the backlog looks for tokens
DRAIN_BATCH = 8  # held requests tried at one look
PATIENCE = 1.5  # an attempt ends at this multiple of its answer's useful time
SHUN_FIRST = 1_000_000  # how long a failing server is shunned at first; doubles with each failure
SHUN_MAX = 16_000_000
FULL_REST = 1_000_000  # how long a server is left alone that has turned a request away
SOME_QUEUE = 0.5  # from this reported queue on a server that turns away is full
STRIKES = 3  # failures in a row that shun a server; fewer come by chance where answers get spoilt
KIND_PRIOR = 5.0  # sends by which every kind counts as fast as the others at first
KIND_WINDOW = 1000.0  # sends after which the counts of kinds are halved
LEAVE_SPREAD = 0.5  # of the cold time; gateways let a warm server out of its slice over this
COLD_SPARE = 0.8  # of the rule's multiple is what a cold server gets at the most
ERROR_ALPHA = 0.1  # EWMA weight of an attempt's failure or success: some ten attempts
ERROR_WEIGHT = 15.0  # psi is raised by 1 + this * the share of attempts that fail...
ERROR_UNSAFE = 45.0  # ...and so much where a failure can't be made good by another attempt
SHUN_FACTOR = 200.0  # psi of a shunned server: never the choice unless all of them are shunned
SUSPECT_FACTOR = 6.0  # psi of one on trial after that, for requests that can be repeated
HEDGE_AFTER = 4.0  # a repeatable request silent for this multiple of its class's latency goes twice
HEDGE_MIN = 20_000
HEDGE_QUEUE = 0.5  # ...where the typical server reports a shorter queue than this: there is room
RETRY_SHARE = 0.15  # further attempts earned by a request, for those that may cost server work
RETRY_BANK = 10.0
NEAR_LATE = 0.6  # an answer after this share of its aim counts: the sign must come before the harm
LATE_SHARE = 0.15  # answers too late beyond this share are evidence of overload...
LATE_SUM = 4.0  # ...once they add up to this many: CUSUM, so that few answers suffice at any rate
FLEET_SADDLE = 3_000_000  # the fleet's rate is back at R0 after this at the most...
SADDLE_AIMS = 1.2  # ...and after this multiple of the longest aim: about two answers' time
ARRIVAL_TAU = 1_500_000  # window of the rates of arrival
RUSH = 50_000  # so long after a pause of the gateway's own it reads what had come meanwhile
SHED_MOST = 0.95  # so much is shed at the most: without answers nothing shows that it is over
WATCH_SPREAD = 0.35  # first subscription is spread over this share of rules.ask_within
WATCH_BACKOFF = 500_000  # first wait after a failed call, doubling with jitter
WATCH_BACKOFF_MAX = 4_000_000
WINDOW_MARGIN = 0.9  # a key's repeat window is used up to this share, for what the way takes

DRAIN_TIMER, WATCH_TIMER, HEDGE_TIMER = 1, 2, 3


class CubicRate:
    """The paper's algorithm 2: a rate of sending that a cut lowers and a cubic raises again."""

    __slots__ = ("begun", "r0", "rrate", "saddle", "srate", "t_cut", "t_rate")

    def __init__(self) -> None:
        self.rrate, self.t_rate = 0.0, 0
        self.begun = 0  # when the first answer came
        self.srate = math.inf  # no limit without evidence of saturation
        self.r0, self.t_cut, self.saddle = 0.0, 0, float(SADDLE_MIN)

    def received(self, now: int) -> None:
        if not self.begun:
            self.begun = now
        gap = now - self.t_rate
        self.rrate = self.rrate * math.exp(-gap / RATE_TAU) + 1e6 / RATE_TAU
        self.t_rate = now

    def measured(self, now: int) -> float:
        """What is received a second, by as much of the window as there has been.

        Danger: soon after the first answer the window is mostly empty. A rate read as if it were
        full is a fraction of the true one, and a cut to that takes many saddles to come back.
        """
        return self.rrate / max(0.05, 1.0 - math.exp((self.begun - now) / RATE_TAU))

    def grow(self, now: int) -> float:
        x = (now - self.t_cut) / self.saddle - 1.0
        self.srate = self.r0 * (1.0 + BETA * x * x * x)
        return self.srate

    def scale(self, change: float) -> None:
        """So many times as much is sent from now on as was."""
        self.rrate *= change
        self.srate *= change
        self.r0 *= change

    def known(self) -> KnownRate:
        return KnownRate._make([getattr(self, name) for name in KnownRate._fields])

    def adopt(self, known: KnownRate) -> None:
        for name, value in zip(KnownRate._fields, known, strict=True):
            setattr(self, name, value)

    def cut(self, now: int, rate: float, saddle: float) -> None:
        """R0 becomes what was really received, and the cubic starts below it."""
        self.r0, self.saddle = rate, saddle
        self.srate = rate * (1.0 - BETA)
        self.t_cut = now


def _queue(report: Report) -> float | None:
    """The requests that wait at a server, or that it holds where it tells no more."""
    return report.inflight if report.queue is None else report.queue


class Server:
    """One server as this gateway sees it."""

    __slots__ = (
        "boot",
        "cell",
        "errors",
        "failures",
        "filling",
        "flight",
        "hash",
        "kind",
        "leave",
        "name",
        "outstanding",
        "q_bar",
        "r_bar",
        "rate",
        "rest_until",
        "seen",
        "sent_seen",
        "service",
        "shun_until",
        "state",
        "strikes",
        "t_token",
        "tokens",
        "weight",
        "zone",
    )  # fmt: skip

    def __init__(self, listed: Listed, leave: float) -> None:
        self.name = listed.server
        self.leave = leave  # it gets its slice alone until this multiple of the cold time
        digest = hashlib.blake2b(listed.server.encode(), digest_size=8).digest()
        self.hash = int.from_bytes(digest, "big")
        self.flight: dict[tuple[int, int], int] = {}  # attempts out, oldest first, when sent
        self.filling: set[tuple[int, int]] = set()  # attempts whose body still comes
        self.outstanding = 0
        self.list_as(listed)
        self.forget()

    def list_as(self, listed: Listed) -> None:
        self.weight = listed.weight if listed.weight > 0 else 1.0
        self.zone, self.cell, self.kind = listed.zone, listed.cell, listed.kind
        self.state, self.boot = listed.state, listed.boot

    def forget(self) -> None:
        """Start from nothing known: scored by the fleet's typical figures until it answers."""
        self.q_bar = self.service = self.r_bar = 0.0
        self.seen = 0  # when it last answered; 0 is never
        self.rate = CubicRate()
        self.tokens, self.t_token = BURST, 0
        self.failures, self.shun_until, self.rest_until = 0, 0, 0
        self.sent_seen = 0  # when the latest of its answered attempts was sent
        self.strikes, self.errors = 0, 0.0  # failures in a row, and their share of late


class Request:
    """A request this gateway owes an answer for."""

    __slots__ = (
        "arrived", "at", "attempts", "cls", "coin", "filling", "first", "full", "group",
        "group_until", "hold_until", "id", "judged", "key", "may_have_run", "out", "rank",
        "streaming", "useless", "work",
    )  # fmt: skip

    def __init__(
        self, now: int, req: int, cls: RequestClass, deadline: int, work: int, key: int | None
    ) -> None:
        self.id, self.cls, self.work, self.key = req, cls, work, key
        self.at = 0  # the class's place in the settings
        self.first: Server | None = None  # where its first attempt went
        self.arrived = now
        self.attempts = self.out = self.full = 0
        self.may_have_run = self.streaming = self.filling = self.judged = False
        self.group: Server | None = None  # whose group may get a repeat of a keyed request
        self.group_until = 0
        self.hold_until = deadline
        self.useless = 0  # when its answer is worth nothing, if before its client gives up
        self.coin = 0.0
        self.rank = 0  # how many candidates, the first ones, may have met its key


class Gateway:
    """The decisions of one gateway instance."""

    def __init__(self, port: Port, settings: Settings, seed: int) -> None:
        self.port = port
        self.random = random.Random(seed)
        self.servers: dict[str, Server] = {}
        self.warm: list[list[Server]] = []  # ready and warm: own zone, then the others
        self.cold: list[Server] = []
        self.next_warm = 0
        self.live: dict[int, Request] = {}
        self.backlog: list[tuple[int, int, Request]] = []
        self.held = 0
        self.drain_at = 0
        self.retired = False
        self.part = 1.0  # of what comes to the gateway
        self.waiting: list[tuple[int, int]] = []  # when a request has been silent for too long
        self.hedge_at = 0
        self.key_count: dict[int, int] = {}
        self.key_total = 0
        self.keyed: dict[int, list[Server]] = {}  # rendezvous candidates, until the list changes
        kinds = 8
        self.typ_service = [0.0] * kinds  # by kind; kinds past the last share one
        self.typ_q = self.typ_r = self.typ_all = 0.0
        # A prior of some sends keeps the first from deciding.
        self.sent_kind, self.due_kind = [KIND_PRIOR] * kinds, [KIND_PRIOR] * kinds
        self.warm_kind = [0] * kinds
        self.retry_bank = RETRY_BANK / 2
        self.fleet = CubicRate()  # what the fleet as a whole takes from this gateway
        self.late_sum = 0.0
        self.cut_capacity = 1.0  # of the fleet, when its rate was last cut
        # For whoever looks for a cause, and for no decision.
        self.figures = dict.fromkeys(("shed", "spent", "cuts", "rests", "shuns", "cold"), 0)
        self.watching = False
        self.watch_wait = WATCH_BACKOFF
        self.t_arrival = self.t_start = self.t_rush = 0
        self._adopt(0, settings)

    def _adopt(self, now: int, settings: Settings) -> None:
        """Go by these settings, with nothing counted by class, worth or tenant yet."""
        self.settings = settings
        self.class_r = [0.0] * len(settings.classes)
        self.class_work = [0.0] * len(settings.classes)
        worths = {c.worth for c in settings.classes}
        if settings.tenants:
            worths |= {w * settings.over_share_worth for w in worths}
        self.worths = sorted(worths)
        self.arrivals = [0.0] * (2 * len(self.worths))  # requests in the window, by rank of worth
        self.tenant_tokens = [1.0] * len(settings.tenants)
        self.tenant_t = [now] * len(settings.tenants)
        longest = max(c.aim for c in settings.classes)
        self.fleet_saddle = min(FLEET_SADDLE, max(SADDLE_MIN, int(SADDLE_AIMS * longest)))
        self.cross = 1.0 + CROSS_WEIGHT * settings.cross_zone_price
        # With fewer gateways than that, the paper's own n stands.
        self.n = min(float(settings.gateways), OS_WEIGHT)

    # --- Events

    def start(self, now: int) -> None:
        """The instance begins, empty; its last list follows as `members`."""
        self.t_start = now

    def stalled(self, now: int) -> None:
        """This gateway itself stood still until now: what was out meanwhile, and what had come
        and is read at once after it, says nothing of the fleet, however late it is.

        Danger: without this one pause of its own makes a gateway shed for seconds.
        """
        self.t_rush = now + RUSH

    def reconfigure(self, now: int, settings: Settings) -> None:
        """New settings for a running instance, which keeps what it knows.

        Requests taken go on under their class as it was. What is counted by class or tenant is
        kept by name, and arrivals by the nearest worth.
        """
        usual = {c.name: i for i, c in reversed(list(enumerate(self.settings.classes)))}
        tokens = {t.name: i for i, t in enumerate(self.settings.tenants)}
        before = (self.class_r, self.class_work, self.tenant_tokens, self.tenant_t)
        worths, arrivals = self.worths, self.arrivals
        self._adopt(now, settings)
        for i, cls in enumerate(settings.classes):
            if cls.name in usual:
                self.class_r[i] = before[0][usual[cls.name]]
                self.class_work[i] = before[1][usual[cls.name]]
        for i, tenant in enumerate(settings.tenants):
            if tenant.name in tokens:
                self.tenant_tokens[i] = before[2][tokens[tenant.name]]
                self.tenant_t[i] = before[3][tokens[tenant.name]]
        for rank, count in enumerate(arrivals):
            worth = worths[rank // 2]
            near = min(range(len(self.worths)), key=lambda i: abs(self.worths[i] - worth))
            self.arrivals[2 * near + rank % 2] += count
        places = {cls: i for i, cls in reversed(list(enumerate(settings.classes)))}
        for request in self.live.values():
            request.at = places.get(request.cls, len(settings.classes))
        self._regroup(now)

    def knowledge(self) -> Knowledge:
        """What has been learned; what is out, held or counted as tokens stays where it is."""
        plain = KnownServer._fields[:-1]
        pairs = zip(self.arrivals[::2], self.arrivals[1::2], strict=True)
        return Knowledge(
            {
                s.name: KnownServer._make([*[getattr(s, name) for name in plain], s.rate.known()])
                for s in self.servers.values()
                if s.seen or s.failures
            },
            {
                c.name: (self.class_r[i], self.class_work[i])
                for i, c in enumerate(self.settings.classes)
            },
            [(w, *pair) for w, pair in zip(self.worths, pairs, strict=True)],
            self.t_arrival, self.t_start, (self.typ_q, self.typ_r, self.typ_all),
            list(self.typ_service), self.fleet.known(), self.late_sum,
        )  # fmt: skip

    def adopt(self, knowledge: Knowledge) -> None:
        """Go on with what the process before has learned.

        Danger: without it the new process takes every server for as good as any and the fleet for
        empty, and fills the slow ones first. What it knows of another life of a server is dropped.
        """
        for name, known in knowledge.servers.items():
            server = self.servers.get(name)
            if server is not None and server.boot == known.boot:
                for field, value in zip(KnownServer._fields[2:-1], known[2:-1], strict=True):
                    setattr(server, field, value)
                server.rate.adopt(known.rate)
        for i, cls in enumerate(self.settings.classes):
            if cls.name in knowledge.classes:
                self.class_r[i], self.class_work[i] = knowledge.classes[cls.name]
        for worth, *counts in knowledge.arrivals:
            if worth in self.worths:
                at = 2 * self.worths.index(worth)
                self.arrivals[at : at + 2] = counts
        self.t_arrival, self.t_start = knowledge.t_arrival, knowledge.t_start
        self.typ_q, self.typ_r, self.typ_all = knowledge.typical
        if len(knowledge.typical_service) == len(self.typ_service):
            self.typ_service = list(knowledge.typical_service)
        self.fleet.adopt(knowledge.fleet)
        self.late_sum = knowledge.late_sum

    def share(self, part: float) -> None:
        """Another process of this gateway serves beside this one; this part of what comes is here.

        Rates and arrivals are this process's own, so they change with its part of what comes.
        Danger: a limit that was the gateway's, cut to what half of its clients brought, would be
        halved twice. Cold servers need nothing here: what they get is a share of what comes, and
        the parts add up.
        """
        change, self.part = part / self.part, part
        if change != 1.0:
            for rate in (self.fleet, *[server.rate for server in self.servers.values()]):
                rate.scale(change)
            self.arrivals = [count * change for count in self.arrivals]

    def retire(self, now: int) -> None:
        """No server will come any more: what is held is given up at once, and nothing is held."""
        self.retired = True
        held, self.backlog, self.held = sorted(self.backlog), [], 0
        for _, req, request in held:
            if req in self.live:
                self._finish(request, refuse=True)

    def members(self, now: int, mode: str, entries: Sequence[Listed]) -> None:
        """Discovery's news. A failed call or broken subscription is asked anew, later each time."""
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
        if mode in (FULL, RESTORED):
            listed = {e.server for e in entries}
            for server in self.servers.values():
                if server.name not in listed:
                    server.state = GONE
        for entry in entries:
            known = self.servers.get(entry.server)
            if known is None:
                leave = 1.0 + LEAVE_SPREAD * self.random.random()
                self.servers[entry.server] = Server(entry, leave)
            else:
                restarted = entry.boot != known.boot
                known.list_as(entry)
                if restarted:
                    known.forget()
        self._regroup(now)
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
        request.at = cls
        request.filling = filling
        self.live[req] = request
        self.retry_bank = min(RETRY_BANK, self.retry_bank + RETRY_SHARE)
        worth = kind.worth
        if self.settings.tenants and self._over_share(now, tenant):
            worth *= self.settings.over_share_worth
        if self._sheds(now, worth, repeat):
            self.figures["shed"] += 1
            self._finish(request, refuse=True)
            return
        # A request is held only while it can still be served in time; late worth extends that.
        useful = kind.aim + int(kind.aim_stretch * work)
        if kind.late_worth > 0:
            useful = max(useful, kind.deadline)
        request.hold_until = min(deadline, now + useful - int(self.class_r[cls]))
        # An answer that is worth nothing any more is not waited for: it holds a server up.
        request.useless = now + int(PATIENCE * useful) if now + PATIENCE * useful < deadline else 0
        request.coin = self.random.random()
        if not self._place(now, request):
            self._hold(now, request)

    def outcome(
        self, now: int, req: int, attempt: int, status: str, closed: bool, latency: int,
        name: str, report: Report | None,
    ) -> None:  # fmt: skip
        """An attempt ended: learn from it, then go on with its request if that is still owed."""
        server = self.servers.get(name)
        request = self.live.get(req)
        sent, failing = self._landed(server, req, attempt), False
        streamed = request is not None and request.judged
        if server is not None:
            failing = server.failures > 0
            if not (streamed and status == OK):
                self._learn(now, server, status, latency, report, sent)
        if request is not None:
            request.out -= 1
            if closed:
                if not streamed:
                    self._judge(now, request, status, latency, server)
                del self.live[req]
            elif not request.streaming:
                if status not in NEVER_RAN:
                    self._may_have_run(request, server, sent)
                elif status == BUSY and (report is None or (_queue(report) or 0.0) >= SOME_QUEUE):
                    # Two full servers in a row are the earliest sign that the fleet is full. One
                    # tells of that server only: old reports send many to the same one. Danger: so
                    # does one that turns away with no queue, as while it drains and the list does
                    # not say so yet. In a release each gateway meets many of those.
                    request.full += 1
                    if request.full > 1:
                        self._late(now, request, True)
                self._continue(now, request, status, failing)
        if self.held:
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
        for server in self.servers.values() if request.out else ():
            for key in [k for k in server.filling if k[0] == req]:
                server.filling.discard(key)
                server.flight[key] = now
                server.outstanding += 1

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
        server = self.servers.get(name)
        sent = self._landed(server, req, attempt)
        if server is not None:
            self._learn(now, server, OK, latency, report, sent)
        if request is not None:
            request.judged = True
            self._judge(now, request, OK, latency, server)

    def gone(self, now: int, req: int) -> None:
        """The client left; nothing is owed any more."""
        self.live.pop(req, None)

    def timer(self, now: int, token: int) -> None:
        if token == DRAIN_TIMER:
            if now >= self.drain_at:
                self.drain_at = 0
                self._drain(now)
        elif token == HEDGE_TIMER:
            self._hedge(now)
        elif token == WATCH_TIMER and not self.watching:
            self.port.watch(True)

    def probe(self, now: int, name: str, status: str, latency: int, report: Report | None) -> None:
        """A probe's finding. None are sent: answers carry the same report."""

    def peer(self, now: int, source: int, data: bytes) -> None:
        """Word from another gateway. None is sent or used: each decides by what it saw itself."""

    # --- The four rules, each in one place

    def _finish(self, request: Request, refuse: bool) -> None:
        """The one final answer this gateway gives itself; a refusal only where it is true.

        Danger: a refusal tells the client that a repeat is harmless, which it is not where an
        attempt may have run, unless the class is safe or every server drops the repeat.
        """
        del self.live[request.id]
        harmless = (
            (not request.may_have_run and not request.out)
            or request.cls.effect == SAFE
            or (request.cls.effect == KEYED and request.cls.group == "all")
        )
        if refuse and harmless:
            after = self.settings.limits.max_retry_after if self.settings.limits.retry_after else 0
            self.port.refuse(request.id, after)
        else:
            self.port.fail(request.id)

    def _may_send(self, now: int, request: Request, server: Server) -> bool:
        """Whether an attempt at this server keeps the rule on effects."""
        if request.attempts >= self.settings.limits.max_attempts:
            return False
        if request.out and not self.settings.limits.may_duplicate:
            return False
        if not (request.may_have_run or request.out) or request.cls.effect == SAFE:
            return True
        first = request.group
        if request.cls.effect != KEYED or first is None or now >= request.group_until:
            return False
        group = request.cls.group
        return (
            group == "all"
            or (group == "zone" and server.zone == first.zone)
            or (group == "cell" and server.cell == first.cell)
        )

    def _may_have_run(self, request: Request, server: Server | None, sent: int | None) -> None:
        """Note that an attempt may have run: from its sending the window of its group counts."""
        if not request.may_have_run:
            request.may_have_run = True
            if server is not None and sent is not None:
                request.group = server
                request.group_until = sent + int(request.cls.window * WINDOW_MARGIN)

    def _cold_pick(self, now: int, request: Request) -> Server | None:
        """The cold server that may take this request, if any: the budget of the fourth rule.

        Every request draws one coin, and a cold server owns a slice of its range: its part of what
        all ready servers surely can do, and never more than a multiple of its part where all were
        warm. If every gateway acts alike, a cold server gets its part of the load in any span,
        from the first request on: no memory is needed that a restart would lose. Danger: token
        buckets would do that for one gateway, but two hundred full buckets are a burst.
        """
        if now >= self.next_warm:
            self._regroup(now)
        speeds = [s / e for s, e in zip(self.sent_kind, self.due_kind, strict=True)]
        slices = [speeds[server.kind & 7] * self._warmth(now, server) for server in self.cold]
        warm = sum([speed * n for speed, n in zip(speeds, self.warm_kind, strict=True)])
        # Danger: shares of what is left add up to everything where all are cold, whatever comes.
        spare = self.settings.rules.fall_multiple * COLD_SPARE
        whole = warm + sum([speeds[server.kind & 7] for server in self.cold])
        coin = request.coin * max(warm + sum(slices), whole / max(1.0, spare))
        for server, part in zip(self.cold, slices, strict=True):
            coin -= part
            if coin < 0.0:
                return server if self._may_send(now, request, server) else None
        return None

    def _warmth(self, now: int, server: Server) -> float:
        """The part of its capacity that a cold server surely has."""
        rules = self.settings.rules
        age = min(1.0, max(0, now - server.boot) / rules.cold_time)
        return rules.cold_share + (1.0 - rules.cold_share) * age

    def _is_cold(self, now: int, server: Server) -> bool:
        """Whether it gets its slice and no more: until it is warm, and a while of its own after.

        Guards against the moment at which what started together turns warm at every gateway: each
        then ranks it, finds one of which it has seen little and that has no limit yet, and tries
        it; all of them at once are a multiple of its part. Until its turn it gets just that part.
        It could harm where a server slows down in that while: the slice does not follow it.
        """
        return server.boot > 0 and now < self._leaves(server)

    def _leaves(self, server: Server) -> int:
        """When this gateway lets a server out of its slice."""
        return server.boot + int(self.settings.rules.cold_time * server.leave)

    # --- Placing a request: the paper's algorithm 1

    def _place(self, now: int, request: Request) -> bool:
        """Send to the server with the lowest psi that has a token; False where none has."""
        server = None
        if self.cold:
            server = self._cold_pick(now, request)
            if server is not None and max(server.shun_until, server.rest_until) > now:
                server = None
        if server is None:
            server = self._best(now, request, self._candidates(request))
        if server is None:
            return False
        if server.rate.srate != math.inf:
            server.tokens -= 1.0
        self._send(now, request, server)
        return True

    def _landed(self, server: Server | None, req: int, attempt: int) -> int | None:
        """An attempt is out no more; when it was sent, where the server had all of it."""
        if server is None:
            return None
        server.filling.discard((req, attempt))
        sent = server.flight.pop((req, attempt), None)
        if sent is not None:
            server.outstanding -= 1
        return sent

    def _send(self, now: int, request: Request, server: Server) -> None:
        if request.filling:
            server.filling.add((request.id, request.attempts))
        else:
            server.flight[request.id, request.attempts] = now
            server.outstanding += 1
        request.attempts += 1
        request.out += 1
        request.coin = self.random.random()  # a further attempt draws anew
        if self._is_cold(now, server):
            self.figures["cold"] += 1
        else:
            self._count_kind(server)
        self.port.send(request.id, server.name, max(0, request.useless - now))
        if request.attempts == 1 and request.cls.effect == SAFE:
            request.first = server
            self._expect(now, request)

    def _candidates(self, request: Request) -> list[Server]:
        """The servers to rank: a key's replica group where keys warm, else a sample.

        Danger: ranking the whole fleet costs CPU that grows with it, and sends all gateways
        to the one server that looks idle.
        """
        if request.key is not None and self.settings.warm_keys and not request.attempts:
            found = self._replicas(request.key)
            width = min(self._width(request.key), len(found))
            request.rank = min(width, REPLICAS)
            # Danger: gateways that each see little send a hot key to one server together.
            hot = width > REPLICAS
            found = self._sample(found[:width], REPLICAS) if hot else found[:REPLICAS]
            return found + self._sample(self._pool(), SPILL)
        own, others = self.warm
        few = CANDIDATES if not others else CANDIDATES - REMOTE_CANDIDATES
        found = own if len(own) <= few else self._sample(own, few)
        if others:
            more = CANDIDATES - len(found)
            found = found + (others if len(others) <= more else self._sample(others, more))
        return found

    def _width(self, key: int) -> int:
        """How many servers a key's traffic fills, by its share of what comes to this gateway."""
        counts = self.key_count
        count = counts[key] = counts.get(key, 0) + 1
        self.key_total += 1
        if self.key_total > KEY_WINDOW:
            self.key_count = {k: n // 2 for k, n in counts.items() if n > 1}
            self.key_total = sum(self.key_count.values())
        servers = len(self.warm[0]) + len(self.warm[1])
        return 1 + int(HOT_WIDTH * (count - 1) / max(self.key_total, 50) * servers)

    def _pool(self) -> list[Server]:
        """The warm servers of the own zone, or where there are none those of the others."""
        own, others = self.warm
        return own or others

    def _sample(self, pool: list[Server], k: int) -> list[Server]:
        # Repeats are harmless and cheaper than avoiding them.
        rnd, size = self.random.random, len(pool)
        return [pool[int(rnd() * size)] for _ in range(k if size else 0)]

    def _replicas(self, key: int) -> list[Server]:
        """A key's servers by weighted rendezvous hashing: the same at every gateway, untold."""
        found = self.keyed.get(key)
        if found is None:
            if len(self.keyed) > 5000:
                self.keyed.clear()
            ranked = []
            for pool in self.warm:
                for server in pool:
                    x = ((key ^ server.hash) * 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
                    x = ((x ^ (x >> 32)) * 0xD6E8FEB86659FD93) & 0xFFFFFFFFFFFFFFFF
                    x ^= x >> 32
                    ranked.append((-math.log((x + 1) / 2.0**64) / server.weight, server))
            found = [s for _, s in heapq.nsmallest(REPLICAS_MOST, ranked, key=lambda t: t[0])]
            self.keyed[key] = found
        return found

    def _best(self, now: int, request: Request, candidates: list[Server]) -> Server | None:
        best, lowest, waits = None, math.inf, False
        typ_q, typ_r, n = self.typ_q, self.typ_r, self.n
        zone = self.settings.zone
        free = not request.attempts
        keyed = free and request.key is not None and self.settings.warm_keys
        repeatable = request.cls.effect == SAFE
        for rank, server in enumerate(candidates):
            if not (free or self._may_send(now, request, server)):
                continue
            if request.out and server is request.first:
                continue  # a second copy goes elsewhere
            if server.rate.srate != math.inf and not self._token(now, server):
                waits = waits or not server.failures
                continue
            # Danger: at 0, as at a gateway's start, the first candidate would win every time.
            typ_s = self.typ_service[server.kind & 7] or self.typ_all or 1.0
            if server.seen:
                # Old reports lose weight: the further back, the more the typical figure counts.
                w = REPORT_LIFE / (REPORT_LIFE + now - server.seen)
                q = typ_q + w * (server.q_bar - typ_q)
                service = typ_s + w * (server.service - typ_s)
                r = typ_r + w * (server.r_bar - typ_r)
            else:
                q, service, r = typ_q, typ_s, typ_r
            if server.outstanding:
                # Silence counts as slowness of all it does: a server that takes requests and
                # answers none reports nothing either.
                silent = now - max(server.seen, next(iter(server.flight.values())))
                if silent > r > 0.0:
                    service *= silent / r
                    r = silent
            q_hat = 1.0 + server.outstanding * n + q
            # Danger: at a gateway's start this is 0, and whatever raises it below would not.
            psi = max(1.0, r - service + q_hat * q_hat * q_hat * service)
            if server.zone != zone:
                psi *= self.cross
            if server.errors > 0.01:
                psi *= 1.0 + (ERROR_WEIGHT if repeatable else ERROR_UNSAFE) * server.errors
            if server.failures:
                if server.shun_until > now:
                    psi *= SHUN_FACTOR
                else:
                    psi *= SUSPECT_FACTOR if repeatable else SHUN_FACTOR
            if server.rest_until > now:
                psi *= SHUN_FACTOR
            if keyed and rank < request.rank:
                psi *= WARM_GAIN
            if psi < lowest or best is None:
                best, lowest = server, psi
        # Danger: a failing server answers at once and never runs out of tokens. While a sound one
        # will have a token soon, none but a trial that can be repeated goes there.
        failing = best is not None and best.failures and (best.shun_until > now or not repeatable)
        return None if waits and failing else best

    # --- The cubic rate: the paper's algorithm 2, for a trickle

    def _token(self, now: int, server: Server) -> bool:
        """Grow the rate along the cubic, accrue tokens since the last look, tell if one is left."""
        srate = server.rate.grow(now)
        server.tokens = min(BURST, server.tokens + srate * (now - server.t_token) * 1e-6)
        server.t_token = now
        return server.tokens >= 1.0

    def _saturated(self, now: int, server: Server) -> None:
        rate = server.rate
        if now - rate.t_cut < rate.saddle and rate.srate != math.inf:
            return
        if self._unmeasured(now):
            return
        # Danger: one that was sent little, as after a shun, has received little. That is no sign of
        # what it can take, and a rate cut to it takes many times its saddle to come back.
        fair = self.fleet.measured(now) / max(1, len(self.warm[0]) + len(self.warm[1]))
        r0 = max(rate.measured(now), FAIR_SHARE * fair, 1e6 / RATE_TAU)
        if rate.srate != math.inf and rate.srate < r0:
            return
        rate.cut(now, r0, max(SADDLE_MIN, SADDLE_ANSWERS / r0 * 1e6))
        server.t_token = now
        server.tokens = min(server.tokens, 1.0)

    def _unmeasured(self, now: int) -> bool:
        """Whether too little has been answered to tell what the fleet takes.

        Danger: a rush right after the start finds servers full before any has answered. Each cut
        to next to nothing then holds that rate for tens of seconds, with all servers idle.
        """
        begun = self.fleet.begun or now
        return now - begun < UNMEASURED and now - self.t_start < 4 * UNMEASURED

    # --- Learning

    def _learn(
        self, now: int, server: Server, status: str, latency: int, report: Report | None,
        sent: int | None,
    ) -> None:  # fmt: skip
        if status == OK:
            server.rate.received(now)
            self.fleet.received(now)
            server.sent_seen = max(server.sent_seen, sent or 0)
            server.strikes = 0
            server.errors *= 1.0 - ERROR_ALPHA
            if server.failures:
                server.failures = 0
                server.shun_until = 0
            self.typ_r += TYPICAL_ALPHA * (latency - self.typ_r) if self.typ_r else latency
            first = not server.seen
            server.r_bar += latency if first else ALPHA * (latency - server.r_bar)
            if report is not None:
                queue, service = _queue(report), report.service
                if queue is not None:
                    server.q_bar += queue if first else ALPHA * (queue - server.q_bar)
                    self.typ_q += TYPICAL_ALPHA * (queue - self.typ_q)
                    if server.q_bar > QUEUE_SATURATED:
                        self._saturated(now, server)
                if service is None:
                    service = latency
                server.service += service if first else ALPHA * (service - server.service)
                self._typical(server.kind & 7, service)
            else:
                server.service = server.r_bar
            server.seen = now
        elif status == BUSY:
            # A full server is loaded, not failing: its queue is what matters. Its report is
            # taken at face value only where it says that there is a queue.
            queue = report.queue or 0.0 if report is not None else 0.0
            server.q_bar = max(server.q_bar, queue, self.typ_q) + 1.0
            if not server.seen:
                server.service = self.typ_service[server.kind & 7] or self.typ_all
                server.r_bar = self.typ_r
            server.seen = now
            self._saturated(now, server)
            # Guards against more of the same from one that drains or has just been crowded: at a
            # gateway to which little comes a token is always saved up, and no rate keeps it away.
            # It could harm where one server is all there is, so it is a handicap and no ban.
            rest = int(FULL_REST * (0.75 + 0.5 * self.random.random()))
            server.rest_until = now + rest
            self.figures["rests"] += 1
        elif status in (ERROR, RESET):
            # Danger: quick errors show short latency and an empty queue. They are no sample. Nor is
            # one failure among many answers a sign of a bad server: where answers get spoilt on any
            # of them, shunning each for its one failure takes away capacity that is there.
            server.errors += ERROR_ALPHA * (1.0 - server.errors)
            server.strikes += 1
            if server.strikes >= STRIKES or not server.seen or server.failures:
                self._shun(now, server)
        elif status == CONNECT_FAILED:
            self._shun(now, server)
        elif status == TIMEOUT:
            if sent is not None and server.seen < sent:
                # Nothing came from it since: it is silent, not busy.
                self._shun(now, server)
            elif server.seen:
                server.r_bar += ALPHA * (max(latency, server.r_bar) - server.r_bar)
            self._saturated(now, server)

    def _shun(self, now: int, server: Server) -> None:
        """Outlier ejection: a while without requests, longer after each failed trial.

        Danger: all that was out at a server fails with it, which is one failure and not many.
        """
        if now < server.shun_until:
            return
        self.figures["shuns"] += 1
        server.failures = min(server.failures + 1, 8)
        wait = min(SHUN_FIRST << (server.failures - 1), SHUN_MAX)
        server.shun_until = now + int(wait * (0.75 + 0.5 * self.random.random()))

    def _typical(self, kind: int, service: float) -> None:
        old = self.typ_service[kind]
        self.typ_service[kind] = old + TYPICAL_ALPHA * (service - old) if old else service
        old = self.typ_all
        self.typ_all = old + TYPICAL_ALPHA * (service - old) if old else service

    def _judge(
        self, now: int, request: Request, status: str, latency: int, server: Server | None
    ) -> None:
        """The client has its answer: was it in time? That steers how much is shed."""
        if request.cls not in self.settings.classes:
            return  # of settings that hold no more
        cls = self.settings.classes.index(request.cls)
        took = now - request.arrived
        old = self.class_r[cls]
        if request.work:
            mean = self.class_work[cls]
            self.class_work[cls] += CLASS_ALPHA * (request.work - mean) if mean else request.work
        self.class_r[cls] = old + CLASS_ALPHA * (latency - old) if old else latency
        aim = request.cls.aim + request.cls.aim_stretch * request.work
        # A request heavier than its class's usual takes longer by itself: no sign of overload.
        mean = self.class_work[cls]
        heavy = max(1.0, request.work / mean) if mean else 1.0
        self._late(now, request, took > min(1.0, NEAR_LATE * heavy) * aim)

    def _late(self, now: int, request: Request, late: bool) -> None:
        """Too many answers come too late: cut the rate of the whole fleet.

        Danger: what was taken in before a cut goes on coming late after it, and must not cut
        again. Nor may the level hang on answers alone: where nearly all is shed, none come.
        """
        fleet = self.fleet
        if request.arrived < max(fleet.t_cut, self.t_rush) or self._unmeasured(now):
            return
        self.late_sum = max(0.0, self.late_sum + late - LATE_SHARE)
        if self.late_sum < LATE_SUM:
            return
        self.late_sum = 0.0
        self.figures["cuts"] += 1
        # Danger: soon after a start the windows are not full, and a rate read from them is low.
        full = 1.0 - math.exp((self.t_start - now) / ARRIVAL_TAU)
        taken = min(fleet.srate, sum(self.arrivals) / (ARRIVAL_TAU * max(full, 0.05)) * 1e6)
        fleet.cut(now, max(fleet.measured(now), taken * (1.0 - BETA)), self.fleet_saddle)
        self.cut_capacity = self._capacity(now)

    def _capacity(self, now: int) -> float:
        """How many warm servers the ready ones are as good as, for sure."""
        cold = sum([self._warmth(now, server) for server in self.cold])
        return len(self.warm[0]) + len(self.warm[1]) + cold

    def _fleet_rate(self, now: int) -> float:
        """What the fleet takes from this process: the cubic's rate, with the servers come since.

        Danger: R0 is what those took that were ready at the cut. Where half were draining then, it
        holds the fleet to half for many saddles after they are back.
        """
        more = max(1.0, self._capacity(now) / max(1.0, self.cut_capacity))
        return self.fleet.grow(now) * more

    # --- Overload: worth first

    def _sheds(self, now: int, worth: float, repeat: bool) -> bool:
        """Whether a request is refused at the door: least worth first, repeats before first tries.

        Danger: a client's repeat has used up part of its time. Served instead of a first try it
        is more often late, and its refusal comes back as one repeat more.
        """
        rank = 2 * self.worths.index(worth) + (not repeat)
        if not self.t_arrival:
            self.t_start = now  # a window that stood empty before the first client isn't filled
        fade = math.exp((self.t_arrival - now) / ARRIVAL_TAU)
        self.t_arrival = now
        arrivals = self.arrivals = [a * fade for a in self.arrivals]
        arrivals[rank] += 1.0
        fleet = self.fleet
        if fleet.srate == math.inf:
            return False
        total = sum(arrivals)
        surplus = total - self._fleet_rate(now) * ARRIVAL_TAU * 1e-6
        if surplus <= 0.0:
            if now - fleet.t_cut > 3 * self.fleet_saddle:
                fleet.srate = math.inf
            return False
        surplus = min(surplus, SHED_MOST * total) - sum(arrivals[:rank])
        return self.random.random() * arrivals[rank] < surplus

    def _over_share(self, now: int, tenant: int) -> bool:
        """Whether this tenant sends more than its share, as far as this gateway can tell."""
        if tenant >= len(self.tenant_tokens):
            return False
        rate = self.settings.tenants[tenant].quota_per_s / self.settings.gateways * self.part
        tokens = self.tenant_tokens[tenant] + rate * (now - self.tenant_t[tenant]) * 1e-6
        tokens = min(tokens, max(2.0, rate * 2.0))
        self.tenant_t[tenant] = now
        over = tokens < 1.0
        self.tenant_tokens[tenant] = tokens if over else tokens - 1.0
        return over

    # --- Further attempts and the backlog

    def _continue(self, now: int, request: Request, status: str, failing: bool) -> None:
        """An attempt failed and the request is still owed an answer."""
        if request.out:
            return
        if status in (TIMEOUT, MOOT) or now >= request.hold_until:
            # Danger: what a failing server still holds is no sign that the fleet is overloaded.
            if not failing:
                self._late(now, request, status != MOOT)
            self._finish(request, refuse=True)
            return
        ran = request.may_have_run
        if ran and request.cls.effect not in (SAFE, KEYED):
            self._finish(request, refuse=False)
            return
        if request.attempts >= self.settings.limits.max_attempts:
            self._finish(request, refuse=True)
            return
        if self.retry_bank < 1.0 and status != CONNECT_FAILED:
            self.figures["spent"] += 1
            # Danger: at overload every refusal by a server would come back as another attempt.
            self._finish(request, refuse=True)
            return
        self.retry_bank -= 1.0 if status != CONNECT_FAILED else 0.0
        if not self._place(now, request):
            self._hold(now, request)

    def _expect(self, now: int, request: Request) -> None:
        """Note when a repeatable request's first attempt has been silent for too long."""
        usual = self.class_r[request.at] if request.at < len(self.class_r) else 0.0
        if not usual or not self.settings.limits.may_duplicate:
            return
        at = now + max(HEDGE_MIN, int(HEDGE_AFTER * usual))
        if at < request.hold_until:
            heapq.heappush(self.waiting, (at, request.id))
            self._arm_hedge()

    def _arm_hedge(self) -> None:
        waiting = self.waiting
        while waiting and waiting[0][1] not in self.live:
            heapq.heappop(waiting)
        if waiting and not self.hedge_at:
            self.hedge_at = waiting[0][0]
            self.port.set_timer(HEDGE_TIMER, self.hedge_at)

    def _hedge(self, now: int) -> None:
        """Send silent requests a second time, elsewhere, the first attempt going on.

        Guards against connections or paths that take a request and say nothing: its client need
        not wait for the time-out. The sign is a server that has answered what was sent well after.
        Danger: where all are slow, as at overload, second copies make all slower. So none goes
        out while the fleet's rate is limited, servers report queues or requests are held, and each
        is paid for like a retry.
        """
        self.hedge_at = 0
        calm = not self.held and self.fleet.srate == math.inf and self.typ_q < HEDGE_QUEUE
        waiting = self.waiting
        while waiting and waiting[0][0] <= now:
            request = self.live.get(heapq.heappop(waiting)[1])
            if request is None or request.out != 1 or request.attempts != 1:
                continue
            if not calm or self.retry_bank < 1.0 or not self._overtaken(request):
                continue
            if now < request.hold_until and self._place(now, request):
                self.retry_bank -= 1.0
        self._arm_hedge()

    def _overtaken(self, request: Request) -> bool:
        """Whether the server of its one attempt has answered what was sent well after it."""
        server = request.first
        sent = server.flight.get((request.id, 0)) if server is not None else None
        if server is None or sent is None or request.at >= len(self.class_r):
            return False
        return server.sent_seen > sent + self.class_r[request.at]

    def _hold(self, now: int, request: Request) -> None:
        if now >= request.hold_until or self.retired:
            self._finish(request, refuse=True)
            return
        heapq.heappush(self.backlog, (request.hold_until, request.id, request))
        self.held += 1
        if not self.drain_at:
            self._arm(now)

    def _arm(self, now: int) -> None:
        at = min(now + HOLD_STEP, max(now + 1, self.backlog[0][0]))
        self.drain_at = at
        self.port.set_timer(DRAIN_TIMER, at)

    def _drain(self, now: int) -> None:
        """Place held requests as tokens return, those with the least time left first."""
        back: list[tuple[int, int, Request]] = []
        backlog = self.backlog
        while backlog and len(back) < DRAIN_BATCH:
            entry = heapq.heappop(backlog)
            request = entry[2]
            if request.id not in self.live:
                continue
            if now >= request.hold_until:
                self._late(now, request, True)
                self._finish(request, refuse=True)
            elif not self._place(now, request):
                back.append(entry)
        for entry in back:
            heapq.heappush(backlog, entry)
        self.held = len(backlog)
        if backlog and not self.drain_at:
            self._arm(now)

    # --- The fleet

    def _count_kind(self, server: Server) -> None:
        """Count a send to a warm server beside what its kind would get if all kinds were alike.

        The two give the speed of a kind as the others see it, whatever number of its servers is
        there. Danger: a count of sends alone goes by the servers of the last minute at a gateway to
        which little comes, and where half of them have gone the rest look twice as fast.
        """
        self.sent_kind[server.kind & 7] += 1.0
        warm = max(1, sum(self.warm_kind))
        self.due_kind = [
            due + n / warm for due, n in zip(self.due_kind, self.warm_kind, strict=True)
        ]
        if sum(self.sent_kind) > KIND_WINDOW:
            self.sent_kind = [0.5 * x for x in self.sent_kind]
            self.due_kind = [0.5 * x for x in self.due_kind]

    def _regroup(self, now: int) -> None:
        """Sort the ready servers by zone and warmth; after list news and as cold ones warm up."""
        zone = self.settings.zone
        own: list[Server] = []
        others: list[Server] = []
        self.cold = []
        self.next_warm = 1 << 62
        self.warm_kind = [0] * len(self.warm_kind)
        gone = [s for s in self.servers.values() if s.state == GONE]
        for server in [s for s in gone if not (s.flight or s.filling)]:
            del self.servers[server.name]
        for server in self.servers.values():
            # The rule on drains: what is not ready is no candidate, from the news of it on.
            if server.state != READY:
                continue
            if self._is_cold(now, server):
                self.cold.append(server)
                self.next_warm = min(self.next_warm, self._leaves(server))
                continue
            self.warm_kind[server.kind & 7] += 1
            (own if server.zone == zone else others).append(server)
        self.warm = [own, others]
        self.keyed.clear()
