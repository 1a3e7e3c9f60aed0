"""Clients of a run: they reuse connections without pipelining; some disconnect early."""

from __future__ import annotations

import asyncio
import random
import time
from asyncio import FIRST_COMPLETED
from collections import Counter, defaultdict

from sailhitch.lab.message import platform
from tests.soak.gateways import Gateway
from tests.soak.nodes import MAX_PAUSE
from tests.soak.records import LONG_ANSWER, End, Kind, Records, Sent
from tests.sockets import Client, dial, read_rest

WAITS = (0.3, 0.6, 1.0, 2.0)  # s; the waits that clients state in their requests
REUSE_SHARE = 0.6  # share of requests that reuse an idle connection, if there is one
MAX_IDLE = 1.5  # s for which most clients keep an idle connection...
KEEP_OPEN_SHARE = 0.3  # ...and the share of connections kept until the gateway closes them
PATIENCE = 0.6  # s past its deadline for which a client still waits for an answer
LONG_BODY_SHARE, LONG_ANSWER_SHARE = 0.01, 0.01  # of the requests
HELD_UP_BODY = 8_000_000  # bytes; more than the systems on its way hold...
HELD_UP_LONG_BODIES = 0.3  # ...and the share of such bodies, at a gateway that is held up
LONG_BODIES = (100_000, 4_000_000)  # bytes; the last about what the systems on its way hold
CHUNK = 50_000  # bytes
MAX_WRITING = 12.0  # s for which a client goes on writing a long body
LONG_PATIENCE = MAX_PAUSE + 3.0  # s from the head of a long answer to its end
LOOP_TURN = 0.001  # s; lets the event loop read data that has arrived


