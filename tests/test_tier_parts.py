"""Unit tests of the tier: datagrams, contents, leases, disk, operator file, exploration."""

from __future__ import annotations

import random
import sqlite3
import zlib
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sailhitch.daemon.schema import MAX_MEMBERS, FileError, parse_value
from sailhitch.lab.scenario import ScenarioError, load_scenario
from sailhitch.model.explore import Explorer, LostUpdateError
from sailhitch.model.tier import World
from sailhitch.tier.configuration import Configuration, ConfigurationIndex
from sailhitch.tier.content_store import BLOCK_SIZE, CONTENT_KEY_PREFIX, NO_RESULT, ContentStore
from sailhitch.tier.disk import Disk, DiskError
from sailhitch.tier.effects import ProposalResult
from sailhitch.tier.lease import GrantTable, Lease
from sailhitch.tier.lease_expiry_reports import LeaseExpiryReports, encode_expired_leases
from sailhitch.tier.messages import (
    Accept,
    Accepted,
    Ack,
    Ballot,
    Block,
    BlockRequest,
    ChosenState,
    GossipMessage,
    LeaseGrant,
    LeaseRequest,
    MemberRecord,
    Message,
    Nack,
    Ping,
    Prepare,
    Promise,
    ReadReply,
    ReadRequest,
    RegisterState,
    Relayed,
    Suspicion,
    UnfinishedRound,
    Version,
    VoteRecoveryReply,
    VoteRecoveryRequest,
)
from sailhitch.tier.register import Acceptor, Round, VoterMode
from sailhitch.tier.transitions import Transition, read
from sailhitch.tier.wire import REPLAY_WINDOW, KeyFileError, Keys, Wire, load_keys
from tests.daemons import file_value

OLD, NEW = b"o" * 32, b"n" * 32
S = 1_000_000


# --- Datagrams


def _pair(keys: Keys | None = None, other: Keys | None = None) -> tuple[Wire, Wire]:
    keys = keys or Keys(1, {1: OLD})
    return Wire(keys, "g1", 11), Wire(other or keys, "g2", 22)


def test_a_sealed_datagram_is_opened_once_by_its_addressee() -> None:
    sender, receiver = _pair()
    data = sender.seal("g2", VoteRecoveryRequest(7))
    envelope = receiver.open(data)
    assert envelope is not None
    assert (envelope.sender, envelope.boot, envelope.message) == ("g1", 11, VoteRecoveryRequest(7))
    assert receiver.open(data) is None
    assert Wire(sender.keys, "g3", 33).open(data) is None
    assert receiver.refused == {"replay": 1}


def test_replays_are_rejected_in_the_largest_tier() -> None:
    keys = Keys(1, {1: OLD})
    receiver = Wire(keys, "receiver", 1)
    sent = [Wire(keys, f"g{i}", i).seal("receiver", Ping(i, 0)) for i in range(MAX_MEMBERS)]
    assert all(receiver.open(data) is not None for data in sent)
    assert not any(receiver.open(data) for data in sent)
    assert receiver.refused == {"replay": MAX_MEMBERS}


@given(st.data())
def test_no_changed_datagram_is_opened(data: Any) -> None:
    sender, receiver = _pair()
    sealed = bytearray(sender.seal("g2", BlockRequest("a" * 64, 1024)))
    change = data.draw(st.sampled_from(["flip", "cut", "longer", "other"]))
    if change == "flip":
        position = data.draw(st.integers(0, len(sealed) - 1))
        sealed[position] ^= 1 << data.draw(st.integers(0, 7))
    elif change == "cut":
        del sealed[data.draw(st.integers(0, len(sealed) - 1)) :]
    elif change == "longer":
        sealed += data.draw(st.binary(min_size=1, max_size=9000))
    else:
        sealed = bytearray(data.draw(st.binary(max_size=9000)))
    assert receiver.open(bytes(sealed)) is None
    assert sum(receiver.refused.values()) == 1


