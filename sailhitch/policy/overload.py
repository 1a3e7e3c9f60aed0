"""Overload control: the request rate that the fleet accepts from this gateway, and shedding."""

from __future__ import annotations

import math
import random
from typing import Final

from ..settings import RequestClass, Settings
from .endpoint_table import EndpointTable
from .rate import BETA, SADDLE_MIN, CubicRate
from .request import Request

CLASS_ALPHA: Final = 0.05  # EWMA weight for a class's usual latency and work
MEASUREMENT_TIME: Final = 500_000  # us from the fleet's first response until rates may be cut
# A response that takes longer than this share of its latency objective counts as late.
LATE_OBJECTIVE_SHARE: Final = 0.6
# CUSUM detector: late responses in excess of this share are summed up, and the fleet counts as
# overloaded once the sum reaches its limit.
TOLERATED_LATE_SHARE: Final = 0.15
LATE_SUM_LIMIT: Final = 4.0
# The fleet's rate returns to R0 after the lesser of these: a time in microseconds, and a multiple
# of the longest latency objective.
FLEET_SADDLE_MAX: Final = 3_000_000
SADDLE_OBJECTIVES: Final = 1.2
ARRIVAL_TAU: Final = 1_500_000  # us; time constant of the arrival rates
POST_STALL_WINDOW: Final = 50_000  # us after a stall in which requests that came during it are read
MAX_SHED_SHARE: Final = 0.95  # some requests must pass, or the end of an overload would not show
LIMIT_RELEASE_SADDLES: Final = 3  # saddles after a cut until the limit may be lifted
QUOTA_BURST: Final = 2.0  # burst allowed to a tenant, in seconds of quota; at least 2 requests


