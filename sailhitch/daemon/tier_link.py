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

from ..core.endpoints import Address
from ..tier.content_store import ContentStore
from ..tier.disk import Disk, DiskError
from ..tier.effects import (
    AppliedVersions,
    ApplyVersions,
    Effect,
    JobCompleted,
    LogEvent,
    Persist,
    Send,
)
from ..tier.member import CHOSEN_KEY, CONTENT, BootstrapVersion, Member, MemberStatus, TierConfig
from ..tier.messages import ChosenState as HeadDecided
from ..tier.messages import Message
from ..tier.wire import Keys, Wire
from .endpoint_registry import address_of

HEARTBEAT_INTERVAL: Final = 0.1  # s
# Us by which a beat may be late before datagrams are read ahead of it.
STALLED_AFTER: Final = 40_000
READ_FIRST: Final = 0.001  # s that the loop gets for that
LATE: Final = 5.0  # s between two lines about datagrams that were refused
WRITE_RETRY: Final = 0.1  # s until a write that failed is tried again; doubles with each failure...
WRITE_RETRY_MAX: Final = 2.0  # ...up to this

MemberJob = Callable[[Member], int | None]  # starts a job; its number, None where it can't start
ApplyCallback = Callable[[AppliedVersions], None]
HeartbeatCallback = Callable[[], None]
LogCallback = Callable[[str], None]


def steady() -> int:
    """Return microseconds of the monotonic clock that includes suspended time."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class LinkError(Exception):
    """The link can't be had; the text says why."""


