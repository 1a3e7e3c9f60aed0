"""One gateway process, hosts and crowds in processes of their own, and sound clients beside them.

    python -m tests.memory_limit.play [--memory MB] [--sockets N] [--connections N] SHAPE...

plays crowds by hand and prints what `Outcome` has. A shape is one of `crowd.Shape`, or what
`grammar_crowd` plays.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from sailhitch.lab.ports import free_port
from tests.memory_limit.crowd import Shape
from tests.sockets import Client, DiscoveryServer, config_value, dial, process, request

MB = 1 << 20
HOSTS = 5
CROWD_CONNECTIONS = 400
CROWD_SECONDS = 6.0
SOUND_RATE = 20.0  # requests a second
SOUND_WAIT_MS = 2000
REST_WITHIN = 20.0  # s from the end of a crowd until its memory has come back
SHARE_PERIOD = 0.1  # s in which a process with a share of a core stands still once
ANSWER_SLACK = 0.5  # s after its time at which a request without an answer is lost (STANDING)


@dataclass(slots=True)
class Outcome:
    """What a play measured."""

    peak: int = 0  # bytes that the process held at most
    rest: int = 0  # bytes that it held after the crowd had left
    exit_code: int | None = None  # of the process; None if it ran on
    sound: Counter[str] = field(default_factory=Counter)  # ends of the sound clients' requests
    slowest: float = 0.0  # s of a sound client's answer
    crowds: list[str] = field(default_factory=list)
    log: str = field(default="", repr=False)

    def __str__(self) -> str:
        ends = " ".join(f"{end}={n}" for end, n in sorted(self.sound.items()))
        return (
            f"peak {self.peak / MB:.0f} MB, at rest {self.rest / MB:.0f} MB, "
            f"exit {self.exit_code}; sound: {ends}, slowest {self.slowest:.2f} s; "
            f"crowds: {'; '.join(self.crowds)}"
        )


def memory_of(pid: int, key: str) -> int:
    """Return a figure of a process's memory in bytes; 0 if the process has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0
    lines = [line for line in status.splitlines() if line.startswith(f"{key}:")]
    return int(lines[0].split()[1]) * 1024 if lines else 0


class SoundClients:
    """Clients that each keep a connection, and send a request a second."""

    def __init__(self, addr: str, outcome: Outcome) -> None:
        self.addr, self.outcome = addr, outcome
        self._idle: list[Client] = []
        self._count = 0

    async def run(self, seconds: float) -> None:
        """Send requests at a steady rate, and wait until all have ended."""
        tasks = []
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            tasks.append(asyncio.create_task(self._one()))
            await asyncio.sleep(1 / SOUND_RATE)
        await asyncio.gather(*tasks)
        for client in self._idle:
            client.writer.close()

    async def _one(self) -> None:
        self._count += 1
        name = f"sound-{self._count}"
        began = time.monotonic()
        try:
            async with asyncio.timeout(SOUND_WAIT_MS / 1000 + ANSWER_SLACK):
                end = await self._ask(name)
        except TimeoutError:
            end = "late"
        except (OSError, asyncio.IncompleteReadError):
            end = "lost"
        self.outcome.sound[end] += 1
        self.outcome.slowest = max(self.outcome.slowest, time.monotonic() - began)

    async def _ask(self, name: str) -> str:
        """Send a request; on a new connection if the kept one was closed as it went out."""
        if self._idle:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                return await self._ask_on(self._idle.pop(), name)
        return await self._ask_on(await dial(self.addr), name)

    async def _ask_on(self, client: Client, name: str) -> str:
        status, body = await client.ask(request(name, wait_ms=SOUND_WAIT_MS))
        if status != 200:
            client.writer.close()
            return str(status)
        self._idle.append(client)
        return "served" if body.startswith(name.encode()) else "wrong"


