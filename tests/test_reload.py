"""Reloads and restarts of the real program by signals."""

from __future__ import annotations

import asyncio
import json
import signal
from dataclasses import replace
from pathlib import Path

from sailhitch.core.endpoints import Address
from sailhitch.net.config import parse_address
from tests.sockets import (
    TEST_TIMEOUT,
    DiscoveryServer,
    Server,
    Writer,
    answer,
    config_value,
    dial,
    entry,
    process,
    request,
    running_gateway,
    until,
)


def test_a_reload_under_load_moves_to_the_new_discovery(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Server() as first, Server() as second:
            old, new = (
                DiscoveryServer(("a", first.addr), version=50),
                DiscoveryServer(("b", second.addr)),
            )
            async with old, new:
                value = config_value(old.addr, ("a", first.addr))
                path = tmp_path / "config.json"
                async with process(path, value) as (program, addr):
                    client = await dial(addr)
                    assert await client.ask(request("r1")) == (200, b"served")
                    fresh = json.loads(path.read_text()) | {"discovery": new.addr}
                    path.write_text(json.dumps(fresh))
                    program.send_signal(signal.SIGHUP)
                    await until(lambda: len(new.seen) > 1)
                    old.stop()
                    for i in range(20):  # on the connection that is already open
                        assert await client.ask(request(f"n{i}")) == (200, b"served")
                    assert len(second.seen) >= 20
                    assert program.returncode is None

    asyncio.run(scenario())


def test_a_file_that_cannot_be_read_leaves_the_old_configuration(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Server() as host, DiscoveryServer(("a", host.addr)) as registry:
            path = tmp_path / "config.json"
            value = config_value(registry.addr, ("a", host.addr))
            async with process(path, value) as (program, addr):
                client = await dial(addr)
                for number, text in enumerate(("{", "[]", '{"settings":{}}', "\udcff", "")):
                    path.write_bytes(text.encode("utf-8", "surrogateescape"))
                    program.send_signal(signal.SIGHUP)
                    calls = len(registry.seen)
                    await until(lambda calls=calls: len(registry.seen) > calls + 2)  # type: ignore[misc]
                    assert await client.ask(request(f"r{number}")) == (200, b"served")
                path.unlink()
                program.send_signal(signal.SIGHUP)
                assert await client.ask(request("last")) == (200, b"served")
                assert program.returncode is None

    asyncio.run(scenario())


def _address(text: str) -> Address:
    return parse_address("addr", text)


def test_a_call_that_hangs_at_the_old_discovery_does_not_hold_up_the_move() -> None:
    async def silent(message: bytes, writer: Writer) -> None:
        await asyncio.sleep(TEST_TIMEOUT)

    async def scenario() -> None:
        async with (
            Server() as host,
            Server(silent) as old,
            DiscoveryServer(("b", host.addr)) as new,
        ):
            changes = {"discovery": "subscribe", "rules": {"askWithin": 1}}
            async with running_gateway(discovery=old.addr, settings=changes) as gateway:
                await until(lambda: bool(old.seen))
                gateway.discovery.reconfigure(
                    replace(gateway.platform.config, discovery=_address(new.addr))
                )
                await until(lambda: "b" in gateway.hosts.hosts)

    asyncio.run(scenario())


def test_unreadable_changes_are_followed_by_a_request_for_the_whole_list() -> None:
    async def scenario() -> None:
        async with (
            Server() as host,
            DiscoveryServer(("a", host.addr)) as registry,
            running_gateway(("a", host.addr), discovery=registry.addr) as gateway,
        ):
            await until(lambda: len(registry.seen) > 1)
            registry.entries = [entry("a", host.addr, "leaving")]
            bad = [{"id": "a", "addr": "nowhere", "state": "leaving"}]
            text = json.dumps({"version": 2, "full": False, "servers": bad})
            registry.version = 2
            registry.raw_response = answer(text.encode())
            await until(lambda: gateway.hosts.hosts["a"].endpoint.state == "draining")

    asyncio.run(scenario())


def test_new_settings_hold_from_the_reload_on() -> None:
    async def scenario() -> None:
        from sailhitch.net.config import parse_config

        async with Server() as host, running_gateway(("a", host.addr)) as gateway:
            client = await gateway.client()
            assert (await client.ask(request("r1", kind="new")))[0] == 400
            classes = [
                {
                    "name": "new",
                    "importance": 1.0,
                    "goalTime": 10**6,
                    "deadline": 3 * 10**6,
                    "repeat": "pure",
                }
            ]
            value = config_value("127.0.0.1:9", settings={"classes": classes})
            gateway.platform.reconfigure(parse_config(value, {}))
            client = await gateway.client()
            assert await client.ask(request("r2", kind="new")) == (200, b"served")
            assert gateway.core.counters.panics == 0

    asyncio.run(scenario())


def test_at_a_restart_every_request_taken_is_answered_on_old_and_new_connections(
    tmp_path: Path,
) -> None:
    async def slow(message: bytes, writer: Writer) -> None:
        await asyncio.sleep(0.3)
        writer.write(answer(b"served"))

    async def scenario() -> None:
        async with Server(slow) as host, DiscoveryServer(("a", host.addr)) as registry:
            value = config_value(registry.addr, ("a", host.addr))
            async with process(tmp_path / "config.json", value) as (program, addr):
                busy, idle, partial, silent = [await dial(addr) for _ in range(4)]
                assert await idle.ask(request("k1")) == (200, b"served")
                busy.send(request("b1", b"effect"))
                partial.send(request("h1", b"effect")[:-3])
                await until(lambda: len(host.seen) == 2)
                program.send_signal(signal.SIGTERM)
                await asyncio.sleep(0.05)
                late = await dial(addr)
                late.send(request("l1", b"effect"))
                idle.send(request("k2"))
                partial.send(request("h1", b"effect")[-3:])
                for client in (busy, late, idle, partial):
                    assert await client.answer() == (200, b"served")
                    assert await client.read_to_end() == b""
                assert await silent.read_to_end() == b""
                async with asyncio.timeout(TEST_TIMEOUT):
                    assert await program.wait() == 0

    asyncio.run(scenario())


def test_clients_that_never_complete_a_request_do_not_prevent_shutdown(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with Server() as host, DiscoveryServer(("a", host.addr)) as registry:
            value = config_value(registry.addr, ("a", host.addr))
            async with process(tmp_path / "config.json", value) as (program, addr):
                clients = [await dial(addr) for _ in range(20)]
                for i, client in enumerate(clients):
                    client.send(request(f"r{i}", b"effect")[: 20 * i])
                program.send_signal(signal.SIGTERM)
                async with asyncio.timeout(TEST_TIMEOUT):
                    assert await program.wait() == 0

    asyncio.run(scenario())
