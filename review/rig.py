"""Stand-ins for platform, discovery and clients, written from the operators' pages.

Only the standard library is used. Every address is 127.0.0.1, every port a free one, and all files
but the record lie in a temporary folder. Times are seconds of the machine's monotonic clock, which
all processes of a case share.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
LOCAL = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
LONGEST_RUN = 110.0  # s
READY_WITHIN = 15.0  # s for a process to start
ANSWER_SLACK = 0.5  # s after its time at which a request without an answer is lost (STANDING)
SOCKET_SLACK = 0.05  # s by which each time limit of the four rules is longer on sockets (PROTOCOL)


class NotRunError(Exception):
    """The case could not run."""


def now() -> float:
    """Return the monotonic time, which is the same in all processes."""
    return time.monotonic()


def free_ports(count: int) -> list[int]:
    """Return ports that are free now."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((LOCAL, 0))
    ports = [int(sock.getsockname()[1]) for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def request_class(name: str, repeat: str, deadline: float, goal: float, worth: float) -> Any:
    """Return a class of the settings; times in seconds."""
    return {
        "deadline": int(deadline * 1e6),
        "dedupScope": "all",
        "goalTime": int(goal * 1e6),
        "importance": worth,
        "lateValue": 0.0,
        "memorySpan": 5_000_000,
        "name": name,
        "repeat": repeat,
        "stream": False,
    }


# The classes of the deployment in BRIEF, with its deadlines.
CLASSES = [
    request_class("claim-status", "pure", 4.0, 2.0, 1.0),
    request_class("field-notes", "pure", 6.0, 2.0, 1.0),
    request_class("claim-file", "side_effect", 3.0, 1.5, 2.0),
    request_class("payout", "side_effect", 5.0, 2.5, 3.0),
]


def settings(gateways: int, index: int, discovery: str = "automatic") -> dict[str, Any]:
    """Return settings like the example in WIRE, for a small deployment in one zone."""
    return {
        "balancers": gateways,
        "blend": {"whole": 0.55, "worstClass": 0.05, "worstTenant": 0.25, "worstWindow": 0.15},
        "classes": CLASSES,
        "clients": {"marksRetry": True},
        "costs": {
            "connection": 0.08,
            "crossZone": 0.01,
            "discovery": 0.0,
            "handshake": 0.08,
            "lateFail": 0.05,
            "moves": 0.0,
            "origin": 0.0,
            "peer": 0.0,
            "probe": 0.01,
            "waste": 0.05,
        },
        "dcs": ["abuja-1"],
        "discovery": discovery,
        "familyInfo": {"warmKeys": False},
        "granularity": 5000,
        "layer": 0,
        "limits": {
            "attemptsCap": 5,
            "cancel": True,
            "connIdle": 30_000_000,
            "connectTimeout": 250_000,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 400_000,
            "maxOpen": 20_000,
            "maxRetryAfter": 2_000_000,
            "mayDuplicate": True,
            "peers": False,
            "probes": True,
            "retryAfter": True,
            "streamsPerConn": 1,
        },
        "loadReport": {"how": "answers", "names": ["depth", "concurrent", "mean_ms"]},
        "me": index,
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
        "shapes": ["std-1"],
        "tenants": [],
        "tiers": ["claims-web"],
        "weightSource": "none",
        "workload": "proxy",
        "worthBy": "request",
        "zone": 0,
    }


@dataclass
class Entry:
    """An entry of discovery's list."""

    id: str
    addr: str
    state: str = "active"

    def value(self) -> dict[str, Any]:
        """Return the entry in discovery's form."""
        return {
            "id": self.id,
            "addr": self.addr,
            "zone": "abuja-1",
            "kind": "std-1",
            "cell": 0,
            "state": self.state,
            "weight": 1.0,
            "started_ms": 0,
        }


class Record:
    """Lines of `record.txt`."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self.began = now()

    def line(self, text: str, at: float | None = None) -> None:
        """Write a line, with the time since the start of the case."""
        self._file.write(f"{(at or now()) - self.began:8.3f} {text}\n")
        self._file.flush()


# --- Discovery


class Discovery:
    """One discovery service: whole lists, and watches that wait for changes.

    Each call is answered `delay` seconds after its answer was due.
    """

    def __init__(self, entries: list[Entry], record: Record, name: str = "discovery") -> None:
        self.entries = {entry.id: entry for entry in entries}
        self.changed_in = dict.fromkeys(self.entries, 1)
        self.version = 1
        self.delay = 0.0
        self.record = record
        self.name = name
        self.told: set[int] = set()  # versions that it has answered with
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, LOCAL, port)

    async def stop(self) -> None:
        """Take no new connection, and close the open ones after 1.5 s."""
        if self._server is not None:
            self._server.close()
        await asyncio.sleep(1.5)
        for writer in list(self._open):
            writer.close()

    def set_state(self, name: str, state: str) -> None:
        """Change a host's state; watches are told."""
        self.version += 1
        self.entries[name].state = state
        self.changed_in[name] = self.version
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        self.record.line(f"{self.name}: version {self.version}: {name} is {state}")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        ended = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ended):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                answer = await self._answer(target)
                writer.write(answer)
                await writer.drain()
                if self.version not in self.told:
                    self.told.add(self.version)
                    self.record.line(f"{self.name}: has answered with version {self.version}")
        self._open.discard(writer)
        writer.close()

    async def _answer(self, target: str) -> bytes:
        _, _, query = target.partition("?")
        values = dict(part.split("=") for part in query.split("&")) if query else {}
        after = int(values["after"]) if "after" in values else None
        if after is not None and after >= self.version:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(values.get("wait_ms", "0")) / 1000):
                    await self._changed.wait()
        if self.delay:
            await asyncio.sleep(self.delay)
        shown = [
            entry.value()
            for name, entry in self.entries.items()
            if after is None or self.changed_in[name] > after
        ]
        value = {"version": self.version, "full": after is None, "servers": shown}
        body = json.dumps(value).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