@given(st.permutations(range(30)), st.integers(0, 29))
def test_datagrams_may_come_in_any_order_each_once(order: list[int], again: int) -> None:
    sender, receiver = _pair()
    sealed = [sender.seal("g2", VoteRecoveryRequest(i)) for i in range(30)]
    assert all(receiver.open(sealed[i]) for i in order)
    assert receiver.open(sealed[again]) is None
    for _ in range(REPLAY_WINDOW + 30):
        sender.seal("g2", VoteRecoveryRequest(0))
    assert receiver.open(sender.seal("g2", VoteRecoveryRequest(1))) is not None
    assert receiver.open(sealed[again]) is None


def test_a_key_is_changed_member_by_member() -> None:
    both_old, both_new = Keys(1, {1: OLD, 2: NEW}), Keys(2, {2: NEW, 1: OLD})
    for ours, theirs in ((Keys(1, {1: OLD}), both_old), (both_old, both_new), (both_new, both_old)):
        sender, receiver = _pair(ours, theirs)
        assert receiver.open(sender.seal("g2", VoteRecoveryRequest(1))) is not None
    sender, receiver = _pair(Keys(2, {2: NEW}), Keys(1, {1: OLD}))
    assert receiver.open(sender.seal("g2", VoteRecoveryRequest(1))) is None


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", "0 keys"),
        ("1 abc", "line 1: not `NUMBER HEX`"),
        ("# a\n300 " + "a" * 32, "line 2"),
        ("1 " + "a" * 32 + "\n1 " + "b" * 32, "line 2: key 1 is there already"),
        ("\n".join(f"{i} " + "a" * 32 for i in range(3)), "3 keys"),
    ],
)
def test_an_invalid_key_file_is_reported_with_its_line(
    tmp_path: Path, text: str, expected: str
) -> None:
    path = tmp_path / "keys"
    path.write_text(text)
    with pytest.raises(KeyFileError, match=expected):
        load_keys(path)
    with pytest.raises(KeyFileError, match="No such file"):
        load_keys(tmp_path / "none")
    path.write_text("7 " + "ab" * 16 + "  # since May\n")
    assert load_keys(path) == Keys(7, {7: b"\xab" * 16})


# --- Messages


