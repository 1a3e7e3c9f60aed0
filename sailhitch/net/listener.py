"""Accept clients' connections, as many as there are descriptors for."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from enum import Enum, auto
from typing import Final

from ..core.budget import MAX_BUFFERED_BODY
from ..core.core import GatewayCore
from ..core.endpoints import Address
from ..front import ConnectionSlot, Reason, Verdict
from .downstream import Downstream
from .intake import Intake
from .responses import closing_response
from .system_errors import (
    CONNECTION_LOST_IN_QUEUE,
    RETRY_PAUSE,
    Shortage,
    free_if_lasting,
)
from .tcp_info import data_arrival

ACCEPT_BATCH: Final = 64  # connections accepted in one turn of the loop
ACCEPT_PAUSE: Final = 0.05  # s without accepting after an error
SEND_BUFFER: Final = 256 * 1024  # bytes of a response that the kernel may hold
RECEIVE_BUFFER: Final = 128 * 1024  # bytes of a body that the kernel may hold
EMPTYING: Final = 1_000_000  # us for which a closing listener goes on emptying its queue


class Accepted(Enum):
    """Why a round of accepting ended."""

    QUEUE_EMPTY = auto()
    MORE_MAY_WAIT = auto()  # the round's number is reached, or descriptors are about to be free
    SYSTEM_FAILED = auto()  # the connection still waits; it is accepted once the system can


class Listener:
    """Accepts each connection into a free descriptor only, and refuses it where there is none.

    The event loop's own server accepts whatever waits before anybody can decide. A crowd that
    connects at once can so have honest clients refused; those inside go on being served.
    """

    def __init__(
        self,
        core: GatewayCore,
        intake: Intake,
        address: Address,
        backlog: int,
        held: socket.socket | None = None,
    ) -> None:
        """Listen at an address, or on the socket `held` that listens there and others hold too.

        Raises OSError if the address can't be bound.
        """
        self.core = core
        self.intake = intake
        self.backlog = backlog
        self.tasks: set[asyncio.Task[None]] = set()
        self.retired = False
        self._shortage = Shortage()
        self._backlog_since = 0  # since when connections wait that can't be accepted; 0: none do
        self.sock = held or socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        # Accepted connections inherit this. By default the kernel buffers megabytes of a response
        # for a client that reads none of it, which no budget accounts for.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        if held is not None:
            self.sock.setblocking(False)
            return
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.sock.bind(address)
            self.sock.listen(backlog)
        except OSError:
            self.sock.close()
            raise

    # --- Accepting

    def start(self) -> None:
        """Begin to accept."""
        self.core.loop.add_reader(self.sock, self._on_readable)

    def _on_readable(self) -> None:
        """Accept who waits; pause where the system fails, as the loop would spin here."""
        now = self.core.clock()
        arrived = self.core.earliest_arrival(now)
        if arrived < now and not self._backlog_since:
            self._backlog_since = arrived  # the event loop stalled
        if self._accept(ACCEPT_BATCH) is Accepted.SYSTEM_FAILED:
            self._pause_accepting()

    def _accept(self, most: int, last: bool = False) -> Accepted:
        """Accept up to `most` waiting connections; `last` does not wait for descriptors."""
        core = self.core
        for _ in range(most):
            way = core.admission_verdict()
            if way == Verdict.WAIT and not last:
                self._backlog_since = self._backlog_since or core.clock()
                return Accepted.MORE_MAY_WAIT  # descriptors being closed are free in the next turn
            try:
                sock, peer = self.sock.accept()
            except BlockingIOError:
                self._backlog_since = 0
                return Accepted.QUEUE_EMPTY
            except OSError as error:
                if error.errno in CONNECTION_LOST_IN_QUEUE:
                    continue
                self._accept_failed(error)
                return Accepted.SYSTEM_FAILED
            self._shortage.on_success()
            if way == Verdict.ADMIT and core.admission.admits(core.clock(), peer[0]):
                self._admit(sock, core.admission.on_opened(core.clock(), peer[0]))
            else:
                self._reject_connection(sock)
        return Accepted.MORE_MAY_WAIT

    def _accept_failed(self, error: OSError) -> None:
        """Log a failure of the system, and free descriptors where it lasts."""
        self._backlog_since = self._backlog_since or self.core.clock()
        self.core.logger.write_limited("accept", f"accept failed: {error.strerror}")
        free_if_lasting(self.core, self._shortage, error.errno or 0)

    def adopt(self, descriptor: int) -> None:
        """Take over an idle connection that another process of this gateway hands on."""
        sock = socket.socket(fileno=descriptor)
        try:
            address = sock.getpeername()[0]
        except OSError:
            sock.close()  # its client has gone meanwhile
            return
        self._admit(sock, self.core.admission.on_adopted(self.core.clock(), address))

    def _admit(self, sock: socket.socket, slot: ConnectionSlot) -> None:
        """Serve an admitted connection.

        What it has sent may have waited for as long as accepting failed or the event loop
        stalled, and its client's time has run since.
        """
        client = Downstream(self, sock, slot)
        now = self.core.clock()
        waiting_since = self._backlog_since or self.core.earliest_arrival(now)
        if waiting_since < now and _has_bytes(sock):
            client.queued_since = data_arrival(sock, waiting_since, now)
        self.core.arriving.add(client)
        # The event loop itself holds only a weak reference to a task.
        task = self.core.loop.create_task(self._connect(client))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _connect(self, client: Downstream) -> None:
        """Attach the connection to the event loop."""
        core = self.core
        sock = client.sock
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await core.loop.connect_accepted_socket(lambda: client, sock)
        except OSError:
            sock.close()  # it has gone already
            core.admission.on_closed(client.slot, core.clock())
        finally:
            core.arriving.discard(client)  # connected or gone by now

    def _reject_connection(self, sock: socket.socket) -> None:
        """Answer 503 and close, without a slot.

        What has come is read first: a close with bytes unread would reset the connection and lose
        the response. A request that comes later crosses the close, and its client repeats it.
        """
        self.core.counters.crowded += 1
        self.core.admission.on_rejected()
        self.core.logger.write_limited("crowd", "no place for a client's connection; turned away")
        with contextlib.suppress(OSError):
            sock.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                sock.recv(MAX_BUFFERED_BODY)
            sock.send(closing_response(503, self.core.retry_after()))
        sock.close()

    def _pause_accepting(self) -> None:
        """Accept nothing for ACCEPT_PAUSE."""
        self.core.loop.remove_reader(self.sock)
        self.core.loop.call_later(ACCEPT_PAUSE, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self.sock.fileno() >= 0 and self not in self.core.draining_listeners:
            self.core.loop.add_reader(self.sock, self._on_readable)

    # --- Stopping

    def retire(self) -> None:
        """Stop for good: open requests are finished, and their connections end with them."""
        self.close()
        self.retired = True
        for client in list(self.core.clients):
            if isinstance(client, Downstream) and client.listener is self and client.is_idle():
                client.close_idle(Reason.ANSWERED)

    def stop_accepting(self) -> None:
        """Stop accepting; waiting connections are left to others who hold this socket."""
        self.core.loop.remove_reader(self.sock)
        self.sock.close()

    def discard(self) -> None:
        """Close the socket without accepting anybody."""
        self.sock.close()

    def close(self) -> None:
        """Stop listening; who has connected by now is admitted or refused.

        Connections still in the kernel's queue at the socket's close are reset without a response.
        So where the system fails to accept them, the close waits, for EMPTYING at most.
        """
        if self.sock.fileno() < 0 or self in self.core.draining_listeners:
            return  # closed before: settings that come at the process's end do so again
        self.core.loop.remove_reader(self.sock)
        self._empty_queue(self.core.clock() + EMPTYING)

    def _empty_queue(self, give_up: int) -> None:
        """Accept all who wait, then close the socket; again after a failure, until `give_up`."""
        failed = self._accept(self.backlog, last=True) is Accepted.SYSTEM_FAILED
        if failed and self.core.clock() < give_up:
            self.core.draining_listeners.add(self)
            self.core.loop.call_later(RETRY_PAUSE, self._empty_queue, give_up)
            return
        self.core.draining_listeners.discard(self)
        self.sock.close()


def _has_bytes(sock: socket.socket) -> bool:
    """Return whether something has come on a connection that nobody has read from."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False
