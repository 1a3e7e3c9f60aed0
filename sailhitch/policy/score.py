"""C3's cubic score, and what it goes by: a server's own measurements and the fleet's typical ones.

The score of a server is the paper's psi: the response time less the service time, plus the service
time multiplied by the cube of the estimated queue (q_hat). The lowest wins.
"""

from __future__ import annotations

import math
from typing import Final

from ..policy_interface import LoadReport
from ..settings import Idempotency, Settings
from .request import Request
from .server import Server, queue_of
from .slow_start import KINDS

ALPHA: Final = 0.3  # EWMA weight of a new report or response
TYPICAL_ALPHA: Final = 0.02  # EWMA weight for the fleet's typical values
REPORT_HALF_LIFE: Final = 1_500_000  # us; a report this old weighs half, the typical value the rest
MAX_OUTSTANDING_WEIGHT: Final = 3.0  # the paper's n, where gateways far outnumber a server's queue
# Factors on psi.
AFFINITY_FACTOR: Final = 0.35  # of a key's first servers, which save work on it
CROSS_ZONE_WEIGHT: Final = 60.0  # of another zone: 1 + this * the crossing price
ERROR_WEIGHT: Final = 15.0  # 1 + this * the share of attempts that fail...
ERROR_WEIGHT_UNSAFE: Final = 45.0  # ...where a failure can't be made good by another attempt
EJECTED_FACTOR: Final = 200.0  # never the choice unless all candidates are ejected
ON_TRIAL_FACTOR: Final = 6.0  # after an ejection, for requests that may be repeated
MIN_ERROR_SHARE: Final = 0.01  # below it, failures do not count


class Scores:
    """The fleet's typical values, and the choice among candidates."""

    def __init__(self, settings: Settings) -> None:
        self.typical_service_times = [0.0] * KINDS  # by kind of server, in us
        self.typical_queue = 0.0
        self.typical_response_time = 0.0
        self.typical_service_time = 0.0
        self.adopt(settings)

    def adopt(self, settings: Settings) -> None:
        """Use new settings."""
        self.settings = settings
        self.cross_zone_factor = 1.0 + CROSS_ZONE_WEIGHT * settings.cross_zone_price
        # With fewer gateways than that, the paper's own n holds.
        self.outstanding_weight = min(float(settings.gateway_count), MAX_OUTSTANDING_WEIGHT)

    def best(  # noqa: C901 (one loop on the hot path: calls would cost more than the score)
        self, now: int, request: Request, candidates: list[Server]
    ) -> Server | None:
        """Return the candidate with the lowest psi that may get the request and has a token."""
        best = None
        lowest = math.inf
        waits = False
        typical_queue = self.typical_queue
        typical_response = self.typical_response_time
        outstanding_weight = self.outstanding_weight
        limits = self.settings.limits
        zone = self.settings.zone
        is_first_attempt = not request.attempts
        has_affinity = (
            is_first_attempt and request.key is not None and self.settings.has_key_affinity
        )
        repeatable = request.request_class.idempotency == Idempotency.SAFE
        for rank, server in enumerate(candidates):
            if not (is_first_attempt or request.may_send(now, server, limits)):
                continue
            if request.open_attempts and server is request.first_server:
                continue  # a hedged request goes to another server
            if server.rate.send_rate != math.inf and not server.refill_tokens(now):
                waits = waits or not server.ejections
                continue
            # At 0, as at a gateway's start, the first candidate would win every time.
            typical_service = (
                self.typical_service_times[server.kind & 7] or self.typical_service_time or 1.0
            )
            if server.answered_at:
                # The older a report is, the more the typical value counts.
                weight = REPORT_HALF_LIFE / (REPORT_HALF_LIFE + now - server.answered_at)
                queue = typical_queue + weight * (server.queue_ewma - typical_queue)
                service = typical_service + weight * (server.service_time_ewma - typical_service)
                response = typical_response + weight * (
                    server.response_time_ewma - typical_response
                )
            else:
                queue = typical_queue
                service = typical_service
                response = typical_response
            if server.outstanding:
                # Silence counts as slowness: a server that takes requests and answers none
                # reports nothing either.
                silent = now - max(server.answered_at, next(iter(server.in_flight.values())))
                if silent > response > 0.0:
                    service *= silent / response
                    response = silent
            q_hat = 1.0 + server.outstanding * outstanding_weight + queue
            # At a gateway's start this is 0, which no factor below would raise.
            psi = max(1.0, response - service + q_hat * q_hat * q_hat * service)
            if server.zone != zone:
                psi *= self.cross_zone_factor
            if server.error_ewma > MIN_ERROR_SHARE:
                error_weight = ERROR_WEIGHT if repeatable else ERROR_WEIGHT_UNSAFE
                psi *= 1.0 + error_weight * server.error_ewma
            if server.ejections:
                if server.ejected_until > now:
                    psi *= EJECTED_FACTOR
                else:
                    psi *= ON_TRIAL_FACTOR if repeatable else EJECTED_FACTOR
            if server.cooldown_until > now:
                psi *= EJECTED_FACTOR
            if has_affinity and rank < request.rank:
                psi *= AFFINITY_FACTOR
            if psi < lowest or best is None:
                best = server
                lowest = psi
        # A failing server answers at once and never runs out of tokens. While a healthy one will
        # have a token soon, only a trial that can be repeated goes to a failing one.
        failing = (
            best is not None and best.ejections and (best.ejected_until > now or not repeatable)
        )
        return None if waits and failing else best

    def answered(self, server: Server, latency: int, report: LoadReport | None) -> None:
        """Learn from a response: its time in microseconds, and the server's report."""
        self.typical_response_time = _average(self.typical_response_time, latency)
        is_first = not server.answered_at
        if is_first:
            server.response_time_ewma += latency
        else:
            server.response_time_ewma += ALPHA * (latency - server.response_time_ewma)
        if report is None:
            server.service_time_ewma = server.response_time_ewma
            return
        queue = queue_of(report)
        if queue is not None:
            server.queue_ewma += queue if is_first else ALPHA * (queue - server.queue_ewma)
            self.typical_queue += TYPICAL_ALPHA * (queue - self.typical_queue)
        service = latency if report.service_time is None else report.service_time
        if is_first:
            server.service_time_ewma += service
        else:
            server.service_time_ewma += ALPHA * (service - server.service_time_ewma)
        self._learn_typical_service(server.kind & 7, service)

    def declined(self, now: int, server: Server, report: LoadReport | None) -> None:
        """Learn from a rejection: the server is loaded, not failing.

        Its queue is what matters. Its report counts only where it says that there is a queue.
        """
        queue = report.queue_length or 0.0 if report is not None else 0.0
        server.queue_ewma = max(server.queue_ewma, queue, self.typical_queue) + 1.0
        if not server.answered_at:
            typical = self.typical_service_times[server.kind & 7]
            server.service_time_ewma = typical or self.typical_service_time
            server.response_time_ewma = self.typical_response_time
        server.answered_at = now

    def timed_out(self, server: Server, latency: int) -> None:
        """Learn from an attempt at a busy server that took too long."""
        if server.answered_at:
            response = server.response_time_ewma
            server.response_time_ewma += ALPHA * (max(latency, response) - response)

    def _learn_typical_service(self, kind: int, service: float) -> None:
        self.typical_service_times[kind] = _average(self.typical_service_times[kind], service)
        self.typical_service_time = _average(self.typical_service_time, service)


def _average(typical: float, value: float) -> float:
    """Return a typical value moved towards a new one; the first value if there is none yet."""
    return typical + TYPICAL_ALPHA * (value - typical) if typical else float(value)
