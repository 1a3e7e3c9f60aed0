"""Long request bodies on their way to hosts, while the gateway is held up again and again."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import threading
import time
from collections.abc import AsyncIterator
from typing import IO

import pytest

from sailhitch.core import drain
from sailhitch.core.budget import Budget
from sailhitch.core.request_context import RequestContext
from sailhitch.core.upload import Upload
from sailhitch.net.downstream import Downstream
from tests import test_silent_hosts
from tests.fake import S
from tests.sockets import RunningGateway, answer, request, running_gateway, until
from tests.test_flows import RecordingEnd
from tests.test_silent_hosts import (
    ANSWER_SLACK,
    BODY,
    FORMS,
    KB,
    MB,
    SMALL_BUFFER,
    PausingHost,
    framed,
    gateway_before,
    now,
    write,
)

# s for which the gateway is held up, and s until the next time: as in review/9, the longest that a
# gateway is held up beside a core that is hardly ever free, and stalls just above and below LATE.
HOLD_UPS = pytest.mark.parametrize(
    ("held_up", "between"), [(0.1, 0.15), (0.15, 0.05), (0.07, 0.02), (0.045, 0.01), (0.03, 0.005)]
)


@contextlib.asynccontextmanager
async def held_up_again_and_again(held_up: float, between: float) -> AsyncIterator[None]:
    """Stall the event loop for `held_up` s, `between` s apart."""

    async def hold_up() -> None:
        while True:
            time.sleep(held_up)
            await asyncio.sleep(between)

    task = asyncio.create_task(hold_up())
    try:
        yield
    finally:
        task.cancel()


@FORMS
@HOLD_UPS
def test_a_series_of_stalls_leaves_no_request_for_a_silent_host_without_its_deadline(
    held_up: float, between: float, form: str
) -> None:
    """Guards against a host's silence that is counted anew from each stall (review/9)."""
    wait_ms = 1000

    async def run() -> None:
        host = PausingHost()
        async with gateway_before(host) as gateway, held_up_again_and_again(held_up, between):
            client = await gateway.client()
            answering = asyncio.create_task(client.answer())
            message = framed("r", BODY[: 512 * KB], form, wait_ms)
            written = await write(client, message)
            status, _ = await answering
            assert now() - written <= wait_ms / 1000 + ANSWER_SLACK
            assert status == 503  # it has not run
            # The host is found out, so that the next requests go to others.
            assert gateway.pool.policy.endpoint_table.servers["a"].ejections
            assert gateway.core.counters.statuses["stalled"] == 1
            host.reads.set()
            await until(lambda: host.broken > 0)
            assert host.seen == []

    asyncio.run(run())


@FORMS
@HOLD_UPS
def test_a_silent_host_is_found_out_in_stalls_once_the_last_byte_was_read(
    held_up: float, between: float, form: str
) -> None:
    """Guards against a host that is silent for bytes that only this process still holds."""
    wait_ms = 1000

    async def run() -> None:
        host = PausingHost()
        async with gateway_before(host) as gateway:
            # The rest of the body is read at once.
            gateway.listener.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MB)
            client = await gateway.client()
            message = framed("r", BODY[: 180 * KB], form, wait_ms)
            client.send(message[: 70 * KB])
            await until(lambda: host.begun > 0 and is_reading(gateway))
            async with held_up_again_and_again(held_up, between):
                await write(client, message[70 * KB :])
                (attempt,) = (a for r in open_requests(gateway) for a in r.open_attempts)
                await until(lambda: not attempt.request.is_uploading())
                assert attempt.connection is not None
                assert attempt.connection.has_unsent_bytes()
                read_at = now()
                status, _ = await client.answer()
                assert now() - read_at <= wait_ms / 1000 + ANSWER_SLACK
                assert status == 503
                assert gateway.pool.policy.endpoint_table.servers["a"].ejections

    asyncio.run(run())


