"""No new request is sent to a host that is listed as leaving, even if it was chosen before."""

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
def test_an_attempt_that_connects_to_a_leaving_host_goes_to_another(
    state: str, body: bytes | None
) -> None:
    """The host is chosen before the update, and its connection is established after it."""

    async def run() -> None:
        async with Server() as leaving, Server() as staying:
            registry = DiscoveryServer(("a", leaving.addr))
            async with (
                registry,
                running_gateway(
                    ("a", leaving.addr), discovery=registry.addr, settings=LONG_CONNECT_TIMEOUT
                ) as gateway,
                delayed_connects(leaving.addr) as pending_connects,
            ):
                client = await gateway.client()
                client.send(request("r1", body))
                await until(lambda: pending_connects.waiting == 1)
                registry.entries = [entry("b", staying.addr)]
                if state != "missing":
                    registry.entries.append(entry("a", leaving.addr, state))
                registry.version += 1
                await until(lambda: "b" in gateway.pool.endpoints)
                pending_connects.go.set()
                assert await client.answer() == (200, b"served")
                assert len(staying.seen) == 1
                assert leaving.seen == []
                # The attempt never ran, and is not attributed to the host.
                assert "connect_failed" not in gateway.core.counters.statuses

    asyncio.run(run())


@pytest.mark.parametrize("body", [None, b"pay"])
def test_a_first_byte_does_not_wait_for_a_full_socket(body: bytes | None) -> None:
    """It would be sent once the host reads again, whatever the list says of it by then."""

    async def run() -> None:
        async with Server() as host, running_gateway(("a", host.addr)) as gateway:
            client = await gateway.client()
            assert await client.ask(request("r0")) == (200, b"served")
            (conn,) = gateway.hosts.connections
            (host_writer,) = host.writers
            host_writer.transport.pause_reading()  # type: ignore[attr-defined]
            with contextlib.suppress(BlockingIOError):
                while True:
                    conn.sock.send(b"x" * 65536)
            assert await client.ask(request("r1", body)) == (200, b"served")
            assert len(host.writers) == 2

    asyncio.run(run())


@pytest.mark.parametrize("change", ["moved", "restarted", "replaced", "other cell", "banned"])
def test_an_attempt_is_chosen_again_if_its_host_has_changed(change: str) -> None:
    """Each case changes one property that the choice depended on while the attempt connects."""

    async def run() -> None:
        async with Server() as one, Server() as other, Server() as third:
            registry = DiscoveryServer(("a", one.addr))
            async with (
                registry,
                running_gateway(
                    ("a", one.addr), discovery=registry.addr, settings=LONG_CONNECT_TIMEOUT
                ) as gateway,
                delayed_connects(one.addr) as pending_connects,
            ):
                client = await gateway.client()
                client.send(request("r1", b"pay"))
                await until(lambda: pending_connects.waiting == 1)
                listed = {
                    "moved": entry("a", third.addr),
                    "restarted": entry("a", one.addr) | {"started_ms": 1_700_000_000_000},
                    "other cell": entry("a", one.addr) | {"cell": 7},
                }.get(change, entry("a", one.addr))
                registry.entries = [listed, entry("b", other.addr)]
                if change == "replaced":
                    registry.entries.append(entry("c", one.addr) | {"started_ms": 1000})
                registry.version += 1
                await until(lambda: "b" in gateway.pool.endpoints)
                if change == "banned":
                    gateway.pool.enter_maintenance("a")
                pending_connects.go.set()
                assert await client.answer() == (200, b"served")
                assert gateway.core.counters.statuses["withheld"] == 1
                if change != "replaced":  # the replaced host fails by itself if it is chosen again
                    assert "connect_failed" not in gateway.core.counters.statuses
                assert len(one.seen) + len(other.seen) + len(third.seen) == 1
                if change in ("moved", "banned"):
                    assert one.seen == []

    asyncio.run(run())


class LongPollRegistry(DiscoveryServer):
    """Leaves a watch call that is up to date open; the test writes the response."""

    async def reply(self, message: bytes, writer: Writer) -> None:
        if f"after={self.version}&".encode() not in message:
            await super().reply(message, writer)


@pytest.mark.parametrize("body", [None, b"pay"])
@pytest.mark.parametrize("loop", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_updates_received_in_a_stall_apply_before_requests_received_in_it(
    body: bytes | None, loop: Callable[[], asyncio.AbstractEventLoop]
) -> None:
    """The request arrives first, is read first, and its host has an idle connection."""

    def write_now(writer: Writer, data: bytes) -> None:
        assert os.write(writer.get_extra_info("socket").fileno(), data) == len(data)

    async def run() -> None:
        async with Server() as leaving, Server() as staying:
            registry = LongPollRegistry(("a", leaving.addr))
            async with (
                registry,
                running_gateway(("a", leaving.addr), discovery=registry.addr) as gateway,
            ):
                client = await gateway.client()
                assert await client.ask(request("r1")) == (200, b"served")
                seen = len(registry.seen)
                await until(
                    lambda: len(registry.seen) > seen
                )  # a watch call has just begun to wait
                listed = [entry("a", leaving.addr, "leaving"), entry("b", staying.addr)]
                text = {"version": 2, "full": True, "servers": listed}
                # From here on the event loop doesn't run.
                write_now(client.writer, request("r2", body))
                write_now(registry.writers[-1], answer(json.dumps(text).encode()))
                registry.version = 2
                time.sleep(2 * (PERIODIC_INTERVAL + LATE) / 1e6)
                assert await client.answer() == (200, b"served")
                assert (len(leaving.seen), len(staying.seen)) == (1, 1)

    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(run())
