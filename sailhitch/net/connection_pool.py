"""Connections to the hosts of one pool: opening, reuse and closing."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Coroutine
from typing import Any, Final

from ..core.endpoints import Address, EndpointAddress
from ..core.pool import Pool
from ..core.request_context import Attempt
from ..policy_interface import (
    AttemptOutcome,
    Endpoint,
    EndpointState,
)
from .connector import UNREACHABLE_AFTER, Connector, LocalConnectError
from .system_errors import FailureTracker
from .upstream_connection import UpstreamConnection

# us that a connection stays idle before it is reused. A host may send a response twice, and a copy
# that is some milliseconds late can't be distinguished from the response to the next request.
REUSE_DELAY: Final = 5_000


class Host:
    """A host and its connections. The decision module identifies it by `id` only."""

    __slots__ = ("address", "endpoint", "id", "idle", "open_count", "replaced", "route_failures")

    def __init__(self, listed: Endpoint, addr: Address) -> None:
        self.id = listed.name
        self.endpoint = listed
        self.address = addr
        self.idle: list[UpstreamConnection] = []  # newest last
        self.open_count = 0  # number of connections, including those being established
        self.replaced = False  # a newer host is listed at its address
        self.route_failures = FailureTracker(UNREACHABLE_AFTER)  # no local port, or no route to it

    def take_idle_connection(self, now: int) -> UpstreamConnection | None:
        """Return the newest idle connection that has been idle for REUSE_DELAY."""
        for i in range(len(self.idle) - 1, -1, -1):
            if now - self.idle[i].idle_since >= REUSE_DELAY:
                return self.idle.pop(i)
        return None


HostIdentity = tuple[Address, int, int, int]


def _identity(host: Host) -> HostIdentity:
    """Return the properties, besides its state, that the choice of a host is based on."""
    listed = host.endpoint
    return host.address, listed.started_at, listed.zone, listed.cell


class ConnectionPool:
    """The hosts of a pool and the connections to them; implements `Transport` over HTTP/1.1."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.core = pool.core
        self.hosts: dict[str, Host] = {}
        self.host_by_address: dict[Address, Host] = {}
        self.connections: dict[UpstreamConnection, None] = {}
        self.connecting = 0
        self.opened = 0  # connections opened so far
        self._connector = Connector(pool)

    def size(self) -> int:
        """Return the number of connections, including those being established."""
        return len(self.connections) + self.connecting

    def list_host(self, entry: EndpointAddress) -> None:
        """Add or update a host; close idle connections to an older address or instance."""
        listed = entry.endpoint
        addr = entry.address
        host = self.hosts.get(listed.name)
        is_new_address = host is None or host.address != addr
        if host is None:
            host = self.hosts[listed.name] = Host(listed, addr)
        if host.address != addr or host.endpoint.started_at != listed.started_at:
            self.close_idle(host)
        if host.address != addr:
            self._release_address(host)
        host.address = addr
        host.endpoint = listed
        self._assign_address(host, is_new_address)

    def _assign_address(self, host: Host, is_new_address: bool) -> None:
        """Assign an address to the newest of the hosts that are listed there.

        Two hosts can't share an address. If a host is gone but discovery still lists it, requests
        for it would reach its successor, which is warming up. Should hosts ever be meant to share
        an address, only the newest of them is used.
        """
        other = self.host_by_address.get(host.address)
        if other is host:
            return
        if other is not None:
            ours = host.endpoint.started_at
            theirs = other.endpoint.started_at
            if theirs > ours or (theirs == ours and not is_new_address):
                other, host = host, other
        self.host_by_address[host.address] = host
        host.replaced = False
        if other is not None:
            other.replaced = True
            self.close_idle(other)

    def _release_address(self, host: Host) -> None:
        if self.host_by_address.get(host.address) is host:
            del self.host_by_address[host.address]

    def is_connected(self, attempt: Attempt) -> bool:
        """Return whether the kernel has connected an attempt that still waits for it."""
        return self._connector.is_connected(attempt)

    def drop_host(self, name: str) -> None:
        """Remove a host; its open attempts are completed."""
        host = self.hosts.pop(name, None)
        if host is not None:
            self._release_address(host)
            self.close_idle(host)

    def close_idle(self, host: Host) -> None:
        """Close a host's idle connections."""
        for conn in list(host.idle):
            conn.close()

    def start(self, attempt: Attempt, now: int) -> None:
        """Send an attempt on the newest reusable connection, or on a new one."""
        host = self.hosts.get(attempt.server)
        if host is None or host.replaced:
            self.pool.defer_outcome(attempt, AttemptOutcome.CONNECT_FAILED)
            return
        if self._is_forbidden(attempt) or self._is_abandoned(attempt):
            self.pool.defer_outcome(attempt, AttemptOutcome.NOT_SENT)
            return
        # After a stall, requests may be read before endpoint updates that have waited as long.
        # Connecting takes an iteration of the event loop, and updates are checked after it.
        if not self.pool.may_send(attempt, now, self._is_listed(host)):
            self.pool.defer_outcome(attempt, AttemptOutcome.NOT_SENT)
            return
        outdated = self.core.may_be_outdated(now) and self.pool.has_unread_updates()
        while not outdated and (conn := host.take_idle_connection(now)) is not None:
            # A host closes connections that have been idle for long. A request that crosses the
            # close counts as possibly executed.
            if (
                now - conn.idle_since < self.pool.connection_settings.idle_lifetime
                and conn.is_usable()
                and conn.begin(attempt, now)
            ):
                return
            conn.close()
        if host.idle and not outdated:
            conn = host.idle.pop(0)
            self._start_pending(
                attempt, self._wait_for_reuse(attempt, host, _identity(host), conn), conn.close
            )
        elif self.core.free_descriptor():
            self._count_opening(host)
            self._start_pending(
                attempt,
                self._connect(attempt, host, _identity(host)),
                lambda: self._undo_opening(host),
            )
        else:
            # A failed connection would count against the host. Every host in turn would be ejected
            # because this gateway is out of descriptors.
            self.pool.defer_outcome(attempt, AttemptOutcome.NOT_SENT)

    def _start_pending(
        self, attempt: Attempt, work: Coroutine[Any, Any, None], undo: Callable[[], None]
    ) -> None:
        """Start the task that an attempt waits for; call `undo` if it is cancelled.

        A task that is cancelled in the loop iteration in which it was created never runs, so its
        own cleanup does not run either.
        """
        attempt.pending_connect = task = self.core.loop.create_task(work)
        task.add_done_callback(lambda done: undo() if done.cancelled() else None)

    def _count_opening(self, host: Host) -> None:
        """Count a connection that is about to be opened."""
        self.connecting += 1
        host.open_count += 1

    def _undo_opening(self, host: Host) -> None:
        """Undo `_count_opening` for a connection that was not opened."""
        self.connecting -= 1
        host.open_count -= 1

    async def _wait_for_reuse(
        self, attempt: Attempt, host: Host, chosen: HostIdentity, conn: UpstreamConnection
    ) -> None:
        """Write on a connection after the reuse delay, or on a new one if it was closed."""
        # Cancelling this closes the connection: the host may have moved or restarted meanwhile.
        await asyncio.sleep((conn.idle_since + REUSE_DELAY - self.core.clock()) / 1e6)
        while self.pool.has_unread_updates():
            await asyncio.sleep(0.001)
        if conn.is_usable():
            attempt.pending_connect = None
            self._start_on_connection(attempt, host, chosen, conn)
            return
        conn.close()
        self._count_opening(host)
        await self._connect(attempt, host, chosen)

    async def _connect(self, attempt: Attempt, host: Host, chosen: HostIdentity) -> None:
        """Open a connection for an attempt, and write on it or report the failure."""
        pool = self.pool
        conn = None
        failure = AttemptOutcome.CONNECT_FAILED
        try:
            conn = await self._open_connection(attempt, host, chosen[0])
            while pool.has_unread_updates():
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
                host.open_count -= 1
        attempt.pending_connect = None
        attempt.connect_by = 0
        if conn is not None:
            self.opened += 1
            self.connections[conn] = None
            if conn.transport is None or conn.transport.is_closing():
                conn.close()
                conn = None
        self._start_on_connection(attempt, host, chosen, conn, failure)

    async def _open_connection(
        self, attempt: Attempt, host: Host, address: Address
    ) -> UpstreamConnection | None:
        """Return an open connection; None if the attempt has ended by then.

        Raises OSError if the host can't be reached, and LocalConnectError.
        """
        sock = await self._connector.connect(attempt, host.route_failures, address)
        conn = UpstreamConnection(self, host, sock)
        try:
            # A connection to an unused local port may connect to itself.
            if sock.getsockname() == address or attempt.finished:
                sock.close()
                return None
            await self.core.loop.create_connection(lambda: conn, sock=sock)
        except BaseException:
            if conn.transport is not None:
                conn.transport.abort()
            sock.close()
            raise
        return conn

    def _start_on_connection(
        self,
        attempt: Attempt,
        host: Host,
        chosen: HostIdentity,
        conn: UpstreamConnection | None,
        failure: AttemptOutcome = AttemptOutcome.CONNECT_FAILED,
    ) -> None:
        """Write on a connection that an attempt has waited for, or report its outcome.

        `failure` is the outcome if there is no connection. The decision module chose the host from
        an older endpoint list: meanwhile it may be draining, gone, moved, or restarted and warming
        up.
        """
        pool = self.pool
        now = self.core.clock()
        still_valid = self._is_listed(host) and _identity(host) == chosen
        if conn is not None and not still_valid:
            conn.close()
        if attempt.finished:
            if conn is not None and still_valid:
                self.give_back(conn)
        elif not still_valid:
            pool.attempt_finished(attempt, AttemptOutcome.WITHHELD, None, None)
        elif conn is None:
            pool.attempt_finished(attempt, failure, None, None)
        elif not pool.is_key_remembered(attempt.request, now):
            self.give_back(conn)
            pool.attempt_finished(attempt, AttemptOutcome.WITHHELD, None, None)
        elif self._must_not_send(attempt, now) or not pool.may_send(attempt, now, still_valid):
            self.give_back(conn)
            pool.attempt_finished(attempt, AttemptOutcome.NOT_SENT, None, None)
        elif not conn.begin(attempt, now):
            conn.close()
            pool.attempt_finished(attempt, AttemptOutcome.CONNECT_FAILED, None, None)

    def _must_not_send(self, attempt: Attempt, now: int) -> bool:
        """Return whether an attempt must not be sent now that its connection is open."""
        return (
            now >= attempt.expires_at or self._is_forbidden(attempt) or self._is_abandoned(attempt)
        )

    def _is_forbidden(self, attempt: Attempt) -> bool:
        """Return whether current rules forbid an attempt that was chosen under earlier ones."""
        return self.pool.may_write is not None and not self.pool.may_write(attempt)

    def _is_abandoned(self, attempt: Attempt) -> bool:
        """Return whether nobody waits for this attempt any more.

        While a request waited for a token, a connection, another attempt or its turn, its client
        may have disconnected without the event loop having read that yet.
        """
        request = attempt.request
        return request.closed or request.client is None or request.client.has_disconnected()

    def _is_listed(self, host: Host) -> bool:
        """Return whether new requests may go to the host, by the latest endpoint list."""
        listed = self.hosts.get(host.id) is host and host.endpoint.state == EndpointState.READY
        return listed and not host.replaced

    def give_back(self, conn: UpstreamConnection) -> None:
        """Return a connection to the pool: keep it idle, or close it if its host is gone."""
        conn.idle_since = self.core.clock()
        if self.hosts.get(conn.host.id) is conn.host:
            conn.host.idle.append(conn)
        else:
            conn.close()

    def forget(self, conn: UpstreamConnection) -> None:
        """Remove a closed connection."""
        if conn in self.connections:
            del self.connections[conn]
            conn.host.open_count -= 1
            if conn in conn.host.idle:
                conn.host.idle.remove(conn)

    def _oldest_idle(self) -> UpstreamConnection | None:
        idle = [host.idle[0] for host in self.hosts.values() if host.idle]
        return min(idle, key=lambda conn: conn.idle_since, default=None)

    def oldest_idle(self) -> int | None:
        """Return since when the longest idle connection has been idle; None if none is idle."""
        oldest = self._oldest_idle()
        return None if oldest is None else oldest.idle_since

    def close_oldest_idle(self) -> bool:
        """Close the longest idle connection; return False if none is idle."""
        oldest = self._oldest_idle()
        if oldest is None:
            return False
        oldest.close()
        return True

    def sweep(self, now: int) -> None:
        """Close connections that have been idle for too long, and end stalled responses."""
        for conn in [c for c in self.connections if c.is_stalled(now)]:
            conn.abort_stalled()
        for host in self.hosts.values():
            latest = now - self.pool.connection_settings.idle_lifetime
            for conn in [c for c in host.idle if c.idle_since <= latest]:
                conn.close()

    def give_up_responses(self, share: float) -> int:
        """Fail that share of the incomplete responses, the longest first; return how many."""
        incomplete = [conn for conn in self.connections if conn.unfinished]
        incomplete.sort(key=lambda conn: -conn.unfinished)
        count = math.ceil(share * len(incomplete))
        for conn in incomplete[:count]:
            conn.give_up()
        return count

    def stop(self) -> None:
        """Abort all connections at once."""
        for conn in list(self.connections):
            if conn.transport is not None:
                conn.transport.abort()
