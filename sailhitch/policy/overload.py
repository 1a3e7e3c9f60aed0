"""What the fleet as a whole takes from this gateway, and what is refused at the door."""

from __future__ import annotations

import math
import random

from ..settings import RequestClass, Settings
from .rate import BETA, SADDLE_MIN, CubicRate
from .request import Request
from .roster import Roster

CLASS_ALPHA = 0.05  # EWMA weight for a class's usual latency and work
UNMEASURED = 500_000  # so long after the fleet's first answer no rate is known to cut to
NEAR_LATE = 0.6  # an answer after this share of its aim counts: the sign must come before the harm
LATE_SHARE = 0.15  # answers too late beyond this share are evidence of overload...
LATE_SUM = 4.0  # ...once they add up to this many: CUSUM, so that few answers suffice at any rate
FLEET_SADDLE = 3_000_000  # the fleet's rate is back at R0 after this at the most...
SADDLE_AIMS = 1.2  # ...and after this multiple of the longest aim: about two answers' time
ARRIVAL_TAU = 1_500_000  # window of the rates of arrival
RUSH = 50_000  # so long after a pause of the gateway's own it reads what had come meanwhile
SHED_MOST = 0.95  # so much is shed at the most: without answers nothing shows that it is over


class Overload:
    """The fleet's cubic rate, what arrives by worth and tenant, and how late answers are."""

    def __init__(
        self, settings: Settings, roster: Roster, draws: random.Random, figures: dict[str, int]
    ) -> None:
        self.roster, self.random, self.figures = roster, draws, figures
        self.part = 1.0  # of what comes to the gateway
        self.fleet = CubicRate()
        self.late_sum = 0.0
        self.cut_capacity = 1.0  # of the fleet, when its rate was last cut
        self.t_arrival = self.t_start = self.t_rush = 0
        self._count_from_nothing(0, settings)

    def _count_from_nothing(self, now: int, settings: Settings) -> None:
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

    def adopt(self, now: int, settings: Settings) -> None:
        """New settings: counts by class or tenant stay by name, those by worth at the nearest."""
        usual = {c.name: i for i, c in reversed(list(enumerate(self.settings.classes)))}
        tokens = {t.name: i for i, t in enumerate(self.settings.tenants)}
        before = (self.class_r, self.class_work, self.tenant_tokens, self.tenant_t)
        worths, arrivals = self.worths, self.arrivals
        self._count_from_nothing(now, settings)
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

    def share(self, part: float) -> float:
        """This part of what comes to the gateway comes here; how that has changed."""
        change, self.part = part / self.part, part
        if change != 1.0:
            self.fleet.scale(change)
            self.arrivals = [count * change for count in self.arrivals]
        return change

    def limited(self) -> bool:
        """Whether the fleet takes less than all, as far as is known."""
        return self.fleet.srate != math.inf

    def comeback(self, now: int) -> int:
        """In how long a refused client finds room: when the fleet takes R0 again, or later."""
        most = self.settings.limits.max_retry_after if self.settings.limits.retry_after else 0
        room = self.fleet.t_cut + self.fleet_saddle - now if self.limited() else 0
        soonest = min(most, max(room, most // 4))
        return soonest + int(self.random.random() * (most - soonest))

    # --- How late answers are

    def usual(self, request: Request) -> float:
        """The usual latency of a request's class; 0 where it is not known."""
        return self.class_r[request.at] if request.at < len(self.class_r) else 0.0

    def unmeasured(self, now: int) -> bool:
        """Whether too little has been answered to tell what the fleet takes.

        Danger: a rush right after the start finds servers full before any has answered. Each cut
        to next to nothing then holds that rate for tens of seconds, with all servers idle.
        """
        begun = self.fleet.begun or now
        return now - begun < UNMEASURED and now - self.t_start < 4 * UNMEASURED

    def judge(self, now: int, request: Request, latency: int) -> None:
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
        self.late(now, request, took > min(1.0, NEAR_LATE * heavy) * aim)

    def late(self, now: int, request: Request, late: bool) -> None:
        """Too many answers come too late: cut the rate of the whole fleet.

        Danger: what was taken in before a cut goes on coming late after it, and must not cut
        again. Nor may the level hang on answers alone: where nearly all is shed, none come.
        """
        fleet = self.fleet
        if request.arrived < max(fleet.t_cut, self.t_rush) or self.unmeasured(now):
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
        self.cut_capacity = self.roster.capacity(now)

    def _fleet_rate(self, now: int) -> float:
        """What the fleet takes from this process: the cubic's rate, with the servers come since.

        Danger: R0 is what those took that were ready at the cut. Where half were draining then, it
        holds the fleet to half for many saddles after they are back.
        """
        more = max(1.0, self.roster.capacity(now) / max(1.0, self.cut_capacity))
        return self.fleet.grow(now) * more

    # --- At the door: worth first

    def sheds(self, now: int, cls: RequestClass, tenant: int, repeat: bool) -> bool:
        """Whether a request is refused at the door: least worth first, repeats before first tries.

        Danger: a client's repeat has used up part of its time. Served instead of a first try it
        is more often late, and its refusal comes back as one repeat more.
        """
        worth = cls.worth
        if self.settings.tenants and self._over_share(now, tenant):
            worth *= self.settings.over_share_worth
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
