"""Takes over state from a predecessor process, and hands it over to a successor.

Owns the links to both, and decides what is sent on them and when. Connections are passed from the
old process to the new one only; maintenance marks are sent both ways while a link is open.
"""

from __future__ import annotations

import asyncio
import os
import socket
from typing import Final

import msgspec

from ..core.interfaces import Connection
from ..core.process import DRAIN_MARGIN, DRAIN_POLL_INTERVAL
from ..core.resource_limits import ResourceLimits
from ..net.listener import Listener
from ..net.platform import Platform
from ..net.system_errors import retry_while_exhausted
from .files import HandoverFiles
from .frames import (
    FrameKind,
    MaintenanceMark,
    SnapshotAssembler,
    descriptors_frame,
    hello_frame,
    maintenance_frame,
    plain_frame,
    read_descriptor_count,
    read_maintenance_mark,
)
from .link import Link, connect, listen
from .maintenance_writer import MaintenanceWriter
from .request_ids import RequestIdSharing, read_request_ids
from .shares import Share
from .snapshot import (
    HandoverError,
    ProcessSnapshot,
    endpoint_update_from,
    maintenance_snapshot,
    restore_maintenance,
    snapshot_endpoints,
    translate_clock,
)
from .successor import Successor

SNAPSHOT_TIMEOUT: Final = 2.0  # s
REPORT_INTERVAL: Final = 0.1  # s between reports of the descriptors held


