"""The module's settings from a state: classes, tenants, zones and cells by number.

Numbers stay what they are for the life of the process, as open requests and hosts are known by
them. A class that is removed keeps its number, and gets it back if it ever returns.
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
from .schema import ClassPart, GatewayPart, OperatorFile

EFFECTS: Final = (
    Idempotency.SAFE,
    Idempotency.KEYED,
    Idempotency.UNSAFE,
)  # of each class there is one of each, in this order
_STATED: Final = {
    "safe": Idempotency.SAFE,
    "keyed": Idempotency.KEYED,
    "unsafe": Idempotency.UNSAFE,
}
ANSWER_SLACK: Final = 20_000
FALL_MULTIPLE: Final = 3.0
FALL_TIME: Final = 2_000_000
SAFE_METHODS: Final = frozenset({b"GET", b"HEAD", b"OPTIONS", b"TRACE"})  # RFC 9110, 9.2.1


class Numbers:
    """Numbers for names, given in the order in which they are first asked for."""

    def __init__(self) -> None:
        self._known: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._known)

    def of(self, name: str) -> int:
        return self._known.setdefault(name, len(self._known))

    def known(self, name: str) -> int | None:
        return self._known.get(name)


class Tables:
    """All that the module knows by number, as of one state.

    `before` are the tables that held until then: numbers go on from theirs, and what the file does
    not name any more stays as it was for those who were taken in under it.
    """

    def __init__(self, before: Tables | None, made: OperatorFile) -> None:
        self.zones: Numbers = before.zones if before else Numbers()
        self.cells: Numbers = before.cells if before else Numbers()
        self._classes: Numbers = before._classes if before else Numbers()
        self._tenants: Numbers = before._tenants if before else Numbers()
        self._parts: dict[str, ClassPart] = dict(before._parts) if before else {}
        self._shares: dict[str, float] = dict(before._shares) if before else {}
        for part in made.classes:
            self._classes.of(part.name)
            self._parts[part.name] = part
        for tenant in made.tenants:
            self._tenants.of(tenant.name)
            self._shares[tenant.name] = tenant.share

    def settings(self, gateway: GatewayPart) -> Settings:
        """Return what every pool's module is told."""
        classes = tuple(
            _request_class(part, effect) for part in self._parts.values() for effect in EFFECTS
        )
        alone = 0 if gateway.gateways == 1 else -1
        return Settings(
            gateway_index=alone if gateway.number is None else gateway.number,
            gateway_count=gateway.gateways,
            zone=self.zones.of(gateway.zone),
            tick=1000,
            classes=classes,
            tenants=self._quotas(gateway.rate),
            over_quota_weight=0.5,
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
                overload_multiple=FALL_MULTIPLE,
                overload_time=FALL_TIME,
                watch_within=0,
            ),
            needs_watch=False,
            has_key_affinity=False,
            cross_zone_price=0.0,
        )

    def _quotas(self, rate: float | None) -> tuple[Tenant, ...]:
        """A share is a part of the rate of the whole tier; without one nobody is over theirs."""
        if rate is None:
            return ()
        return tuple(Tenant(name, share * rate) for name, share in self._shares.items())

    def longest_deadline(self) -> int:
        return max((part.deadline for part in self._parts.values()), default=1_000_000)

    def class_part(self, name: str) -> ClassPart:
        return self._parts[name]

    def tenant(self, name: str) -> int:
        """Return a tenant's number; one that nobody named has none of those in use."""
        known = self._tenants.known(name)
        return len(self._tenants) if known is None else known

    def classify(self, name: str, method: bytes, keyed: bool) -> tuple[int, str]:
        """The number and effect of a request of a class, by its method and whether it has a key.

        Without a word of the file, safe methods are safe (RFC 9110, 9.2.1), what has an
        Idempotency-Key is keyed, and all else unsafe. With one, a client can make its request less
        repeatable, by sending no key, and never more.
        """
        effect = effect_of(self._parts[name].effect, method, keyed)
        return len(EFFECTS) * self._classes.of(name) + EFFECTS.index(effect), effect


def effect_of(stated: str | None, method: bytes, keyed: bool) -> Idempotency:
    """What a request may be repeated as, by its class's stated effect, its method and key."""
    if stated is None:
        if method in SAFE_METHODS:
            return Idempotency.SAFE
        return Idempotency.KEYED if keyed else Idempotency.UNSAFE
    effect = _STATED[stated]
    return Idempotency.UNSAFE if effect == Idempotency.KEYED and not keyed else effect


def _request_class(part: ClassPart, effect: Idempotency) -> RequestClass:
    return RequestClass(
        name=f"{part.name}:{effect}",
        priority_weight=part.worth,
        latency_objective=part.aim,
        deadline=part.deadline,
        late_weight=part.late_worth,
        idempotency=effect,
        idempotency_scope="all" if part.dedup == "pool" else part.dedup,
        idempotency_window=part.remembered(),
        stream=False,
        objective_per_work=0.0,
    )
