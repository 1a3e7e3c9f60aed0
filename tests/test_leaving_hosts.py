"""Nothing new reaches a host once it is announced as leaving, whatever was under way to it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import time
from collections.abc import Callable

import pytest
import uvloop

from sailhitch.core.core import PERIODIC_INTERVAL
from sailhitch.core.timer_wheel import LATE
from tests.crossings import LONG_CONNECT_TIMEOUT, delayed_connects
from tests.sockets import (
    DiscoveryServer,
    Server,
    Writer,
    answer,
    entry,
    request,
    running_gateway,
    until,
)


@pytest.mark.parametrize("state", ["leaving", "left", "missing"])
@pytest.mark.parametrize("body", [None, b"pay"])
def test_what_was_on_its_way_to_a_host_that_is_then_leaving_goes_to_another(
    state: str, body: bytes | None
) -> None:
    """Chosen before the news, and its connection comes up after it."""

    async def play() -> None:
        async with Server() as leaving, Server() as staying:
            registry = DiscoveryServer(("a", leaving.addr))
            async with (
                registry,
                running_gateway(
                    ("a", leaving.addr), discovery=registry.addr, settings=LONG_CONNECT_TIMEOUT
                ) as it,
                delayed_connects(leaving.addr) as held,
            ):
                client = await it.client()
                client.send(request("r1", body))
                await until(lambda: held.waiting == 1)
                registry.entries = [entry("b", staying.addr)]
                if state != "missing":
                    registry.entries.append(entry("a", leaving.addr, state))
                registry.version += 1
                await until(lambda: "b" in it.pool.endpoints)
                held.go.set()
                assert await client.answer() == (200, b"served")
                assert len(staying.seen) == 1
                assert leaving.seen == []
                # It never ran there, and says nothing of any host.
                assert "connect_failed" not in it.core.counters.statuses

    asyncio.run(play())


@pytest.mark.parametrize("body", [None, b"pay"])
def test_a_first_byte_does_not_wait_for_a_full_socket(body: bytes | None) -> None:
    """It would go out whenever the host reads again, whatever has been said of it by then."""

    async def play() -> None:
        async with Server() as host, running_gateway(("a", host.addr)) as it:
            client = await it.client()
            assert await client.ask(request("r0")) == (200, b"served")
            (conn,) = it.hosts.connections
            (far,) = host.writers
            far.transport.pause_reading()  # type: ignore[attr-defined]
            with contextlib.suppress(BlockingIOError):
                while True:
                    conn.sock.send(b"x" * 65536)
            assert await client.ask(request("r1", body)) == (200, b"served")
            assert len(host.writers) == 2

    asyncio.run(play())


@pytest.mark.parametrize("news", ["moved", "started anew", "replaced", "other cell", "banned"])
def test_what_was_chosen_by_what_no_longer_holds_is_chosen_anew(news: str) -> None:
    """Its address, its life, who is there, its group, or what staff say of it."""

    async def play() -> None:
        async with Server() as one, Server() as other, Server() as third:
            registry = DiscoveryServer(("a", one.addr))
            async with (
                registry,
                running_gateway(
                    ("a", one.addr), discovery=registry.addr, settings=LONG_CONNECT_TIMEOUT
                ) as it,
                delayed_connects(one.addr) as held,
            ):
                client = await it.client()
                client.send(request("r1", b"pay"))
                await until(lambda: held.waiting == 1)
                listed = {
                    "moved": entry("a", third.addr),
                    "started anew": entry("a", one.addr) | {"started_ms": 1_700_000_000_000},
                    "other cell": entry("a", one.addr) | {"cell": 7},
                }.get(news, entry("a", one.addr))
                registry.entries = [listed, entry("b", other.addr)]
                if news == "replaced":
                    registry.entries.append(entry("c", one.addr) | {"started_ms": 1000})
                registry.version += 1
                await until(lambda: "b" in it.pool.endpoints)
                if news == "banned":
                    it.pool.enter_maintenance("a")
                held.go.set()
                assert await client.answer() == (200, b"served")
                assert it.core.counters.statuses["withheld"] == 1
                if news != "replaced":  # which fails by itself if it is chosen again
                    assert "connect_failed" not in it.core.counters.statuses
                assert len(one.seen) + len(other.seen) + len(third.seen) == 1
                if news in ("moved", "banned"):
                    assert one.seen == []

    asyncio.run(play())


class Held(DiscoveryServer):
    """Answers a call that has nothing new to hear when the test writes to it."""

    async def reply(self, message: bytes, writer: Writer) -> None:
        if f"after={self.version}&".encode() not in message:
            await super().reply(message, writer)


@pytest.mark.parametrize("body", [None, b"pay"])
@pytest.mark.parametrize("loop", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_news_that_came_during_a_stall_is_heard_before_requests_that_came_in_it(
    body: bytes | None, loop: Callable[[], asyncio.AbstractEventLoop]
) -> None:
    """The request came first, is read first, and its host has a connection at hand."""

    def wrote(writer: Writer, data: bytes) -> None:
        assert os.write(writer.get_extra_info("socket").fileno(), data) == len(data)

    async def story() -> None:
        async with Server() as leaving, Server() as staying:
            registry = Held(("a", leaving.addr))
            async with (
                registry,
                running_gateway(("a", leaving.addr), discovery=registry.addr) as it,
            ):
                client = await it.client()
                assert await client.ask(request("r1")) == (200, b"served")
                seen = len(registry.seen)
                await until(lambda: len(registry.seen) > seen)  # a call has just begun to wait
                listed = [entry("a", leaving.addr, "leaving"), entry("b", staying.addr)]
                text = {"version": 2, "full": True, "servers": listed}
                # The loop has no turn from here on.
                wrote(client.writer, request("r2", body))
                wrote(registry.writers[-1], answer(json.dumps(text).encode()))
                registry.version = 2
                time.sleep(2 * (PERIODIC_INTERVAL + LATE) / 1e6)
                assert await client.answer() == (200, b"served")
                assert (len(leaving.seen), len(staying.seen)) == (1, 1)

    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(story())
