"""Plan and apply on a live gateway: conflicts, draining, and failures that change nothing."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import signal
import socket
import threading
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from sailhitch.core.memory_baseline import MemoryBaseline
from sailhitch.daemon.plan import PlanError, StaleBaseError
from sailhitch.daemon.process import Daemon
from sailhitch.daemon.schema import OperatorFile, load_file
from sailhitch.daemon.state_applier import ApplyError
from sailhitch.daemon.store import Store, StoreError
from sailhitch.lab.files import toml_text
from sailhitch.lab.load import Load
from sailhitch.lab.node import Fault, Memory, Node, executed_twice
from sailhitch.lab.ports import free_port
from tests.daemons import (
    InProcessDaemon,
    checked_file,
    daemon_process,
    file_value,
    in_process_daemon,
    node_entry,
    pool,
)
from tests.sockets import TEST_TIMEOUT, Client, dial, until
from tests.test_daemon import get, post


def run(work: Callable[[], Awaitable[None]]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(4 * TEST_TIMEOUT):
            await work()

    asyncio.run(limited())


# --- Conflicting plans


def test_a_plan_made_before_another_apply_is_rejected_with_what_changed(tmp_path: Path) -> None:
    async def work() -> None:
        async with Node() as a, Node() as b, Node() as c:
            port = free_port()
            value = file_value([pool("p", {"a": a})], port)
            async with in_process_daemon(tmp_path, value) as it:
                first = it.plan(file_value([pool("p", {"a": a, "b": b})], port))
                second = it.plan(file_value([pool("p", {"a": a, "c": c})], port))
                await it.source.apply_plan(first, "one")
                with pytest.raises(StaleBaseError, match="serial 1, and the live state is 2"):
                    await it.source.apply_plan(second, "two")
                answer = await _ask(it, {"op": "apply", "plan": second})
                assert answer["code"] == "moved"
                (moved,) = answer["moved"]
                assert (moved["serial"], moved["by"]) == (2, "one")
                assert moved["summary"] == "1 to add, 0 to remove, 0 to alter"
                assert {n.addr for n in (a, b)} == {
                    f"127.0.0.1:{e.address[1]}" for e in it.live.pools["p"].endpoints.values()
                }

    run(work)


def test_of_two_concurrent_applies_one_is_rejected(tmp_path: Path) -> None:
    async def work() -> None:
        async with Node() as a, Node() as b, Node() as c:
            port = free_port()
            async with in_process_daemon(tmp_path, file_value([pool("p", {"a": a})], port)) as it:
                plans = [
                    it.plan(file_value([pool("p", {"a": a, "x": other})], port)) for other in (b, c)
                ]
                ends = await asyncio.gather(
                    *(it.source.apply_plan(plan, "t") for plan in plans), return_exceptions=True
                )
                assert sorted(type(end).__name__ for end in ends) == [
                    "AppliedState",
                    "StaleBaseError",
                ]
                assert it.live.applied.serial == 2

    run(work)


def test_an_empty_plan_changes_nothing(tmp_path: Path) -> None:
    async def work() -> None:
        async with Node() as a:
            value = file_value([pool("p", {"a": a})], free_port())
            async with in_process_daemon(tmp_path, value) as it:
                await it.plan_and_apply(value)
                assert it.live.applied.serial == 1

    run(work)


def test_the_state_of_an_earlier_serial_can_be_read(tmp_path: Path) -> None:
    async def work() -> None:
        async with Node() as a, Node() as b:
            port = free_port()
            async with in_process_daemon(tmp_path, file_value([pool("p", {"a": a})], port)) as it:
                await it.plan_and_apply(file_value([pool("p", {"a": a, "b": b})], port))
                answer = await _ask(it, {"op": "state", "serial": 1})
                assert set(answer["state"]["nodes"]) == {"p/a"}
                missing = await _ask(it, {"op": "state", "serial": 77})
                assert "serial 77: not known" in missing["error"]

    run(work)


# --- Nodes


def test_a_removed_node_gets_no_new_requests_and_finishes_open_ones(tmp_path: Path) -> None:
    async def work() -> None:
        async with Node(0.2) as a, Node(0.01) as b:
            port = free_port()
            value = file_value([pool("p", {"a": a, "b": b})], port)
            async with in_process_daemon(tmp_path, value) as it, Load(it.addr, 8) as load:
                await until(lambda: a.seen > 5 and b.seen > 5)
                await it.plan_and_apply(file_value([pool("p", {"b": b})], port))
                a.drain()
                served = load.ends["served"]
                await until(lambda: load.ends["served"] > served + 50)
                assert a.late == []
                await until(lambda: "a" not in it.live.pools["p"].endpoints)
                await load.finish()
                assert set(load.ends) == {"served"}
                assert not executed_twice([a, b])

    run(work)


def test_a_node_that_is_added_again_or_moved_is_new_and_slow_started(tmp_path: Path) -> None:
    async def work() -> None:
        async with Node() as a, Node() as b, Node() as c, Node() as w:
            port = free_port()
            gateway = {"cold_time": "60s"}
            both = file_value([pool("p", {"a": a, "b": b, "w": w})], port, gateway)
            async with in_process_daemon(tmp_path, both) as it:
                module = it.live.pools["p"].policy
                assert not module.endpoint_table.slow_start.servers
                await it.plan_and_apply(file_value([pool("p", {"b": b, "w": w})], port, gateway))
                await it.plan_and_apply(both)
                assert [server.name for server in module.endpoint_table.slow_start.servers] == [
                    "a~2"
                ]
                await it.plan_and_apply(
                    file_value([pool("p", {"a": a, "b": c, "w": w})], port, gateway)
                )
                assert {server.name for server in module.endpoint_table.slow_start.servers} == {
                    "a~2",
                    "b~2",
                }
                heavier = [node_entry("a", a.addr, weight=2.0, zone="z"), node_entry("b", c.addr)]
                heavier.append(node_entry("w", w.addr))
                await it.plan_and_apply(
                    file_value([{"name": "p", "nodes": heavier}], port, gateway)
                )
                assert {server.name for server in module.endpoint_table.slow_start.servers} == {
                    "a~2",
                    "b~2",
                }
                client = await it.client()
                assert (await client.ask(get()))[0] == 200

    run(work)


def test_a_keyed_retry_does_not_go_to_a_nodes_replacement(tmp_path: Path) -> None:
    async def work() -> None:
        hold = asyncio.Event()

        def script(name: bytes) -> Fault:
            hold.set()
            return Fault.SLOW

        async with Node(slow=0.5, script=script) as old, Node() as new:
            port = free_port()
            classes = [{"name": "filing", "effect": "keyed", "aim": "2s", "deadline": "3s"}]
            routes = [{"name": "r", "class": "filing", "pools": {"p": 1.0}}]
            more: dict[str, Any] = {"classes": classes, "routes": routes}
            value = file_value([pool("p", {"a": old})], port, **more)
            async with in_process_daemon(tmp_path, value) as it:
                client = await it.client()
                client.send(post("/c", "Idempotency-Key: k\r\n"))
                await hold.wait()
                await it.plan_and_apply(file_value([pool("p", {"a": new})], port, **more))
                old.stop()  # the request may have run there, and another node has its id now
                status, _ = await client.answer()
                assert status == 502
                assert new.seen == 0
                assert (await client.ask(post("/c", "Idempotency-Key: l\r\n")))[0] == 200

    run(work)


# --- Pools, classes, listeners


def test_a_removed_pool_finishes_its_open_requests(tmp_path: Path) -> None:
    async def work() -> None:
        async with Node(0.5) as a, Node() as b:
            port = free_port()
            classes = [{"name": "page", "aim": "2s", "deadline": "3s"}]

            def value(name: str, node: Node) -> dict[str, Any]:
                routes = [{"name": "r", "class": "page", "pools": {name: 1.0}}]
                return file_value(
                    [pool(name, {f"{name}1": node})], port, classes=classes, routes=routes
                )

            async with in_process_daemon(tmp_path, value("old", a)) as it:
                unsafe, keyed, late = [await it.client() for _ in range(3)]
                unsafe.send(post("/x"))
                keyed.send(post("/x", "Idempotency-Key: k\r\n"))
                await until(lambda: a.seen == 2)
                await it.plan_and_apply(value("new", b))
                assert len(it.live.core.pools) == 2
                # A key that the old pool may have executed must not be repeated in another pool.
                assert (await late.ask(post("/x", "Idempotency-Key: k\r\n")))[0] == 503
                assert (await late.ask(post("/x", "Idempotency-Key: l\r\n")))[0] == 200
                assert (await unsafe.answer())[0] == 200
                assert (await keyed.answer())[0] == 200
                await until(lambda: len(it.live.core.pools) == 1)
                assert b.seen == 1
                assert not executed_twice([a, b])

    run(work)


def test_a_key_is_not_sent_to_a_new_pool_with_its_old_pools_name(tmp_path: Path) -> None:
    async def work() -> None:
        async with Node() as a, Node() as b:
            port = free_port()
            first = file_value([pool("p", {"a": a})], port)
            async with in_process_daemon(tmp_path, first) as it:
                client = await it.client()
                data = post("/claims", "Idempotency-Key: k\r\n")
                assert (await client.ask(data))[0] == 200
                routes = [{"name": "r", "class": "page", "pools": {"q": 1.0}}]
                await it.plan_and_apply(
                    file_value([pool("q", {"c": "127.0.0.1:9"})], port, routes=routes)
                )
                await it.plan_and_apply(file_value([pool("p", {"b": b})], port))
                assert (await client.ask(data))[0] == 503
                assert b.seen == 0

    run(work)


def test_a_removed_pools_queued_requests_are_answered_at_once(tmp_path: Path) -> None:
    async def work() -> None:
        port = free_port()
        async with Node() as b:
            value = file_value([pool("old", {})], port)
            async with in_process_daemon(tmp_path, value) as it:
                client = await it.client()
                client.send(post("/claims", "Idempotency-Key: k\r\n"))
                await until(lambda: len(it.live.core.open_requests) == 1)
                routes = [{"name": "r", "class": "page", "pools": {"new": 1.0}}]
                await it.plan_and_apply(file_value([pool("new", {"b": b})], port, routes=routes))
                assert not it.live.core.open_requests  # before the event loop runs anything else
                assert (await client.answer())[0] == 503
                await until(lambda: len(it.live.core.pools) == 1)

    run(work)


def test_a_shorter_deadline_applies_to_new_requests_and_not_to_open_ones(tmp_path: Path) -> None:
    async def work() -> None:
        async with Node(0.6) as a:
            port = free_port()

            def value(deadline: str, aim: str) -> dict[str, Any]:
                classes = [{"name": "page", "aim": aim, "deadline": deadline}]
                routes = [{"name": "r", "class": "page", "pools": {"p": 1.0}}]
                return file_value([pool("p", {"a": a})], port, classes=classes, routes=routes)

            async with in_process_daemon(tmp_path, value("3s", "2s")) as it:
                old, new = await it.client(), await it.client()
                old.send(post("/x"))
                await until(lambda: a.seen == 1)
                await it.plan_and_apply(value("200ms", "150ms"))
                new.send(post("/x"))
                assert (await new.answer())[0] in (502, 504)
                assert (await old.answer())[0] == 200

    run(work)


def test_a_listener_whose_port_is_in_use_changes_nothing(tmp_path: Path) -> None:
    async def work() -> None:
        async with Node() as a, Node() as b, Node() as c:
            port = free_port()
            with socket.socket() as taken:
                taken.bind(("127.0.0.1", 0))
                taken.listen()
                other = taken.getsockname()[1]
                value = file_value([pool("p", {"a": a, "b": b})], port)
                async with in_process_daemon(tmp_path, value, stored=True) as it:
                    wanted = file_value([pool("p", {"b": b, "c": c}), pool("q", {})], port)
                    wanted["listeners"] = [
                        {"name": "web", "address": f"127.0.0.1:{free_port()}"},
                        {"name": "more", "address": f"127.0.0.1:{other}"},
                    ]
                    wanted["classes"] = [{**one, "worth": 2.0} for one in wanted["classes"]]
                    before = _descriptors()
                    with pytest.raises(ApplyError, match=r"listeners\[1\] 'more'.*in use"):
                        await it.plan_and_apply(wanted)
                    assert _descriptors() == before
                    assert it.live.applied.serial == 1
                    assert it.live.store is not None
                    assert it.live.store.serials() == [1]
                    assert set(it.live.pools["p"].endpoints) == {"a", "b"}
                    client = await it.client()
                    assert (await client.ask(get()))[0] == 200

    run(work)


def _descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


def test_a_removed_listener_finishes_its_open_requests(tmp_path: Path) -> None:
    async def work() -> None:
        async with Node(0.3) as a:
            port, more = free_port(), free_port()
            value = file_value([pool("p", {"a": a})], port)
            both = {
                **value,
                "listeners": [
                    *value["listeners"],
                    {"name": "more", "address": f"127.0.0.1:{more}"},
                ],
            }
            async with in_process_daemon(tmp_path, both) as it:
                busy = Client(*await asyncio.open_connection("127.0.0.1", more))
                idle = Client(*await asyncio.open_connection("127.0.0.1", more))
                assert (await idle.ask(get()))[0] == 200
                busy.send(get())
                await until(lambda: a.seen == 2)
                await it.plan_and_apply(value)
                assert await idle.read_to_end() == b""
                assert (await busy.answer())[0] == 200
                assert await busy.read_to_end() == b""
                with pytest.raises(OSError, match=r"refused|111"):
                    await asyncio.open_connection("127.0.0.1", more)
                client = await it.client()
                assert (await client.ask(get()))[0] == 200

    run(work)


def test_a_renamed_listener_stays_open(tmp_path: Path) -> None:
    async def work() -> None:
        async with Node() as a:
            value = file_value([pool("p", {"a": a})], free_port())
            async with in_process_daemon(tmp_path, value) as it:
                client = await it.client()
                assert (await client.ask(get()))[0] == 200
                renamed = [{**value["listeners"][0], "name": "other"}]
                await it.plan_and_apply({**value, "listeners": renamed})
                assert (await client.ask(get()))[0] == 200
                assert set(it.live.listeners) == {"other"}

    run(work)


# --- Under load


def test_fifty_applies_in_a_row_lose_and_duplicate_no_request(tmp_path: Path) -> None:
    async def work() -> None:
        memory = Memory()
        cold: dict[str, Any] = {"cold": 0.1, "fails_above": 4}
        nodes = {f"n{i}": Node(0.003, memory=memory, reports=True, **cold) for i in range(6)}
        for node in nodes.values():
            await node.start()
            node.started -= 60.0  # warm long before the gateway starts
        port = free_port()
        names = list(nodes)
        gateway = {"cold_time": "100ms"}

        def out_at(i: int) -> set[str]:
            return {names[i % 6], names[(i // 2 + 3) % 6]}

        def value(i: int) -> dict[str, Any]:
            out = out_at(i)
            here = [
                node_entry(name, node.addr, weight=1.0 + (i + j) % 3)
                for j, (name, node) in enumerate(nodes.items())
                if name not in out
            ]
            classes = file_value([], port)["classes"]
            worth = [{**one, "worth": 1.0 + i % 2} for one in classes]
            return file_value([{"name": "p", "nodes": here}], port, gateway, classes=worth)

        async with (
            in_process_daemon(tmp_path, value(0), stored=True) as it,
            Load(it.addr, 10) as load,
        ):
            for i in range(1, 51):
                asked = load.asked
                back = out_at(i - 1) - out_at(i)
                for name in back:
                    nodes[name].restart()
                await it.plan_and_apply(value(i))
                for name in out_at(i) - out_at(i - 1):
                    nodes[name].drain()
                await until(lambda asked=asked: load.asked > asked + 10)  # type: ignore[misc]
            await load.finish()
            assert it.live.applied.serial == 51
            assert load.ends["served"] == load.asked > 500
            assert max(load.answers.values()) == 1
            assert not load.wrong
            assert not executed_twice(list(nodes.values()))
            assert not any(node.has_failed for node in nodes.values())
            # Requests in transit when a node is removed arrive within the drain's grace period.
            assert all(after < 1.0 for node in nodes.values() for _, after in node.late)
            await until(lambda: not it.live.endpoints.draining)
        for node in nodes.values():
            node.stop()

    run(work)


def test_two_thousand_routes_and_ten_thousand_nodes_are_added_and_removed(tmp_path: Path) -> None:
    async def work() -> None:
        async with Node(0.002) as a:
            port = free_port()
            small = file_value([pool("p", {"a": a}), pool("q", {})], port)
            many = [
                node_entry(f"x{i}", f"127.{1 + i // 62_500}.{i // 250 % 250}.{1 + i % 250}:9000")
                for i in range(10_000)
            ]
            large = file_value([pool("p", {"a": a}), {"name": "q", "nodes": many}], port)
            large["routes"] += [
                {
                    "name": f"r{i}",
                    "match": {"path_prefix": f"/r{i}"},
                    "class": "payout",
                    "pools": {"p": 1.0},
                }
                for i in range(2000)
            ]
            async with (
                in_process_daemon(tmp_path, small, stored=True) as it,
                Load(it.addr, 2) as load,
            ):
                await it.plan_and_apply(large)
                assert len(it.live.pools["q"].endpoints) == 10_000
                client = await it.client()
                assert (await client.ask(get("/r1999/x")))[0] == 200
                answer = await _ask(it, {"op": "state"})
                assert len(answer["state"]["nodes"]) == 10_001
                await it.plan_and_apply(small)
                await until(lambda: not it.live.pools["q"].endpoints)
                await load.finish()
                assert load.ends["served"] == load.asked > 0

    run(work)


# --- The disk


def test_a_full_disk_leaves_the_old_state(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        async with Node() as a, Node() as b:
            port = free_port()
            async with in_process_daemon(
                tmp_path, file_value([pool("p", {"a": a})], port), stored=True
            ) as it:
                real = os.fsync

                def full(number: int) -> None:
                    raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

                monkeypatch.setattr(os, "fsync", full)
                wanted = file_value([pool("p", {"a": a, "b": b})], port)
                wanted["listeners"].append({"name": "x", "address": f"127.0.0.1:{free_port()}"})
                before = _descriptors()
                with pytest.raises(ApplyError, match="No space left on device; nothing was chang"):
                    await it.plan_and_apply(wanted)
                assert _descriptors() == before
                monkeypatch.setattr(os, "fsync", real)
                assert sorted(os.listdir(tmp_path / "state")) == [
                    "lock",
                    "pages.sqlite3",
                    "state-00000001.json",
                ]
                assert it.live.store is not None
                assert {root.serial for root in it.live.store.pages.roots()} == {1}
                assert set(it.live.pools["p"].endpoints) == {"a"}
                await it.plan_and_apply(wanted)
                assert it.live.applied.serial == 2

    run(work)


def test_no_failure_is_reported_after_the_rename(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        port = free_port()
        async with in_process_daemon(
            tmp_path, file_value([pool("p", {})], port), stored=True
        ) as it:

            def broken(store: Store) -> None:
                raise OSError(errno.EIO, os.strerror(errno.EIO))

            monkeypatch.setattr(Store, "_sync_folder", broken)
            await it.plan_and_apply(file_value([pool("p", {}), pool("q", {})], port))
            assert it.live.applied.serial == 2
            assert set(it.live.pools) == {"p", "q"}

    run(work)


def test_after_a_restart_the_last_applied_state_is_live_and_not_the_file(tmp_path: Path) -> None:
    async def work() -> None:
        async with Node() as a, Node() as b:
            port = free_port()
            async with daemon_process(tmp_path, file_value([pool("p", {"a": a})], port)) as it:
                await it.start()
                assert it.program is not None
                plan = await it.plan(file_value([pool("p", {"a": a, "b": b})], port))
                assert (await it.ask({"op": "apply", "plan": plan}))["ok"]
                it.program.send_signal(signal.SIGTERM)
                assert await it.wait() == 0
                assert "differs" not in it.log.read_text()
                await it.start()
                live = await it.ask({"op": "state"})
                assert (live["serial"], set(live["state"]["nodes"])) == (2, {"p/a", "p/b"})
                assert "the last applied state is in effect; " in it.log.read_text()

    run(work)


def _stored(tmp_path: Path) -> Path:
    """Return a directory with two applied states."""

    async def work() -> None:
        port = free_port()
        async with in_process_daemon(
            tmp_path, file_value([pool("p", {})], port), stored=True
        ) as it:
            await it.plan_and_apply(file_value([pool("p", {}), pool("q", {})], port))

    run(work)
    return tmp_path / "state"


def test_a_damaged_state_file_is_reported_with_a_remedy(tmp_path: Path) -> None:
    path = _stored(tmp_path)
    last = path / "state-00000002.json"
    whole = last.read_bytes()
    other = whole.replace(b'"root":"', b'"root":"0')
    assert other != whole
    for data in (whole[: len(whole) // 2], b"", other, b"[]"):
        last.write_bytes(data)
        store = Store(path, "g1")
        with pytest.raises(StoreError, match=r"damaged.*remove it to continue from serial 1"):
            store.last()
        store.close()
    last.unlink()
    store = Store(path, "g1")
    applied = store.last()
    assert applied is not None
    assert applied.serial == 1
    store.close()


def test_a_state_file_of_a_newer_version_or_another_gateway_is_rejected(tmp_path: Path) -> None:
    path = _stored(tmp_path)
    last = path / "state-00000002.json"
    value = json.loads(last.read_bytes())
    last.write_text(json.dumps({**value, "format": 3}))
    store = Store(path, "g1")
    with pytest.raises(StoreError, match="newer version"):
        store.last()
    store.close()
    last.write_text(json.dumps(value))
    store = Store(path, "g2")
    with pytest.raises(StoreError, match="belongs to gateway 'g1', not 'g2'"):
        store.last()
    store.close()


def test_an_error_about_the_state_directory_names_it(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    with pytest.raises(StoreError, match=r"state_dir: .*file"):
        Store(tmp_path / "file", "g1")
    store = Store(tmp_path / "state", "g1")
    with pytest.raises(StoreError, match="another gateway holds it"):
        Store(tmp_path / "state", "g1")
    store.close()
    if os.getuid() != 0:  # root ignores permissions
        (tmp_path / "state").chmod(0o500)
        with pytest.raises(StoreError, match="Permission denied"):
            Store(tmp_path / "state" / "deeper", "g1")


def test_the_number_of_kept_states_is_bounded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("sailhitch.daemon.store.MAX_STATES", 3)

    async def work() -> None:
        port = free_port()
        async with in_process_daemon(
            tmp_path, file_value([pool("p", {})], port), stored=True
        ) as it:
            for i in range(5):
                await it.plan_and_apply(file_value([pool("p", {}), pool(f"q{i}", {})], port))
            assert [one.serial for one in it.source.history()] == [4, 5, 6]

    run(work)


# --- Applies that are killed


STEPS = [
    "checked",
    "bound",
    "pages half written",
    "pages committed",
    "half written",
    "written",
    "synced",
    "renamed",
    "manifests pruned",
    "committed",
    "switched",
]
# By the step at which the apply is killed, the serial that is live after the restart.
LIVE_SERIALS = {step: 1 if i < STEPS.index("renamed") else 2 for i, step in enumerate(STEPS)}


@pytest.mark.parametrize("step", STEPS)
def test_an_apply_killed_at_any_step_leaves_the_old_or_the_new_state_whole(
    step: str, tmp_path: Path
) -> None:
    async def work() -> None:
        memory = Memory()
        async with Node(0.002, memory=memory) as a, Node(0.002, memory=memory) as b:
            port = free_port()
            old = file_value([pool("p", {"a": a})], port)
            new = file_value([pool("p", {"b": b}), pool("q", {})], port)
            async with daemon_process(tmp_path, old) as it:
                await it.start(kill_at=step)
                async with Load(f"127.0.0.1:{port}", 4) as load:
                    await until(lambda: load.ends["served"] > 20)
                    plan = await it.plan(new)
                    it.armed.touch()
                    with pytest.raises(Exception, match=r"is incomplete|reset|no reply|Connection"):
                        await it.ask({"op": "apply", "plan": plan})
                    assert await it.wait() == -signal.SIGKILL
                    await it.start()
                    served = load.ends["served"]
                    await until(lambda: load.ends["served"] > served + 20)
                    await load.finish()
                live = await it.ask({"op": "state"})
                assert live["serial"] == LIVE_SERIALS[step]
                nodes, pools = set(live["state"]["nodes"]), set(live["state"]["pools"])
                assert (nodes, pools) == (
                    ({"p/a"}, {"p"}) if live["serial"] == 1 else ({"p/b"}, {"p", "q"})
                )
                hosts = await it.ask({"op": "hosts"})
                assert {n["node"] for n in hosts["pools"]["p"]} == {
                    "a" if live["serial"] == 1 else "b"
                }
                assert not executed_twice([a, b])
                assert max(load.answers.values()) == 1
                assert not [n for n in os.listdir(tmp_path / "state") if n.startswith(".")]

    run(work)


@pytest.mark.parametrize("number", ["SIGTERM", "SIGHUP"])
@pytest.mark.parametrize("step", ["bound", "written", "committed"])
def test_an_apply_completes_despite_a_signal(number: str, step: str, tmp_path: Path) -> None:
    async def work() -> None:
        async with Node() as a, Node() as b:
            port = free_port()
            old = file_value([pool("p", {"a": a})], port)
            new = file_value([pool("p", {"a": a, "b": b})], port)
            async with daemon_process(tmp_path, old) as it:
                await it.start(kill_at=step, number=number)
                plan = await it.plan(new)
                it.armed.touch()
                answer = await it.ask({"op": "apply", "plan": plan})
                assert answer["ok"]
                if number == "SIGTERM":
                    assert await it.wait() == 0
                    await it.start()
                    assert (await it.ask({"op": "state"}))["serial"] == 2
                else:
                    # The file is still the old one; SIGHUP applies it after the plan.
                    async with asyncio.timeout(TEST_TIMEOUT):
                        while (await it.ask({"op": "state"}))["serial"] < 3:
                            await asyncio.sleep(0.02)
                    last = (await it.ask({"op": "history"}))["history"][-1]
                    assert last["by"] == "SIGHUP"

    run(work)


def test_sighup_applies_the_file_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    async def work() -> None:
        async with Node() as a, Node() as b:
            port = free_port()
            async with daemon_process(tmp_path, file_value([pool("p", {"a": a})], port)) as it:
                await it.start()
                assert it.program is not None
                plan = await it.plan(file_value([pool("p", {"b": b})], port))
                whole = it.file.read_text()
                it.file.write_text("version = 1\nnonsense")
                it.program.send_signal(signal.SIGHUP)
                await until(lambda: "SIGHUP: nothing was changed" in it.log.read_text())
                it.file.write_text(whole.replace('"a"', '"c"'))
                it.program.send_signal(signal.SIGHUP)
                await until(lambda: "SIGHUP: serial 2" in it.log.read_text())
                answer = await it.ask({"op": "apply", "plan": plan})
                assert answer["code"] == "moved"
                assert [one["by"] for one in answer["moved"]] == ["SIGHUP"]
                it.program.send_signal(signal.SIGTERM)
                assert await it.wait() == 0

    run(work)


def test_of_two_sighups_the_later_file_is_applied(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against two concurrent reads of the file, of which the older one is applied last.

    The first read is delayed until the second one is applied, or for a second.
    """
    readings: list[OperatorFile] = []
    is_applied = threading.Event()

    def held(path: str) -> OperatorFile:
        made_ = load_file(path)
        readings.append(made_)
        if len(readings) == 1:
            is_applied.wait(1.0)
        return made_

    async def work() -> None:
        monkeypatch.setattr("sailhitch.daemon.process.load_file", held)
        file, port = tmp_path / "g1.toml", free_port()
        values = [file_value([pool("p", {name: "127.0.0.1:9"})], port) for name in "abc"]
        async with in_process_daemon(tmp_path, values[0]) as it:
            daemon = Daemon(str(file), checked_file(values[0]))
            for count, value in enumerate(values[1:], 1):
                file.write_text(toml_text(value))
                daemon._reload(it.source)
                if count == 1:
                    await until(lambda: bool(readings))
            await until(lambda: it.live.applied.serial > 1)
            is_applied.set()
            await until(lambda: not daemon._tasks)
            assert len(readings) == 2
            assert set(it.live.applied.state["nodes"]) == {"p/c"}

    run(work)


