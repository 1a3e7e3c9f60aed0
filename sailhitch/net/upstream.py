"""Connections to hosts: the pool, and one attempt at a time on each connection.

Owns what is known of an attempt's bytes: whether the last one can have left this process, and
whether what came back is one whole answer. What that means for the request is not decided here.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any, Final, cast

from ..core.budget import HELD_MOST, LONGEST
from ..core.exchange import Attempt
from ..core.interfaces import Client
from ..core.pool import Pool
from ..core.terms import Address, Answer, Entry
from ..core.throughput_watchdog import ThroughputWatchdog
from ..core.upload import Upload
from ..interface import (
    BUSY,
    CANCELLED,
    CONNECT_FAILED,
    ERROR,
    MOOT,
    OK,
    READY,
    RESET,
    WITHHELD,
    Listed,
    Report,
)
from .config import parse_load
from .connector import UNREACHABLE_AFTER, Connector, LocalConnectError
from .http import BODY, WHOLE, AnswerReader, MalformedError, chunk
from .system_errors import Shortage

PIECE: Final = 64 * 1024  # so much of a large request is handed to the transport at a time
# us that a connection rests after an answer. A host may send one twice, the second time some
# milliseconds late (up to 3.8 were seen), and nothing tells that from the next request's answer.
REST: Final = 5_000
SOON: Final = 300_000  # us after its head an answer of unknown length is passed on, whole or not
# A host that is passing an answer on has stopped, or trickles, below these (bytes a second, us).
FLOW_RATE: Final = 4 * 1024
FLOW_GRACE: Final = 10_000_000
FLOW_STALL: Final = 8_000_000


class Host:
    """A host as this gateway reaches it. The module knows it by `id` alone."""

    __slots__ = ("addr", "id", "idle", "listed", "no_way", "open", "replaced")

    def __init__(self, listed: Listed, addr: Address) -> None:
        self.id, self.listed, self.addr = listed.server, listed, addr
        self.idle: list[Upstream] = []  # newest last
        self.open = 0  # connections, those being opened too
        self.replaced = False  # another host is at its address now
        self.no_way = Shortage(UNREACHABLE_AFTER)  # of a local port or a route to it

    def take_rested(self, now: int) -> Upstream | None:
        """The newest idle connection on which no late second answer is to be feared any more."""
        for i in range(len(self.idle) - 1, -1, -1):
            if now - self.idle[i].idle_since >= REST:
                return self.idle.pop(i)
        return None


class Upstream(AnswerReader, asyncio.Protocol):
    """A connection to a host. It carries one attempt at a time, or is idle in its host's pool."""

    __slots__ = (
        "attempt", "body", "budget", "declined", "dropping", "head_at", "held", "host", "hosts",
        "idle_since", "load", "rest", "size", "sock", "taker", "transport", "unsent",
        "upload", "watchdog",
    )  # fmt: skip

    def __init__(self, hosts: Hosts, host: Host, sock: socket.socket) -> None:
        super().__init__()
        self.hosts, self.host, self.sock = hosts, host, sock
        self.budget = hosts.core.budget
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.unsent: memoryview | None = None  # what the transport has not been given yet
        self.upload: Upload | None = None  # a body that still comes
        self.rest = False  # ...and its last byte is not among what is unsent or sent
        self.idle_since = 0
        self.held = 0  # bytes of an answer, as the budget counts them
        self._clear()

    def _clear(self) -> None:
        self.body: bytes | bytearray = b""
        self.size = 0
        self.budget.give_back(self.held)
        self.held = 0
        self.declined = self.dropping = False
        self.load: Report | None = None
        self.taker: Client | None = None  # whom the answer is passed on to as it comes
        self.watchdog: ThroughputWatchdog | None = None  # of the host that is read from
        self.head_at = 0

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
        exchange = attempt.exchange
        upload, last = exchange.upload, True
        left = min(attempt.ends - now, exchange.wait_ms * 1000)
        head, body = exchange.wire(left, self.hosts.pool.stamp)
        if upload is not None:
            body, last = upload.open(self)
            if upload.chunked:
                body = chunk(body, last)
        small = len(body) <= PIECE
        first = head + body if small else head
        try:
            count = self.sock.send(first)
        except OSError:
            # Danger: a full socket is no place to wait in. Its first byte would go out at any later
            # time, to a host that leaves by then or for a client that has left.
            if upload is not None:
                upload.left(self)
            return False
        self.expect()
        self._clear()
        self.attempt, attempt.conn, attempt.written = attempt, self, now
        self.upload, self.rest = upload, not last
        if count < len(first):
            rest = memoryview(first)[count:]
            self.unsent = rest if small else memoryview(b"".join((rest, body)))
        elif not small:
            self.unsent = memoryview(body)
        if self.unsent is not None or self.rest:
            self._push()
        return True

    def more(self, data: bytes, last: bool) -> None:
        """More of a body that still comes; a `Sink`."""
        if self.upload is None or self.attempt is None:
            return
        framed = chunk(data, last) if self.upload.chunked else data
        if self.unsent is not None:
            framed = bytes(self.unsent) + framed
        self.unsent = memoryview(framed) if framed else None
        self.rest = not last
        self._push()

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
        waits = self.rest and transport is not None and not transport.get_write_buffer_size()
        if waits and self.upload is not None:
            self.upload.taken(self)

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
        if self.length is None:
            self.head_at = self.hosts.core.clock()
        elif self.length > LONGEST:
            raise MalformedError("body too large")

    def body_read(self, data: bytes) -> None:
        """Hold what has come of an answer, until it is whole or is passed on.

        Guards against answers without end, said to be long or not. Short ones are held until they
        are whole, as another attempt can make good what breaks off, and all that is held counts
        against the budget. Long ones are held for no more than a read.
        """
        self.size += len(data)
        if self.size > LONGEST:
            raise MalformedError("body too large")
        if self.dropping or (self.status != 200 and not self.hosts.pool.reach.any_status):
            return
        if self.taker is None:
            if not self.budget.take(len(data)):
                raise MalformedError("no room for the body")
            self.held += len(data)
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
        if self.phase == BODY and self.taker is None and self._is_long():
            self._begin_flow(self.attempt)
        if self.taker is not None:
            self._pass_on(len(data))
        if self.phase == WHOLE:
            self._over(self._status())

    # --- An answer that is passed on as it comes

    def _is_long(self) -> bool:
        """Whether an answer that has begun is not to be waited for."""
        if not self.size or self.dropping or self._incomplete():
            return False
        if self.status != 200 and not (self.hosts.pool.reach.any_status and self.status < 500):
            return False
        if self.length is not None:
            return self.length > HELD_MOST
        return self.size > HELD_MOST or self.hosts.core.clock() - self.head_at > SOON

    def _begin_flow(self, attempt: Attempt) -> None:
        answer = Answer(self.status, self.fields, b"")
        length = self.length if not self.chunked else None
        self.taker = self.hosts.pool.begun(attempt, answer, length, self.load, self)
        self.budget.give_back(self.held)
        self.held = 0
        if self.taker is None:
            self.dropping, self.body = True, b""
            return
        self.watchdog = ThroughputWatchdog(
            self.hosts.core.clock(), FLOW_RATE, FLOW_GRACE, FLOW_STALL
        )

    def _pass_on(self, size: int) -> None:
        taker, body = self.taker, self.body
        if self.watchdog is not None:
            self.watchdog.move(size, self.hosts.core.clock())
        if body and taker is not None:
            self.body = b""
            taker.more(bytes(body))

    def hold(self) -> None:
        """The client does not keep up; a `ResponseSource`."""
        if self.transport is not None and self.watchdog is not None:
            self.watchdog.stop(self.hosts.core.clock())
            self.transport.pause_reading()

    def go_on(self) -> None:
        """The client has taken what there was."""
        if self.transport is not None and self.watchdog is not None:
            self.watchdog.go(self.hosts.core.clock())
            self.transport.resume_reading()

    def unwanted(self) -> None:
        """The client has gone in the middle of its answer."""
        self.taker, self.keep = None, False
        self._over(CANCELLED)

    def stands_still(self, now: int) -> bool:
        """Whether the host has stopped in the middle of an answer."""
        return self.watchdog is not None and self.watchdog.overdue(now)

    def give_up(self) -> None:
        """The rest of an answer is not waited for any more."""
        self.keep = False
        self._over(RESET)

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
        if self.hosts.pool.reach.any_status and self.status < 500 and not self._incomplete():
            return OK
        if self.status != 200:
            self.hosts.pool.odd_status(self.host.id, self.status)
        if self.status != 200 or self._incomplete():
            # Danger: a host's other refusals must not reach a client as this gateway's own.
            return ERROR
        return OK

    def _broken(self, otherwise: str) -> str:
        """What an answer means that does not come to its end."""
        if self.phase == BODY and self.status != 200:
            return BUSY if self.declined else ERROR
        # Only what this process still holds is surely not written.
        return CONNECT_FAILED if self._incomplete() and not self.status else otherwise

    def _incomplete(self) -> bool:
        """Whether the request's last byte has surely not been written."""
        return self.unsent is not None or self.rest

    def holds_back(self) -> bool:
        """Whether some of the request is still held here."""
        waits = self.transport is not None and self.transport.get_write_buffer_size() > 0
        return self._incomplete() or waits

    def _over(self, status: str) -> None:
        """The attempt has its outcome; the connection goes back to the pool or is closed."""
        attempt = self.attempt
        if attempt is None:
            return
        self.attempt = attempt.conn = None
        if self.unsent is not None or self.upload is not None:
            self.keep = self.keep and not self._incomplete()
            self._let_go_of_body()
        answer, load = Answer(self.status, self.fields, self.body), self.load
        whole, taker, dropped = self.phase == WHOLE, self.taker, self.dropping
        self._clear()
        if taker is not None:
            self._end_flow(taker, status == OK)
        if self.keep and self.transport is not None and not self.transport.is_closing():
            if not self.transport.is_reading():
                self.transport.resume_reading()  # its last bytes were more than a client could take
            self.hosts.give_back(self)
        else:
            self.close()
        held = whole and not attempt.begun and not dropped
        self.hosts.pool.ended(attempt, status, load, answer if held else None)

    def _end_flow(self, taker: Client, whole: bool) -> None:
        if whole:
            taker.end()
        else:
            self.hosts.core.counters.cut += 1
            taker.cut()

    def _let_go_of_body(self) -> None:
        if self.upload is not None:
            self.upload.left(self)
        self.upload, self.unsent, self.rest = None, None, False

    def abandon(self) -> None:
        """Give up the attempt: its answer may still come, so the connection is never reused."""
        if self.attempt is not None:
            self.attempt.conn = None
        self.attempt = None
        self._let_go_of_body()
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


