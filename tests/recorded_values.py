"""Values whose encoded forms are recorded under `tests/recorded`, with the codec of each.

Values are built by position, so that a renamed field changes neither them nor the recorded bytes.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from sailhitch.core.maintenance import CompletedBan
from sailhitch.daemon.plan import load_plan, make_format_1_plan, make_plan
from sailhitch.daemon.state import EMPTY, State
from sailhitch.daemon.store import AppliedState, Store, ignore_step
from sailhitch.handover import frames as handover_frames
from sailhitch.handover import snapshot as handover
from sailhitch.policy_interface import (
    Endpoint,
    EndpointState,
    PolicySnapshot,
    RateSnapshot,
    ServerSnapshot,
)
from sailhitch.tier import messages
from sailhitch.tier.config import BootstrapVersion, TierConfig
from sailhitch.tier.configuration import Configuration, decode_configuration
from sailhitch.tier.effects import Persist
from sailhitch.tier.member import Member
from sailhitch.tier.wire import Keys, Wire
from sailhitch.zones import traffic_policy


class Codec(NamedTuple):
    """A value, how it is encoded, and how its encoded form is decoded."""

    value: Any
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]


BALLOT = messages.Ballot(3, "g1", 77)
ACTIVE = messages.Version(4, 3, "a" * 64, "g1", "amina", 1_700_000_000_000_000, "g1-4d-1")
PENDING = messages.Version(5, 4, "b" * 64, "g2", "bala", 1_700_000_001_000_000, "g2-4e-2")
POLICY = messages.Version(2, 1, "c" * 64, "g3", "chidi", 1_700_000_002_000_000, "g3-4f-3")
HEAD = messages.RegisterState(9, 5, 8, ACTIVE, PENDING, "d" * 64, POLICY)
DECIDED = messages.ChosenState(BALLOT, HEAD)
RECORD = messages.MemberRecord("g2", 6, 78, 900, 8, "disk full", b"\x01\x02")
MESSAGES: dict[str, messages.Message] = {
    "read_request": messages.ReadRequest(12),
    "read_reply": messages.ReadReply(12, DECIDED),
    "unfinished_round": messages.UnfinishedRound(12, None),
    "prepare": messages.Prepare(BALLOT),
    "promise": messages.Promise(BALLOT, True, messages.Ballot(4, "g2", 78), DECIDED, 31),
    "accept": messages.Accept(BALLOT, HEAD, {"g1": 31, "g3": 7}),
    "accepted": messages.Accepted(BALLOT, False, messages.Ballot(4, "g2", 78), 32, ["g1", "g3"]),
    "vote_recovery_request": messages.VoteRecoveryRequest(1234),
    "vote_recovery_reply": messages.VoteRecoveryReply(1234, {"g1": 31}),
    "gossip": messages.GossipMessage(
        DECIDED, [RECORD], {"g1": 31}, (9, b"\x05"), [messages.Suspicion("g3", 6, ["g1"])]
    ),
    "lease_request": messages.LeaseRequest(44, 8),
    "lease_grant": messages.LeaseGrant(44, True),
    "block_request": messages.BlockRequest("e" * 64, 1024),
    "block": messages.Block("e" * 64, 1024, 4096, b"data"),
    "page_request": messages.PageRequest([messages.PageRange(b"p" * 32, 512, 2)]),
    "page_reply": messages.PageReply(
        [messages.PageBlock(b"p" * 32, 512, 900, b"block")], [b"q" * 32]
    ),
    "ping": messages.Ping(55, 6),
    "ack": messages.Ack(55),
    "nack": messages.Nack(55),
    "relayed": messages.Relayed("g3", "g1", messages.Ping(56, 0)),
}
KEYS = Keys(7, {7: b"k" * 32, 8: b"l" * 32})


def _seal(message: Any) -> bytes:
    return Wire(KEYS, "g1", 77).seal("g2", message)


def _open(data: bytes) -> Any:
    envelope = Wire(KEYS, "g2", 78).open(data)
    assert envelope is not None
    assert (envelope.sender, envelope.boot, envelope.number, envelope.to) == ("g1", 77, 1, "g2")
    return envelope.message


RATE = RateSnapshot(10.5, 1_000, 2_000, 20.5, 30.5, 3_000, 0.25)
SERVER = ServerSnapshot(500, 1, 1.5, 2_500.0, 3_500.0, 4_000, 5_000, 2, 6_000, 3, 0.5, RATE)
KNOWLEDGE = PolicySnapshot(
    {"10.0.0.1:80": SERVER},
    {"page": (1_500.0, 900.0)},
    [(1.0, 0.5, 40.0)],
    7_000,
    8_000,
    (0.5, 1_500.0, 1_200.0),
    [1_100.0, 1_300.0],
    RATE,
    0.125,
)
HOSTS = [
    handover.SnapshotEndpoint(
        Endpoint("10.0.0.1:80", 1.5, 2, 3, EndpointState.READY, 500, 1), ("10.0.0.1", 80)
    ),
    handover.SnapshotEndpoint(
        Endpoint("10.0.0.2:80", 1.0, 0, 0, EndpointState.DRAINING, 0, 0), ("10.0.0.2", 80)
    ),
]
SNAPSHOT = handover.ProcessSnapshot(
    ["10.0.0.9:80", "10.0.0.1:80"],
    {"10.0.0.1:80": 9_000},
    {"10.0.0.9:80": CompletedBan(10_000, 11_000)},
    41,
    HOSTS,
    KNOWLEDGE,
    12_000,
)


def _join_frames(data: bytes) -> Any:
    """Decode a snapshot sent as frames that are recorded one after the other."""
    pieces = handover_frames.SnapshotAssembler()
    assert data[:1] == b"S"
    assert data[-1:] == b"W"
    pieces.add(data[1:-1])
    return pieces.finish()


ROSTER = Configuration(("g2", "g1"), ("g3",), {"g2": "10.0.0.2:7400"})
SORTED_ROSTER = Configuration(("g1", "g2"), ("g3",), {"g2": "10.0.0.2:7400"})
ORDER = traffic_policy.ZoneOrder(0.25, "returning", 60_000_000, 1, "amina", "power is back", 2, 1)
TRAFFIC_POLICY = traffic_policy.TrafficPolicy({"abuja-1": ORDER}, "two zones are failing")

STATE: State = {
    **EMPTY,
    "pools": {"claims": {"connect_timeout": "250ms"}},
    "nodes": {"claims/n1": {"address": "10.0.0.1:80", "weight": 1.0, "zone": "a", "cell": ""}},
    "bans": {"claims/n1": {"since": 5, "by": "amina"}},
}
NEXT_STATE: State = {
    **STATE,
    "nodes": {"claims/n1": {"address": "10.0.0.1:80", "weight": 2.0, "zone": "a", "cell": ""}},
    "tenants": {"kano": {"share": 0.5}},
}

CODECS: dict[str, Codec] = {
    **{f"datagram_{name}": Codec(message, _seal, _open) for name, message in MESSAGES.items()},
    "handover_snapshot": Codec(SNAPSHOT, handover.encode_snapshot, handover.decode_snapshot),
    "handover_frames": Codec(
        SNAPSHOT,
        lambda v: b"".join(handover_frames.snapshot_frames(handover.encode_snapshot(v))),
        _join_frames,
    ),
    "handover_ban": Codec(
        handover_frames.MaintenanceMark("10.0.0.1:80", True, 9_000),
        handover_frames.maintenance_frame,
        lambda data: handover_frames.read_maintenance_mark(data[1:]),
    ),
    "tier_roster": Codec(SORTED_ROSTER, lambda value: value.encode(), decode_configuration),
    "traffic_policy": Codec(TRAFFIC_POLICY, lambda value: value.encode(), traffic_policy.decode),
    "plan": Codec(
        make_plan("g1", 4, STATE, NEXT_STATE), lambda value: value.dump().encode(), load_plan
    ),
    "plan_of_format_1": Codec(
        make_format_1_plan("g1", 4, STATE, NEXT_STATE),
        lambda value: value.dump().encode(),
        load_plan,
    ),
}
FRAME_KINDS = {
    "hello": handover_frames.FrameKind.HELLO,
    "state": handover_frames.FrameKind.SNAPSHOT,
    "state_end": handover_frames.FrameKind.SNAPSHOT_END,
    "ready": handover_frames.FrameKind.READY,
    "ban": handover_frames.FrameKind.MAINTENANCE,
    "client": handover_frames.FrameKind.CLIENT,
    "draining": handover_frames.FrameKind.DRAINING,
    "held": handover_frames.FrameKind.DESCRIPTORS_HELD,
    "taken": handover_frames.FrameKind.CLIENT_TAKEN,
}


def write_states(folder: Path) -> None:
    """Write two applied states to a state directory."""
    store = Store(folder, "g1")
    for serial, state in ((4, STATE), (5, NEXT_STATE)):
        applied = AppliedState(
            serial, 1_000 + serial, "amina", state, f"change {serial}", {"claims/n1": 7}
        )
        store.commit(store.prepare(applied, ignore_step), serial, ignore_step)
    store.close()


def read_states(folder: Path) -> list[list[Any]]:
    """The applied states of a state directory, oldest first, as plain values."""
    store = Store(folder, "g1")
    try:
        found = [store.read(serial) for serial in store.serials()]
    finally:
        store.close()
    return [
        [one.serial, one.applied_at, one.applied_by, one.state, one.summary, dict(one.new_since)]
        for one in found
    ]


def _member(disk: dict[str, bytes], boot: int) -> Member:
    founding = BootstrapVersion(b'{"state": 1}', 3, "amina")
    config = TierConfig("g1", ("g1",), ("g1",))
    return Member(config, boot, disk, random.Random(5), 0, founding)


def _run(member: Member, disk: dict[str, bytes], until: int) -> None:
    for now in range(0, until, 100_000):
        member.on_tick(now)
        for effect in member.take_effects():
            if isinstance(effect, Persist):
                for name, value in effect.items.items():
                    if value is None:
                        disk.pop(name, None)
                    else:
                        disk[name] = value


def member_disk() -> dict[str, bytes]:
    """What a member that founds a tier of its own and proposes a version keeps on disk."""
    disk: dict[str, bytes] = {}
    member = _member(disk, 77)
    _run(member, disk, 2_000_000)
    member.propose(b'{"state": 2}', 3, True, "bala", 1_700_000_000_000_000)
    _run(member, disk, 2_000_000)
    return disk


def member_status(disk: dict[str, bytes]) -> dict[str, Any]:
    """What `tier status` shows of a member that has started from this disk."""
    kept = dict(disk)
    member = _member(kept, 79)
    _run(member, kept, 1_000_000)
    return member.status(1_000_000)


__all__ = [
    "CODECS",
    "FRAME_KINDS",
    "member_disk",
    "member_status",
    "read_states",
    "write_states",
]
