"""C3's cubic score, and the averages it is computed from, by server and over the fleet.

The score of a server is the paper's psi: the response time minus the service time, plus the service
time times the cube of the estimated queue length (q_hat). The server with the lowest score wins.
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
TYPICAL_ALPHA: Final = 0.02  # EWMA weight of a sample in the fleet's typical values
REPORT_HALF_LIFE: Final = 1_500_000  # us; at this age a report and the typical value weigh the same
# Upper bound of the paper's n, for tiers with far more gateways than requests in a server's queue.
MAX_OUTSTANDING_WEIGHT: Final = 3.0
# Factors on psi.
AFFINITY_FACTOR: Final = 0.35  # for a key's replicas, which need less work for the key
CROSS_ZONE_WEIGHT: Final = 60.0  # for another zone: 1 + this * the price of crossing zones
ERROR_WEIGHT: Final = 15.0  # for a failing server: 1 + this * its error rate...
ERROR_WEIGHT_UNSAFE: Final = 45.0  # ...or this, if the request can't be retried after a failure
EJECTED_FACTOR: Final = 200.0  # so high that it is used only if all candidates are ejected
PROBATION_FACTOR: Final = 6.0  # after an ejection, for requests that may be repeated
MIN_ERROR_SHARE: Final = 0.01  # error rates up to this are ignored


class Scores:
    """The fleet's typical values, and the selection among candidates by score."""

    def __init__(self, settings: Settings) -> None:
        self.typical_service_times = [0.0] * KINDS  # by kind of server, in us
        self.typical_queue = 0.0
        self.typical_response_time = 0.0
        self.typical_service_time = 0.0
        self.reconfigure(settings)

    def reconfigure(self, settings: Settings) -> None:
        """Apply new settings."""
        self.settings = settings
        self.cross_zone_factor = 1.0 + CROSS_ZONE_WEIGHT * settings.cross_zone_price
        # With fewer gateways than the bound, this is the paper's n: the number of clients.
        self.outstanding_weight = min(float(settings.gateway_count), MAX_OUTSTANDING_WEIGHT)

    def best(  # noqa: C901 (one loop on the hot path: calls would cost more than the score)
        self, now: int, request: Request, candidates: list[Server]
    ) -> Server | None:
        """Return the candidate with the lowest psi that may get the request and has a token."""
        best = None
        lowest = math.inf
        healthy_lacks_token = False
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
                healthy_lacks_token = healthy_lacks_token or not server.ejections
                continue
            # If this were 0, as when the gateway starts, the first candidate would always win.
            typical_service = (
                self.typical_service_times[server.kind & 7] or self.typical_service_time or 1.0
            )
            if server.answered_at:
                # The older the server's last response, the more the typical values count.
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
                # A server that accepts requests and answers none sends no reports either, so the
                # time without a response counts as response time.
                silence = now - max(server.answered_at, next(iter(server.in_flight.values())))
                if silence > response > 0.0:
                    service *= silence / response
                    response = silence
            q_hat = 1.0 + server.outstanding * outstanding_weight + queue
            # When the gateway starts this is 0, and the factors below would have no effect.
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
                    psi *= PROBATION_FACTOR if repeatable else EJECTED_FACTOR
            if server.cooldown_until > now:
                psi *= EJECTED_FACTOR
            if has_affinity and rank < request.affinity_count:
                psi *= AFFINITY_FACTOR
            if psi < lowest or best is None:
                best = server
                lowest = psi
        # A failing server responds at once and never runs out of tokens. While a healthy server
        # will have a token soon, a failing one gets only a trial request that can be repeated.
        is_failing = (
            best is not None and best.ejections and (best.ejected_until > now or not repeatable)
        )
        return None if healthy_lacks_token and is_failing else best

    def on_response(self, server: Server, latency: int, report: LoadReport | None) -> None:
        """Update the averages by a response's time in microseconds and the server's report."""
        self.typical_response_time = _update_typical(self.typical_response_time, latency)
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
        self._update_typical_service(server.kind & 7, service)

    def on_rejection(self, now: int, server: Server, report: LoadReport | None) -> None:
        """Update the averages by a rejection: the server is loaded, not failing.

        Its queue estimate is raised above the typical one. A report that shows no queue does not
        lower it.
        """
        queue = report.queue_length or 0.0 if report is not None else 0.0
        server.queue_ewma = max(server.queue_ewma, queue, self.typical_queue) + 1.0
        if not server.answered_at:
            typical = self.typical_service_times[server.kind & 7]
            server.service_time_ewma = typical or self.typical_service_time
            server.response_time_ewma = self.typical_response_time
        server.answered_at = now

    def on_timeout(self, server: Server, latency: int) -> None:
        """Update the response time by an attempt that timed out at a busy server."""
        if server.answered_at:
            response = server.response_time_ewma
            server.response_time_ewma += ALPHA * (max(latency, response) - response)

    def _update_typical_service(self, kind: int, service: float) -> None:
        self.typical_service_times[kind] = _update_typical(
            self.typical_service_times[kind], service
        )
        self.typical_service_time = _update_typical(self.typical_service_time, service)


def _update_typical(typical: float, sample: float) -> float:
    """Return the updated EWMA of a typical value; the first sample if there is none yet."""
    return typical + TYPICAL_ALPHA * (sample - typical) if typical else float(sample)
