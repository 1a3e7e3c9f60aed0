# ruff: noqa: D102, D103
"""Stand-ins and helpers of the cases 6 to 10: daemons, gateways, nodes, discovery and clients.

Everything is on 127.0.0.1. Nodes, discovery and clients run in the process of the case; gateways
and daemons are processes of their own, started by the commands of the project.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
DAEMON_PYTHON = ROOT / "review/tools-2/.venv/daemon-python"
GATEWAY_PYTHON = ROOT / ".venv/bin/python"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
_OPEN: set[asyncio.StreamWriter] = set()  # connections to stand-ins, closed at the end


class CannotRunError(Exception):
    """The case can't run here; the text says why."""


class Record:
    """The file `record.txt` of a case: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._since = time.monotonic()

    def __call__(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._since:8.3f} {text}\n")
        self._file.flush()


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port of 127.0.0.1 that nobody uses now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


# --- HTTP


@dataclass
class Message:
    """A request or an answer."""

    first: str
    fields: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        return int(self.first.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with a Content-Length, or without a body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    size = int(fields.get("content-length", "0"))
    return Message(first, fields, await reader.readexactly(size))


def answer(body: bytes, status: str = "200 OK", fields: str = "") -> bytes:
    """Return the bytes of an answer."""
    return f"HTTP/1.1 {status}\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body


async def ask(
    address: str, method: str, path: str, fields: Mapping[str, str], body: bytes, patience: float
) -> str:
    """Send a request on a new connection; return the status, `closed`, `refused` or `given up`."""
    host, _, port = address.partition(":")
    lines = [f"{method} {path} HTTP/1.1", "Host: service.internal"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    data = "\r\n".join([*lines, "", ""]).encode() + body
    writer = None
    try:
        async with asyncio.timeout(patience):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            return str((await read_message(reader)).status)
    except TimeoutError:
        return "given up"
    except asyncio.IncompleteReadError:
        return "closed"
    except OSError:
        return "closed" if writer is not None else "refused"
    finally:
        if writer is not None:
            writer.close()


Handler = Callable[["Node", Message, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class Node:
    """A server. `handle` answers a request; without it, each is run and answered at once."""

    name: str
    handle: Handler | None = None
    address: str = ""
    arrived: list[tuple[float, str]] = field(default_factory=list)  # when, and the request's id

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _OPEN.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                message = await read_message(reader)
                self.arrived.append((time.monotonic(), message.fields.get("req-id", "")))
                if self.handle is not None:
                    await self.handle(self, message, writer)
                else:
                    writer.write(answer(b"served"))
                await writer.drain()
        _OPEN.discard(writer)
        writer.close()


# --- Processes


@dataclass
class Process:
    """A process that the case started."""

    name: str
    command: list[str]
    log: Path
    env: dict[str, str] = field(default_factory=dict)
    program: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        with self.log.open("ab") as log:
            self.program = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, env={**os.environ, **self.env}, stdout=log, stderr=log
            )

    def runs(self) -> bool:
        return self.program is not None and self.program.returncode is None

    async def end(self, number: int = signal.SIGKILL) -> None:
        if self.program is not None and self.runs():
            self.program.send_signal(number)
            await self.program.wait()


async def wait_until(
    what: str, check: Callable[[], Awaitable[bool]], patience: float = 30.0
) -> None:
    """Wait until a check holds; raises CannotRunError."""
    end = time.monotonic() + patience
    while not await check():
        if time.monotonic() > end:
            raise CannotRunError(f"{what}: not within {patience:g} s")
        await asyncio.sleep(0.05)


async def is_ready(address: str) -> bool:
    return await ask(address, "GET", "/health/ready", {}, b"", 1.0) == "200"


def toml(value: Any) -> str:
    """Return a value as TOML on one line."""
    if isinstance(value, Mapping):
        pairs = (f"{json.dumps(k)} = {toml(v)}" for k, v in value.items())
        return "{ " + ", ".join(pairs) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(toml(one) for one in value) + "]"
    return json.dumps(value)


class Daemon:
    """An operators' daemon: `sailhitch run FILE`."""

    def __init__(self, name: str, folder: Path, value: dict[str, Any]) -> None:
        self.name = name
        self.folder = folder / name
        self.folder.mkdir()
        self.value = value
        self.file = self.folder / "g.toml"
        self.admin = self.folder / "admin.sock"
        gateway = {"name": name, "state_dir": str(self.folder / "state"), "admin": str(self.admin)}
        self.value["gateway"] = {**gateway, **value.get("gateway", {})}
        self.address = value["listeners"][0]["address"]
        command = [str(DAEMON_PYTHON), "-B", "-m", "sailhitch.daemon.cli"]
        self.cli = command
        self.process = Process(name, [*command, "run", str(self.file)], self.folder / "log")

    def write(self, path: Path, value: Mapping[str, Any]) -> None:
        path.write_text("".join(f"{key} = {toml(part)}\n" for key, part in value.items()))

    async def start(self) -> None:
        self.write(self.file, self.value)
        await self.process.start()

    async def command(self, *arguments: str) -> tuple[int, str]:
        """Run a command of the operators; return its exit code and what it printed."""
        program = await asyncio.create_subprocess_exec(
            *self.cli,
            *arguments,
            "--admin",
            str(self.admin),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await program.communicate()
        assert program.returncode is not None
        return program.returncode, output.decode().strip()

    async def request(self, request: Mapping[str, Any]) -> dict[str, Any]:
        """Send what a command sends to the admin socket; return the reply."""
        reader, writer = await asyncio.open_unix_connection(str(self.admin), limit=1 << 25)
        try:
            writer.write(json.dumps(request).encode() + b"\n")
            reply: dict[str, Any] = json.loads(await reader.readline())
            return reply
        finally:
            writer.close()


def tier_of(
    folder: Path, names: list[str], common: Mapping[str, Any], gateway: Mapping[str, Any]
) -> list[Daemon]:
    """Return the daemons of a tier whose files have the same classes, pools and routes."""
    keys = folder / "tier.keys"
    keys.write_text(f"1 {os.urandom(32).hex()}\n")
    members = [
        {"name": name, "address": f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}"} for name in names
    ]
    tier = {"name": "claims", "members": members, "voters": names, "key_file": str(keys)}
    return [
        Daemon(
            name,
            folder,
            {
                "version": 1,
                "gateway": dict(gateway),
                "tier": tier,
                "listeners": [{"name": "web", "address": f"127.0.0.1:{free_port()}"}],
                **common,
            },
        )
        for name in names
    ]


# --- The platform: its gateway, and an agent that pushes lists


def claims_settings() -> dict[str, Any]:
    """Return settings as the wire page shows them for claims-abuja."""
    classes = [
        ("claim-status", "pure", 4_000_000, 2_000_000, 1.0),
        ("field-notes", "pure", 6_000_000, 2_000_000, 1.0),
        ("claim-file", "side_effect", 3_000_000, 1_500_000, 2.0),
        ("payout", "side_effect", 5_000_000, 2_500_000, 3.0),
    ]
    return {
        "balancers": 1,
        "blend": {"whole": 0.55, "worstClass": 0.05, "worstTenant": 0.25, "worstWindow": 0.15},
        "classes": [
            {
                "deadline": deadline,
                "dedupScope": "all",
                "goalTime": aim,
                "importance": worth,
                "lateValue": 0.0,
                "memorySpan": 5_000_000,
                "name": name,
                "repeat": repeat,
                "stream": False,
            }
            for name, repeat, deadline, aim, worth in classes
        ],
        "clients": {"marksRetry": True},
        "costs": {"connection": 0.08, "crossZone": 0.01, "handshake": 0.08, "probe": 0.01},
        "dcs": ["abuja-1", "abuja-2", "lagos-1", "kaduna-1", "ibadan-1"],
        "discovery": "automatic",
        "familyInfo": {"warmKeys": False},
        "granularity": 5000,
        "layer": 0,
        "limits": {
            "attemptsCap": 5,
            "cancel": True,
            "connIdle": 30_000_000,
            "connectTimeout": 250_000,
            "maxOpen": 20_000,
            "maxRetryAfter": 2_000_000,
            "mayDuplicate": True,
            "peers": False,
            "probes": True,
            "retryAfter": True,
            "streamsPerConn": 1,
        },
        "loadReport": {"how": "answers", "names": ["depth", "concurrent", "mean_ms"]},
        "me": 0,
        "overShareWorth": 0.2,
        "rules": {
            "askWithin": 10_000_000,
            "cold": 9_000_000,
            "coldShare": 0.33,
            "drainGrace": 1_000_000,
            "fallMultiple": 3.0,
            "graceToAnswer": 20_000,
            "overloadFor": 2_000_000,
        },
        "shapes": ["std-1", "slow-1"],
        "tenants": [{"name": "kano-grain", "portion": 0.22, "quotaPerS": 16.0}],
        "tiers": ["claims-web"],
        "weightSource": "live",
        "workload": "proxy",
        "worthBy": "request",
        "zone": 0,
    }


@dataclass
class Agent:
    """Discovery's agent on a gateway's machine: answers at once with what it has."""

    servers: list[dict[str, Any]]
    version: int = 1
    address: str = ""

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _OPEN.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                target = (await read_message(reader)).first.split(" ")[1]
                is_watch = "after=" in target
                if is_watch:
                    wait_ms = int(target.partition("wait_ms=")[2].partition("&")[0])
                    await asyncio.sleep(wait_ms / 1000)
                servers = [] if is_watch else self.servers
                value = {"version": self.version, "full": not is_watch, "servers": servers}
                writer.write(answer(json.dumps(value).encode()))
                await writer.drain()
        _OPEN.discard(writer)
        writer.close()


class Gateway:
    """A gateway as the platform starts it: `run` of the deploy file."""

    def __init__(self, folder: Path, agent: Agent, settings: Mapping[str, Any]) -> None:
        self.address = f"127.0.0.1:{free_port()}"
        config = folder / "config.json"
        value = {
            "name": "n1",
            "listen": self.address,
            "discovery": agent.address,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"version": 0, "full": True, "servers": []},
            "settings": settings,
        }
        config.write_text(json.dumps(value))
        private = folder / "tmp"
        private.mkdir()
        env = {
            "EDGE_CONFIG": str(config),
            "EDGE_NAME": "n1",
            "EDGE_LISTEN": self.address,
            "EDGE_DISCOVERY": agent.address,
            "TMPDIR": str(private),
        }
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.process = Process("n1", ["/bin/sh", "-c", run], folder / "n1.log", env)

    async def start(self) -> None:
        await self.process.start()

        async def ready() -> bool:
            return await is_ready(self.address)

        await wait_until("the gateway is ready", ready)


