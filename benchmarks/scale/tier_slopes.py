"""Cost of the tier by its number of members: a gateway's ticks, a voter's replies, whole tiers.

Ticks and replies are measured on two real cores, a voter and a gateway, in a tier whose other
members are only membership records fed to both, so that a large tier takes little time to set up.
Whole tiers run in the simulator (`sailhitch.model`), where every member is a core.
"""

from __future__ import annotations

import random
import zlib
from collections import Counter
from collections.abc import Sequence
from typing import Any, Final, NamedTuple

import msgspec

from sailhitch.model.tier import World
from sailhitch.model.tier_process import TierProcess
from sailhitch.tier.effects import ApplyVersions, Persist, Send
from sailhitch.tier.member import BootstrapVersion, Configuration, Member, MemberStatus, TierConfig
from sailhitch.tier.membership import MembershipTable
from sailhitch.tier.messages import Ack, GossipMessage, LeaseRequest, MemberRecord, Ping
from sailhitch.tier.wire import Envelope, Keys, Wire

from .measurement import (
    MEMBERS,
    Figure,
    Measurement,
    allocated_bytes,
    microseconds_per_call,
)

SIZES: Final = (25, 50, 100, 200, 400, 800, 1700)
PENDING_SIZES: Final = (25, 50, 100, 200, 400, 800)
# In smaller tiers, the time that gossip stays busy hides its volume.
SIMULATION_SIZES: Final = (100, 200, 400)
IDLE_SIZES: Final = (25, 50, 100)
SECOND: Final = 1_000_000
TICK_INTERVAL: Final = 100_000  # us between two ticks, as in the daemon
LEASE: Final = 3 * SECOND
VOTERS: Final = 5  # in simulated tiers
SEAL_BYTES: Final = 20  # header and tag that sealing adds to an envelope
SETTLE_TIMEOUT: Final = 30 * SECOND
IDLE_TIMEOUT: Final = 120 * SECOND
SAMPLE_INTERVAL: Final = SECOND // 10
# A simulated tier counts as idle again at no more than this many times its idle datagram rate.
IDLE_TRAFFIC_FACTOR: Final = 1.25
KEYS: Final = Keys(1, {1: bytes(32)})


class CorePair:
    """A voter and a gateway as real cores, in a tier whose other members are only records."""

    def __init__(self, members: int, lease: int | None = LEASE) -> None:
        self.names = tuple(f"gw-{i:04d}" for i in range(members))
        voter, gateway = self.names[:2]
        self.now = 0
        self.heartbeats = 0
        self.cores = {
            name: Member(
                TierConfig(name, (voter,), self.names, lease),
                boot,
                {},
                random.Random(boot),
                0,
                BootstrapVersion(b"{}", 1, "bench"),
            )
            for boot, name in enumerate((voter, gateway), 1)
        }
        self.voter, self.gateway = self.cores[voter], self.cores[gateway]
        self._settle()

    def _settle(self) -> None:
        """Run until both are active, and add the other members. Raises AssertionError."""
        while self.now < SETTLE_TIMEOUT:
            self.step()
            if all(
                one.member_status(self.now) is MemberStatus.ACTIVE for one in self.cores.values()
            ):
                self.merge_records()
                return
        raise AssertionError(f"{len(self.names)} members: not active in time")

    def step(self) -> None:
        """Run one tick of both cores, with all effects."""
        self.now += TICK_INTERVAL
        for core in self.cores.values():
            core.on_tick(self.now)
        self.deliver()

    def deliver(self) -> None:
        """Execute effects until there are none; members that are records answer pings."""
        moved = True
        while moved:
            moved = False
            for name, core in self.cores.items():
                for effect in core.take_effects():
                    moved = True
                    self._handle_effect(name, core, effect)

    def _handle_effect(self, name: str, core: Member, effect: Any) -> None:
        if isinstance(effect, ApplyVersions):
            core.confirm_applied(effect.versions.revision, self.now)
        elif isinstance(effect, Send):
            other = self.cores.get(effect.to)
            if other is not None:
                other.on_message(name, effect.message, self.now)
            elif isinstance(effect.message, Ping):
                core.on_message(effect.to, Ack(effect.message.number), self.now)

    def records(self, names: Sequence[str], confirmed: int) -> list[MemberRecord]:
        """Return fresh records, with the next heartbeat, of members that are only records."""
        self.heartbeats += 1
        return [MemberRecord(name, 1, 7, self.heartbeats, confirmed, "") for name in names]

    def merge_records(self, confirmed: int | None = None) -> None:
        """Merge fresh records of all other members into both cores."""
        revision = self.gateway.confirmed_revision if confirmed is None else confirmed
        for core in self.cores.values():
            core.membership.merge(self.records(self.names[2:], revision), self.now)

    def request_all_leases(self) -> None:
        """Send the voter a lease request of each member that is only a record."""
        for name in self.names[2:]:
            self.voter.on_message(name, LeaseRequest(1, self.voter.confirmed_revision), self.now)
        self.voter.take_effects()

    def run_until_idle(self) -> None:
        """Run until neither core has updates to pass on."""
        deadline = self.now + IDLE_TIMEOUT
        while self.now < deadline:
            self.step()
            if not any(one.membership.has_unsent_updates() for one in self.cores.values()):
                break
        for _ in range(40):  # beyond the time in which every tick sends gossip
            self.step()