@pytest.mark.parametrize("what", ["another", "one more", "none"])
def test_an_apply_during_shutdown_accepts_no_clients(what: str, tmp_path: Path) -> None:
    async def work() -> None:
        async with Node() as a:
            port, more = free_port(), free_port()
            value = file_value([pool("p", {"a": a})], port)
            async with in_process_daemon(tmp_path, value) as it:
                client = await it.client()
                assert (await client.ask(get()))[0] == 200
                it.live.stop_listening()
                listeners = [{"name": "more", "address": f"127.0.0.1:{more}"}]
                if what == "one more":
                    listeners = value["listeners"] + listeners
                await it.plan_and_apply({**value, "listeners": [] if what == "none" else listeners})
                for gone in (port, more):
                    with pytest.raises(ConnectionRefusedError):
                        await dial(f"127.0.0.1:{gone}")
                if what == "one more":  # otherwise the connection was closed with its listener
                    assert (await client.ask(get()))[0] == 200

    run(work)


# --- The admin socket


async def _ask(it: InProcessDaemon, request: dict[str, Any]) -> dict[str, Any]:
    reader, writer = await asyncio.open_unix_connection(str(it.admin.path), limit=1 << 24)
    writer.write(json.dumps(request).encode() + b"\n")
    async with asyncio.timeout(TEST_TIMEOUT):
        answer = json.loads(await reader.readline())
    writer.close()
    return dict(answer)


