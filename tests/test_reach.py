"""Subsetting: servers are evenly distributed, change rarely, and are replaced when they fail."""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sailhitch.reach import Subsetter
from sailhitch.reach.ring import Ring, ring_position
from sailhitch.reach.width import GATEWAYS_PER_SERVER, MIN_SERVERS, SubsetSizer
from tests.fake import MS, GatewayHarness, S, server

SIZES = [(5, 1), (5, 12), (40, 60), (214, 145), (214, 12), (1000, 12), (1000, 1000), (35, 1000)]


@dataclass(eq=False)
class FakeServer:
    """A server as subsetting needs it."""

    hash: int
    full: bool = field(default=False)
    failing: bool = field(default=False)

    def is_available(self, now: int) -> bool:
        return not (self.full or self.failing)

    def is_responding(self) -> bool:
        return not self.failing


def fake_servers(count: int, seed: int = 1) -> list[FakeServer]:
    rng = random.Random(seed)
    return [FakeServer(rng.getrandbits(64)) for _ in range(count)]


def subsetters_for(
    indices: range, gateways: int, own: list[FakeServer], others: list[FakeServer] | None = None
) -> list[Subsetter[FakeServer]]:
    subsetters: list[Subsetter[FakeServer]] = [Subsetter(index, gateways) for index in indices]
    for subsetter in subsetters:
        subsetter.set_servers(own, others or [])
        subsetter.select(0)
    return subsetters


def subset_counts(subsetters: list[Subsetter[FakeServer]]) -> Counter[int]:
    return Counter(s.hash for subsetter in subsetters for part in subsetter.subset for s in part)


@pytest.mark.parametrize(("gateways", "servers"), SIZES)
def test_every_server_is_in_about_the_same_number_of_subsets(gateways: int, servers: int) -> None:
    all_servers = fake_servers(servers)
    subsetters = subsetters_for(range(gateways), gateways, all_servers)
    counts = subset_counts(subsetters)
    size = subsetters[0].sizer.target_size(servers)
    mean = gateways * size / servers
    assert len(counts) == servers
    assert mean >= min(gateways, GATEWAYS_PER_SERVER)
    # The discrepancy of the radical inverse grows with the logarithm of the number of gateways.
    slack = 1 + math.log(gateways, 7)
    assert max(abs(count - mean) for count in counts.values()) <= slack


@given(st.integers(2, 300), st.integers(0, 50), st.sampled_from([1, 2, 3, 4, 5, 6, 8]))
def test_ring_positions_of_a_zone_are_spread_evenly(count: int, first: int, step: int) -> None:
    """A zone may have every n-th index, or consecutive ones."""
    positions = [ring_position(first + step * i) for i in range(count)]
    for arc in (0.1, 0.3, 0.5):
        for start in (0.0, 0.15, 0.4):
            inside = sum(start <= position < start + arc for position in positions)
            assert abs(inside - arc * count) <= 2 + 2 * math.log(count, 7)


def test_gateways_with_the_same_index_have_the_same_subset() -> None:
    all_servers = fake_servers(60)
    subsetter, other = subsetters_for(range(3, 4), 40, all_servers) + subsetters_for(
        range(3, 4), 40, list(reversed(all_servers))
    )
    assert subsetter.subset == other.subset