# As sent by the version before the message types were renamed: members of both versions interact.
RECORDED = {
    "l": "92a16c03",
    "L": (
        "93a14c03929307a267316397040203970201d9406162616261626162616261626162616261626162"
        "61626162616261626162616261626162616261626162616261626162616261626162616261626162"
        "61626162a26731a3616e6e05a767312d36332d30970302d940636463646364636463646364636463"
        "64636463646364636463646364636463646364636463646364636463646364636463646364636463"
        "646364636463646364a26732a3626f6206a667322d312d31d9406566656665666566656665666566"
        "65666566656665666566656665666566656665666566656665666566656665666566656665666566"
        "65666566656665666566970100d94031323132313231323132313231323132313231323132313231"
        "323132313231323132313231323132313231323132313231323132313231323132313231323132a2"
        "6731a3616e6e07a767312d36332d32"
    ),
    "u": "93a17503c0",
    "p": "92a1709307a2673163",
    "P": (
        "96a1509307a2673163c39307a2673163929307a267316397040203970201d9406162616261626162"
        "61626162616261626162616261626162616261626162616261626162616261626162616261626162"
        "61626162616261626162616261626162a26731a3616e6e05a767312d36332d30970302d940636463"
        "64636463646364636463646364636463646364636463646364636463646364636463646364636463"
        "646364636463646364636463646364636463646364a26732a3626f6206a667322d312d31d9406566"
        "65666566656665666566656665666566656665666566656665666566656665666566656665666566"
        "65666566656665666566656665666566656665666566970100d94031323132313231323132313231"
        "32313231323132313231323132313231323132313231323132313231323132313231323132313231"
        "3231323132313231323132a26731a3616e6e07a767312d36332d3205"
    ),
    "a": (
        "94a1619307a267316397040203970201d94061626162616261626162616261626162616261626162"
        "61626162616261626162616261626162616261626162616261626162616261626162616261626162"
        "6162a26731a3616e6e05a767312d36332d30970302d9406364636463646364636463646364636463"
        "64636463646364636463646364636463646364636463646364636463646364636463646364636463"
        "64636463646364a26732a3626f6206a667322d312d31d94065666566656665666566656665666566"
        "65666566656665666566656665666566656665666566656665666566656665666566656665666566"
        "6566656665666566970100d940313231323132313231323132313231323132313231323132313231"
        "32313231323132313231323132313231323132313231323132313231323132313231323132a26731"
        "a3616e6e07a767312d36332d3281a2673104"
    ),
    "A": "96a1419307a2673163c29307a26731630691a26731",
    "h": "92a16809",
    "H": "93a1480981a2673104",
    "n": (
        "96a16e929307a267316397040203970201d940616261626162616261626162616261626162616261"
        "62616261626162616261626162616261626162616261626162616261626162616261626162616261"
        "626162a26731a3616e6e05a767312d36332d30970302d94063646364636463646364636463646364"
        "63646364636463646364636463646364636463646364636463646364636463646364636463646364"
        "6364636463646364a26732a3626f6206a667322d312d31d940656665666566656665666566656665"
        "66656665666566656665666566656665666566656665666566656665666566656665666566656665"
        "666566656665666566970100d9403132313231323132313231323132313231323132313231323132"
        "3132313231323132313231323132313231323132313231323132313231323132313231323132a267"
        "31a3616e6e07a767312d36332d329197a2673101630504a3776879c4017781a26731049204c40101"
        "9193a267320191a26733"
    ),
    "q": "93a1710804",
    "g": "93a16708c3",
    "c": (
        "93a163d9406162616261626162616261626162616261626162616261626162616261626162616261"
        "6261626162616261626162616261626162616261626162616261626162cd0400"
    ),
    "C": (
        "95a143d9406162616261626162616261626162616261626162616261626162616261626162616261"
        "6261626162616261626162616261626162616261626162616261626162cd0400cd0800c404646174"
        "61"
    ),
    "i": "93a1690501",
    "I": "92a14905",
    "N": "92a14e05",
    "v": "94a176a26731a2673393a1690500",
}
RECORDED_DATAGRAM = "5348010195a267310b01a2673292a16807e8ba4f9c3a385dab428ee72bf306441c"


def _samples() -> dict[str, Message]:
    ballot, first = Ballot(7, "g1", 99), Version(2, 1, "ab" * 32, "g1", "ann", 5, "g1-63-0")
    second = Version(3, 2, "cd" * 32, "g2", "bob", 6, "g2-1-1")
    policy = Version(1, 0, "12" * 32, "g1", "ann", 7, "g1-63-2")
    state = RegisterState(4, 2, 3, first, second, "ef" * 32, policy)
    chosen = ChosenState(ballot, state)
    record, suspicion = MemberRecord("g1", 1, 99, 5, 4, "why", b"w"), Suspicion("g2", 1, ["g3"])
    return {
        "l": ReadRequest(3),
        "L": ReadReply(3, chosen),
        "u": UnfinishedRound(3, None),
        "p": Prepare(ballot),
        "P": Promise(ballot, True, ballot, chosen, 5),
        "a": Accept(ballot, state, {"g1": 4}),
        "A": Accepted(ballot, False, ballot, 6, ["g1"]),
        "h": VoteRecoveryRequest(9),
        "H": VoteRecoveryReply(9, {"g1": 4}),
        "n": GossipMessage(chosen, [record], {"g1": 4}, (4, b"\x01"), [suspicion]),
        "q": LeaseRequest(8, 4),
        "g": LeaseGrant(8, True),
        "c": BlockRequest("ab" * 32, 1024),
        "C": Block("ab" * 32, 1024, 2048, b"data"),
        "i": Ping(5, 1),
        "I": Ack(5),
        "N": Nack(5),
        "v": Relayed("g1", "g3", Ping(5, 0)),
    }


