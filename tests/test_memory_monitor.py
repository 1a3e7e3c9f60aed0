"""The figures of the process's memory, and the lines of the log that name them."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest

from sailhitch.core.budget import MB
from sailhitch.core.memory_baseline import BUSY_RISE_PER_SECOND, RISE_PER_SECOND, MemoryBaseline
from sailhitch.core.memory_monitor import ResidentMemory
from sailhitch.net.client_connection import BODY
from tests.sockets import Server, hosted_process, request, running_gateway, until

# Played by a process of its own, as that of the tests may have a free block of this size.
READ_RESIDENT_SIZE = """
from sailhitch.core.budget import MB
from sailhitch.core.memory_monitor import ResidentMemory

source = ResidentMemory()
before = source.read()
block = bytearray(b"x") * (32 * MB)
grown = source.read() - before
assert 30 * MB < grown < 40 * MB, grown
del block
source.close()
assert source.read() == 0
"""


def _run_in_new_process(program: str) -> None:
    subprocess.run([sys.executable, "-c", program], check=True, timeout=30)


def test_resident_size_is_that_of_the_process() -> None:
    _run_in_new_process(READ_RESIDENT_SIZE)


# Guards against: a system that does not tell the figures, which must not stop the periodic work.
@pytest.mark.parametrize("content", [None, "", "12", "12 many"])
def test_resident_size_that_can_not_be_read_is_unknown(content: str | None, tmp_path: Path) -> None:
    path = tmp_path / "statm"
    if content is not None:
        path.write_text(content)
    assert ResidentMemory(str(path)).read() == 0


# Guards against: a process that is killed for its memory while no line of its log names memory
# (report 365795).
def test_log_names_memory_when_the_process_nears_its_limit(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def run() -> None:
        async with running_gateway(limits={"memory_mb": 1000}) as gateway:
            memory = gateway.core.memory
            memory.update(gateway.core.clock())
            assert "memory:" not in capsys.readouterr().err
            resident_mb = memory.resident // MB
            gateway.core.reconfigure(replace(gateway.core.limits, memory_mb=resident_mb))
            memory.update(gateway.core.clock())
            memory.update(gateway.core.clock())

    asyncio.run(run())
    lines = [line for line in capsys.readouterr().err.splitlines() if "memory:" in line]
    assert len(lines) == 1
    assert "resident=" in lines[0]
    assert "bodies=0.0 streamed=0.0" in lines[0]


# Played by a process of its own, as that of the tests may have free memory already.
RETURN_MEMORY = """
from sailhitch.core.budget import MB
from sailhitch.core.free_memory import return_free_memory
from sailhitch.core.memory_monitor import ResidentMemory

source = ResidentMemory()
before = source.read()
# Blocks below the size that is mapped by itself, with some in between that stay.
blocks = [bytearray(b"x") * 60_000 for _ in range(500)]
kept = blocks[::10]
assert source.read() - before > 25 * MB
del blocks
assert return_free_memory()
assert source.read() - before < 10 * MB
assert len(kept) == 50
"""


# Guards against: memory that a process holds for good once a crowd has left it.
def test_free_memory_is_returned() -> None:
    _run_in_new_process(RETURN_MEMORY)


# Guards against: a library that a gateway does not use, which held 0.4 MB of the 32 MB that a
# process may hold at rest (report 365795).
def test_process_that_has_served_does_not_hold_the_algorithms_of_openssl(tmp_path: Path) -> None:
    async def run() -> str:
        host = Server()
        async with hosted_process(tmp_path / "config.json", host) as (program, client):
            assert (await client.ask(request("first")))[0] == 200
            client.writer.close()
            return Path(f"/proc/{program.pid}/maps").read_text()

    maps = asyncio.run(run())
    assert "uvloop" in maps
    assert "_hashlib" not in maps


SECOND = 1_000_000  # us


def test_baseline_follows_a_calm_process_down_at_once_and_up_slowly() -> None:
    baseline = MemoryBaseline(lambda: 0)
    baseline.update(SECOND, 30 * MB, is_calm=False)
    assert baseline.size == 30 * MB
    baseline.update(2 * SECOND, 50 * MB, is_calm=False)
    assert baseline.size == 30 * MB + BUSY_RISE_PER_SECOND
    baseline.update(3 * SECOND, 20 * MB, is_calm=False)  # bytes that are counted need no room
    assert baseline.size == 30 * MB + BUSY_RISE_PER_SECOND
    baseline.update(4 * SECOND, 50 * MB, is_calm=True)
    assert baseline.size == 30 * MB + BUSY_RISE_PER_SECOND + RISE_PER_SECOND
    baseline.update(5 * SECOND, 25 * MB, is_calm=True)
    assert baseline.size == 25 * MB


# Guards against: a large list of hosts that is taken for memory that clients hold.
def test_baseline_takes_in_what_the_process_grows_by_itself() -> None:
    sizes = iter((30 * MB, 42 * MB, 42 * MB, 40 * MB))
    baseline = MemoryBaseline(lambda: next(sizes))
    baseline.update(SECOND, 30 * MB, is_calm=True)
    with baseline.own_growth():
        pass
    assert baseline.size == 42 * MB
    with baseline.own_growth():
        pass
    assert baseline.size == 42 * MB


# Guards against: a log that tells that a process is large, and not who holds what no count knows
# (report 63c1a8).
def test_log_names_what_is_not_counted_and_who_may_hold_it(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def run() -> None:
        async with running_gateway(limits={"memory_mb": 1000}) as gateway:
            memory = gateway.core.memory
            memory.update(gateway.core.clock())
            memory.baseline = MemoryBaseline(lambda: 0)
            memory.baseline.size = memory.resident - 20 * MB
            rejected, unfinished = await gateway.client(), await gateway.client()
            rejected.send(b"GET / HTTP/1.1\r\n\r\n")
            unfinished.send(request("unfinished", b"x" * 3000)[:-1000])
            await until(lambda: len(gateway.core.recent_rejections) == 1)
            await until(lambda: any(client.phase == BODY for client in gateway.clients()))
            resident_mb = memory.resident // MB
            gateway.core.reconfigure(replace(gateway.core.limits, memory_mb=resident_mb * 2))
            memory.update(gateway.core.clock())
            memory.update(gateway.core.clock())
            for client in (rejected, unfinished):
                client.writer.close()

    asyncio.run(run())
    lines = capsys.readouterr().err.splitlines()
    (holders,) = [line for line in lines if "memory holders:" in line]
    assert "body=1 closing=1 read=" in holders
    assert "largest: body counted=2000 unfinished=" in holders
    assert "last rejected: 400 Host field missing" in holders
    (summary,) = [line for line in lines if "memory: " in line]
    assert 15.0 < float(summary.partition("uncounted=")[2].split()[0]) < 40.0
