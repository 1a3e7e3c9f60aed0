"""Server health: updates a server's state by the outcomes of attempts.

A server may be saturated (its send rate is cut), in cooldown after it has rejected a request, or
ejected as an outlier because it fails.
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

# Lower bound of a cut rate, as a share of the average response rate per server.
FAIR_SHARE: Final = 0.5
SADDLE_RESPONSES: Final = 10  # the cubic returns to R0 after about this many responses
SATURATED_QUEUE: Final = 2.0  # reported queue length from which a server counts as saturated
EJECTION_MIN: Final = 1_000_000  # us; doubles with each consecutive ejection
EJECTION_MAX: Final = 16_000_000  # us
MAX_EJECTIONS: Final = 8  # consecutive ejections that are counted
BUSY_COOLDOWN: Final = 1_000_000  # us after a server rejected a request
NO_ROUTE_COOLDOWN: Final = 250_000  # us after this machine had no port or route to a server
# Consecutive failures that eject a server. If responses fail at random, shorter runs are common.
FAILURES_TO_EJECT: Final = 3
ERROR_ALPHA: Final = 0.1  # EWMA weight of one attempt in the error rate


class Health:
    """Updates send rates, cooldowns and ejections by the outcomes of attempts."""

    def __init__(
        self,
        endpoint_table: EndpointTable,
        scores: Scores,
        overload: Overload,
        rng: random.Random,
        counters: dict[str, int],
    ) -> None:
        self.endpoint_table = endpoint_table
        self.scores = scores
        self.overload = overload
        self.random = rng
        self.counters = counters

    def record_outcome(
        self,
        now: int,
        server: Server,
        outcome: AttemptOutcome,
        latency: int,
        report: LoadReport | None,
        sent: int | None,
    ) -> None:
        """Update the server's state by an attempt's outcome.

        `sent` is when the attempt was sent, or None if its body had not been sent completely.
        """
        if outcome == AttemptOutcome.OK:
            self._on_success(now, server, latency, report, sent)
        elif outcome == AttemptOutcome.BUSY:
            self._on_rejection(now, server, report)
        elif outcome in (AttemptOutcome.ERROR, AttemptOutcome.RESET):
            self._on_error(now, server)
        elif outcome in (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.STALLED):
            self._eject(now, server)
        elif outcome == AttemptOutcome.NO_ROUTE:
            # The fault is this machine's and not the server's; other servers may be reachable.
            server.cooldown_until = max(server.cooldown_until, now + NO_ROUTE_COOLDOWN)
        elif outcome in (AttemptOutcome.TIMEOUT, AttemptOutcome.EXPIRED):
            self._on_timeout(now, server, latency, sent)

    def _on_success(
        self, now: int, server: Server, latency: int, report: LoadReport | None, sent: int | None
    ) -> None:
        server.rate.count_response(now)
        self.overload.fleet.count_response(now)
        server.answered_sent_at = max(server.answered_sent_at, sent or 0)
        server.consecutive_failures = 0
        server.error_ewma *= 1.0 - ERROR_ALPHA
        if server.ejections:
            server.ejections = 0
            server.ejected_until = 0
        self.scores.on_response(server, latency, report)
        queued = report is not None and queue_of(report) is not None
        if queued and server.queue_ewma > SATURATED_QUEUE:
            self.on_saturated(now, server)
        server.answered_at = now

    def _on_rejection(self, now: int, server: Server, report: LoadReport | None) -> None:
        """Cut the rate, and prefer other servers during a cooldown.

        A gateway with little traffic always has a token left, so the rate alone would not keep
        requests away from a draining server. If it is the only server it may still be used, so the
        cooldown is a penalty in the score and not an exclusion.
        """
        self.scores.on_rejection(now, server, report)
        self.on_saturated(now, server)
        cooldown = int(BUSY_COOLDOWN * self._jitter())
        server.cooldown_until = now + cooldown
        self.endpoint_table.subsetter.review_at = 0
        self.counters["rests"] += 1

    def _on_error(self, now: int, server: Server) -> None:
        """Count a failure. The latency and queue of an error response are not recorded.

        Errors often come quickly and would make the server look fast and idle. One failure among
        many responses does not eject a server: if responses fail at random, ejecting a server for
        each failure would remove healthy capacity.
        """
        server.error_ewma += ERROR_ALPHA * (1.0 - server.error_ewma)
        server.consecutive_failures += 1
        is_known_good = server.answered_at and not server.ejections
        if server.consecutive_failures >= FAILURES_TO_EJECT or not is_known_good:
            self._eject(now, server)

    def _on_timeout(self, now: int, server: Server, latency: int, sent: int | None) -> None:
        if sent is not None and server.answered_at < sent:
            # It has answered nothing since then: it is unresponsive, not merely busy.
            self._eject(now, server)
        else:
            self.scores.on_timeout(server, latency)
        self.on_saturated(now, server)

    def on_saturated(self, now: int, server: Server) -> None:
        """Cut the server's send rate to its measured response rate."""
        rate = server.rate
        if now - rate.cut_at < rate.saddle and rate.send_rate != math.inf:
            return
        if self.overload.lacks_measurements(now):
            return
        # A server that was sent little, as after an ejection, has answered little whatever its
        # capacity. A rate cut to that would take many saddles to recover.
        fair_rate = self.overload.fleet.estimate(now) / max(1, self.endpoint_table.subsetter.size())
        rate_at_cut = max(rate.estimate(now), FAIR_SHARE * fair_rate, 1e6 / RATE_TAU)
        if rate.send_rate != math.inf and rate.send_rate < rate_at_cut:
            return
        saddle = max(SADDLE_MIN, SADDLE_RESPONSES / rate_at_cut * 1e6)
        rate.cut(now, rate_at_cut, saddle)
        server.tokens_at = now
        server.tokens = min(server.tokens, 1.0)

    def _eject(self, now: int, server: Server) -> None:
        """Eject a server, for twice as long with each consecutive ejection.

        All attempts in flight at a failing server fail together and cause a single ejection.
        """
        if now < server.ejected_until:
            return
        self.counters["shuns"] += 1
        self.endpoint_table.subsetter.review_at = 0
        server.ejections = min(server.ejections + 1, MAX_EJECTIONS)
        duration = min(EJECTION_MIN << (server.ejections - 1), EJECTION_MAX)
        server.ejected_until = now + int(duration * self._jitter())

    def _jitter(self) -> float:
        """Return a random factor around 1, so that gateways don't return to a server together."""
        return 0.75 + 0.5 * self.random.random()
