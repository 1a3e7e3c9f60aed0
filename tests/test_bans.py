"""Bans of nodes by the operator: they are part of the daemon's state, not of the operator file."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from sailhitch.daemon.admin import ask
from sailhitch.daemon.cli import main
from sailhitch.lab.message import build
from sailhitch.lab.node import Node
from sailhitch.lab.ports import free_port
from tests.daemons import checked_file, daemon_process, file_value, in_process_daemon, pool
from tests.sockets import TEST_TIMEOUT, dial


async def _get(addr: str, count: int) -> None:
    client = await dial(addr)
    for i in range(count):
        await client.ask(build("GET", "/x", [("Req-Id", f"{addr}-{i}-{id(client)}")]))
    client.writer.close()


def test_a_banned_node_gets_nothing_until_it_is_put_back(tmp_path: Path) -> None:
    async def work() -> None:
        async with Node() as a, Node() as b:
            port = free_port()
            value = file_value([pool("p", {"a": a, "b": b})], port)
            async with in_process_daemon(tmp_path, value) as it:
                ban = {"by": "t", "when": 1, "why": "disk"}
                await it.source.ban("p/a", ban, "t")
                before = a.seen
                await _get(it.addr, 40)
                assert a.seen == before
                # A repeated ban keeps the first reason, and applying a file keeps the ban.
                await it.source.ban("p/a", {**ban, "why": "other"}, "t")
                assert it.live.applied.state["bans"]["p/a"]["why"] == "disk"
                more = file_value([pool("p", {"a": a, "b": b}), pool("q", {})], port)
                await it.source.apply_file(checked_file(more), "SIGHUP")
                assert it.live.applied.state["bans"].keys() == {"p/a"}
                # Removed from the file and added again, the node is still banned.
                await it.source.apply_file(
                    checked_file(file_value([pool("p", {"b": b})], port)), "t"
                )
                await it.source.apply_file(checked_file(value), "t")
                await _get(it.addr, 40)
                assert a.seen == before
                await it.source.ban("p/a", None, "t")
                async with asyncio.timeout(TEST_TIMEOUT):
                    while a.seen == before:
                        await _get(it.addr, 10)

    asyncio.run(work())


def test_a_ban_outlasts_a_killed_process_and_is_listed(tmp_path: Path, capsys: Any) -> None:
    async def work() -> None:
        async with Node() as a, Node() as b:
            value = file_value([pool("p", {"a": a, "b": b})], free_port())
            async with daemon_process(tmp_path, value) as daemon:
                await daemon.start()
                admin = ["--admin", str(daemon.admin)]
                said = ["maintenance", "enter", "p/a", "--why", "fan"]
                assert await asyncio.to_thread(main, [*said, *admin]) == 0
                await daemon.stop()
                await daemon.start()
                assert await asyncio.to_thread(main, ["maintenance", "list", *admin]) == 0
                assert "p/a: since" in (out := capsys.readouterr().out)
                assert ": fan" in out
                await _get(value["listeners"][0]["address"], 30)
                assert a.seen == 0
                for wrong in (["enter", "p/none"], ["exit", "p/b"], ["list", "p/a"], ["enter"]):
                    assert await asyncio.to_thread(main, ["maintenance", *wrong, *admin]) == 1
                back = await asyncio.to_thread(
                    ask, daemon.admin, {"op": "ban", "node": "p/a", "out": False}
                )
                assert back["ok"]

    asyncio.run(work())


def test_a_waiting_request_is_not_sent_to_a_node_that_is_added_again_while_banned(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        async with Node() as a:
            port = free_port()
            value = file_value([pool("p", {"a": a})], port)
            async with in_process_daemon(tmp_path, value) as it:
                await it.source.ban("p/a", {"by": "t", "when": 1, "why": ""}, "t")
                await it.source.apply_file(checked_file(file_value([pool("p", {})], port)), "t")
                waits = asyncio.create_task(_get(it.addr, 1))
                async with asyncio.timeout(TEST_TIMEOUT):
                    while not it.live.core.open_requests:
                        await asyncio.sleep(0.01)
                await it.source.apply_file(checked_file(value), "t")
                assert it.live.core.open_requests
                assert it.live.core.upstream_descriptors() == a.seen == 0
                await it.source.ban("p/a", None, "t")
                await waits

    asyncio.run(work())
