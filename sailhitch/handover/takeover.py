"""One gateway in two processes: what this one takes from the one before and leaves to the next.

Owns the two links, and when what is said on them. Connections pass one way, from old to new; what
staff say passes both ways for as long as a link stands.
"""

from __future__ import annotations

import asyncio
import os
import socket
from typing import Final

import msgspec

from ..core.interfaces import Connection
from ..core.process import AFTERWARDS, STEP
from ..core.resource_limits import ResourceLimits
from ..net.listener import Listener
from ..net.platform import Platform
from ..net.system_errors import retry_shortage
from . import snapshot as told
from .files import HandoverFiles
from .link import Link, connect, listen
from .maintenance_writer import MaintenanceWriter
from .passed_connections import PassedConnections, PeerProcess
from .shares import Share
from .snapshot import HandoverError, MaintenanceMark, ProcessSnapshot, SnapshotAssembler

INHERIT: Final = 2.0  # s that a predecessor may take to tell what it knows
REPORT: Final = 0.1  # s between two words of how many descriptors are held


class Takeover:
    """This process's place between the one before and the one after it."""

    def __init__(self, platform: Platform, listener: Listener, places: HandoverFiles) -> None:
        self.platform = platform
        self.listener = listener
        self.files = places
        self.core = platform.core
        self.pool = platform.pool
        self.log = self.core.logger
        self.share = Share()
        self.predecessor: Link | None = None
        self.successor: Link | None = None
        self.inherited = False
        self.passed = self.taken = 0  # connections, for the log
        self._unconfirmed = PassedConnections()
        self._after_process: PeerProcess | None = None
        self._after_confirms = False
        # Descriptors that they hold, by their last word.
        self.descriptors_elsewhere: dict[Link, int] = {}
        self._keeper = MaintenanceWriter(
            self.core.loop,
            places,
            lambda: told.maintenance_snapshot(self.pool.maintenance),
            self.log,
        )
        self._pieces = SnapshotAssembler()
        self._heard = asyncio.Event()
        self._sock: socket.socket | None = None
        self._report: asyncio.TimerHandle | None = None
        platform.apply_share = self._apply_share

    # --- At the start

    async def inherit(self) -> None:
        """Take what a predecessor leaves, or what is kept of bans where none answers."""
        sock = await self._connect_to_predecessor()
        if sock is not None:
            self.predecessor = Link(sock, self._on_predecessor_frame, self._on_predecessor_ended)
            self.share.has_predecessor = True
            self.predecessor.send(bytes((told.HELLO, told.FORMAT_VERSION, told.CONFIRMS)))
            try:
                async with asyncio.timeout(INHERIT):
                    await self._heard.wait()
            except TimeoutError:
                self.log.write("handover: the process before is there and tells nothing")
        if not self.inherited:
            self._restore_from_file()
        self._settle()

    async def _connect_to_predecessor(self) -> socket.socket | None:
        """Return a socket to the process before, if there is one.

        Taken for absent because of a moment's shortage, it would pass nothing on, and go on
        serving beside this one.
        """

        async def once() -> socket.socket | None:
            return connect(self.files.socket)

        try:
            return await retry_shortage(once)
        except OSError as error:
            self.log.write(f"handover: {self.files.socket} can't be reached: {error}")
            return None

    def _restore_from_file(self) -> None:
        try:
            kept = self.files.read_maintenance()
        except (HandoverError, OSError) as error:
            self.log.write(f"handover: the bans that were kept can't be read: {error}")
            return
        if kept is not None:
            self._restore(kept)

    def _restore(self, legacy: ProcessSnapshot) -> None:
        told.restore_maintenance(legacy, self.pool.maintenance)
        roster = told.endpoint_update_from(legacy)
        if roster is not None:
            self.platform.inherit(roster)
            if legacy.policy is not None:
                self.pool.restore_snapshot(legacy.policy)
        else:
            self.pool.republish(list(legacy.bans) + list(legacy.completed_bans))
        bans = ", ".join(legacy.bans) or "none"
        self.log.write(f"handover: {len(legacy.endpoints)} hosts, out for maintenance: {bans:.300}")

    def open(self) -> None:
        """Be there for a successor from now on."""
        try:
            self._sock = listen(self.files.socket)
        except OSError as error:
            self.log.write(f"handover: no successor can ask: {self.files.socket}: {error}")
            return
        self.core.loop.add_reader(self._sock, self._accept)

    def ready(self) -> None:
        """This process serves from now on."""
        if self.predecessor is not None:
            self.predecessor.send(bytes((told.READY,)))

    # --- The process before

    def _on_predecessor_frame(self, kind: int, payload: bytes, descriptors: list[int]) -> None:
        if kind == told.CLIENT:
            for descriptor in descriptors:
                self.taken += 1
                self.listener.adopt(descriptor)
                if self.predecessor is not None:
                    self.predecessor.send(bytes((told.CLIENT_TAKEN,)))
            return
        for descriptor in descriptors:
            os.close(descriptor)
        try:
            if kind == told.STATE:
                self._pieces.add(payload)
            elif kind == told.STATE_END:
                self._restore(told.translate_clock(self._pieces.finish(), self.core.epoch))
                self._keeper.write()  # the process before may end without having been able to
                self.inherited = True
                self._heard.set()
            elif kind == told.DRAINING:
                self.share.predecessor_drains = True
                self._settle()
            elif self.predecessor is not None:
                self._from_either(self.predecessor, kind, payload)
        except HandoverError as error:
            self.log.write(f"handover: {error}; going on without")
            self._heard.set()

    def _on_predecessor_ended(self) -> None:
        self.log.write(
            f"handover: the process before has ended; {self.taken} connections taken over"
        )
        if self.predecessor is not None:
            self.descriptors_elsewhere.pop(self.predecessor, None)
        self.predecessor = None
        self.share.has_predecessor = False
        self._heard.set()
        self._settle()

    # --- The process after

    def _accept(self) -> None:
        assert self._sock is not None
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        if self.successor is not None:
            # Of two that would follow only one may; the later one is who is waited for.
            self.successor.close()
        self.successor = Link(sock, self._on_successor_frame, self._on_successor_ended)
        self._after_process = PeerProcess(sock)
        self._after_confirms = False
        self.share.has_successor = True
        self.share.successor_is_ready = False
        self._settle()

    def _on_successor_frame(self, kind: int, payload: bytes, descriptors: list[int]) -> None:
        for descriptor in descriptors:
            os.close(descriptor)
        assert self.successor is not None
        if kind == told.CLIENT_TAKEN:
            self._unconfirmed.taken()
        elif kind == told.HELLO:
            self._after_confirms = payload[1:2] == bytes((told.CONFIRMS,))
            for frame in told.frames(told.encode_snapshot(self._snapshot())):
                self.successor.send(frame)
            self.log.write("handover: a process that would follow has been told what is known")
        elif kind == told.READY:
            self.share.successor_is_ready = True
            self._settle()
        else:
            try:
                self._from_either(self.successor, kind, payload)
            except HandoverError as error:
                self.log.write(f"handover: from the process after: {error}")

    def _snapshot(self) -> ProcessSnapshot:
        return msgspec.structs.replace(
            told.maintenance_snapshot(self.pool.maintenance),
            list_version=self.platform.discovery.version,
            endpoints=told.snapshot_endpoints(self.pool.endpoints.values()),
            policy=self.pool.take_snapshot(),
            clock_epoch=self.core.epoch,
        )

    def _on_successor_ended(self) -> None:
        self.log.write("handover: the process that would follow has ended")
        if self.successor is not None:
            self.descriptors_elsewhere.pop(self.successor, None)
        self.successor = None
        self._take_back()
        self.share.has_successor = self.share.successor_is_ready = False
        self._settle()

    def _take_back(self) -> None:
        """Go on with connections that a process that has ended did not take.

        One that lives and has only left the link may have taken them, and two would read
        from one connection.
        """
        process = self._after_process
        self._after_process = None
        if process is None:
            return
        if len(self._unconfirmed) and process.has_ended():
            descriptors = self._unconfirmed.take_back()
            self.log.write(
                f"handover: {len(descriptors)} connections were not taken, and go on here"
            )
            for descriptor in descriptors:
                self.listener.adopt(descriptor)
        self._unconfirmed.close()
        process.close()

    # --- Both

    def _links(self) -> list[Link]:
        return [link for link in (self.predecessor, self.successor) if link is not None]

    def _from_either(self, link: Link, kind: int, payload: bytes) -> None:
        if kind == told.MAINTENANCE:
            ban = told.read_maintenance_mark(payload)
            self.pool.maintenance.add_names((ban.host,))
            self._act(ban, link)
        elif kind == told.DESCRIPTORS_HELD and len(payload) == 4:
            self.descriptors_elsewhere[link] = int.from_bytes(payload, "big")
            self._settle()

    def mark_changed(self, host: str, out: bool) -> None:
        """Staff have said this here."""
        self._act(MaintenanceMark(host, out, self.core.clock()), None)

    def _act(self, ban: MaintenanceMark, source: Link | None) -> None:
        self.pool.set_maintenance(ban.host, ban.in_maintenance)
        self._keeper.write()
        for link in self._links():
            if link is not source:
                link.send(told.maintenance_frame(ban))

    def _apply_share(self, whole: ResourceLimits) -> ResourceLimits:
        return self.share.limits(whole, sum(self.descriptors_elsewhere.values()))

    def _settle(self) -> None:
        """Go by this process's share as it is now."""
        self.platform.resize()
        self.pool.set_share(self.share.intake())
        if self.share.processes() > 1 and self._report is None:
            self._report_descriptors()

    def _report_descriptors(self) -> None:
        self._report = None
        held = self.core.admission.held + self.core.upstream_descriptors()
        for link in self._links():
            beyond = sum(
                count for other, count in self.descriptors_elsewhere.items() if other is not link
            )
            link.send(bytes((told.DESCRIPTORS_HELD,)) + (held + beyond).to_bytes(4, "big"))
        if self.share.processes() > 1:
            self._report = self.core.loop.call_later(REPORT, self._report_descriptors)

    # --- At the end

    def can_pass_on(self) -> bool:
        """Return whether a successor takes clients in."""
        return self.successor is not None and self.share.successor_is_ready

    async def pass_on(self) -> None:
        """SIGTERM with a successor: give it each connection as it falls idle.

        Nobody is closed for it, and no request is left unread: who waits to be taken in is taken in
        by the successor, and what the kernel holds of a request goes with its connection.
        """
        core = self.core
        core.drain()
        assert self.successor is not None
        self.successor.send(bytes((told.DRAINING,)))
        self.listener.stop_accepting()
        core.pass_on_connection = self._pass
        last = core.drain_until + AFTERWARDS
        while self.can_pass_on() and core.clock() < last and self._owing():
            await asyncio.sleep(STEP)
        core.pass_on_connection = None
        self.log.write(f"handover: {self.passed} connections passed on")

    def _owing(self) -> bool:
        """Pass on who is idle; whether anybody is left, or half-way in or out.

        While the process before lives, its connections may be on their way here, and end
        with a link that is closed on them.
        """
        left = [client for client in list(self.core.clients) if not self._pass(client)]
        waits = self.successor is not None and self.successor.waits()
        waits = waits or self.predecessor is not None or len(self._unconfirmed) > 0
        return waits or bool(self.core.arriving) or any(not c.is_closed() for c in left)

    def _pass(self, client: Connection) -> bool:
        if self.successor is None or not self.can_pass_on():
            return False
        descriptor = client.detach()
        if descriptor is None:
            return False
        self.passed += 1
        if self._after_confirms:
            self._unconfirmed.keep(descriptor)
        self.successor.send(bytes((told.CLIENT,)), descriptor)
        return True

    def close(self) -> None:
        """End both links."""
        self._keeper.close()
        if self._report is not None:
            self._report.cancel()
        if self._sock is not None:
            self.core.loop.remove_reader(self._sock)
            self._sock.close()
        self._unconfirmed.close()
        if self._after_process is not None:
            self._after_process.close()
        for link in self._links():
            link.on_end = lambda: None  # this process has ended, and not the other
            link.close()
