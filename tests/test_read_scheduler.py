"""Connections whose bytes are expensive to parse share the event loop with all others."""

from __future__ import annotations

import asyncio
import time
from types import SimpleNamespace
from typing import Any, cast

import pytest

from sailhitch.core.read_scheduler import (
    EXPENSIVE_READ,
    ITERATION_TIME,
    DeferredReader,
    ReadScheduler,
)
from sailhitch.net.bounded_reader import LARGE_READ, SMALL_READ, BoundedReader
from tests.sockets import TEST_TIMEOUT, Server, Writer, request, running_gateway, until

BODY = b"x" * 12_000  # sent in chunks of one byte, in some nine reads
ARRIVAL_STEP_MS = 12  # the kernel may count the time since data came in steps of ten
TURN_PAUSE = 0.1  # s for which the scheduler of a test lets a connection wait


class RecordingReader:
    """Records when it may read again."""

    def __init__(self, order: list[int], number: int) -> None:
        self.order, self.number = order, number

    def end_wait(self) -> None:
        self.order.append(self.number)

    def is_gone(self) -> bool:
        return self.number < 0


# Guards against: a sound connection that waits for seconds behind a crowd (soak 8765): behind
# connections that have been closed, or as its long body took long to read, though not for its size.
@pytest.mark.parametrize("crowd", ["closed", "expensive"])
def test_connection_with_cheap_bytes_does_not_wait_for_a_crowd(crowd: str) -> None:
    async def run() -> None:
        scheduler = ReadScheduler(asyncio.get_running_loop())
        order: list[int] = []
        for number in range(1000):
            reader = RecordingReader(order, -1 if crowd == "closed" else number)
            scheduler.wait(reader, ITERATION_TIME / 4, is_cheap=False)
        scheduler.wait(RecordingReader(order, 1000), ITERATION_TIME / 4, is_cheap=crowd != "closed")
        for _ in range(3):
            await asyncio.sleep(0)
        assert 1000 in order

    asyncio.run(run())


def test_expensive_bytes_get_half_of_the_time_beside_cheap_ones() -> None:
    async def run() -> None:
        scheduler = ReadScheduler(asyncio.get_running_loop())
        order: list[int] = []
        for number in range(1000):
            reader = RecordingReader(order, number)
            scheduler.wait(reader, ITERATION_TIME / 8, is_cheap=number < 500)
        for _ in range(12):
            await asyncio.sleep(0)
        cheap = sum(number < 500 for number in order)
        assert cheap == len(order) - cheap > 20

    asyncio.run(run())


def test_waiting_connections_share_an_iteration_in_order() -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        scheduler = ReadScheduler(loop)
        order: list[int] = []
        for number in range(10):
            scheduler.wait(RecordingReader(order, number), ITERATION_TIME / 2, is_cheap=False)
        resumed = []
        while len(order) < 10:
            before = len(order)
            await asyncio.sleep(0)
            resumed.append(len(order) - before)
        assert order == list(range(10))
        assert [count for count in resumed if count] == [2, 2, 2, 2, 2]

    asyncio.run(run())