@pytest.mark.parametrize("tag", RECORDED)
def test_each_message_has_the_bytes_of_the_version_before(tag: str) -> None:
    message, recorded = _samples()[tag], bytes.fromhex(RECORDED[tag])
    assert msgspec.msgpack.encode(message) == recorded
    assert msgspec.msgpack.decode(recorded, type=Message) == message


def test_a_sealed_datagram_has_the_bytes_of_the_version_before() -> None:
    sender, receiver = _pair()
    sealed = sender.seal("g2", VoteRecoveryRequest(7))
    assert sealed == bytes.fromhex(RECORDED_DATAGRAM)
    assert receiver.open(sealed) is not None


# --- Contents


@given(st.binary(max_size=40 * BLOCK_SIZE), st.integers(0, 1 << 30))
def test_a_content_is_fetched_completely_despite_loss_and_duplicates(
    content: bytes, seed: int
) -> None:
    source, fetcher, rng = ContentStore({}), ContentStore({}), random.Random(seed)
    digest, items = source.add(content)
    fetcher.fetch(digest, "a")
    now = 0
    for _ in range(400):
        now += 100_000
        for _, request in fetcher.requests(now, rng, [["a"]]):
            assert isinstance(request, BlockRequest)
            block = source.answer_block(request, now)
            assert block is not None
            if rng.random() < 0.4:
                continue
            for _ in range(1 + (rng.random() < 0.2)):
                fetcher.on_block(block)
        if fetcher.has(digest):
            break
    assert fetcher.compressed == {digest: items[CONTENT_KEY_PREFIX + digest]}
    assert fetcher.read(digest) == content


