"""What clients may send and how long they may take, over loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from sailhitch.core.budget import Budget
from sailhitch.core.process import finish
from sailhitch.front import time_limits
from tests.sockets import (
    TEST_TIMEOUT,
    RunningGateway,
    Server,
    Writer,
    answer,
    open_socket,
    request,
    running_gateway,
    start_requests,
    until,
)

HEAD = b"POST /api HTTP/1.1\r\nHost: h\r\nReq-Id: x1\r\nReq-Kind: side_effect-all\r\n"
WAIT = b"Req-Deadline-Ms: 900\r\n"


def play(act: Callable[[RunningGateway, Server], Awaitable[None]], **changes: Any) -> None:
    async def run() -> None:
        async with Server() as host, running_gateway(("a", host.addr), **changes) as it:
            await act(it, host)
            # Whatever it was, the gateway goes on serving, and nothing is left behind.
            client = await it.client()
            assert await client.ask(request("after")) == (200, b"served")
            await until(lambda: it.core.budget.reserved == 0)
            assert it.core.counters.panics == 0

    asyncio.run(run())


BAD = {
    "noise": b"\x00\xff\x17\x03 what\r\n\r\n",
    "negative length": HEAD + WAIT + b"Content-Length: -4\r\n\r\nbody",
    "signed length": HEAD + WAIT + b"Content-Length: +4\r\n\r\nbody",
    "two lengths": HEAD + WAIT + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
    "huge length": HEAD + WAIT + b"Content-Length: 60000000\r\n\r\n" + b"x" * 70_000,
    "overflowing length": HEAD + WAIT + b"Content-Length: 99999999999999999999999\r\n\r\n",
    "just over": HEAD + WAIT + b"Content-Length: 41943041\r\n\r\n",
    "length and coding": HEAD + WAIT + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"0\r\n\r\n" + request("hidden"),
    "coding and length": HEAD + WAIT + b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n"
    b"0\r\n\r\n" + request("hidden"),
    "unknown coding": HEAD + WAIT + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "two codings": HEAD + WAIT + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"0\r\n\r\n",
    "bad chunk": HEAD + WAIT + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
    "endless head": b"GET /api HTTP/1.1\r\nHost: h\r\n" + b"X-Pad: pppppppppp\r\n" * 20_000,
    "endless field": b"GET /api HTTP/1.1\r\nHost: h\r\nX-Pad: " + b"p" * 300_000,
    "endless target": b"GET /" + b"p" * 300_000,
    "no such class": HEAD.replace(b"side_effect-all", b"nothing") + WAIT + b"\r\n",
    "deadline no number": HEAD + b"Req-Deadline-Ms: soon\r\nContent-Length: 0\r\n\r\n",
    "deadline huge": HEAD + b"Req-Deadline-Ms: 9999999999999999\r\nContent-Length: 0\r\n\r\n",
    "no id": HEAD.replace(b"Req-Id: x1\r\n", b"") + WAIT + b"\r\n",
    "odd name": HEAD + WAIT + b"no colon here\r\n\r\n",
    "noise behind": request("x1", b"body") + b"\x00\x01noise\r\n\r\n",
    "a short length": request("x1", b"body") + b"more of it",
    "hundreds at once": b"".join(request(f"p{i}") for i in range(300)),
}


@pytest.mark.parametrize("kind", list(BAD))
def test_what_is_out_of_form_is_answered_with_an_error_and_never_sent_on(kind: str) -> None:
    async def act(it: RunningGateway, host: Server) -> None:
        client = await it.client()
        client.send(BAD[kind])
        got = await client.read_to_end()
        assert got[:10] == b"HTTP/1.1 4", got[:100]
        assert got.count(b"HTTP/1.1 ") == 1
        assert host.seen == []

    play(act)


def test_half_a_request_and_a_close_leaves_nothing_behind() -> None:
    async def act(it: RunningGateway, host: Server) -> None:
        for part in (request("x1")[:30], request("x2", b"b" * 5000)[:-2000]):
            client = await it.client()
            client.send(part)
            await until(lambda: any(not c.is_idle() for c in it.core.clients))
            client.writer.write_eof()
            await client.read_to_end()
        await until(lambda: not it.core.clients)
        assert host.seen == []

    play(act)


@pytest.mark.parametrize(
    "part", [b"", b"\r\n", request("x1")[:30], request("x1", b"b" * 60_000)[:-10]]
)
def test_who_stands_still_is_ended_though_the_peer_does_nothing(part: bytes) -> None:
    async def act(it: RunningGateway, host: Server) -> None:
        client = await it.client()
        client.send(part)
        got = await client.read_to_end()  # comes to its end only if the gateway ends it
        assert got == b"" or got.startswith(b"HTTP/1.1 408")
        assert host.seen == []

    play(act)


def test_the_limits_on_silence_leave_room_within_three_seconds() -> None:
    from sailhitch.core.core import CLIENT_SWEEP_INTERVAL

    assert (
        max(time_limits.REQUEST_LIMIT[0], time_limits.FIRST_BYTE_LIMIT[0])
        + 2 * CLIENT_SWEEP_INTERVAL
        < 3_000_000
    )
    assert time_limits.FIRST_BYTE_LIMIT[0] >= 2_000_000


def test_a_client_that_trickles_does_not_win_time_with_each_byte() -> None:
    async def act(it: RunningGateway, host: Server) -> None:
        client = await it.client()

        async def trickle() -> None:
            for byte in request("x1") + b"p" * 2000:
                client.send(bytes([byte]))
                await asyncio.sleep(0.1)

        task = asyncio.ensure_future(trickle())
        got = await client.read_to_end()
        task.cancel()
        assert got == b"" or got.startswith(b"HTTP/1.1 408")
        assert host.seen == []

    play(act)


def test_the_id_of_an_open_request_is_not_passed_on_again() -> None:
    release = asyncio.Event()

    async def slow(message: bytes, writer: Writer) -> None:
        await release.wait()
        writer.write(answer(b"mine"))

    async def run() -> None:
        async with Server(slow) as host, running_gateway(("a", host.addr)) as it:
            first = await it.client()
            first.send(request("same", b"body"))
            await until(lambda: len(host.seen) == 1)
            second = await it.client()
            assert (await second.ask(request("same", b"body")))[0] == 409
            release.set()
            assert await first.answer() == (200, b"mine")
            assert len(host.seen) == 1
            # Once it is over, the id is nobody's.
            assert (await first.ask(request("same", b"body")))[0] == 200
            assert it.core.request_by_name == {}

    asyncio.run(run())


def test_a_few_requests_ahead_are_answered_in_their_order() -> None:
    async def echo(message: bytes, writer: Writer) -> None:
        writer.write(answer(message.partition(b"Req-Id: ")[2].partition(b"\r\n")[0]))

    async def run() -> None:
        async with Server(echo) as host, running_gateway(("a", host.addr)) as it:
            client = await it.client()
            client.send(b"".join(request(f"p{i}") for i in range(4)))
            for i in range(4):
                assert await client.answer() == (200, b"p%d" % i)

    asyncio.run(run())


def test_requests_read_ahead_of_their_turn_are_answered_before_the_end() -> None:
    """The gateway ends while the first is out; the last answer closes the connection."""
    asked, go = asyncio.Event(), asyncio.Event()

    async def wait(message: bytes, writer: Writer) -> None:
        asked.set()
        await go.wait()
        writer.write(answer(b"served"))

    async def run() -> None:
        async with Server(wait) as host, running_gateway(("a", host.addr)) as it:
            client = await it.client()
            client.send(request("r1") + request("r2", b"pay") + request("r3"))
            await asked.wait()
            it.core.drain()
            end = asyncio.create_task(finish(it.core))
            await until(lambda: it.core.closing_clients)
            go.set()
            for _ in range(3):
                assert await client.answer() == (200, b"served")
            assert await client.read_to_end() == b""
            await end
            assert len(host.seen) == 3

    asyncio.run(run())


def test_more_requests_while_one_is_open_end_the_connection_with_one_error() -> None:
    async def silent(message: bytes, writer: Writer) -> None:
        await asyncio.sleep(TEST_TIMEOUT)

    async def run() -> None:
        async with Server(silent) as host, running_gateway(("a", host.addr)) as it:
            client = await it.client()
            client.send(request("first", b"body"))
            await until(lambda: len(host.seen) == 1)
            client.send(b"".join(request(f"p{i}") for i in range(50)))
            got = await client.read_to_end()
            assert got.startswith(b"HTTP/1.1 400")
            assert got.count(b"HTTP/1.1") == 1
            assert len(host.seen) == 1

    asyncio.run(run())


def test_bodies_beyond_the_budget_are_refused_not_held() -> None:
    async def act(it: RunningGateway, host: Server) -> None:
        it.core.budget.limit = 100_000
        clients = [await it.client() for _ in range(4)]
        for i, client in enumerate(clients):
            client.send(request(f"b{i}", b"b" * 60_000)[:-1])
        await until(lambda: it.core.counters.bad_requests >= 3)
        assert it.core.budget.reserved <= 100_000
        for client in clients:
            client.writer.close()

    play(act)


def test_the_budget_leaves_most_of_the_memory_to_the_rest() -> None:
    for memory in (32, 64, 80, 192):
        assert Budget(memory).limit <= memory * (1 << 20) // 3


def test_a_wish_for_another_protocol_is_no_reason_to_hang() -> None:
    async def act(it: RunningGateway, host: Server) -> None:
        for i, more in enumerate((b"", b"Connection: Upgrade, HTTP2-Settings\r\n")):
            client = await it.client()
            fields = more + b"Upgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQ\r\n"
            assert await client.ask(request(f"u{i}", b"body", fields=fields)) == (200, b"served")

    play(act)


def test_a_field_named_by_connection_does_not_take_the_id_away() -> None:
    async def act(it: RunningGateway, host: Server) -> None:
        client = await it.client()
        fields = b"Connection: keep-alive, req-id, idempotency-key\r\n"
        assert (await client.ask(request("kept", fields=fields)))[0] == 200
        assert b"Req-Id: kept" in host.seen[0]

    play(act)


def test_a_crowd_that_says_nothing_keeps_nobody_out() -> None:
    async def act(it: RunningGateway, host: Server) -> None:
        old = await it.client()
        assert await old.ask(request("before")) == (200, b"served")
        crowd = [await it.client() for _ in range(300)]
        client = await it.client()
        assert await client.ask(request("among")) == (200, b"served")
        held = len(it.core.clients) + len(it.core.arriving) + it.hosts.size()
        assert held <= it.platform.config.descriptors
        for one in crowd:
            one.writer.close()

    play(act, limits={"sockets": 128})


def test_a_connection_whose_next_request_is_here_unread_is_not_closed_as_idle() -> None:
    async def act(it: RunningGateway, host: Server) -> None:
        sock = open_socket(it.addr)
        with sock:
            await until(lambda: len(it.core.clients) == 1)
            (client,) = it.clients()
            sock.sendall(request("crossing"))
            assert not client.close_idle()  # the loop has had no turn to read it
            sock.setblocking(False)
            got = await asyncio.get_running_loop().sock_recv(sock, 1000)
            assert got.startswith(b"HTTP/1.1 200")
            await until(client.is_idle)
            assert client.close_idle()

    play(act)


def test_a_crowd_never_holds_more_descriptors_than_there_are() -> None:
    async def act(it: RunningGateway, host: Server) -> None:
        most, limit = 0, it.platform.config.descriptors
        address = it.addr.rpartition(":")[0], int(it.addr.rpartition(":")[2])
        base = len(os.listdir("/proc/self/fd"))
        crowd: list[socket.socket] = []
        for _ in range(10):
            for _ in range(40):
                one = socket.socket()
                one.setblocking(False)
                one.connect_ex(address)
                crowd.append(one)
            for _ in range(10):
                await asyncio.sleep(0)
                most = max(most, len(os.listdir("/proc/self/fd")) - len(crowd) - base)
        assert most <= limit
        for one in crowd:
            one.close()

    play(act, limits={"sockets": 128})


def test_connections_beyond_the_descriptors_are_refused_when_none_can_make_room() -> None:
    async def silent(message: bytes, writer: Writer) -> None:
        await asyncio.sleep(TEST_TIMEOUT)

    async def run() -> None:
        async with (
            Server(silent) as host,
            running_gateway(("a", host.addr), limits={"sockets": 64}) as it,
        ):
            _held = await start_requests(it, 80)
            await until(lambda: it.core.counters.crowded > 0)
            held = len(it.core.clients) + len(it.core.arriving) + it.hosts.size()
            assert held <= 64
            last = await it.client()
            # Answered at once: nothing of its request was looked at, so asking again is harmless.
            assert (await last.read_to_end()).startswith(b"HTTP/1.1 503 ")

    asyncio.run(run())


def test_who_waits_as_the_listener_closes_is_answered_without_a_descriptor_to_spare() -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        async with (
            Server() as host,
            running_gateway(("a", host.addr), limits={"sockets": 64}) as it,
        ):
            with contextlib.ExitStack() as stack:
                crowd = []
                for i in range(80):  # the loop has no turn to take anybody in
                    one = stack.enter_context(open_socket(it.addr))
                    one.sendall(request(f"w{i}"))
                    one.setblocking(False)
                    crowd.append(one)
                it.listener.close()
                async with asyncio.timeout(TEST_TIMEOUT):
                    got = [await loop.sock_recv(one, 1000) for one in crowd]
            said = Counter(one[:13] for one in got)
            assert set(said) == {b"HTTP/1.1 200 ", b"HTTP/1.1 503 "}, said

    asyncio.run(run())


def test_blanks_around_a_value_are_none_of_it() -> None:
    async def blank(message: bytes, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: \t 6 \t\r\n\r\nserved")

    async def run() -> None:
        async with Server(blank) as host, running_gateway(("a", host.addr)) as it:
            client = await it.client()
            open_socket = request("b1", b"effect", fields=b"Transfer-Encoding: \t chunked\r\n")
            head, _, body = open_socket.partition(b"\r\n\r\n")
            lines = [line + b"  " for line in head.split(b"\r\n") if b"Content-Le" not in line]
            lines[0] = lines[0].strip()
            chunked = b"\r\n".join(lines) + b"\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
            assert await client.ask(chunked) == (200, b"served")
            assert host.seen[0].endswith(b"\r\n\r\neffect")
            assert b"Req-Id: b1\r\n" in host.seen[0]

    asyncio.run(run())
