"""Streamed bodies and responses, longer than the buffers: order, memory and termination."""

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
from sailhitch.net import host_response, response_writer, upstream_connection
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
MAX_BUFFERED_PER_STREAM = 600 * 1024  # of one stream: two reads and their remainders


# --- Without sockets


class RecordingEnd:
    """Source and sink of an upload; records its calls."""

    def __init__(self) -> None:
        self.got = b""
        self.ends = 0
        self.paused = False
        self.writable = False

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False

    def unsent_size(self) -> int:
        return len(self.got)

    def is_writable(self) -> bool:
        return self.writable

    def send_body(self, data: bytes, last: bool) -> None:
        assert not self.ends
        self.got += data
        self.ends += last


@given(st.data())
def test_an_upload_is_passed_on_in_order_within_bounds_and_ends_once(data: st.DataObject) -> None:
    draw, budget, source = data.draw, Budget(80), RecordingEnd()
    sent = b"start"
    upload = Upload(source, sent, False, budget)
    sinks: list[RecordingEnd] = []
    sink: RecordingEnd | None = None
    for _ in range(draw(st.integers(0, 30))):
        step = draw(st.sampled_from(("read", "open", "written", "detach", "complete", "close")))
        if step == "read" and not source.paused and not upload.complete and not upload.abandoned:
            for piece in draw(st.lists(st.binary(min_size=1, max_size=9), min_size=1, max_size=3)):
                upload.add(piece)
                sent += piece
            upload.flush()
            assert source.paused  # until the sink has written the bytes
        elif step == "open" and sink is None and upload.replayable():
            sink = RecordingEnd()
            sinks.append(sink)
            start, last = upload.open(sink)
            assert start == sent  # all that has arrived, from the first byte
            sink.send_body(start, last)
        elif step == "written" and sink is not None:
            upload.on_written(sink)
        elif step == "detach" and sink is not None:
            upload.detach(sink)
            sink = None
        elif step == "complete" and not upload.complete and not upload.abandoned:
            upload.complete = True
            upload.flush()
        elif step == "close":
            upload.close()
            sink = None
            assert not source.paused
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
def test_the_watchdog_accepts_the_minimum_rate_and_detects_a_trickle(
    steps: list[tuple[int, bool]], slow: int
) -> None:
    honest, trickle, now, counted = ThroughputWatchdog(0), ThroughputWatchdog(0), 0, 0
    for gap, waits in steps:
        if waits:  # this side doesn't read for a while, which must not count
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


def run_scenario(
    scenario: Callable[[RunningGateway, Server], Awaitable[None]], host: Server, **changes: Any
) -> None:
    async def run() -> None:
        async with host, running_gateway(("a", host.addr), **changes) as gateway:
            await scenario(gateway, host)
            await until(lambda: gateway.core.budget.reserved == gateway.core.budget.streamed == 0)
            assert gateway.core.counters.panics == gateway.core.counters.faults == 0

    asyncio.run(run())


