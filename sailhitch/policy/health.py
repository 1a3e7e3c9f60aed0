"""Health of servers: what the outcome of an attempt says of its server.

A server may be saturated (its rate is cut), in cooldown (it has rejected a request), or ejected as
an outlier (it fails).
"""

from __future__ import annotations

import math
import random
from typing import Final

from ..policy_interface import AttemptOutcome, LoadReport
from .endpoint_table import EndpointTable
from .overload import Overload
from .rate import RATE_TAU, SADDLE_MIN
from .score import Scores
from .server import Server, queue_of

# A cut goes no lower than this share of what a server of the fleet answers on average.
FAIR_SHARE: Final = 0.5
SADDLE_RESPONSES: Final = 10  # the cubic is back at R0 after about this many responses
SATURATED_QUEUE: Final = 2.0  # reported queue length from which a server counts as saturated
EJECTION_MIN: Final = 1_000_000  # us; doubles with each ejection
EJECTION_MAX: Final = 16_000_000  # us
MAX_EJECTIONS: Final = 8  # counted
BUSY_COOLDOWN: Final = 1_000_000  # us after a rejection
NO_ROUTE_COOLDOWN: Final = 250_000  # us after this machine found no route
# Consecutive failures that eject a server; with spoilt responses fewer come by chance.
FAILURES_TO_EJECT: Final = 3
ERROR_ALPHA: Final = 0.1  # EWMA weight of an attempt's failure or success


class Health:
    """Turns outcomes into rates, cooldowns and ejections."""

    def __init__(
        self,
        endpoint_table: EndpointTable,
        scores: Scores,
        overload: Overload,
        draws: random.Random,
        counters: dict[str, int],
    ) -> None:
        self.endpoint_table = endpoint_table
        self.scores = scores
        self.overload = overload
        self.random = draws
        self.counters = counters

    def learn(
        self,
        now: int,
        server: Server,
        outcome: AttemptOutcome,
        latency: int,
        report: LoadReport | None,
        sent: int | None,
    ) -> None:
        """Learn from an attempt's outcome.

        `sent` is when the attempt was sent, or None if the server had not received all of it.
        """
        if outcome == AttemptOutcome.OK:
            self._on_success(now, server, latency, report, sent)
        elif outcome == AttemptOutcome.BUSY:
            self._on_rejection(now, server, report)
        elif outcome in (AttemptOutcome.ERROR, AttemptOutcome.RESET):
            self._on_error(now, server)
        elif outcome == AttemptOutcome.CONNECT_FAILED:
            self._eject(now, server)
        elif outcome == AttemptOutcome.NO_ROUTE:
            # This machine failed, which says nothing of the server; others may do meanwhile.
            server.cooldown_until = max(server.cooldown_until, now + NO_ROUTE_COOLDOWN)
        elif outcome in (AttemptOutcome.TIMEOUT, AttemptOutcome.EXPIRED):
            self._on_timeout(now, server, latency, sent)

    def _on_success(
        self, now: int, server: Server, latency: int, report: LoadReport | None, sent: int | None
    ) -> None:
        server.rate.received(now)
        self.overload.fleet.received(now)
        server.answered_sent_at = max(server.answered_sent_at, sent or 0)
        server.consecutive_failures = 0
        server.error_ewma *= 1.0 - ERROR_ALPHA
        if server.ejections:
            server.ejections = 0
            server.ejected_until = 0
        self.scores.answered(server, latency, report)
        queued = report is not None and queue_of(report) is not None
        if queued and server.queue_ewma > SATURATED_QUEUE:
            self.saturated(now, server)
        server.answered_at = now

    def _on_rejection(self, now: int, server: Server, report: LoadReport | None) -> None:
        """Cut the rate, and prefer other servers for a while.

        At a gateway with little traffic a token is always saved up, so that no rate keeps requests
        from a server that drains. Where it is the only server it may still be used, so the
        cooldown is a handicap in the score and no ban.
        """
        self.scores.declined(now, server, report)
        self.saturated(now, server)
        cooldown = int(BUSY_COOLDOWN * self._jitter())
        server.cooldown_until = now + cooldown
        self.endpoint_table.reach.review_at = 0
        self.counters["rests"] += 1

    def _on_error(self, now: int, server: Server) -> None:
        """Count a failure; a quick error's short latency and empty queue are no sample.

        One failure among many responses is no sign of a bad server: where responses are spoilt at
        random, ejecting each server for its one failure would remove healthy capacity.
        """
        server.error_ewma += ERROR_ALPHA * (1.0 - server.error_ewma)
        server.consecutive_failures += 1
        is_known_good = server.answered_at and not server.ejections
        if server.consecutive_failures >= FAILURES_TO_EJECT or not is_known_good:
            self._eject(now, server)

    def _on_timeout(self, now: int, server: Server, latency: int, sent: int | None) -> None:
        if sent is not None and server.answered_at < sent:
            # It has answered nothing since: it is silent, not busy.
            self._eject(now, server)
        else:
            self.scores.timed_out(server, latency)
        self.saturated(now, server)

    def saturated(self, now: int, server: Server) -> None:
        """Cut the server's rate to what it answers."""
        rate = server.rate
        if now - rate.cut_at < rate.saddle and rate.send_rate != math.inf:
            return
        if self.overload.unmeasured(now):
            return
        # A server that was sent little, as after an ejection, has answered little. That says
        # nothing of its capacity, and a rate cut to it takes many saddles to recover.
        fair = self.overload.fleet.estimate(now) / max(1, self.endpoint_table.reach.size())
        rate_at_cut = max(rate.estimate(now), FAIR_SHARE * fair, 1e6 / RATE_TAU)
        if rate.send_rate != math.inf and rate.send_rate < rate_at_cut:
            return
        saddle = max(SADDLE_MIN, SADDLE_RESPONSES / rate_at_cut * 1e6)
        rate.cut(now, rate_at_cut, saddle)
        server.tokens_at = now
        server.tokens = min(server.tokens, 1.0)

    def _eject(self, now: int, server: Server) -> None:
        """Eject an outlier for a while that grows with each ejection.

        All attempts that are in flight at a server fail with it, which counts as one failure.
        """
        if now < server.ejected_until:
            return
        self.counters["shuns"] += 1
        self.endpoint_table.reach.review_at = 0
        server.ejections = min(server.ejections + 1, MAX_EJECTIONS)
        wait = min(EJECTION_MIN << (server.ejections - 1), EJECTION_MAX)
        server.ejected_until = now + int(wait * self._jitter())

    def _jitter(self) -> float:
        """Return a factor around 1, so that gateways do not return to a server together."""
        return 0.75 + 0.5 * self.random.random()
