"""A hollow gateway: the tier's real core and sealing on a real UDP socket, without a proxy.

It applies versions at once, and keeps its disk in memory. In a scale run, only this module
uses the tier's core, so that changes of the tier's interface need changes only here.
"""

from __future__ import annotations

import asyncio
import json
import random
import secrets
import time
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

from sailhitch.daemon.state_tree import to_tree
from sailhitch.pages import Tree
from sailhitch.tier.content_store import PAGE_KEY_PREFIX, ContentStore
from sailhitch.tier.effects import ApplyVersions, JobCompleted, Persist, ProposalResult, Send
from sailhitch.tier.member import CHOSEN_KEY, BootstrapVersion, Member, MemberStatus, TierConfig
from sailhitch.tier.messages import Message
from sailhitch.tier.wire import Keys, Wire

TICK_INTERVAL: Final = 0.1  # s, as in the daemon's tier link
LEAVE_TIMEOUT: Final = 1.0  # s for leaving the tier at a restart, as in the daemon's drain
# Names of messages in the results, by tag on the wire, which stays when a class is renamed.
KINDS: Final = {
    "l": "read",
    "L": "read answer",
    "u": "unfinished round",
    "p": "prepare",
    "P": "promise",
    "a": "accept",
    "A": "accepted",
    "h": "voter hello",
    "H": "voter here",
    "n": "gossip",
    "q": "lease question",
    "g": "lease grant",
    "c": "content request",
    "C": "content piece",
    "i": "ping",
    "I": "ack",
    "N": "nack",
    "v": "relayed",
    "t": "page request",
    "T": "page reply",
}
GOSSIP: Final = "gossip"
Address = tuple[str, int]


def boottime_us() -> int:
    """Return the time in microseconds, on the clock that the daemon's tier link uses."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def read_content(file: Path) -> Tree:
    """Read a state's canonical text as the tree that members propose or bootstrap a tier with."""
    return to_tree(json.loads(file.read_bytes()))


def disk_items_of(content: Tree) -> dict[str, bytes]:
    """Return the items that a member with this content has on its disk."""
    return ContentStore({}).add(content)[1]


def kind_of_message(message: Message) -> str:
    """Return a message's name in the results."""
    tag = str(message.__struct_config__.tag)
    return KINDS.get(tag, tag)


class Traffic:
    """Datagrams and bytes by role, direction, peer and kind.

    A role is "voter" or "member"; a direction is "sent", "heard" or "lost" (dropped by the rig); a
    peer is a real daemon's name, or "" for any hollow gateway.
    """

    def __init__(self) -> None:
        self.datagrams: Counter[tuple[str, str, str, str]] = Counter()
        self.bytes: Counter[tuple[str, str, str, str]] = Counter()

    def count(self, role: str, direction: str, peer: str, kind: str, size: int) -> None:
        """Count one datagram."""
        key = role, direction, peer, kind
        self.datagrams[key] += 1
        self.bytes[key] += size

    def rows(self) -> list[list[Any]]:
        """Return rows of role, direction, peer, kind, datagrams, bytes."""
        return [[*key, count, self.bytes[key]] for key, count in self.datagrams.items()]


@dataclass
class DiskWrites:
    """Totals of what was written to disks."""

    writes: int = 0
    bytes: int = 0
    pages: int = 0  # pages of content trees

    def __add__(self, other: DiskWrites) -> DiskWrites:
        return DiskWrites(
            self.writes + other.writes, self.bytes + other.bytes, self.pages + other.pages
        )


@dataclass
class Faults:
    """Loss and partitions that the rig applies to datagrams of hollow gateways."""

    loss: float = 0.0
    # Members with different numbers are partitioned; those without one reach everybody.
    sides: dict[str, int] = field(default_factory=dict)
    rng: random.Random = field(default_factory=random.Random)

    def is_partitioned(self, one: str, other: str) -> bool:
        """Return whether two members are partitioned from each other."""
        if not self.sides:
            return False
        here, there = self.sides.get(one), self.sides.get(other)
        return here is not None and there is not None and here != there

    def draws_loss(self) -> bool:
        """Decide at random whether a datagram is lost."""
        return self.loss > 0 and self.rng.random() < self.loss


@dataclass
class TierPlan:
    """The configuration that all hollow gateways of a process share, with their counters."""

    addresses: Mapping[str, Address]
    voters: tuple[str, ...]
    real: frozenset[str]  # members that are daemons
    keys: Keys
    lease: int | None  # us
    founding: Tree  # the state that the tier is bootstrapped with
    seed: Mapping[str, bytes] = field(default_factory=dict)  # initial items of all disks
    traffic: Traffic = field(default_factory=Traffic)
    faults: Faults = field(default_factory=Faults)
    tick_delays: list[float] = field(default_factory=list)  # s that each tick was late

    def __post_init__(self) -> None:
        self.peers = tuple(self.addresses)  # one tuple, shared by all members to save memory


