"""Applies the events of a scenario to a modelled tier."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Final

import msgspec

from .events import FIRST_FAULT_AT, SECOND, Event, Scenario
from .process import Disk
from .tier import TierProcess, World

EVICTABLE_AFTER: Final = 5 * SECOND  # silence after which an operator may evict a member
SNAPSHOT_INTERVAL: Final = 2 * SECOND
SNAPSHOTS: Final = 7  # of each disk
RESTART_AFTER_FULL_DISK: Final = SECOND // 10
RESTART_AFTER_LEAVE: Final = SECOND // 2


def _keep_disk(disk: Disk) -> None:
    """Leave a disk as it is."""


def _with_duration(event: Event, duration: int) -> Event:
    return msgspec.structs.replace(event, duration=duration)


@dataclass
class ScenarioPlayer:
    """Schedules a scenario's events in a world and applies each at its time."""

    world: World
    cut_depth: dict[tuple[str, str], int] = field(
        default_factory=dict
    )  # number of overlapping cuts of each link
    last_event_end: int = FIRST_FAULT_AT
    permanently_dead: set[str] = field(default_factory=set)  # killed and never started again

    def schedule(self, scenario: Scenario) -> None:
        """Schedule all events of a scenario, and the snapshots of the disks."""
        for event in scenario.events:
            self.world.kernel.at(event.at, self._apply, event)
            self.last_event_end = max(self.last_event_end, event.at + event.duration)
        for i in range(1, SNAPSHOTS + 1):
            self.world.kernel.at(i * SNAPSHOT_INTERVAL, self._snapshot_disks)

    def _snapshot_disks(self) -> None:
        for process in self.world.processes.values():
            process.disk.take_snapshot()

    def _apply(self, event: Event) -> None:
        _HANDLERS[event.kind](self, event)

    def _process_of(self, event: Event) -> TierProcess:
        return self.world.processes[self.world.names[event.members[0]]]

    def _after_duration(self, event: Event, callback: Callable[[], None]) -> None:
        self.world.kernel.after(event.duration, callback)

    # --- Operators' requests

    def _propose(self, event: Event) -> None:
        self._process_of(event).propose(int(event.value), event.at)

    def _propose_traffic_policy(self, event: Event) -> None:
        self._process_of(event).propose_traffic_policy(event.at)

    def _withdraw(self, event: Event) -> None:
        self._process_of(event).withdraw()

    def _evict(self, event: Event) -> None:
        """Have a member evict the one after it, whether that is down or not."""
        process = self._process_of(event)
        if process.up and not process.paused:
            assert process.member is not None
            target = self.world.names[(event.members[0] + 1) % len(self.world.names)]
            process.member.evict(target)

    def _leave(self, event: Event) -> None:
        """Have a member leave the tier; restart it after the event's duration."""
        process = self._process_of(event)
        if process.up and not process.paused:
            assert process.member is not None
            process.member.leave()
            restart = _with_duration(event, RESTART_AFTER_LEAVE)
            self._after_duration(event, lambda: self._kill(restart))

    # --- Faults of processes

    def _pause(self, event: Event) -> None:
        process = self._process_of(event)
        process.pause()
        self._after_duration(event, process.resume)

    def _kill(self, event: Event, change_disk: Callable[[Disk], None] = _keep_disk) -> None:
        """Kill a process and start it again after the event's duration."""
        process = self._process_of(event)
        process.kill()

        def restart() -> None:
            if not process.up and process.name not in self.permanently_dead:
                process.disk.full = False
                change_disk(process.disk)
                process.start()

        self._after_duration(event, restart)

    def _kill_all(self, event: Event) -> None:
        for i in range(len(self.world.names)):
            self._kill(msgspec.structs.replace(event, members=(i,)))

    def _kill_permanently(self, event: Event) -> None:
        """Kill a process for good; an operator evicts its member after the event's duration."""
        process = self._process_of(event)
        self.permanently_dead.add(process.name)
        process.kill()
        self._after_duration(event, lambda: self._evict_dead(process.name))

    def _evict_dead(self, name: str) -> None:
        """Evict a dead member, every second for as long as a member's configuration has it."""
        for process in self.world.processes.values():
            is_running = process.up and not process.paused
            if is_running and process.evict_if_allowed(name, EVICTABLE_AFTER):
                break
        self.world.kernel.after(SECOND, self._evict_dead, name)

    # --- Faults of disks

    def _restore_old_disk(self, event: Event) -> None:
        """Kill a process and restore its disk from an earlier snapshot."""

        def restore(disk: Disk) -> None:
            if disk.snapshots:
                disk.synced = dict(disk.snapshots[int(event.value * len(disk.snapshots))])

        self._kill(event, restore)

    def _lose_disk(self, event: Event) -> None:
        """Kill a process and replace its disk by an empty one."""
        self._kill(event, Disk.erase)

    def _fill_disk(self, event: Event) -> None:
        """Fill a disk; after the event's duration free space on it or also restart the process."""
        process = self._process_of(event)
        process.disk.full = True

        def free_space() -> None:
            if event.value < 0.5:
                process.disk.full = False
            else:
                self._kill(_with_duration(event, RESTART_AFTER_FULL_DISK))

        self._after_duration(event, free_space)

    # --- Faults of the network

    def _cut_links(self, links: list[tuple[str, str]], duration: int) -> None:
        for link in links:
            self.cut_depth[link] = self.cut_depth.get(link, 0) + 1
            self.world.network.cuts.add(link)

        def heal() -> None:
            for link in links:
                self.cut_depth[link] -= 1
                if not self.cut_depth[link]:
                    self.world.network.cuts.discard(link)

        self.world.kernel.after(duration, heal)

    def _cut(self, event: Event) -> None:
        """Cut the links from the first member to the second or to all, in this direction only."""
        names = self.world.names
        sender = names[event.members[0]]
        receivers = names if event.value < 0.5 else (names[event.members[1]],)
        links = [(sender, receiver) for receiver in receivers if receiver != sender]
        self._cut_links(links, event.duration)

    def _partition(self, event: Event) -> None:
        """Cut all links between the event's members and the others."""
        names = self.world.names
        side = {names[i] for i in event.members}
        links = [(a, b) for a in names for b in names if (a in side) != (b in side)]
        self._cut_links(links, event.duration)

    def _lose_datagrams(self, event: Event) -> None:
        network = self.world.network
        network.loss = event.value

        def restore() -> None:
            network.loss = 0.0

        self._after_duration(event, restore)

    def _duplicate_datagrams(self, event: Event) -> None:
        network = self.world.network
        network.duplication = event.value

        def restore() -> None:
            network.duplication = 0.0

        self._after_duration(event, restore)


_HANDLERS: Final[Mapping[str, Callable[[ScenarioPlayer, Event], None]]] = {
    "propose": ScenarioPlayer._propose,
    "pose": ScenarioPlayer._propose_traffic_policy,
    "withdraw": ScenarioPlayer._withdraw,
    "gone": ScenarioPlayer._evict,
    "leave": ScenarioPlayer._leave,
    "pause": ScenarioPlayer._pause,
    "kill": ScenarioPlayer._kill,
    "all": ScenarioPlayer._kill_all,
    "die": ScenarioPlayer._kill_permanently,
    "old": ScenarioPlayer._restore_old_disk,
    "lost": ScenarioPlayer._lose_disk,
    "full": ScenarioPlayer._fill_disk,
    "cut": ScenarioPlayer._cut,
    "part": ScenarioPlayer._partition,
    "loss": ScenarioPlayer._lose_datagrams,
    "double": ScenarioPlayer._duplicate_datagrams,
}
