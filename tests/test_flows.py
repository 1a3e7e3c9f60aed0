"""Bodies and answers that are longer than what is held: in order, in bounds, with one end."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import random
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sailhitch.core.budget import MAX_BODY_BYTES, MAX_BUFFERED_BODY, Budget
from sailhitch.core.throughput_watchdog import GRACE_TIME, MAX_STALL, MIN_RATE, ThroughputWatchdog
from sailhitch.core.upload import Upload
from sailhitch.front import Reason
from sailhitch.net import response_writer, upstream_connection
from tests.crossings import reset_at_close
from tests.sockets import (
    TEST_TIMEOUT,
    Client,
    RunningGateway,
    Server,
    Writer,
    answer,
    read_message,
    request,
    running_gateway,
    until,
)

MB = 1 << 20
BODY = random.Random(1).randbytes(3 * MB)
READS = 600 * 1024  # of a flow, this much may be held at a time: two reads and what they leave


# --- Without sockets


class End:
    """Either end of an upload: keeps what it is told."""

    def __init__(self) -> None:
        self.got = b""
        self.ends = 0
        self.held = False

    def pause_reading(self) -> None:
        self.held = True

    def resume_reading(self) -> None:
        self.held = False

    def more(self, data: bytes, last: bool) -> None:
        assert not self.ends
        self.got += data
        self.ends += last


@given(st.data())
def test_a_body_goes_on_in_order_within_bounds_and_ends_once(data: st.DataObject) -> None:
    draw, budget, source = data.draw, Budget(80), End()
    sent = b"start"
    upload = Upload(source, sent, False, budget)
    sinks: list[End] = []
    sink: End | None = None
    for _ in range(draw(st.integers(0, 30))):
        step = draw(st.sampled_from(("read", "open", "taken", "left", "whole", "close")))
        if step == "read" and not source.held and not upload.complete and not upload.abandoned:
            for piece in draw(st.lists(st.binary(min_size=1, max_size=9), min_size=1, max_size=3)):
                upload.add(piece)
                sent += piece
            upload.flush()
            assert source.held  # until whoever has it says that it is taken
        elif step == "open" and sink is None and upload.replayable():
            sink = End()
            sinks.append(sink)
            start, last = upload.open(sink)
            assert start == sent  # from the first byte on, all that has come
            sink.more(start, last)
        elif step == "taken" and sink is not None:
            upload.on_written(sink)
        elif step == "left" and sink is not None:
            upload.detach(sink)
            sink = None
        elif step == "whole" and not upload.complete and not upload.abandoned:
            upload.complete = True
            upload.flush()
        elif step == "close":
            upload.close()
            sink = None
            assert not source.held
            assert budget.streamed == 0
        for one in sinks:
            assert sent.startswith(one.got)
            assert one.ends <= 1
            assert not one.ends or (one.got == sent and upload.complete)
        assert budget.streamed <= len(sent)
    if sink is not None and upload.complete:
        assert sink.got == sent
        assert sink.ends == 1


@given(st.lists(st.tuples(st.integers(1, 500_000), st.booleans()), max_size=60), st.integers(1, 9))
def test_who_keeps_the_rate_is_never_cut_and_who_trickles_always_is(
    steps: list[tuple[int, bool]], slow: int
) -> None:
    honest, trickle, now, counted = ThroughputWatchdog(0), ThroughputWatchdog(0), 0, 0
    for gap, waits in steps:
        if waits:  # this side does not want its bytes for a while
            honest.stop(now)
            trickle.stop(now)
            now += gap * 20
            assert not honest.is_too_slow(now)
            honest.resume(now)
            trickle.resume(now)
        now += gap
        counted += gap
        honest.record(1 + gap * MIN_RATE // 1_000_000, now)
        trickle.record(gap * MIN_RATE // 1_000_000 // (10 * slow), now)
        assert not honest.is_too_slow(now)
    if counted > 2 * GRACE_TIME:
        assert trickle.is_too_slow(now)
    assert honest.is_too_slow(now + MAX_STALL + 1)


# --- Over sockets


def play(
    act: Callable[[RunningGateway, Server], Awaitable[None]], host: Server, **changes: Any
) -> None:
    async def run() -> None:
        async with host, running_gateway(("a", host.addr), **changes) as it:
            await act(it, host)
            await until(lambda: it.core.budget.reserved == it.core.budget.streamed == 0)
            assert it.core.counters.panics == it.core.counters.faults == 0

    asyncio.run(run())


async def echo(message: bytes, writer: Writer) -> None:
    """Says back the body, in chunks where the request says so."""
    head, _, body = message.partition(b"\r\n\r\n")
    body = body or BODY
    if b"X-Form: chunked" in head:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for at in range(0, len(body), 50_001):
            piece = body[at : at + 50_001]
            writer.write(b"%x;x=y\r\n%s\r\n" % (len(piece), piece))
            await writer.drain()
        writer.write(b"0\r\nTrailer: x\r\n\r\n")
    elif b"X-Form: close" in head:
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body)
        await writer.drain()
        writer.close()
    else:
        writer.write(answer(body))
        await writer.drain()


def chunked(message: bytes, step: int) -> bytes:
    """The same request, its body in chunks."""
    head, _, body = message.partition(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n") if not line.startswith(b"Content-Length")]
    pieces = [body[at : at + step] for at in range(0, len(body), step)]
    coded = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    return b"\r\n".join([*lines, b"Transfer-Encoding: chunked", b"", coded + b"0\r\n\r\n"])


@pytest.mark.parametrize("form", [b"length", b"chunked", b"close"])
@pytest.mark.parametrize("size", [MAX_BUFFERED_BODY, MAX_BUFFERED_BODY + 1, 3 * MB])
def test_bodies_of_any_form_and_length_go_both_ways(form: bytes, size: int) -> None:
    async def act(it: RunningGateway, host: Server) -> None:
        client = await it.client()
        for i, step in enumerate((0, 7_001, 200_000)):
            plain = request(f"r{i}", BODY[:size], fields=b"X-Form: %s\r\n" % form)
            client.send(chunked(plain, step) if step else plain)
            assert await client.answer() == (200, BODY[:size])
        assert len(host.seen) == 3
        assert (await client.ask(request("g", fields=b"X-Form: %s\r\n" % form)))[1] == BODY

    play(act, Server(echo))


def test_an_old_client_gets_a_long_answer_of_unknown_length_up_to_the_end() -> None:
    async def act(it: RunningGateway, host: Server) -> None:
        client = await it.client()
        asked = request("r", fields=b"X-Form: chunked\r\n").replace(b"HTTP/1.1", b"HTTP/1.0")
        client.send(asked)
        head, _, body = (await client.read_to_end()).partition(b"\r\n\r\n")
        assert body == BODY
        assert b"transfer-encoding" not in head.lower()

    play(act, Server(echo))


def test_many_long_flows_beside_short_requests_hold_little(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    count, most = 12, 0

    async def act(it: RunningGateway, host: Server) -> None:
        nonlocal most

        async def one(i: int) -> None:
            client = await it.client()
            client.send(request(f"r{i}", BODY, fields=b"X-Form: chunked\r\n"))
            await asyncio.sleep(0.2)  # nobody reads yet
            assert await client.answer() == (200, BODY)

        tasks = [asyncio.create_task(one(i)) for i in range(count)]
        short = await it.client()
        n = 0
        while not all(task.done() for task in tasks):
            n += 1
            assert (await short.ask(request(f"s{n}", b"body")))[1] == b"body"
            most = max(most, it.core.budget.streamed)
        await asyncio.gather(*tasks)
        assert 0 < most < count * READS

    play(act, Server(echo))


@pytest.mark.parametrize("form", ["breaks", "stops", "lies", "endless", "no end"])
def test_a_client_can_tell_an_answer_that_is_not_whole(
    form: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(upstream_connection, "MAX_FLOW_STALL", 300_000)
    monkeypatch.setattr(upstream_connection, "MAX_BODY_BYTES", 2 * MB)

    async def broken(message: bytes, writer: Writer) -> None:
        long = b"Content-Length: %d\r\n" % (2 * MB) if form in ("breaks", "stops", "lies") else b""
        writer.write(b"HTTP/1.1 200 OK\r\n" + (long or b"Transfer-Encoding: chunked\r\n") + b"\r\n")
        if long:
            writer.write(BODY[:MB] if form != "lies" else BODY[: 2 * MB - 1])
        for _ in range(0 if long else 60):
            writer.write(b"10000\r\n%s\r\n" % (b"x" * 65536))
            if form == "endless":
                await writer.drain()
        if form in ("breaks", "lies"):
            await writer.drain()
            writer.transport.close()

    async def act(it: RunningGateway, host: Server) -> None:
        client = await it.client()
        client.send(request("r", b"effect"))
        with pytest.raises((asyncio.IncompleteReadError, OSError)):
            await client.answer()
        assert len(host.seen) == 1
        assert it.core.counters.cut == 1

    play(act, Server(broken))


def reset(writer: Writer) -> None:
    """End a connection with a reset; what was written has been taken."""
    reset_at_close(writer.get_extra_info("socket"))
    writer.transport.abort()


@pytest.mark.parametrize("version", [b"HTTP/1.0", b"HTTP/1.1"])
@pytest.mark.parametrize("size", [10, MAX_BUFFERED_BODY // 2, MB])
def test_an_answer_without_a_length_that_is_reset_is_not_passed_on_as_whole(
    size: int, version: bytes
) -> None:
    """Its end is the connection's, and a reset is none. A client of HTTP/1.0 gets it as it came."""

    gates: list[RunningGateway] = []

    async def breaks(message: bytes, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + BODY[:size])
        await writer.drain()
        await until(lambda: any(conn.size >= size for conn in gates[0].hosts.connections))
        reset(writer)

    async def act(it: RunningGateway, host: Server) -> None:
        gates.append(it)
        client = await it.client()
        asked = request("r", b"effect", fields=b"Connection: close\r\n")
        client.send(asked.replace(b"HTTP/1.1", version, 1))
        got = b""
        with contextlib.suppress(ConnectionResetError):
            while data := await client.reader.read(65536):
                got += data
            # An end in order: what came must say that it failed, or miss its last chunk.
            assert got.startswith(b"HTTP/1.1 502") or not got.endswith(b"0\r\n\r\n")
            assert got.startswith(b"HTTP/1.1 502") or b"chunked" in got.lower()
        assert len(host.seen) == 1

    play(act, Server(breaks))


