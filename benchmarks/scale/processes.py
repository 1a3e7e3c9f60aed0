"""The rig's child processes: hosts of hollow gateways, and real daemons. None outlives the rig."""

from __future__ import annotations

import asyncio
import json
import re
import signal
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

from sailhitch.lab.gateway_process import GatewayProcess

from .figures import now

ROOT: Final = Path(__file__).resolve().parents[2]
_APPLIED_SERIAL: Final = re.compile(r" tier: turn \d+: serial (\d+)")
MAX_LINE_BYTES: Final = 1 << 24  # bytes of an answer at most
COMMAND_TIMEOUT: Final = 120.0  # s for a host to carry out a command
LOG_POLL_INTERVAL: Final = 0.02  # s between two reads of a daemon's log
EXIT_TIMEOUT: Final = 5.0  # s for a process to exit before it is killed
# The kernel kills the daemon when the rig exits for any reason (prctl(2), PR_SET_PDEATHSIG).
DAEMON_PROGRAM: Final = (
    "import ctypes, signal; ctypes.CDLL(None).prctl(1, signal.SIGKILL);"
    "from sailhitch.daemon.cli import main; raise SystemExit(main())"
)


class RigError(Exception):
    """The run can't continue; the message says why."""


class RefusedError(RigError):
    """A daemon or a member has refused a change."""


class HostProcess:
    """The rig's handle of a process of hollow gateways."""

    def __init__(self, plan: Path, log: Path) -> None:
        self.plan, self.log = plan, log
        self.program: asyncio.subprocess.Process | None = None
        self._command_lock = asyncio.Lock()

    @property
    def pid(self) -> int:
        assert self.program is not None
        return self.program.pid

    async def start(self) -> None:
        """Start the process; it answers commands once it has read its plan."""
        with open(self.log, "ab") as log:
            self.program = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "benchmarks.scale.host",
                str(self.plan),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                cwd=ROOT,
                limit=MAX_LINE_BYTES,
                start_new_session=True,
            )

    async def send_command(self, name: str, **more: Any) -> Any:
        """Send a command and return the answer's value. Raises RigError."""
        program = self.program
        assert program is not None
        assert program.stdin is not None
        assert program.stdout is not None
        async with self._command_lock:
            try:
                async with asyncio.timeout(COMMAND_TIMEOUT):
                    program.stdin.write(json.dumps({"do": name, **more}).encode() + b"\n")
                    await program.stdin.drain()
                    line = await program.stdout.readline()
            except (TimeoutError, OSError) as error:
                raise RigError(
                    f"command {name} to a process of hollow gateways: {error!r}"
                ) from None
        if not line:
            log_tail = self.log.read_text()[-2000:]
            raise RigError(f"a process of hollow gateways has exited: {log_tail}")
        answer = json.loads(line)
        if not answer["ok"]:
            raise RigError(answer["error"])
        return answer["value"]

    async def end(self) -> None:
        """Close its input, which ends it; kill it after a timeout."""
        program = self.program
        if program is None or program.returncode is not None:
            return
        if program.stdin is not None:
            program.stdin.close()
        try:
            async with asyncio.timeout(EXIT_TIMEOUT):
                await program.wait()
        except TimeoutError:
            program.kill()
            await program.wait()


class RealDaemon(GatewayProcess):
    """A `sailhitch run` process, whose log shows which serial is in force."""

    def __init__(self, name: str, folder: Path, value: Mapping[str, Any], port: int) -> None:
        super().__init__(name, folder, value, port)
        self.serials: list[tuple[float, int]] = []  # when each came into force, by the log
        self._log_offset = 0
        self._log_task: asyncio.Task[None] | None = None

    @property
    def pid(self) -> int:
        assert self.program is not None
        return self.program.pid

    async def start(self) -> None:
        self.serials.clear()
        self._log_offset = self.log.stat().st_size if self.log.exists() else 0
        with open(self.log, "ab") as log:
            self.program = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                DAEMON_PROGRAM,
                "run",
                str(self.folder / "g.toml"),
                stderr=log,
                stdout=log,
                cwd=ROOT,
                start_new_session=True,
            )
        if self._log_task is None:
            self._log_task = asyncio.get_running_loop().create_task(self._follow_log())

    async def _follow_log(self) -> None:
        """Follow its log for serials: unlike a query, this costs the daemon nothing."""
        while True:
            if self.log.stat().st_size > self._log_offset:
                with open(self.log, "rb") as file:
                    file.seek(self._log_offset)
                    text = file.read()
                complete_lines = text[: text.rfind(b"\n") + 1]
                self._log_offset += len(complete_lines)
                for line in complete_lines.decode(errors="replace").splitlines():
                    serial = logged_serial(line)
                    if serial is not None:
                        self.serials.append((now(), serial))
            await asyncio.sleep(LOG_POLL_INTERVAL)

    def in_force_at(self, serial: int) -> float | None:
        """Return when this serial or a later one was seen in force."""
        return next((at for at, one in self.serials if one >= serial), None)

    async def is_active(self) -> bool:
        """Return whether it is an active member."""
        return bool((await self.status()).get("standing") == "in")

    async def end(self, number: int = signal.SIGKILL) -> None:
        await super().end(number)

    async def close(self) -> None:
        """Kill it, and stop following its log."""
        if self._log_task is not None:
            self._log_task.cancel()
        await self.end()


def logged_serial(line: str) -> int | None:
    """Return the serial in force by a daemon's log line, as in `tier: turn 3: serial 2, ...`."""
    match = _APPLIED_SERIAL.search(line)
    return None if match is None else int(match[1])
