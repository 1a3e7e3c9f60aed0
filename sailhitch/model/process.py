"""A modelled process, with its own clock rate and a disk that loses unsynced writes.

It can be paused, and crash. The effects of a core are performed in order, each once the writes
before it are synced.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from ..tier.effects import ApplyVersions, Effect, JobCompleted, LogEvent, Persist, Send
from .kernel import Kernel

SYNC_DURATION_RANGE = (200, 6_000)  # us, shortest and longest
WRITE_RETRY = 100_000  # us until a failed write is retried


class Disk:
    """The synced values, and earlier snapshots of them."""

    def __init__(self) -> None:
        self.synced: dict[str, bytes] = {}
        self.snapshots: list[dict[str, bytes]] = []  # oldest first
        self.full = False

    def write(self, items: dict[str, bytes | None]) -> None:
        """Write and sync values; None deletes one."""
        for name, value in items.items():
            if value is None:
                self.synced.pop(name, None)
            else:
                self.synced[name] = value

    def erase(self) -> None:
        """Replace the disk by an empty one."""
        self.synced = {}

    def take_snapshot(self) -> None:
        """Add a snapshot of the synced values."""
        self.snapshots.append(dict(self.synced))


class Process:
    """A process that is up, paused or down."""

    def __init__(self, kernel: Kernel, name: str, rate: float) -> None:
        self.kernel = kernel
        self.name = name
        self.rate = rate
        self.disk = Disk()
        self.up = False
        self.paused = False
        self.disk_is_failing = False
        self.incarnation = 0  # how often it was started
        self._offset = int(kernel.stream(f"clock {name}").integers(1, 1 << 40))
        self._effects: deque[Effect] = deque()
        self._is_syncing = False
        self._deferred: list[Callable[[], None]] = []  # due while it was paused
        self._rng = kernel.stream(f"process {name}")

    def clock(self) -> int:
        """Return the monotonic time, by the process's own rate and origin; pauses don't stop it."""
        return self._offset + int(self.kernel.now * self.rate)

    def guarded(self, callback: Callable[[], None]) -> Callable[[], None]:
        """Bind a callback to this incarnation: dropped after its end, deferred during a pause."""
        incarnation = self.incarnation

        def run() -> None:
            if not self.up or self.incarnation != incarnation:
                return
            if self.paused:
                self._deferred.append(run)
            else:
                callback()

        return run

    def begin(self) -> None:
        """Start the process with nothing in memory."""
        self.up = True
        self.paused = False
        self.disk_is_failing = False
        self.incarnation += 1
        self._effects.clear()
        self._deferred.clear()
        self._is_syncing = False

    def kill(self) -> None:
        """Kill the process (SIGKILL)."""
        self.up = False

    def pause(self) -> None:
        """Pause the process (SIGSTOP)."""
        self.paused = True

    def resume(self) -> None:
        """Resume the process (SIGCONT); run the callbacks deferred meanwhile, in order."""
        if not (self.up and self.paused):
            return
        self.paused = False
        callbacks = self._deferred
        self._deferred = []
        for callback in callbacks:
            callback()

    # --- Effects

    def enqueue(self, effects: list[Effect]) -> None:
        """Queue effects, to be performed in order; while the disk fails, messages are dropped."""
        self._effects.extend(
            e for e in effects if not (self.disk_is_failing and isinstance(e, Send))
        )
        self._run_effects()

    def _run_effects(self) -> None:
        while self._effects and not self._is_syncing:
            effect = self._effects.popleft()
            if isinstance(effect, Persist):
                self._is_syncing = True
                delay = int(self._rng.integers(*SYNC_DURATION_RANGE))
                self.kernel.after(
                    delay, self._on_sync_complete, self.incarnation, effect, self.disk.synced
                )
            else:
                self.perform(effect)

    def _on_sync_complete(
        self, incarnation: int, persist: Persist, storage: dict[str, bytes]
    ) -> None:
        # A write to a disk that was replaced does not reach the new one.
        if self.incarnation != incarnation or self.disk.synced is not storage:
            return
        if not self.up:
            # Killed during the sync, which may have completed nevertheless.
            if self._rng.random() < 0.5 and not self.disk.full:
                self.on_synced(persist)
            return
        self.disk_is_failing = self.disk.full
        if self.disk_is_failing:
            # Messages that depend on the write must not be sent: all are dropped while it fails.
            self._effects = deque(
                effect for effect in self._effects if not isinstance(effect, Send)
            )
            self.kernel.after(WRITE_RETRY, self._on_sync_complete, incarnation, persist, storage)
            return
        self.on_synced(persist)
        self.guarded(self._resume_effects)()

    def _resume_effects(self) -> None:
        self._is_syncing = False
        self._run_effects()

    def on_synced(self, persist: Persist) -> None:
        """Record a completed sync."""
        self.disk.write(persist.items)

    def perform(self, effect: Send | ApplyVersions | JobCompleted | LogEvent) -> None:
        """Perform an effect other than a write to the disk."""
        raise NotImplementedError
