"""The operators' door on its socket: a few connections of its own, each for one call."""

from __future__ import annotations

import asyncio
from typing import Final, cast

from ..core.log import Log
from ..core.terms import Address
from .calls import Acts, Call, Reply

SEATS: Final = 12  # calls at a time; the oldest unfinished one goes when one more comes
PATIENCE: Final = 2.5  # s for a whole call
BACKLOG: Final = 64


class _Caller(asyncio.Protocol):
    """A connection, for one call."""

    def __init__(self, desk: Desk) -> None:
        self.desk = desk
        self.call = Call(desk.acts)
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.desk.loop.call_later(PATIENCE, self._late)
        self.desk.sit(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.timer is not None:
            self.timer.cancel()
        self.desk.callers.pop(self, None)

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return
        try:
            reply = self.call.feed(data)
        except Exception as error:
            self.desk.log.often("operators", f"a call of the operators failed: {error!r:.100}")
            reply = Reply(500, "the call failed here; the log says why")
        if reply is not None:
            self.answer(reply)

    def answer(self, reply: Reply) -> None:
        """Give the one answer and close."""
        if self.answered or self.transport is None:
            return
        self.answered = True
        self.desk.callers.pop(self, None)
        self.transport.write(reply.wire(self.call.method == "HEAD"))
        self.transport.close()

    def _late(self) -> None:
        self.answer(Reply(408, "no whole call came"))


class Desk:
    """Listens where the operators call.

    Guards against callers who hold a connection and say nothing: they have a few places among
    themselves, and one that comes with a call never waits for them. It does harm where more calls
    than places are half-way in at the same moment; the oldest of them must come again.
    """

    def __init__(self, acts: Acts, log: Log) -> None:
        self.acts, self.log = acts, log
        self.loop = asyncio.get_running_loop()
        self.callers: dict[_Caller, None] = {}  # without an answer yet, oldest first
        self.server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Take calls; raises OSError."""
        host, port = address
        self.server = await self.loop.create_server(
            lambda: _Caller(self), host, port, backlog=BACKLOG
        )

    def sit(self, caller: _Caller) -> None:
        """One has come; the oldest that has not said what it wants makes room."""
        self.callers[caller] = None
        if len(self.callers) > SEATS:
            next(iter(self.callers)).answer(Reply(408, "no whole call came, and others wait"))

    def close(self) -> None:
        """Take no more calls."""
        if self.server is not None:
            self.server.close()