class TierLink(asyncio.DatagramProtocol):
    """Runs a member's core."""

    def __init__(
        self,
        config: TierConfig,
        addresses: Mapping[str, Address],
        keys: Keys,
        folder: Path,
        on_apply: ApplyCallback,
        log: LogCallback,
        on_heartbeat: HeartbeatCallback | None = None,
    ) -> None:
        """Open the member's disk.

        Args:
            config: The member's place in the tier.
            addresses: Where members are, as the operator file has it.
            keys: Keys of the tier's datagrams.
            folder: Where the member's disk is.
            on_apply: Is given the versions that this process is to apply.
            log: Writes a line to the log.
            on_heartbeat: Is called after each heartbeat.

        Raises:
            DiskError: The disk can't be opened or read.
        """
        self.config = config
        self.addresses = addresses
        self.on_apply = on_apply
        self.log = log
        self.on_heartbeat = on_heartbeat
        self.boot = secrets.randbits(48)
        self.wire = Wire(keys, config.name, self.boot)
        self.disk = Disk(folder)
        self.kept = self.disk.load()
        self.member: Member | None = None
        self.disk_is_failing = ""  # why it sends nothing in the tier: the last failure of its disk
        self.sent_bytes = self.sent = 0
        self._places: dict[str, Address] = {}  # addresses by their text in the roster
        self._effects: deque[Effect] = deque()
        self._writing: asyncio.Task[None] | None = None
        self._waiters: dict[int, asyncio.Future[JobCompleted]] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._heartbeat_handle: asyncio.TimerHandle | None = None
        self._beat_due = 0  # by `steady`
        self.unsent: dict[str, int] = {}  # datagrams that the system refused to send, by why
        self._told_refused: dict[str, int] = {}
        self._refused_at = 0.0

    @property
    def has_persisted_state(self) -> bool:
        """Whether this member has known a head before, on this disk."""
        return CHOSEN_KEY in self.kept

    def persisted_traffic_policy(self) -> bytes | None:
        """Return the posture that this member last knew, on this disk."""
        if not self.has_persisted_state:
            return None
        version = msgspec.msgpack.decode(
            self.kept[CHOSEN_KEY], type=HeadDecided
        ).state.traffic_policy
        if version is None or CONTENT + version.digest not in self.kept:
            return None
        packed = self.kept[CONTENT + version.digest]
        return ContentStore({version.digest: packed}).read(version.digest)

    async def start(self, founding: BootstrapVersion | None) -> None:
        """Take part; raises LinkError."""
        loop = asyncio.get_running_loop()
        here = self.addresses[self.config.name]
        try:
            await loop.create_datagram_endpoint(lambda: self, local_addr=here)
        except OSError as error:
            raise LinkError(
                f"tier.members: {here[0]}:{here[1]}: {error.strerror or error}"
            ) from None
        self.member = Member(
            self.config,
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
        if self._heartbeat_handle is not None:
            self._heartbeat_handle.cancel()
        if self._transport is not None:
            self._transport.close()
        if self._writing is None:
            self.disk.close()

    def member_status(self) -> MemberStatus:
        """Return whether this process may act on what contradicts, at this moment."""
        return (
            MemberStatus.READING_REGISTER
            if self.member is None
            else self.member.member_status(steady())
        )

    async def run_job(self, start: MemberJob) -> JobCompleted | None:
        """Start a job on the member, and wait for its end; None where it can't start now."""
        assert self.member is not None
        job = start(self.member)
        if job is None:
            return None
        future: asyncio.Future[JobCompleted] = asyncio.get_running_loop().create_future()
        self._waiters[job] = future
        self._pump()
        try:
            return await future
        finally:
            self._waiters.pop(job, None)

    def confirm_applied(self, turn: int) -> None:
        """The switch to that turn's rules is done."""
        if self.member is not None:
            self.member.confirm_applied(turn, steady())
            self._pump()

    def report_apply_failure(self, turn: int, why: str) -> None:
        """...or can't be done."""
        if self.member is not None:
            self.member.report_apply_failure(turn, why)

    # --- The socket

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        envelope = self.wire.open(data)
        # Whoever has the key may say so from anywhere; answers go to where file or roster says.
        if envelope is None or self.member is None or self._address(envelope.sender) is None:
            return
        self.member.on_message(envelope.sender, envelope.message, steady())
        self._pump()

    def error_received(self, exc: Exception) -> None:
        """The system would not send a datagram; it counts as lost, as any other."""
        why = errno.errorcode.get(getattr(exc, "errno", None) or 0, "unknown")
        self.unsent[why] = self.unsent.get(why, 0) + 1

    def _address(self, name: str) -> Address | None:
        """Return where a member is; what the tier has agreed on goes before the file."""
        place = None if self.member is None else self.member.configuration.addresses.get(name)
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

    def _on_heartbeat_timer(self) -> None:
        """Let time pass for the core; what came while the loop was held up is read before that.

        The loop runs timers first. Members would be judged by answers that lie unread.
        """
        if steady() - self._beat_due <= STALLED_AFTER:
            self._tick()
            return
        self._heartbeat_handle = asyncio.get_running_loop().call_later(READ_FIRST, self._tick)

    def _tick(self) -> None:
        assert self.member is not None
        self._beat_due = steady() + int(HEARTBEAT_INTERVAL * 1e6)
        self._heartbeat_handle = asyncio.get_running_loop().call_later(
            HEARTBEAT_INTERVAL, self._on_heartbeat_timer
        )
        self.member.on_tick(steady())
        self._pump()
        if self.on_heartbeat is not None:
            self.on_heartbeat()
        self._say_refused()

    def _say_refused(self) -> None:
        now = time.monotonic()
        counts = {**self.wire.refused, **self.unsent}
        if counts != self._told_refused and now - self._refused_at >= LATE:
            self._refused_at = now
            self._told_refused = counts
            told = " ".join(f"{why}={count}" for why, count in sorted(counts.items()))
            self.log(f"tier: datagrams refused, by this member or (E...) by the system: {told}")

    # --- Effects

    def _pump(self) -> None:
        """Have happen what the core has asked for, up to the next thing that needs the disk."""
        assert self.member is not None
        self._effects.extend(self.member.take_effects())
        if self.disk_is_failing:
            # They count as lost: many would be old by the time the disk can be written.
            self._effects = deque(one for one in self._effects if not isinstance(one, Send))
        while self._effects and self._writing is None:
            effect = self._effects.popleft()
            if isinstance(effect, Persist):
                items = dict(effect.items)
                while self._effects and isinstance(self._effects[0], Persist):
                    more = self._effects.popleft()
                    assert isinstance(more, Persist)
                    items.update(more.items)
                self._writing = asyncio.get_running_loop().create_task(self._write(items))
            else:
                self._execute(effect)

    async def _write(self, items: dict[str, bytes | None]) -> None:
        """Have these on disk, however often that fails; then go on with what waits for it.

        The core counts its own vote before it is synced. What it goes on to send, act by or
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
            if not self.disk_is_failing:
                self.log(f"tier: silent while its disk can't be written: {error}")
            self.disk_is_failing = str(error)
            return False
        if self.disk_is_failing:
            self.log("tier: its disk is written again")
        self.disk_is_failing = ""
        return True

    def _closing(self) -> bool:
        """Return whether the link is closed."""
        return self._transport is not None and self._transport.is_closing()

    def _execute(self, effect: Effect) -> None:
        if isinstance(effect, Send):
            self._send(effect.to, effect.message)
        elif isinstance(effect, ApplyVersions):
            self.on_apply(effect.versions)
        elif isinstance(effect, JobCompleted):
            future = self._waiters.get(effect.job)
            if future is not None and not future.done():
                future.set_result(effect)
        elif isinstance(effect, LogEvent):
            fields = " ".join(f"{name}={value}" for name, value in effect.fields.items())
            self.log(f"tier: {effect.event} {fields}".rstrip())