@contextlib.asynccontextmanager
async def running_module(
    name: str, *arguments: object
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run a module of this package in a process of its own, which is killed at the end."""
    program = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        f"tests.memory_limit.{name}",
        *map(str, arguments),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        yield program
    finally:
        if program.returncode is None:
            program.kill()
        await program.wait()


async def _until_listening(addr: str) -> None:
    async with asyncio.timeout(10.0):
        while True:
            with contextlib.suppress(OSError):
                (await dial(addr)).writer.close()
                return
            await asyncio.sleep(0.02)


async def _until_small(pid: int, size: int) -> None:
    """Wait until a process holds less than `size`, for at most REST_WITHIN."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(REST_WITHIN):
            while memory_of(pid, "VmRSS") > size:
                await asyncio.sleep(0.1)


async def _kill_at_limit(pid: int, program: asyncio.subprocess.Process, limit: int) -> None:
    """Kill the process once it holds more than its limit, as the deployment page says."""
    while memory_of(pid, "VmHWM") <= limit:
        await asyncio.sleep(0.01)
    program.send_signal(signal.SIGKILL)


async def _share_a_core(program: asyncio.subprocess.Process, share: float) -> None:
    """Let a process run for a share of the time only, as the deployment's `cores` does."""
    while program.returncode is None:
        program.send_signal(signal.SIGSTOP)
        await asyncio.sleep((1.0 - share) * SHARE_PERIOD)
        program.send_signal(signal.SIGCONT)
        await asyncio.sleep(share * SHARE_PERIOD)


def _crowd_module(shape: Shape | str) -> str:
    return "crowd" if isinstance(shape, Shape) else "grammar_crowd"


def parse_shape(text: str) -> Shape | str:
    """Return a shape by its name; what is `SIDE:...` is left to `grammar_crowd`."""
    return text if ":" in text else Shape(text)


async def play(
    folder: Path,
    shapes: Sequence[Shape | str],
    memory_mb: int = 64,
    sockets: int = 1024,
    connections: int = CROWD_CONNECTIONS,
    seconds: float = CROWD_SECONDS,
    kills: bool = False,
    core_share: float = 1.0,
    package: str = "",
) -> Outcome:
    """Play one crowd of each shape at once; `kills`: the process ends when it passes its limit.

    A shape that is no `Shape` is what a `grammar_crowd` plays. `package` is run as the gateway.
    """
    outcome = Outcome()
    async with contextlib.AsyncExitStack() as stack:
        hosts = [(f"h{i}", f"127.0.0.1:{free_port()}") for i in range(HOSTS)]
        for _, addr in hosts:
            await stack.enter_async_context(running_module("host", addr.rpartition(":")[2]))
        for _, addr in hosts:
            await _until_listening(addr)
        discovery = await stack.enter_async_context(DiscoveryServer(*hosts))
        limits = {"memory_mb": memory_mb, "sockets": sockets}
        value = config_value(discovery.addr, *hosts, limits=limits)
        log = folder / "gateway.log"
        program, addr = await stack.enter_async_context(
            process(folder / "config.json", value, log=log, package=package)
        )
        if kills:
            killing = asyncio.create_task(_kill_at_limit(program.pid, program, memory_mb * MB))
            stack.callback(killing.cancel)
        if core_share < 1.0:
            stack.callback(asyncio.create_task(_share_a_core(program, core_share)).cancel)
        each = connections // len(shapes)
        crowds = [
            await stack.enter_async_context(
                running_module(_crowd_module(shape), addr, shape, each, seconds)
            )
            for shape in shapes
        ]
        await SoundClients(addr, outcome).run(seconds + 1.0)
        for crowd in crowds:
            out, _ = await crowd.communicate()
            outcome.crowds.append(out.decode().strip())
        await _until_small(program.pid, memory_mb * MB // 2)
        outcome.exit_code = program.returncode
        outcome.peak = memory_of(program.pid, "VmHWM")
        outcome.rest = memory_of(program.pid, "VmRSS")
        outcome.log = log.read_text()
    return outcome


def main() -> None:
    """Play crowds by hand."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("shapes", nargs="+", type=parse_shape)
    parser.add_argument("--memory", type=int, default=64)
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--connections", type=int, default=CROWD_CONNECTIONS)
    parser.add_argument("--cores", type=float, default=1.0)
    parser.add_argument("--together", action="store_true", help="all shapes in one play")
    parser.add_argument("--log", action="store_true", help="print the gateway's log")
    options = parser.parse_args()
    plays = [options.shapes] if options.together else [[shape] for shape in options.shapes]
    for shapes in plays:
        with tempfile.TemporaryDirectory() as folder:
            outcome = asyncio.run(
                play(
                    Path(folder),
                    shapes,
                    options.memory,
                    options.sockets,
                    options.connections,
                    core_share=options.cores,
                )
            )
        print(json.dumps([str(shape) for shape in shapes]), outcome, flush=True)
        if options.log:
            print(outcome.log)


if __name__ == "__main__":
    main()
