"""Scenarios of a tier as data: a TOML file of steps, checked with the field that is wrong."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError


class ScenarioError(ValueError):
    """A scenario file can't be used; the text has a line for each thing wrong."""


class _Part(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class StepPart(_Part):
    """Something that happens once the one before it is done, and not before `at` (s).

    `await` is done when all commands have ended; `agree` when all gateways that run, or those in
    `who`, are in and act by the same turn, with nothing pending, and all voters among them vote
    (one whose disk was lost is mended by the others first); `dead` when those in `who` take all in
    `to` for dead; `back` when the zone `node` is in use as a whole by the word of those in `who`,
    `left` when none of it is, which has to be within `value` seconds.
    `leave`, `return`, `hold` and `release` are operators' commands about the zone `node`; `freeze`
    has the zone's nodes run what comes and answer nothing, until `thaw`.
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
    # Of a cut: whom they are not heard by any more; nobody named: everybody. Of `join`: who joins.
    to: list[str] = []
    node: str = ""  # or zone
    value: float = 0.0
    ends: Literal["active", "pending", "stale", "refused", ""] = ""  # what the command must say


class Scenario(_Part):
    """What is played."""

    name: str
    promise: str = ""
    gateways: Annotated[int, Field(ge=1, le=25)] = 3
    voters: Annotated[int, Field(ge=1, le=7)] = 3
    late: list[str] = []  # gateways that no other's file has, started by a step
    nodes: Annotated[int, Field(ge=1, le=20)] = 4
    zones: Annotated[int, Field(ge=0, le=5)] = 0  # z1, z2, ..., with equal parts of all
    step: str = "600ms"  # how long a step of a way back into a zone lasts
    mode: Literal["off", "advise", "act"] = "advise"  # of gateways, about zones
    cold_time: str = "100ms"
    spare: Annotated[int, Field(ge=0, le=19)] = 0  # the last so many nodes are a pool of their own
    clients: Annotated[int, Field(ge=0, le=20)] = 3
    lease: str | None = None
    agree_within: str = "4s"
    compares: bool = False  # whether nodes refuse what was sent under older rules
    seconds: Annotated[float, Field(gt=0, le=600)] = 8.0
    served: Annotated[float, Field(ge=0, le=1)] = 0.0  # least part of each running gateway's
    seed: int = 1
    steps: list[StepPart] = []

    def names(self) -> list[str]:
        """Return the gateways."""
        return [f"g{i + 1}" for i in range(self.gateways)]

    def zone_of(self, name: str) -> str:
        """Return the zone of a gateway or node; none where there are none."""
        count = self.gateways if name.startswith("g") else self.nodes
        return f"z{(int(name[1:]) - 1) * self.zones // count + 1}" if self.zones else ""

    def spares(self) -> list[str]:
        """Nodes of the second pool, to which `reroute` with a value leads payouts."""
        return [f"n{i + 1}" for i in range(self.nodes - self.spare, self.nodes)]


def load_scenario(path: str | Path) -> Scenario:
    """Read a scenario; raises ScenarioError."""
    try:
        value = tomllib.loads(Path(path).read_text())
        made = Scenario.model_validate(value)
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    except ValidationError as error:
        said = [f"{path}: {_where(one['loc'])}: {one['msg']}" for one in error.errors()]
        raise ScenarioError("\n".join(said)) from None
    names = made.names()
    for who in made.late:
        if who not in names or who in names[: made.voters]:
            raise ScenarioError(f"{path}: late: {who!r} is no gateway, or one of the voters")
    for i, step in enumerate(made.steps):
        for who in (*step.who, *step.to):
            if who not in names:
                raise ScenarioError(f"{path}: steps[{i}]: no gateway is called {who!r}")
    return made


def _where(loc: tuple[int | str, ...]) -> str:
    return "".join(f"[{one}]" if isinstance(one, int) else f".{one}" for one in loc).lstrip(".")