class SlowScheduler(ReadScheduler):
    """Lets each connection wait for long."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.loop = loop
        self.waits = 0

    def wait(self, reader: DeferredReader, cost: float, is_cheap: bool) -> None:
        self.waits += 1
        self.loop.call_later(TURN_PAUSE, reader.end_wait)


def _in_short_chunks(message: bytes) -> bytes:
    """Return a request with its body in chunks of one byte."""
    head, _, body = message.partition(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n") if not line.startswith(b"Content-Length")]
    chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
    return b"\r\n".join([*lines, b"Transfer-Encoding: chunked", b"", chunks + b"0\r\n\r\n"])


# Guards against: a request whose time begins only when its connection got its turns, so that it is
# answered late beside a crowd (report 365795, picture b).
def test_time_of_a_request_counts_while_its_connection_waits() -> None:
    async def silent(_: bytes, writer: Writer) -> None:
        await asyncio.sleep(TEST_TIMEOUT)

    async def run() -> None:
        async with Server(silent) as host, running_gateway(("a", host.addr)) as gateway:
            scheduler = SlowScheduler(gateway.core.loop)
            gateway.core.read_scheduler = scheduler
            client = await gateway.client()
            client.send(_in_short_chunks(request("waits", BODY, wait_ms=1200)))
            sent_at = time.monotonic()
            status, _ = await client.answer()
            assert status == 504
            assert scheduler.waits >= 6
            assert time.monotonic() - sent_at < 1.2 + 0.1
            client.writer.close()

    asyncio.run(run())


# Guards against: a stall of the loop for each connection that sends or answers in short chunks.
@pytest.mark.parametrize("size", [SMALL_READ, LARGE_READ])
def test_read_stays_small_while_parsing_is_expensive(size: int) -> None:
    async def count(message: bytes, writer: Writer) -> None:
        body = message.partition(b"\r\n\r\n")[2]
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    async def run() -> None:
        async with Server(count) as host, running_gateway(("a", host.addr)) as gateway:
            client = await gateway.client()
            body = b"x" * size
            client.send(_in_short_chunks(request("short", body)))
            await until(lambda: bool(gateway.clients()) and gateway.clients()[0].received > 0)
            (connection,) = gateway.clients()
            assert len(connection.get_buffer(-1)) == SMALL_READ
            assert await client.answer() == (200, body)
            for name in ("first", "second"):
                assert await client.ask(request(name, b"x" * 4 * LARGE_READ)) == (
                    200,
                    b"x" * 4 * LARGE_READ,
                )
            assert connection.is_cheap
            client.writer.close()

    asyncio.run(run())


# Guards against: a request that came while its connection waited after the one before, and counts
# as come when it was read, so that its host is told more time than is left (soak 8765).
def test_time_counts_for_a_request_that_came_while_its_connection_waited() -> None:
    async def run() -> None:
        async with Server() as host, running_gateway(("a", host.addr)) as gateway:
            client = await gateway.client()
            assert (await client.ask(request("first")))[0] == 200
            (connection,) = gateway.clients()
            gateway.core.read_scheduler = SlowScheduler(gateway.core.loop)
            connection._wait(EXPENSIVE_READ)
            assert (await client.ask(request("second", wait_ms=1000)))[0] == 200
            (line,) = [one for one in host.seen[-1].split(b"\r\n") if b"Deadline-Ms" in one]
            told = int(line.partition(b":")[2])
            assert 500 < told <= 1000 - 1000 * TURN_PAUSE + ARRIVAL_STEP_MS
            client.writer.close()

    asyncio.run(run())


class ParsingReader(BoundedReader):
    """Takes `seconds` to parse a read, asleep or busy; the scheduler of its core is a recorder."""

    def __init__(self, seconds: float, busy: bool) -> None:
        self.seconds, self.busy = seconds, busy
        self.waits = 0
        self.is_held = False
        self.core = cast(Any, SimpleNamespace(read_scheduler=self, on_read=lambda _: None))
        self.transport = cast(Any, SimpleNamespace(is_closing=bool, pause_reading=lambda: None))
        self.init_reading()

    def wait(self, reader: DeferredReader, cost: float, is_cheap: bool) -> None:
        self.waits += 1

    def parsed_at_once(self) -> int:
        return LARGE_READ

    def parse(self, data: bytes) -> bool:
        until = time.thread_time() + self.seconds
        if not self.busy:
            time.sleep(self.seconds)
        while self.busy and time.thread_time() < until:
            pass
        return True

    def parsed(self, size: int) -> None:
        pass

    def reads_little(self) -> bool:
        return True


# Guards against: a sound connection that waits for its turn behind a crowd, as the process had no
# processor while it parsed a few bytes (soak 8765).
@pytest.mark.parametrize("busy", [False, True])
def test_read_is_expensive_by_its_processor_time(busy: bool) -> None:
    reader = ParsingReader(4 * EXPENSIVE_READ, busy)
    reader.buffer_updated(SMALL_READ)
    assert reader.waits == busy


# Guards against: connections that wait for good once memory was short (report 63c1a8).
def test_held_connections_go_on_once_they_are_released() -> None:
    async def run() -> None:
        async with Server() as host, running_gateway(("a", host.addr)) as gateway:
            scheduler = gateway.core.read_scheduler
            client = await gateway.client()
            data = request("held", b"b" * 20_000)
            client.send(data[:10_000])
            await until(lambda: any(c.is_unfinished() for c in gateway.clients()))
            scheduler.hold()
            (connection,) = gateway.clients()
            connection.hold_reading()
            client.send(data[10_000:])
            received = connection.received
            await asyncio.sleep(0.05)
            assert connection.received == received
            scheduler.release()
            assert (await client.answer())[0] == 200
            client.writer.close()

    asyncio.run(run())
