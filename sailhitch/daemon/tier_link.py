"""A member's link to the others: its socket, its disk and its beat around the tier's core.

Effects happen in the order in which the core asks for them, and none before what has to be on disk
ahead of it is there; the disk is written in a thread, one transaction at a time. While it can't be
written the member neither sends nor acts by anything in the tier, and the gateway goes on as it
was. The write is tried again until it succeeds, and the effects behind it happen then.
"""

from __future__ import annotations

import asyncio
import errno
import random
import secrets
import time
from collections import deque
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, Final

import msgspec

from ..core.terms import Address
from ..tier.content_store import ContentStore
from ..tier.disk import Disk, DiskError
from ..tier.effects import Act, Acting, Done, Effect, Keep, Send, Tell
from ..tier.member import CONTENT, KNOWN, Founding, Member, MemberStatus, TierConfig
from ..tier.messages import Decided as HeadDecided
from ..tier.messages import Message
from ..tier.wire import Keys, Wire
from .places import address_of

BEAT: Final = 0.1  # s
HELD_UP: Final = 40_000  # us by which a beat may be late before datagrams are read ahead of it
READ_FIRST: Final = 0.001  # s that the loop gets for that
LATE: Final = 5.0  # s between two lines about datagrams that were refused
WRITE_RETRY: Final = 0.1  # s until a write that failed is tried again; doubles with each failure...
WRITE_RETRY_MAX: Final = 2.0  # ...up to this


def steady() -> int:
    """Microseconds of a clock that no hand sets and that runs on while the machine sleeps."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class LinkError(Exception):
    """The link can't be had; the text says why."""


