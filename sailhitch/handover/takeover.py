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
from ..core.terms import Bounds
from ..net.listener import Listener
from ..net.platform import Platform
from ..net.system_errors import retry_shortage
from . import legacy as told
from .ban_keeper import BanKeeper
from .files import Places
from .legacy import Ban, HandoverError, Legacy, Pieces
from .link import Link, listen, reach
from .passed_connections import PassedConnections, PeerProcess
from .shares import Share

INHERIT: Final = 2.0  # s that a predecessor may take to tell what it knows
REPORT: Final = 0.1  # s between two words of how many descriptors are held


class Succession:
    """This process's place between the one before and the one after it."""

    def __init__(self, platform: Platform, listener: Listener, places: Places) -> None:
        self.platform, self.listener, self.places = platform, listener, places
        self.core, self.pool = platform.core, platform.pool
        self.log = self.core.logger
        self.share = Share()
        self.before: Link | None = None
        self.after: Link | None = None
        self.inherited = False
        self.passed = self.taken = 0  # connections, for the log
        self._unconfirmed = PassedConnections()
        self._after_process: PeerProcess | None = None
        self._after_confirms = False
        self.others: dict[Link, int] = {}  # descriptors that they hold, by their last word
        self._keeper = BanKeeper(
            self.core.loop, places, lambda: told.bans_of(self.pool.maintenance), self.log
        )
        self._pieces = Pieces()
        self._heard = asyncio.Event()
        self._sock: socket.socket | None = None
        self._report: asyncio.TimerHandle | None = None
        platform.fit = self._fit

    # --- At the start

    async def inherit(self) -> None:
        """Take what a predecessor leaves, or what is kept of bans where none answers."""
        sock = await self._reach_before()
        if sock is not None:
            self.before = Link(sock, self._from_before, self._before_ended)
            self.share.before = True
            self.before.send(bytes((told.HELLO, told.FORM, told.CONFIRMS)))
            try:
                async with asyncio.timeout(INHERIT):
                    await self._heard.wait()
            except TimeoutError:
                self.log.say("handover: the process before is there and tells nothing")
        if not self.inherited:
            self._take_kept()
        self._settle()

    async def _reach_before(self) -> socket.socket | None:
        """Return a socket to the process before, if there is one.

        Danger: taken for absent because of a moment's shortage, it would pass nothing on, and go on
        serving beside this one.
        """

        async def once() -> socket.socket | None:
            return reach(self.places.socket)

        try:
            return await retry_shortage(once)
        except OSError as error:
            self.log.say(f"handover: {self.places.socket} can't be reached: {error}")
            return None

    def _take_kept(self) -> None:
        try:
            kept = self.places.kept()
        except (HandoverError, OSError) as error:
            self.log.say(f"handover: the bans that were kept can't be read: {error}")
            return
        if kept is not None:
            self._take(kept)

    def _take(self, legacy: Legacy) -> None:
        told.take_bans(legacy, self.pool.maintenance)
        roster = told.roster_of(legacy)
        if roster is not None:
            self.platform.inherit(roster)
            if legacy.knowledge is not None:
                self.pool.adopt(legacy.knowledge)
        else:
            self.pool.retell(list(legacy.bans) + list(legacy.returned))
        bans = ", ".join(legacy.bans) or "none"
        self.log.say(f"handover: {len(legacy.hosts)} hosts, out for maintenance: {bans:.300}")

    def open(self) -> None:
        """Be there for a successor from now on."""
        try:
            self._sock = listen(self.places.socket)
        except OSError as error:
            self.log.say(f"handover: no successor can ask: {self.places.socket}: {error}")
            return
        self.core.loop.add_reader(self._sock, self._accept)

    def ready(self) -> None:
        """This process serves from now on."""
        if self.before is not None:
            self.before.send(bytes((told.READY,)))

    # --- The process before

    def _from_before(self, kind: int, payload: bytes, descriptors: list[int]) -> None:
        if kind == told.CLIENT:
            for descriptor in descriptors:
                self.taken += 1
                self.listener.adopt(descriptor)
                if self.before is not None:
                    self.before.send(bytes((told.TAKEN,)))
            return
        for descriptor in descriptors:
            os.close(descriptor)
        try:
            if kind == told.STATE:
                self._pieces.add(payload)
            elif kind == told.WHOLE:
                self._take(told.by_clock_of(self._pieces.whole(), self.core.epoch))
                self._keeper.keep()  # the process before may end without having been able to
                self.inherited = True
                self._heard.set()
            elif kind == told.DRAINING:
                self.share.before_drains = True
                self._settle()
            elif self.before is not None:
                self._from_either(self.before, kind, payload)
        except HandoverError as error:
            self.log.say(f"handover: {error}; going on without")
            self._heard.set()

    def _before_ended(self) -> None:
        self.log.say(f"handover: the process before has ended; {self.taken} connections taken over")
        if self.before is not None:
            self.others.pop(self.before, None)
        self.before = None
        self.share.before = False
        self._heard.set()
        self._settle()

    # --- The process after

    def _accept(self) -> None:
        assert self._sock is not None
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        if self.after is not None:
            # Danger: of two that would follow only one may; the later one is who is waited for.
            self.after.close()
        self.after = Link(sock, self._from_after, self._after_ended)
        self._after_process, self._after_confirms = PeerProcess(sock), False
        self.share.after, self.share.after_ready = True, False
        self._settle()

    def _from_after(self, kind: int, payload: bytes, descriptors: list[int]) -> None:
        for descriptor in descriptors:
            os.close(descriptor)
        assert self.after is not None
        if kind == told.TAKEN:
            self._unconfirmed.taken()
        elif kind == told.HELLO:
            self._after_confirms = payload[1:2] == bytes((told.CONFIRMS,))
            for frame in told.frames(told.pack(self._legacy())):
                self.after.send(frame)
            self.log.say("handover: a process that would follow has been told what is known")
        elif kind == told.READY:
            self.share.after_ready = True
            self._settle()
        else:
            try:
                self._from_either(self.after, kind, payload)
            except HandoverError as error:
                self.log.say(f"handover: from the process after: {error}")

    def _legacy(self) -> Legacy:
        return msgspec.structs.replace(
            told.bans_of(self.pool.maintenance),
            version=self.platform.discovery.version,
            hosts=list(self.pool.listed.values()),
            knowledge=self.pool.knowledge(),
            epoch=self.core.epoch,
        )

    def _after_ended(self) -> None:
        self.log.say("handover: the process that would follow has ended")
        if self.after is not None:
            self.others.pop(self.after, None)
        self.after = None
        self._take_back()
        self.share.after = self.share.after_ready = False
        self._settle()

    def _take_back(self) -> None:
        """Go on with connections that a process that has ended did not take.

        Danger: one that lives and has only left the link may have taken them, and two would read
        from one connection.
        """
        process, self._after_process = self._after_process, None
        if process is None:
            return
        if len(self._unconfirmed) and process.has_ended():
            descriptors = self._unconfirmed.take_back()
            self.log.say(f"handover: {len(descriptors)} connections were not taken, and go on here")
            for descriptor in descriptors:
                self.listener.adopt(descriptor)
        self._unconfirmed.close()
        process.close()

    # --- Both

    def _links(self) -> list[Link]:
        return [link for link in (self.before, self.after) if link is not None]

    def _from_either(self, link: Link, kind: int, payload: bytes) -> None:
        if kind == told.BAN:
            ban = told.read_ban(payload)
            self.pool.maintenance.saw((ban.host,))
            self._act(ban, link)
        elif kind == told.HOLDS and len(payload) == 4:
            self.others[link] = int.from_bytes(payload, "big")
            self._settle()

    def said(self, host: str, out: bool) -> None:
        """Staff have said this here."""
        self._act(Ban(host, out, self.core.clock()), None)

    def _act(self, ban: Ban, source: Link | None) -> None:
        self.pool.by_hand(ban.host, ban.out)
        self._keeper.keep()
        for link in self._links():
            if link is not source:
                link.send(told.ban_frame(ban))

    def _fit(self, whole: Bounds) -> Bounds:
        return self.share.bounds(whole, sum(self.others.values()))

    def _settle(self) -> None:
        """Go by this process's share as it is now."""
        self.platform.resize()
        self.pool.share(self.share.intake())
        if self.share.processes() > 1 and self._report is None:
            self._say_held()

    def _say_held(self) -> None:
        self._report = None
        held = self.core.admission.held + self.core.upstream()
        for link in self._links():
            beyond = sum(count for other, count in self.others.items() if other is not link)
            link.send(bytes((told.HOLDS,)) + (held + beyond).to_bytes(4, "big"))
        if self.share.processes() > 1:
            self._report = self.core.loop.call_later(REPORT, self._say_held)

    # --- At the end

    def can_pass_on(self) -> bool:
        """Whether a successor takes clients in."""
        return self.after is not None and self.share.after_ready

    async def pass_on(self) -> None:
        """SIGTERM with a successor: give it each connection as it falls idle.

        Nobody is closed for it, and no request is left unread: who waits to be taken in is taken in
        by the successor, and what the kernel holds of a request goes with its connection.
        """
        core = self.core
        core.drain()
        assert self.after is not None
        self.after.send(bytes((told.DRAINING,)))
        self.listener.leave_to_others()
        core.passing = self._pass
        last = core.drain_until + AFTERWARDS
        while self.can_pass_on() and core.clock() < last and self._owing():
            await asyncio.sleep(STEP)
        core.passing = None
        self.log.say(f"handover: {self.passed} connections passed on")

    def _owing(self) -> bool:
        """Pass on who is idle; whether anybody is left, or half-way in or out.

        Danger: while the process before lives, its connections may be on their way here, and end
        with a link that is closed on them.
        """
        left = [client for client in list(self.core.clients) if not self._pass(client)]
        waits = self.after is not None and self.after.waits()
        waits = waits or self.before is not None or len(self._unconfirmed) > 0
        return waits or bool(self.core.arriving) or any(not c.is_closed() for c in left)

    def _pass(self, client: Connection) -> bool:
        if self.after is None or not self.can_pass_on():
            return False
        descriptor = client.detach()
        if descriptor is None:
            return False
        self.passed += 1
        if self._after_confirms:
            self._unconfirmed.keep(descriptor)
        self.after.send(bytes((told.CLIENT,)), descriptor)
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
