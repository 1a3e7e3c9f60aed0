"""Builds the policy's settings from a state: numbers for classes, tenants, zones and cells.

A number is never reused within a process, because open requests and endpoints refer to it. A
removed class keeps its number, and gets it back if it is added again.
"""

from __future__ import annotations

from typing import Final

from ..settings import (
    Idempotency,
    Limits,
    RequestClass,
    Rules,
    Settings,
    Tenant,
)
from .schema import ClassSection, GatewaySection, OperatorFile

# Each class has one number for each idempotency, in this order.
EFFECTS: Final = (Idempotency.SAFE, Idempotency.KEYED, Idempotency.UNSAFE)
_EFFECTS_BY_NAME: Final = {
    "safe": Idempotency.SAFE,
    "keyed": Idempotency.KEYED,
    "unsafe": Idempotency.UNSAFE,
}
TICK: Final = 1000  # us
ANSWER_SLACK: Final = 20_000  # us
OVERLOAD_MULTIPLE: Final = 3.0
OVERLOAD_TIME: Final = 2_000_000  # us
OVER_QUOTA_WEIGHT: Final = 0.5
DEFAULT_DEADLINE: Final = 1_000_000  # us; used if the state has no classes
UNKNOWN_INDEX: Final = -1  # for one of several gateways, if its file sets no number
SAFE_METHODS: Final = frozenset({b"GET", b"HEAD", b"OPTIONS", b"TRACE"})  # RFC 9110, 9.2.1


class Numbers:
    """Assigns consecutive numbers to names, in the order of their first use."""

    def __init__(self) -> None:
        self._by_name: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._by_name)

    def number_of(self, name: str) -> int:
        """Return a name's number; assigns one at the first use."""
        return self._by_name.setdefault(name, len(self._by_name))

    def find(self, name: str) -> int | None:
        """Return a name's number, or None if it has none yet."""
        return self._by_name.get(name)


class Tables:
    """The classes, tenants, zones and cells of a state, by the policy's numbers."""

    def __init__(self, before: Tables | None, file: OperatorFile) -> None:
        """Assign numbers to the names in a state.

        Args:
            before: The previous tables. Their numbers are kept, and so are classes and tenants
                that the state no longer has, for the requests that were admitted under them.
            file: The state, as an operator file.
        """
        self.zones: Numbers = before.zones if before else Numbers()
        self.cells: Numbers = before.cells if before else Numbers()
        self._classes: Numbers = before._classes if before else Numbers()
        self._tenants: Numbers = before._tenants if before else Numbers()
        self._parts: dict[str, ClassSection] = dict(before._parts) if before else {}
        self._shares: dict[str, float] = dict(before._shares) if before else {}
        for part in file.classes:
            self._classes.number_of(part.name)
            self._parts[part.name] = part
        for tenant in file.tenants:
            self._tenants.number_of(tenant.name)
            self._shares[tenant.name] = tenant.share

    def settings(self, gateway: GatewaySection) -> Settings:
        """Return the policy settings, which are the same for all pools."""
        classes = tuple(
            _request_class(part, effect) for part in self._parts.values() for effect in EFFECTS
        )
        default_index = 0 if gateway.gateways == 1 else UNKNOWN_INDEX
        return Settings(
            gateway_index=default_index if gateway.number is None else gateway.number,
            gateway_count=gateway.gateways,
            zone=self.zones.number_of(gateway.zone),
            tick=TICK,
            classes=classes,
            tenants=self._quotas(gateway.rate),
            over_quota_weight=OVER_QUOTA_WEIGHT,
            limits=Limits(
                max_attempts=gateway.max_attempts,
                may_duplicate=False,
                cancel=True,
                probes=False,
                peers=False,
                retry_after=True,
                max_retry_after=gateway.retry_after,
            ),
            rules=Rules(
                answer_slack=ANSWER_SLACK,
                drain_grace=gateway.drain_grace,
                slow_start_share=gateway.cold_share,
                slow_start_time=gateway.cold_time,
                overload_multiple=OVERLOAD_MULTIPLE,
                overload_time=OVERLOAD_TIME,
                watch_within=0,
            ),
            needs_watch=False,
            has_key_affinity=False,
            cross_zone_price=0.0,
        )

    def _quotas(self, rate: float | None) -> tuple[Tenant, ...]:
        """Return each tenant's quota, its share of the tier's rate; empty without a rate."""
        if rate is None:
            return ()
        return tuple(Tenant(name, share * rate) for name, share in self._shares.items())

    def longest_deadline(self) -> int:
        """Return the longest deadline of all classes, in us."""
        return max((part.deadline for part in self._parts.values()), default=DEFAULT_DEADLINE)

    def class_part(self, name: str) -> ClassSection:
        """Return a class as configured in the file."""
        return self._parts[name]

    def tenant(self, name: str) -> int:
        """Return a tenant's number; for a tenant of no state so far, the first unused number."""
        known = self._tenants.find(name)
        return len(self._tenants) if known is None else known

    def classify(self, name: str, method: bytes, keyed: bool) -> tuple[int, str]:
        """Return the number and idempotency of a request of a class.

        If the file sets no effect, safe methods are safe (RFC 9110, 9.2.1), requests with an
        Idempotency-Key are keyed, and all others are unsafe. If it does, a client can only make
        its request less repeatable, by sending no key.
        """
        effect = request_idempotency(self._parts[name].effect, method, keyed)
        return len(EFFECTS) * self._classes.number_of(name) + EFFECTS.index(effect), effect


def request_idempotency(configured: str | None, method: bytes, keyed: bool) -> Idempotency:
    """Return a request's idempotency, from its class's configured effect, its method and key."""
    if configured is None:
        if method in SAFE_METHODS:
            return Idempotency.SAFE
        return Idempotency.KEYED if keyed else Idempotency.UNSAFE
    effect = _EFFECTS_BY_NAME[configured]
    return Idempotency.UNSAFE if effect == Idempotency.KEYED and not keyed else effect


def _request_class(part: ClassSection, effect: Idempotency) -> RequestClass:
    return RequestClass(
        name=f"{part.name}:{effect}",
        priority_weight=part.worth,
        latency_objective=part.aim,
        deadline=part.deadline,
        late_weight=part.late_worth,
        idempotency=effect,
        idempotency_scope="all" if part.dedup == "pool" else part.dedup,
        idempotency_window=part.dedup_window(),
        stream=False,
        objective_per_work=0.0,
    )