def rounds(members: float) -> dict[str, float]:
    """Measure ticks, gossip datagrams and, at a voter, lease requests."""
    pair = CorePair(int(members))
    pair.run_until_idle()
    gateway, voter = pair.gateway, pair.voter
    news = _gossip_messages(pair, 60)
    found = {
        "tick_us": _tick_us(pair, gateway, False),
        "busy_tick_us": _tick_us(pair, gateway, True),
        "voter_tick_us": _tick_us(pair, voter, False),
        "heard_us": _receive_us(pair, gateway, news),
        **_sealing_costs(news),
    }
    names, revision = iter(pair.names[2:] * 200), voter.confirmed_revision

    def ask() -> None:
        voter.on_message(next(names), LeaseRequest(1, revision), pair.now)
        voter.take_effects()

    found["poll_us"] = microseconds_per_call(ask, 2000)
    return found


def _tick_us(pair: CorePair, core: Member, busy: bool) -> float:
    """Return the mean processor time of a tick, with its effects at this member only."""

    def tick() -> None:
        pair.now += TICK_INTERVAL
        if busy:
            core.gossip_soon(pair.now)
        core.on_tick(pair.now)
        for effect in core.take_effects():
            if isinstance(effect, Send) and isinstance(effect.message, Ping):
                core.on_message(effect.to, Ack(effect.message.number), pair.now)

    return microseconds_per_call(tick, 100)


def _gossip_messages(pair: CorePair, count: int) -> list[GossipMessage]:
    """Return gossip as received in an idle tier: fresh records of twelve members."""
    draws = random.Random(3)
    others = pair.names[2:]
    revision = pair.gateway.confirmed_revision
    return [
        GossipMessage(
            pair.gateway.chosen, pair.records(draws.sample(others, 12), revision), {}, None
        )
        for _ in range(count)
    ]


def _receive_us(pair: CorePair, core: Member, news: list[GossipMessage]) -> float:
    waiting = iter(news)

    def receive() -> None:
        core.on_message(pair.names[2], next(waiting), pair.now)
        core.take_effects()

    return microseconds_per_call(receive, len(news))


def _sealing_costs(news: list[GossipMessage]) -> dict[str, float]:
    sender, receiver = Wire(KEYS, "gw-0002", 1), Wire(KEYS, "gw-0001", 2)
    data: list[bytes] = []
    messages = iter(news)
    seal_us = microseconds_per_call(
        lambda: data.append(sender.seal("gw-0001", next(messages))), len(news)
    )
    received = iter(data)
    open_us = microseconds_per_call(lambda: receiver.open(next(received)), len(data))
    assert not receiver.refused
    return {
        "seal_us": seal_us,
        "open_us": open_us,
        "news_bytes": sum(map(len, data)) / len(data),
    }


def pending(members: float) -> dict[str, float]:
    """Measure ticks while a change is pending because no other member has confirmed it."""
    pair = CorePair(int(members))
    pair.run_until_idle()
    pair.request_all_leases()  # otherwise the voter would soon treat their leases as expired
    pair.voter.propose(b'{"n":2}', 1, True, "bench", 0)
    for _ in range(10):
        pair.step()
    waits = pair.voter.waiting_for()
    assert len(waits) >= int(members) - 2, f"waiting for {len(waits)} of {int(members)}"
    return {
        "waiting_for_ms": microseconds_per_call(pair.voter.waiting_for, 3) / 1000,
        "pending_tick_ms": _tick_ms(pair, pair.gateway),
        "voter_pending_tick_ms": _tick_ms(pair, pair.voter),
    }


