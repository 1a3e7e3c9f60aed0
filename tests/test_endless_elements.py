"""Elements of a message whose end does not come: what the parser may hold of them, and for whom."""

from __future__ import annotations

import asyncio

import pytest

from sailhitch.net.client_connection import CLOSING
from sailhitch.net.delivery import MAX_UNDELIVERED, DeliveryCounter
from sailhitch.net.http import COMPLETE, MalformedError, ResponseReader
from tests.sockets import (
    TEST_TIMEOUT,
    Client,
    DiscoveryServer,
    RunningGateway,
    Server,
    Writer,
    request,
    running_gateway,
    until,
)

KB = 1024
PIECE = 8 * KB
ENDLESS = 100 * PIECE  # bytes that are sent at most
LIMITS = {"memory_mb": 1000}  # far above what the process of the tests holds itself
LONG_CHUNK = b"11170\r\n" + b"x" * 0x11170 + b"\r\n"  # a body that is streamed
ENDLESS_STARTS = {
    "trailer-name": b"1\r\nx\r\n0\r\n",
    "trailer-value": b"1\r\nx\r\n0\r\nA: ",
    "trailer-value-of-a-streamed-body": LONG_CHUNK + b"0\r\nA: ",
    "chunk-extension": b"1;",
}


def chunked(name: str, body: bytes) -> bytes:
    """Return a request with a chunked body; `body` is in its coding."""
    whole = request(name, b"", fields=b"Transfer-Encoding: chunked\r\n")
    return whole.replace(b"Content-Length: 0\r\n", b"") + body