async def _send(it: InProcessDaemon, data: bytes, end: bool = True) -> dict[str, Any]:
    reader, writer = await asyncio.open_unix_connection(str(it.admin.path))
    writer.write(data)
    if end:
        writer.write_eof()
    async with asyncio.timeout(TEST_TIMEOUT):
        answer = json.loads(await reader.readline())
    writer.close()
    return dict(answer)


def admin(tmp_path: Path, act: Callable[[InProcessDaemon], Awaitable[None]]) -> None:
    async def work() -> None:
        async with in_process_daemon(tmp_path, file_value([pool("p", {})], free_port())) as it:
            await act(it)
            assert (await _ask(it, {"op": "state"}))["ok"]

    run(work)


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"", "request is incomplete"),
        (b'{"op": "state"}', "request is incomplete"),
        (b"nonsense\n", "not JSON"),
        (b"[" * 100_000 + b"\n", "not JSON"),
        (b"[1]\n", "not an object"),
        (b'{"op": "explode"}\n', "op: unknown"),
        (b'{"op": "state", "serial": "x"}\n', "invalid literal"),
        (b'{"op": "apply", "plan": "{}"}\n', "not a plan"),
        (b'{"op": "apply"}\n', "not a plan"),
    ],
)
def test_an_invalid_admin_request_is_reported(data: bytes, expected: str, tmp_path: Path) -> None:
    async def act(it: InProcessDaemon) -> None:
        answer = await _send(it, data)
        assert not answer["ok"]
        assert expected in answer["error"]

    admin(tmp_path, act)


