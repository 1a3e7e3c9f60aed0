"""Which servers a gateway uses: evenly shared out, few changes, replaced when they fail."""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sailhitch.reach import Reach
from sailhitch.reach.ring import Ring, ring_position
from sailhitch.reach.width import COVER, MIN_SERVERS, Width
from tests.fake import MS, S, World, server

SIZES = [(5, 1), (5, 12), (40, 60), (214, 145), (214, 12), (1000, 12), (1000, 1000), (35, 1000)]


@dataclass(eq=False)
class Spot:
    """A server as reach knows it."""

    hash: int
    full: bool = field(default=False)
    dead: bool = field(default=False)

    def is_available(self, now: int) -> bool:
        return not (self.full or self.dead)

    def is_responding(self) -> bool:
        return not self.dead


def spots(count: int, seed: int = 1) -> list[Spot]:
    draws = random.Random(seed)
    return [Spot(draws.getrandbits(64)) for _ in range(count)]


def tier(
    numbers: range, gateways: int, own: list[Spot], others: list[Spot] | None = None
) -> list[Reach[Spot]]:
    found: list[Reach[Spot]] = [Reach(me, gateways) for me in numbers]
    for one in found:
        one.sort(own, others or [])
        one.select(0)
    return found


def cover(reaches: list[Reach[Spot]]) -> Counter[int]:
    return Counter(s.hash for one in reaches for part in one.subset for s in part)


@pytest.mark.parametrize(("gateways", "servers"), SIZES)
def test_every_server_is_in_the_reach_of_about_as_many_gateways(
    gateways: int, servers: int
) -> None:
    there = spots(servers)
    reaches = tier(range(gateways), gateways, there)
    counts = cover(reaches)
    width = reaches[0].width.wanted(servers)
    mean = gateways * width / servers
    assert len(counts) == servers
    assert mean >= min(gateways, COVER)
    # The radical inverse's discrepancy grows as the logarithm of the number of gateways.
    slack = 1 + math.log(gateways, 7)
    assert max(abs(count - mean) for count in counts.values()) <= slack


@given(st.integers(2, 300), st.integers(0, 50), st.sampled_from([1, 2, 3, 4, 5, 6, 8]))
def test_places_of_a_zones_gateways_are_spread_evenly(count: int, first: int, step: int) -> None:
    """Whether a zone has every n-th number or a run of them."""
    places = [ring_position(first + step * i) for i in range(count)]
    for arc in (0.1, 0.3, 0.5):
        for begin in (0.0, 0.15, 0.4):
            inside = sum(begin <= place < begin + arc for place in places)
            assert abs(inside - arc * count) <= 2 + 2 * math.log(count, 7)


def test_gateways_with_one_number_reach_the_same_and_do_no_harm() -> None:
    there = spots(60)
    one, other = tier(range(3, 4), 40, there) + tier(range(3, 4), 40, list(reversed(there)))
    assert one.subset == other.subset


