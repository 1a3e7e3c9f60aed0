"""Disks that fail for a while (ENOSPC, EIO): accepted changes take effect once they work again.

To make writes fail, a directory takes the name of the temporary file, which stops even root; or a
patched function raises the error that SQLite or the file system would report.
"""

from __future__ import annotations

import asyncio
import errno
import os
import signal
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from sailhitch.daemon.admin import ask
from sailhitch.daemon.process import Daemon
from sailhitch.daemon.store import Store, StoreError
from sailhitch.handover.files import HandoverFiles
from sailhitch.handover.snapshot import ProcessSnapshot
from sailhitch.lab.message import build
from sailhitch.lab.node import Node
from sailhitch.lab.ports import free_port
from sailhitch.tier.disk import Disk, DiskError
from tests.daemons import checked_file, file_value, pool
from tests.generations import ProcessHandle, supervisor_with_hosts, wait_for_log
from tests.sockets import TEST_TIMEOUT, Server, dial, request, until

FAILED = "can't write maintenance marks"


def block_writes(folder: Path, process: ProcessHandle) -> Path:
    """Make this process's writes of its bans fail until the returned directory is removed."""
    blocker = folder / f"sailhitch-n0.{process.program.pid}"
    blocker.mkdir()
    return blocker


async def count_requests_to(addr: str, host: Server) -> int:
    """Send requests; return how many of them the host gets."""
    before = len(host.seen)
    client = await dial(addr)
    for _ in range(30):
        assert (await client.ask(request(f"q{os.urandom(6).hex()}")))[0] == 200
    client.writer.close()
    return len(host.seen) - before


def test_a_ban_that_could_not_be_kept_for_a_while_outlasts_a_killed_process(tmp_path: Path) -> None:
    async def play() -> None:
        a = Server()
        async with supervisor_with_hosts(tmp_path, a=a, b=Server()) as it:
            first = await it.ready()
            blocker = block_writes(tmp_path, first)
            assert await first.enter_maintenance("a") == 200
            await wait_for_log(first, FAILED)
            blocker.rmdir()
            bans_file = tmp_path / "sailhitch-n0.bans"
            async with asyncio.timeout(TEST_TIMEOUT):
                for _ in range(100):
                    if bans_file.exists():
                        break
                    await asyncio.sleep(0.05)
            assert bans_file.exists()
            await first.end(signal.SIGKILL)
            await it.ready()
            assert await count_requests_to(it.addr, a) == 0

    asyncio.run(play())


def test_a_ban_that_one_process_could_not_keep_is_kept_by_the_next(tmp_path: Path) -> None:
    async def play() -> None:
        a = Server()
        async with supervisor_with_hosts(tmp_path, a=a, b=Server()) as it:
            first = await it.ready()
            block_writes(tmp_path, first)
            assert await first.enter_maintenance("a") == 200
            await wait_for_log(first, FAILED)
            second = await it.ready()
            assert await first.end() == 0
            await second.end(signal.SIGKILL)
            await it.ready()
            assert await count_requests_to(it.addr, a) == 0

    asyncio.run(play())


def tier_of_one(folder: Path, nodes: dict[str, Node]) -> dict[str, Any]:
    """Return the operator file of the only member of a tier."""
    (folder / "keys").write_text(f"1 {os.urandom(32).hex()}\n")
    gateway = {"state_dir": str(folder / "state"), "admin": str(folder / "admin.sock")}
    here = f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}"
    tier = {
        "name": "one",
        "key_file": str(folder / "keys"),
        "agree_within": "10s",
        "members": [{"name": "g1", "address": here}],
        "voters": ["g1"],
    }
    return file_value([pool("p", nodes)], free_port(), gateway=gateway, tier=tier)


class FailingDisk:
    """Wraps a write function, which raises an error while `full` is set."""

    def __init__(self, write: Callable[..., Any], error: Exception) -> None:
        self.write, self.error = write, error
        self.full = False
        self.failures = 0

    def __call__(self, *args: Any) -> Any:
        if self.full:
            self.failures += 1
            raise self.error
        return self.write(*args)


KINDS = {
    "votes": (Disk, "write", DiskError(os.strerror(errno.ENOSPC))),
    "states": (Store, "prepare", StoreError(os.strerror(errno.EIO))),
}


@pytest.mark.parametrize("kind", KINDS)
def test_a_member_whose_disk_failed_for_a_while_takes_part_again(
    kind: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A ban that is requested during the failure is in force once the disk works again."""
    owner, name, error = KINDS[kind]
    disk = FailingDisk(getattr(owner, name), error)
    # The lambda is needed to become a method; FailingDisk would not be bound to instances.
    monkeypatch.setattr(owner, name, lambda *args: disk(*args))  # noqa: PLW0108

    async def get(addr: str, count: int) -> None:
        client = await dial(addr)
        for i in range(count):
            await client.ask(build("GET", "/x", [("Req-Id", f"{i}-{os.urandom(4).hex()}")]))
        client.writer.close()

    async def work() -> None:
        async with Node() as a, Node() as b:
            value = tier_of_one(tmp_path, {"a": a, "b": b})
            ready: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
            daemon = Daemon("g1.toml", checked_file(value))
            running = asyncio.create_task(daemon.run(ready.set_result))
            live = await ready
            await until(lambda: live.core.ready)
            disk.full = True
            ban = asyncio.create_task(asyncio.to_thread(_ban, tmp_path, "p/a"))
            await until(lambda: disk.failures > 1 or ban.done())
            assert disk.failures > 1, await ban
            disk.full = False
            reply = await ban
            assert reply["ok"], reply
            before = a.seen
            await get(value["listeners"][0]["address"], 30)
            assert (a.seen, b.seen > 0) == (before, True)
            daemon.stop.set()
            await running

    asyncio.run(work())


def _ban(folder: Path, node: str) -> dict[str, Any]:
    return ask(folder / "admin.sock", {"op": "ban", "node": node, "out": True, "why": "fan"})


def test_bans_are_synced_before_the_write_returns(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They survive a machine crash after the response: file content and directory entry."""
    calls: list[str] = []
    fsync, replace = os.fsync, os.replace

    def record_fsync(descriptor: int) -> None:
        calls.append("sync " + Path(os.readlink(f"/proc/self/fd/{descriptor}")).name)
        fsync(descriptor)

    def record_replace(fresh: Path, path: Path) -> None:
        calls.append("replace")
        replace(fresh, path)

    monkeypatch.setattr(os, "fsync", record_fsync)
    monkeypatch.setattr(os, "replace", record_replace)
    HandoverFiles(str(tmp_path), "n0").write_maintenance(ProcessSnapshot(["a"], {"a": 1}, {}))
    assert calls == [f"sync sailhitch-n0.{os.getpid()}", "replace", f"sync {tmp_path.name}"]


def test_bans_that_could_not_be_synced_leave_the_old_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    files = HandoverFiles(str(tmp_path), "n0")
    files.write_maintenance(ProcessSnapshot(["a"], {"a": 1}, {}))

    def fail(descriptor: int) -> None:
        raise OSError(errno.EIO, os.strerror(errno.EIO))

    monkeypatch.setattr(os, "fsync", fail)
    with pytest.raises(OSError, match="Input/output"):
        files.write_maintenance(ProcessSnapshot(["a", "b"], {"b": 2}, {}))
    stored = files.read_maintenance()
    assert stored is not None
    assert stored.bans == {"a": 1}
    assert [path.name for path in tmp_path.iterdir()] == [files.maintenance_file.name]