async def echo(message: bytes, writer: Writer) -> None:
    """Respond with the request's body, framed as its X-Form says."""
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
    """Return the same request with a chunked body."""
    head, _, body = message.partition(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n") if not line.startswith(b"Content-Length")]
    pieces = [body[at : at + step] for at in range(0, len(body), step)]
    coded = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    return b"\r\n".join([*lines, b"Transfer-Encoding: chunked", b"", coded + b"0\r\n\r\n"])


@pytest.mark.parametrize("form", [b"length", b"chunked", b"close"])
@pytest.mark.parametrize("size", [MAX_BUFFERED_BODY, MAX_BUFFERED_BODY + 1, 3 * MB])
def test_bodies_of_any_form_and_length_go_both_ways(form: bytes, size: int) -> None:
    async def scenario(gateway: RunningGateway, host: Server) -> None:
        client = await gateway.client()
        for i, step in enumerate((0, 7_001, 200_000)):
            plain = request(f"r{i}", BODY[:size], fields=b"X-Form: %s\r\n" % form)
            client.send(chunked(plain, step) if step else plain)
            assert await client.answer() == (200, BODY[:size])
        assert len(host.seen) == 3
        assert (await client.ask(request("g", fields=b"X-Form: %s\r\n" % form)))[1] == BODY

    run_scenario(scenario, Server(echo))


def test_an_http_1_0_client_gets_a_long_response_of_unknown_length() -> None:
    async def scenario(gateway: RunningGateway, host: Server) -> None:
        client = await gateway.client()
        asked = request("r", fields=b"X-Form: chunked\r\n").replace(b"HTTP/1.1", b"HTTP/1.0")
        client.send(asked)
        head, _, body = (await client.read_to_end()).partition(b"\r\n\r\n")
        assert body == BODY
        assert b"transfer-encoding" not in head.lower()

    run_scenario(scenario, Server(echo))


def test_many_streams_beside_short_requests_buffer_little(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    count, most = 12, 0

    async def scenario(gateway: RunningGateway, host: Server) -> None:
        nonlocal most

        async def one(i: int) -> None:
            client = await gateway.client()
            client.send(request(f"r{i}", BODY, fields=b"X-Form: chunked\r\n"))
            await asyncio.sleep(0.2)  # without reading the response
            assert await client.answer() == (200, BODY)

        tasks = [asyncio.create_task(one(i)) for i in range(count)]
        short = await gateway.client()
        n = 0
        while not all(task.done() for task in tasks):
            n += 1
            assert (await short.ask(request(f"s{n}", b"body")))[1] == b"body"
            most = max(most, gateway.core.budget.streamed)
        await asyncio.gather(*tasks)
        assert 0 < most < count * MAX_BUFFERED_PER_STREAM

    run_scenario(scenario, Server(echo))


@pytest.mark.parametrize("form", ["breaks", "stops", "lies", "endless", "no end"])
def test_a_client_can_detect_an_incomplete_response(
    form: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(host_response, "MAX_FLOW_STALL", 300_000)
    monkeypatch.setattr(host_response, "MAX_BODY_BYTES", 2 * MB)

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

    async def scenario(gateway: RunningGateway, host: Server) -> None:
        client = await gateway.client()
        client.send(request("r", b"effect"))
        with pytest.raises((asyncio.IncompleteReadError, OSError)):
            await client.answer()
        assert len(host.seen) == 1
        assert gateway.core.counters.cut == 1

    run_scenario(scenario, Server(broken))


def reset(writer: Writer) -> None:
    """Reset a connection, whose written bytes the peer has read."""
    reset_at_close(writer.get_extra_info("socket"))
    writer.transport.abort()


@pytest.mark.parametrize("version", [b"HTTP/1.0", b"HTTP/1.1"])
@pytest.mark.parametrize("size", [10, MAX_BUFFERED_BODY // 2, MB])
def test_a_reset_response_without_a_length_is_not_passed_on_as_complete(
    size: int, version: bytes
) -> None:
    """Without a length, only an orderly close ends a response; a reset means it is incomplete."""

    gates: list[RunningGateway] = []

    async def aborts(message: bytes, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + BODY[:size])
        await writer.drain()
        await until(lambda: any(conn.size >= size for conn in gates[0].hosts.connections))
        reset(writer)

    async def scenario(gateway: RunningGateway, host: Server) -> None:
        gates.append(gateway)
        client = await gateway.client()
        asked = request("r", b"effect", fields=b"Connection: close\r\n")
        client.send(asked.replace(b"HTTP/1.1", version, 1))
        got = b""
        with contextlib.suppress(ConnectionResetError):
            while data := await client.reader.read(65536):
                got += data
            # After an orderly close, the response must be an error or lack its last chunk.
            assert got.startswith(b"HTTP/1.1 502") or not got.endswith(b"0\r\n\r\n")
            assert got.startswith(b"HTTP/1.1 502") or b"chunked" in got.lower()
        assert len(host.seen) == 1

    run_scenario(scenario, Server(aborts))


def test_an_aborted_long_response_ends_with_a_reset() -> None:
    """With any framing: to an HTTP/1.0 client an orderly close would mean that it is complete."""

    async def aborts(message: bytes, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(16):
            writer.write(b"10000\r\n%s\r\n" % (b"x" * 65536))
        await begun.wait()
        writer.transport.close()

    begun = asyncio.Event()

    async def scenario(gateway: RunningGateway, host: Server) -> None:
        client = await gateway.client()
        client.send(request("r", b"effect").replace(b"HTTP/1.1", b"HTTP/1.0", 1))
        assert await client.reader.read(65536)
        begun.set()
        with pytest.raises(ConnectionResetError):
            await client.reader.read()
        assert gateway.core.counters.cut == 1

    run_scenario(scenario, Server(aborts))


def test_an_early_rejection_by_a_host_is_passed_on_during_the_upload() -> None:
    class EarlyRejectingServer(Server):
        """Rejects a request once part of its body has arrived."""

        async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
            self.writers.append(writer)
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(MAX_BUFFERED_BODY)
            writer.write(b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            self.seen.append(b"declined")

    async def scenario(gateway: RunningGateway, host: Server) -> None:
        client = await gateway.client()
        whole = request("r", BODY)
        client.send(whole[: 2 * MAX_BUFFERED_BODY])
        async with asyncio.timeout(TEST_TIMEOUT):
            early = await read_message(client.reader)
        assert early.startswith(b"HTTP/1.1 503")
        assert b"\r\nConnection: close\r\n" in early
        # The rest of the body is read, as closing with unread bytes would reset the connection.
        client.send(whole[2 * MAX_BUFFERED_BODY :])
        assert await client.read_to_end() == b""

    run_scenario(scenario, EarlyRejectingServer())


class HalfReader(Server):
    """Reads half a megabyte of each request, then reads on, or aborts if `aborts` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.ended: list[bool] = []
        self.aborts = False

    async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        self.writers.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(MB // 2)
        self.seen.append(b"half")
        if self.aborts:
            writer.transport.abort()
            return
        try:
            while await reader.read(65536):
                pass
        except OSError:
            pass
        self.ended.append(True)


def test_a_client_that_disconnects_during_its_upload_leaves_nothing_behind() -> None:
    async def scenario(gateway: RunningGateway, host: Server) -> None:
        assert isinstance(host, HalfReader)
        client = await gateway.client()
        client.send(request("r", BODY)[: 2 * MB])
        await until(lambda: bool(host.seen))
        client.writer.transport.abort()
        await until(lambda: bool(host.ended))  # its connection, without the last byte
        await until(lambda: not gateway.core.open_requests)
        assert not gateway.pool.policy.endpoint_table.servers[
            "a"
        ].ejections  # not attributed to the host

    run_scenario(scenario, HalfReader())


def test_an_upload_whose_start_is_released_is_rejected_when_its_host_fails() -> None:
    async def scenario(gateway: RunningGateway, host: Server) -> None:
        assert isinstance(host, HalfReader)
        host.aborts = True
        client = await gateway.client()
        client.send(request("r", BODY)[: 2 * MB])
        assert (await client.answer())[0] == 503
        assert len(host.seen) == 1

    run_scenario(scenario, HalfReader())


def test_an_upload_whose_start_is_buffered_goes_to_another_host() -> None:
    async def run() -> None:
        async with (
            Server(echo) as host,
            running_gateway(("a", "127.0.0.1:9"), ("b", host.addr)) as gateway,
        ):
            for i in range(6):
                client = await gateway.client()
                client.send(request(f"r{i}", BODY))
                assert await client.answer() == (200, BODY)
            assert gateway.core.counters.statuses["connect_failed"] > 0

    asyncio.run(run())


def test_a_client_that_reads_nothing_is_closed_and_delays_nobody(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(response_writer, "READ_STALL", (500_000, 500_000))

    async def scenario(gateway: RunningGateway, host: Server) -> None:
        silent, other = await gateway.client(), await gateway.client()
        silent.writer.transport.pause_reading()  # type: ignore[attr-defined]
        silent.send(request("s", BODY * 4))
        n = 0
        while gateway.core.admission.counters.closed[Reason.UNREAD] == 0:
            n += 1
            assert (await other.ask(request(f"o{n}", b"body")))[1] == b"body"
        silent.writer.transport.abort()

    run_scenario(scenario, Server(echo))


def test_a_trickling_body_times_out_and_a_slow_one_does_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def send(client: Client, message: bytes, step: int, every: float) -> None:
        for at in range(0, len(message), step):
            client.send(message[at : at + step])
            await asyncio.sleep(every)

    async def scenario(gateway: RunningGateway, host: Server) -> None:
        slow, trickle, half = [await gateway.client() for _ in range(3)]
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

    run_scenario(scenario, Server(echo))


def test_a_long_body_behind_an_open_request_waits_for_its_turn() -> None:
    go = asyncio.Event()

    async def hold_first_request(message: bytes, writer: Writer) -> None:
        if b"Req-Id: first" in message:
            await go.wait()
        await echo(message, writer)

    async def scenario(gateway: RunningGateway, host: Server) -> None:
        client = await gateway.client()
        client.send(request("first", b"one") + request("next", BODY) + request("last", b"end"))
        await until(lambda: bool(host.seen))
        go.set()
        assert [await client.answer() for _ in range(3)] == [
            (200, b"one"),
            (200, BODY),
            (200, b"end"),
        ]

    run_scenario(scenario, Server(hold_first_request))


def test_an_endless_upload_is_rejected() -> None:
    async def scenario(gateway: RunningGateway, host: Server) -> None:
        client = await gateway.client()
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

    run_scenario(scenario, Server(echo))


def test_a_client_that_disconnects_during_its_response_leaves_nothing_behind() -> None:
    async def scenario(gateway: RunningGateway, host: Server) -> None:
        client = await gateway.client()
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        client.send(request("r", BODY * 4))
        await until(lambda: any(c.client is not None for c in gateway.hosts.connections))
        client.writer.transport.abort()
        await until(lambda: not gateway.core.open_requests and not gateway.hosts.connections)
        gc.collect()
        assert not [
            one
            for one in gc.get_objects()
            if isinstance(one, upstream_connection.UpstreamConnection)
        ]
        assert gateway.core.counters.cut == 0  # the client had disconnected

    run_scenario(scenario, Server(echo))


def test_bytes_read_between_two_writes_count_for_the_read_rate() -> None:
    go = asyncio.Event()

    async def respond_in_pieces(message: bytes, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY))
        for at in range(0, MB, 32_768):
            writer.write(BODY[at : at + 32_768])
            await asyncio.sleep(0.005)
        await go.wait()
        writer.write(BODY[MB:])

    async def scenario(gateway: RunningGateway, host: Server) -> None:
        client = await gateway.client()
        client.send(request("r"))
        async with asyncio.timeout(TEST_TIMEOUT):
            await client.reader.readuntil(b"\r\n\r\n")
            assert await client.reader.readexactly(MB) == BODY[:MB]
        (held,) = gateway.clients()
        assert held.read_watchdog is not None
        assert held.read_watchdog.moved > 0.9 * MB
        go.set()
        async with asyncio.timeout(TEST_TIMEOUT):
            assert await client.reader.readexactly(len(BODY) - MB) == BODY[MB:]

    run_scenario(scenario, Server(respond_in_pieces))
