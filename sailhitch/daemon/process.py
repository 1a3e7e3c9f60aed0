"""The daemon's process: start, signals and drain."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import uvloop

from ..core.core import GatewayCore
from ..core.log import Log
from ..core.process import block_signals, drain, freeze_startup_objects, unblock_signals
from ..tier.disk import DiskError
from ..tier.wire import KeyFileError, load_keys
from .admin import AdminError, AdminServer
from .schema import FileError, OperatorFile, TierSection, load_file
from .source import LocalStateSource, StateSource
from .state import from_file, with_bans
from .state_applier import ApplyError, StateApplier, resource_limits
from .store import AppliedState, StepCallback, Store, StoreError, ignore_step
from .tier_link import LinkError
from .tier_source import TierStateSource

INITIAL_DEADLINE: Final = 1_000_000  # us; the longest deadline until the first state is applied

ReadyCallback = Callable[[StateApplier], None]


class StartError(Exception):
    """The daemon can't start; the text says why and what to do."""


@dataclass(slots=True)
class _Resources:
    """The resources that a daemon has opened so far."""

    core: GatewayCore
    store: Store | None = None
    own_store: Store | None = None
    tier: TierStateSource | None = None
    admin: AdminServer | None = None

    def close(self) -> None:
        """Close all open resources: the admin socket first, the stores last."""
        if self.admin is not None:
            self.admin.close()
        self.core.stop()
        if self.tier is not None:
            self.tier.link.close()
        for store in (self.store, self.own_store):
            if store is not None:
                store.close()


class Daemon:
    """A gateway that is configured by an operator file."""

    def __init__(
        self,
        path: str,
        file: OperatorFile,
        step: StepCallback = ignore_step,
        admin: str | None = None,
    ) -> None:
        self.path = path
        self.gateway = file.gateway
        self.admin = admin or file.gateway.admin
        self.file = file
        self.step = step
        self.log = Log(self.gateway.name)
        self.stop = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._reload_lock = asyncio.Lock()

    async def run(self, ready: ReadyCallback | None = None) -> None:
        """Serve until SIGTERM or SIGINT, then drain; raises StartError."""
        loop = asyncio.get_running_loop()
        core = GatewayCore(resource_limits(self.gateway, INITIAL_DEADLINE), loop, self.log)
        resources = _Resources(core)
        try:
            state_applier, source = self._open(resources)
            applied = await source.start(self.file)
            if self.admin is not None:
                resources.admin = AdminServer(
                    state_applier, source, Path(self.admin), resources.tier
                )
                await resources.admin.start()
            self._install_signal_handlers(core, source)
            self._log_start(applied, resources.tier)
            core.ready = resources.tier is None
            freeze_startup_objects()
            if ready is not None:
                ready(state_applier)
            await self.stop.wait()
            await self._drain(core, state_applier)
            if resources.tier is not None:
                # Only after the drain: a member that has left must not serve clients.
                await resources.tier.leave()
        except (StoreError, ApplyError, AdminError, DiskError, LinkError, KeyFileError) as error:
            raise StartError(str(error)) from None
        finally:
            resources.close()

    def _open(self, resources: _Resources) -> tuple[StateApplier, StateSource]:
        """Open the stores; return the state applier and its state source."""
        if self.gateway.state_dir is not None:
            resources.store = Store(Path(self.gateway.state_dir), self.gateway.name)
        if self.file.tier is not None:
            # States that the tier decides are stored apart from those of this gateway alone.
            resources.own_store = resources.store
            resources.store = Store(self._tier_folder(), self.gateway.name)
        state_applier = StateApplier(resources.core, self.gateway, resources.store, self.step)
        resources.core.start()
        if self.file.tier is None:
            return state_applier, LocalStateSource(state_applier)
        resources.tier = self._create_tier_source(
            state_applier, self.file.tier, resources.own_store
        )
        return state_applier, resources.tier

    def _log_start(self, applied: AppliedState, tier: TierStateSource | None) -> None:
        nodes = len(applied.state["nodes"])
        self.log.write(f"serial {applied.serial} ({applied.applied_by}), {nodes} nodes; ready")
        if tier is None and applied.state != with_bans(from_file(self.file), applied.state):
            self.log.write(
                f"the last applied state is in effect; {self.path} differs: see `sailhitch plan`"
            )

    def _tier_folder(self) -> Path:
        return Path(self.gateway.state_dir or "") / "tier"

    def _create_tier_source(
        self, state_applier: StateApplier, part: TierSection, own_store: Store | None
    ) -> TierStateSource:
        return TierStateSource(
            state_applier,
            part,
            load_keys(part.key_file),
            self._tier_folder(),
            own_store,
            self.log,
            self.file.zones,
        )

    def _install_signal_handlers(self, core: GatewayCore, source: StateSource) -> None:
        loop = core.loop
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_stop_signal, core)
        loop.add_signal_handler(signal.SIGHUP, self._reload, source)
        unblock_signals(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

    def _on_stop_signal(self, core: GatewayCore) -> None:
        core.on_stop_signal()
        self.stop.set()

    def _reload(self, source: StateSource) -> None:
        task = asyncio.get_running_loop().create_task(self._reload_file(source))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _reload_file(self, source: StateSource) -> None:
        """Read the file again and apply it; an invalid file changes nothing (SIGHUP)."""
        # Without the lock, the older of two concurrent reads could be applied last.
        async with self._reload_lock:
            try:
                file = await asyncio.to_thread(load_file, self.path)
                if file.gateway != self.gateway:
                    self.log.write(
                        "SIGHUP: [gateway] has changed; this takes effect at the next start"
                    )
                applied = await source.apply_file(file, "SIGHUP")
                self.log.write(f"SIGHUP: serial {applied.serial}: {applied.summary}")
            except (FileError, ApplyError) as error:
                self.log.write(f"SIGHUP: nothing was changed: {error}")

    async def _drain(self, core: GatewayCore, state_applier: StateApplier) -> None:
        self.log.write("SIGTERM: draining")
        await drain(core, state_applier.stop_listening)
        core.log_statistics(core.clock())
        self.log.write("drained")


def run_daemon(
    path: str, step: StepCallback = ignore_step, admin: str | None = None, as_json: bool = False
) -> int:
    """Run a gateway as an operator file configures it.

    Args:
        path: The operator file.
        step: Called at each step of an apply, so that tests can inject failures.
        admin: The admin socket, in place of the file's.
        as_json: Whether to print a line of JSON on standard output once it is ready.

    Returns:
        The exit status: 0 after a drain, 1 if it can't start.
    """

    def ready(state_applier: StateApplier) -> None:
        if as_json:
            reply = {
                "ok": True,
                "gateway": state_applier.gateway.name,
                "serial": state_applier.applied.serial,
            }
            print(json.dumps(reply), flush=True)

    block_signals()
    try:
        file = load_file(path)

        async def main() -> None:
            try:
                await Daemon(path, file, step, admin).run(ready)
            finally:
                block_signals()  # closing the loop removes its handlers

        uvloop.run(main())
    except FileError as error:
        for problem in error.problems:
            print(f"sailhitch: {problem}", file=sys.stderr)
        return 1
    except StartError as error:
        print(f"sailhitch: {error}", file=sys.stderr)
        return 1
    return 0
