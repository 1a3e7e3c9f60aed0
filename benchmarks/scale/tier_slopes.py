"""What the tier costs by its members: a gateway's rounds, a voter's answers, and whole plays.

The rounds are measured at two real cores, a voter and a gateway, in a tier whose other members are
records that are fed to both, so that any number of members takes little time. The plays are of the
model (`sailhitch.model`), where every member is a core.
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
    each_microseconds,
)

SIZES: Final = (25, 50, 100, 200, 400, 800, 1700)
PENDING_SIZES: Final = (25, 50, 100, 200, 400, 800)
PLAY_SIZES: Final = (100, 200, 400)  # below, how long gossip stays busy hides what it has to say
REST_SIZES: Final = (25, 50, 100)
SECOND: Final = 1_000_000
BEAT: Final = 100_000  # us between two ticks, as the daemon has it
LEASE: Final = 3 * SECOND
VOTERS: Final = 5  # in the model's plays
SEAL: Final = 20  # bytes of a datagram beside its envelope: header and tag
SETTLE_WITHIN: Final = 30 * SECOND
REST_WITHIN: Final = 120 * SECOND
STEP: Final = SECOND // 10  # between two looks at a play
AT_REST: Final = 1.25  # times the datagrams of a second at rest: so few, and a play is at rest
KEYS: Final = Keys(1, {1: bytes(32)})


class Pair:
    """A voter and a gateway of a tier of so many members, the others being records."""

    def __init__(self, members: int, lease: int | None = LEASE) -> None:
        self.names = tuple(f"gw-{i:04d}" for i in range(members))
        voter, gateway = self.names[:2]
        self.now = 0
        self.beats = 0
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
        """Run until both act by the register and know all members; raises AssertionError."""
        while self.now < SETTLE_WITHIN:
            self.step()
            if all(
                one.member_status(self.now) is MemberStatus.ACTIVE for one in self.cores.values()
            ):
                self.tell_records()
                return
        raise AssertionError(f"{len(self.names)} members: not settled")

    def step(self) -> None:
        """One beat of both, with all that it leads to."""
        self.now += BEAT
        for core in self.cores.values():
            core.on_tick(self.now)
        self.deliver()

    def deliver(self) -> None:
        """Carry effects out until there are none; members that are records answer pings."""
        moved = True
        while moved:
            moved = False
            for name, core in self.cores.items():
                for effect in core.take_effects():
                    moved = True
                    self._happen(name, core, effect)

    def _happen(self, name: str, core: Member, effect: Any) -> None:
        if isinstance(effect, ApplyVersions):
            core.confirm_applied(effect.versions.revision, self.now)
        elif isinstance(effect, Send):
            other = self.cores.get(effect.to)
            if other is not None:
                other.on_message(name, effect.message, self.now)
            elif isinstance(effect.message, Ping):
                core.on_message(effect.to, Ack(effect.message.number), self.now)

    def records(self, names: Sequence[str], confirmed: int) -> list[MemberRecord]:
        """Return the next word of members that are records."""
        self.beats += 1
        return [MemberRecord(name, 1, 7, self.beats, confirmed, "") for name in names]

    def tell_records(self, confirmed: int | None = None) -> None:
        """Both hear of all members at once."""
        turn = self.gateway.confirmed_revision if confirmed is None else confirmed
        for core in self.cores.values():
            core.membership.merge(self.records(self.names[2:], turn), self.now)

    def poll_all(self) -> None:
        """The members that are records ask the voter for their leases."""
        for name in self.names[2:]:
            self.voter.on_message(name, LeaseRequest(1, self.voter.confirmed_revision), self.now)
        self.voter.take_effects()

    def rest(self) -> None:
        """Until neither has news to pass on."""
        ends = self.now + REST_WITHIN
        while self.now < ends:
            self.step()
            if not any(one.membership.has_unsent_updates() for one in self.cores.values()):
                break
        for _ in range(40):  # beyond the time in which each beat has a round
            self.step()


def rounds(members: float) -> dict[str, float]:
    """A gateway's beats, and one datagram of gossip received and sent; a voter's questions."""
    pair = Pair(int(members))
    pair.rest()
    gateway, voter = pair.gateway, pair.voter
    news = _news(pair, 60)
    found = {
        "tick_us": _ticks(pair, gateway, False),
        "busy_tick_us": _ticks(pair, gateway, True),
        "voter_tick_us": _ticks(pair, voter, False),
        "heard_us": _heard(pair, gateway, news),
        **_sealing(news),
    }
    names, turn = iter(pair.names[2:] * 200), voter.confirmed_revision

    def ask() -> None:
        voter.on_message(next(names), LeaseRequest(1, turn), pair.now)
        voter.take_effects()

    found["poll_us"] = each_microseconds(ask, 2000)
    return found


def _ticks(pair: Pair, core: Member, busy: bool) -> float:
    """Mean processor time of a beat, of what it leads to at this member alone."""

    def beat() -> None:
        pair.now += BEAT
        if busy:
            core.gossip_soon(pair.now)
        core.on_tick(pair.now)
        for effect in core.take_effects():
            if isinstance(effect, Send) and isinstance(effect.message, Ping):
                core.on_message(effect.to, Ack(effect.message.number), pair.now)

    return each_microseconds(beat, 100)


def _news(pair: Pair, count: int) -> list[GossipMessage]:
    """Gossip as it comes at rest: what is known, and twelve members' next words."""
    draws = random.Random(3)
    others = pair.names[2:]
    turn = pair.gateway.confirmed_revision
    return [
        GossipMessage(pair.gateway.chosen, pair.records(draws.sample(others, 12), turn), {}, None)
        for _ in range(count)
    ]


