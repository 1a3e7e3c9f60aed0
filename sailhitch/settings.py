"""The settings that a gateway instance is started with, as typed values.

Unknown keys are ignored, so that a newer control plane works with an older gateway. A key without
a safe default is required, and the error for a missing one names it. Times are microseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class Idempotency(StrEnum):
    """Whether a request may be repeated. The values are those used in the settings."""

    SAFE = "pure"  # a repeat has no effect
    KEYED = "token"  # idempotent with an idempotency key, within a window and a scope
    UNSAFE = "side_effect"  # never repeated


class SettingsError(ValueError):
    """A required setting is missing, or a setting has an invalid value."""


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The settings of a request class. Times are microseconds."""

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
    """A tenant. `quota_per_s` limits its requests per second at all gateways together."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Limits:
    """What the gateway may do in this deployment."""

    max_attempts: int
    may_duplicate: bool
    cancel: bool
    probes: bool
    peers: bool
    retry_after: bool
    max_retry_after: int


@dataclass(frozen=True, slots=True)
class Rules:
    """Parameters of the rules that the service sets for its gateways. Times are microseconds."""

    answer_slack: int
    drain_grace: int
    slow_start_share: float
    slow_start_time: int
    overload_multiple: float
    overload_time: int
    watch_within: int


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a gateway instance."""

    gateway_index: int  # from 0; -1 if the settings give no valid one
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
    """A JSON object and its path, so that errors can name the field."""

    def __init__(self, value: Any, path: str) -> None:
        if not isinstance(value, Mapping):
            raise SettingsError(f"{path or 'settings'}: not an object")
        self.value = value
        self.path = path

    def _path_of(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def _get(self, key: str, default: Any, is_valid: Callable[[Any], bool], expected: str) -> Any:
        value = self.value.get(key)
        if value is None:
            if default is None:
                raise SettingsError(f"{self._path_of(key)}: required and missing")
            return default
        if not is_valid(value):
            raise SettingsError(f"{self._path_of(key)}: not {expected}: {value!r}")
        return value

    def number(self, key: str, default: float | None = None) -> float:
        def is_valid(v: Any) -> bool:
            return isinstance(v, int | float) and not isinstance(v, bool) and v == v and v >= 0

        return float(self._get(key, default, is_valid, "a non-negative number"))

    def integer(self, key: str, default: int | None = None) -> int:
        def is_valid(v: Any) -> bool:
            return not isinstance(v, bool) and isinstance(v, int) and v >= 0

        return int(self._get(key, default, is_valid, "a non-negative integer"))

    def flag(self, key: str, default: bool | None = None) -> bool:
        return bool(self._get(key, default, lambda v: isinstance(v, bool), "true or false"))

    def text(self, key: str, default: str | None = None, choices: tuple[str, ...] = ()) -> str:
        def is_valid(v: Any) -> bool:
            return isinstance(v, str) and (not choices or v in choices)

        expected = "one of " + ", ".join(choices) if choices else "a string"
        return str(self._get(key, default, is_valid, expected))

    def node(self, key: str, default: Mapping[str, Any] | None = None) -> _Node:
        return _Node(self._get(key, default, lambda v: True, "an object"), self._path_of(key))

    def nodes(self, key: str, default: list[Any] | None = None) -> list[_Node]:
        items = self._get(key, default, lambda v: isinstance(v, list), "a list")
        return [_Node(item, f"{self._path_of(key)}[{i}]") for i, item in enumerate(items)]


def _request_class(node: _Node) -> RequestClass:
    idempotency = Idempotency(node.text("repeat", choices=tuple(Idempotency)))
    is_keyed = idempotency is Idempotency.KEYED
    return RequestClass(
        name=node.text("name", ""),
        priority_weight=node.number("importance"),
        latency_objective=node.integer("goalTime"),
        deadline=node.integer("deadline"),
        late_weight=node.number("lateValue", 0.0),
        idempotency=idempotency,
        # Required for a keyed class: without them, no repeat could be checked.
        idempotency_scope=node.text(
            "dedupScope", None if is_keyed else "all", ("all", "zone", "cell")
        ),
        idempotency_window=node.integer("memorySpan", None if is_keyed else 0),
        stream=node.flag("stream", False),
        objective_per_work=node.number("aimStretch", 0.0),
    )


def parse_settings(value: Any) -> Settings:
    """Parse the settings object. Raises SettingsError, which names the invalid field."""
    root = _Node(value, "")
    limits = root.node("limits")
    rules = root.node("rules")
    classes = tuple(_request_class(n) for n in root.nodes("classes"))
    if not classes:
        raise SettingsError("classes: empty")
    gateways = root.integer("balancers")
    index = root.integer("me", gateways)
    return Settings(
        gateway_index=index if index < gateways else -1,
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
        needs_watch=root.text("discovery", choices=("automatic", "subscribe")) == "subscribe",
        has_key_affinity=root.node("familyInfo", {}).flag("warmKeys", False),
        cross_zone_price=root.node("costs", {}).number("crossZone", 0.0),
    )
