"""Disks that fail for a while (ENOSPC, EIO): what was taken on holds once they are back.

A file can't be written where a folder has its temporary name, whoever asks; or a write fails by
the test's word, as SQLite and the file system report it.
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
from tests.generations import Generation, hosted, told
from tests.sockets import PATIENCE, Server, dial, request, until

FAILED = "can't be kept"


def block_writes(folder: Path, process: Generation) -> Path:
    """Have this process's writes of its bans fail, until the returned folder is removed."""
    blocker = folder / f"sailhitch-n0.{process.program.pid}"
    blocker.mkdir()
    return blocker


async def asked(addr: str, host: Server) -> int:
    """How many of some requests this host gets."""
    before = len(host.seen)
    client = await dial(addr)
    for _ in range(30):
        assert (await client.ask(request(f"q{os.urandom(6).hex()}")))[0] == 200
    client.writer.close()
    return len(host.seen) - before


def test_a_ban_that_could_not_be_kept_for_a_while_outlasts_a_killed_process(tmp_path: Path) -> None:
    async def play() -> None:
        a = Server()
        async with hosted(tmp_path, a=a, b=Server()) as it:
            first = await it.ready()
            blocker = block_writes(tmp_path, first)
            assert await first.out("a") == 200
            await told(first, FAILED)
            blocker.rmdir()
            kept = tmp_path / "sailhitch-n0.bans"
            async with asyncio.timeout(PATIENCE):
                for _ in range(100):
                    if kept.exists():
                        break
                    await asyncio.sleep(0.05)
            assert kept.exists()
            await first.end(signal.SIGKILL)
            await it.ready()
            assert await asked(it.addr, a) == 0

    asyncio.run(play())


def test_a_ban_that_one_process_could_not_keep_is_kept_by_the_next(tmp_path: Path) -> None:
    async def play() -> None:
        a = Server()
        async with hosted(tmp_path, a=a, b=Server()) as it:
            first = await it.ready()
            block_writes(tmp_path, first)
            assert await first.out("a") == 200
            await told(first, FAILED)
            second = await it.ready()
            assert await first.end() == 0
            await second.end(signal.SIGKILL)
            await it.ready()
            assert await asked(it.addr, a) == 0

    asyncio.run(play())


def tier_of_one(folder: Path, nodes: dict[str, Node]) -> dict[str, Any]:
    """The operator file's value of the one member of a tier."""
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
    """Has writes of a kind fail for as long as `full` is set."""

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
    """A ban that is asked for meanwhile is in force once the disk is back."""
    owner, name, error = KINDS[kind]
    disk = FailingDisk(getattr(owner, name), error)
    # A function, as an attribute of a class is bound to its instances.
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
            said = await ban
            assert said["ok"], said
            before = a.seen
            await get(value["listeners"][0]["address"], 30)
            assert (a.seen, b.seen > 0) == (before, True)
            daemon.stop.set()
            await running

    asyncio.run(work())


def _ban(folder: Path, node: str) -> dict[str, Any]:
    return ask(folder / "admin.sock", {"op": "ban", "node": node, "out": True, "why": "fan"})


def test_bans_are_synced_before_they_are_told_as_kept(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A machine that crashes right after the answer has them: the file, and its name."""
    done: list[str] = []
    fsync, replace = os.fsync, os.replace

    def note_fsync(descriptor: int) -> None:
        done.append("sync " + Path(os.readlink(f"/proc/self/fd/{descriptor}")).name)
        fsync(descriptor)

    def note_replace(fresh: Path, path: Path) -> None:
        done.append("replace")
        replace(fresh, path)

    monkeypatch.setattr(os, "fsync", note_fsync)
    monkeypatch.setattr(os, "replace", note_replace)
    HandoverFiles(str(tmp_path), "n0").write_maintenance(ProcessSnapshot(["a"], {"a": 1}, {}))
    assert done == [f"sync sailhitch-n0.{os.getpid()}", "replace", f"sync {tmp_path.name}"]


def test_bans_that_could_not_be_synced_leave_those_before(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    places = HandoverFiles(str(tmp_path), "n0")
    places.write_maintenance(ProcessSnapshot(["a"], {"a": 1}, {}))

    def fail(descriptor: int) -> None:
        raise OSError(errno.EIO, os.strerror(errno.EIO))

    monkeypatch.setattr(os, "fsync", fail)
    with pytest.raises(OSError, match="Input/output"):
        places.write_maintenance(ProcessSnapshot(["a", "b"], {"b": 2}, {}))
    kept = places.read_maintenance()
    assert kept is not None
    assert kept.bans == {"a": 1}
    assert [path.name for path in tmp_path.iterdir()] == [places.maintenance_file.name]
