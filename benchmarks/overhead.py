"""CPU and memory of the platform's gateway, relative to a bare forwarder in the same run.

    python benchmarks/overhead.py [--tree DIR] [--seconds N] [--rounds N] [--json]

A closed loop of 32 connections, responses of 1 KiB, four nodes. The forwarder is uvloop only: each
client connection has its own connection to a node, and bytes are copied between the two. `--tree`
names another checkout, whose program is measured instead of this one's. Exit code 0.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import statistics
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from benchmarks.front_door import cpu_seconds  # noqa: E402
from sailhitch.lab.crowd import dial  # noqa: E402
from sailhitch.lab.message import platform  # noqa: E402
from sailhitch.lab.node import Node  # noqa: E402
from sailhitch.lab.ports import free_port  # noqa: E402
from tests.sockets import DiscoveryServer, config_value, process  # noqa: E402

CONNECTIONS, NODES, SIZE = 32, 4, 1024

FORWARDER = """
import asyncio, sys, uvloop
class End(asyncio.Protocol):
    def __init__(self, other=None):
        self.other, self.transport, self.early = other, None, []
    def connection_made(self, transport):
        self.transport = transport
    def data_received(self, data):
        if self.other is None or self.other.transport is None:
            self.early.append(data)
        else:
            self.other.transport.write(data)
    def connection_lost(self, exc):
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()
class Client(End):
    def connection_made(self, transport):
        super().connection_made(transport)
        asyncio.ensure_future(self.join())
    async def join(self):
        global turn
        turn += 1
        host, port = nodes[turn % len(nodes)].split(":")
        _, self.other = await loop.create_connection(lambda: End(self), host, int(port))
        for data in self.early:
            self.other.transport.write(data)
async def main():
    global loop
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Client, "127.0.0.1", int(sys.argv[1]))
    await server.serve_forever()
turn, nodes = 0, sys.argv[2:]
uvloop.run(main())
"""


@contextlib.asynccontextmanager
async def forwarder(nodes: list[Node]) -> AsyncIterator[tuple[asyncio.subprocess.Process, str]]:
    """Run the bare forwarder; yields it and its address once it accepts connections."""
    port = free_port()
    program = await asyncio.create_subprocess_exec(
        sys.executable, "-c", FORWARDER, str(port), *(node.addr for node in nodes)
    )
    try:
        while True:
            with contextlib.suppress(OSError):
                (await dial(f"127.0.0.1:{port}")).close()
                break
            await asyncio.sleep(0.05)
        yield program, f"127.0.0.1:{port}"
    finally:
        program.kill()
        await program.wait()


async def send_requests(addr: str, seconds: float) -> int:
    """Send requests in a closed loop for a time; return how many were answered."""
    ends = time.monotonic() + seconds
    count = 0

    async def one(i: int) -> None:
        nonlocal count
        line = await dial(addr)
        k = 0
        while time.monotonic() < ends:
            k += 1
            status, _, _ = await line.ask(platform(f"c{i}-{k}", "pure-all", 3000), 5.0)
            assert status == 200, status
            count += 1
        line.close()

    await asyncio.gather(*(one(i) for i in range(CONNECTIONS)))
    return count


async def measure(pid: int, addr: str, seconds: float) -> tuple[float, float]:
    """Return the microseconds of CPU per request, and the requests per second."""
    await send_requests(addr, 0.5)
    before = cpu_seconds(pid)
    count = await send_requests(addr, seconds)
    return (cpu_seconds(pid) - before) / count * 1e6, count / seconds


def peak_memory_mb(pid: int) -> float:
    """Return the peak resident memory of a process in megabytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1e3
    return 0.0


async def one_round(tree: Path, seconds: float) -> dict[str, float]:
    async with contextlib.AsyncExitStack() as stack:
        nodes = [await stack.enter_async_context(Node(size=SIZE)) for _ in range(NODES)]
        hosts = [(f"h{i}", node.addr) for i, node in enumerate(nodes)]
        registry = await stack.enter_async_context(DiscoveryServer(*hosts))
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        value = config_value(registry.addr, *hosts, limits={"sockets": 384})
        gateway, addr = await stack.enter_async_context(
            process(Path(folder) / "config.json", value, tree)
        )
        bare, bare_addr = await stack.enter_async_context(forwarder(nodes))
        bare_us, bare_rate = await measure(bare.pid, bare_addr, seconds)
        us, rate = await measure(gateway.pid, addr, seconds)
        return {
            "ratio": us / bare_us,
            "us": us,
            "bare_us": bare_us,
            "rate": rate,
            "bare_rate": bare_rate,
            "memory_mb": peak_memory_mb(gateway.pid),
        }


async def run(tree: Path, seconds: float, rounds: int) -> list[dict[str, float]]:
    return [await one_round(tree, seconds) for _ in range(rounds)]


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--tree", type=Path, default=ROOT)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    results: list[dict[str, Any]] = asyncio.run(run(options.tree, options.seconds, options.rounds))
    if options.json:
        print(json.dumps(results))
        return 0
    for one in results:
        print("  ".join(f"{name}={value:.4g}" for name, value in one.items()))
    print(f"median ratio: {statistics.median(one['ratio'] for one in results):.2f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