def _heard(pair: Pair, core: Member, news: list[GossipMessage]) -> float:
    waiting = iter(news)

    def hear() -> None:
        core.on_message(pair.names[2], next(waiting), pair.now)
        core.take_effects()

    return each_microseconds(hear, len(news))


def _sealing(news: list[GossipMessage]) -> dict[str, float]:
    sender, receiver = Wire(KEYS, "gw-0002", 1), Wire(KEYS, "gw-0001", 2)
    data: list[bytes] = []
    said = iter(news)
    seal_us = each_microseconds(lambda: data.append(sender.seal("gw-0001", next(said))), len(news))
    came = iter(data)
    open_us = each_microseconds(lambda: receiver.open(next(came)), len(data))
    assert not receiver.refused
    return {
        "seal_us": seal_us,
        "open_us": open_us,
        "news_bytes": sum(map(len, data)) / len(data),
    }


def pending(members: float) -> dict[str, float]:
    """A change that no other member has confirmed yet: what each beat costs until they have."""
    pair = Pair(int(members))
    pair.rest()
    pair.poll_all()  # or the voter would soon say that their leases have lapsed
    pair.voter.propose(b'{"n":2}', 1, True, "bench", 0)
    for _ in range(10):
        pair.step()
    waits = pair.voter.waiting_for()
    assert len(waits) >= int(members) - 2, f"waits for {len(waits)} of {int(members)}"
    return {
        "waiting_for_ms": each_microseconds(pair.voter.waiting_for, 3) / 1000,
        "pending_tick_ms": _few_ticks(pair, pair.gateway),
        "voter_pending_tick_ms": _few_ticks(pair, pair.voter),
    }


def _few_ticks(pair: Pair, core: Member) -> float:
    def beat() -> None:
        pair.now += BEAT
        core.on_tick(pair.now)
        core.take_effects()

    return each_microseconds(beat, 6) / 1000


def table(members: float) -> dict[str, float]:
    """Return what a member keeps of the others, and the list of members that each version names."""
    names = [f"gw-{i:04d}" for i in range(int(members))]
    said = msgspec.msgpack.encode([MemberRecord(name, 1, 1 << 40, 9, 9, "") for name in names])

    def fill() -> MembershipTable:
        made = MembershipTable("gw-0000", 1, 1)
        made.merge(msgspec.msgpack.decode(said, type=list[MemberRecord]), 1)
        return made

    content = Configuration(tuple(names), ()).encode()
    return {
        "table_bytes": allocated_bytes(fill),
        "roster_bytes": len(content),
        "roster_packed_bytes": len(zlib.compress(content, 6)),
    }


def register_change(members: float) -> dict[str, float]:
    """One change of the register at the voter: processor time, and writes that it syncs."""
    pair = Pair(int(members))
    pair.rest()
    writes = 0
    changes = 60

    def change() -> None:
        nonlocal writes
        head = pair.voter.chosen
        assert head is not None
        content = f'{{"n":{head.state.revision}}}'.encode()
        pair.voter.propose(content, head.state.active.serial, False, "bench", 0)
        for _ in range(3):
            pair.now += BEAT
            pair.voter.on_tick(pair.now)
            for effect in pair.voter.take_effects():
                if isinstance(effect, Persist):
                    writes += 1
                elif isinstance(effect, ApplyVersions):
                    pair.voter.confirm_applied(effect.versions.revision, pair.now)

    took = each_microseconds(change, changes)
    return {"register_us": took, "register_keeps": writes / changes}