def test_a_source_of_blocks_is_replaced_whoever_asks_for_the_requests() -> None:
    """Guards against a fetch that keeps asking one member that lacks the content.

    Each repeated Accept sends requests without the list of other sources that a tick passes, and
    so renewed the request to the same member.
    """
    alive, fetcher = ContentStore({}), ContentStore({})
    digest, _ = alive.add(b"content")
    rng = random.Random(1)
    fetcher.fetch(digest, "lacks it")
    asked = [source for source, _ in fetcher.requests(0, rng, [["alive"]])]
    for now in range(S // 5, 2 * S, S // 5):
        asked += [source for source, _ in fetcher.requests(now, rng)]
        asked += [source for source, _ in fetcher.requests(now + S // 20, rng, [["alive"]])]
    assert asked[0] == "lacks it"
    assert set(asked[1:]) == {"alive"}


def test_a_content_is_fetched_though_the_source_of_its_first_block_died() -> None:
    """Guards against a fetch that waits for the rest of the packed form of a dead member.

    Members may pack the same content differently, so the blocks of two of them don't fit together.
    """
    content = random.Random(3).randbytes(4 * BLOCK_SIZE).hex().encode()
    dead, alive, fetcher = ContentStore({}), ContentStore({}), ContentStore({})
    digest, _ = alive.add(content)
    dead.compressed[digest] = zlib.compress(content, 0)
    assert len(dead.compressed[digest]) != len(alive.compressed[digest])
    rng = random.Random(1)
    fetcher.fetch(digest, "dead")
    [(_, first)] = fetcher.requests(0, rng, [["alive"]])
    assert isinstance(first, BlockRequest)
    block = dead.answer_block(first, 0)
    assert block is not None
    fetcher.on_block(block)
    for now in range(S, 11 * S, S // 10):
        for source, request in fetcher.requests(now, rng, [["alive"]]):
            assert isinstance(request, BlockRequest)
            answer = alive.answer_block(request, now) if source == "alive" else None
            if answer is not None:
                fetcher.on_block(answer)
    assert fetcher.has(digest)
    assert fetcher.read(digest) == content


def test_a_content_with_another_digest_is_rejected() -> None:
    source, fetcher = ContentStore({}), ContentStore({})
    digest, _ = source.add(b"x" * 10)
    other = ContentStore({})
    wrong, items = other.add(b"another")
    compressed = items[CONTENT_KEY_PREFIX + wrong]
    fetcher.fetch(digest, "a")
    assert fetcher.on_block(Block(digest, 0, len(compressed), compressed)) == NO_RESULT
    assert fetcher.corrupt_count == 1
    assert not fetcher.has(digest)
    assert fetcher.on_block(Block(digest, 0, 1 << 40, b"")) == NO_RESULT
    never_asked_for = Block(wrong, 0, len(compressed), compressed)
    assert fetcher.on_block(never_asked_for) == NO_RESULT
    assert source.answer_block(BlockRequest(digest, 7), 0) is None
    assert source.answer_block(BlockRequest(digest, 1 << 40), 0) is None


def test_a_state_of_ten_thousand_nodes_is_a_content() -> None:
    nodes = {f"p/n{i}": {"address": f"10.0.{i // 250}.{i % 250}:80"} for i in range(10_000)}
    source, fetcher = ContentStore({}), ContentStore({})
    digest, items = source.add(repr(nodes).encode())
    fetcher.fetch(digest, "a")
    now, sent = 0, 0
    while not fetcher.has(digest):
        now += 1000
        for _, request in fetcher.requests(now, random.Random(1), [["a"]]):
            assert isinstance(request, BlockRequest)
            block = source.answer_block(request, now)
            assert block is not None
            sent += 1
            fetcher.on_block(block)
    assert sent == -(-len(items[CONTENT_KEY_PREFIX + digest]) // BLOCK_SIZE)


# --- Leases


@given(
    st.floats(0.99, 1.01),
    st.floats(0.99, 1.01),
    st.integers(1, 30),
    st.integers(0, 5 * S),
    st.integers(0, 5 * S),
)
def test_a_lease_expires_before_its_voters_report_it(
    rate: float, voter_rate: float, seconds: int, request_delay: int, reply_delay: int
) -> None:
    length = seconds * S
    lease, grants = Lease(length, 1), GrantTable(length, 0)
    number = lease.request(int(100 * S * rate))
    grants.record("m", int((100 * S + request_delay) * voter_rate))
    lease.on_grant("v", number)
    expiry = lease.expires_at() / rate  # in true time
    assert not grants.has_expired("m", int(expiry * voter_rate) - 1000)
    assert lease.expires_at() < int((100 * S + length * 1.01) * rate)
    assert reply_delay >= 0


def test_a_lease_needs_a_majority_and_counts_from_the_request() -> None:
    lease = Lease(10 * S, 2)
    first = lease.request(1 * S)
    lease.on_grant("v1", first)
    assert lease.expires_at() == 0
    lease.on_grant("v2", first)
    until = lease.expires_at()
    assert 1 * S < until <= 11 * S
    second = lease.request(5 * S)
    lease.on_grant("v1", second)
    lease.on_grant("v1", 99)  # never requested
    assert lease.expires_at() == until
    lease.on_grant("v3", second)
    assert lease.expires_at() == until + 4 * S
    assert not GrantTable(10 * S, 7 * S).has_expired("anybody", 16 * S)  # it has just started


# --- The disk


def test_a_disk_returns_what_was_written_and_detects_damage(tmp_path: Path) -> None:
    disk = Disk(tmp_path)
    disk.write({"a": b"1", "b": b"2"})
    disk.write({"a": None, "c": b"3"})
    with pytest.raises(DiskError, match="another gateway holds it"):
        Disk(tmp_path)
    disk.close()
    disk = Disk(tmp_path)
    assert disk.load() == {"b": b"2", "c": b"3"}
    disk.close()
    with sqlite3.connect(tmp_path / "tier.sqlite3") as db:
        db.execute("UPDATE kept SET value = x'00' WHERE name = 'b'")
    db.close()
    with pytest.raises(DiskError, match="damaged: 'b'"):
        Disk(tmp_path).load()
    (tmp_path / "tier.sqlite3").write_bytes(b"\0" * 8192)
    with pytest.raises(DiskError, match="damaged"):
        Disk(tmp_path).load()


# --- The operator file


TIER = {
    "name": "t",
    "key_file": "k",
    "voters": ["g1"],
    "members": [{"name": "g1", "address": "127.0.0.1:7001"}],
}
SECOND_MEMBER = {"name": "g2", "address": "127.0.0.1:7002"}


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"voters": ["g1", "g3"]}, "tier.voters[1]: no member is called 'g3'"),
        ({"voters": ["g1", "g1", "g1"]}, "tier.voters[1]: 'g1' is listed already"),
        (
            {"members": [*TIER["members"], SECOND_MEMBER], "voters": ["g1", "g2"]},
            "tier.voters: 2 voters",
        ),
        (
            {"members": [SECOND_MEMBER], "voters": ["g2"]},
            "tier.members: this gateway, 'g1', is not",
        ),
        ({"members": [*TIER["members"], {**SECOND_MEMBER, "name": "g1"}]}, "tier.members[1].name"),
        ({"lease": "500ms"}, "tier.lease: 500ms is not between 1s and half"),
        ({"lease": "8s"}, "tier.lease: 8s is not between"),
        ({"agree_within": "soon"}, "tier.agree_within: not a duration"),
        ({"lead": "g1"}, "tier.lead: unknown key"),
    ],
)
def test_an_invalid_tier_is_reported_by_its_field(change: dict[str, Any], expected: str) -> None:
    value = file_value([], 8080, {"state_dir": "s"}, routes=[], tier={**TIER, **change})
    with pytest.raises(FileError) as caught:
        parse_value(value)
    assert any(line.startswith(expected) for line in caught.value.problems), caught.value.problems


def test_a_tier_needs_a_state_dir() -> None:
    parse_value(file_value([], 8080, {"state_dir": "s"}, routes=[], tier=TIER))
    with pytest.raises(FileError, match=r"gateway\.state_dir: required in a tier"):
        parse_value(file_value([], 8080, {}, routes=[], tier=TIER))


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("name = 1", "name"),
        ('name = "a"\ngateways = 2\n[[steps]]\nat = 1.0\ndo = "pause"\nwho = ["g3"]', "'g3'"),
        ('name = "a"\n[[steps]]\nat = 1.0\ndo = "explode"', r"steps\[0\].do"),
        ("name = ", "Invalid value"),
    ],
)
def test_an_invalid_scenario_is_reported_by_its_field(
    tmp_path: Path, text: str, expected: str
) -> None:
    path = tmp_path / "s.toml"
    path.write_text(text)
    with pytest.raises(ScenarioError, match=expected):
        load_scenario(path)