def test_a_long_answer_that_is_broken_off_ends_with_a_reset() -> None:
    """Whatever its framing was: over HTTP/1.0 an end in order would make it whole."""

    async def breaks(message: bytes, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(16):
            writer.write(b"10000\r\n%s\r\n" % (b"x" * 65536))
        await begun.wait()
        writer.transport.close()

    begun = asyncio.Event()

    async def act(it: RunningGateway, host: Server) -> None:
        client = await it.client()
        client.send(request("r", b"effect").replace(b"HTTP/1.1", b"HTTP/1.0", 1))
        assert await client.reader.read(65536)
        begun.set()
        with pytest.raises(ConnectionResetError):
            await client.reader.read()
        assert it.core.counters.cut == 1

    play(act, Server(breaks))


def test_a_host_that_declines_early_is_answered_for_while_the_body_still_comes() -> None:
    class Declines(Server):
        """Turns a request away once some of its body is there."""

        async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
            self.writers.append(writer)
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(MAX_BUFFERED_BODY)
            writer.write(b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            self.seen.append(b"declined")

    async def act(it: RunningGateway, host: Server) -> None:
        client = await it.client()
        whole = request("r", BODY)
        client.send(whole[: 2 * MAX_BUFFERED_BODY])
        async with asyncio.timeout(TEST_TIMEOUT):
            early = await read_message(client.reader)
        assert early.startswith(b"HTTP/1.1 503")
        assert b"\r\nConnection: close\r\n" in early
        # What the client still sends is taken in, so that the answer is not lost to a reset.
        client.send(whole[2 * MAX_BUFFERED_BODY :])
        assert await client.read_to_end() == b""

    play(act, Declines())


class Half(Server):
    """Reads half a megabyte of each request and then does as it is told."""

    def __init__(self) -> None:
        super().__init__()
        self.ended: list[bool] = []
        self.breaks = False

    async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        self.writers.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(MB // 2)
        self.seen.append(b"half")
        if self.breaks:
            writer.transport.abort()
            return
        try:
            while await reader.read(65536):
                pass
        except OSError:
            pass
        self.ended.append(True)


def test_a_client_that_goes_in_the_middle_of_its_body_leaves_nothing_behind() -> None:
    async def act(it: RunningGateway, host: Server) -> None:
        assert isinstance(host, Half)
        client = await it.client()
        client.send(request("r", BODY)[: 2 * MB])
        await until(lambda: bool(host.seen))
        client.writer.transport.abort()
        await until(lambda: bool(host.ended))  # its connection, with no last byte written
        await until(lambda: not it.core.open_requests)
        assert not it.pool.policy.endpoint_table.servers[
            "a"
        ].ejections  # it is no fault of the host's

    play(act, Half())


def test_a_body_whose_start_is_gone_is_refused_and_its_host_never_ran_it() -> None:
    async def act(it: RunningGateway, host: Server) -> None:
        assert isinstance(host, Half)
        host.breaks = True
        client = await it.client()
        client.send(request("r", BODY)[: 2 * MB])
        assert (await client.answer())[0] == 503
        assert len(host.seen) == 1

    play(act, Half())


def test_a_body_whose_start_is_held_goes_to_another_host() -> None:
    async def run() -> None:
        async with (
            Server(echo) as host,
            running_gateway(("a", "127.0.0.1:9"), ("b", host.addr)) as it,
        ):
            for i in range(6):
                client = await it.client()
                client.send(request(f"r{i}", BODY))
                assert await client.answer() == (200, BODY)
            assert it.core.counters.statuses["connect_failed"] > 0

    asyncio.run(run())


def test_a_client_that_reads_nothing_is_cut_and_holds_up_nobody(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(response_writer, "READ_STALL", (500_000, 500_000))

    async def act(it: RunningGateway, host: Server) -> None:
        silent, other = await it.client(), await it.client()
        silent.writer.transport.pause_reading()  # type: ignore[attr-defined]
        silent.send(request("s", BODY * 4))
        n = 0
        while it.core.admission.counters.closed[Reason.UNREAD] == 0:
            n += 1
            assert (await other.ask(request(f"o{n}", b"body")))[1] == b"body"
        silent.writer.transport.abort()

    play(act, Server(echo))


def test_a_trickle_is_cut_and_a_slow_body_is_not(monkeypatch: pytest.MonkeyPatch) -> None:
    async def send(client: Client, message: bytes, step: int, every: float) -> None:
        for at in range(0, len(message), step):
            client.send(message[at : at + step])
            await asyncio.sleep(every)

    async def act(it: RunningGateway, host: Server) -> None:
        slow, trickle, half = [await it.client() for _ in range(3)]
        tasks = [
            asyncio.create_task(
                send(slow, request("s", BODY[: 4 * MAX_BUFFERED_BODY]), 8192, 0.12)
            ),
            asyncio.create_task(send(trickle, request("t", BODY[:MAX_BUFFERED_BODY]), 10, 0.1)),
        ]
        half.send(request("h", BODY)[: 2 * MAX_BUFFERED_BODY])
        assert (await trickle.answer())[0] == 408
        assert (await half.answer())[0] == 408
        assert await slow.answer() == (200, BODY[: 4 * MAX_BUFFERED_BODY])
        for task in tasks:
            task.cancel()

    play(act, Server(echo))


def test_a_long_body_behind_an_open_request_waits_for_its_turn() -> None:
    go = asyncio.Event()

    async def waits(message: bytes, writer: Writer) -> None:
        if b"Req-Id: first" in message:
            await go.wait()
        await echo(message, writer)

    async def act(it: RunningGateway, host: Server) -> None:
        client = await it.client()
        client.send(request("first", b"one") + request("next", BODY) + request("last", b"end"))
        await until(lambda: bool(host.seen))
        go.set()
        assert [await client.answer() for _ in range(3)] == [
            (200, b"one"),
            (200, BODY),
            (200, b"end"),
        ]

    play(act, Server(waits))


def test_what_has_no_end_is_refused_on_both_sides() -> None:
    async def act(it: RunningGateway, host: Server) -> None:
        client = await it.client()
        head = request("r", b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        client.send(head)
        piece = b"100000\r\n%s\r\n" % (b"x" * MB)
        sent = 0
        answered = asyncio.create_task(client.answer())
        while not answered.done():
            assert sent <= 2 * MAX_BODY_BYTES
            client.send(piece)
            sent += MB
            await asyncio.wait((answered,), timeout=0.01)
        assert (await answered)[0] == 413

    play(act, Server(echo))


def test_a_client_that_goes_in_the_middle_of_its_answer_leaves_nothing_behind() -> None:
    async def act(it: RunningGateway, host: Server) -> None:
        client = await it.client()
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        client.send(request("r", BODY * 4))
        await until(lambda: any(c.client is not None for c in it.hosts.connections))
        client.writer.transport.abort()
        await until(lambda: not it.core.open_requests and not it.hosts.connections)
        gc.collect()
        assert not [
            one
            for one in gc.get_objects()
            if isinstance(one, upstream_connection.UpstreamConnection)
        ]
        assert it.core.counters.cut == 0  # it is nobody's answer any more

    play(act, Server(echo))


def test_what_a_client_takes_between_two_pieces_counts_for_its_pace() -> None:
    go = asyncio.Event()

    async def pieces(message: bytes, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY))
        for at in range(0, MB, 32_768):
            writer.write(BODY[at : at + 32_768])
            await asyncio.sleep(0.005)
        await go.wait()
        writer.write(BODY[MB:])

    async def act(it: RunningGateway, host: Server) -> None:
        client = await it.client()
        client.send(request("r"))
        async with asyncio.timeout(TEST_TIMEOUT):
            await client.reader.readuntil(b"\r\n\r\n")
            assert await client.reader.readexactly(MB) == BODY[:MB]
        (held,) = it.clients()
        assert held.read_watchdog is not None
        assert held.read_watchdog.moved > 0.9 * MB
        go.set()
        async with asyncio.timeout(TEST_TIMEOUT):
            assert await client.reader.readexactly(len(BODY) - MB) == BODY[MB:]

    play(act, Server(pieces))
