"""What an attempt tells its host is at most what is left to the client when it is written."""

from __future__ import annotations

import asyncio
import re

import pytest

from tests.crossings import LONG_CONNECT_TIMEOUT
from tests.sockets import Client, RunningGateway, Server, Writer, answer, request, running_gateway
from tests.virtual import play

DEADLINE = re.compile(rb"Req-Deadline-Ms: (\d+)")
BUSY = b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
WAIT = 1400  # ms that a client waits


def told(message: bytes) -> int:
    """How long the gateway will wait, in ms, as a host reads it."""
    found = DEADLINE.findall(message)
    assert len(found) == 1
    return int(found[0])


class Host(Server):
    """Notes when each request came, and what it was told."""

    def __init__(self, delay: float = 0.0, busy: int = 0) -> None:
        super().__init__()
        self.delay, self.busy = delay, busy
        self.told: list[tuple[float, int]] = []

    async def reply(self, message: bytes, writer: Writer) -> None:
        self.told.append((asyncio.get_running_loop().time(), told(message)))
        await asyncio.sleep(self.delay)
        self.busy -= 1
        writer.write(BUSY if self.busy >= 0 else answer(b"served"))


def check(hosts: tuple[Host, ...], asked: float, attempts: int) -> None:
    """No attempt was told more than was left, to a millisecond."""
    found = [one for host in hosts for one in host.told]
    assert len(found) == attempts
    for at, left in found:
        assert left <= WAIT - (at - asked) * 1000 + 1


@pytest.mark.parametrize("body", [None, b"pay"])
def test_further_attempts(body: bytes | None) -> None:
    async def story() -> None:
        async with (
            Host(0.4, busy=1) as one,
            Host(0.4, busy=1) as two,
            running_gateway(("a", one.addr), ("b", two.addr)) as it,
        ):
            client = await it.client()
            asked = asyncio.get_running_loop().time()
            await client.ask(request("r1", body, wait_ms=WAIT))
            check((one, two), asked, 3)

    play(story())


def test_one_that_waited_for_a_connection() -> None:
    async def story() -> None:
        loop = asyncio.get_running_loop()
        connect = loop.sock_connect

        async def late(*args: object) -> None:
            await asyncio.sleep(0.3)
            await connect(*args)  # type: ignore[arg-type]

        async with (
            Host() as host,
            running_gateway(("a", host.addr), settings=LONG_CONNECT_TIMEOUT) as it,
        ):
            client = await it.client()
            loop.sock_connect = late  # type: ignore[method-assign, assignment]
            asked = loop.time()
            assert await client.ask(request("r1", wait_ms=WAIT)) == (200, b"served")
            check((host,), asked, 1)
            assert host.told[0][0] - asked >= 0.3

    play(story())


async def _ahead(it: RunningGateway, first: float) -> tuple[Client, float]:
    """A request that its host answers after so long, and one more right behind it."""
    client = await it.client()
    asked = asyncio.get_running_loop().time()
    client.send(request("r1", wait_ms=3000) + request("r2", wait_ms=WAIT))
    assert await client.answer() == (200, b"served")
    assert asyncio.get_running_loop().time() - asked >= first
    return client, asked


def test_one_that_was_sent_ahead_of_the_answer_before_it() -> None:
    """Its time runs from its last byte, not from its turn."""

    async def story() -> None:
        async with Host(0.5) as host, running_gateway(("a", host.addr)) as it:
            client, asked = await _ahead(it, 0.5)
            assert await client.answer() == (200, b"served")
            host.told = host.told[1:]
            check((host,), asked, 1)

    play(story())


def test_one_whose_time_is_over_before_its_turn_is_not_sent() -> None:
    async def story() -> None:
        async with Host(1.45) as host, running_gateway(("a", host.addr)) as it:
            client, _ = await _ahead(it, 1.45)
            assert (await client.answer())[0] == 503
            assert len(host.told) == 1

    play(story())
