"""Long request bodies on their way to hosts that take nothing, or take it slowly."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections.abc import AsyncIterator
from typing import Any

import pytest

from sailhitch.core import drain, upload_deadlines
from sailhitch.core.budget import Budget
from sailhitch.core.endpoints import EndpointUpdate
from sailhitch.core.upload import Upload
from sailhitch.net.body_arrival import MAX_SEND_BUFFER, BodyArrival
from sailhitch.net.config import parse_config
from tests.crossings import reset_at_close
from tests.fake import BASE, S
from tests.sockets import (
    Client,
    RunningGateway,
    Server,
    Writer,
    answer,
    config_value,
    request,
    running_gateway,
    until,
)
from tests.test_flows import RecordingEnd

KB = 1 << 10
MB = 1 << 20
SMALL_BUFFER = 32 * KB  # bytes; so that what the system holds is little beside a body
ANSWER_SLACK = 0.5  # s after its time in which a request must have its final response
BODY = random.Random(1).randbytes(4 * MB)


class PausingHost(Server):
    """Reads a body only while `reads` is set, at most `rate` bytes/s in steps of `step` s."""

    def __init__(self, rate: float = 1e9, step: float = 0.01) -> None:
        super().__init__()
        self.reads = asyncio.Event()
        self.rate, self.step = rate, step
        self.taken = 0
        self.stops_after = 1 << 40  # bytes
        self.told_ms: list[int] = []
        self.begun = 0
        self.broken = 0

    async def __aenter__(self) -> PausingHost:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        sock.bind(("127.0.0.1", 0))
        self.addr = f"127.0.0.1:{sock.getsockname()[1]}"
        self.server = await asyncio.start_server(self._serve, sock=sock, limit=16 * KB)
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"Req-Id: warm" in head:
                    writer.write(answer(b"warm"))
                    continue
                self.begun += 1
                self.told_ms.append(int(head.split(b"Req-Deadline-Ms: ")[1].split(b"\r\n")[0]))
                await self._read_body(head, reader)
                self.seen.append(head)
                writer.write(answer(b"served"))
        except (OSError, asyncio.IncompleteReadError):
            self.broken += 1

    async def _read_body(self, head: bytes, reader: asyncio.StreamReader) -> None:
        if b"chunked" in head:
            while size := int(await self._line(reader), 16):
                await self._take(reader, size + 2)
            await reader.readline()
            return
        await self._take(reader, int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0]))

    async def _line(self, reader: asyncio.StreamReader) -> bytes:
        await self.reads.wait()
        return await reader.readuntil(b"\r\n")

    async def _take(self, reader: asyncio.StreamReader, size: int) -> None:
        allowed = 0.0
        while size:
            await self.reads.wait()
            if allowed < 1:
                await asyncio.sleep(self.step if self.rate < 1e9 else 0)
                allowed = self.rate * self.step
            data = await reader.read(min(size, int(allowed)))
            if not data:
                raise ConnectionResetError
            allowed -= len(data)
            size -= len(data)
            self.taken += len(data)
            if self.taken >= self.stops_after:
                self.reads.clear()
                self.stops_after = 1 << 40


@contextlib.asynccontextmanager
async def gateway_before(host: PausingHost, **changes: Any) -> AsyncIterator[RunningGateway]:
    """Run a gateway whose sockets have small buffers, before one host that it has met."""
    async with host, running_gateway(("a", host.addr), **changes) as gateway:
        gateway.listener.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        assert (await (await gateway.client()).ask(request("warm")))[0] == 200
        for connection in gateway.hosts.connections:
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
        yield gateway
        counters = gateway.core.counters
        assert counters.panics == counters.faults == gateway.core.invariants.total == 0


def now() -> float:
    return asyncio.get_running_loop().time()


def framed(name: str, body: bytes, form: str, wait_ms: int, kind: str = "side_effect-all") -> bytes:
    """Return a request in one of the two framings of a body."""
    key = b"Idempotency-Key: 1\r\n" if kind.startswith("token") else b""
    whole = request(name, body, wait_ms, key, kind)
    if form == "length":
        return whole
    head, _, rest = whole.partition(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n") if not line.startswith(b"Content-Length")]
    pieces = [rest[at : at + 20_000] for at in range(0, len(rest), 20_000)]
    coded = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    return b"\r\n".join([*lines, b"Transfer-Encoding: chunked", b"", coded + b"0\r\n\r\n"])


async def write(client: Client, data: bytes, rate: float = 0.0, step: float = 0.1) -> float:
    """Write all of a request, at `rate` bytes/s; return when the system had its last byte."""
    client.writer.transport.set_write_buffer_limits(high=0)
    size = int(rate * step) if rate else len(data)
    for at in range(0, len(data), size):
        client.send(data[at : at + size])
        await client.writer.drain()
        if rate and at + size < len(data):
            await asyncio.sleep(step)
    return now()


FORMS = pytest.mark.parametrize("form", ["length", "chunked"])


@FORMS
@pytest.mark.parametrize("kind", ["side_effect-all", "token-all"])
@pytest.mark.parametrize("taken", [0, MB])
def test_a_body_on_its_way_to_a_silent_host_is_answered_in_time_and_never_runs(
    taken: int, kind: str, form: str
) -> None:
    """Guards against requests that have no deadline while their host takes nothing (review/2)."""
    wait_ms = 700

    async def run() -> None:
        host = PausingHost()
        async with gateway_before(host) as gateway:
            client = await gateway.client()
            if taken:
                host.stops_after = taken
                host.reads.set()
            body = BODY[: taken + 512 * KB]
            writing = asyncio.create_task(write(client, framed("r", body, form, wait_ms, kind)))
            answering = asyncio.create_task(client.answer())
            written = await writing
            status, _ = await answering
            assert now() - written <= wait_ms / 1000 + ANSWER_SLACK
            assert status == 503  # it has not run, and the client may ask again
            assert gateway.pool.policy.endpoint_table.servers["a"].ejections
            assert gateway.core.counters.statuses["stalled"] == 1
            host.reads.set()  # what it still gets must not be a whole request
            await until(lambda: host.broken > 0)
            assert host.seen == []
            await until(lambda: not gateway.core.open_requests)

    asyncio.run(run())


@FORMS
def test_a_slow_client_before_a_slow_host_is_served(form: str) -> None:
    """Guards against deadlines that count from anything but the last byte, while bytes move."""
    wait_ms = 700

    async def run() -> None:
        host = PausingHost()
        async with gateway_before(host) as gateway:
            client = await gateway.client()
            message = framed("r", BODY[: 320 * KB], form, wait_ms)
            writing = asyncio.create_task(write(client, message, rate=64 * KB, step=0.25))
            for _ in range(2):  # it takes nothing for longer than the request's time
                await asyncio.sleep(1.2)
                host.reads.set()
                await asyncio.sleep(0.1)
                host.reads.clear()
            host.reads.set()
            await writing
            assert await client.answer() == (200, b"served")

    asyncio.run(run())


@FORMS
def test_a_host_that_takes_a_body_slowly_is_no_fault_while_its_client_still_writes(
    form: str,
) -> None:
    """Guards against cutting off a host for which a body takes longer than the request's time."""
    wait_ms = 1500

    async def run() -> None:
        host = PausingHost(rate=1.2 * MB, step=0.05)
        host.reads.set()
        async with gateway_before(host) as gateway:
            client = await gateway.client()
            sock = client.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
            began = now()
            written = await write(client, framed("r", BODY, form, wait_ms))
            assert written - began > wait_ms / 1000
            assert await client.answer() == (200, b"served")

    asyncio.run(run())