# --- Plays of the model


class Tally:
    """Counts what a world's members send: datagrams and sealed bytes, by kind of message."""

    def __init__(self, world: World) -> None:
        self.datagrams = self.bytes = 0
        self.by_kind: Counter[str] = Counter()
        self._send = world.network.send
        world.network.send = self._counted  # type: ignore[method-assign]

    def _counted(self, sender: str, to: str, message: Any) -> None:
        size = len(msgspec.msgpack.encode(Envelope(sender, 1 << 40, 1 << 20, to, message))) + SEAL
        self.datagrams += 1
        self.bytes += size
        self.by_kind[type(message).__name__] += size
        self._send(sender, to, message)


class _Sent(NamedTuple):
    """What was sent so far."""

    datagrams: int
    bytes: int


def play(members: int, lease: int | None) -> dict[str, float]:
    """A tier at rest, and one change of it that contradicts, until all is at rest again."""
    world = World(1, members, VOTERS, lease, beat=BEAT, write_interval=SECOND)
    tally = Tally(world)
    world.start()
    world.kernel.run(_quiet_from(members) * SECOND)
    rest_bytes, rest_datagrams = _counted_over(world, tally, 10 * SECOND)
    at = world.kernel.now
    world.processes[world.names[members // 2]].propose(1, 0)
    start = _Sent(tally.datagrams, tally.bytes)
    history = [start]
    in_force = rested = 0
    worst = 0
    while not rested and world.kernel.now < at + REST_WITHIN:
        world.kernel.run(world.kernel.now + STEP)
        history.append(_Sent(tally.datagrams, tally.bytes))
        if not in_force and all(_acts_alone(one) for one in world.processes.values()):
            in_force = world.kernel.now
        if len(history) <= SECOND // STEP:
            continue
        second_ago = history[-1 - SECOND // STEP]
        worst = max(worst, tally.bytes - second_ago.bytes)
        if in_force and tally.datagrams - second_ago.datagrams <= AT_REST * rest_datagrams:
            rested = world.kernel.now - SECOND
    assert in_force, f"{members} members: not in force"
    assert rested, f"{members} members: not at rest in {REST_WITHIN // SECOND} s"
    return {
        "rest_bytes_s": rest_bytes / members,
        "rest_datagrams_s": rest_datagrams / members,
        "in_force_s": (in_force - at) / SECOND,
        "until_rest_s": (rested - at) / SECOND,
        "change_bytes": (tally.bytes - start.bytes) / members,
        "change_datagrams": (tally.datagrams - start.datagrams) / members,
        "worst_bytes_s": worst / members,
    }


def _quiet_from(members: int) -> int:
    """Seconds by which a tier of so many has come to rest after its start."""
    return 15 + members // 8


def _counted_over(world: World, tally: Tally, time: int) -> tuple[float, float]:
    """Bytes and datagrams a second of all members, over so much time from now on."""
    sent, said = tally.bytes, tally.datagrams
    world.kernel.run(world.kernel.now + time)
    return (tally.bytes - sent) * SECOND / time, (tally.datagrams - said) * SECOND / time


def _acts_alone(process: TierProcess) -> bool:
    view = process.applied_versions
    return view is not None and view.active.serial > 1 and view.pending is None


def play_without_lease(members: float) -> dict[str, float]:
    """A play in which nothing is asked of voters at rest."""
    return play(int(members), None)


def play_with_lease(members: float) -> dict[str, float]:
    """Return a play in which members ask the voters for leases."""
    return play(int(members), LEASE)


_REST_FIGURES: Final = (
    Figure("rest_bytes_s", "B/s", "sent by a member at rest", "tier/gossip_exchange.py"),
    Figure("rest_datagrams_s", "1/s", "datagrams of a member at rest", "tier/gossip_exchange.py"),
)
_PLAY_FIGURES: Final = (
    *_REST_FIGURES,
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
        "play", "gateway", "members", PLAY_SIZES, MEMBERS, _PLAY_FIGURES, play_without_lease
    ),
    Measurement(
        "play_lease", "gateway", "members", REST_SIZES, MEMBERS, _REST_FIGURES, play_with_lease
    ),
)