class Crowd:
    """Sends the requests of all clients, in an open loop."""

    def __init__(self, gateways: list[Gateway], records: Records, rng: random.Random) -> None:
        self.gateways, self.records, self.rng = gateways, records, rng
        # A separate random stream keeps the other draws the same for each seed.
        self.flow_rng = random.Random(f"{rng.getstate()} flows")
        self.leaving = 0.05  # share of requests whose clients disconnect early
        self.long_bodies = LONG_BODY_SHARE
        self.held_up: Counter[str] = Counter()  # gateways that get long bodies meanwhile
        self.surge = 1.0  # factor of the request rate
        self._idle: dict[tuple[str, int], list[tuple[float, Client]]] = defaultdict(list)
        self._tasks: set[asyncio.Task[None]] = set()
        self._count = 0

    async def run(self, seconds: float, rate: float) -> None:
        """Send `rate` requests a second for `seconds`, without waiting for their answers."""
        loop = asyncio.get_running_loop()
        over = loop.time() + seconds
        while loop.time() < over:
            await asyncio.sleep(self.rng.expovariate(rate * self.surge))
            reachable = [one for one in self.gateways if one.open or self._has_open(one)]
            if reachable:
                task = loop.create_task(self._one(self.rng.choice(reachable)))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait until all requests have ended."""
        if self._tasks:
            await asyncio.wait(self._tasks)

    def _long_body_share(self, gateway: Gateway) -> float:
        return HELD_UP_LONG_BODIES if self.held_up[gateway.name] else self.long_bodies

    def _has_open(self, gateway: Gateway) -> bool:
        """Whether clients hold idle connections to a process that is shutting down."""
        return gateway.ending and bool(self._idle[gateway.name, len(gateway.processes)])

    async def _one(self, gateway: Gateway) -> None:
        rng = self.rng
        self._count += 1
        kind = rng.choice((Kind.PAGE, Kind.PAGE, Kind.PAYOUT, Kind.FILING))
        wait = rng.choice(WAITS)
        name = f"q{self._count:06d}"
        if self.flow_rng.random() < LONG_ANSWER_SHARE:
            name += LONG_ANSWER
        sent = Sent(name, kind, gateway.name, len(gateway.processes), wait, False)
        leaves = rng.random() < self.leaving
        kept = self._take_idle(sent) if not gateway.open or rng.random() < REUSE_SHARE else None
        if kept is None and not gateway.open:
            return  # the gateway takes no new connections
        sent.fresh = kept is None
        try:
            async with asyncio.timeout(1.0):
                client = kept or await dial(gateway.addr)
        except (OSError, TimeoutError):
            sent.end = End.UNCONNECTED
            self.records.sent[sent.name] = sent
            return
        body = None if kind is Kind.PAGE else b"effect"
        key = f"key-{sent.name}" if kind is Kind.FILING else ""
        patience = rng.uniform(0.003, 0.08) if leaves else wait + PATIENCE
        self.records.sent[sent.name] = sent
        if body is not None and self.flow_rng.random() < self._long_body_share(gateway):
            size = self.flow_rng.choice(LONG_BODIES)
            body = body.ljust(HELD_UP_BODY if self.held_up[gateway.name] else size, b"x")
            message = platform(sent.name, kind.value, int(wait * 1000), body, key=key)
            sent.body_size = len(body)
            if self.flow_rng.random() < 0.5:
                sent.chunked = True
                message = chunked(message)
            await self._send_long(sent, client, message, patience, leaves)
            return
        sent.body_size = len(body or b"")
        client.send(platform(sent.name, kind.value, int(wait * 1000), body, key=key))
        sent.at = time.monotonic()
        reading = asyncio.ensure_future(self._read_answer(sent, client))
        await self._await_answer(sent, client, reading, patience, leaves)

    async def _send_long(
        self, sent: Sent, client: Client, message: bytes, patience: float, leaves: bool
    ) -> None:
        """Write a long request while its answer is awaited, which may come before its end."""
        transport = client.writer.transport
        transport.set_write_buffer_limits(high=0)
        client.send(message)
        reading = asyncio.ensure_future(self._read_answer(sent, client))
        writing = asyncio.ensure_future(client.writer.drain())
        limit = patience if leaves else MAX_WRITING
        await asyncio.wait((reading, writing), timeout=limit, return_when=FIRST_COMPLETED)
        sent.at = time.monotonic()
        is_whole = writing.done() and not transport.get_write_buffer_size()
        writing.cancel()
        await self._await_answer(sent, client, reading, patience, leaves or not is_whole)
        if not is_whole and sent.end is End.CLOSED:
            # A request whose last byte was not written is not taken, and nothing is due to it.
            sent.end = End.LEFT

    async def _read_answer(self, sent: Sent, client: Client) -> bytes:
        head = await client.reader.readuntil(b"\r\n\r\n")
        sent.answered = time.monotonic()
        return await read_rest(client.reader, head)

    def _take_idle(self, sent: Sent) -> Client | None:
        idle = self._idle[sent.gateway, sent.process]
        while idle:
            until, client = idle.pop()
            if time.monotonic() < until and not client.reader.at_eof():
                return client
            client.writer.close()
        return None

    async def _await_answer(
        self,
        sent: Sent,
        client: Client,
        reading: asyncio.Future[bytes],
        patience: float,
        leaves: bool,
    ) -> None:
        await asyncio.wait((reading,), timeout=patience)
        if not reading.done() and sent.answered and not leaves:
            await asyncio.wait((reading,), timeout=LONG_PATIENCE)
        if not reading.done():
            # This process may have stalled, with an answer received but not yet read.
            await asyncio.sleep(LOOP_TURN)
        if not reading.done():
            reading.cancel()
            sent.end = End.LEFT if leaves else End.SILENT
            if self.rng.random() < 0.5:
                client.writer.transport.abort()
            client.writer.close()
            sent.ended = time.monotonic()
            return
        try:
            message = reading.result()
        except (OSError, asyncio.IncompleteReadError):
            sent.end = End.CUT if sent.answered else End.CLOSED
            sent.ended = time.monotonic()
            client.writer.close()
            return
        sent.ended = time.monotonic()
        self._record_answer(sent, message)
        if b"\r\nconnection: close\r\n" in message.lower():
            client.writer.close()
        else:
            keeps_open = self.rng.random() < KEEP_OPEN_SHARE
            until = float("inf") if keeps_open else sent.ended + MAX_IDLE
            self._idle[sent.gateway, sent.process].append((until, client))

    @staticmethod
    def _record_answer(sent: Sent, message: bytes) -> None:
        sent.status = int(message.split(b" ")[1])
        if sent.status == 200:
            sent.end = End.SERVED
            sent.wrong = not message.partition(b"\r\n\r\n")[2].startswith(sent.name.encode() + b" ")
        else:
            sent.end = End.REFUSED if sent.status in (429, 503) else End.FAILED

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for _, client in idle:
                client.writer.close()


def chunked(message: bytes) -> bytes:
    """Return the same request with its body in the chunked coding."""
    head, _, body = message.partition(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n") if not line.startswith(b"Content-Length")]
    pieces = [body[at : at + CHUNK] for at in range(0, len(body), CHUNK)]
    coded = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    return b"\r\n".join([*lines, b"Transfer-Encoding: chunked", b"", coded + b"0\r\n\r\n"])
