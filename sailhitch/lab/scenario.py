"""Scenario files for a tier: TOML with a list of steps; errors name the invalid field."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError


class ScenarioError(ValueError):
    """A scenario file is invalid; the message has a line for each error."""


class _Part(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class ScenarioStep(_Part):
    """A step of a scenario, carried out once the one before it is done, and not before `at` (s).

    `await` waits until all commands have ended. `agree` waits until all running gateways, or those
    in `who`, are active members at the same revision, with nothing pending, and all voters among
    them vote (one whose disk was lost is first restored by the others). `dead` waits until those in
    `who` have declared all in `to` dead. `back` waits until those in `who` report the zone `node`
    fully in use, `left` until they report it unused, which must be within `value` seconds.
    `leave`, `return`, `hold` and `release` are operators' commands about the zone `node`. `freeze`
    makes the zone's nodes execute requests without answering them, until `thaw`.
    """

    at: Annotated[float, Field(ge=0, le=600)]
    do: Literal[
        "ban",
        "unban",
        "drop",
        "weigh",
        "withdraw",
        "gone",
        "pause",
        "wake",
        "kill",
        "start",
        "stop",
        "cut",
        "heal",
        "loss",
        "delay",
        "double",
        "garble",
        "replay",
        "copy_disk",
        "old_disk",
        "lost_disk",
        "full_disk",
        "await",
        "agree",
        "dead",
        "join",
        "reroute",
        "leave",
        "return",
        "hold",
        "release",
        "back",
        "left",
        "freeze",
        "thaw",
    ]
    who: list[str] = []  # gateways
    # `cut`: gateways that no longer receive from those in `who`; empty: all. `join`: who joins.
    to: list[str] = []
    node: str = ""  # or zone
    value: float = 0.0
    ends: Literal["active", "pending", "stale", "refused", ""] = ""  # required result


class Scenario(_Part):
    """A scenario: the tier, its load, and the steps to play."""

    name: str
    promise: str = ""
    gateways: Annotated[int, Field(ge=1, le=25)] = 3
    voters: Annotated[int, Field(ge=1, le=7)] = 3
    late: list[str] = []  # gateways missing in the others' files, started by a step
    nodes: Annotated[int, Field(ge=1, le=20)] = 4
    zones: Annotated[int, Field(ge=0, le=5)] = 0  # z1, z2, ..., of equal size
    step: str = "600ms"  # duration of a step of a zone's return
    mode: Literal["off", "advise", "act"] = "advise"  # the gateways' zone mode
    cold_time: str = "100ms"
    spare: Annotated[int, Field(ge=0, le=19)] = 0  # how many of the last nodes form the spare pool
    clients: Annotated[int, Field(ge=0, le=20)] = 3
    lease: str | None = None
    agree_within: str = "4s"
    compares: bool = False  # whether nodes decline requests sent under outdated versions
    seconds: Annotated[float, Field(gt=0, le=600)] = 8.0
    # Minimum served share of each gateway that stays up.
    served: Annotated[float, Field(ge=0, le=1)] = 0.0
    seed: int = 1
    steps: list[ScenarioStep] = []

    def names(self) -> list[str]:
        """Return the names of all gateways."""
        return [f"g{i + 1}" for i in range(self.gateways)]

    def zone_of(self, name: str) -> str:
        """Return the zone of a gateway or node; empty if there are no zones."""
        count = self.gateways if name.startswith("g") else self.nodes
        return f"z{(int(name[1:]) - 1) * self.zones // count + 1}" if self.zones else ""

    def spares(self) -> list[str]:
        """Return the nodes of the spare pool, to which `reroute` with a value sends payouts."""
        return [f"n{i + 1}" for i in range(self.nodes - self.spare, self.nodes)]


def load_scenario(path: str | Path) -> Scenario:
    """Read a scenario; raises ScenarioError."""
    try:
        value = tomllib.loads(Path(path).read_text())
        scenario = Scenario.model_validate(value)
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    except ValidationError as error:
        messages = [f"{path}: {_field_path(one['loc'])}: {one['msg']}" for one in error.errors()]
        raise ScenarioError("\n".join(messages)) from None
    names = scenario.names()
    for who in scenario.late:
        if who not in names or who in names[: scenario.voters]:
            raise ScenarioError(f"{path}: late: {who!r} is not a gateway, or is a voter")
    for i, step in enumerate(scenario.steps):
        for who in (*step.who, *step.to):
            if who not in names:
                raise ScenarioError(f"{path}: steps[{i}]: no gateway is named {who!r}")
    return scenario


def _field_path(loc: tuple[int | str, ...]) -> str:
    return "".join(f"[{one}]" if isinstance(one, int) else f".{one}" for one in loc).lstrip(".")
