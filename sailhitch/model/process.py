"""What every process has: a clock of its own rate, a disk that forgets what was not synced, pauses.

Effects of a core happen in their order, and none before what is to be on disk ahead of it is there.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from ..tier.effects import ApplyVersions, Effect, JobCompleted, LogEvent, Persist, Send
from .kernel import Kernel

SYNC = (200, 6_000)  # us that a sync takes, at least and at most
WRITE_RETRY = 100_000  # us until a write that failed is tried again


class Disk:
    """What is synced, and copies of earlier days."""

    def __init__(self) -> None:
        self.now: dict[str, bytes] = {}
        self.days: list[dict[str, bytes]] = []  # copies, oldest first
        self.full = False

    def write(self, items: dict[str, bytes | None]) -> None:
        """These are synced."""
        for name, value in items.items():
            if value is None:
                self.now.pop(name, None)
            else:
                self.now[name] = value

    def lose(self) -> None:
        """Another disk, an empty one, is in its place."""
        self.now = {}

    def copy(self) -> None:
        """Keep a copy of today."""
        self.days.append(dict(self.now))


class Process:
    """A process's outside: up, paused or down."""

    def __init__(self, kernel: Kernel, name: str, rate: float) -> None:
        self.kernel = kernel
        self.name = name
        self.rate = rate
        self.disk = Disk()
        self.up = self.paused = self.disk_is_failing = False
        self.incarnation = 0  # how often it was started
        self._offset = int(kernel.stream(f"clock {name}").integers(1, 1 << 40))
        self._effects: deque[Effect] = deque()
        self._busy = False
        self._waiting: list[Callable[[], None]] = []  # what comes while it is paused
        self._rng = kernel.stream(f"process {name}")

    def clock(self) -> int:
        """Its own steady time: at its own rate, from its own beginning; it runs on in a pause."""
        return self._offset + int(self.kernel.now * self.rate)

    def guarded(self, work: Callable[[], None]) -> Callable[[], None]:
        """`work` as this life would do it: not after its end, and after a pause once it is over."""
        life = self.incarnation

        def run() -> None:
            if not self.up or self.incarnation != life:
                return
            if self.paused:
                self._waiting.append(run)
            else:
                work()

        return run

    def begin(self) -> None:
        """The process starts; what it held in memory is gone."""
        self.up = True
        self.paused = False
        self.disk_is_failing = False
        self.incarnation += 1
        self._effects.clear()
        self._waiting.clear()
        self._busy = False

    def kill(self) -> None:
        """Kill -9."""
        self.up = False

    def pause(self) -> None:
        """SIGSTOP."""
        self.paused = True

    def wake(self) -> None:
        """SIGCONT: what has come meanwhile is done first, in its order."""
        if not (self.up and self.paused):
            return
        self.paused = False
        waiting = self._waiting
        self._waiting = []
        for work in waiting:
            work()

    # --- Effects

    def take(self, effects: list[Effect]) -> None:
        """Have these happen, in their order; while the disk fails, messages are lost."""
        self._effects.extend(
            e for e in effects if not (self.disk_is_failing and isinstance(e, Send))
        )
        self._go_on()

    def _go_on(self) -> None:
        while self._effects and not self._busy:
            effect = self._effects.popleft()
            if isinstance(effect, Persist):
                self._busy = True
                delay = int(self._rng.integers(*SYNC))
                self.kernel.after(delay, self._synced, self.incarnation, effect, self.disk.now)
            else:
                self.happen(effect)

    def _synced(self, life: int, keep: Persist, medium: dict[str, bytes]) -> None:
        # What was under way to a disk does not come to be on the one that is in its place now.
        if self.incarnation != life or self.disk.now is not medium:
            return
        if not self.up:
            # Killed during the sync: it may have come to its end all the same.
            if self._rng.random() < 0.5 and not self.disk.full:
                self.written(keep)
            return
        self.disk_is_failing = self.disk.full
        if self.disk_is_failing:
            # Nothing that rests on it may be said; messages count as lost meanwhile.
            self._effects = deque(one for one in self._effects if not isinstance(one, Send))
            self.kernel.after(WRITE_RETRY, self._synced, life, keep, medium)
            return
        self.written(keep)
        self.guarded(self._release)()

    def _release(self) -> None:
        self._busy = False
        self._go_on()

    def written(self, keep: Persist) -> None:
        """A sync has come to its end."""
        self.disk.write(keep.items)

    def happen(self, effect: Send | ApplyVersions | JobCompleted | LogEvent) -> Any:
        """Something happens that needs no disk."""
        raise NotImplementedError