class Takeover:
    """This process's side of the handover with its predecessor and its successor."""

    def __init__(self, platform: Platform, listener: Listener, files: HandoverFiles) -> None:
        self.platform = platform
        self.listener = listener
        self.files = files
        self.core = platform.core
        self.pool = platform.pool
        self.log = self.core.logger
        self.share = Share()
        self.predecessor: Link | None = None
        self.successor: Successor | None = None
        self.inherited = False
        self.passed_count = 0  # connections, for the log
        self.taken_count = 0
        self.descriptors_elsewhere: dict[Link, int] = {}  # as last reported on each link
        self._maintenance_writer = MaintenanceWriter(
            self.core.loop,
            files,
            lambda: maintenance_snapshot(self.pool.maintenance),
            self.log,
        )
        self._request_ids = RequestIdSharing(self.core)
        self._assembler = SnapshotAssembler()
        self._predecessor_done = asyncio.Event()  # its snapshot has arrived, or will not
        self._listening_socket: socket.socket | None = None
        self._report_timer: asyncio.TimerHandle | None = None
        platform.apply_share = self._apply_share

    # --- Startup

    async def inherit(self) -> None:
        """Take over a predecessor's state, or the stored maintenance marks if there is none."""
        sock = await self._connect_to_predecessor()
        if sock is not None:
            self.predecessor = Link(sock, self._on_predecessor_frame, self._on_predecessor_ended)
            self.share.has_predecessor = True
            self.predecessor.send(hello_frame())
            self._request_ids.add_link(self.predecessor)
            try:
                async with asyncio.timeout(SNAPSHOT_TIMEOUT):
                    await self._predecessor_done.wait()
            except TimeoutError:
                self.log.write("handover: the predecessor is connected but sent no snapshot")
        if not self.inherited:
            self._restore_from_file()
        self._update_share()

    async def _connect_to_predecessor(self) -> socket.socket | None:
        """Return a socket to the predecessor, or None if there is none.

        A shortage of resources is retried: if it counted as no predecessor, that process would
        hand nothing over, and continue to serve beside this one.
        """

        async def connect_once() -> socket.socket | None:
            return connect(self.files.socket)

        try:
            return await retry_while_exhausted(connect_once)
        except OSError as error:
            self.log.write(f"handover: can't connect to {self.files.socket}: {error}")
            return None

    def _restore_from_file(self) -> None:
        try:
            snapshot = self.files.read_maintenance()
        except (HandoverError, OSError) as error:
            self.log.write(f"handover: can't read stored maintenance marks: {error}")
            return
        if snapshot is not None:
            self._restore(snapshot)

    def _restore(self, snapshot: ProcessSnapshot) -> None:
        restore_maintenance(snapshot, self.pool.maintenance)
        update = endpoint_update_from(snapshot)
        if update is not None:
            self.platform.inherit(update)
            if snapshot.policy is not None:
                self.pool.restore_snapshot(snapshot.policy)
        else:
            self.pool.republish(list(snapshot.bans) + list(snapshot.completed_bans))
        bans = ", ".join(snapshot.bans) or "none"
        count = len(snapshot.endpoints)
        self.log.write(f"handover: {count} hosts, out for maintenance: {bans:.300}")

    def open(self) -> None:
        """Start listening for a successor."""
        try:
            self._listening_socket = listen(self.files.socket)
        except OSError as error:
            self.log.write(f"handover: can't listen at {self.files.socket}: {error}")
            return
        self.core.loop.add_reader(self._listening_socket, self._accept)

    def ready(self) -> None:
        """Report to the predecessor that this process serves now."""
        if self.predecessor is not None:
            self.predecessor.send(plain_frame(FrameKind.READY))

    # --- Predecessor

    def _on_predecessor_frame(self, kind: int, payload: bytes, descriptors: list[int]) -> None:
        if kind == FrameKind.CLIENT:
            self._take_clients(descriptors)
            return
        for descriptor in descriptors:
            os.close(descriptor)
        try:
            if kind == FrameKind.SNAPSHOT:
                self._assembler.add(payload)
            elif kind == FrameKind.SNAPSHOT_END:
                self._restore(translate_clock(self._assembler.finish(), self.core.epoch))
                # The predecessor may have failed to write the marks.
                self._maintenance_writer.write()
                self.inherited = True
                self._predecessor_done.set()
            elif kind == FrameKind.DRAINING:
                self.share.predecessor_drains = True
                self._update_share()
            elif self.predecessor is not None:
                self._on_shared_frame(self.predecessor, kind, payload)
        except HandoverError as error:
            self.log.write(
                f"handover: invalid frame from the predecessor, continuing without it: {error}"
            )
            self._predecessor_done.set()

    def _take_clients(self, descriptors: list[int]) -> None:
        for descriptor in descriptors:
            self.taken_count += 1
            self.listener.adopt(descriptor)
            if self.predecessor is not None:
                self.predecessor.send(plain_frame(FrameKind.CLIENT_TAKEN))

    def _on_predecessor_ended(self) -> None:
        self.log.write(
            f"handover: the predecessor disconnected; {self.taken_count} connections taken over"
        )
        if self.predecessor is not None:
            self.descriptors_elsewhere.pop(self.predecessor, None)
            self._request_ids.remove_link(self.predecessor)
        self.predecessor = None
        self.share.has_predecessor = False
        self._predecessor_done.set()
        self._update_share()

    # --- Successor

    def _accept(self) -> None:
        assert self._listening_socket is not None
        try:
            sock, _ = self._listening_socket.accept()
        except OSError:
            return
        if self.successor is not None:
            # There can only be one successor; the latest is the intended one.
            self.successor.link.close()
        self.successor = Successor(sock, self._on_successor_frame, self._on_successor_ended)
        self.share.has_successor = True
        self.share.successor_is_ready = False
        self._update_share()

    def _on_successor_frame(self, kind: int, payload: bytes, descriptors: list[int]) -> None:
        for descriptor in descriptors:
            os.close(descriptor)
        assert self.successor is not None
        if kind == FrameKind.CLIENT_TAKEN:
            self.successor.confirm_client()
        elif kind == FrameKind.HELLO:
            self._request_ids.add_link(self.successor.link)
            self.successor.send_snapshot(payload, self._snapshot())
            self.log.write("handover: sent a snapshot to the successor")
        elif kind == FrameKind.READY:
            self.share.successor_is_ready = True
            self._update_share()
        else:
            try:
                self._on_shared_frame(self.successor.link, kind, payload)
            except HandoverError as error:
                self.log.write(f"handover: invalid frame from the successor: {error}")

    def _snapshot(self) -> ProcessSnapshot:
        return msgspec.structs.replace(
            maintenance_snapshot(self.pool.maintenance),
            list_version=self.platform.discovery.version,
            endpoints=snapshot_endpoints(self.pool.endpoints.values()),
            policy=self.pool.take_snapshot(),
            clock_epoch=self.core.epoch,
        )

    def _on_successor_ended(self) -> None:
        self.log.write("handover: the successor disconnected")
        successor = self.successor
        self.successor = None
        if successor is not None:
            self.descriptors_elsewhere.pop(successor.link, None)
            self._request_ids.remove_link(successor.link)
            self._reclaim_connections(successor)
        self.share.has_successor = False
        self.share.successor_is_ready = False
        self._update_share()

    def _reclaim_connections(self, successor: Successor) -> None:
        """Continue to serve connections that an exited successor did not take."""
        descriptors = successor.reclaim()
        if descriptors is not None:
            self.log.write(
                f"handover: {len(descriptors)} connections were not taken and continue here"
            )
            for descriptor in descriptors:
                self.listener.adopt(descriptor)
        successor.release()

    # --- Both links

    def _links(self) -> list[Link]:
        successor_link = None if self.successor is None else self.successor.link
        return [link for link in (self.predecessor, successor_link) if link is not None]

    def _on_shared_frame(self, link: Link, kind: int, payload: bytes) -> None:
        if kind == FrameKind.MAINTENANCE:
            mark = read_maintenance_mark(payload)
            self.pool.maintenance.add_names((mark.host,))
            self._apply_mark(mark, link)
        elif kind == FrameKind.DESCRIPTORS_HELD:
            count = read_descriptor_count(payload)
            if count is not None:
                self.descriptors_elsewhere[link] = count
                self._update_share()
        elif kind == FrameKind.REQUEST_IDS:
            self._request_ids.apply(read_request_ids(payload))

    def mark_changed(self, host: str, out: bool) -> None:
        """Apply a maintenance mark that was set in this process, and send it to the others."""
        self._apply_mark(MaintenanceMark(host, out, self.core.clock()), None)

    def _apply_mark(self, mark: MaintenanceMark, source: Link | None) -> None:
        self.pool.set_maintenance(mark.host, mark.in_maintenance)
        self._maintenance_writer.write()
        for link in self._links():
            if link is not source:
                link.send(maintenance_frame(mark))

    def _apply_share(self, total: ResourceLimits) -> ResourceLimits:
        return self.share.limits(total, sum(self.descriptors_elsewhere.values()))

    def _update_share(self) -> None:
        """Apply this process's current share."""
        self.platform.resize()
        self.pool.set_share(self.share.client_share())
        if self.share.processes() > 1 and self._report_timer is None:
            self._report_descriptors()

    def _report_descriptors(self) -> None:
        self._report_timer = None
        held_here = self.core.admission.client_descriptors + self.core.upstream_descriptors()
        for link in self._links():
            held_by_others = sum(
                count for other, count in self.descriptors_elsewhere.items() if other is not link
            )
            if not link.has_unsent_frames():  # a stalled process gets the next report
                link.send(descriptors_frame(held_here + held_by_others))
        if self.share.processes() > 1:
            self._report_timer = self.core.loop.call_later(
                REPORT_INTERVAL, self._report_descriptors
            )

    # --- Shutdown

    def can_pass_on(self) -> bool:
        """Return whether a successor accepts connections."""
        return self.successor is not None and self.share.successor_is_ready

    async def pass_on(self) -> None:
        """Drain (SIGTERM): pass each connection to the successor once it is idle.

        No connection is closed, and no request is lost: the successor accepts the clients in the
        listening socket's queue, and unread bytes in a connection's kernel buffer are passed on
        with it.
        """
        core = self.core
        core.drain()
        assert self.successor is not None
        self.successor.link.send(plain_frame(FrameKind.DRAINING))
        self.listener.stop_accepting()
        core.pass_on_connection = self._pass_connection
        deadline = core.drain_until + DRAIN_MARGIN
        while self.can_pass_on() and core.clock() < deadline and self._pass_idle_connections():
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
        core.pass_on_connection = None
        self.log.write(f"handover: {self.passed_count} connections passed on")

    def _pass_idle_connections(self) -> bool:
        """Pass idle connections on; return whether any remain or are in transit.

        While the predecessor is running, its connections may be in transit to this process, and
        would be lost if the link closed.
        """
        clients = list(self.core.clients)
        remaining = [client for client in clients if not self._pass_connection(client)]
        in_transit = self.successor is not None and self.successor.has_pending()
        in_transit = in_transit or self.predecessor is not None or bool(self.core.arriving)
        return in_transit or any(not client.is_closed() for client in remaining)

    def _pass_connection(self, client: Connection) -> bool:
        if self.successor is None or not self.can_pass_on():
            return False
        descriptor = client.detach()
        if descriptor is None:
            return False
        self.passed_count += 1
        self.successor.pass_connection(descriptor)
        return True

    def close(self) -> None:
        """Close both links."""
        self._maintenance_writer.close()
        if self._report_timer is not None:
            self._report_timer.cancel()
        if self._listening_socket is not None:
            self.core.loop.remove_reader(self._listening_socket)
            self._listening_socket.close()
        links = self._links()
        if self.successor is not None:
            self.successor.release()
        for link in links:
            link.on_end = _ignore_end  # it is this process that ends
            link.close()


def _ignore_end() -> None:
    """Ignore the end of a link that this process closes itself."""