class Overload:
    """The fleet's cubic rate, arrivals by priority and tenant, and the detector of overload."""

    def __init__(
        self,
        settings: Settings,
        endpoint_table: EndpointTable,
        rng: random.Random,
        counters: dict[str, int],
    ) -> None:
        self.endpoint_table = endpoint_table
        self.random = rng
        self.counters = counters
        self.client_share = 1.0  # share of the gateway's clients that are connected to this process
        self.fleet = CubicRate()
        self.late_sum = 0.0
        self.capacity_at_cut = 1.0  # of the fleet at its last rate cut, in warm servers
        self.arrivals_at = self.started_at = self.post_stall_until = 0
        self.stalled_time = 0  # us, of all stalls of this process
        self._reset_counts(0, settings)

    def _reset_counts(self, now: int, settings: Settings) -> None:
        """Apply settings, and reset all counts by class, priority and tenant."""
        self.settings = settings
        self.class_latency = [0.0] * len(settings.classes)
        self.class_work = [0.0] * len(settings.classes)
        weights = {c.priority_weight for c in settings.classes}
        if settings.tenants:
            weights |= {weight * settings.over_quota_weight for weight in weights}
        self.priority_levels = sorted(weights)
        # Requests in the window, by priority level; for each level, clients' retries come before
        # first attempts.
        self.arrivals = [0.0] * (2 * len(self.priority_levels))
        self.tenant_tokens = [1.0] * len(settings.tenants)
        self.tenant_tokens_at = [now] * len(settings.tenants)
        longest = max(c.latency_objective for c in settings.classes)
        self.fleet_saddle = min(FLEET_SADDLE_MAX, max(SADDLE_MIN, int(SADDLE_OBJECTIVES * longest)))

    def reconfigure(self, now: int, settings: Settings) -> None:
        """Apply new settings. Counts are kept by name; by priority, at the nearest level."""
        class_index = {c.name: i for i, c in reversed(list(enumerate(self.settings.classes)))}
        tenant_index = {tenant.name: i for i, tenant in enumerate(self.settings.tenants)}
        class_latency = self.class_latency
        class_work = self.class_work
        tenant_tokens = self.tenant_tokens
        tenant_tokens_at = self.tenant_tokens_at
        levels = self.priority_levels
        arrivals = self.arrivals
        self._reset_counts(now, settings)
        for i, cls in enumerate(settings.classes):
            if cls.name in class_index:
                self.class_latency[i] = class_latency[class_index[cls.name]]
                self.class_work[i] = class_work[class_index[cls.name]]
        for i, tenant in enumerate(settings.tenants):
            if tenant.name in tenant_index:
                self.tenant_tokens[i] = tenant_tokens[tenant_index[tenant.name]]
                self.tenant_tokens_at[i] = tenant_tokens_at[tenant_index[tenant.name]]
        for arrival_index, count in enumerate(arrivals):
            self.arrivals[
                2 * self._nearest_level(levels[arrival_index // 2]) + arrival_index % 2
            ] += count

    def _nearest_level(self, weight: float) -> int:
        """Return the index of the priority level closest to a weight."""
        levels = self.priority_levels
        return min(range(len(levels)), key=lambda i: abs(levels[i] - weight))

    def set_client_share(self, share: float) -> float:
        """Set this process's share of the clients; return the ratio of the new share to the old."""
        ratio = share / self.client_share
        self.client_share = share
        if ratio != 1.0:
            self.fleet.scale(ratio)
            self.arrivals = [count * ratio for count in self.arrivals]
        return ratio

    def is_limited(self) -> bool:
        """Return whether the fleet's send rate is limited."""
        return self.fleet.send_rate != math.inf

    def retry_delay(self, now: int) -> int:
        """Return the delay after which a rejected client should retry, in microseconds.

        The fleet's rate should be back at R0 by then, unless the settings limit the delay to less.
        The delay is random, so that clients don't return together.
        """
        max_delay = self.settings.limits.max_retry_after if self.settings.limits.retry_after else 0
        time_to_recovery = self.fleet.cut_at + self.fleet_saddle - now if self.is_limited() else 0
        min_delay = min(max_delay, max(time_to_recovery, max_delay // 4))
        return min_delay + int(self.random.random() * (max_delay - min_delay))

    # --- Late responses

    def record_stall(self, now: int, duration: int) -> None:
        """Record that this process was stalled until now, for `duration` microseconds.

        Responses that were outstanding during the stall, and requests read right after it, are late
        because of the stall and are no evidence of overload. If they were counted, one stall would
        make the gateway shed load for seconds.
        """
        self.stalled_time += duration
        self.post_stall_until = now + POST_STALL_WINDOW

    def record_request(self, arrived: int, request: Request) -> None:
        """Record how the arrival of a request is related to stalls of this process."""
        request.stalled_before = self.stalled_time
        request.follows_stall = arrived < self.post_stall_until

    def _is_delayed_by_stalls(self, now: int, request: Request) -> bool:
        """Return whether a request's time is no evidence, because of stalls of this process.

        Either it was read with all that came in a stall, or this process was stalled for longer
        than it ran. A shorter stall does not count: a series of them must not hide an overload.
        """
        stalled_time = self.stalled_time - request.stalled_before
        return request.follows_stall or stalled_time > (now - request.arrived_at) // 2

    def usual_latency(self, request: Request) -> float:
        """Return the usual latency of a request's class in microseconds; 0 if unknown."""
        if request.class_index >= len(self.class_latency):
            return 0.0
        return self.class_latency[request.class_index]

    def lacks_measurements(self, now: int) -> bool:
        """Return whether there are too few responses yet to estimate what the fleet can handle.

        In a burst right after the start, servers may be full before any has answered. Rates would
        be cut to nearly zero and stay there for tens of seconds while all servers are idle.
        """
        first_response_at = self.fleet.first_received_at or now
        return (
            now - first_response_at < MEASUREMENT_TIME
            and now - self.started_at < 4 * MEASUREMENT_TIME
        )

    def record_latency(self, now: int, request: Request, latency: int) -> None:
        """Update the class's usual latency and work, and count whether this response was late."""
        if request.request_class not in self.settings.classes:
            return  # its class was removed from the settings
        cls = self.settings.classes.index(request.request_class)
        elapsed = now - request.arrived_at - (self.stalled_time - request.stalled_before)
        old = self.class_latency[cls]
        if request.work:
            usual_work = self.class_work[cls]
            self.class_work[cls] += (
                CLASS_ALPHA * (request.work - usual_work) if usual_work else request.work
            )
        self.class_latency[cls] = old + CLASS_ALPHA * (latency - old) if old else latency
        request_class = request.request_class
        objective: float = request_class.latency_objective
        objective += request_class.objective_per_work * request.work
        # A request with more work than usual takes longer without any overload.
        usual_work = self.class_work[cls]
        work_ratio = max(1.0, request.work / usual_work) if usual_work else 1.0
        self.record_lateness(
            now, request, elapsed > min(1.0, LATE_OBJECTIVE_SHARE * work_ratio) * objective
        )

    def record_lateness(self, now: int, request: Request, is_late: bool) -> None:
        """Count a response as late or not; if too many are late, cut the fleet's rate.

        Requests that arrived before a cut may still be late after it, and must not cause another.
        Nor may the rate depend on responses alone: when nearly all requests are shed, there are
        hardly any.
        """
        fleet = self.fleet
        if request.arrived_at < fleet.cut_at or self.lacks_measurements(now):
            return
        if self._is_delayed_by_stalls(now, request):
            return
        self.late_sum = max(0.0, self.late_sum + is_late - TOLERATED_LATE_SHARE)
        if self.late_sum < LATE_SUM_LIMIT:
            return
        self.late_sum = 0.0
        self.counters["cuts"] += 1
        # Soon after the start the window is not full, and would underestimate the rate.
        window_share = 1.0 - math.exp((self.started_at - now) / ARRIVAL_TAU)
        accepted_rate = min(
            fleet.send_rate, sum(self.arrivals) / (ARRIVAL_TAU * max(window_share, 0.05)) * 1e6
        )
        fleet.cut(now, max(fleet.estimate(now), accepted_rate * (1.0 - BETA)), self.fleet_saddle)
        self.capacity_at_cut = self.endpoint_table.capacity(now)

    def _fleet_rate(self, now: int) -> float:
        """Return the rate that the fleet accepts, scaled up for servers added since the cut.

        R0 was measured with the servers that were ready at the cut. If half of them were draining
        then, R0 alone would limit the fleet to half its capacity for many saddles after their
        return.
        """
        growth = max(1.0, self.endpoint_table.capacity(now) / max(1.0, self.capacity_at_cut))
        return self.fleet.grow(now) * growth

    # --- Load shedding

    def should_shed(self, now: int, cls: RequestClass, tenant: int, repeat: bool) -> bool:
        """Return whether to shed a request: lowest priority first, clients' retries before others.

        A client's retry has used up part of its deadline, so it is more often late than a first
        attempt. If a first attempt is rejected instead, it comes back as one more retry.
        """
        weight = cls.priority_weight
        if self.settings.tenants and self._is_over_quota(now, tenant):
            weight *= self.settings.over_quota_weight
        arrival_index = 2 * self.priority_levels.index(weight) + (not repeat)
        if not self.arrivals_at:
            self.started_at = now  # the window is empty until the first request arrives
        decay = math.exp((self.arrivals_at - now) / ARRIVAL_TAU)
        self.arrivals_at = now
        arrivals = self.arrivals = [a * decay for a in self.arrivals]
        arrivals[arrival_index] += 1.0
        fleet = self.fleet
        if fleet.send_rate == math.inf:
            return False
        total = sum(arrivals)
        surplus = total - self._fleet_rate(now) * ARRIVAL_TAU * 1e-6
        if surplus <= 0.0:
            if now - fleet.cut_at > LIMIT_RELEASE_SADDLES * self.fleet_saddle:
                fleet.send_rate = math.inf
            return False
        surplus = min(surplus, MAX_SHED_SHARE * total) - sum(arrivals[:arrival_index])
        return self.random.random() * arrivals[arrival_index] < surplus

    def _is_over_quota(self, now: int, tenant: int) -> bool:
        """Count a request against its tenant's quota; return whether the tenant is over it.

        This process enforces its share of the quota, which covers all gateways together.
        """
        if tenant >= len(self.tenant_tokens):
            return False
        rate = (
            self.settings.tenants[tenant].quota_per_s
            / self.settings.gateway_count
            * self.client_share
        )
        tokens = self.tenant_tokens[tenant] + rate * (now - self.tenant_tokens_at[tenant]) * 1e-6
        tokens = min(tokens, max(QUOTA_BURST, rate * QUOTA_BURST))
        self.tenant_tokens_at[tenant] = now
        is_over_quota = tokens < 1.0
        self.tenant_tokens[tenant] = tokens if is_over_quota else tokens - 1.0
        return is_over_quota
