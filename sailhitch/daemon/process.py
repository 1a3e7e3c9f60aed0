"""The daemon's process: start, signals, drain."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import uvloop

from ..core.core import GatewayCore
from ..core.log import Log
from ..core.process import drain, heed, hold_signals, settle_memory
from ..tier.disk import DiskError
from ..tier.wire import KeyFileError, load_keys
from .admin import Admin, AdminError
from .schema import FileError, OperatorFile, TierPart, load_file
from .source import LocalStateSource, StateSource
from .state import from_file, with_bans
from .state_applier import ApplyError, StateApplier, resource_limits
from .store import Step, Store, StoreError, ignore_step
from .tier_link import LinkError
from .tier_source import TierStateSource


class StartError(Exception):
    """The daemon can't start; the text says why and what to do."""


class Daemon:
    """A gateway that goes by an operator file."""

    def __init__(
        self,
        path: str,
        made: OperatorFile,
        step: Step = ignore_step,
        admin: str | None = None,
    ) -> None:
        self.path = path
        self.gateway = made.gateway
        self.admin = admin or made.gateway.admin
        self.file = made
        self.step = step
        self.log = Log(self.gateway.name)
        self.stop = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._reading = asyncio.Lock()

    async def run(self, ready: Callable[[StateApplier], None] = lambda live: None) -> None:
        """Serve until SIGTERM has been honoured; raises StartError."""
        loop = asyncio.get_running_loop()
        core = GatewayCore(resource_limits(self.gateway, 1_000_000), loop, self.log)
        store = own = admin = tier = None
        try:
            if self.gateway.state_dir is not None:
                store = Store(Path(self.gateway.state_dir), self.gateway.name)
            if self.file.tier is not None:
                # What the tier decides is kept apart from what this gateway decided alone.
                own = store
                folder = Path(self.gateway.state_dir or "") / "tier"
                store = Store(folder, self.gateway.name)
            live = StateApplier(core, self.gateway, store, self.step)
            source: StateSource = LocalStateSource(live)
            core.begin()
            if self.file.tier is not None:
                source = tier = self._tier(live, self.file.tier, own)
            applied = await source.start(self.file)
            if self.admin is not None:
                admin = Admin(live, source, Path(self.admin), tier)
                await admin.start()
            self._signals(loop, source)
            nodes = len(applied.state["nodes"])
            self.log.write(f"serial {applied.serial} ({applied.applied_by}), {nodes} nodes; ready")
            if tier is None and applied.state != with_bans(from_file(self.file), applied.state):
                self.log.write(
                    f"the last applied state holds; {self.path} differs: `sailhitch plan` shows how"
                )
            core.ready = tier is None
            settle_memory()
            ready(live)
            await self.stop.wait()
            await self._drain(core, live)
            if tier is not None:
                # Not before: who has left acts on nothing, and its clients are still inside.
                await tier.leave()
        except (StoreError, ApplyError, AdminError, DiskError, LinkError, KeyFileError) as error:
            raise StartError(str(error)) from None
        finally:
            if admin is not None:
                admin.close()
            core.finish()
            if tier is not None:
                tier.link.close()
            for one in (store, own):
                if one is not None:
                    one.close()

    def _tier(self, live: StateApplier, part: TierPart, own: Store | None) -> TierStateSource:
        folder = Path(self.gateway.state_dir or "") / "tier"
        return TierStateSource(
            live, part, load_keys(part.key_file), folder, own, self.log, self.file.zones
        )

    def _signals(self, loop: asyncio.AbstractEventLoop, source: StateSource) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload, source)
        heed(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

    def _reload(self, source: StateSource) -> None:
        task = asyncio.get_running_loop().create_task(self._reread(source))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _reread(self, source: StateSource) -> None:
        """SIGHUP: go to what the file says now, or stay as it was."""
        # Of two readings at a time the older could be the one that is gone by last.
        async with self._reading:
            try:
                made = await asyncio.to_thread(load_file, self.path)
                if made.gateway != self.gateway:
                    self.log.write(
                        "SIGHUP: [gateway] has changed; that holds from the next start on"
                    )
                applied = await source.apply_file(made, "SIGHUP")
                self.log.write(f"SIGHUP: serial {applied.serial}: {applied.summary}")
            except (FileError, ApplyError) as error:
                self.log.write(f"SIGHUP: nothing was changed: {error}")

    async def _drain(self, core: GatewayCore, live: StateApplier) -> None:
        self.log.write("SIGTERM: draining")
        await drain(core, live.stop_listening)
        core.log_statistics(core.clock())
        self.log.write("drained")


def run_daemon(
    path: str, step: Step = ignore_step, admin: str | None = None, as_json: bool = False
) -> int:
    """Run a gateway by an operator file; 0 after a drain, 1 where it can't start.

    `as_json` has it print one line on standard output once it is ready.
    """

    def ready(live: StateApplier) -> None:
        if as_json:
            found = {"ok": True, "gateway": live.gateway.name, "serial": live.applied.serial}
            print(json.dumps(found), flush=True)

    hold_signals()
    try:
        made = load_file(path)

        async def main() -> None:
            try:
                await Daemon(path, made, step, admin).run(ready)
            finally:
                hold_signals()  # the loop takes its handlers with it

        uvloop.run(main())
    except FileError as error:
        for problem in error.problems:
            print(f"sailhitch: {problem}", file=sys.stderr)
        return 1
    except StartError as error:
        print(f"sailhitch: {error}", file=sys.stderr)
        return 1
    return 0
