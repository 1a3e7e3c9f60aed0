"""Gateway processes of a run: starts, stops, kills, pauses and reloads the real program."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from sailhitch.lab.ports import free_port
from tests.memory_limit.play import MB, memory_of
from tests.soak.agents import Agent
from tests.soak.records import ProcessRecord, Records
from tests.soak.system_faults import FaultPlan
from tests.sockets import dial

READY_WITHIN = 10.0  # s
LONGEST_DEADLINE = 3.0  # s; the protocol page caps longer deadlines at this
KILL_AFTER = LONGEST_DEADLINE + 0.7  # s from SIGTERM to SIGKILL, the shortest that the page allows
ABORT_TIME = 0.3  # s in which a process that is aborted ends
MEMORY_CHECK_INTERVAL = 0.05  # s

SignalSeries = Sequence[tuple[float, signal.Signals]]  # signals, and the pause (s) before each


class Gateway:
    """One gateway across its successive processes."""

    def __init__(
        self, name: str, folder: Path, library: Path, agents: list[Agent], records: Records
    ) -> None:
        self.name, self.records, self.agents = name, records, agents
        self.addr = f"127.0.0.1:{free_port()}"
        self.path, self.log = folder / f"{name}.json", folder / f"{name}.log"
        self.faults = FaultPlan(folder / f"{name}.faults")
        self.library = library
        self.processes: list[ProcessRecord] = records.processes.setdefault(name, [])
        self.value: dict[str, Any] = {}
        self.program: asyncio.subprocess.Process | None = None
        self.open = False  # the front sends it new connections
        self.ending = False  # got SIGTERM; clients still use their open connections
        self._restart_lock = asyncio.Lock()
        self._memory_watch: asyncio.Task[None] | None = None

    @property
    def process(self) -> ProcessRecord:
        """The record of the latest process."""
        return self.processes[-1]

    def configure(self, value: dict[str, Any]) -> None:
        """Write its configuration file."""
        self.value = value | {"name": self.name, "listen": self.addr}
        self.path.write_text(json.dumps(self.value))

    async def start(self) -> None:
        """Start a process, and wait until it is ready."""
        env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        env |= self.faults.environment(self.library)
        env |= {"EDGE_CONFIG": str(self.path), "EDGE_NAME": self.name, "EDGE_LISTEN": self.addr}
        env |= {"EDGE_DISCOVERY": self.value["discovery"], "PYTHONFAULTHANDLER": "1"}
        self.processes.append(ProcessRecord(time.monotonic()))
        with self.log.open("ab") as log:
            self.program = await asyncio.create_subprocess_exec(
                sys.executable, "-B", "-m", "sailhitch", env=env, stderr=log
            )
        self._memory_watch = asyncio.create_task(self._enforce_memory(self.program, self.process))
        while time.monotonic() - self.process.started < 2 * READY_WITHIN:
            if self.program.returncode is not None:
                break
            if await self._is_ready():
                self.process.ready = time.monotonic()
                self.open = True
                return
            await asyncio.sleep(0.03)

    async def _enforce_memory(
        self, program: asyncio.subprocess.Process, process: ProcessRecord
    ) -> None:
        """Kill a process that passes the memory of its settings, as the deployment page says."""
        limit = int(self.value["limits"]["memory_mb"]) * MB
        while program.returncode is None:
            held = memory_of(program.pid, "VmHWM")
            if held > limit:
                process.exceeded_memory = held
                await self.kill()
                return
            await asyncio.sleep(MEMORY_CHECK_INTERVAL)

    async def _is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1.0):
                client = await dial(self.addr)
                status, _ = await client.ask(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
            client.writer.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        return status == 200

    async def end(self, after: SignalSeries = ()) -> None:
        """Send SIGTERM, then the signals `after`, and wait for the exit.

        A process that still runs after KILL_AFTER is killed.
        """
        program, process = self.program, self.process
        if program is None or program.returncode is not None:
            return
        process.stopped, self.ending = time.monotonic(), True
        program.send_signal(signal.SIGTERM)
        following = asyncio.create_task(self._send_series(program, after))
        await asyncio.sleep(0.2)
        self.open = False  # the front has noticed
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time() + process.stopped + KILL_AFTER - time.monotonic()
            ):
                await program.wait()
        except TimeoutError:
            await self._abort(program)
        following.cancel()
        process.ended, process.code, self.ending = time.monotonic(), program.returncode, False

    async def _abort(self, program: asyncio.subprocess.Process) -> None:
        """Kill a process, which writes to its log where it is, unless it is suspended."""
        program.send_signal(signal.SIGABRT)
        try:
            async with asyncio.timeout(ABORT_TIME):
                await program.wait()
        except TimeoutError:
            program.kill()
            await program.wait()

    async def _send_series(self, program: asyncio.subprocess.Process, series: SignalSeries) -> None:
        for pause, number in series:
            await asyncio.sleep(pause)
            if program.returncode is None:
                program.send_signal(number)

    async def restart(self, before: SignalSeries = (), after: SignalSeries = ()) -> None:
        """Stop with SIGTERM, amid other signals if given, and start the next process."""
        if self._restart_lock.locked():
            return
        async with self._restart_lock:
            if self.program is not None:
                await self._send_series(self.program, before)
            await self.end(after)
            await self.start()

    async def kill(self) -> None:
        """Send SIGKILL and start the next process; the front notices a little later."""
        if self._restart_lock.locked() or self.program is None:
            return
        async with self._restart_lock:
            self.process.killed = time.monotonic()
            self.program.kill()
            await self.program.wait()
            self.process.ended, self.open = time.monotonic(), False
            await self.start()

    async def pause(self, seconds: float) -> None:
        """Suspend the process with SIGSTOP for `seconds`."""
        program, process = self.program, self.process
        if program is None or program.returncode is not None:
            return
        begun = time.monotonic()
        program.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            if program.returncode is None:
                program.send_signal(signal.SIGCONT)
            process.pauses.append((begun, time.monotonic()))

    def reload(self) -> None:
        """Switch the configuration to the other discovery agent and send SIGHUP."""
        program = self.program
        if program is None or program.returncode is not None or not self.open:
            return
        self.agents.reverse()
        self.configure(self.value | {"discovery": self.agents[0].addr})
        self.process.reloads.append(time.monotonic())
        program.send_signal(signal.SIGHUP)

    async def stop(self) -> None:
        """Kill the process if it still runs, and release the fault plan."""
        if self._memory_watch is not None:
            self._memory_watch.cancel()
        if self.program is not None and self.program.returncode is None:
            self.program.kill()
            await self.program.wait()
        self.faults.close()
