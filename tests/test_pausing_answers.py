"""Answers of unknown length whose host pauses for longer than the request's time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest

from sailhitch.core.budget import MAX_BUFFERED_BODY
from tests.crossings import reset_at_close
from tests.sockets import (
    TEST_TIMEOUT,
    Reader,
    RunningGateway,
    Server,
    Writer,
    answer,
    read_message,
    request,
    running_gateway,
    until,
)

KB = 1 << 10
BODY = random.Random(1).randbytes(200 * KB)
FIRST = 40 * KB  # bytes before the pause
WAIT_MS = 800  # of the request
PAUSE = 1.3  # s; beyond the request's time
HELD_BACK = 2.0  # s for which nothing may be held back that the host has given
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNTIL_CLOSE = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


class PausingServer(Server):
    """Gives the first part of each answer `before` s after the request, the rest after a pause."""

    def __init__(self, form: str, before: float = 0.0) -> None:
        super().__init__()
        self.form = form
        self.before = before
        self.gave_first_at = 0.0
        self.whole = 0

    def coded(self, data: bytes) -> bytes:
        return b"%x\r\n%s\r\n" % (len(data), data) if self.form == "chunked" else data

    async def give_first(self, writer: Writer) -> None:
        await asyncio.sleep(self.before)
        head = CHUNKED if self.form == "chunked" else UNTIL_CLOSE
        writer.write(head + self.coded(BODY[:FIRST]))
        await writer.drain()
        self.gave_first_at = now()

    async def give_rest(self, writer: Writer) -> None:
        await asyncio.sleep(PAUSE)
        writer.write(self.coded(BODY[FIRST:]))
        await writer.drain()
        if self.form == "chunked":
            writer.write(b"0\r\n\r\n")
        else:
            writer.close()
        self.whole += 1

    async def reply(self, message: bytes, writer: Writer) -> None:
        await self.give_first(writer)
        await self.give_rest(writer)


def now() -> float:
    return asyncio.get_running_loop().time()


def play(host: Server, scenario: Callable[[RunningGateway], Awaitable[None]]) -> None:
    async def run() -> None:
        async with host, running_gateway(("a", host.addr)) as gateway:
            await scenario(gateway)
            await until(lambda: gateway.core.budget.reserved == gateway.core.budget.streamed == 0)
            counters = gateway.core.counters
            assert counters.panics == counters.faults == gateway.core.invariants.total == 0

    asyncio.run(run())


async def read_body(reader: Reader, host: PausingServer) -> tuple[bytes, bytes]:
    """Return the head and body of an answer; check that its first part was not held back."""
    async with asyncio.timeout(TEST_TIMEOUT):
        head = await reader.readuntil(b"\r\n\r\n")
        assert now() - host.gave_first_at < HELD_BACK
        if b"chunked" not in head:
            return head, await reader.read()
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        return head, body


FORMS = pytest.mark.parametrize("form", ["chunked", "until close"])


@FORMS
@pytest.mark.parametrize("client_form", ["keeps", "closes", "HTTP/1.0"])
@pytest.mark.parametrize("before", [0.0, WAIT_MS / 1000 - 0.15])
def test_a_long_answer_whose_host_pauses_is_passed_on_and_not_cut_off(
    before: float, client_form: str, form: str
) -> None:
    """Guards against answers that are held from the first byte until their deadline (review/3)."""
    host = PausingServer(form, before)

    async def scenario(gateway: RunningGateway) -> None:
        client = await gateway.client()
        fields = b"Connection: close\r\n" if client_form == "closes" else b""
        asked = request("r", b"effect", WAIT_MS, fields)
        if client_form == "HTTP/1.0":
            asked = asked.replace(b"HTTP/1.1", b"HTTP/1.0", 1)
        client.send(asked)
        head, body = await read_body(client.reader, host)
        assert head.startswith(b"HTTP/1.1 200")
        assert body == BODY
        assert gateway.core.counters.cut == 0
        assert gateway.core.counters.statuses == {"ok": 1}

    play(host, scenario)


class EarlyAnsweringServer(PausingServer):
    """Gives the first part of its answer while the request's body is still on its way."""

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        self.writers.append(writer)
        head = await reader.readuntil(b"\r\n\r\n")
        size = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
        await reader.readexactly(size // 2)
        await self.give_first(writer)
        await reader.readexactly(size - size // 2)
        await self.give_rest(writer)


def test_an_answer_that_begins_before_its_request_is_whole_and_pauses_is_passed_on() -> None:
    """Guards against answers that are looked at only when bytes of them arrive."""
    host = EarlyAnsweringServer("chunked")

    async def scenario(gateway: RunningGateway) -> None:
        client = await gateway.client()
        asked = request("r", BODY, WAIT_MS)
        client.send(asked[: len(asked) * 3 // 4])
        await until(lambda: host.gave_first_at > 0)
        await asyncio.sleep(0.5)  # it is not streamed as long as the host can't have run it
        assert not any(c.client for c in gateway.hosts.connections)
        client.send(asked[len(asked) * 3 // 4 :])
        head, body = await read_body(client.reader, host)
        assert (head[:12], body) == (b"HTTP/1.1 200", BODY)

    play(host, scenario)


@FORMS
def test_an_answer_that_memory_can_not_hold_is_passed_on_and_not_spoilt(form: str) -> None:
    """Guards against answers that fail because no memory is left to hold them."""
    host = PausingServer(form)

    async def scenario(gateway: RunningGateway) -> None:
        gateway.core.budget.limit = FIRST // 2
        client = await gateway.client()
        client.send(request("r", b"effect", WAIT_MS))
        _, body = await read_body(client.reader, host)
        assert body == BODY
        assert gateway.core.counters.malformed == 0

    play(host, scenario)


@pytest.mark.parametrize("length", [b"", b"Content-Length: %d\r\n" % len(BODY)])
def test_a_head_whose_body_is_still_to_come_is_passed_on(length: bytes) -> None:
    """Guards against a pause right after the head, as against one in the body."""

    async def pauses(message: bytes, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\n" + (length or b"Connection: close\r\n") + b"\r\n")
        await asyncio.sleep(PAUSE)
        writer.write(BODY)
        await writer.drain()
        if not length:
            writer.close()

    async def scenario(gateway: RunningGateway) -> None:
        client = await gateway.client()
        assert await client.ask(request("r", b"effect", WAIT_MS)) == (200, BODY)

    play(Server(pauses), scenario)


@FORMS
def test_a_front_that_passes_any_status_passes_on_a_pausing_answer_too(form: str) -> None:
    class MissingServer(PausingServer):
        async def give_first(self, writer: Writer) -> None:
            head = CHUNKED if self.form == "chunked" else UNTIL_CLOSE
            writer.write(head.replace(b"200 OK", b"404 Not Found") + self.coded(BODY[:FIRST]))
            self.gave_first_at = now()

    host = MissingServer(form)

    async def scenario(gateway: RunningGateway) -> None:
        gateway.pool.connection_settings = replace(
            gateway.pool.connection_settings, passes_any_status=True
        )
        client = await gateway.client()
        client.send(request("r", b"effect", WAIT_MS))
        head, body = await read_body(client.reader, host)
        assert head.startswith(b"HTTP/1.1 404")
        assert body == BODY

    play(host, scenario)


def test_of_two_attempts_one_that_pauses_does_not_displace_one_that_is_whole() -> None:
    """Guards against streaming a paused answer while another attempt may still respond."""

    async def answers_later(message: bytes, writer: Writer) -> None:
        await asyncio.sleep(0.4)
        writer.write(answer(b"served"))

    async def run() -> None:
        async with (
            PausingServer("chunked") as first,
            Server(answers_later) as second,
            running_gateway(("a", first.addr), ("b", second.addr)) as gateway,
        ):
            policy = gateway.pool.policy
            servers = policy.endpoint_table.servers
            servers["b"].ejections, servers["b"].ejected_until = 1, 1 << 62
            client = await gateway.client()
            client.send(request("r", wait_ms=WAIT_MS))
            await until(lambda: first.gave_first_at > 0)
            (held,) = policy.open_requests.values()
            sent_at = gateway.core.clock()
            gateway.pool.notify_policy(None, lambda: policy._send(sent_at, held, servers["b"]))
            assert await client.answer() == (200, b"served")
            assert gateway.core.counters.panics == gateway.core.counters.faults == 0

    asyncio.run(run())


def test_an_answer_that_pauses_goes_on_in_a_drain() -> None:
    host = PausingServer("chunked")

    async def scenario(gateway: RunningGateway) -> None:
        client = await gateway.client()
        client.send(request("r", b"effect", WAIT_MS))
        await until(lambda: host.gave_first_at > 0)
        gateway.core.drain()
        _, body = await read_body(client.reader, host)
        assert body == BODY

    play(host, scenario)


def test_an_answer_that_breaks_off_in_its_pause_fails_so_that_the_client_can_tell() -> None:
    class BreakingServer(PausingServer):
        async def give_rest(self, writer: Writer) -> None:
            await asyncio.sleep(PAUSE)
            reset_at_close(writer.get_extra_info("socket"))
            writer.transport.abort()

    host = BreakingServer("until close")

    async def scenario(gateway: RunningGateway) -> None:
        client = await gateway.client()
        asked = request("r", b"effect", WAIT_MS).replace(b"HTTP/1.1", b"HTTP/1.0", 1)
        client.send(asked)
        with pytest.raises(ConnectionResetError):
            await read_body(client.reader, host)
        assert gateway.core.counters.cut == 1

    play(host, scenario)


def test_an_answer_that_breaks_off_at_once_is_made_good_by_another_attempt() -> None:
    """Guards against passing on so early that a retry is given away."""
    broken = 0

    async def breaks_once(message: bytes, writer: Writer) -> None:
        nonlocal broken
        if broken:
            writer.write(answer(b"served"))
            return
        broken += 1
        writer.write(CHUNKED + b"10\r\n0123456789abcdef\r\n")
        await asyncio.sleep(0.1)
        writer.transport.abort()

    async def scenario(gateway: RunningGateway) -> None:
        client = await gateway.client()
        assert await client.ask(request("r", wait_ms=WAIT_MS)) == (200, b"served")

    play(Server(breaks_once), scenario)


def test_a_short_answer_of_known_length_is_still_held_whole() -> None:
    async def pauses(message: bytes, writer: Writer) -> None:
        body = BODY[:MAX_BUFFERED_BODY]
        writer.write(answer(body)[:-10])
        await asyncio.sleep(0.5)
        writer.write(body[-10:])

    async def scenario(gateway: RunningGateway) -> None:
        client = await gateway.client()
        client.send(request("r", b"effect", WAIT_MS))
        await asyncio.sleep(0.4)
        assert not any(c.client for c in gateway.hosts.connections)
        async with asyncio.timeout(TEST_TIMEOUT):
            message = await read_message(client.reader)
        assert message.endswith(BODY[:MAX_BUFFERED_BODY])

    play(Server(pauses), scenario)