Chosen = tuple[Address, int, int, int]


def _place(host: Host) -> Chosen:
    """What the module's choice of a host rests on, besides its state."""
    listed = host.listed
    return host.addr, listed.boot, listed.zone, listed.cell


class Hosts:
    """All hosts of a pool and the connections to them: a `Transport` over HTTP/1.1."""

    def __init__(self, pool: Pool) -> None:
        self.pool, self.core = pool, pool.core
        self.hosts: dict[str, Host] = {}
        self.at: dict[Address, Host] = {}  # who is reached at an address
        self.open: dict[Upstream, None] = {}
        self.connecting = 0
        self.opened = 0  # counter
        self._connector = Connector(pool)

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

    def is_connected(self, attempt: Attempt) -> bool:
        return self._connector.is_connected(attempt)

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
        """Send an attempt on the newest idle connection that has rested, or on a new one."""
        host = self.hosts.get(attempt.server)
        if host is None or host.replaced:
            self.pool.later(attempt, CONNECT_FAILED)
            return
        if self._held_back(attempt) or self._unwanted(attempt):
            self.pool.later(attempt, MOOT)
            return
        # Danger: in the turn after a stall requests may be read before news that has waited as long
        # as they have. Connecting takes a turn, and news is looked at after it.
        if not self.pool.may_begin(attempt, now, self._is_there(host)):
            self.pool.later(attempt, MOOT)
            return
        late = self.core.held_up(now) and self.pool.unheard()
        while not late and (conn := host.take_rested(now)) is not None:
            # Danger: a host ends what has stood idle for long, and a request that crosses that
            # counts as one that may have run.
            if (
                now - conn.idle_since < self.pool.reach.idle_life
                and conn.usable()
                and conn.begin(attempt, now)
            ):
                return
            conn.close()
        if host.idle and not late:
            conn = host.idle.pop(0)
            self._wait(attempt, self._rest(attempt, host, _place(host), conn), conn.close)
        elif self.core.make_room():
            self._open(attempt, host, now)
            self._wait(
                attempt, self._connect(attempt, host, _place(host)), lambda: self._unopened(host)
            )
        else:
            # Danger: told as a failed connection this would count against the host, and one host
            # after the other would be shunned for what this gateway lacks.
            self.pool.later(attempt, MOOT)

    def _wait(
        self, attempt: Attempt, work: Coroutine[Any, Any, None], undo: Callable[[], None]
    ) -> None:
        """Have an attempt wait for this work; `undo` if it is taken back before that is done.

        Danger: work that is cancelled in the turn it was made in never begins, and none of it runs,
        what it would let go of at its end included.
        """
        attempt.task = task = self.core.loop.create_task(work)
        task.add_done_callback(lambda done: undo() if done.cancelled() else None)

    def _open(self, attempt: Attempt, host: Host, now: int) -> None:
        """A connection is about to be opened."""
        attempt.connect_by = now + self.pool.reach.connect_timeout
        self.connecting += 1
        host.open += 1

    def _unopened(self, host: Host) -> None:
        """It was not."""
        self.connecting -= 1
        host.open -= 1

    async def _rest(self, attempt: Attempt, host: Host, chosen: Chosen, conn: Upstream) -> None:
        """Write on a connection once it has rested, or on a new one if it does not bear that."""
        # Cancelled here it is closed: its host may have moved or started anew meanwhile.
        await asyncio.sleep((conn.idle_since + REST - self.core.clock()) / 1e6)
        while self.pool.unheard():
            await asyncio.sleep(0.001)
        if conn.usable():
            attempt.task = None
            self._settle_on(attempt, host, chosen, conn)
            return
        conn.close()
        self._open(attempt, host, self.core.clock())
        self.core.schedule(attempt.exchange)
        await self._connect(attempt, host, chosen)

    async def _connect(self, attempt: Attempt, host: Host, chosen: Chosen) -> None:
        """Open a connection for an attempt, and write on it or say why not."""
        pool = self.pool
        conn, failure = None, CONNECT_FAILED
        try:
            conn = await self._open_connection(attempt, host, chosen[0])
            while pool.unheard():
                await asyncio.sleep(0.001)
        except LocalConnectError as error:
            failure = error.status
        except OSError:
            pass
        except asyncio.CancelledError:
            if conn is not None and conn.transport is not None:
                conn.transport.abort()
            conn = None
        finally:
            self.connecting -= 1
            self._connector.forget(attempt)
            if conn is None:
                host.open -= 1
        attempt.task = None
        attempt.connect_by = 0
        if conn is not None:
            self.opened += 1
            self.open[conn] = None
            if conn.transport is None or conn.transport.is_closing():
                conn.close()
                conn = None
        self._settle_on(attempt, host, chosen, conn, failure)

    async def _open_connection(
        self, attempt: Attempt, host: Host, address: Address
    ) -> Upstream | None:
        """Return an open connection; None if the attempt is over by the time it is up.

        Raises OSError where the host can't be reached, and LocalConnectError.
        """
        sock = await self._connector.connect(attempt, host.no_way, address)
        conn = Upstream(self, host, sock)
        try:
            # Danger: on one machine a port that nobody listens on may meet itself.
            if sock.getsockname() == address or attempt.over:
                sock.close()
                return None
            await self.core.loop.create_connection(lambda: conn, sock=sock)
        except BaseException:
            if conn.transport is not None:
                conn.transport.abort()
            sock.close()
            raise
        return conn

    def _settle_on(
        self, attempt: Attempt, host: Host, chosen: Chosen, conn: Upstream | None,
        failure: str = CONNECT_FAILED,
    ) -> None:  # fmt: skip
        """Write on this connection, which took a while to come by, or say why not.

        `failure` is the outcome where there is none.

        Guards what the module chose by an older list: meanwhile news may have come that this host
        leaves, is gone, has moved or has started anew, and is cold.
        """
        pool, now = self.pool, self.core.clock()
        stands = self._is_there(host) and _place(host) == chosen
        if conn is not None and not stands:
            conn.close()
        if attempt.over:
            if conn is not None and stands:
                self.give_back(conn)
        elif not stands:
            pool.ended(attempt, WITHHELD, None, None)
        elif conn is None:
            pool.ended(attempt, failure, None, None)
        elif not pool.remembered(attempt.exchange, now):
            self.give_back(conn)
            pool.ended(attempt, WITHHELD, None, None)
        elif self._is_over(attempt, now) or not pool.may_begin(attempt, now, stands):
            self.give_back(conn)
            pool.ended(attempt, MOOT, None, None)
        elif not conn.begin(attempt, now):
            conn.close()
            pool.ended(attempt, CONNECT_FAILED, None, None)

    def _is_over(self, attempt: Attempt, now: int) -> bool:
        """Whether an attempt that has waited for its connection is not to be made any more."""
        return now >= attempt.ends or self._held_back(attempt) or self._unwanted(attempt)

    def _held_back(self, attempt: Attempt) -> bool:
        """Whether the rules that hold now forbid what the module chose under others."""
        return self.pool.may_write is not None and not self.pool.may_write(attempt)

    def _unwanted(self, attempt: Attempt) -> bool:
        """Whether nobody waits for this one any more.

        Danger: a request that has waited, for a token, a connection, another attempt or its turn,
        may have lost its client in the meantime, and nobody has read the end of that connection.
        """
        exchange = attempt.exchange
        return exchange.closed or exchange.client is None or exchange.client.left()

    def _is_there(self, host: Host) -> bool:
        """Whether new requests may go to it, by the news so far."""
        listed = self.hosts.get(host.id) is host and host.listed.state == READY
        return listed and not host.replaced

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
        """Retire what has stood idle for long, and give up on hosts that stop half-way."""
        for conn in [c for c in self.open if c.stands_still(now)]:
            conn.give_up()
        for host in self.hosts.values():
            while host.idle and now - host.idle[0].idle_since >= self.pool.reach.idle_life:
                host.idle[0].close()

    def stop(self) -> None:
        """Close everything at once."""
        for conn in list(self.open):
            if conn.transport is not None:
                conn.transport.abort()
