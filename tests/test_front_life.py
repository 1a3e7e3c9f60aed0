"""Life tables: the value of a waiting connection."""

from __future__ import annotations

import math

import pytest

from sailhitch.front.survival import (
    OCTAVES,
    WIDTHS,
    Kind,
    LifeTables,
    decay_factor,
    gap_kind,
    octave,
)

MS, S = 1_000, 1_000_000


def test_octaves_cover_all_ages_without_gaps() -> None:
    edges = [0.0]
    for width in WIDTHS:
        edges.append(edges[-1] + width)
    for at in range(OCTAVES - 1):
        assert octave(int(edges[at])) == at
        assert octave(int(edges[at + 1]) - 1) == at
    assert octave(-5) == 0
    assert octave(10**12) == OCTAVES - 1


@pytest.mark.parametrize(
    ("gap", "kind"),
    [
        (0, Kind.GAP_16MS),
        (16 * MS, Kind.GAP_16MS),
        (17 * MS, Kind.GAP_64MS),
        (100 * MS, Kind.GAP_256MS),
        (1000 * MS, Kind.GAP_1S),
        (3 * S, Kind.GAP_4S),
        (10 * S, Kind.GAP_LONG),
        (10**12, Kind.GAP_LONG),
    ],
)
def test_a_gap_falls_into_the_kind_of_its_name(gap: int, kind: Kind) -> None:
    assert gap_kind(gap) == kind


def test_a_kind_that_returns_soon_has_a_higher_value_than_one_that_never_does() -> None:
    tables = LifeTables()
    for _ in range(100):
        tables.on_request(Kind.GAP_64MS, 50 * MS)
        tables.on_closed(Kind.ONCE, 1 * S)
    tables.refresh((), 1.0, 1 * S)
    assert tables.expected_requests[Kind.GAP_64MS][0] > 0.85
    assert tables.expected_requests[Kind.ONCE][0] < 0.15


def test_waits_that_never_end_lower_the_value() -> None:
    # A connection that its client holds forever never enters the tables as ended.
    tables = LifeTables()
    for _ in range(20):
        tables.on_request(Kind.ONCE, 20 * MS)
    tables.refresh((), 1.0, 1 * S)
    before = tables.expected_requests[Kind.ONCE][octave(500 * MS)]
    tables.refresh([(Kind.ONCE, 10 * S)] * 200, 1.0, 1 * S)
    assert tables.expected_requests[Kind.ONCE][octave(500 * MS)] < before / 3
    assert tables.expected_requests[Kind.ONCE][0] < 0.2


def test_the_value_is_high_before_the_usual_gap_and_low_after_it() -> None:
    tables = LifeTables()
    for _ in range(200):
        tables.on_request(Kind.GAP_4S, 3 * S)
    tables.refresh((), 1.0, 500 * MS)
    values = tables.expected_requests[Kind.GAP_4S]
    assert values[octave(2500 * MS)] > 5 * values[octave(10 * MS)]


def test_the_value_for_a_constant_hazard_matches_theory() -> None:
    # For exponential gaps of mean m and the horizon T, the value is T / (T + m) at any age.
    mean, horizon = 400 * MS, 1 * S
    tables = LifeTables()
    for i in range(20_000):
        u = (i + 0.5) / 20_000
        tables.on_request(Kind.ONCE, int(-math.log(1 - u) * mean))
    tables.refresh((), 1.0, horizon)
    expected = horizon / (horizon + mean)
    for at in range(2, octave(800 * MS)):
        assert tables.expected_requests[Kind.ONCE][at] == pytest.approx(expected, abs=0.05)


def test_old_counts_decay() -> None:
    tables = LifeTables()
    for _ in range(1000):
        tables.on_closed(Kind.ONCE, 1 * S)
    tables.refresh((), 1.0, 1 * S)
    low = tables.expected_requests[Kind.ONCE][0]
    for _ in range(200):
        tables.refresh((), decay_factor(2 * S), 1 * S)
    assert tables.expected_requests[Kind.ONCE][0] > 2 * low


def test_a_quantile_of_few_requests_is_the_default() -> None:
    tables = LifeTables()
    assert tables.request_age_quantile(Kind.HEAD, 0.99, 77) == 77
    for _ in range(200):
        tables.on_request(Kind.HEAD, 3 * MS)
    assert 3 * MS <= tables.request_age_quantile(Kind.HEAD, 0.99, 77) <= 8 * MS