@FORMS
def test_a_held_body_that_waits_unread_has_no_more_time_than_its_client(form: str) -> None:
    """Guards against a clock that begins anew when the rest of a held body is read."""
    wait_ms, held_for = 1000, 0.7

    async def run() -> None:
        host = PausingHost()
        async with gateway_before(host) as gateway:
            known = gateway.pool.endpoints["a"]
            gateway.pool.on_endpoint_update(EndpointUpdate(1, True, (), 0, frozenset()))
            client = await gateway.client()
            written = await write(client, framed("r", BODY[: 200 * KB], form, wait_ms))
            await asyncio.sleep(held_for)
            host.reads.set()
            gateway.pool.on_endpoint_update(EndpointUpdate(2, True, (known,), 0, frozenset()))
            await until(lambda: host.begun > 0)
            assert host.told_ms[0] <= wait_ms - held_for * 1000 + 150
            host.reads.clear()
            await client.answer()
            assert now() - written <= wait_ms / 1000 + 0.1

    asyncio.run(run())


def test_a_silent_host_does_not_keep_a_body_that_its_client_does_not_finish(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against connections that are held for as long as a host is silent."""
    monkeypatch.setattr(upload_deadlines, "MAX_UPLOAD_STALL", 600_000)

    async def run() -> None:
        host = PausingHost()
        async with gateway_before(host) as gateway:
            client = await gateway.client()
            client.send(request("r", BODY, 3000)[: 3 * MB])
            assert (await client.answer())[0] == 503
            await until(lambda: not gateway.core.open_requests and not gateway.hosts.connections)
            assert gateway.core.counters.statuses["stalled"] == 1

    asyncio.run(run())


def test_a_client_that_leaves_while_its_host_is_silent_is_noticed() -> None:
    """Guards against descriptors that a silent host holds for a client that has left (review/2)."""

    async def run() -> None:
        host = PausingHost()
        async with gateway_before(host) as gateway:
            client = await gateway.client()
            await write(client, request("r", BODY[: 512 * KB], 3000))
            (connection,) = gateway.clients()[-1:]
            await until(
                lambda: (
                    host.begun > 0
                    and not (connection.transport and connection.transport.is_reading())
                )
            )
            await asyncio.sleep(0.3)
            left = now()
            # Bytes that the system holds for the client delay an orderly end, but not a reset.
            reset_at_close(client.writer.get_extra_info("socket"))
            client.writer.transport.abort()
            await until(lambda: not gateway.core.open_requests and not gateway.hosts.connections)
            assert now() - left < ANSWER_SLACK
            assert not gateway.pool.policy.endpoint_table.servers["a"].ejections

    asyncio.run(run())


@FORMS
def test_a_drain_ends_requests_whose_body_a_silent_host_does_not_take(
    form: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests that the end of the process leaves without a response."""
    monkeypatch.setattr(drain, "MAX_RESPONSE_WAIT", 200_000)

    async def run() -> None:
        host = PausingHost()
        async with gateway_before(host) as gateway:
            before, after = await gateway.client(), await gateway.client()
            await write(before, framed("r1", BODY[: 512 * KB], form, 3000))
            await until(lambda: host.begun > 0)
            gateway.core.drain()
            # Its last byte is handed over to the system, so that it may run.
            await write(after, framed("r2", BODY[: 512 * KB], form, 3000))
            assert [(await client.answer())[0] for client in (before, after)] == [503, 504]
            assert gateway.core.clock() <= gateway.core.drain_until + 50_000

    asyncio.run(run())


@FORMS
@pytest.mark.parametrize("has_host", [True, False])
def test_a_body_that_waits_behind_a_request_has_no_more_time_than_its_client(
    has_host: bool, form: str
) -> None:
    """Guards against a clock that begins anew when a pipelined body's turn has come."""
    wait_ms, waits_for = 1000, 0.7

    async def run() -> None:
        host = PausingHost()
        async with gateway_before(host) as gateway:
            client = await gateway.client()
            client.send(framed("first", b"one", "length", 3000, "token-all"))
            written = await write(client, framed("r", BODY[: 200 * KB], form, wait_ms))
            await asyncio.sleep(waits_for)
            if not has_host:
                gateway.pool.on_endpoint_update(EndpointUpdate(1, True, (), 0, frozenset()))
            host.reads.set()
            assert (await client.answer())[0] == 200
            host.reads.clear()
            await client.answer()
            assert now() - written <= wait_ms / 1000 + ANSWER_SLACK
            assert all(told <= wait_ms - waits_for * 1000 + 150 for told in host.told_ms[1:])

    asyncio.run(run())


@FORMS
def test_a_new_configuration_ends_no_deadline_of_a_body_that_waits_unread(form: str) -> None:
    wait_ms = 700

    async def run() -> None:
        host = PausingHost()
        async with gateway_before(host) as gateway:
            client = await gateway.client()
            written = await write(client, framed("r", BODY[: 512 * KB], form, wait_ms))
            value = config_value(
                "127.0.0.1:9", ("a", host.addr), settings={"classes": BASE["classes"][:1]}
            )
            gateway.platform.reconfigure(parse_config(value, {}))
            assert (await client.answer())[0] == 503
            assert now() - written <= wait_ms / 1000 + ANSWER_SLACK

    asyncio.run(run())


def test_a_host_is_silent_only_while_it_takes_nothing() -> None:
    """Guards against ejecting a host that took bytes, or that there is not."""
    upload = Upload(RecordingEnd(), b"start", False, Budget(80))
    sink = RecordingEnd()
    upload.open(sink)
    upload.observe_progress(1 * S)
    upload.observe_progress(3 * S)
    assert upload.silent_for(3 * S) == 2 * S
    sink.got += b"more"
    upload.observe_progress(4 * S)
    assert upload.silent_for(4 * S) == 0
    upload.detach(sink)
    assert upload.silent_for(9 * S) == 0  # there is no host


def test_the_last_byte_of_a_body_is_taken_to_have_come_no_later_than_it_did() -> None:
    arrival = BodyArrival(1 * S)
    arrival.on_paused(1 * S)
    arrival.on_unread(2 * S, 0, None, 1 * S)
    assert arrival.missing_at == 2 * S  # the client has sent nothing that is unread
    arrival.on_unread(3 * S, 100, None, 2 * S + 900_000)
    assert arrival.missing_at == 2 * S + 900_000  # bytes came while the buffer had room
    arrival.on_unread(4 * S, 100, 100 + MAX_SEND_BUFFER + 1, 3 * S)
    assert arrival.missing_at == 4 * S  # no system holds that much for its client
    assert not arrival.arrived_at
    arrival.on_unread(5 * S, 100, 100, 4 * S + 500_000)
    assert arrival.arrived_at == 4 * S + 500_000


def test_a_last_byte_that_waited_for_the_whole_of_a_pause_counts_from_its_start() -> None:
    arrival = BodyArrival(1 * S)
    arrival.on_paused(1 * S)
    arrival.on_unread(2 * S, 100, None, 1 * S)  # all of it came before the pause
    arrival.on_resumed(2 * S)
    assert arrival.last_byte_at(2 * S + 1000) == 1 * S
    arrival.on_reading(2 * S + 200_000)
    assert arrival.last_byte_at(2 * S + 200_000) == 1 * S  # it may have waited at its sender
    assert arrival.last_byte_at(2 * S + 300_000) == 2 * S + 300_000  # sent since
    arrival.on_reading(2 * S + 300_000)
    assert arrival.last_byte_at(2 * S + 300_000) == 0  # nothing waits: it came just now
