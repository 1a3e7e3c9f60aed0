"""A crowd of clients in a process of its own, which all do the same at the same time.

    python -m tests.memory_limit.crowd ADDRESS SHAPE CONNECTIONS SECONDS

Whoever is closed or refused comes back at once. The last line tells how often they connected, and
how many answers each status had.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import random
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from sailhitch.lab.message import build
from tests.memory_limit.host import Behaviour
from tests.memory_limit.reconnecting import ReconnectingClients

HEAD_SIZE = 30 * 1024  # bytes of a large head, under the limit of 32 KiB
BODY_SIZES = (60 * 1024, 40 * 1024, 2_000_000)  # bytes; the last is streamed
LONG_ANSWER = 2_000_000  # bytes
DEADLINE_MS = 3000
READ_PIECE, READ_PAUSE = 200, 0.1  # bytes that a slow reader takes at a time, and s between
RECEIVE_BUFFER = 4096  # bytes that a slow reader's own system holds for it


HEALTH_CHECK = b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"


class Shape(StrEnum):
    """What each client of a crowd does."""

    SHORT_FIELDS_STOP = "short-fields-stop"  # part of a head of fields of four bytes
    SHORT_FIELDS_REST = "short-fields-rest"  # requests with such a head, then nothing
    LONG_TARGETS_STOP = "long-targets-stop"  # part of a long target
    LONG_FIELD_STOP = "long-field-stop"  # part of one long field
    MANY_LINES_STOP = "many-lines-stop"  # part of a head of 900 fields
    MANY_LINES_REST = "many-lines-rest"  # requests with a head of 200 fields, then nothing
    REST = "rest"  # one request, then nothing
    SILENT = "silent"
    HALF_BODIES = "half-bodies"  # half of a body
    SHORT_CHUNKS = "short-chunks"  # a body in chunks of one byte, without its end
    SHORT_CHUNKS_LONG = "short-chunks-long"  # the same, long enough to be streamed
    UNREAD_ANSWERS = "unread-answers"  # requests whose answers are not read
    SLOW_READERS = "slow-readers"  # a long answer, read slowly
    SLOW_HOSTS = "slow-hosts"  # a long body for hosts that read it slowly
    SILENT_HOSTS = "silent-hosts"  # a long body for hosts that read little of it
    SHORT_FIELD_ANSWERS = "short-field-answers"  # answers with heads of fields of four bytes
    SHORT_CHUNK_ANSWERS = "short-chunk-answers"  # answers in chunks of one byte
    FLOOD_HEALTH = "flood-health"  # health checks at full speed
    FLOOD_NAMES = "flood-names"  # requests under ever new names at full speed
    FLOOD_UNREAD = "flood-unread"  # the same without reading
    FLOOD_EMPTY_LINES = "flood-empty-lines"  # empty lines at full speed
    FLOOD_UNSOUND = "flood-unsound"  # requests that are rejected, one a connection
    FLOOD_CHUNKS = "flood-chunks"  # one body after the other in chunks of one byte
    MIXED = "mixed"  # each time another of the above


_numbers = itertools.count()


def _request(target: str = "/api", body: bytes | None = None, framing: bytes = b"") -> bytes:
    """Return a sound request; `framing` are further fields of its head."""
    name = f"crowd-{os.getpid()}-{next(_numbers)}"
    kind = "pure-all" if body is None else "side_effect-all"
    fields = [("Req-Id", name), ("Req-Kind", kind), ("Req-Deadline-Ms", DEADLINE_MS)]
    head, gap, rest = build(
        "GET" if body is None else "POST", target, fields, body or b""
    ).partition(b"\r\n\r\n")
    return head + b"\r\n" + framing + gap[2:] + rest


def _chunked(body: bytes, target: str = "/api") -> bytes:
    """Return a request with a chunked body that does not end; `body` is in its coding."""
    whole = _request(target, b"")
    return whole.replace(b"Content-Length: 0\r\n", b"Transfer-Encoding: chunked\r\n") + body


@dataclass(frozen=True, slots=True)
class Play:
    """What a client sends on a connection, and how it reads."""

    data: Callable[[], bytes]
    repeat: bool = False  # goes on sending, without waiting for answers
    pause: float = READ_PAUSE  # s between two requests
    reads_slowly: bool = False


def _half_body() -> bytes:
    size = random.choice(BODY_SIZES)
    whole = _request(body=bytes(size))
    return whole[: -size // 2]


def _target(behaviour: Behaviour, number: int) -> str:
    return f"/{behaviour}/{number}"


PLAYS: dict[Shape, Play] = {
    Shape.SHORT_FIELDS_STOP: Play(lambda: _request(framing=b"a:\r\n" * (HEAD_SIZE // 4))[:-2]),
    Shape.SHORT_FIELDS_REST: Play(lambda: _request(framing=b"a:\r\n" * (HEAD_SIZE // 4))),
    Shape.LONG_TARGETS_STOP: Play(lambda: b"GET /" + b"a" * HEAD_SIZE),
    Shape.LONG_FIELD_STOP: Play(lambda: _request(framing=b"A: " + b"a" * HEAD_SIZE)),
    Shape.MANY_LINES_STOP: Play(
        lambda: _request(framing=b"".join(b"F%03d: %s\r\n" % (i, b"v" * 25) for i in range(900)))[
            :-2
        ]
    ),
    Shape.MANY_LINES_REST: Play(
        lambda: _request(framing=b"".join(b"F%03d: %s\r\n" % (i, b"v" * 120) for i in range(200)))
    ),
    Shape.REST: Play(_request),
    Shape.SILENT: Play(lambda: b""),
    Shape.HALF_BODIES: Play(_half_body),
    Shape.SHORT_CHUNKS: Play(lambda: _chunked(b"1\r\nx\r\n" * 60_000)),
    Shape.SHORT_CHUNKS_LONG: Play(lambda: _chunked(b"1\r\nx\r\n" * 400_000)),
    Shape.UNREAD_ANSWERS: Play(
        lambda: _request(_target(Behaviour.LONG, 60_000)), repeat=True, reads_slowly=True
    ),
    Shape.SLOW_READERS: Play(
        lambda: _request(_target(Behaviour.LONG, LONG_ANSWER)), reads_slowly=True
    ),
    Shape.SLOW_HOSTS: Play(
        lambda: _request(_target(Behaviour.READS_SLOWLY, 0), bytes(BODY_SIZES[2]))
    ),
    Shape.SILENT_HOSTS: Play(
        lambda: _request(_target(Behaviour.STOPS_READING, 100_000), bytes(BODY_SIZES[2]))
    ),
    Shape.FLOOD_HEALTH: Play(lambda: HEALTH_CHECK, repeat=True, pause=0.0),
    Shape.FLOOD_NAMES: Play(_request, repeat=True, pause=0.0),
    Shape.FLOOD_UNREAD: Play(_request, repeat=True, pause=0.0, reads_slowly=True),
    Shape.FLOOD_EMPTY_LINES: Play(lambda: b"\r\n" * 4096, repeat=True, pause=0.0),
    Shape.FLOOD_UNSOUND: Play(lambda: b"NONSENSE / HTTP/9\r\n\r\n"),
    Shape.FLOOD_CHUNKS: Play(
        lambda: _chunked(b"1\r\nx\r\n" * 5_000 + b"0\r\n\r\n"), repeat=True, pause=0.0
    ),
    Shape.SHORT_FIELD_ANSWERS: Play(lambda: _request(_target(Behaviour.SHORT_FIELDS, 7000))),
    Shape.SHORT_CHUNK_ANSWERS: Play(lambda: _request(_target(Behaviour.SHORT_CHUNKS, 400_000))),
}


MIXED_SHAPES = [shape for shape in PLAYS if not shape.startswith("flood-")]


class CrowdProcess(ReconnectingClients):
    """The clients of one crowd."""

    def __init__(self, address: str, shape: Shape, until: float) -> None:
        super().__init__(address, until)
        self.shape = shape

    async def connect(self) -> None:
        """Play the shape on a connection."""
        shape = random.choice(MIXED_SHAPES) if self.shape is Shape.MIXED else self.shape
        play = PLAYS[shape]
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setblocking(False)
            if play.reads_slowly:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            await loop.sock_connect(sock, self.address)
            self.connected += 1
            sending = asyncio.ensure_future(self._send(sock, play))
            try:
                await self._read(sock, play)
            finally:
                sending.cancel()

    async def _send(self, sock: socket.socket, play: Play) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            await loop.sock_sendall(sock, play.data())
            while play.repeat:
                await asyncio.sleep(play.pause)
                await loop.sock_sendall(sock, play.data())

    async def _read(self, sock: socket.socket, play: Play) -> None:
        """Read until the gateway closes the connection."""
        loop = asyncio.get_running_loop()
        while data := await loop.sock_recv(sock, READ_PIECE if play.reads_slowly else 65536):
            self.count_answer(data)
            if play.reads_slowly:
                await asyncio.sleep(READ_PAUSE)


async def main(address: str, shape: Shape, connections: int, seconds: float) -> None:
    """Play a crowd for so many seconds."""
    crowd = CrowdProcess(address, shape, time.monotonic() + seconds)
    await crowd.play(connections)
    print(crowd.report())


if __name__ == "__main__":
    _address, _shape, _connections, _seconds = sys.argv[1:]
    asyncio.run(main(_address, Shape(_shape), int(_connections), float(_seconds)))