async def _send_endless(client: Client) -> bytes:
    """Send pieces until the gateway has answered and closed; return what it answered."""
    answered = asyncio.ensure_future(client.read_to_end())
    for _ in range(ENDLESS // PIECE):
        if answered.done() or client.writer.transport.is_closing():
            break
        client.send(b"v" * PIECE)
        await asyncio.sleep(0.002)
    return await answered


def _largest(gateway: RunningGateway) -> int:
    return max((client.undelivered for client in gateway.clients()), default=0)


def test_delivery_counts_what_a_parser_may_hold() -> None:
    counter = DeliveryCounter()
    counter.reset_delivery()
    counter.count_parsed(100)
    counter.count_parsed(50)
    assert counter.undelivered == 150
    counter.delivered += 20
    counter.count_parsed(30)  # what came after the delivery may be held
    assert counter.undelivered == 10
    counter.delivered += 40  # with bytes of earlier reads
    counter.count_parsed(30)
    assert counter.undelivered == 0


# Guards against: a trailer, or another element behind the head of a request, that the parser
# collects without any limit (report 63c1a8).
@pytest.mark.parametrize("start", ENDLESS_STARTS.values(), ids=ENDLESS_STARTS)
def test_endless_element_behind_a_head_is_rejected(start: bytes) -> None:
    async def run() -> None:
        async with (
            Server() as host,
            running_gateway(("a", host.addr), limits=LIMITS) as gateway,
        ):
            client = await gateway.client()
            client.send(chunked("endless", start))
            await until(lambda: _largest(gateway) > 0 or bool(gateway.core.open_requests))
            answered = await _send_endless(client)
            assert answered.startswith(b"HTTP/1.1 431 ")
            assert gateway.core.budget.heads == 0
            assert _largest(gateway) == 0
            # It is closed once the client has, and what it sent on was not kept.
            client.writer.close()
            await until(lambda: not gateway.core.clients)
            assert gateway.core.budget.total() == 0

    asyncio.run(run())


def test_bytes_that_the_parser_holds_are_counted() -> None:
    async def run() -> None:
        async with (
            Server() as host,
            running_gateway(("a", host.addr), limits=LIMITS) as gateway,
        ):
            budget = gateway.core.budget
            client = await gateway.client()
            client.send(chunked("held", b"1\r\nx\r\n0\r\nA: " + b"v" * (MAX_UNDELIVERED // 2)))
            await until(lambda: budget.heads > MAX_UNDELIVERED // 2 - PIECE)
            (connection,) = gateway.clients()
            assert connection.held_memory().size >= budget.heads
            client.send(b"\r\n\r\n")
            assert (await client.answer())[0] == 200
            assert budget.heads == 0
            client.writer.close()

    asyncio.run(run())


# Guards against: the same while the rest of a request is discarded that was answered early.
def test_endless_trailer_behind_an_early_answer_is_not_collected() -> None:
    async def run() -> None:
        async with running_gateway(limits=LIMITS) as gateway:  # no host: it is refused at once
            client = await gateway.client()
            client.send(chunked("early", LONG_CHUNK))
            async with asyncio.timeout(TEST_TIMEOUT):
                assert (await client.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 503 ")
            (connection,) = gateway.clients()
            assert connection.phase == CLOSING
            client.send(b"0\r\nA: ")
            largest = 0
            for _ in range(ENDLESS // PIECE):
                client.send(b"v" * PIECE)
                await asyncio.sleep(0.002)
                largest = max(largest, connection.undelivered)
            assert 0 < largest <= MAX_UNDELIVERED + PIECE
            assert connection.parser is None
            client.writer.close()

    asyncio.run(run())


def test_trailers_within_the_limit_are_served() -> None:
    trailers = b"".join(b"F%03d: %s\r\n" % (i, b"v" * 100) for i in range(250))

    async def run() -> None:
        async with (
            Server() as host,
            running_gateway(("a", host.addr), limits=LIMITS) as gateway,
        ):
            client = await gateway.client()
            for number, start in enumerate((b"1\r\nx\r\n0\r\n", LONG_CHUNK + b"0\r\n")):
                data = chunked(f"sound-{number}", start + trailers + b"\r\n")
                assert (await client.ask(data))[0] == 200
            client.writer.close()

    asyncio.run(run())


# Guards against: the syntax of many short chunks in one large read, taken for bytes that are held.
def test_short_chunks_behind_long_ones_are_served() -> None:
    async def run() -> None:
        async with (
            Server() as host,
            running_gateway(("a", host.addr), limits=LIMITS) as gateway,
        ):
            client = await gateway.client()
            body = LONG_CHUNK * 5 + b"1\r\nx\r\n" * 100_000 + b"0\r\n\r\n"
            assert (await client.ask(chunked("short", body)))[0] == 200
            client.writer.close()

    asyncio.run(run())


OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED_OK = OK + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS_ANSWERS = {
    "field-value": OK + b"A: ",
    "interim-value": b"HTTP/1.1 103 Early\r\nA: ",
    "trailer-name": CHUNKED_OK + b"1\r\nx\r\n0\r\n",
    "trailer-value": CHUNKED_OK + b"1\r\nx\r\n0\r\nA: ",
    "trailer-value-of-a-streamed-body": CHUNKED_OK + LONG_CHUNK + b"0\r\nA: ",
    "chunk-extension": CHUNKED_OK + b"1;",
}


def _endless_host(start: bytes) -> Server:
    async def serve(_: bytes, writer: Writer) -> None:
        writer.write(start)
        for __ in range(ENDLESS // PIECE):
            writer.write(b"v" * PIECE)
            await writer.drain()
            await asyncio.sleep(0.002)

    return Server(serve)


# Guards against: the same in the other direction, from a host (report 63c1a8).
@pytest.mark.parametrize("start", ENDLESS_ANSWERS.values(), ids=ENDLESS_ANSWERS)
def test_endless_element_of_a_host_is_malformed(start: bytes) -> None:
    async def run() -> None:
        async with (
            _endless_host(start) as host,
            running_gateway(("a", host.addr), limits=LIMITS) as gateway,
        ):
            client = await gateway.client()
            client.send(request("endless", b"effect"))
            answered = asyncio.ensure_future(client.read_to_end())
            largest = counted = 0
            while not answered.done():
                for connection in gateway.hosts.connections:
                    largest = max(largest, connection.undelivered)
                counted = max(counted, gateway.core.budget.heads)
                if counted and not gateway.core.budget.heads:
                    break  # the attempt is over, and its connection closed
                await asyncio.sleep(0.001)
            assert PIECE < largest <= MAX_UNDELIVERED
            assert counted >= largest - PIECE
            await until(lambda: not gateway.hosts.connections)
            assert gateway.core.budget.heads == 0
            client.writer.close()
            await answered

    asyncio.run(run())


# Guards against: heads of many hosts that are each within their limit, and that no count knows.
def test_head_of_a_host_has_to_fit_into_the_budget() -> None:
    async def run() -> None:
        async with (
            _endless_host(OK + b"A: ") as host,
            running_gateway(("a", host.addr), limits=LIMITS) as gateway,
        ):
            gateway.core.budget.total_limit = 2 * PIECE
            largest = 0

            async def watch() -> None:
                nonlocal largest
                while True:
                    for connection in gateway.hosts.connections:
                        largest = max(largest, connection.undelivered)
                    await asyncio.sleep(0.001)

            watching = asyncio.ensure_future(watch())
            client = await gateway.client()
            assert (await client.ask(request("large", b"effect")))[0] == 502
            assert largest <= 4 * PIECE < MAX_UNDELIVERED
            watching.cancel()
            client.writer.close()

    asyncio.run(run())


def test_response_with_trailers_and_short_chunks_is_complete() -> None:
    class Reader(ResponseReader):
        body = b""

        def handle_head(self) -> None:
            pass

        def handle_body(self, data: bytes) -> None:
            self.body += data

    reader = Reader()
    trailers = b"".join(b"F%03d: %s\r\n" % (i, b"v" * 100) for i in range(250))
    data = CHUNKED_OK + b"1\r\nx\r\n" * 50_000 + b"0\r\n" + trailers + b"\r\n"
    for start in range(0, len(data), PIECE):
        reader.feed(data[start : start + PIECE])
    assert (reader.phase, len(reader.body), reader.keep_alive) == (COMPLETE, 50_000, True)
    reader.reset()
    reader.feed(CHUNKED_OK + b"0\r\nA: ")
    while reader.undelivered <= MAX_UNDELIVERED - PIECE:
        reader.feed(b"v" * PIECE)
    with pytest.raises(MalformedError, match="too large"):
        reader.feed(b"v" * PIECE)


# Guards against: the same from discovery, whose call would hold it until its time is over.
@pytest.mark.parametrize("start", [OK + b"A: ", CHUNKED_OK + b"2\r\n{}\r\n0\r\nA: "])
def test_endless_element_of_discovery_fails_the_call(start: bytes) -> None:
    async def run() -> None:
        async with (
            Server() as host,
            DiscoveryServer(("a", host.addr)) as discovery,
            running_gateway(("a", host.addr), discovery=discovery.addr) as gateway,
        ):
            await until(lambda: gateway.discovery.version == 1)
            discovery.raw_response = start + b"v" * ENDLESS
            await until(lambda: gateway.core.counters.bad_lists > 0)
            discovery.version = 2
            await until(lambda: gateway.discovery.version == 2)

    asyncio.run(run())
