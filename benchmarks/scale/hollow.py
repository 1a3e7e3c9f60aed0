"""A hollow gateway: the tier's real core on a real UDP socket, with real seals and no proxying.

It acts at once by what it is asked to act by, and keeps its disk in memory. This is the only module
of the rig that touches the tier's names, so that the rig can follow the tier's changes.
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

BEAT: Final = 0.1  # s, as the daemon's link
LEAVE_WITHIN: Final = 1.0  # s that a restart gives to leaving, as the daemon's drain
# What messages are called in the figures, by their tag on the wire, which outlasts renamings.
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


def steady() -> int:
    """Microseconds of the clock that the daemon's link goes by."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def read_content(file: Path) -> Tree:
    """Return what a member proposes or founds a tier with, of the canonical text of a state."""
    return to_tree(json.loads(file.read_bytes()))


def disk_of(content: Tree) -> dict[str, bytes]:
    """Return what a member has on its disk of a state."""
    return ContentStore({}).add(content)[1]


def kind_of(message: Message) -> str:
    """Return what a message is called in the figures."""
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
        """One datagram."""
        key = role, direction, peer, kind
        self.datagrams[key] += 1
        self.bytes[key] += size

    def rows(self) -> list[list[Any]]:
        """As plain lists: role, direction, peer, kind, datagrams, bytes."""
        return [[*key, count, self.bytes[key]] for key, count in self.datagrams.items()]


@dataclass
class Kept:
    """What was written to disks, in all."""

    writes: int = 0
    bytes: int = 0
    pages: int = 0  # of trees

    def __add__(self, other: Kept) -> Kept:
        return Kept(self.writes + other.writes, self.bytes + other.bytes, self.pages + other.pages)


