"""A member's link to the others: socket, disk and heartbeat timer around the sans-IO member.

Effects are executed in the order in which the member requests them, each after all writes that
precede it are on disk. The disk is written in a thread, one transaction at a time. While a write
fails, the member neither sends nor applies anything in the tier, and the gateway continues to serve
as before. The write is retried until it succeeds, and then the effects behind it are executed.
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
from ..tier.member import (
    CHOSEN_KEY,
    CONTENT_KEY_PREFIX,
    BootstrapVersion,
    Member,
    MemberStatus,
    TierConfig,
)
from ..tier.messages import ChosenState, Message
from ..tier.wire import Keys, Wire
from .endpoint_registry import address_of

HEARTBEAT_INTERVAL: Final = 0.1  # s
# us by which a heartbeat may be late; after that, waiting datagrams are read before it runs
STALLED_AFTER: Final = 40_000
READ_DELAY: Final = 0.001  # s that the event loop gets to read them
REJECTED_LOG_INTERVAL: Final = 5.0  # s between two log lines about rejected datagrams
WRITE_RETRY: Final = 0.1  # s until a failed write is retried; doubles with each failure...
WRITE_RETRY_MAX: Final = 2.0  # ...up to this

MemberJob = Callable[[Member], int | None]  # starts a job; returns its number, None if it can't
ApplyCallback = Callable[[AppliedVersions], None]
HeartbeatCallback = Callable[[], None]
StallCallback = Callable[[], object]  # its result is ignored
LogCallback = Callable[[str], None]


def steady() -> int:
    """Return the microseconds of the monotonic clock that includes time in suspend."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class LinkError(Exception):
    """The link can't be opened; the text says why."""


