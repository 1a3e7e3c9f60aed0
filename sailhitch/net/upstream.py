"""Connections to hosts: the pool, and one attempt at a time on each connection.

Owns what is known of an attempt's bytes: whether the last one can have left this process, and
whether what came back is one whole answer. What that means for the request is not decided here.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Final, cast

from ..core.budget import MAX_ANSWER
from ..core.exchange import Attempt
from ..core.pool import Pool
from ..core.terms import Address, Answer, Entry
from ..interface import BUSY, CONNECT_FAILED, ERROR, MOOT, OK, RESET, Listed, Report
from .config import parse_load
from .http import BODY, WHOLE, AnswerReader, MalformedError

PIECE: Final = 64 * 1024  # so much of a large request is handed to the transport at a time


class Host:
    """A host as this gateway reaches it. The module knows it by `id` alone."""

    __slots__ = ("addr", "id", "idle", "listed", "open", "replaced")

    def __init__(self, listed: Listed, addr: Address) -> None:
        self.id, self.listed, self.addr = listed.server, listed, addr
        self.idle: list[Upstream] = []  # newest last
        self.open = 0  # connections, those being opened too
        self.replaced = False  # another host is at its address now


class Upstream(AnswerReader, asyncio.Protocol):
    """A connection to a host. It carries one attempt at a time, or is idle in its host's pool."""

    __slots__ = (
        "attempt", "body", "budget", "declined", "held", "host", "hosts", "idle_since", "load",
        "size", "sock", "transport", "unsent",
    )  # fmt: skip

    def __init__(self, hosts: Hosts, host: Host, sock: socket.socket) -> None:
        super().__init__()
        self.hosts, self.host, self.sock = hosts, host, sock
        self.budget = hosts.core.budget
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.unsent: memoryview | None = None  # what the transport has not been given yet
        self.idle_since = 0
        self.held = 0  # bytes of an answer, as the budget counts them
        self._clear()

    def _clear(self) -> None:
        self.body: bytes | bytearray = b""
        self.size = 0
        self.budget.give_back(self.held)
        self.held = 0
        self.declined = False
        self.load: Report | None = None

    # --- The request

    def usable(self) -> bool:
        """Whether an idle connection is still open and silent, also by what the loop has not read.

        Danger: a host that closed it may have done so while this process was busy. A request
        written then would end as "may have run" for no reason.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False  # an end, or bytes that nobody asked for

    def begin(self, attempt: Attempt, now: int) -> bool:
        """Write the attempt's request; False if surely none of it has left."""
        head, body = attempt.exchange.wire(attempt.ends - now)
        small = len(body) <= PIECE
        first = head + body if small else head
        try:
            count = self.sock.send(first)
        except BlockingIOError:
            count = 0
        except OSError:
            return False
        self.expect()
        self._clear()
        self.attempt, attempt.conn = attempt, self
        if count < len(first):
            rest = memoryview(first)[count:]
            self.unsent = rest if small else memoryview(b"".join((rest, body)))
        elif not small:
            self.unsent = memoryview(body)
        if self.unsent is not None:
            self._push()
        return True

    def _push(self) -> None:
        """Hand on what is left in pieces, each when the one before has gone out.

        Danger: a transport takes any amount. What it holds is memory, and no proof of anything.
        """
        transport = self.transport
        while self.unsent is not None and transport is not None:
            if transport.get_write_buffer_size():
                return  # `resume_writing` goes on
            piece, self.unsent = self.unsent[:PIECE], self.unsent[PIECE:]
            if not self.unsent:
                self.unsent = None
            transport.write(piece)

    def resume_writing(self) -> None:
        self._push()

    # --- The answer

    def head_read(self) -> None:
        declined = False
        for low, _, value in self.fields:
            if low == b"srv-load":
                load = parse_load(value)
                if load:
                    self.load = Report(load.get("queue"), load.get("service"), load.get("inflight"))
            elif low == b"srv-declined":
                declined = value.strip() == b"1"
        self.declined = declined and self.status in (503, 504)
        if self.length is not None and self.length > MAX_ANSWER:
            raise MalformedError("body too large")

    def body_read(self, data: bytes) -> None:
        """Hold what has come of an answer.

        Guards against answers without end, said to be long or not: each is held until it is whole,
        as a client must not get half of one, and all of them count against the budget. It does
        harm if hosts ever have much more to say than they do, or many long answers at a time.
        """
        self.size += len(data)
        if self.size > MAX_ANSWER:
            raise MalformedError("body too large")
        if not self.budget.take(len(data)):
            raise MalformedError("no room for the body")
        self.held += len(data)
        if self.status != 200 and not self.hosts.pool.reach.any_status:
            return
        if not self.body:
            self.body = data
        else:
            if not isinstance(self.body, bytearray):
                self.body = bytearray(self.body)
            self.body += data

    def data_received(self, data: bytes) -> None:
        if self.attempt is None:
            self.close()  # bytes that nobody asked for
            return
        try:
            self.feed(data)
        except MalformedError as error:
            self.hosts.pool.malformed(self.host.id, str(error))
            self.keep = False
            self._over(self._broken(ERROR))
            return
        if self.phase == WHOLE:
            self._over(self._status())

    def eof_received(self) -> None:
        self.keep = False
        if self.attempt is not None and self.ended():
            self._over(self._status())

    def connection_lost(self, exc: Exception | None) -> None:
        self.parser = None  # it holds this object in turn
        self.hosts.forget(self)
        if self.attempt is not None:
            self._over(self._broken(RESET))

    def _status(self) -> str:
        """What a whole answer means."""
        if self.declined:
            return BUSY
        if self.hosts.pool.reach.any_status and self.status < 500 and self.unsent is None:
            return OK
        if self.status != 200:
            self.hosts.pool.odd_status(self.host.id, self.status)
        if self.status != 200 or self.unsent is not None:
            # Danger: a host's other refusals must not reach a client as this gateway's own.
            return ERROR
        return OK

    def _broken(self, otherwise: str) -> str:
        """What an answer means that does not come to its end."""
        if self.phase == BODY and self.status != 200:
            return BUSY if self.declined else ERROR
        # Only what this process still holds is surely not written.
        return CONNECT_FAILED if self.unsent is not None and not self.status else otherwise

    def _over(self, status: str) -> None:
        """The attempt has its outcome; the connection goes back to the pool or is closed."""
        attempt = self.attempt
        if attempt is None:
            return
        self.attempt = attempt.conn = None
        if self.unsent is not None:
            self.keep, self.unsent = False, None
        answer, load = Answer(self.status, self.fields, self.body), self.load
        whole = self.phase == WHOLE
        self._clear()
        if self.keep and self.transport is not None and not self.transport.is_closing():
            self.hosts.give_back(self)
        else:
            self.close()
        self.hosts.pool.ended(attempt, status, load, answer if whole else None)

    def abandon(self) -> None:
        """Give up the attempt: its answer may still come, so the connection is never reused."""
        if self.attempt is not None:
            self.attempt.conn = None
        self.attempt = None
        self.unsent = None
        self._clear()
        self.close()

    def close(self) -> None:
        """Close at once, with nothing more written."""
        self.hosts.forget(self)
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)


