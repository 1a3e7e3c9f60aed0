"""Runs a daemon as a separate process: start, signals, admin requests and log."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from ..daemon.admin import AdminError, ask
from .files import toml_text


class GatewayProcess:
    """A daemon in a process of its own, and the times at which it was not expected to serve."""

    def __init__(self, name: str, folder: Path, value: Mapping[str, Any], port: int) -> None:
        self.name = name
        self.folder = folder
        self.value = dict(value)
        self.addr = f"127.0.0.1:{port}"
        self.admin = folder / "admin.sock"
        self.log = folder / "log"
        self.program: asyncio.subprocess.Process | None = None
        self.down: list[tuple[float, float]] = []  # intervals in which it was not expected to serve
        self.restarted = False
        self._down_since: float | None = 0.0

    async def start(self) -> None:
        """Write the operator file and start the daemon."""
        file = self.folder / "g.toml"
        file.write_text(toml_text(self.value))
        with open(self.log, "ab") as log:
            self.program = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "sailhitch.daemon.cli",
                "run",
                str(file),
                stderr=log,
                stdout=log,
                cwd=Path(__file__).resolve().parents[2],
            )

    def send(self, number: int) -> None:
        """Send a signal to the process."""
        if self.program is not None and self.runs():
            self.program.send_signal(number)

    def runs(self) -> bool:
        """Return whether the process is running."""
        return self.program is not None and self.program.returncode is None

    async def end(self, number: int = signal.SIGKILL) -> None:
        """Send a signal that ends the process, and wait until it has exited."""
        if self.program is not None and self.runs():
            self.program.send_signal(signal.SIGCONT)
            self.program.send_signal(number)
            await self.program.wait()

    def mark_down(self, now: float) -> None:
        """Record that the gateway is not expected to serve from `now` on."""
        self._down_since = now if self._down_since is None else self._down_since

    def mark_up(self, now: float) -> None:
        """Record that the gateway is expected to serve again from `now` on."""
        if self._down_since is not None:
            self.down.append((self._down_since, now))
            self._down_since = None

    async def ask(self, request: Mapping[str, Any], patience: float = 30.0) -> dict[str, Any]:
        """Send an admin request; raises AdminError."""
        return await asyncio.to_thread(ask, self.admin, request, patience)

    async def status(self) -> dict[str, Any]:
        """Return the reply of `tier status`; empty if the daemon does not answer."""
        try:
            return await self.ask({"op": "tier", "act": "status"}, 1.0)
        except AdminError:
            return {}