# --- Processes


class Processes:
    """The processes that a case started, all of which it ends."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.all: list[subprocess.Popen[bytes]] = []

    def start(self, command: list[str], env: dict[str, str], log: str) -> subprocess.Popen[bytes]:
        """Start a process from the project's root."""
        with (self.folder / log).open("ab") as file:
            process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=file, stderr=file
            )
        self.all.append(process)
        return process

    def end(self) -> None:
        """End all processes."""
        for process in self.all:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


@dataclass
class Host:
    """A host process, see `host.py`."""

    entry: Entry
    process: subprocess.Popen[bytes]
    log: Path

    def events(self) -> list[dict[str, Any]]:
        """Return what it has recorded."""
        lines = self.log.read_text().splitlines()
        return [json.loads(line) for line in lines if line.endswith("}")]


@dataclass
class Gateway:
    """A gateway process, started by the deploy file's `run`."""

    name: str
    address: tuple[str, int]
    process: subprocess.Popen[bytes]
    config: Path
    value: dict[str, Any]

    def reload(self, **changes: Any) -> None:
        """Replace its file, and send SIGHUP."""
        self.value |= changes
        new = self.config.with_suffix(".new")
        new.write_text(json.dumps(self.value))
        new.replace(self.config)
        self.process.send_signal(signal.SIGHUP)