def test_an_admin_request_of_sixty_megabytes_is_rejected(tmp_path: Path) -> None:
    async def act(it: InProcessDaemon) -> None:
        reader, writer = await asyncio.open_unix_connection(str(it.admin.path))
        try:
            for _ in range(60):
                writer.write(b"x" * (1 << 20))
                await writer.drain()
        except OSError:
            pass  # the gateway no longer reads
        async with asyncio.timeout(TEST_TIMEOUT):
            try:
                reply = await reader.readline()
            except OSError:
                reply = b""
        assert b"larger than 32 MiB" in reply or reply == b""
        assert it.live.applied.serial == 1

    admin(tmp_path, act)


# Guards against: requests that are each within their limit, and that exceed memory together while
# their ends are awaited (report 63c1a8).
def test_admin_requests_are_limited_together(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("sailhitch.daemon.admin.MAX_REQUEST_BYTES", 1 << 20)

    async def act(it: InProcessDaemon) -> None:
        path = str(it.admin.path)
        clients = [await asyncio.open_unix_connection(path) for _ in range(4)]
        for _, writer in clients:
            writer.write(b"x" * 300_000)  # and no end
        async with asyncio.timeout(TEST_TIMEOUT):
            done, _ = await asyncio.wait(
                [asyncio.create_task(reader.readline()) for reader, _ in clients],
                return_when=asyncio.FIRST_COMPLETED,
            )
        assert b"larger than 1 MiB" in done.pop().result()
        for _, one in clients:
            one.close()
        await until(lambda: it.admin.clients == 0)
        reader, writer = await asyncio.open_unix_connection(path)
        writer.write(b'{"op": "state"}\n')
        async with asyncio.timeout(TEST_TIMEOUT):
            assert json.loads(await reader.readline())["ok"]
        writer.close()

    admin(tmp_path, act)


def test_an_idle_admin_client_is_disconnected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("sailhitch.daemon.admin.CLIENT_TIMEOUT", 0.2)

    async def act(it: InProcessDaemon) -> None:
        silent = [await asyncio.open_unix_connection(str(it.admin.path)) for _ in range(12)]
        async with asyncio.timeout(TEST_TIMEOUT):
            ends = [await reader.read() for reader, _ in silent]
        assert sum(b"too many" in end for end in ends) == 4
        await until(lambda: it.admin.clients == 0)
        for _, writer in silent:
            writer.close()

    admin(tmp_path, act)


def test_another_user_is_rejected_by_its_peer_credentials(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def act(it: InProcessDaemon) -> None:
        assert it.admin.path.stat().st_mode & 0o777 == 0o600
        with monkeypatch.context() as patch:
            patch.setattr("sailhitch.daemon.admin.peer_uid", lambda sock: 12345)
            answer = await _ask(it, {"op": "state"})
        assert "user 12345 is not permitted" in answer["error"]

    admin(tmp_path, act)


def test_a_stale_socket_is_replaced_and_a_live_one_or_a_file_is_not(tmp_path: Path) -> None:
    async def work() -> None:
        path = tmp_path / "g1.sock"
        with socket.socket(socket.AF_UNIX) as stale:
            stale.bind(str(path))
        value = file_value([pool("p", {})], free_port())
        async with in_process_daemon(tmp_path, value):
            with pytest.raises(Exception, match="another gateway is using it"):
                async with in_process_daemon(tmp_path, file_value([pool("p", {})], free_port())):
                    pass
        path.unlink(missing_ok=True)
        path.write_text("notes")
        with pytest.raises(Exception, match="exists and is not a socket"):
            async with in_process_daemon(tmp_path, file_value([pool("p", {})], free_port())):
                pass
        assert path.read_text() == "notes"

    run(work)


def test_an_apply_completes_after_its_admin_client_has_disconnected(tmp_path: Path) -> None:
    async def work() -> None:
        async with Node() as a, Node() as b:
            port = free_port()
            value = file_value([pool("p", {"a": a})], port)
            async with in_process_daemon(tmp_path, value, stored=True) as it:
                plan = it.plan(file_value([pool("p", {"a": a, "b": b})], port))
                _, writer = await asyncio.open_unix_connection(str(it.admin.path))
                writer.write(json.dumps({"op": "apply", "plan": plan}).encode() + b"\n")
                await writer.drain()
                writer.transport.abort()
                await until(lambda: it.live.applied.serial == 2)

    run(work)


def test_a_plan_edited_by_hand_changes_nothing(tmp_path: Path) -> None:
    async def work() -> None:
        async with Node() as a, Node() as b:
            port = free_port()
            async with in_process_daemon(tmp_path, file_value([pool("p", {"a": a})], port)) as it:
                plan = it.plan(file_value([pool("p", {"a": a, "b": b})], port))
                with pytest.raises(PlanError, match="changed after it was made"):
                    await it.source.apply_plan(plan.replace(b.addr, "127.0.0.1:1"), "t")
                assert it.live.applied.serial == 1

    run(work)


# Guards against: requests that are given up as a process grows by a new state (report 63c1a8).
def test_a_new_state_is_not_taken_for_memory_that_clients_hold(tmp_path: Path) -> None:
    async def work() -> None:
        async with Node() as a, Node() as b:
            port = free_port()
            async with in_process_daemon(tmp_path, file_value([pool("p", {"a": a})], port)) as it:
                sizes = iter(range(10 << 20, 1 << 40, 10 << 20))
                it.live.core.memory.baseline = baseline = MemoryBaseline(lambda: next(sizes))
                await it.plan_and_apply(file_value([pool("p", {"a": a, "b": b})], port))
                assert baseline.size >= 10 << 20

    run(work)