def _tick_ms(pair: CorePair, core: Member) -> float:
    def tick() -> None:
        pair.now += TICK_INTERVAL
        core.on_tick(pair.now)
        core.take_effects()

    return microseconds_per_call(tick, 6) / 1000


def table(members: float) -> dict[str, float]:
    """Measure the membership table in memory, and the list of members in each version."""
    names = [f"gw-{i:04d}" for i in range(int(members))]
    encoded = msgspec.msgpack.encode([MemberRecord(name, 1, 1 << 40, 9, 9, "") for name in names])

    def fill() -> MembershipTable:
        made = MembershipTable("gw-0000", 1, 1)
        made.merge(msgspec.msgpack.decode(encoded, type=list[MemberRecord]), 1)
        return made

    content = Configuration(tuple(names), ()).encode()
    return {
        "table_bytes": allocated_bytes(fill),
        "roster_bytes": len(content),
        "roster_packed_bytes": len(zlib.compress(content, 6)),
    }


def register_change(members: float) -> dict[str, float]:
    """Measure a change of the register at the voter: processor time, and synced writes."""
    pair = CorePair(int(members))
    pair.run_until_idle()
    writes = 0
    changes = 60

    def change() -> None:
        nonlocal writes
        head = pair.voter.chosen
        assert head is not None
        content = f'{{"n":{head.state.revision}}}'.encode()
        pair.voter.propose(content, head.state.active.serial, False, "bench", 0)
        for _ in range(3):
            pair.now += TICK_INTERVAL
            pair.voter.on_tick(pair.now)
            for effect in pair.voter.take_effects():
                if isinstance(effect, Persist):
                    writes += 1
                elif isinstance(effect, ApplyVersions):
                    pair.voter.confirm_applied(effect.versions.revision, pair.now)

    took = microseconds_per_call(change, changes)
    return {"register_us": took, "register_keeps": writes / changes}


# --- Simulated tiers


class TrafficCounter:
    """Counts the datagrams and sealed bytes that a simulated tier's members send."""

    def __init__(self, world: World) -> None:
        self.datagrams = self.bytes = 0
        self.by_kind: Counter[str] = Counter()
        self._send = world.network.send
        world.network.send = self._count_and_send  # type: ignore[method-assign]

    def _count_and_send(self, sender: str, to: str, message: Any) -> None:
        size = (
            len(msgspec.msgpack.encode(Envelope(sender, 1 << 40, 1 << 20, to, message)))
            + SEAL_BYTES
        )
        self.datagrams += 1
        self.bytes += size
        self.by_kind[type(message).__name__] += size
        self._send(sender, to, message)


class _TrafficTotals(NamedTuple):
    """Datagrams and bytes sent so far."""

    datagrams: int
    bytes: int