class Platform:
    """Starts hosts and gateways as the deployment page says."""

    def __init__(self, record: Record) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = Processes(self.folder)
        self.record = record
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        self.run_command = str(deploy["run"])
        if not (ROOT / ".venv/bin/python").exists():
            raise NotRunError("the build of the deploy file has not run")

    async def start_hosts(self, count: int, *options: str, program: str = "host.py") -> list[Host]:
        """Start hosts, and wait until they listen."""
        hosts = []
        for i, port in enumerate(free_ports(count)):
            log = self.folder / f"h{i}.events"
            log.touch()
            script = str(Path(__file__).with_name(program))
            command = [sys.executable, "-B", script, str(port), str(log), *options]
            process = self.processes.start(command, dict(os.environ), f"h{i}.log")
            hosts.append(Host(Entry(f"h{i}", f"{LOCAL}:{port}"), process, log))
        for host in hosts:
            await until_listening(int(host.entry.addr.rpartition(":")[2]))
        return hosts

    async def start_gateways(
        self, count: int, hosts: list[Host], discovery: list[int], mode: str = "automatic"
    ) -> list[Gateway]:
        """Start gateways, and wait until each wants traffic."""
        ports = free_ports(2 * count)
        gateways = []
        for i in range(count):
            listed = [host.entry.value() for host in hosts]
            value = {
                "name": f"n{i}",
                "listen": f"{LOCAL}:{ports[i]}",
                "discovery": f"{LOCAL}:{discovery[i]}",
                "seed": f"{random.getrandbits(64):016x}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "peer_listen": f"{LOCAL}:{ports[count + i]}",
                "peers": [f"{LOCAL}:{port}" for port in ports[count:]],
                "peers_all": f"{LOCAL}:{ports[count]}",
                "known": {"version": 1, "full": True, "servers": listed},
                "settings": settings(count, i, mode),
            }
            config = self.folder / f"n{i}.json"
            config.write_text(json.dumps(value))
            private = self.folder / f"n{i}.tmp"
            private.mkdir()
            env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
            env |= {
                "EDGE_NAME": f"n{i}",
                "EDGE_LISTEN": value["listen"],
                "EDGE_DISCOVERY": value["discovery"],
                "EDGE_CONFIG": str(config),
                "TMPDIR": str(private),
            }
            process = self.processes.start(["/bin/sh", "-c", self.run_command], env, f"n{i}.stderr")
            gateways.append(Gateway(f"n{i}", (LOCAL, ports[i]), process, config, value))
        for gateway in gateways:
            await until_ready(gateway)
        return gateways

    def close(self) -> None:
        """End all processes, add the gateways' logs to the record, and remove the folder."""
        self.processes.end()
        for log in sorted(self.folder.glob("n*.stderr")):
            for text in log.read_text(errors="replace").splitlines():
                self.record.line(f"log of {log.stem}: {text}")
        shutil.rmtree(self.folder, ignore_errors=True)


async def until_listening(port: int) -> None:
    """Wait until something listens at a port."""
    limit = now() + READY_WITHIN
    while now() < limit:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(LOCAL, port)
            writer.close()
            return
        await asyncio.sleep(0.05)
    raise NotRunError("a stand-in does not listen")


async def until_ready(gateway: Gateway) -> None:
    """Wait until a gateway answers its health check with 200."""
    limit = now() + READY_WITHIN
    while now() < limit and gateway.process.poll() is None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(*gateway.address)
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            if b" 200 " in head.split(b"\r\n")[0]:
                return
        await asyncio.sleep(0.05)
    raise NotRunError(f"gateway {gateway.name} is not ready")


# --- Clients


@dataclass
class Ask:
    """One request of a client, and what came of it."""

    name: str
    kind: str
    target: str = "/api"
    deadline: float = 2.0  # s that the client waits, as the request says
    body: int = 0
    began: float = 0.0
    sent: float = 0.0  # when its last byte was written; 0: not yet
    answered: float = 0.0  # when the answer's last byte came; 0: never
    status: int = 0
    size: int = 0
    whole: bool = False  # the answer is the one that a host made for this request
    first: bytes = b""  # the first bytes of the answer's body
    end: str = ""  # how the connection ended without an answer
    gave_up: float = 0.0

    def due(self) -> float:
        """Return when a request without a final answer is lost."""
        return self.sent + self.deadline + ANSWER_SLACK

    def describe(self) -> str:
        """Return a line for the record."""
        what = f"{self.name} {self.kind} ({self.body})"
        if not self.sent:
            return f"{what}: not sent whole; {self.end}"
        if not self.answered:
            waited = self.gave_up - self.sent
            return f"{what}: NO ANSWER {waited:.3f} s after its last byte; {self.end}"
        took = self.answered - self.sent
        return f"{what}: {self.status}, {self.size} bytes after {took:.3f} s"


