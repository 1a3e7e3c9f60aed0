"""The rig's processes: those of hollow gateways, and real daemons. None outlives the rig."""

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
_SERIAL: Final = re.compile(r" tier: turn \d+: serial (\d+)")
LINE: Final = 1 << 24  # bytes of an answer at most
ANSWER: Final = 120.0  # s for a host to carry out a command
LOOK: Final = 0.02  # s between two looks at a daemon's log
ENDING: Final = 5.0  # s for a process to end by itself
# The system ends the daemon with the rig (prctl(2), PR_SET_PDEATHSIG), however the rig ends.
DAEMON: Final = (
    "import ctypes, signal; ctypes.CDLL(None).prctl(1, signal.SIGKILL);"
    "from sailhitch.daemon.cli import main; raise SystemExit(main())"
)


class RigError(Exception):
    """The run can't go on; the text says why."""


class RefusedError(RigError):
    """A daemon or a member has not carried out a change, by its own word."""


class HostProcess:
    """A process of hollow gateways, from the rig's side."""

    def __init__(self, plan: Path, log: Path) -> None:
        self.plan, self.log = plan, log
        self.program: asyncio.subprocess.Process | None = None
        self._turn = asyncio.Lock()

    @property
    def pid(self) -> int:
        assert self.program is not None
        return self.program.pid

    async def start(self) -> None:
        """Start it; it answers once its plan is read."""
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
                limit=LINE,
                start_new_session=True,
            )

    async def do(self, name: str, **more: Any) -> Any:
        """Have it carry out a command; raises RigError."""
        program = self.program
        assert program is not None
        assert program.stdin is not None
        assert program.stdout is not None
        async with self._turn:
            try:
                async with asyncio.timeout(ANSWER):
                    program.stdin.write(json.dumps({"do": name, **more}).encode() + b"\n")
                    await program.stdin.drain()
                    line = await program.stdout.readline()
            except (TimeoutError, OSError) as error:
                raise RigError(f"a process of hollow gateways: {name}: {error!r}") from None
        if not line:
            said = self.log.read_text()[-2000:]
            raise RigError(f"a process of hollow gateways has ended: {said}")
        answer = json.loads(line)
        if not answer["ok"]:
            raise RigError(answer["error"])
        return answer["value"]

    async def end(self) -> None:
        """End it."""
        program = self.program
        if program is None or program.returncode is not None:
            return
        if program.stdin is not None:
            program.stdin.close()
        try:
            async with asyncio.timeout(ENDING):
                await program.wait()
        except TimeoutError:
            program.kill()
            await program.wait()


class RealDaemon(GatewayProcess):
    """`sailhitch run`, whose log says by which serial it goes."""

    def __init__(self, name: str, folder: Path, value: Mapping[str, Any], port: int) -> None:
        super().__init__(name, folder, value, port)
        self.serials: list[tuple[float, int]] = []  # when it was seen to go by which
        self._read = 0
        self._watch: asyncio.Task[None] | None = None

    @property
    def pid(self) -> int:
        assert self.program is not None
        return self.program.pid

    async def start(self) -> None:
        self.serials.clear()
        self._read = self.log.stat().st_size if self.log.exists() else 0
        with open(self.log, "ab") as log:
            self.program = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                DAEMON,
                "run",
                str(self.folder / "g.toml"),
                stderr=log,
                stdout=log,
                cwd=ROOT,
                start_new_session=True,
            )
        if self._watch is None:
            self._watch = asyncio.get_running_loop().create_task(self._look())

    async def _look(self) -> None:
        """Read serials from its log, which costs the daemon nothing."""
        while True:
            if self.log.stat().st_size > self._read:
                with open(self.log, "rb") as file:
                    file.seek(self._read)
                    text = file.read()
                whole = text[: text.rfind(b"\n") + 1]
                self._read += len(whole)
                for line in whole.decode(errors="replace").splitlines():
                    serial = serial_said(line)
                    if serial is not None:
                        self.serials.append((now(), serial))
            await asyncio.sleep(LOOK)

    def in_force_at(self, serial: int) -> float | None:
        """Return when it was seen to go by this serial or a later one."""
        return next((at for at, one in self.serials if one >= serial), None)

    async def is_in(self) -> bool:
        """Return whether it may act."""
        return bool((await self.status()).get("standing") == "in")

    async def end(self, number: int = signal.SIGKILL) -> None:
        await super().end(number)

    async def close(self) -> None:
        """End it for good."""
        if self._watch is not None:
            self._watch.cancel()
        await self.end()


def serial_said(line: str) -> int | None:
    """The serial that a line of a daemon's log says it goes by: `tier: turn 3: serial 2, ...`."""
    found = _SERIAL.search(line)
    return None if found is None else int(found[1])