@given(st.integers(0, 10_000), st.integers(30, 150))
def test_what_comes_and_goes_moves_few_others(seed: int, servers: int) -> None:
    """Half of the servers are replaced one by one; a change is a server that comes into reach."""
    draws = random.Random(seed)
    there = spots(servers, seed)
    reaches = tier(range(40), 40, there)
    for one in reaches:
        one.width.gateways = 10 * COVER  # so that all have the least width
        one.sort(there, [])
        one.select(0)
        one.changes = 0
    due = 0
    for old in draws.sample(there, servers // 2):
        due += cover(reaches)[old.hash]
        there.remove(old)
        fresh = Spot(draws.getrandbits(64))
        there.append(fresh)
        for one in reaches:
            one.sort(there, [])
            one.select(0)
        due += cover(reaches)[fresh.hash]
    # By rank alone, with no anchor, it is four times what is due and more.
    assert sum(one.changes for one in reaches) <= 2.2 * due


def test_the_own_zone_comes_first_and_a_few_are_of_others() -> None:
    own, others = spots(30, 1), spots(120, 2)
    (one,) = tier(range(7, 8), 214, own, others)
    mine, rest = one.subset
    assert set(map(id, mine)) <= set(map(id, own))
    assert len(mine) + len(rest) == one.width.wanted(150)
    assert len(mine) > 2 * len(rest) > 0
    # A zone with fewer servers than its part: the rest is taken from others.
    (small,) = tier(range(7, 8), 214, own[:3], others)
    assert len(small.subset[0]) == 3
    assert sum(map(len, small.subset)) == small.width.wanted(123)


@pytest.mark.parametrize("sign", ["dead", "full"])
def test_what_fails_in_reach_is_replaced_at_once_and_comes_back(sign: str) -> None:
    there = spots(145)
    (one,) = tier(range(9, 10), 214, there)
    before = one.subset[0]
    for bad in before[2:8]:
        setattr(bad, sign, True)
    one.review_at = 0  # as the module says when it shuns or rests one
    able = [s for s in one.select(1)[0] if s.is_available(1)]
    assert len(able) == len(before)
    for bad in before:
        setattr(bad, sign, False)
    assert one.select(1 + S)[0] == before


def test_where_all_are_full_it_gets_no_wider_than_twice() -> None:
    there = spots(145)
    (one,) = tier(range(9, 10), 214, there)
    width = len(one.subset[0])
    for spot in there:
        spot.full = True
    one.review_at = 0
    assert len(one.select(1)[0]) <= 2 * width
    # Dead ones are no reason to stop: those that idle are behind them.
    for spot in there[:140]:
        spot.full, spot.dead = False, True
    for spot in there[140:]:
        spot.full = False
    assert {s.hash for s in there[140:]} <= {s.hash for s in one.select(S)[0]}


@pytest.mark.parametrize(("me", "gateways"), [(-1, 214), (214, 214), (0, 1), (3, 5)])
def test_without_a_number_or_with_few_gateways_all_are_in_reach_as_they_came(
    me: int, gateways: int
) -> None:
    own, others = spots(12), spots(30, 2)
    one: Reach[Spot] = Reach(me, gateways)
    one.sort(own, others)
    near = one.select(0)
    assert near[0] is own
    assert near[1] is others


def test_a_gateway_with_much_traffic_reaches_further_at_once_and_narrows_slowly() -> None:
    width = Width(214)
    now = 100 * S
    for _ in range(200):
        now += 100 * MS
        width.on_request(now)
    usual = width.wanted(145)
    assert usual == max(MIN_SERVERS, math.ceil(COVER * 145 / 214))
    for _ in range(100):
        now += 10 * MS
        width.on_request(now)
    wide = width.wanted(145)
    assert wide > 1.2 * usual
    for _ in range(100):
        now += 100 * MS
        width.on_request(now)
    assert width.wanted(145) > 0.6 * wide
    for _ in range(1000):
        now += 100 * MS
        width.on_request(now)
    assert width.wanted(145) == usual


def test_a_gateway_whose_traffic_falls_off_begins_at_its_own_place() -> None:
    there = spots(145)
    near = []
    for me in (1, 2):
        one: Reach[Spot] = Reach(me, 214)
        one.width.peak = 1e6
        one.sort(there, [])
        assert len(one.select(0)[0]) == 145
        one.width.peak = 0.0  # with no news of the list since
        near.append({s.hash for s in one.select(S)[0]})
    assert not near[0] & near[1]


def test_a_ring_keeps_its_first_until_that_has_drifted() -> None:
    there = sorted(spots(100), key=lambda s: s.hash)
    ring = Ring(0.5)
    first = ring.rotate(there)[0]
    assert first is there[50]
    assert ring.rotate(there[1:])[0] is first
    assert ring.rotate(there[10:])[0] is there[10 + 45]
    assert ring.rotate([]) == []


@pytest.mark.parametrize(
    "told", [{"me": None}, {"me": 214, "balancers": 214}, {"balancers": 0}, {"me": 3}]
)
def test_a_number_that_is_none_gives_the_full_view_and_one_line_in_the_log(
    told: dict[str, Any],
) -> None:
    world = World(*(server(f"s{i}") for i in range(300)), **told)
    said = [action for action in world.port.actions if action[0] == "log"]
    near, _ = world.gateway.endpoint_table.reach.select(world.now)
    good = told == {"me": 3}
    assert len(said) == (not good)
    assert len(near) == 300
