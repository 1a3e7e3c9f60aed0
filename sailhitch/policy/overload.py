"""Overload control: the request rate that the fleet takes from this gateway, and load shedding."""

from __future__ import annotations

import math
import random
from typing import Final

from ..settings import RequestClass, Settings
from .endpoint_table import EndpointTable
from .rate import BETA, SADDLE_MIN, CubicRate
from .request import Request

CLASS_ALPHA: Final = 0.05  # EWMA weight for a class's usual latency and work
UNMEASURED: Final = 500_000  # us after the fleet's first response without a rate to cut to
# A response after this share of its latency objective counts as late.
NEAR_LATE: Final = 0.6
# CUSUM: late responses beyond this share are evidence of overload once they add up to the sum.
LATE_SHARE: Final = 0.15
LATE_SUM: Final = 4.0
# The fleet's rate is back at R0 after the lesser of these: microseconds, and a multiple of the
# longest latency objective.
FLEET_SADDLE_MAX: Final = 3_000_000
SADDLE_OBJECTIVES: Final = 1.2
ARRIVAL_TAU: Final = 1_500_000  # us; window of the arrival rates
POST_STALL_WINDOW: Final = 50_000  # us after a stall in which requests from before it are read
MAX_SHED_SHARE: Final = 0.95  # without any responses nothing would show the end of an overload
FORGET_CUT_SADDLES: Final = 3  # saddles without a surplus after which the rate's limit is dropped
QUOTA_BURST: Final = 2.0  # s of a tenant's quota, and requests at least, that may come at once