@given(st.integers(0, 10_000), st.integers(30, 150))
def test_replacing_servers_changes_few_other_subset_members(seed: int, servers: int) -> None:
    """Half of the servers are replaced one by one; a change is a server added to a subset."""
    rng = random.Random(seed)
    all_servers = fake_servers(servers, seed)
    subsetters = subsetters_for(range(40), 40, all_servers)
    for subsetter in subsetters:
        subsetter.sizer.gateway_count = 10 * GATEWAYS_PER_SERVER  # so all have the minimum size
        subsetter.set_servers(all_servers, [])
        subsetter.select(0)
        subsetter.changes = 0
    needed = 0
    for old in rng.sample(all_servers, servers // 2):
        needed += subset_counts(subsetters)[old.hash]
        all_servers.remove(old)
        added = FakeServer(rng.getrandbits(64))
        all_servers.append(added)
        for subsetter in subsetters:
            subsetter.set_servers(all_servers, [])
            subsetter.select(0)
        needed += subset_counts(subsetters)[added.hash]
    # Without anchors, by rank alone, there are more than four times as many changes as needed.
    assert sum(subsetter.changes for subsetter in subsetters) <= 2.2 * needed


def test_most_of_the_subset_is_in_the_own_zone() -> None:
    own, others = fake_servers(30, 1), fake_servers(120, 2)
    (subsetter,) = subsetters_for(range(7, 8), 214, own, others)
    own_subset, other_subset = subsetter.subset
    assert set(map(id, own_subset)) <= set(map(id, own))
    assert len(own_subset) + len(other_subset) == subsetter.sizer.target_size(150)
    assert len(own_subset) > 2 * len(other_subset) > 0
    # If the own zone has fewer servers than its share, the rest is taken from other zones.
    (small,) = subsetters_for(range(7, 8), 214, own[:3], others)
    assert len(small.subset[0]) == 3
    assert sum(map(len, small.subset)) == small.sizer.target_size(123)


@pytest.mark.parametrize("fault", ["failing", "full"])
def test_unavailable_servers_are_replaced_at_once_and_return(fault: str) -> None:
    all_servers = fake_servers(145)
    (subsetter,) = subsetters_for(range(9, 10), 214, all_servers)
    before = subsetter.subset[0]
    for faulty in before[2:8]:
        setattr(faulty, fault, True)
    subsetter.review_at = 0  # as the decision module does after an ejection or a rejection
    available = [s for s in subsetter.select(1)[0] if s.is_available(1)]
    assert len(available) == len(before)
    for faulty in before:
        setattr(faulty, fault, False)
    assert subsetter.select(1 + S)[0] == before


def test_if_all_servers_are_full_the_subset_at_most_doubles() -> None:
    all_servers = fake_servers(145)
    (subsetter,) = subsetters_for(range(9, 10), 214, all_servers)
    size = len(subsetter.subset[0])
    for fake_server in all_servers:
        fake_server.full = True
    subsetter.review_at = 0
    assert len(subsetter.select(1)[0]) <= 2 * size
    # Failing servers do not limit the size: the available ones are behind them.
    for fake_server in all_servers[:140]:
        fake_server.full, fake_server.failing = False, True
    for fake_server in all_servers[140:]:
        fake_server.full = False
    assert {s.hash for s in all_servers[140:]} <= {s.hash for s in subsetter.select(S)[0]}


@pytest.mark.parametrize(("index", "gateways"), [(-1, 214), (214, 214), (0, 1), (3, 5)])
def test_without_a_valid_index_or_with_few_gateways_all_servers_are_used(
    index: int, gateways: int
) -> None:
    own, others = fake_servers(12), fake_servers(30, 2)
    subsetter: Subsetter[FakeServer] = Subsetter(index, gateways)
    subsetter.set_servers(own, others)
    subset = subsetter.select(0)
    assert subset[0] is own
    assert subset[1] is others


def test_the_subset_grows_at_once_with_traffic_and_shrinks_slowly() -> None:
    sizer = SubsetSizer(214)
    now = 100 * S
    for _ in range(200):
        now += 100 * MS
        sizer.on_request(now)
    usual_size = sizer.target_size(145)
    assert usual_size == max(MIN_SERVERS, math.ceil(GATEWAYS_PER_SERVER * 145 / 214))
    for _ in range(100):
        now += 10 * MS
        sizer.on_request(now)
    peak_size = sizer.target_size(145)
    assert peak_size > 1.2 * usual_size
    for _ in range(100):
        now += 100 * MS
        sizer.on_request(now)
    assert sizer.target_size(145) > 0.6 * peak_size
    for _ in range(1000):
        now += 100 * MS
        sizer.on_request(now)
    assert sizer.target_size(145) == usual_size


def test_a_subset_that_shrinks_starts_at_the_gateways_own_position() -> None:
    all_servers = fake_servers(145)
    subsets = []
    for index in (1, 2):
        subsetter: Subsetter[FakeServer] = Subsetter(index, 214)
        subsetter.sizer.peak = 1e6
        subsetter.set_servers(all_servers, [])
        assert len(subsetter.select(0)[0]) == 145
        subsetter.sizer.peak = 0.0  # without a change of the list since then
        subsets.append({s.hash for s in subsetter.select(S)[0]})
    assert not subsets[0] & subsets[1]


def test_a_ring_keeps_its_anchor_until_that_has_drifted_too_far() -> None:
    all_servers = sorted(fake_servers(100), key=lambda s: s.hash)
    ring = Ring(0.5)
    first = ring.rotate(all_servers)[0]
    assert first is all_servers[50]
    assert ring.rotate(all_servers[1:])[0] is first
    assert ring.rotate(all_servers[10:])[0] is all_servers[10 + 45]
    assert ring.rotate([]) == []


@pytest.mark.parametrize(
    "changes", [{"me": None}, {"me": 214, "balancers": 214}, {"balancers": 0}, {"me": 3}]
)
def test_an_invalid_index_uses_all_servers_and_logs_one_line(
    changes: dict[str, Any],
) -> None:
    harness = GatewayHarness(*(server(f"s{i}") for i in range(300)), **changes)
    log_lines = [action for action in harness.port.actions if action[0] == "log"]
    subset, _ = harness.gateway.endpoint_table.subsetter.select(harness.now)
    is_valid = changes == {"me": 3}
    assert len(log_lines) == (not is_valid)
    assert len(subset) == 300