@dataclass
class Faults:
    """What the rig does to datagrams between a hollow gateway and whoever it speaks with."""

    loss: float = 0.0
    sides: dict[str, int] = field(default_factory=dict)  # members on different sides are parted
    rng: random.Random = field(default_factory=random.Random)

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether nothing goes between these two."""
        if not self.sides:
            return False
        here, there = self.sides.get(one), self.sides.get(other)
        return here is not None and there is not None and here != there

    def loses(self) -> bool:
        """Draw whether a datagram is lost."""
        return self.loss > 0 and self.rng.random() < self.loss


@dataclass
class TierPlan:
    """What all hollow gateways of a process know of their tier."""

    addresses: Mapping[str, Address]
    voters: tuple[str, ...]
    real: frozenset[str]  # members that are daemons
    keys: Keys
    lease: int | None  # us
    founding: Tree  # the state that the tier begins with
    seed: Mapping[str, bytes] = field(default_factory=dict)  # what is on all disks at first
    traffic: Traffic = field(default_factory=Traffic)
    faults: Faults = field(default_factory=Faults)
    lateness: list[float] = field(default_factory=list)  # s by which beats came late

    def __post_init__(self) -> None:
        self.peers = tuple(self.addresses)  # one tuple for all, as there are many


class HollowGateway(asyncio.DatagramProtocol):
    """One member. `disk` outlasts `kill`, as a disk does."""

    def __init__(self, name: str, plan: TierPlan) -> None:
        self.name, self.plan = name, plan
        self.role = "voter" if name in plan.voters else "member"
        self.disk = dict(plan.seed)
        self.kept = Kept()
        self.member: Member | None = None
        self.serials: list[tuple[float, int]] = []  # when it came to act by which active serial
        self._wire: Wire | None = None
        self._transport: Any = None
        self._beat: asyncio.TimerHandle | None = None
        self._due = 0.0
        self._waiters: dict[int, asyncio.Future[JobCompleted]] = {}

    # --- Its life

    async def start(self) -> None:
        """Start on the disk that is there."""
        plan, boot = self.plan, secrets.randbits(48)
        loop = asyncio.get_running_loop()
        self._wire = Wire(plan.keys, self.name, boot)
        await loop.create_datagram_endpoint(lambda: self, local_addr=plan.addresses[self.name])
        config = TierConfig(self.name, plan.voters, plan.peers, plan.lease)
        founding = None if CHOSEN_KEY in self.disk else BootstrapVersion(plan.founding, 1, "scale")
        rng = random.Random(secrets.randbits(64))
        self.member = Member(config, boot, dict(self.disk), rng, steady(), founding)
        self.serials = []
        self._due = loop.time() + rng.random() * BEAT  # beats of many are spread
        self._beat = loop.call_at(self._due, self._tick)
        self._pump()

    def kill(self) -> None:
        """End at once, as a process that is killed."""
        if self._beat is not None:
            self._beat.cancel()
        if self._transport is not None:
            self._transport.close()
        self.member = self._transport = self._beat = None

    async def leave(self) -> None:
        """Leave the tier as a drain does, and end."""
        try:
            async with asyncio.timeout(LEAVE_WITHIN):
                await self._done(Member.leave)
        except TimeoutError:
            pass  # as the daemon does: others wait until its lease has lapsed
        self.kill()

    def wipe(self) -> None:
        """Lose the disk."""
        self.disk.clear()

    # --- What the rig asks

    def is_in(self) -> bool:
        """Return whether it may act."""
        return (
            self.member is not None and self.member.member_status(steady()) is MemberStatus.ACTIVE
        )

    def active(self) -> int:
        """Return the serial that it acts by; 0: none."""
        return self.serials[-1][1] if self.serials else 0

    def in_force_at(self, serial: int) -> float | None:
        """When it came to act by this serial or a later one, on the machine's steady clock."""
        return next((at for at, one in self.serials if one >= serial), None)

    def disk_held(self) -> int:
        """Bytes that are on its disk."""
        return sum(len(value) for value in self.disk.values())

    async def propose(self, content: Tree, base: int, waits: bool) -> tuple[str, int]:
        """Offer a state: how that ended, and the serial that it was given."""

        def ask(member: Member) -> int:
            return member.propose(content, base, waits, "scale", int(time.time() * 1e6))

        done = await self._done(ask)
        head = done.state
        version = head.active if done.result is ProposalResult.ACTIVE else head.pending
        return done.result.value, 0 if version is None else version.serial

    async def _done(self, ask: Callable[[Member], int | None]) -> JobCompleted:
        if self.member is None:
            raise RuntimeError(f"{self.name} does not run")
        job = ask(self.member)
        if job is None:
            raise TimeoutError(f"{self.name} has not heard what holds")
        future: asyncio.Future[JobCompleted] = asyncio.get_running_loop().create_future()
        self._waiters[job] = future
        self._pump()
        try:
            return await future
        finally:
            self._waiters.pop(job, None)

    # --- Its socket and its beat

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        if self.member is None or self._wire is None:
            return
        envelope = self._wire.open(data)
        if envelope is None or envelope.sender not in self.plan.addresses:
            return
        sender, kind = envelope.sender, kind_of(envelope.message)
        if self._drops(sender, drawn=True):
            self._count("lost", sender, kind, len(data))
            return
        self._count("heard", sender, kind, len(data))
        self.member.on_message(sender, envelope.message, steady())
        self._pump()

    def _drops(self, peer: str, drawn: bool) -> bool:
        faults = self.plan.faults
        return faults.is_cut(self.name, peer) or (drawn and faults.loses())

    def _send(self, to: str, message: Message) -> None:
        address = self.plan.addresses.get(to)
        if address is None or self._transport is None or self._wire is None:
            return
        data, kind = self._wire.seal(to, message), kind_of(message)
        self._count("sent", to, kind, len(data))
        # A hollow receiver draws for itself; for a daemon, which can't, the sender does.
        if self._drops(to, drawn=to in self.plan.real):
            self._count("lost", to, kind, len(data))
            return
        self._transport.sendto(data, address)

    def _count(self, direction: str, peer: str, kind: str, size: int) -> None:
        told = peer if peer in self.plan.real else ""
        self.plan.traffic.count(self.role, direction, told, kind, size)

    def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        self.plan.lateness.append(now - self._due)
        self._due = now + BEAT
        self._beat = loop.call_at(self._due, self._tick)
        if self.member is not None:
            self.member.on_tick(steady())
            self._pump()

    def _pump(self) -> None:
        while self.member is not None:
            effects = self.member.take_effects()
            if not effects:
                return
            for effect in effects:
                self._happen(effect)

    def _happen(self, effect: Any) -> None:
        if isinstance(effect, Send):
            self._send(effect.to, effect.message)
        elif isinstance(effect, Persist):
            self._keep(effect.items)
        elif isinstance(effect, ApplyVersions) and self.member is not None:
            self.serials.append((time.monotonic(), effect.versions.active.serial))
            self.member.confirm_applied(effect.versions.revision, steady())
        elif isinstance(effect, JobCompleted):
            future = self._waiters.get(effect.job)
            if future is not None and not future.done():
                future.set_result(effect)

    def _keep(self, items: Mapping[str, bytes | None]) -> None:
        self.kept.writes += 1
        for name, value in items.items():
            if value is None:
                self.disk.pop(name, None)
                continue
            self.disk[name] = value
            self.kept.bytes += len(value)
            self.kept.pages += name.startswith(PAGE_KEY_PREFIX)