class Overload:
    """The fleet's cubic rate, arrivals by priority and tenant, and how late responses are."""

    def __init__(
        self,
        settings: Settings,
        endpoint_table: EndpointTable,
        draws: random.Random,
        counters: dict[str, int],
    ) -> None:
        self.endpoint_table = endpoint_table
        self.random = draws
        self.counters = counters
        self.part = 1.0  # the share of the gateway's clients that come to this process
        self.fleet = CubicRate()
        self.late_sum = 0.0
        self.cut_capacity = 1.0  # of the fleet, when its rate was last cut
        self.arrivals_at = self.started_at = self.post_stall_until = 0
        self._count_from_nothing(0, settings)

    def _count_from_nothing(self, now: int, settings: Settings) -> None:
        """Use these settings, with all counts by class, priority or tenant at zero."""
        self.settings = settings
        self.class_latency = [0.0] * len(settings.classes)
        self.class_work = [0.0] * len(settings.classes)
        weights = {c.priority_weight for c in settings.classes}
        if settings.tenants:
            weights |= {weight * settings.over_quota_weight for weight in weights}
        self.priority_levels = sorted(weights)
        # Requests in the window by priority level: retries of clients, then first attempts.
        self.arrivals = [0.0] * (2 * len(self.priority_levels))
        self.tenant_tokens = [1.0] * len(settings.tenants)
        self.tenant_tokens_at = [now] * len(settings.tenants)
        longest = max(c.latency_objective for c in settings.classes)
        self.fleet_saddle = min(FLEET_SADDLE_MAX, max(SADDLE_MIN, int(SADDLE_OBJECTIVES * longest)))

    def adopt(self, now: int, settings: Settings) -> None:
        """Use new settings; counts are kept by name, those by priority at the nearest level."""
        class_index = {c.name: i for i, c in reversed(list(enumerate(self.settings.classes)))}
        tenant_index = {tenant.name: i for i, tenant in enumerate(self.settings.tenants)}
        class_latency = self.class_latency
        class_work = self.class_work
        tenant_tokens = self.tenant_tokens
        tenant_tokens_at = self.tenant_tokens_at
        levels = self.priority_levels
        arrivals = self.arrivals
        self._count_from_nothing(now, settings)
        for i, cls in enumerate(settings.classes):
            if cls.name in class_index:
                self.class_latency[i] = class_latency[class_index[cls.name]]
                self.class_work[i] = class_work[class_index[cls.name]]
        for i, tenant in enumerate(settings.tenants):
            if tenant.name in tenant_index:
                self.tenant_tokens[i] = tenant_tokens[tenant_index[tenant.name]]
                self.tenant_tokens_at[i] = tenant_tokens_at[tenant_index[tenant.name]]
        for rank, count in enumerate(arrivals):
            self.arrivals[2 * self._nearest_level(levels[rank // 2]) + rank % 2] += count

    def _nearest_level(self, weight: float) -> int:
        """Return the index of the priority level that is closest to a weight."""
        levels = self.priority_levels
        return min(range(len(levels)), key=lambda i: abs(levels[i] - weight))

    def share(self, part: float) -> float:
        """Set the share of clients that come to this process; return the factor of the change."""
        change = part / self.part
        self.part = part
        if change != 1.0:
            self.fleet.scale(change)
            self.arrivals = [count * change for count in self.arrivals]
        return change

    def limited(self) -> bool:
        """Return whether the fleet's rate is limited."""
        return self.fleet.send_rate != math.inf

    def comeback(self, now: int) -> int:
        """Return after how long a rejected client may retry, in microseconds.

        That is when the fleet takes R0 again, or later, spread at random.
        """
        most = self.settings.limits.max_retry_after if self.settings.limits.retry_after else 0
        room = self.fleet.cut_at + self.fleet_saddle - now if self.limited() else 0
        soonest = min(most, max(room, most // 4))
        return soonest + int(self.random.random() * (most - soonest))

    # --- Late responses

    def usual(self, request: Request) -> float:
        """Return the usual latency of a request's class; 0 if it is not known."""
        if request.class_index >= len(self.class_latency):
            return 0.0
        return self.class_latency[request.class_index]

    def unmeasured(self, now: int) -> bool:
        """Return whether too few responses have come to tell what the fleet takes.

        A burst right after the start may find servers full before any has answered. A cut to next
        to nothing would hold that rate for tens of seconds, with all servers idle.
        """
        begun = self.fleet.first_received_at or now
        return now - begun < UNMEASURED and now - self.started_at < 4 * UNMEASURED

    def judge(self, now: int, request: Request, latency: int) -> None:
        """Learn from a response to a client whether it was late, which steers load shedding."""
        if request.request_class not in self.settings.classes:
            return  # its class is gone from the settings
        cls = self.settings.classes.index(request.request_class)
        took = now - request.arrived_at
        old = self.class_latency[cls]
        if request.work:
            mean = self.class_work[cls]
            self.class_work[cls] += CLASS_ALPHA * (request.work - mean) if mean else request.work
        self.class_latency[cls] = old + CLASS_ALPHA * (latency - old) if old else latency
        request_class = request.request_class
        objective: float = request_class.latency_objective
        objective += request_class.objective_per_work * request.work
        # A request with more work than usual takes longer by itself, which is no sign of overload.
        mean = self.class_work[cls]
        heavy = max(1.0, request.work / mean) if mean else 1.0
        self.late(now, request, took > min(1.0, NEAR_LATE * heavy) * objective)

    def late(self, now: int, request: Request, late: bool) -> None:
        """Count a response as late or not; with too many late ones, cut the fleet's rate.

        Requests from before a cut go on being late after it, and must not cut again. Nor may the
        level depend on responses alone: where nearly all requests are shed, there are none.
        """
        fleet = self.fleet
        if request.arrived_at < max(fleet.cut_at, self.post_stall_until) or self.unmeasured(now):
            return
        self.late_sum = max(0.0, self.late_sum + late - LATE_SHARE)
        if self.late_sum < LATE_SUM:
            return
        self.late_sum = 0.0
        self.counters["cuts"] += 1
        # Soon after a start the windows are not full, and a rate read from them is low.
        full = 1.0 - math.exp((self.started_at - now) / ARRIVAL_TAU)
        taken = min(fleet.send_rate, sum(self.arrivals) / (ARRIVAL_TAU * max(full, 0.05)) * 1e6)
        fleet.cut(now, max(fleet.estimate(now), taken * (1.0 - BETA)), self.fleet_saddle)
        self.cut_capacity = self.endpoint_table.capacity(now)

    def _fleet_rate(self, now: int) -> float:
        """Return the rate that the fleet takes from this process, with servers that came since.

        R0 is what those took that were ready at the cut. Where half were draining then, it
        holds the fleet to half for many saddles after they are back.
        """
        more = max(1.0, self.endpoint_table.capacity(now) / max(1.0, self.cut_capacity))
        return self.fleet.grow(now) * more

    # --- Load shedding

    def sheds(self, now: int, cls: RequestClass, tenant: int, repeat: bool) -> bool:
        """Return whether a request is shed: lowest priority first, clients' retries before others.

        A client's retry has used up part of its time: it is more often late than a first attempt,
        and if it is rejected it comes back as one retry more.
        """
        weight = cls.priority_weight
        if self.settings.tenants and self._is_over_quota(now, tenant):
            weight *= self.settings.over_quota_weight
        rank = 2 * self.priority_levels.index(weight) + (not repeat)
        if not self.arrivals_at:
            self.started_at = now  # the window is empty until the first client comes
        fade = math.exp((self.arrivals_at - now) / ARRIVAL_TAU)
        self.arrivals_at = now
        arrivals = self.arrivals = [a * fade for a in self.arrivals]
        arrivals[rank] += 1.0
        fleet = self.fleet
        if fleet.send_rate == math.inf:
            return False
        total = sum(arrivals)
        surplus = total - self._fleet_rate(now) * ARRIVAL_TAU * 1e-6
        if surplus <= 0.0:
            if now - fleet.cut_at > FORGET_CUT_SADDLES * self.fleet_saddle:
                fleet.send_rate = math.inf
            return False
        surplus = min(surplus, MAX_SHED_SHARE * total) - sum(arrivals[:rank])
        return self.random.random() * arrivals[rank] < surplus

    def _is_over_quota(self, now: int, tenant: int) -> bool:
        """Return whether this tenant is over its quota, as far as this gateway can tell."""
        if tenant >= len(self.tenant_tokens):
            return False
        rate = self.settings.tenants[tenant].quota_per_s / self.settings.gateway_count * self.part
        tokens = self.tenant_tokens[tenant] + rate * (now - self.tenant_tokens_at[tenant]) * 1e-6
        tokens = min(tokens, max(QUOTA_BURST, rate * QUOTA_BURST))
        self.tenant_tokens_at[tenant] = now
        over = tokens < 1.0
        self.tenant_tokens[tenant] = tokens if over else tokens - 1.0
        return over
