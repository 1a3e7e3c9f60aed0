"""C3's cubic score, and the figures it goes by: a server's own and the fleet's typical ones."""

from __future__ import annotations

import math

from ..interface import Report
from ..settings import SAFE, Settings
from .cold import KINDS
from .request import Request
from .server import Server, queue_of

ALPHA = 0.3  # EWMA weight of a new report or response: a few answers replace the old view
TYPICAL_ALPHA = 0.02  # EWMA weight for the fleet's typical figures: some fifty answers
REPORT_LIFE = 1_500_000  # a report this old weighs half; the rest is the fleet's typical figure
OS_WEIGHT = 3.0  # the paper's n, where gateways far outnumber a server's queue
WARM_GAIN = 0.35  # psi of a key's first server counts this much: work it saves, and spreading loses
CROSS_WEIGHT = 60.0  # psi of another zone is raised by 1 + this * the crossing price
ERROR_WEIGHT = 15.0  # psi is raised by 1 + this * the share of attempts that fail...
ERROR_UNSAFE = 45.0  # ...and so much where a failure can't be made good by another attempt
SHUN_FACTOR = 200.0  # psi of a shunned server: never the choice unless all of them are shunned
SUSPECT_FACTOR = 6.0  # psi of one on trial after that, for requests that can be repeated


class Scores:
    """The fleet's typical figures, and the choice among candidates."""

    def __init__(self, settings: Settings) -> None:
        self.service = [0.0] * KINDS  # by kind
        self.q = self.r = self.all = 0.0
        self.adopt(settings)

    def adopt(self, settings: Settings) -> None:
        self.settings = settings
        self.cross = 1.0 + CROSS_WEIGHT * settings.cross_zone_price
        # With fewer gateways than that, the paper's own n stands.
        self.n = min(float(settings.gateways), OS_WEIGHT)

    def best(self, now: int, request: Request, candidates: list[Server]) -> Server | None:
        """The candidate with the lowest psi that may have the request and has a token."""
        best, lowest, waits = None, math.inf, False
        typ_q, typ_r, n, limits = self.q, self.r, self.n, self.settings.limits
        zone = self.settings.zone
        free = not request.attempts
        keyed = free and request.key is not None and self.settings.warm_keys
        repeatable = request.cls.effect == SAFE
        for rank, server in enumerate(candidates):
            if not (free or request.may_send(now, server, limits)):
                continue
            if request.out and server is request.first:
                continue  # a second copy goes elsewhere
            if server.rate.srate != math.inf and not server.token(now):
                waits = waits or not server.failures
                continue
            # Danger: at 0, as at a gateway's start, the first candidate would win every time.
            typ_s = self.service[server.kind & 7] or self.all or 1.0
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

    def answered(self, server: Server, latency: int, report: Report | None) -> None:
        """Learn from an answer: its time, and what it reports."""
        self.r += TYPICAL_ALPHA * (latency - self.r) if self.r else latency
        first = not server.seen
        server.r_bar += latency if first else ALPHA * (latency - server.r_bar)
        if report is None:
            server.service = server.r_bar
            return
        queue, service = queue_of(report), report.service
        if queue is not None:
            server.q_bar += queue if first else ALPHA * (queue - server.q_bar)
            self.q += TYPICAL_ALPHA * (queue - self.q)
        if service is None:
            service = latency
        server.service += service if first else ALPHA * (service - server.service)
        self._typical(server.kind & 7, service)

    def declined(self, now: int, server: Server, report: Report | None) -> None:
        """Learn from a server that turned away: it is loaded, not failing.

        Its queue is what matters. Its report is taken at face value only where it says that there
        is a queue.
        """
        queue = report.queue or 0.0 if report is not None else 0.0
        server.q_bar = max(server.q_bar, queue, self.q) + 1.0
        if not server.seen:
            server.service = self.service[server.kind & 7] or self.all
            server.r_bar = self.r
        server.seen = now

    def timed_out(self, server: Server, latency: int) -> None:
        """Learn from an attempt at a busy server that took longer than it may."""
        if server.seen:
            server.r_bar += ALPHA * (max(latency, server.r_bar) - server.r_bar)

    def _typical(self, kind: int, service: float) -> None:
        old = self.service[kind]
        self.service[kind] = old + TYPICAL_ALPHA * (service - old) if old else service
        old = self.all
        self.all = old + TYPICAL_ALPHA * (service - old) if old else service
