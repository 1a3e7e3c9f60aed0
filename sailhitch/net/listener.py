"""Accept client connections, limited by the file descriptors that are available."""

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
    FailureTracker,
    free_if_persistent,
)
from .tcp_info import data_arrival

ACCEPT_BATCH: Final = 64  # connections accepted in one event loop iteration
ACCEPT_PAUSE: Final = 0.05  # s without accepting after accept(2) failed
SEND_BUFFER: Final = 256 * 1024  # bytes of a response that the kernel may buffer
RECEIVE_BUFFER: Final = 128 * 1024  # bytes of a request body that the kernel may buffer
CLOSE_TIMEOUT: Final = 1_000_000  # us that a closing listener keeps emptying its accept queue


class AcceptResult(Enum):
    """Why a batch of accepts ended."""

    QUEUE_EMPTY = auto()
    MORE_MAY_WAIT = auto()  # the batch is full, or descriptors are about to become free
    SYSTEM_FAILED = auto()  # accept(2) failed; the connection stays in the queue for a later try


class Listener:
    """Accepts a connection only if a descriptor is free for it, and answers 503 otherwise.

    The event loop's own server accepts every waiting connection before the gateway can decide.
    When many clients connect at once, well-behaved ones may be refused too; clients that are
    connected already go on being served.
    """

    def __init__(
        self,
        core: GatewayCore,
        intake: Intake,
        address: Address,
        backlog: int,
        listening_socket: socket.socket | None = None,
    ) -> None:
        """Listen at an address, or on `listening_socket`, which other processes may share.

        Raises OSError if the address can't be bound.
        """
        self.core = core
        self.intake = intake
        self.tasks: set[asyncio.Task[None]] = set()
        self.retired = False
        self._resource_failures = FailureTracker()
        self._backlog_since = 0  # since when connections wait that can't be accepted; 0: none
        self.sock = listening_socket or socket.socket(
            socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK
        )
        # Accepted connections inherit this. By default the kernel buffers megabytes of a response
        # for a client that does not read, and no memory budget accounts for them.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        if listening_socket is not None:
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
        """Start accepting."""
        self.core.loop.add_reader(self.sock, self._on_readable)

    def _on_readable(self) -> None:
        """Accept waiting connections; pause if accept(2) fails, so that the loop does not spin."""
        now = self.core.clock()
        arrived = self.core.earliest_arrival(now)
        if arrived < now and not self._backlog_since:
            self._backlog_since = arrived  # the event loop stalled
        if self._accept(ACCEPT_BATCH) is AcceptResult.SYSTEM_FAILED:
            self._pause_accepting()

    def _accept(self, limit: int, closing: bool = False) -> AcceptResult:
        """Accept up to `limit` connections; when `closing`, do not wait for free descriptors."""
        core = self.core
        for _ in range(limit):
            verdict = core.admission_verdict()
            if verdict == Verdict.WAIT and not closing:
                self._backlog_since = self._backlog_since or core.clock()
                return AcceptResult.MORE_MAY_WAIT  # closing descriptors are free next turn
            try:
                sock, peer = self.sock.accept()
            except BlockingIOError:
                self._backlog_since = 0
                return AcceptResult.QUEUE_EMPTY
            except OSError as error:
                if error.errno in CONNECTION_LOST_IN_QUEUE:
                    continue
                self._accept_failed(error)
                return AcceptResult.SYSTEM_FAILED
            self._resource_failures.on_success()
            if verdict == Verdict.ADMIT and core.admission.admits(core.clock(), peer[0]):
                self._admit(sock, core.admission.on_opened(core.clock(), peer[0]))
            else:
                self._reject_connection(sock)
        # What still waits has waited since this iteration of the loop, at the latest.
        self._backlog_since = self._backlog_since or core.clock()
        return AcceptResult.MORE_MAY_WAIT

    def _accept_failed(self, error: OSError) -> None:
        """Log a failed accept(2), and free descriptors if the failure persists."""
        self._backlog_since = self._backlog_since or self.core.clock()
        self.core.logger.write_limited("accept", f"accept failed: {error.strerror}")
        free_if_persistent(self.core, self._resource_failures, error.errno or 0)

    def adopt(self, descriptor: int) -> None:
        """Take over an idle connection that another process of this gateway hands over."""
        sock = socket.socket(fileno=descriptor)
        try:
            address = sock.getpeername()[0]
        except OSError:
            sock.close()  # the client has disconnected in the meantime
            return
        self._admit(sock, self.core.admission.on_adopted(self.core.clock(), address))

    def _admit(self, sock: socket.socket, slot: ConnectionSlot) -> None:
        """Serve an admitted connection.

        While accepting failed or the event loop stalled, bytes from the client may have waited in
        the kernel. The client's deadline counts from when they arrived.
        """
        client = Downstream(self, sock, slot)
        now = self.core.clock()
        waiting_since = self._backlog_since or self.core.earliest_arrival(now)
        if waiting_since < now and _has_unread_bytes(sock):
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
            sock.close()  # the client has disconnected already
            core.admission.on_closed(client.slot, core.clock())
        finally:
            core.arriving.discard(client)  # attached or closed by now

    def _reject_connection(self, sock: socket.socket) -> None:
        """Answer 503 and close, without a slot.

        Bytes that have arrived are read first: closing with unread bytes would reset the
        connection and lose the response. A request that arrives later crosses the close, and its
        client repeats it.
        """
        self.core.counters.crowded += 1
        self.core.admission.on_rejected()
        self.core.logger.write_limited(
            "crowd", "no free slot for a new client connection; rejected with 503"
        )
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
        """Stop for good: complete open requests, and close each connection after its last one."""
        self.close()
        self.retired = True
        for client in list(self.core.clients):
            if isinstance(client, Downstream) and client.listener is self and client.is_idle():
                client.close_idle(Reason.ANSWERED)

    def stop_accepting(self) -> None:
        """Stop accepting; waiting connections are left to the other processes on this socket."""
        self.core.loop.remove_reader(self.sock)
        self.sock.close()

    def discard(self) -> None:
        """Close the socket without accepting waiting connections."""
        self.sock.close()

    def close(self) -> None:
        """Stop listening, after admitting or rejecting every connection in the accept queue.

        Connections still in the kernel's queue when the socket closes are reset without a response.
        If accept(2) fails, or clients come back as fast as they are rejected, closing is therefore
        delayed by up to CLOSE_TIMEOUT.
        """
        if self.sock.fileno() < 0 or self in self.core.draining_listeners:
            return  # closed already: settings that arrive during shutdown close it again
        self.core.loop.remove_reader(self.sock)
        self._empty_queue(self.core.clock() + CLOSE_TIMEOUT)

    def _empty_queue(self, deadline: int) -> None:
        """Accept a batch of the waiting connections until none is left, then close."""
        result = self._accept(ACCEPT_BATCH, closing=True)
        loop = self.core.loop
        if result is AcceptResult.QUEUE_EMPTY or self.core.clock() >= deadline:
            self.core.draining_listeners.discard(self)
            self.sock.close()
            return
        self.core.draining_listeners.add(self)
        if result is AcceptResult.SYSTEM_FAILED:
            loop.call_later(RETRY_PAUSE, self._empty_queue, deadline)
        else:
            loop.call_soon(self._empty_queue, deadline)


def _has_unread_bytes(sock: socket.socket) -> bool:
    """Return whether the kernel holds unread bytes of a connection."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False
