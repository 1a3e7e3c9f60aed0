"""The settings an instance is handed at its start, as typed values.

Unknown keys are ignored, so that a newer control plane can talk to an older gateway. A key
whose absence would make the module guess is required, and its absence is an error that names it.
Times are microseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class Idempotency(StrEnum):
    """Whether a request may be repeated. The values are those of the settings."""

    SAFE = "pure"  # a repeat has no effect
    KEYED = "token"  # idempotent with an idempotency key, within a window and a scope
    UNSAFE = "side_effect"  # never repeated


class SettingsError(ValueError):
    """The settings lack something required, or hold a value out of its form."""


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The settings of one class of requests. Times are microseconds."""

    name: str
    priority_weight: float
    latency_objective: int
    deadline: int
    late_weight: float
    idempotency: Idempotency
    idempotency_scope: str
    idempotency_window: int
    stream: bool
    objective_per_work: float


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant; `quota_per_s` counts its requests across all gateways together."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment allows the gateway to do."""

    max_attempts: int
    may_duplicate: bool
    cancel: bool
    probes: bool
    peers: bool
    retry_after: bool
    max_retry_after: int


@dataclass(frozen=True, slots=True)
class Rules:
    """The parameters of the service's rules."""

    answer_slack: int
    drain_grace: int
    slow_start_share: float
    slow_start_time: int
    overload_multiple: float
    overload_time: int
    watch_within: int


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of an instance."""

    gateway_index: int  # from 0; -1 if the settings don't say
    gateway_count: int
    zone: int
    tick: int
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    over_quota_weight: float
    limits: Limits
    rules: Rules
    needs_watch: bool
    has_key_affinity: bool
    cross_zone_price: float


class _Node:
    """A JSON object with its path, so that an error names the field."""

    def __init__(self, value: Any, path: str) -> None:
        if not isinstance(value, Mapping):
            raise SettingsError(f"{path or 'settings'}: not an object")
        self.value = value
        self.path = path

    def _at(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def _get(self, key: str, absent: Any, form: Callable[[Any], bool], what: str) -> Any:
        value = self.value.get(key)
        if value is None:
            if absent is None:
                raise SettingsError(f"{self._at(key)}: required and missing")
            return absent
        if not form(value):
            raise SettingsError(f"{self._at(key)}: not {what}: {value!r}")
        return value

    def number(self, key: str, absent: float | None = None) -> float:
        def form(v: Any) -> bool:
            return isinstance(v, int | float) and not isinstance(v, bool) and v == v and v >= 0

        return float(self._get(key, absent, form, "a number of 0 or more"))

    def integer(self, key: str, absent: int | None = None) -> int:
        def form(v: Any) -> bool:
            return not isinstance(v, bool) and isinstance(v, int) and v >= 0

        return int(self._get(key, absent, form, "a whole number of 0 or more"))

    def flag(self, key: str, absent: bool | None = None) -> bool:
        return bool(self._get(key, absent, lambda v: isinstance(v, bool), "true or false"))

    def text(self, key: str, absent: str | None = None, among: tuple[str, ...] = ()) -> str:
        def form(v: Any) -> bool:
            return isinstance(v, str) and (not among or v in among)

        what = "one of " + ", ".join(among) if among else "a text"
        return str(self._get(key, absent, form, what))

    def node(self, key: str, absent: Mapping[str, Any] | None = None) -> _Node:
        return _Node(self._get(key, absent, lambda v: True, "an object"), self._at(key))

    def nodes(self, key: str, absent: list[Any] | None = None) -> list[_Node]:
        items = self._get(key, absent, lambda v: isinstance(v, list), "a list")
        return [_Node(item, f"{self._at(key)}[{i}]") for i, item in enumerate(items)]


def _request_class(node: _Node) -> RequestClass:
    idempotency = Idempotency(node.text("repeat", among=tuple(Idempotency)))
    keyed = idempotency is Idempotency.KEYED
    return RequestClass(
        name=node.text("name", ""),
        priority_weight=node.number("importance"),
        latency_objective=node.integer("goalTime"),
        deadline=node.integer("deadline"),
        late_weight=node.number("lateValue", 0.0),
        idempotency=idempotency,
        # Only a keyed class has a scope and a window; without them no repeat could be judged.
        idempotency_scope=node.text(
            "dedupScope", None if keyed else "all", ("all", "zone", "cell")
        ),
        idempotency_window=node.integer("memorySpan", None if keyed else 0),
        stream=node.flag("stream", False),
        objective_per_work=node.number("aimStretch", 0.0),
    )


def parse_settings(value: Any) -> Settings:
    """Turn the settings object into typed values; raises SettingsError naming the bad field."""
    root = _Node(value, "")
    limits = root.node("limits")
    rules = root.node("rules")
    classes = tuple(_request_class(n) for n in root.nodes("classes"))
    if not classes:
        raise SettingsError("classes: empty")
    gateways = root.integer("balancers")
    me = root.integer("me", gateways)
    return Settings(
        gateway_index=me if me < gateways else -1,
        gateway_count=max(1, gateways),
        zone=root.integer("zone"),
        tick=root.integer("granularity"),
        classes=classes,
        tenants=tuple(
            Tenant(n.text("name", ""), n.number("quotaPerS")) for n in root.nodes("tenants", [])
        ),
        over_quota_weight=root.number("overShareWorth", 1.0),
        limits=Limits(
            max_attempts=limits.integer("attemptsCap"),
            may_duplicate=limits.flag("mayDuplicate", False),
            cancel=limits.flag("cancel", False),
            probes=limits.flag("probes", False),
            peers=limits.flag("peers", False),
            retry_after=limits.flag("retryAfter", False),
            max_retry_after=limits.integer("maxRetryAfter", 0),
        ),
        rules=Rules(
            answer_slack=rules.integer("graceToAnswer"),
            drain_grace=rules.integer("drainGrace"),
            slow_start_share=rules.number("coldShare"),
            slow_start_time=rules.integer("cold"),
            overload_multiple=rules.number("fallMultiple"),
            overload_time=rules.integer("overloadFor"),
            watch_within=rules.integer("askWithin", 0),
        ),
        needs_watch=root.text("discovery", among=("automatic", "subscribe")) == "subscribe",
        has_key_affinity=root.node("familyInfo", {}).flag("warmKeys", False),
        cross_zone_price=root.node("costs", {}).number("crossZone", 0.0),
    )
