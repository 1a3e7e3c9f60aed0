"""Test doubles for the decision module: settings, endpoints, and a port that records actions."""

from __future__ import annotations

import copy
from typing import Any

from sailhitch.policy import Gateway
from sailhitch.policy_interface import (
    AttemptOutcome,
    Endpoint,
    EndpointState,
    LoadReport,
    WatchEventKind,
)
from sailhitch.settings import parse_settings

MS = 1000
S = 1_000_000
START = 100 * S

SAFE, UNSAFE, KEYED_ALL, KEYED_ZONE, KEYED_CELL = range(5)  # indices of the classes in BASE


def _class_settings(repeat: str, scope: str = "all", **overrides: Any) -> dict[str, Any]:
    return {
        "name": f"{repeat}-{scope}",
        "importance": 1.0,
        "goalTime": 1 * S,
        "deadline": 3 * S,
        "lateValue": 0.0,
        "repeat": repeat,
        "dedupScope": scope,
        "memorySpan": 2 * S,
        "stream": False,
    } | overrides


BASE: dict[str, Any] = {
    "me": 0,
    "balancers": 4,
    "zone": 0,
    "granularity": 5000,
    "classes": [
        _class_settings("pure"),
        _class_settings("side_effect", importance=3.0),
        _class_settings("token", "all"),
        _class_settings("token", "zone"),
        _class_settings("token", "cell"),
    ],
    "tenants": [],
    "overShareWorth": 0.2,
    "limits": {
        "attemptsCap": 5,
        "mayDuplicate": True,
        "cancel": True,
        "probes": False,
        "peers": False,
        "retryAfter": True,
        "maxRetryAfter": 2 * S,
    },
    "rules": {
        "graceToAnswer": 20 * MS,
        "drainGrace": 1 * S,
        "coldShare": 0.2,
        "cold": 10 * S,
        "fallMultiple": 3.0,
        "overloadFor": 2 * S,
        "askWithin": 10 * S,
    },
    "discovery": "automatic",
    "familyInfo": {"warmKeys": False},
    "costs": {"crossZone": 0.01},
}


def settings_value(**changes: Any) -> dict[str, Any]:
    """The settings object with these changes; a dict is merged into its section."""
    value = copy.deepcopy(BASE)
    for key, change in changes.items():
        if isinstance(change, dict):
            value[key] = value.get(key, {}) | change
        else:
            value[key] = change
    return value


def server(
    name: str,
    zone: int = 0,
    cell: int = 0,
    boot: int = 0,
    state: EndpointState = EndpointState.READY,
) -> Endpoint:
    return Endpoint(name, 1.0, zone, cell, state, boot, 0)


class FakePort:
    """Records every action; most tests use the views `sends` and `final_actions`."""

    def __init__(self) -> None:
        self.actions: list[tuple[Any, ...]] = []

    def send(self, req: int, server: str, timeout: int) -> None:
        self.actions.append(("send", req, server, timeout))

    def refuse(self, req: int, retry_after: int) -> None:
        self.actions.append(("refuse", req, retry_after))

    def fail(self, req: int) -> None:
        self.actions.append(("fail", req))

    def cancel(self, req: int, attempt: int) -> None:
        self.actions.append(("cancel", req, attempt))

    def set_timer(self, token: int, at: int) -> None:
        self.actions.append(("timer", token, at))

    def watch(self, on: bool) -> None:
        self.actions.append(("watch", on))

    def log(self, text: str) -> None:
        self.actions.append(("log", text))

    def sends(self, req: int | None = None) -> list[str]:
        return [a[2] for a in self.actions if a[0] == "send" and req in (None, a[1])]

    def final_actions(self, req: int) -> list[str]:
        return [a[0] for a in self.actions if a[0] in ("refuse", "fail") and a[1] == req]


class GatewayHarness:
    """One gateway with its port, and a virtual clock that fires the timers it has set."""

    def __init__(self, *servers: Endpoint, seed: int = 1, **changes: Any) -> None:
        self.port = FakePort()
        self.settings = parse_settings(settings_value(**changes))
        self.gateway = Gateway(self.port, self.settings, seed)
        self.now = START
        self.fired_timers: set[int] = set()  # indices of timer actions that have fired
        self.gateway.start(self.now)
        self.gateway.on_watch_event(self.now, WatchEventKind.RESTORED, servers)

    def request(self, req: int, cls: int = SAFE, time_limit: int = 3 * S, **options: Any) -> None:
        self.gateway.request(
            self.now,
            req,
            cls,
            self.now + time_limit,
            options.get("work", 0),
            options.get("key"),
            options.get("tenant", 0),
        )

    def outcome(
        self,
        req: int,
        attempt: int,
        status: AttemptOutcome,
        closed: bool = False,
        latency: int = 50 * MS,
        report: LoadReport | None = None,
    ) -> None:
        self.gateway.outcome(
            self.now, req, attempt, status, closed, latency, self.port.sends(req)[attempt], report
        )

    def run(self, until: int) -> None:
        """Advance the clock to this time after the start, and fire due timers in order."""
        end = START + until
        while True:
            due = [
                (a[2], i, a[1])
                for i, a in enumerate(self.port.actions)
                if a[0] == "timer" and i not in self.fired_timers and a[2] <= end
            ]
            if not due:
                break
            at, index, token = min(due)
            self.fired_timers.add(index)
            self.now = max(self.now, at)
            self.gateway.timer(self.now, token)
        self.now = end
