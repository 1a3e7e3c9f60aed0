"""A host in a process of its own: `python -m tests.memory_limit.host PORT`.

A request's target names what it does, by `Behaviour`, and a number: `/long/2000000` is answered
with so many bytes. The body of every answer begins with the request's id.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
from collections.abc import AsyncIterator
from enum import StrEnum

from tests.memory_limit.grammar import answer_stream
from tests.sockets import Reader, Writer, answer

STILL = 3600.0  # s; longer than any play
PIECE = 64 * 1024  # bytes of a long answer that a host writes at a time
SLOW_PIECE = 4_000  # bytes of a body that a slow host reads at a time...
SLOW_PAUSE = 0.1  # ...and s before the next


class Behaviour(StrEnum):
    """What a host does with a request; the number of the target is in brackets."""

    LONG = "long"  # answers with a body (of so many bytes)
    SHORT_FIELDS = "short-fields"  # answers with a head (of so many fields of four bytes)
    SHORT_CHUNKS = "short-chunks"  # answers in chunks of one byte (so many)
    STOPS_READING = "stops-reading"  # reads (so many bytes) of the body, and no more
    READS_SLOWLY = "reads-slowly"  # reads the body in small pieces
    GRAMMAR = "grammar"  # answers with a distorted message (of that number)


async def _read_body(reader: Reader, size: int, slowly: bool) -> None:
    while size > 0:
        data = await reader.read(min(size, SLOW_PIECE if slowly else size))
        if not data:
            raise ConnectionResetError
        size -= len(data)
        if slowly:
            await asyncio.sleep(SLOW_PAUSE)


async def _requests(reader: Reader) -> AsyncIterator[tuple[str, Behaviour, int]]:
    """Yield the id and the target of each request, once the host has read what it reads of it."""
    while True:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        fields = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
        parts = first.split(" ")[1].strip("/").split("/")
        behaviour, number = Behaviour.LONG, 16
        if len(parts) == 2 and parts[0] in list(Behaviour):
            behaviour, number = Behaviour(parts[0]), int(parts[1])
        if behaviour is Behaviour.STOPS_READING:
            await _read_body(reader, number, False)
            await asyncio.sleep(STILL)
        size = int(fields.get("content-length", "0"))
        await _read_body(reader, size, behaviour is Behaviour.READS_SLOWLY)
        yield fields.get("req-id", ""), behaviour, number


async def _answer_long(writer: Writer, body: bytes) -> None:
    """Answer in pieces, so that a host with many long answers still takes short requests."""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
    for at in range(0, len(body), PIECE):
        writer.write(body[at : at + PIECE])
        await writer.drain()


async def _answer_distorted(writer: Writer, number: int) -> None:
    for piece, pause in answer_stream(number).pieces():
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(pause)


async def _serve(reader: Reader, writer: Writer) -> None:
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        async for name, behaviour, number in _requests(reader):
            body = name.encode() + b" "
            if behaviour is Behaviour.SHORT_FIELDS:
                writer.write(answer(body, b"a:\r\n" * number))
            elif behaviour is Behaviour.SHORT_CHUNKS:
                head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                writer.write(head + b"1\r\nx\r\n" * number + b"0\r\n\r\n")
            elif behaviour is Behaviour.GRAMMAR:
                await _answer_distorted(writer, number)
            elif behaviour is Behaviour.LONG:
                await _answer_long(writer, body.ljust(number, b"."))
            else:
                writer.write(answer(body))
            await writer.drain()
    writer.close()


async def main(port: int) -> None:
    """Serve until the process is ended."""
    server = await asyncio.start_server(_serve, "127.0.0.1", port, backlog=1024)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1])))