def simulate_change(members: int, lease: int | None) -> dict[str, float]:
    """Simulate an idle tier, then one contradicting change until the tier is idle again."""
    world = World(1, members, VOTERS, lease, beat=TICK_INTERVAL, write_interval=SECOND)
    traffic = TrafficCounter(world)
    world.start()
    world.kernel.run(_settling_seconds(members) * SECOND)
    rest_bytes, rest_datagrams = _rates_over(world, traffic, 10 * SECOND)
    at = world.kernel.now
    world.processes[world.names[members // 2]].propose(1, 0)
    start = _TrafficTotals(traffic.datagrams, traffic.bytes)
    history = [start]
    in_force = idle_since = 0
    worst = 0
    while not idle_since and world.kernel.now < at + IDLE_TIMEOUT:
        world.kernel.run(world.kernel.now + SAMPLE_INTERVAL)
        history.append(_TrafficTotals(traffic.datagrams, traffic.bytes))
        if not in_force and all(_applied_change(one) for one in world.processes.values()):
            in_force = world.kernel.now
        if len(history) <= SECOND // SAMPLE_INTERVAL:
            continue
        second_ago = history[-1 - SECOND // SAMPLE_INTERVAL]
        worst = max(worst, traffic.bytes - second_ago.bytes)
        if (
            in_force
            and traffic.datagrams - second_ago.datagrams <= IDLE_TRAFFIC_FACTOR * rest_datagrams
        ):
            idle_since = world.kernel.now - SECOND
    assert in_force, f"{members} members: not in force"
    assert idle_since, f"{members} members: not idle within {IDLE_TIMEOUT // SECOND} s"
    return {
        "rest_bytes_s": rest_bytes / members,
        "rest_datagrams_s": rest_datagrams / members,
        "in_force_s": (in_force - at) / SECOND,
        "until_rest_s": (idle_since - at) / SECOND,
        "change_bytes": (traffic.bytes - start.bytes) / members,
        "change_datagrams": (traffic.datagrams - start.datagrams) / members,
        "worst_bytes_s": worst / members,
    }


def _settling_seconds(members: int) -> int:
    """Return the seconds after which a tier of this size is idle after its start."""
    return 15 + members // 8


def _rates_over(world: World, traffic: TrafficCounter, time: int) -> tuple[float, float]:
    """Run for `time`; return the bytes and datagrams a second of all members meanwhile."""
    sent_bytes, sent_datagrams = traffic.bytes, traffic.datagrams
    world.kernel.run(world.kernel.now + time)
    return (
        (traffic.bytes - sent_bytes) * SECOND / time,
        (traffic.datagrams - sent_datagrams) * SECOND / time,
    )


def _applied_change(process: TierProcess) -> bool:
    view = process.applied_versions
    return view is not None and view.active.serial > 1 and view.pending is None


def simulate_without_lease(members: float) -> dict[str, float]:
    """Simulate a tier without leases, in which idle members send voters no requests."""
    return simulate_change(int(members), None)


def simulate_with_lease(members: float) -> dict[str, float]:
    """Simulate a tier in which members request leases from the voters."""
    return simulate_change(int(members), LEASE)


_IDLE_FIGURES: Final = (
    Figure("rest_bytes_s", "B/s", "sent by a member at rest", "tier/gossip_exchange.py"),
    Figure("rest_datagrams_s", "1/s", "datagrams of a member at rest", "tier/gossip_exchange.py"),
)
_CHANGE_FIGURES: Final = (
    *_IDLE_FIGURES,
    Figure("in_force_s", "s", "one change until in force everywhere", "tier/member.py"),
    Figure("until_rest_s", "s", "one change until at rest again", "tier/membership.py"),
    Figure("change_bytes", "B", "sent by a member from a change until rest", "tier/membership.py"),
    Figure("change_datagrams", "1", "datagrams of that", "tier/membership.py"),
    Figure("worst_bytes_s", "B/s", "the worst second of that", "tier/gossip_exchange.py"),
)
MEASUREMENTS: Final = (
    Measurement(
        "rounds",
        "gateway",
        "members",
        SIZES,
        MEMBERS,
        (
            Figure("tick_us", "us", "a beat at rest, ten a second", "tier/member.py"),
            Figure("busy_tick_us", "us", "a beat with news", "tier/member.py"),
            Figure("heard_us", "us", "gossip received", "tier/membership.py, probes.py"),
            Figure("seal_us", "us", "a datagram sealed", "tier/wire.py"),
            Figure("open_us", "us", "a datagram opened", "tier/wire.py"),
            Figure("news_bytes", "B", "a datagram of gossip", "tier/messages.py"),
            Figure("voter_tick_us", "us", "a voter's beat at rest", "tier/pending_change.py"),
            Figure("poll_us", "us", "a lease question answered", "tier/voter.py"),
        ),
        rounds,
    ),
    Measurement(
        "pending",
        "voter",
        "members",
        PENDING_SIZES,
        MEMBERS,
        (
            Figure("waiting_for_ms", "ms", "whom a change waits for", "tier/member.py"),
            Figure("pending_tick_ms", "ms", "a gateway's beat then", "tier/member.py"),
            Figure("voter_pending_tick_ms", "ms", "a voter's beat then", "tier/member.py"),
        ),
        pending,
    ),
    Measurement(
        "table",
        "gateway",
        "members",
        SIZES,
        MEMBERS,
        (
            Figure("table_bytes", "B", "membership in memory", "tier/membership.py"),
            Figure("roster_bytes", "B", "the list of members, text", "tier/configuration.py"),
            Figure("roster_packed_bytes", "B", "the same, packed", "tier/configuration.py"),
        ),
        table,
    ),
    Measurement(
        "register_change",
        "voter",
        "members",
        (25, 100, 400, 1700),
        MEMBERS,
        (
            Figure("register_us", "us", "one register change", "tier/proposer.py, voter.py"),
            Figure("register_keeps", "1", "writes of it to the disk", "tier/disk.py"),
        ),
        register_change,
    ),
    Measurement(
        "play",
        "gateway",
        "members",
        SIMULATION_SIZES,
        MEMBERS,
        _CHANGE_FIGURES,
        simulate_without_lease,
    ),
    Measurement(
        "play_lease", "gateway", "members", IDLE_SIZES, MEMBERS, _IDLE_FIGURES, simulate_with_lease
    ),
)