@FORMS
def test_a_host_is_silent_since_it_last_took_something_and_not_since_a_sweep_saw_that(
    form: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a silence that begins with a sweep, which a held-up gateway makes late."""
    sweep = Downstream.sweep
    monkeypatch.setattr(Downstream, "sweep", lambda connection, now: None)

    async def run() -> None:
        host = PausingHost()
        async with gateway_before(host) as gateway:
            client = await gateway.client()
            answering = asyncio.create_task(client.answer())
            await write(client, framed("r", BODY[: 512 * KB], form, 300))
            await asyncio.sleep(0.65)
            assert not answering.done()
            sweep(gateway.clients()[-1], gateway.core.clock())
            async with asyncio.timeout(0.2):
                status, _ = await answering
            assert status == 503
            assert gateway.core.counters.statuses["stalled"] == 1

    asyncio.run(run())


def test_a_silent_host_is_found_out_in_stalls_by_a_buffered_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against stalls that clear a silent host of every request that it does not take."""
    monkeypatch.setattr(test_silent_hosts, "SMALL_BUFFER", 4 * KB)

    async def run() -> None:
        host = PausingHost()
        async with gateway_before(host) as gateway, held_up_again_and_again(0.1, 0.15):
            client = await gateway.client()
            status, _ = await client.ask(request("r", BODY[: 60 * KB], 1000))
            assert status == 503
            assert gateway.core.counters.statuses["expired"] == 1
            assert gateway.pool.policy.endpoint_table.servers["a"].ejections

    asyncio.run(run())


@FORMS
@HOLD_UPS
def test_a_drain_in_a_series_of_stalls_ends_a_body_for_a_silent_host_in_time(
    held_up: float, between: float, form: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests that the end of a process leaves without a response."""
    monkeypatch.setattr(drain, "MAX_RESPONSE_WAIT", 500_000)

    async def run() -> None:
        host = PausingHost()
        async with gateway_before(host) as gateway, held_up_again_and_again(held_up, between):
            client = await gateway.client()
            await write(client, framed("r", BODY[: 512 * KB], form, 3000))
            await until(lambda: host.begun > 0)
            gateway.core.drain()
            assert (await client.answer())[0] == 503
            assert gateway.core.clock() <= gateway.core.drain_until + 2 * held_up * S + 50_000

    asyncio.run(run())


class BurstHost(threading.Thread):
    """Reads one body in bursts, also while the event loop of the test is stalled."""

    def __init__(self, burst: int, pause: float) -> None:
        super().__init__(daemon=True)
        self.burst, self.pause = burst, pause  # bytes, and s between two bursts
        self.begun = threading.Event()
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(4)
        self.addr = f"127.0.0.1:{self.sock.getsockname()[1]}"

    def run(self) -> None:
        with self.sock, contextlib.suppress(OSError):
            connection, _ = self.sock.accept()
            with connection, connection.makefile("rb") as reader:
                while line := reader.readline():
                    size = 0
                    while line.strip():
                        if line.startswith(b"Content-Length"):
                            size = int(line.split()[1])
                        line = reader.readline()
                    self._take(reader, size)
                    connection.sendall(answer(b"served"))

    def _take(self, reader: IO[bytes], size: int) -> None:
        while size > self.burst:
            self.begun.set()
            time.sleep(self.pause)
            reader.read(self.burst)
            size -= self.burst
        reader.read(size)


@pytest.mark.parametrize("stalls", [(0.6,), (1.2,), (0.35, 0.35), (0.1,) * 8])
def test_a_host_that_reads_in_bursts_is_not_held_to_be_silent_after_a_stall(
    stalls: tuple[float, ...],
) -> None:
    """Guards against judging a host before its socket was looked at after a stall."""

    async def run() -> None:
        host = BurstHost(200 * KB, 0.2)
        host.start()
        async with running_gateway(("a", host.addr)) as gateway:
            client = await gateway.client()
            assert (await client.ask(request("warm")))[0] == 200
            for connection in gateway.hosts.connections:
                connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
            answering = asyncio.create_task(client.answer())
            writing = asyncio.create_task(write(client, request("r", BODY[: 2 * MB], 3000)))
            await until(host.begun.is_set)
            for stall in stalls:
                await asyncio.sleep(0.18)  # the host has taken nothing for about as long
                time.sleep(stall)
            await writing
            assert await answering == (200, b"served")
            assert not gateway.pool.policy.endpoint_table.servers["a"].ejections

    asyncio.run(run())


def test_a_stall_counts_as_silence_only_if_the_host_took_nothing_meanwhile() -> None:
    """Guards against a host that is blamed for what this process did not write in a stall."""
    upload = Upload(RecordingEnd(), b"start", False, Budget(80))
    sink = RecordingEnd()
    upload.open(sink)
    upload.observe_progress(1 * S)
    assert upload.silent_for(3 * S) == 2 * S
    sink.writable = True  # it took bytes in a stall, and nothing was written since
    assert upload.silent_for(3 * S) == 0
    upload.observe_progress(3 * S)
    sink.got += b"more"
    sink.writable = False
    assert upload.silent_for(4 * S) == 0
    upload.observe_progress(4 * S)
    assert upload.silent_for(5 * S) == 1 * S


def is_reading(gateway: RunningGateway) -> bool:
    """Return whether the gateway reads from the newest of its clients."""
    transport = gateway.clients()[-1].transport
    return transport is not None and transport.is_reading()


def open_requests(gateway: RunningGateway) -> list[RequestContext]:
    return list(gateway.core.open_requests.values())
