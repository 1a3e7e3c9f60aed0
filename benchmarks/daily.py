"""The platform's gateway under long transfers and upgrades: throughput, memory and latency.

    python benchmarks/daily.py flows [--size MB] [--json]
    python benchmarks/daily.py upgrades [--count N] [--json]

`flows` runs 1, 10 and 50 concurrent exchanges, each with a request and a response body of 32 MB,
through a process with 80 MB of memory, beside short requests. `upgrades` replaces the process again
and again under a closed loop of 16 clients. Each request must be served exactly once, and one host
is in maintenance all the time. Exits 1 if a request was lost, served twice or sent to that host.
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

from benchmarks.overhead import peak_memory_mb  # noqa: E402
from tests.generations import call_operator, supervisor_with_hosts  # noqa: E402
from tests.sockets import (  # noqa: E402
    Client,
    DiscoveryServer,
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


class StreamingServer(Server):
    """A host that streams: it reads a body in chunks and returns as many bytes, storing neither."""

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
    """Make one long request and read its response, both in chunks."""
    head = request(name, b"", wait_ms=60_000).replace(b"Length: 0", b"Length: %d" % size)
    client.send(head)
    for at in range(0, size, 65536):
        client.send(bytes(min(65536, size - at)))
        await client.writer.drain()
    answered = await client.reader.readuntil(b"\r\n\r\n")
    assert answered.startswith(b"HTTP/1.1 200"), answered
    left = size
    while left:
        count = len(await client.reader.read(65536))
        assert count, "the response is truncated"
        left -= count


async def send_short_requests(addr: str, finished: asyncio.Event, times: list[float]) -> None:
    """Send short requests one after another and record their durations."""
    client, n = await dial(addr), 0
    while not finished.is_set():
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
            async with StreamingServer() as host, DiscoveryServer(("a", host.addr)) as registry:
                classes = {"classes": _long_deadlines()}
                value = config_value(
                    registry.addr, ("a", host.addr), settings=classes, limits={"sockets": 1024}
                )
                async with process(Path(folder) / "c.json", value) as (program, addr):
                    finished, times = asyncio.Event(), list[float]()
                    short = asyncio.create_task(send_short_requests(addr, finished, times))
                    clients = [await dial(addr) for _ in range(count)]
                    begin = time.perf_counter()
                    await asyncio.gather(
                        *[exchange(c, f"f{i}", size) for i, c in enumerate(clients)]
                    )
                    took = time.perf_counter() - begin
                    finished.set()
                    await short
                    rows.append(
                        {
                            "flows": count,
                            "size_mb": size // MB,
                            "seconds": round(took, 2),
                            "mb_per_s": round(2 * count * size / MB / took),
                            "peak_mb": round(peak_memory_mb(program.pid), 1),
                            "short_p50_ms": round(1000 * statistics.median(times), 1),
                            "short_p99_ms": round(1000 * _p99(times), 1),
                        }
                    )
    return rows


def _long_deadlines() -> list[dict[str, Any]]:
    from tests.fake import BASE

    return [{**one, "goalTime": 50_000_000, "deadline": 60_000_000} for one in BASE["classes"]]


def _p99(times: list[float]) -> float:
    return sorted(times)[int(0.99 * (len(times) - 1))]


async def upgrades(count: int) -> dict[str, Any]:
    async def respond(message: bytes, writer: Writer) -> None:
        await asyncio.sleep(0.01)
        writer.write(answer(b"served"))

    host_in_maintenance, a, b = Server(respond), Server(respond), Server(respond)
    with tempfile.TemporaryDirectory() as folder:
        async with supervisor_with_hosts(Path(folder), a=a, b=b, out=host_in_maintenance) as site:
            current = await site.ready()
            assert await current.enter_maintenance("out") == 200
            await asyncio.sleep(0.1)
            before = len(host_in_maintenance.seen)
            finished, asked = asyncio.Event(), 0
            times: dict[bool, list[float]] = {False: [], True: []}
            upgrading = False

            async def load(k: int) -> None:
                nonlocal asked
                client = await site.client()
                while not finished.is_set():
                    asked += 1
                    began, during = time.perf_counter(), upgrading
                    response = await client.ask(request(f"r{k}-{asked}", b"effect"))
                    assert response == (200, b"served"), response
                    times[during].append(time.perf_counter() - began)

            tasks = [asyncio.create_task(load(k)) for k in range(CLIENTS)]
            ready, calls = [], []
            for _ in range(count):
                await asyncio.sleep(0.3)
                upgrading, began = True, time.perf_counter()
                old, current = current, await site.ready()
                ready.append(time.perf_counter() - began)
                began = time.perf_counter()
                await call_operator(current.operator, "/maintenance/enter?target=out")
                calls.append(time.perf_counter() - began)
                assert await old.end() == 0
                upgrading = False
            finished.set()
            await asyncio.gather(*tasks)
            names = [m.split(b"Req-Id: ")[1].split(b"\r")[0] for m in a.seen + b.seen]
            return {
                "upgrades": count,
                "requests": asked,
                "doubled": len(names) - len(set(names)),
                "lost": asked - len(set(names)),
                "to_the_host_out": len(host_in_maintenance.seen) - before,
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