class TierLink(asyncio.DatagramProtocol):
    """Runs a member: gives it datagrams and time, and carries out its effects."""

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
            config: The member's settings in the tier.
            addresses: The members' addresses in the operator file.
            keys: Keys of the tier's datagrams.
            folder: The directory of the member's disk.
            on_apply: Called with the versions that this process is to apply.
            log: Writes a line to the log.
            on_heartbeat: Called after each heartbeat.

        Raises:
            DiskError: The disk can't be opened or read.
        """
        self.config = config
        self.addresses = addresses
        self.on_apply = on_apply
        self.log = log
        self.on_heartbeat = on_heartbeat
        self.on_stall: StallCallback | None = None  # called after a stall, before the heartbeat
        self.boot = secrets.randbits(48)
        self.wire = Wire(keys, config.name, self.boot)
        self.disk = Disk(folder)
        self.kept = self.disk.load()
        self.member: Member | None = None
        self.disk_is_failing = ""  # the last failure of the disk, while nothing is sent for it
        self.sent = 0  # datagrams
        self.sent_bytes = 0
        self._addresses: dict[str, Address] = {}  # addresses by their text in the configuration
        self._effects: deque[Effect] = deque()
        self._writing: asyncio.Task[None] | None = None
        self._waiters: dict[int, asyncio.Future[JobCompleted]] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._heartbeat_handle: asyncio.TimerHandle | None = None
        self._heartbeat_due = 0  # by `steady`
        self.unsent: dict[str, int] = {}  # datagrams that the system failed to send, by error
        self._logged_rejected: dict[str, int] = {}
        self._rejected_logged_at = 0.0

    @property
    def has_persisted_state(self) -> bool:
        """Whether a state of the register was on this disk at the start."""
        return CHOSEN_KEY in self.kept

    def persisted_traffic_policy(self) -> bytes | None:
        """Return the encoded traffic policy that was in force last, if this disk has it."""
        if not self.has_persisted_state:
            return None
        version = msgspec.msgpack.decode(
            self.kept[CHOSEN_KEY], type=ChosenState
        ).state.traffic_policy
        if version is None or CONTENT_KEY_PREFIX + version.digest not in self.kept:
            return None
        packed = self.kept[CONTENT_KEY_PREFIX + version.digest]
        return ContentStore({version.digest: packed}).read(version.digest)

    async def start(self, bootstrap: BootstrapVersion | None) -> None:
        """Bind the socket and start the member; raises LinkError."""
        loop = asyncio.get_running_loop()
        address = self.addresses[self.config.name]
        try:
            await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        except OSError as error:
            raise LinkError(
                f"tier.members: {address[0]}:{address[1]}: {error.strerror or error}"
            ) from None
        self.member = Member(
            self.config,
            self.boot,
            self.kept,
            random.Random(secrets.randbits(64)),
            steady(),
            bootstrap,
        )
        self.kept = {}
        self._tick()

    def close(self) -> None:
        """Stop immediately, without leaving the tier."""
        self._heartbeat_due = 0
        if self._heartbeat_handle is not None:
            self._heartbeat_handle.cancel()
        if self._transport is not None:
            self._transport.close()
        if self._writing is None:
            self.disk.close()

    def overdue(self) -> int:
        """Return by how many microseconds the heartbeat is late: how long the event loop stalled.

        This is 0 before the start and after the link is closed.
        """
        return max(0, steady() - self._heartbeat_due) if self._heartbeat_due else 0

    def has_confirmed(self, revision: int) -> bool:
        """Return whether this process has applied the versions of a revision, or later ones."""
        return self.member is not None and self.member.confirmed_revision >= revision

    def member_status(self) -> MemberStatus:
        """Return the member's current status."""
        if self.member is None:
            return MemberStatus.READING_REGISTER
        return self.member.member_status(steady())

    async def run_job(self, start: MemberJob) -> JobCompleted | None:
        """Start a job on the member, and wait until it completes; None if it can't start now."""
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

    def confirm_applied(self, revision: int) -> None:
        """Tell the member that the versions of a revision are applied."""
        if self.member is not None:
            self.member.confirm_applied(revision, steady())
            self._pump()

    def report_apply_failure(self, revision: int, reason: str) -> None:
        """Tell the member that the versions of a revision can't be applied."""
        if self.member is not None:
            self.member.report_apply_failure(revision, reason)

    # --- The socket

    def connection_made(self, transport: Any) -> None:
        """Store the transport; asyncio calls this once the socket is bound."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass an authentic message from a known member to this member."""
        envelope = self.wire.open(data)
        # The key identifies a sender, at any address; replies go to its configured address.
        if envelope is None or self.member is None or self._address(envelope.sender) is None:
            return
        self.member.on_message(envelope.sender, envelope.message, steady())
        self._pump()

    def error_received(self, exc: Exception) -> None:
        """Count a datagram that the system did not send; the member treats it as lost."""
        reason = errno.errorcode.get(getattr(exc, "errno", None) or 0, "unknown")
        self.unsent[reason] = self.unsent.get(reason, 0) + 1

    def _address(self, name: str) -> Address | None:
        """Return a member's address; the tier's configuration overrides the file."""
        text = None if self.member is None else self.member.configuration.addresses.get(name)
        if text is None:
            return self.addresses.get(name)
        address = self._addresses.get(text)
        if address is None:
            address = address_of(text)
            self._addresses[text] = address
        return address

    def _send(self, to: str, message: Message) -> None:
        address = self._address(to)
        if address is None or self._transport is None or self._transport.is_closing():
            return
        data = self.wire.seal(to, message)
        self.sent += 1
        self.sent_bytes += len(data)
        self._transport.sendto(data, address)

    # --- The heartbeat

    def _on_heartbeat_timer(self) -> None:
        """Run a heartbeat; after a stall of the event loop, have datagrams read before it.

        The loop runs timers before sockets: members whose replies are not read yet would be
        suspected.
        """
        if self.overdue() <= STALLED_AFTER:
            self._tick()
            return
        self._heartbeat_handle = asyncio.get_running_loop().call_later(READ_DELAY, self._tick)
        if self.on_stall is not None:
            self.on_stall()

    def _tick(self) -> None:
        assert self.member is not None
        self._heartbeat_due = steady() + int(HEARTBEAT_INTERVAL * 1e6)
        self._heartbeat_handle = asyncio.get_running_loop().call_later(
            HEARTBEAT_INTERVAL, self._on_heartbeat_timer
        )
        self.member.on_tick(steady())
        self._pump()
        if self.on_heartbeat is not None:
            self.on_heartbeat()
        self._log_rejected()

    def _log_rejected(self) -> None:
        now = time.monotonic()
        counts = {**self.wire.refused, **self.unsent}
        if (
            counts != self._logged_rejected
            and now - self._rejected_logged_at >= REJECTED_LOG_INTERVAL
        ):
            self._rejected_logged_at = now
            self._logged_rejected = counts
            text = " ".join(f"{reason}={count}" for reason, count in sorted(counts.items()))
            self.log(f"tier: datagrams rejected by this member or (E...) by the system: {text}")

    # --- Effects

    def _pump(self) -> None:
        """Execute the member's pending effects, up to the next write to disk."""
        assert self.member is not None
        self._effects.extend(self.member.take_effects())
        if self.disk_is_failing:
            # Messages count as lost: most would be outdated by the time the disk can be written.
            self._effects = deque(e for e in self._effects if not isinstance(e, Send))
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
        """Write items to disk, retrying while that fails; then execute the effects behind them.

        The member counts its own vote before the vote is synced. Everything that it then sends,
        applies or replies to an operator relies on that vote, and is valid only after the sync.
        """
        pause = WRITE_RETRY
        while not await self._try_write(items):
            if self._closing():
                break
            await asyncio.sleep(pause)
            pause = min(2 * pause, WRITE_RETRY_MAX)
        self._writing = None
        if self._closing():
            self.disk.close()
            return
        self._pump()

    async def _try_write(self, items: dict[str, bytes | None]) -> bool:
        """Write items once; return whether they are on disk."""
        try:
            await asyncio.to_thread(self.disk.write, items)
        except DiskError as error:
            if not self.disk_is_failing:
                self.log(f"tier: sending nothing while the disk can't be written: {error}")
            self.disk_is_failing = str(error)
            return False
        if self.disk_is_failing:
            self.log("tier: the disk can be written again")
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
