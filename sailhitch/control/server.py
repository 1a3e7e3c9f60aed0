"""Serves the operators' endpoint on its own socket, one request per connection."""

from __future__ import annotations

import asyncio
from typing import Final, cast

from ..core.endpoints import Address
from ..core.log import Log
from .requests import OperatorActions, OperatorRequest, OperatorResponse

MAX_CONNECTIONS: Final = 12  # awaiting a response; a further one closes the oldest
REQUEST_TIMEOUT: Final = 2.5  # s from the connection to the request's last byte
BACKLOG: Final = 64  # length of the kernel's accept queue


class _OperatorConnection(asyncio.Protocol):
    """A connection for one request."""

    def __init__(self, server: OperatorServer) -> None:
        self.server = server
        self.request = OperatorRequest(server.actions)
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.has_responded = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.server.loop.call_later(REQUEST_TIMEOUT, self._time_out)
        self.server.register(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.timer is not None:
            self.timer.cancel()
        self.server.pending.pop(self, None)

    def data_received(self, data: bytes) -> None:
        if self.has_responded:
            return
        try:
            response = self.request.feed(data)
        except Exception as error:
            self.server.log.write_limited(
                "operators", f"an operator's request failed: {error!r:.100}"
            )
            response = OperatorResponse(500, "the call failed here; the log says why")
        if response is not None:
            self.respond(response)

    def respond(self, response: OperatorResponse) -> None:
        """Send the response and close; calls after the first do nothing."""
        if self.has_responded or self.transport is None:
            return
        self.has_responded = True
        self.server.pending.pop(self, None)
        self.transport.write(response.serialize(self.request.method == "HEAD"))
        self.transport.close()

    def _time_out(self) -> None:
        self.respond(OperatorResponse(408, "no whole call came"))


class OperatorServer:
    """Listens for operators' requests.

    Silent clients can't block it: at most MAX_CONNECTIONS await a response, and a new one closes
    the oldest of them. If more requests than that are incomplete at once, the clients of the oldest
    have to repeat them.
    """

    def __init__(self, actions: OperatorActions, log: Log) -> None:
        self.actions = actions
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.pending: dict[_OperatorConnection, None] = {}  # awaiting a response, oldest first
        self.server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Accept connections at an address; raises OSError if it can't be bound."""
        host, port = address
        self.server = await self.loop.create_server(
            lambda: _OperatorConnection(self), host, port, backlog=BACKLOG
        )

    def register(self, connection: _OperatorConnection) -> None:
        """Add a new connection; close the oldest pending one if there are too many."""
        self.pending[connection] = None
        if len(self.pending) > MAX_CONNECTIONS:
            oldest = next(iter(self.pending))
            oldest.respond(OperatorResponse(408, "no whole call came, and others wait"))

    def close(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()