# --- Exhaustive exploration of small tiers


def test_every_order_of_two_changes_at_three_voters_keeps_one_sequence() -> None:
    result = Explorer().explore()
    assert result.complete
    assert result.states > 100_000
    assert ("active", "stale") in result.results


class _ForgetsPromises(Acceptor):
    def accept(self, message: Accept) -> tuple[Accepted, bool]:
        self.vote = type(self.vote)(Ballot(0, "", 0), self.vote.accepted, self.vote.stamp)
        return super().accept(message)


class _UnsyncedVotes(Explorer):
    syncs_votes = False


class _ForgottenPromises(Explorer):
    acceptor_type = _ForgetsPromises


@pytest.mark.parametrize(("explorer", "crashes"), [(_ForgottenPromises, 0), (_UnsyncedVotes, 1)])
def test_the_explorer_detects_a_lost_update(explorer: type[Explorer], crashes: int) -> None:
    with pytest.raises(LostUpdateError):
        explorer().explore(crashes=crashes)


# --- The register


def _register_state(revision: int, name: str) -> RegisterState:
    return RegisterState(
        revision, revision, 1, Version(revision, 0, name, "", "", 0, name), None, "r"
    )


def _run_round(attempt: Round, voters: dict[str, Acceptor], answering: str) -> None:
    """Run a round in which only these voters receive and answer."""
    for _ in range(2):
        for name, message in attempt.unanswered():
            if name not in answering:
                continue
            if isinstance(message, Prepare):
                attempt.on_promise(name, voters[name].prepare(message.ballot)[0])
            elif isinstance(message, Accept):
                attempt.on_accepted(name, voters[name].accept(message)[0])