class Hosts:
    """All hosts of a pool and the connections to them: a `Transport` over HTTP/1.1."""

    def __init__(self, pool: Pool) -> None:
        self.pool, self.core = pool, pool.core
        self.hosts: dict[str, Host] = {}
        self.at: dict[Address, Host] = {}  # who is reached at an address
        self.open: dict[Upstream, None] = {}
        self.connecting = 0
        self.opened = 0  # counter

    def size(self) -> int:
        return len(self.open) + self.connecting

    def list_host(self, entry: Entry) -> None:
        """A host as discovery tells it. Connections to an older address or process are dropped."""
        listed, addr = entry.listed, entry.addr
        host = self.hosts.get(listed.server)
        fresh = host is None or host.addr != addr
        if host is None:
            host = self.hosts[listed.server] = Host(listed, addr)
        if host.addr != addr or host.listed.boot != listed.boot:
            self.hang_up(host)
        if host.addr != addr:
            self._leave(host)
        host.addr, host.listed = addr, listed
        self._settle(host, fresh)

    def _settle(self, host: Host, fresh: bool) -> None:
        """Two hosts can't be at one address: the one that started later is, or came there later.

        Guards against requests meant for a host that has gone, of which discovery has not yet
        said so, reaching the one that came in its place, which is cold. It does harm if several
        hosts are ever meant to share an address; then only the newest of them is used.
        """
        other = self.at.get(host.addr)
        if other is host:
            return
        if other is not None:
            ours, theirs = host.listed.boot, other.listed.boot
            if theirs > ours or (theirs == ours and not fresh):
                other, host = host, other
        self.at[host.addr] = host
        host.replaced = False
        if other is not None:
            other.replaced = True
            self.hang_up(other)

    def _leave(self, host: Host) -> None:
        if self.at.get(host.addr) is host:
            del self.at[host.addr]

    def drop_host(self, name: str) -> None:
        """A host is gone for good; what is out at it runs on to its end."""
        host = self.hosts.pop(name, None)
        if host is not None:
            self._leave(host)
            self.hang_up(host)

    def hang_up(self, host: Host) -> None:
        for conn in list(host.idle):
            conn.close()

    def start(self, attempt: Attempt, now: int) -> None:
        """Send an attempt on the newest idle connection, or on a new one."""
        host = self.hosts.get(attempt.server)
        if host is None or host.replaced:
            self.pool.later(attempt, CONNECT_FAILED)
            return
        while host.idle:
            conn = host.idle.pop()
            # Danger: a host ends what has stood idle for long, and a request that crosses that
            # counts as one that may have run.
            if (
                now - conn.idle_since < self.pool.reach.idle_life
                and conn.usable()
                and conn.begin(attempt, now)
            ):
                return
            conn.close()
        if not self.core.make_room():
            # Danger: told as a failed connection this would count against the host, and one host
            # after the other would be shunned for what this gateway lacks.
            self.pool.later(attempt, MOOT)
            return
        attempt.connect_by = now + self.pool.reach.connect_timeout
        self.connecting += 1
        host.open += 1
        attempt.task = self.core.loop.create_task(self._connect(attempt, host))

    async def _connect(self, attempt: Attempt, host: Host) -> None:
        core, pool = self.core, self.pool
        conn = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        except OSError:
            # Danger: what escapes here leaves the attempt to its time-out, and counted as under
            # way for ever. It says nothing of the host: the system has no descriptor.
            self.connecting -= 1
            host.open -= 1
            attempt.task, attempt.connect_by = None, 0
            core.exhausted()
            if not attempt.over:
                pool.ended(attempt, MOOT, None, None)
            return
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            addr = host.addr
            await core.loop.sock_connect(sock, addr)
            # Danger: on one machine a port that nobody listens on may meet itself.
            if sock.getsockname() != addr and not attempt.over:
                conn = Upstream(self, host, sock)
                made = conn
                await core.loop.create_connection(lambda: made, sock=sock)
        except OSError:
            conn = None
        except asyncio.CancelledError:
            if conn is not None and conn.transport is not None:
                conn.transport.abort()
            conn = None
        finally:
            self.connecting -= 1
            if conn is None:
                host.open -= 1
                sock.close()
        attempt.task = None
        attempt.connect_by = 0
        if conn is not None:
            self.opened += 1
            self.open[conn] = None
            if host.addr != addr or conn.transport is None or conn.transport.is_closing():
                conn.close()
                conn = None
        now = core.clock()
        if attempt.over:
            if conn is not None:
                self.give_back(conn)
        elif conn is None:
            pool.ended(attempt, CONNECT_FAILED, None, None)
        elif attempt.exchange.closed or now >= attempt.ends:
            self.give_back(conn)
            pool.ended(attempt, MOOT, None, None)
        elif not conn.begin(attempt, now):
            conn.close()
            pool.ended(attempt, CONNECT_FAILED, None, None)

    def give_back(self, conn: Upstream) -> None:
        conn.idle_since = self.core.clock()
        if self.hosts.get(conn.host.id) is conn.host:
            conn.host.idle.append(conn)
        else:
            conn.close()

    def forget(self, conn: Upstream) -> None:
        if conn in self.open:
            del self.open[conn]
            conn.host.open -= 1
            if conn in conn.host.idle:
                conn.host.idle.remove(conn)

    def _oldest_idle(self) -> Upstream | None:
        idle = [host.idle[0] for host in self.hosts.values() if host.idle]
        return min(idle, key=lambda conn: conn.idle_since, default=None)

    def oldest_idle(self) -> int | None:
        """Since when the connection has stood idle that has done so longest."""
        oldest = self._oldest_idle()
        return None if oldest is None else oldest.idle_since

    def close_oldest_idle(self) -> bool:
        """Free a descriptor: the connection that has stood idle longest."""
        oldest = self._oldest_idle()
        if oldest is None:
            return False
        oldest.close()
        return True

    def sweep(self, now: int) -> None:
        """Retire what has stood idle for long."""
        for host in self.hosts.values():
            while host.idle and now - host.idle[0].idle_since >= self.pool.reach.idle_life:
                host.idle[0].close()

    def stop(self) -> None:
        """Close everything at once."""
        for conn in list(self.open):
            if conn.transport is not None:
                conn.transport.abort()