class Link(asyncio.DatagramProtocol):
    """Runs a member's core."""

    def __init__(
        self, terms: TierConfig, addresses: Mapping[str, Address], keys: Keys, folder: Path,
        act: Callable[[Acting], None], say: Callable[[str], None],
    ) -> None:  # fmt: skip
        """Raises DiskError."""
        self.terms, self.addresses, self.act, self.say = terms, addresses, act, say
        self.boot = secrets.randbits(48)
        self.wire = Wire(keys, terms.name, self.boot)
        self.disk = Disk(folder)
        self.kept = self.disk.load()
        self.member: Member | None = None
        self.mute = ""  # why it sends nothing in the tier: the last failure of its disk
        self.sent_bytes = self.sent = 0
        self._places: dict[str, Address] = {}  # addresses by their text in the roster
        self._effects: deque[Effect] = deque()
        self._writing: asyncio.Task[None] | None = None
        self._waiters: dict[int, asyncio.Future[Done]] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._beat: asyncio.TimerHandle | None = None
        self._beat_due = 0  # by `steady`
        self.unsent: dict[str, int] = {}  # datagrams that the system refused to send, by why
        self._told_refused: dict[str, int] = {}
        self._refused_at = 0.0
        self.beaten: Callable[[], None] = lambda: None  # called after each beat

    @property
    def knows(self) -> bool:
        """Whether this member has known a head before, on this disk."""
        return KNOWN in self.kept

    def kept_posture(self) -> bytes | None:
        """The posture that this member last knew, on this disk."""
        if not self.knows:
            return None
        version = msgspec.msgpack.decode(self.kept[KNOWN], type=HeadDecided).head.posture
        if version is None or CONTENT + version.digest not in self.kept:
            return None
        packed = self.kept[CONTENT + version.digest]
        return ContentStore({version.digest: packed}).read(version.digest)

    async def start(self, founding: Founding | None) -> None:
        """Take part; raises LinkError."""
        loop = asyncio.get_running_loop()
        here = self.addresses[self.terms.name]
        try:
            await loop.create_datagram_endpoint(lambda: self, local_addr=here)
        except OSError as error:
            raise LinkError(
                f"tier.members: {here[0]}:{here[1]}: {error.strerror or error}"
            ) from None
        self.member = Member(
            self.terms,
            self.boot,
            self.kept,
            random.Random(secrets.randbits(64)),
            steady(),
            founding,
        )
        self.kept = {}
        self._tick()

    def close(self) -> None:
        """Leave off at once, as a process that is killed."""
        if self._beat is not None:
            self._beat.cancel()
        if self._transport is not None:
            self._transport.close()
        if self._writing is None:
            self.disk.close()

    def standing(self) -> MemberStatus:
        """Whether this process may act on what contradicts, at this moment."""
        return MemberStatus.HEARING if self.member is None else self.member.standing(steady())

    async def done(self, ask: Callable[[Member], int | None]) -> Done | None:
        """Have the core do a job, and wait for its end; None: it can't now."""
        assert self.member is not None
        job = ask(self.member)
        if job is None:
            return None
        future: asyncio.Future[Done] = asyncio.get_running_loop().create_future()
        self._waiters[job] = future
        self._pump()
        try:
            return await future
        finally:
            self._waiters.pop(job, None)

    def acted(self, turn: int) -> None:
        """The switch to that turn's rules is done."""
        if self.member is not None:
            self.member.acted(turn, steady())
            self._pump()

    def not_acted(self, turn: int, why: str) -> None:
        """...or can't be done."""
        if self.member is not None:
            self.member.not_acted(turn, why)

    # --- The socket

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        envelope = self.wire.open(data)
        # Whoever has the key may say so from anywhere; answers go to where file or roster says.
        if envelope is None or self.member is None or self._address(envelope.sender) is None:
            return
        self.member.heard(envelope.sender, envelope.message, steady())
        self._pump()

    def error_received(self, exc: Exception) -> None:
        """The system would not send a datagram; it counts as lost, as any other."""
        why = errno.errorcode.get(getattr(exc, "errno", None) or 0, "unknown")
        self.unsent[why] = self.unsent.get(why, 0) + 1

    def _address(self, name: str) -> Address | None:
        """Where a member is; what the tier has agreed on goes before the file."""
        place = None if self.member is None else self.member.roster.places.get(name)
        if place is None:
            return self.addresses.get(name)
        address = self._places.get(place)
        if address is None:
            address = self._places[place] = address_of(place)
        return address

    def _send(self, to: str, message: Message) -> None:
        address = self._address(to)
        if address is None or self._transport is None or self._transport.is_closing():
            return
        data = self.wire.seal(to, message)
        self.sent += 1
        self.sent_bytes += len(data)
        self._transport.sendto(data, address)

    # --- The beat

    def _on_beat(self) -> None:
        """Let time pass for the core; what came while the loop was held up is read before that.

        Danger: the loop runs timers first. Members would be judged by answers that lie unread.
        """
        if steady() - self._beat_due <= HELD_UP:
            self._tick()
            return
        self._beat = asyncio.get_running_loop().call_later(READ_FIRST, self._tick)

    def _tick(self) -> None:
        assert self.member is not None
        self._beat_due = steady() + int(BEAT * 1e6)
        self._beat = asyncio.get_running_loop().call_later(BEAT, self._on_beat)
        self.member.tick(steady())
        self._pump()
        self.beaten()
        self._say_refused()

    def _say_refused(self) -> None:
        now, counts = time.monotonic(), {**self.wire.refused, **self.unsent}
        if counts != self._told_refused and now - self._refused_at >= LATE:
            self._refused_at, self._told_refused = now, counts
            told = " ".join(f"{why}={count}" for why, count in sorted(counts.items()))
            self.say(f"tier: datagrams refused, by this member or (E...) by the system: {told}")

    # --- Effects

    def _pump(self) -> None:
        """Have happen what the core has asked for, up to the next thing that needs the disk."""
        assert self.member is not None
        self._effects.extend(self.member.take())
        if self.mute:
            # They count as lost: many would be old by the time the disk can be written.
            self._effects = deque(one for one in self._effects if not isinstance(one, Send))
        while self._effects and self._writing is None:
            effect = self._effects.popleft()
            if isinstance(effect, Keep):
                items = dict(effect.items)
                while self._effects and isinstance(self._effects[0], Keep):
                    more = self._effects.popleft()
                    assert isinstance(more, Keep)
                    items.update(more.items)
                self._writing = asyncio.get_running_loop().create_task(self._write(items))
            else:
                self._happen(effect)

    async def _write(self, items: dict[str, bytes | None]) -> None:
        """Have these on disk, however often that fails; then go on with what waits for it.

        Danger: the core counts its own vote before it is synced. What it goes on to send, act by or
        tell an operator rests on that, and is true only once the sync was done.
        """
        pause = WRITE_RETRY
        while not await self._written(items):
            if self._closing():
                break
            await asyncio.sleep(pause)
            pause = min(2 * pause, WRITE_RETRY_MAX)
        self._writing = None
        if self._closing():
            self.disk.close()
            return
        self._pump()

    async def _written(self, items: dict[str, bytes | None]) -> bool:
        """Try to write these; return whether they are on disk."""
        try:
            await asyncio.to_thread(self.disk.write, items)
        except DiskError as error:
            if not self.mute:
                self.say(f"tier: silent while its disk can't be written: {error}")
            self.mute = str(error)
            return False
        if self.mute:
            self.say("tier: its disk is written again")
        self.mute = ""
        return True

    def _closing(self) -> bool:
        """Return whether the link is closed."""
        return self._transport is not None and self._transport.is_closing()

    def _happen(self, effect: Effect) -> None:
        if isinstance(effect, Send):
            self._send(effect.to, effect.message)
        elif isinstance(effect, Act):
            self.act(effect.acting)
        elif isinstance(effect, Done):
            future = self._waiters.get(effect.job)
            if future is not None and not future.done():
                future.set_result(effect)
        elif isinstance(effect, Tell):
            fields = " ".join(f"{name}={value}" for name, value in effect.fields.items())
            self.say(f"tier: {effect.event} {fields}".rstrip())