async def start_all(daemons: list[Daemon]) -> None:
    """Start daemons, and wait until all want traffic."""
    for one in daemons:
        await one.start()
    for one in daemons:

        async def ready(one: Daemon = one) -> bool:
            if not one.process.runs():
                raise CannotRunError(f"{one.name} ended: {one.process.log.read_text()[-400:]}")
            return await is_ready(one.address)

        await wait_until(f"{one.name} is ready", ready)


# --- One case

Case = Callable[[Record, Path, list[Process]], Awaitable[int]]


def main(script: str, case: Case, needs: Path = DAEMON_PYTHON) -> int:
    """Run a case; return its exit code."""
    record = Record(Path(script).resolve().parent / "record.txt")
    if not needs.exists():
        record("can't run: build-2.sh or the build of the deploy file was not run")
        return CANNOT_RUN
    processes: list[Process] = []

    async def run() -> int:
        with tempfile.TemporaryDirectory(prefix="case") as folder:
            try:
                async with asyncio.timeout(115):
                    return await case(record, Path(folder), processes)
            except (CannotRunError, TimeoutError) as error:
                record(f"can't run: {error!r}")
                return CANNOT_RUN
            finally:
                for process in processes:
                    await process.end()
                for writer in _OPEN:
                    writer.transport.abort()
                await asyncio.sleep(0.05)

    code = asyncio.run(run())
    record({HELD: "the rule held", BROKEN: "the rule was BROKEN"}.get(code, "not run"))
    print(f"{'with' if TROUBLE else 'without'} the disruption: exit {code}", file=sys.stderr)
    return code