@pytest.mark.parametrize(("write", "revision"), [(True, 1), (False, 2)])
def test_after_a_read_that_writes_nothing_older_is_chosen(write: bool, revision: int) -> None:
    names = "abcde"
    voters = {name: Acceptor(name, names, None) for name in names}
    for voter in voters.values():
        voter.mode = VoterMode.VOTING
    first, leave = _register_state(1, "first"), _register_state(2, "leave")
    _run_round(
        Round(Ballot(1, "a", 0), names, lambda current: Transition(first, ProposalResult.ACTIVE)),
        voters,
        names,
    )
    # The leaving member is killed once a single voter has accepted its leave.
    leaving = Round(
        Ballot(2, "e", 0), names, lambda current: Transition(leave, ProposalResult.ACTIVE)
    )
    for name in "abc":
        leaving.on_promise(name, voters[name].prepare(leaving.ballot)[0])
    voters["c"].accept(Accept(leaving.ballot, leave, {}))
    reading = Round(Ballot(3, "e", 1), names, read, write)
    _run_round(reading, voters, "abd")
    assert reading.chosen is not None
    assert reading.chosen.state == first
    later = Round(Ballot(4, "b", 0), names, read)
    _run_round(later, voters, "cde")
    assert later.transition is not None
    assert later.transition.state.revision == revision


# --- The configuration


@given(
    st.sets(st.integers(0, 40)),
    st.sets(st.integers(0, 40)),
    st.lists(st.tuples(st.integers(0, 2), st.integers(1, 2), st.sets(st.integers(0, 40)))),
)
def test_a_lease_has_expired_if_a_majority_of_voters_report_it_at_that_revision(
    members: set[int], evicted: set[int], reports: list[tuple[int, int, set[int]]]
) -> None:
    configuration = Configuration(
        tuple(f"g{i}" for i in members), tuple(f"g{i}" for i in evicted - members)
    )
    index = ConfigurationIndex(configuration)
    expiry_reports = LeaseExpiryReports(2)
    latest = dict[int, tuple[int, set[str]]]()
    for voter, revision, numbers in reports:
        names = {f"g{i}" for i in numbers} & {*index.names}
        bits = encode_expired_leases(len(index.names), (index.positions[name] for name in names))
        expiry_reports.record(f"v{voter}", (revision, bits))
        latest[voter] = revision, names
    assert list(index.names) == sorted({*configuration.members, *configuration.evicted})
    for name in index.names:
        for revision in (1, 2):
            reporting = sum(
                reported == revision and name in names for reported, names in latest.values()
            )
            assert expiry_reports.is_expired(index.positions[name], revision) == (reporting >= 2)


def test_a_report_of_a_shorter_configuration_covers_no_position_beyond_it() -> None:
    expiry_reports = LeaseExpiryReports(1)
    expiry_reports.record("v", (1, b"\xff"))
    assert expiry_reports.is_expired(7, 1)
    assert not expiry_reports.is_expired(8, 1)


def test_the_names_of_a_configuration_are_sorted_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = World(1, 5, 3, 3 * S)
    world.start()
    world.kernel.run(4 * S)
    world.processes["g4"].pause()
    world.processes["g5"].pause()
    built = []
    real = ConfigurationIndex.__init__

    def counted(self: ConfigurationIndex, configuration: Configuration) -> None:
        built.append(configuration)
        real(self, configuration)

    monkeypatch.setattr(ConfigurationIndex, "__init__", counted)
    world.processes["g1"].propose(1, 0)
    world.kernel.run(world.kernel.now + 2 * S)
    member = world.processes["g1"].member
    assert member is not None
    assert member.waiting_for() == ["g4", "g5"]
    assert built == []
