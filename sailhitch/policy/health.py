"""What an attempt's outcome says of its server: saturated, failing, better left alone a while."""

from __future__ import annotations

import math
import random

from ..interface import (
    BUSY,
    CONNECT_FAILED,
    ERROR,
    EXPIRED,
    NO_ROUTE,
    OK,
    RESET,
    TIMEOUT,
    Report,
)
from .overload import Overload
from .rate import RATE_TAU, SADDLE_MIN
from .roster import Roster
from .score import Scores
from .server import Server, queue_of

FAIR_SHARE = 0.5  # a cut goes no lower than this share of what a server of the fleet answers
SADDLE_ANSWERS = 10  # the cubic is back at R0 after about this many answers
QUEUE_SATURATED = 2.0  # reported queue from which a server counts as saturated
SHUN_FIRST = 1_000_000  # how long a failing server is shunned at first; doubles with each failure
SHUN_MAX = 16_000_000
FULL_REST = 1_000_000  # how long a server is left alone that has turned a request away
NO_ROUTE_REST = 250_000  # how long one is left alone that this machine found no way to
STRIKES = 3  # failures in a row that shun a server; fewer come by chance where answers get spoilt
ERROR_ALPHA = 0.1  # EWMA weight of an attempt's failure or success: some ten attempts


class Health:
    """Turns outcomes into rates, rests and shuns."""

    def __init__(
        self, roster: Roster, scores: Scores, overload: Overload, draws: random.Random,
        figures: dict[str, int],
    ) -> None:  # fmt: skip
        self.roster, self.scores, self.overload = roster, scores, overload
        self.random, self.figures = draws, figures

    def learn(
        self, now: int, server: Server, status: str, latency: int, report: Report | None,
        sent: int | None,
    ) -> None:  # fmt: skip
        """An attempt at the server ended so; `sent` is when, where the server had all of it."""
        if status == OK:
            server.rate.received(now)
            self.overload.fleet.received(now)
            server.sent_seen = max(server.sent_seen, sent or 0)
            server.strikes = 0
            server.errors *= 1.0 - ERROR_ALPHA
            if server.failures:
                server.failures = server.shun_until = 0
            self.scores.answered(server, latency, report)
            queued = report is not None and queue_of(report) is not None
            if queued and server.q_bar > QUEUE_SATURATED:
                self.saturated(now, server)
            server.seen = now
        elif status == BUSY:
            self.scores.declined(now, server, report)
            self.saturated(now, server)
            # Guards against more of the same from one that drains or has just been crowded: at a
            # gateway to which little comes a token is always saved up, and no rate keeps it away.
            # It could harm where one server is all there is, so it is a handicap and no ban.
            rest = int(FULL_REST * (0.75 + 0.5 * self.random.random()))
            server.rest_until = now + rest
            self.roster.reach.review_at = 0
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
        elif status == NO_ROUTE:
            # It is this machine that failed: no sign of a bad server, but others may do meanwhile.
            server.rest_until = max(server.rest_until, now + NO_ROUTE_REST)
        elif status in (TIMEOUT, EXPIRED):
            if sent is not None and server.seen < sent:
                # Nothing came from it since: it is silent, not busy.
                self._shun(now, server)
            else:
                self.scores.timed_out(server, latency)
            self.saturated(now, server)

    def saturated(self, now: int, server: Server) -> None:
        """Cut the server's rate to what it answers."""
        rate = server.rate
        if now - rate.t_cut < rate.saddle and rate.srate != math.inf:
            return
        if self.overload.unmeasured(now):
            return
        # Danger: one that was sent little, as after a shun, has received little. That is no sign of
        # what it can take, and a rate cut to it takes many times its saddle to come back.
        fair = self.overload.fleet.measured(now) / max(1, self.roster.reach.size())
        r0 = max(rate.measured(now), FAIR_SHARE * fair, 1e6 / RATE_TAU)
        if rate.srate != math.inf and rate.srate < r0:
            return
        rate.cut(now, r0, max(SADDLE_MIN, SADDLE_ANSWERS / r0 * 1e6))
        server.t_token = now
        server.tokens = min(server.tokens, 1.0)

    def _shun(self, now: int, server: Server) -> None:
        """Outlier ejection: a while without requests, longer after each failed trial.

        Danger: all that was out at a server fails with it, which is one failure and not many.
        """
        if now < server.shun_until:
            return
        self.figures["shuns"] += 1
        self.roster.reach.review_at = 0
        server.failures = min(server.failures + 1, 8)
        wait = min(SHUN_FIRST << (server.failures - 1), SHUN_MAX)
        server.shun_until = now + int(wait * (0.75 + 0.5 * self.random.random()))
