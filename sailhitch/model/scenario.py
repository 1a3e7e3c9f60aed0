"""Scenarios of a tier: drawn from a seed, played, shrunk and formatted.

`play` stops at the first violation of an invariant. `shrink` removes the events that a violation
does not need, and `format_scenario` describes what is left in readable text.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

import msgspec
import numpy as np

from .events import FAULT_PERIOD, FIRST_FAULT_AT, SECOND, Event, Scenario
from .invariants import InvariantViolationError
from .player import ScenarioPlayer
from .tier import ACT_COUNT, World

__all__ = [
    "Event",
    "Scenario",
    "draw_scenario",
    "draw_scenario_with_death",
    "find_violation",
    "format_scenario",
    "play",
    "shrink",
]

SETTLE_TIME: Final = 20 * SECOND  # promise 4: from the last fault until the tier has settled
DEATH_KNOWN_WITHIN: Final = 30 * SECOND  # promise 5: from the last fault
EVICTED_AFTER: Final = 12 * SECOND  # from a member's death until an operator evicts it
# us from a member's request to its death; a change's rounds take about as long.
DEATH_DELAY_RANGE: Final = (1_000, 120_000)
CHANGE_KINDS: Final = ("propose", "pose", "withdraw", "leave")
KINDS_WITHOUT_DURATION: Final = ("propose", "pose", "withdraw")


def draw_scenario(seed: int) -> Scenario:
    """Return a random scenario, a pure function of the seed.

    Only the first voter, a minority, may lose its disk or have it restored from an old snapshot.
    """
    rng = np.random.default_rng([seed, 7])
    members = int(rng.integers(3, 7))
    voters = 5 if members >= 5 and rng.random() < 0.3 else 3
    lease = None if rng.random() < 0.5 else 3 * SECOND
    kinds = _drawn_kinds(lease is not None)
    events = []
    for _ in range(int(rng.integers(6, 22))):
        kind = str(rng.choice(kinds))
        targets = [int(i) for i in rng.permutation(members)]
        count = {"part": int(rng.integers(1, members)), "cut": 2}.get(kind, 1)
        if kind in ("old", "lost"):
            targets = [0]
        value = {"propose": int(rng.integers(-1, ACT_COUNT)), "loss": 0.1 + 0.5 * rng.random()}
        events.append(
            Event(
                FIRST_FAULT_AT + int(rng.integers(FAULT_PERIOD)),
                kind,
                tuple(targets[:count]),
                int(rng.integers(SECOND // 20, 4 * SECOND)),
                float(value.get(kind, rng.random())),
            )
        )
    return Scenario(seed, members, voters, lease, tuple(sorted(events, key=lambda event: event.at)))


def _drawn_kinds(with_lease: bool) -> list[str]:
    """Return the kinds of events to draw from, each repeated by its weight."""
    kinds = ["propose"] * 5 + ["pose"] * 2
    kinds += ["pause", "kill", "cut", "part", "loss", "double", "withdraw"] * 2
    kinds += ["old", "lost", "all", "leave", "full"]
    if with_lease:
        kinds.append("gone")
    return kinds


def draw_scenario_with_death(seed: int) -> Scenario:
    """Return a scenario in which a member dies for good, in most cases during its own change.

    At most one of three voters may be lost: if one of them dies, none loses its disk.
    """
    scenario = draw_scenario(seed)
    rng = np.random.default_rng([seed, 8])
    changes = [event for event in scenario.events if event.kind in CHANGE_KINDS]
    if not changes or rng.random() < 0.2:
        at = FIRST_FAULT_AT + int(rng.integers(FAULT_PERIOD))
        changes = [Event(at, "propose", (int(rng.integers(scenario.members)),), 0, 1.0)]
    change = changes[int(rng.integers(len(changes)))]
    death = Event(
        change.at + int(rng.integers(*DEATH_DELAY_RANGE)), "die", change.members, EVICTED_AFTER
    )
    events = [*scenario.events, death]
    if change not in scenario.events:
        events.append(change)
    if scenario.voters == 3 and change.members[0] < scenario.voters:
        events = [event for event in events if event.kind not in ("old", "lost")]
    return msgspec.structs.replace(
        scenario, events=tuple(sorted(events, key=lambda event: event.at))
    )


def play(scenario: Scenario) -> World:
    """Play a scenario to its end; raises InvariantViolationError."""
    world = World(scenario.seed, scenario.members, scenario.voters, scenario.lease)
    player = ScenarioPlayer(world)
    world.start()
    player.schedule(scenario)
    world.kernel.run(player.last_event_end + SETTLE_TIME)
    world.check_settled()
    if player.permanently_dead:
        world.kernel.run(player.last_event_end + DEATH_KNOWN_WITHIN)
    world.check_liveness()
    return world


def find_violation(scenario: Scenario) -> str | None:
    """Return which promise a scenario breaks, and how; None if it breaks none."""
    try:
        play(scenario)
    except InvariantViolationError as error:
        return str(error)
    return None


def shrink(scenario: Scenario) -> tuple[Scenario, str]:
    """Return the scenario without the events that its violation does not need, and that."""
    violation = find_violation(scenario)
    assert violation is not None
    for smaller in _smaller_scenarios(scenario):
        smaller_violation = find_violation(smaller)
        if smaller_violation is not None and smaller_violation[0] == violation[0]:
            return shrink(smaller)
    return scenario, violation


def _smaller_scenarios(scenario: Scenario) -> Iterator[Scenario]:
    events = scenario.events
    for size in (len(events) // 2, len(events) // 4, 1):
        for start in range(0, len(events), size) if size else ():
            yield msgspec.structs.replace(scenario, events=events[:start] + events[start + size :])


def format_scenario(scenario: Scenario, violation: str) -> str:
    """Return a readable description of a scenario and its violation."""
    lease = f"lease {scenario.lease / SECOND:g} s" if scenario.lease else "no lease"
    lines = [f"seed {scenario.seed}: {scenario.members} members, {scenario.voters} voters, {lease}"]
    for event in scenario.events:
        names = " ".join(f"g{i + 1}" for i in event.members)
        time = (
            f" for {event.duration / SECOND:.2f} s"
            if event.kind not in KINDS_WITHOUT_DURATION
            else ""
        )
        lines.append(
            f"  {event.at / SECOND:7.3f} s  {event.kind} {names}{time} ({event.value:.2f})"
        )
    return "\n".join([*lines, f"  violation of promise {violation}"])
