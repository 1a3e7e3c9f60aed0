"""Scenarios of the tier as data: what goes wrong when. Drawn from a seed, played, and cut down.

A story is played by `play`; a broken promise ends it. `shrink` leaves out of a failing one whatever
is not needed for its failure, and `tell` prints what is left.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec
import numpy as np

from .invariants import InvariantViolationError
from .tier import ACTS, World

SECOND: Final = 1_000_000
FIRST_FAULT_AT: Final = 4 * SECOND  # a tier has found itself by then
FAULT_PERIOD: Final = 12 * SECOND  # the time in which things go wrong
# Promise 4: all is over so long after the last fault, at the latest.
SETTLE_TIME: Final = 20 * SECOND
# Promise 5: until when all that run know of one that has ended.
DEATH_KNOWN_WITHIN: Final = 30 * SECOND
EVICTED_AFTER: Final = 12 * SECOND  # from a member's death to when an operator says that it is gone
QUIET: Final = 5 * SECOND  # us without a sign of life after which an operator may say so
# us from what a member was asked for to its death: the rounds of a change take about that long.
DEATH_AFTER: Final = (1_000, 120_000)
CHANGES: Final = ("propose", "pose", "withdraw", "leave")


class Event(msgspec.Struct, frozen=True):
    """One thing that happens: `at` and `for_` in microseconds, `who` members by number from 0."""

    at: int
    kind: str
    members: tuple[int, ...] = ()
    duration: int = 0
    value: float = 0.0


class Scenario(msgspec.Struct, frozen=True):
    """A scenario."""

    seed: int
    members: int
    voters: int
    lease: int | None
    events: tuple[Event, ...]


def draw_scenario(seed: int) -> Scenario:
    """Return a story at random; the same for the same seed.

    Disks are lost, or put back from an earlier day, by a minority of the voters: by the first one.
    """
    rng = np.random.default_rng([seed, 7])
    members = int(rng.integers(3, 7))
    voters = 5 if members >= 5 and rng.random() < 0.3 else 3
    lease = None if rng.random() < 0.5 else 3 * SECOND
    kinds = (
        ["propose"] * 5
        + ["pose"] * 2
        + ["pause", "kill", "cut", "part", "loss", "double", "withdraw"] * 2
    )
    kinds += ["old", "lost", "all", "leave", "full"] + (["gone"] if lease else [])
    events = []
    for _ in range(int(rng.integers(6, 22))):
        kind = str(rng.choice(kinds))
        who = [int(i) for i in rng.permutation(members)]
        count = {"part": int(rng.integers(1, members)), "cut": 2}.get(kind, 1)
        if kind in ("old", "lost"):
            who = [0]
        value = {"propose": int(rng.integers(-1, ACTS)), "loss": 0.1 + 0.5 * rng.random()}
        events.append(
            Event(
                FIRST_FAULT_AT + int(rng.integers(FAULT_PERIOD)),
                kind,
                tuple(who[:count]),
                int(rng.integers(SECOND // 20, 4 * SECOND)),
                float(value.get(kind, rng.random())),
            )
        )
    return Scenario(seed, members, voters, lease, tuple(sorted(events, key=lambda one: one.at)))


def draw_scenario_with_death(seed: int) -> Scenario:
    """The story of `draw` in which a member is killed for good, most likely during its own change.

    One voter at most is out for good: where one of three dies, none loses its disk.
    """
    story = draw_scenario(seed)
    rng = np.random.default_rng([seed, 8])
    changes = [event for event in story.events if event.kind in CHANGES]
    if not changes or rng.random() < 0.2:
        at = FIRST_FAULT_AT + int(rng.integers(FAULT_PERIOD))
        changes = [Event(at, "propose", (int(rng.integers(story.members)),), 0, 1.0)]
    change = changes[int(rng.integers(len(changes)))]
    death = Event(change.at + int(rng.integers(*DEATH_AFTER)), "die", change.members, EVICTED_AFTER)
    events = [*story.events, death]
    if change not in story.events:
        events.append(change)
    if story.voters == 3 and change.members[0] < story.voters:
        events = [event for event in events if event.kind not in ("old", "lost")]
    return msgspec.structs.replace(story, events=tuple(sorted(events, key=lambda one: one.at)))


@dataclass
class Player:
    """Has a story's events happen in a world."""

    world: World
    depth: dict[tuple[str, str], int] = field(default_factory=dict)  # cuts that lie over each other
    last: int = FIRST_FAULT_AT
    dead: set[str] = field(default_factory=set)  # members that were killed for good

    def begin(self, story: Scenario) -> None:
        """Put all of a story's events on the world's clock."""
        for event in story.events:
            self.world.kernel.at(event.at, self._happen, event)
            self.last = max(self.last, event.at + event.duration)
        for day in range(1, 8):
            self.world.kernel.at(day * 2 * SECOND, self._copy)

    def _copy(self) -> None:
        for process in self.world.processes.values():
            process.disk.copy()

    def _happen(self, event: Event) -> None:
        getattr(self, f"_{event.kind}")(event)

    def _one(self, event: Event) -> Any:
        return self.world.processes[self.world.names[event.members[0]]]

    def _later(self, event: Event, work: Callable[[], None]) -> None:
        self.world.kernel.after(event.duration, work)

    def _propose(self, event: Event) -> None:
        self._one(event).propose(int(event.value), event.at)

    def _pose(self, event: Event) -> None:
        self._one(event).propose_traffic_policy(event.at)

    def _withdraw(self, event: Event) -> None:
        self._one(event).withdraw()

    def _pause(self, event: Event) -> None:
        process = self._one(event)
        process.pause()
        self._later(event, process.wake)

    def _kill(self, event: Event, change: Callable[[Any], None] = lambda disk: None) -> None:
        process = self._one(event)
        process.kill()

        def back() -> None:
            if not process.up and process.name not in self.dead:
                process.disk.full = False
                change(process.disk)
                process.start()

        self._later(event, back)

    def _die(self, event: Event) -> None:
        """It is killed and never started again; an operator strikes it off after `for_`."""
        process = self._one(event)
        self.dead.add(process.name)
        process.kill()
        self._later(event, lambda: self._strike_off(process.name))

    def _strike_off(self, name: str) -> None:
        """An operator says that a member is gone, again for as long as some roster has it."""
        for process in self.world.processes.values():
            if process.up and not process.paused and process.says_gone(name, QUIET):
                break
        self.world.kernel.after(SECOND, self._strike_off, name)

    def _old(self, event: Event) -> None:
        """Its disk is put back from an earlier day."""

        def change(disk: Any) -> None:
            if disk.days:
                disk.now = dict(disk.days[int(event.value * len(disk.days))])

        self._kill(event, change)

    def _lost(self, event: Event) -> None:
        """Its disk is lost."""
        self._kill(event, lambda disk: disk.lose())

    def _full(self, event: Event) -> None:
        """Its disk is full, until somebody makes room, or also starts it anew."""
        process = self._one(event)
        process.disk.full = True

        def room() -> None:
            if event.value < 0.5:
                process.disk.full = False
            else:
                self._kill(replace_for(event, SECOND // 10))

        self._later(event, room)

    def _all(self, event: Event) -> None:
        for i in range(len(self.world.names)):
            self._kill(msgspec.structs.replace(event, members=(i,)))

    def _gone(self, event: Event) -> None:
        """An operator says of another member, rightly or not, that it is gone."""
        process = self._one(event)
        if process.up and not process.paused:
            other = self.world.names[(event.members[0] + 1) % len(self.world.names)]
            process.member.evict(other)

    def _leave(self, event: Event) -> None:
        """It goes in good order, and comes back."""
        process = self._one(event)
        if process.up and not process.paused:
            process.member.leave()
            self._later(event, lambda: self._kill(replace_for(event, SECOND // 2)))

    def _cut_links(self, links: list[tuple[str, str]], for_: int) -> None:
        for link in links:
            self.depth[link] = self.depth.get(link, 0) + 1
            self.world.network.cuts.add(link)

        def heal() -> None:
            for link in links:
                self.depth[link] -= 1
                if not self.depth[link]:
                    self.world.network.cuts.discard(link)

        self.world.kernel.after(for_, heal)

    def _cut(self, event: Event) -> None:
        """One way only: the first is not heard by the second, or by anybody."""
        names = self.world.names
        a = names[event.members[0]]
        others = names if event.value < 0.5 else (names[event.members[1]],)
        self._cut_links([(a, b) for b in others if b != a], event.duration)

    def _part(self, event: Event) -> None:
        """Two sides that hear nothing of each other."""
        side = {self.world.names[i] for i in event.members}
        links = [(a, b) for a in self.world.names for b in self.world.names]
        self._cut_links([(a, b) for a, b in links if (a in side) != (b in side)], event.duration)

    def _loss(self, event: Event) -> None:
        self.world.network.loss = event.value
        self._later(event, lambda: setattr(self.world.network, "loss", 0.0))

    def _double(self, event: Event) -> None:
        self.world.network.doubled = event.value
        self._later(event, lambda: setattr(self.world.network, "doubled", 0.0))


def replace_for(event: Event, time: int) -> Event:
    """Return the same event, for another time."""
    return msgspec.structs.replace(event, duration=time)


def play(story: Scenario) -> World:
    """Play a story to its end; raises BrokenError."""
    world = World(story.seed, story.members, story.voters, story.lease)
    player = Player(world)
    world.start()
    player.begin(story)
    world.kernel.run(player.last + SETTLE_TIME)
    world.check_settled()
    if player.dead:
        world.kernel.run(player.last + DEATH_KNOWN_WITHIN)
    world.check_who_is_there()
    return world


def find_violation(story: Scenario) -> str | None:
    """Which promise a story breaks, and how; None: none."""
    try:
        play(story)
    except InvariantViolationError as error:
        return str(error)
    return None


def shrink(story: Scenario) -> tuple[Scenario, str]:
    """A failing story without whatever is not needed for the same promise to break."""
    said = find_violation(story)
    assert said is not None
    for smaller in _smaller(story):
        found = find_violation(smaller)
        if found is not None and found[0] == said[0]:
            return shrink(smaller)
    return story, said


def _smaller(story: Scenario) -> Iterator[Scenario]:
    events = story.events
    for size in (len(events) // 2, len(events) // 4, 1):
        for at in range(0, len(events), size) if size else ():
            yield msgspec.structs.replace(story, events=events[:at] + events[at + size :])


def format_scenario(story: Scenario, said: str) -> str:
    """Return a story for people."""
    lease = f"lease {story.lease / SECOND:g} s" if story.lease else "no lease"
    lines = [f"seed {story.seed}: {story.members} members, {story.voters} voters, {lease}"]
    for event in story.events:
        who = " ".join(f"g{i + 1}" for i in event.members)
        time = (
            f" for {event.duration / SECOND:.2f} s"
            if event.kind not in ("propose", "pose", "withdraw")
            else ""
        )
        lines.append(f"  {event.at / SECOND:7.3f} s  {event.kind} {who}{time} ({event.value:.2f})")
    return "\n".join([*lines, f"  broken: {said}"])
