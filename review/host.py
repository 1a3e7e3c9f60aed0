"""A host that behaves soundly, as PROTOCOL describes, in a process of its own.

    python host.py PORT EVENTS [--work S] [--answer BYTES] [--pieces BYTES] [--pause S] [--share N]

It writes a line of JSON to EVENTS when the first byte of a request has come, when its last byte
has come, and when its answer is written. The answer has BYTES bytes. With `--pieces` it goes out
in the chunked coding, in pieces of that size, 20 ms apart; from the first SIGUSR1 on, to the next,
the host also takes a pause of `--pause` seconds after the first piece of every N-th answer.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import socket
import time
from pathlib import Path
from typing import Any

PIECE_GAP = 0.02  # s between two pieces of an answer
RECEIVE_BUFFER = 128 * 1024  # bytes


class HostServer:
    """Serves requests, and records them."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.events = Path(options.events).open("a", buffering=1)  # noqa: SIM115 (open to the end)
        self.pauses = False
        self.count = 0

    def event(self, what: str, name: str, **more: Any) -> None:
        """Record an event."""
        self.events.write(json.dumps({"at": time.monotonic(), "what": what, "id": name, **more}))
        self.events.write("\n")

    def toggle(self) -> None:
        """Begin or end to pause."""
        self.pauses = not self.pauses

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        open_request = [""]
        try:
            while True:
                first = await reader.readexactly(1)
                began = time.monotonic()
                head = first + await reader.readuntil(b"\r\n\r\n")
                await self._serve_one(head, began, reader, writer, open_request)
        except (OSError, asyncio.IncompleteReadError) as error:
            if open_request[0]:
                self.event("cut off", open_request[0], why=type(error).__name__)
        writer.close()

    async def _serve_one(
        self,
        head: bytes,
        began: float,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        open_request: list[str],
    ) -> None:
        lines = head.decode("latin-1").split("\r\n")
        fields = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:])}
        name = fields.get("req-id", "")
        open_request[0] = name
        self.event("begins", name, first=began)
        size = await self._read_body(fields, reader)
        self.event("runs", name, bytes=size, told_ms=fields.get("req-deadline-ms"))
        await asyncio.sleep(self.options.work)
        await self._answer(name, writer)
        open_request[0] = ""
        self.event("answered", name)

    async def _read_body(self, fields: dict[str, str], reader: asyncio.StreamReader) -> int:
        if "chunked" in fields.get("transfer-encoding", ""):
            size = 0
            while length := int((await reader.readline()).split(b";")[0], 16):
                await reader.readexactly(length + 2)
                size += length
            await reader.readline()
            return size
        left = size = int(fields.get("content-length", "0"))
        while left:
            data = await reader.read(min(left, 65536))
            if not data:
                raise ConnectionResetError
            left -= len(data)
        return size

    async def _answer(self, name: str, writer: asyncio.StreamWriter) -> None:
        unit = f"{name};".encode()
        size = self.options.answer
        body = (unit * (size // len(unit) + 1))[:size]
        load = b"Srv-Load: queue=0,inflight=1,latency_ms=%d\r\n" % (self.options.work * 1000)
        if not self.options.pieces:
            writer.write(b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n" % (load, size) + body)
            await writer.drain()
            return
        self.count += 1
        pauses = self.pauses and not self.count % self.options.share
        writer.write(b"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n" % load)
        for at in range(0, size, self.options.pieces):
            piece = body[at : at + self.options.pieces]
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            await writer.drain()
            self.event("piece", name, upto=at + len(piece))
            await asyncio.sleep(self.options.pause if pauses and not at else PIECE_GAP)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def main() -> None:
    """Run the host until it is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("port", type=int)
    parser.add_argument("events")
    parser.add_argument("--work", type=float, default=0.03)
    parser.add_argument("--answer", type=int, default=400)
    parser.add_argument("--pieces", type=int, default=0)
    parser.add_argument("--pause", type=float, default=0.0)
    parser.add_argument("--share", type=int, default=1)
    host = HostServer(parser.parse_args())
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, host.toggle)
    sock = socket.socket()
    # A fixed buffer, so that what a silent host's system still takes doesn't hang on its tuning.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", host.options.port))
    server = await asyncio.start_server(host.serve, sock=sock)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
