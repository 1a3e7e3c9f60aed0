"""Long flows and upgrades of the platform's line: throughput, memory, latency beside them.

    python benchmarks/daily.py flows [--size MB] [--json]
    python benchmarks/daily.py upgrades [--count N] [--json]

`flows` plays 1, 10 and 50 exchanges at once whose body and answer have 32 MB each, through a
process with 80 MB, beside short requests. `upgrades` replaces the process again and again under 16
clients that ask as fast as they are answered: each request is answered once, and one host stays out
for maintenance all the time. Exit code 1 where anything is lost, doubled or sent to that host.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from benchmarks.overhead import memory_of  # noqa: E402
from tests.generations import call_operator, supervisor_with_hosts  # noqa: E402
from tests.sockets import (  # noqa: E402
    Client,
    Registry,
    Server,
    Writer,
    answer,
    config_value,
    dial,
    process,
    request,
)

MB = 1 << 20
CLIENTS = 16


class Sink(Server):
    """Takes a body in pieces and sends as much back, holding none of it."""

    async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        self.writers.append(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                size = int(head.partition(b"content-length: ")[2].split(b"\r")[0] or 0)
                left = size
                while left:
                    left -= len(await reader.read(min(left, 65536)))
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
                for at in range(0, size, 65536):
                    writer.write(bytes(min(65536, size - at)))
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return


async def exchange(client: Client, name: str, size: int) -> None:
    """One long request and its answer, in pieces on this side too."""
    head = request(name, b"", wait_ms=60_000).replace(b"Length: 0", b"Length: %d" % size)
    client.send(head)
    for at in range(0, size, 65536):
        client.send(bytes(min(65536, size - at)))
        await client.writer.drain()
    answered = await client.reader.readuntil(b"\r\n\r\n")
    assert answered.startswith(b"HTTP/1.1 200"), answered
    left = size
    while left:
        got = len(await client.reader.read(65536))
        assert got, "the answer broke off"
        left -= got


async def shorts(addr: str, over: asyncio.Event, times: list[float]) -> None:
    """Short requests, one after the other."""
    client, n = await dial(addr), 0
    while not over.is_set():
        n += 1
        begin = time.perf_counter()
        status, _ = await client.ask(request(f"s{id(times)}-{n}", b"x", wait_ms=5000))
        assert status == 200, status
        times.append(time.perf_counter() - begin)
        await asyncio.sleep(0.005)


async def flows(size: int) -> list[dict[str, Any]]:
    rows = []
    for count in (1, 10, 50):
        with tempfile.TemporaryDirectory() as folder:
            async with Sink() as host, Registry(("a", host.addr)) as registry:
                classes = {"classes": _patient()}
                value = config_value(
                    registry.addr, ("a", host.addr), settings=classes, limits={"sockets": 1024}
                )
                async with process(Path(folder) / "c.json", value) as (program, addr):
                    over, times = asyncio.Event(), list[float]()
                    short = asyncio.create_task(shorts(addr, over, times))
                    clients = [await dial(addr) for _ in range(count)]
                    begin = time.perf_counter()
                    await asyncio.gather(
                        *[exchange(c, f"f{i}", size) for i, c in enumerate(clients)]
                    )
                    took = time.perf_counter() - begin
                    over.set()
                    await short
                    rows.append(
                        {
                            "flows": count,
                            "size_mb": size // MB,
                            "seconds": round(took, 2),
                            "mb_per_s": round(2 * count * size / MB / took),
                            "peak_mb": round(memory_of(program.pid), 1),
                            "short_p50_ms": round(1000 * statistics.median(times), 1),
                            "short_p99_ms": round(1000 * _p99(times), 1),
                        }
                    )
    return rows


def _patient() -> list[dict[str, Any]]:
    from tests.fake import BASE

    return [{**one, "goalTime": 50_000_000, "deadline": 60_000_000} for one in BASE["classes"]]


def _p99(times: list[float]) -> float:
    return sorted(times)[int(0.99 * (len(times) - 1))]


async def upgrades(count: int) -> dict[str, Any]:
    async def prompt(message: bytes, writer: Writer) -> None:
        await asyncio.sleep(0.01)
        writer.write(answer(b"served"))

    banned, a, b = Server(prompt), Server(prompt), Server(prompt)
    with tempfile.TemporaryDirectory() as folder:
        async with supervisor_with_hosts(Path(folder), a=a, b=b, out=banned) as site:
            newest = await site.ready()
            assert await newest.enter_maintenance("out") == 200
            await asyncio.sleep(0.1)
            before = len(banned.seen)
            over, asked = asyncio.Event(), 0
            times: dict[bool, list[float]] = {False: [], True: []}
            upgrading = False

            async def load(k: int) -> None:
                nonlocal asked
                client = await site.client()
                while not over.is_set():
                    asked += 1
                    began, during = time.perf_counter(), upgrading
                    got = await client.ask(request(f"r{k}-{asked}", b"effect"))
                    assert got == (200, b"served"), got
                    times[during].append(time.perf_counter() - began)

            tasks = [asyncio.create_task(load(k)) for k in range(CLIENTS)]
            ready, calls = [], []
            for _ in range(count):
                await asyncio.sleep(0.3)
                upgrading, began = True, time.perf_counter()
                old, newest = newest, await site.ready()
                ready.append(time.perf_counter() - began)
                began = time.perf_counter()
                await call_operator(newest.operator, "/maintenance/enter?target=out")
                calls.append(time.perf_counter() - began)
                assert await old.end() == 0
                upgrading = False
            over.set()
            await asyncio.gather(*tasks)
            names = [m.split(b"Req-Id: ")[1].split(b"\r")[0] for m in a.seen + b.seen]
            return {
                "upgrades": count,
                "requests": asked,
                "doubled": len(names) - len(set(names)),
                "lost": asked - len(set(names)),
                "to_the_host_out": len(banned.seen) - before,
                "ready_s": round(statistics.median(ready), 2),
                "ready_most_s": round(max(ready), 2),
                "call_most_ms": round(1000 * max(calls), 1),
                "p99_ms_between": round(1000 * _p99(times[False]), 1),
                "p99_ms_during": round(1000 * _p99(times[True]), 1),
            }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("what", choices=("flows", "upgrades"))
    parser.add_argument("--size", type=int, default=32, metavar="MB")
    parser.add_argument("--count", type=int, default=50, metavar="N")
    parser.add_argument("--json", action="store_true")
    chosen = parser.parse_args()
    if chosen.what == "flows":
        rows = asyncio.run(flows(chosen.size * MB))
    else:
        rows = [asyncio.run(upgrades(chosen.count))]
    for row in rows:
        print(json.dumps(row) if chosen.json else "  ".join(f"{k}={v}" for k, v in row.items()))
    return int(any(row.get(k) for row in rows for k in ("doubled", "lost", "to_the_host_out")))


if __name__ == "__main__":
    sys.exit(main())
