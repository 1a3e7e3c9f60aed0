"""A host some of whose answers come a second time, some milliseconds later.

    python copying_host.py PORT EVENTS --work S --share N --late FROM TO --wire S

Every N-th answer is sent once more, FROM to TO seconds after it, if by then no byte of another
request has come on that connection. `--wire` is the time that bytes take each way. The loop waits
by select(2), whose time-outs are finer than a millisecond.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import selectors
import time
from pathlib import Path

TIMER_SLACK = 0.0005  # s


class Connection(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(self, host: CopyingHost) -> None:
        self.host = host
        self.loop = host.loop
        self.buffer = b""
        self.requests = 0  # of which a first byte has come
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Take bytes that the gateway has sent; they have come after the time on the wire."""
        self.loop.call_later(self.host.options.wire, self._come, data)

    def _come(self, data: bytes) -> None:
        if not self.buffer:
            self.requests += 1
        self.buffer += data
        head, end, body = self.buffer.partition(b"\r\n\r\n")
        if not end:
            return
        lines = head.decode("latin-1").split("\r\n")
        fields = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:])}
        if len(body) < int(fields.get("content-length", "0")):
            return
        self.buffer = b""
        name = fields.get("req-id", "")
        self.host.event("runs", name)
        self.loop.call_later(self.host.options.work, self._answer, name)

    def _answer(self, name: str) -> None:
        unit = f"{name};".encode()
        body = (unit * (400 // len(unit) + 1))[:400]
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        self._send(answer)
        self.host.event("answered", name)
        self.host.count += 1
        if self.host.options.share and not self.host.count % self.host.options.share:
            late = random.uniform(*self.host.options.late)
            answered = self.loop.time()
            self.loop.call_later(late, self._copy, name, answer, self.requests, answered)

    def _copy(self, name: str, answer: bytes, requests: int, answered: float) -> None:
        if self.requests != requests or self.transport.is_closing():
            return
        if self.loop.time() - answered > self.host.options.late[1] + TIMER_SLACK:
            return  # this process was held up, and the copy would come too late
        self._send(answer)
        self.host.event("copied", name)

    def _send(self, data: bytes) -> None:
        self.loop.call_later(self.host.options.wire, self._write, data)

    def _write(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)


class CopyingHost:
    """The host, with its record of events."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.loop = asyncio.get_running_loop()
        self.events = Path(options.events).open("a", buffering=1)  # noqa: SIM115 (open to the end)
        self.count = 0

    def event(self, what: str, name: str) -> None:
        """Record an event."""
        self.events.write(json.dumps({"at": time.monotonic(), "what": what, "id": name}) + "\n")


async def main() -> None:
    """Run the host until it is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("port", type=int)
    parser.add_argument("events")
    parser.add_argument("--work", type=float, default=0.02)
    parser.add_argument("--share", type=int, default=0)
    parser.add_argument("--late", type=float, nargs=2, default=(0.002, 0.009))
    parser.add_argument("--wire", type=float, default=0.0005)
    host = CopyingHost(parser.parse_args())
    server = await host.loop.create_server(lambda: Connection(host), "127.0.0.1", host.options.port)
    await server.serve_forever()


if __name__ == "__main__":
    loop = asyncio.SelectorEventLoop(selectors.SelectSelector())
    loop.run_until_complete(main())