def body_for(name: str, size: int) -> bytes:
    """Return the body of `size` bytes that a host answers to the request of this id."""
    unit = f"{name};".encode()
    return (unit * (size // len(unit) + 1))[:size]


class Client:
    """One connection to a gateway; sends one request at a time."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self._sock: socket.socket | None = None
        self._rest = b""

    def close(self) -> None:
        """Close the connection."""
        if self._sock is not None:
            self._sock.close()
        self._sock = None
        self._rest = b""

    async def ask(self, ask: Ask, patience: float) -> None:
        """Send a request, and wait `patience` seconds after its last byte for the answer.

        Without an answer the client closes then.
        """
        loop = asyncio.get_running_loop()
        if self._sock is None:
            self._sock = socket.socket()
            self._sock.setblocking(False)
            await loop.sock_connect(self._sock, self.gateway.address)
        ask.began = now()
        method = "POST" if ask.kind in ("claim-file", "payout") else "GET"
        lines = [
            f"{method} {ask.target} HTTP/1.1",
            "Host: service.internal",
            f"Req-Id: {ask.name}",
            f"Req-Kind: {ask.kind}",
            f"Req-Deadline-Ms: {int(ask.deadline * 1000)}",
        ]
        if method == "POST":
            lines.append(f"Content-Length: {ask.body}")
        message = "\r\n".join([*lines, "", ""]).encode()
        message += body_for(ask.name, ask.body)
        try:
            async with asyncio.timeout(patience):
                await loop.sock_sendall(self._sock, message)
            ask.sent = now()
            async with asyncio.timeout(patience):
                await self._read_answer(ask)
        except TimeoutError:
            ask.end = "the connection stayed open"
            ask.gave_up = now()
            self.close()
        except (OSError, ValueError) as error:
            ask.end = f"{type(error).__name__}: {error}"
            ask.gave_up = now()
            self.close()

    async def _receive(self) -> bytes:
        assert self._sock is not None
        data = await asyncio.get_running_loop().sock_recv(self._sock, 256 * 1024)
        if not data:
            raise ConnectionResetError("closed by the gateway")
        return data

    async def _read_answer(self, ask: Ask) -> None:
        while b"\r\n\r\n" not in self._rest:
            self._rest += await self._receive()
        head, _, rest = self._rest.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").lower().split("\r\n")
        status = int(lines[0].split(" ")[1])
        fields = dict(line.split(":", 1) for line in lines[1:])
        body = bytearray()
        if "content-length" in fields:
            length = int(fields["content-length"])
            while len(rest) < length:
                rest += await self._receive()
            body += rest[:length]
            self._rest = rest[length:]
        else:
            while True:
                while b"\r\n" not in rest:
                    rest += await self._receive()
                text, _, rest = rest.partition(b"\r\n")
                size = int(text.split(b";")[0], 16)
                while len(rest) < size + 2:
                    rest += await self._receive()
                body += rest[:size]
                rest = rest[size + 2 :]
                if not size:
                    break
            self._rest = rest
        ask.answered = now()
        ask.status = status
        ask.size = len(body)
        ask.first = bytes(body[:16])
        ask.whole = status == 200 and bytes(body) == body_for(ask.name, len(body))
        if "close" in fields.get("connection", ""):
            self.close()


class Clients:
    """All clients of a case; each request goes out on an idle connection or a new one."""

    def __init__(self, gateways: list[Gateway], record: Record, patience: float) -> None:
        self.gateways = gateways
        self.record = record
        self.patience = patience
        self.asks: list[Ask] = []
        self._idle: dict[str, list[Client]] = {gateway.name: [] for gateway in gateways}
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, ask: Ask) -> None:
        """Send a request now."""
        self.asks.append(ask)
        task = asyncio.get_running_loop().create_task(self._send(ask))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, ask: Ask) -> None:
        gateway = random.choice(self.gateways)
        idle = self._idle[gateway.name]
        client = idle.pop() if idle else Client(gateway)
        await client.ask(ask, self.patience + ask.deadline)
        self.record.line(ask.describe())
        idle.append(client)

    async def every(self, pause: float, until: float, make: Callable[[int], Ask]) -> None:
        """Send requests at a steady pace until a time."""
        count = 0
        while now() < until:
            self.send(make(count))
            count += 1
            await asyncio.sleep(pause)

    async def finish(self) -> None:
        """Wait for all requests that are open."""
        while self._tasks:
            await asyncio.wait(self._tasks)


def lost(asks: list[Ask]) -> list[Ask]:
    """Return the requests that were taken and got no whole final answer in time."""
    found = []
    for ask in asks:
        if not ask.sent:
            continue
        wrong = ask.status == 200 and not ask.whole
        if not ask.answered or ask.answered > ask.due() or wrong:
            found.append(ask)
    return found


def run_case(folder: str, case: Callable[[Record, bool], Coroutine[Any, Any, int]]) -> int:
    """Run a case; return its exit code."""
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE") != "0"
    record.line(f"TROUBLE={int(trouble)}")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))

    async def bounded() -> int:
        async with asyncio.timeout(LONGEST_RUN):
            return await case(record, trouble)

    try:
        code = asyncio.run(bounded())
    except Exception as error:
        record.line(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return NOT_RUN
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken"}.get(code, "could not run")
    record.line(verdict)
    print(verdict)
    return code
