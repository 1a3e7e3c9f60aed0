"""A crowd of clients that send distorted messages, in a process of its own.

    python -m tests.memory_limit.grammar_crowd ADDRESS WHAT CONNECTIONS SECONDS

WHAT is `seed:N` (each connection draws what it plays), `request:ELEMENT:FAULT` or
`answer:ELEMENT:FAULT`. Whoever is closed comes back at once.
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

from sailhitch.lab.message import build
from tests.memory_limit.grammar import (
    ANSWER_STREAMS,
    Choice,
    Fault,
    draw,
    request_stream,
)
from tests.memory_limit.host import Behaviour
from tests.memory_limit.reconnecting import ReconnectingClients

DEADLINE_MS = 3000
OPEN_ANSWER = 3_000_000  # bytes of an answer that a client leaves unread behind an open request
_numbers = itertools.count()


def _head(target: str, is_get: bool) -> bytes:
    """Return the lines of a sound request's head, without its framing and its last empty line."""
    name = f"grammar-{os.getpid()}-{next(_numbers)}"
    kind = "pure-all" if is_get else "side_effect-all"
    fields = [("Req-Id", name), ("Req-Kind", kind), ("Req-Deadline-Ms", DEADLINE_MS)]
    head = build("GET" if is_get else "POST", target, fields, b"").partition(b"\r\n\r\n")[0]
    lines = [line for line in head.split(b"\r\n") if not line.startswith(b"Content-Length:")]
    return b"\r\n".join(lines) + b"\r\n"


def parse_choice(text: str, rng: random.Random) -> Choice:
    """Return what a connection plays by the command line's WHAT."""
    side, *rest = text.split(":")
    if side == "seed":
        return draw(rng)
    name, fault = rest[0], Fault(rest[1])
    if side == "answer":
        return Choice(None, ANSWER_STREAMS.index((name, fault)))
    return Choice(request_stream(name, fault))


class GrammarCrowd(ReconnectingClients):
    """The clients of one crowd."""

    def __init__(self, address: str, what: str, until: float) -> None:
        super().__init__(address, until)
        self.what = what
        self.rng = random.Random(what)

    async def connect(self) -> None:
        """Send what is drawn or named."""
        choice = parse_choice(self.what, self.rng)
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setblocking(False)
            await loop.sock_connect(sock, self.address)
            self.connected += 1
            sending = asyncio.ensure_future(self._send(sock, choice))
            try:
                while data := await loop.sock_recv(sock, 65536):
                    self.count_answer(data)
            finally:
                sending.cancel()

    async def _send(self, sock: socket.socket, choice: Choice) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            if choice.request is None:
                target = f"/{Behaviour.GRAMMAR}/{choice.answer_number}"
                await loop.sock_sendall(sock, _head(target, True) + b"\r\n")
                return
            opened = _head(f"/{Behaviour.LONG}/{OPEN_ANSWER}", True) + b"\r\n"
            await loop.sock_sendall(sock, choice.lead.replace(b"{open}", opened))
            for piece, pause in choice.request.pieces(_head("/api", False)):
                await loop.sock_sendall(sock, piece)
                await asyncio.sleep(pause)


async def main(address: str, what: str, connections: int, seconds: float) -> None:
    """Play a crowd for so many seconds."""
    crowd = GrammarCrowd(address, what, time.monotonic() + seconds)
    await crowd.play(connections)
    print(crowd.report())


if __name__ == "__main__":
    _address, _what, _connections, _seconds = sys.argv[1:]
    asyncio.run(main(_address, _what, int(_connections), float(_seconds)))