class HollowGateway(asyncio.DatagramProtocol):
    """One member. `disk` survives `kill`, as a real disk does."""

    def __init__(self, name: str, plan: TierPlan) -> None:
        self.name, self.plan = name, plan
        self.role = "voter" if name in plan.voters else "member"
        self.disk = dict(plan.seed)
        self.disk_writes = DiskWrites()
        self.member: Member | None = None
        self.serials: list[tuple[float, int]] = []  # when each active serial came into force
        self._wire: Wire | None = None
        self._transport: Any = None
        self._tick_timer: asyncio.TimerHandle | None = None
        self._next_tick_at = 0.0
        self._waiters: dict[int, asyncio.Future[JobCompleted]] = {}

    # --- Starting and stopping

    async def start(self) -> None:
        """Start with the present contents of its disk."""
        plan, boot = self.plan, secrets.randbits(48)
        loop = asyncio.get_running_loop()
        self._wire = Wire(plan.keys, self.name, boot)
        await loop.create_datagram_endpoint(lambda: self, local_addr=plan.addresses[self.name])
        config = TierConfig(self.name, plan.voters, plan.peers, plan.lease)
        founding = None if CHOSEN_KEY in self.disk else BootstrapVersion(plan.founding, 1, "scale")
        rng = random.Random(secrets.randbits(64))
        self.member = Member(config, boot, dict(self.disk), rng, boottime_us(), founding)
        self.serials = []
        # A random phase spreads the ticks of many gateways.
        self._next_tick_at = loop.time() + rng.random() * TICK_INTERVAL
        self._tick_timer = loop.call_at(self._next_tick_at, self._tick)
        self._pump()

    def kill(self) -> None:
        """Stop at once, like a killed process."""
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        if self._transport is not None:
            self._transport.close()
        self.member = self._transport = self._tick_timer = None

    async def leave(self) -> None:
        """Leave the tier as a drain does, and stop."""
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT):
                await self._run_job(Member.leave)
        except TimeoutError:
            pass  # stops anyway, as the daemon does: others wait until its lease expires
        self.kill()

    def wipe(self) -> None:
        """Erase the disk."""
        self.disk.clear()

    # --- Queries and commands of the rig

    def is_active(self) -> bool:
        """Return whether it is an active member."""
        return (
            self.member is not None
            and self.member.member_status(boottime_us()) is MemberStatus.ACTIVE
        )

    def active_serial(self) -> int:
        """Return the serial in force; 0: none."""
        return self.serials[-1][1] if self.serials else 0

    def in_force_at(self, serial: int) -> float | None:
        """Return the monotonic time at which this serial or a later one came into force."""
        return next((at for at, one in self.serials if one >= serial), None)

    def disk_size(self) -> int:
        """Return the bytes on its disk."""
        return sum(len(value) for value in self.disk.values())

    async def propose(self, content: Tree, base: int, waits: bool) -> tuple[str, int]:
        """Propose a state; return the result and the serial that it was given."""

        def ask(member: Member) -> int:
            return member.propose(content, base, waits, "scale", int(time.time() * 1e6))

        done = await self._run_job(ask)
        head = done.state
        version = head.active if done.result is ProposalResult.ACTIVE else head.pending
        return done.result.value, 0 if version is None else version.serial

    async def _run_job(self, ask: Callable[[Member], int | None]) -> JobCompleted:
        if self.member is None:
            raise RuntimeError(f"{self.name} is not running")
        job = ask(self.member)
        if job is None:
            raise TimeoutError(f"{self.name} does not know the chosen version yet")
        future: asyncio.Future[JobCompleted] = asyncio.get_running_loop().create_future()
        self._waiters[job] = future
        self._pump()
        try:
            return await future
        finally:
            self._waiters.pop(job, None)

    # --- Socket and timer

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        if self.member is None or self._wire is None:
            return
        envelope = self._wire.open(data)
        if envelope is None or envelope.sender not in self.plan.addresses:
            return
        sender, kind = envelope.sender, kind_of_message(envelope.message)
        if self._drops(sender, random_loss=True):
            self._count("lost", sender, kind, len(data))
            return
        self._count("heard", sender, kind, len(data))
        self.member.on_message(sender, envelope.message, boottime_us())
        self._pump()

    def _drops(self, peer: str, random_loss: bool) -> bool:
        faults = self.plan.faults
        return faults.is_partitioned(self.name, peer) or (random_loss and faults.draws_loss())

    def _send(self, to: str, message: Message) -> None:
        address = self.plan.addresses.get(to)
        if address is None or self._transport is None or self._wire is None:
            return
        data, kind = self._wire.seal(to, message), kind_of_message(message)
        self._count("sent", to, kind, len(data))
        # Random loss is applied by a hollow receiver; a daemon can't, so the sender applies it.
        if self._drops(to, random_loss=to in self.plan.real):
            self._count("lost", to, kind, len(data))
            return
        self._transport.sendto(data, address)

    def _count(self, direction: str, peer: str, kind: str, size: int) -> None:
        peer_label = peer if peer in self.plan.real else ""
        self.plan.traffic.count(self.role, direction, peer_label, kind, size)

    def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        self.plan.tick_delays.append(now - self._next_tick_at)
        self._next_tick_at = now + TICK_INTERVAL
        self._tick_timer = loop.call_at(self._next_tick_at, self._tick)
        if self.member is not None:
            self.member.on_tick(boottime_us())
            self._pump()

    def _pump(self) -> None:
        while self.member is not None:
            effects = self.member.take_effects()
            if not effects:
                return
            for effect in effects:
                self._handle_effect(effect)

    def _handle_effect(self, effect: Any) -> None:
        if isinstance(effect, Send):
            self._send(effect.to, effect.message)
        elif isinstance(effect, Persist):
            self._persist(effect.items)
        elif isinstance(effect, ApplyVersions) and self.member is not None:
            self.serials.append((time.monotonic(), effect.versions.active.serial))
            self.member.confirm_applied(effect.versions.revision, boottime_us())
        elif isinstance(effect, JobCompleted):
            future = self._waiters.get(effect.job)
            if future is not None and not future.done():
                future.set_result(effect)

    def _persist(self, items: Mapping[str, bytes | None]) -> None:
        self.disk_writes.writes += 1
        for name, value in items.items():
            if value is None:
                self.disk.pop(name, None)
                continue
            self.disk[name] = value
            self.disk_writes.bytes += len(value)
            self.disk_writes.pages += name.startswith(PAGE_KEY_PREFIX)
