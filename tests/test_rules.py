"""The four rules, each with the guard in the module that keeps it."""

from __future__ import annotations

import pytest

from sailhitch.policy_interface import (
    AttemptOutcome,
    EndpointState,
    WatchEventKind,
)
from tests.fake import KEYED_ALL, KEYED_CELL, KEYED_ZONE, MS, SAFE, START, UNSAFE, S, World, server

TWO_CELLS = [server("a", 0, 1), server("b", 0, 2), server("c", 1, 3)]


@pytest.mark.parametrize("cls", [SAFE, UNSAFE, KEYED_ALL, KEYED_ZONE, KEYED_CELL])
def test_every_request_gets_one_answer_before_its_client_gives_up(cls: int) -> None:
    world = World()  # nothing to send to
    world.request(7, cls)
    world.run(4 * S)
    assert world.port.ends(7) == ["refuse"]
    world.gateway.client_disconnected(world.now, 7)
    world.run(6 * S)
    assert len(world.port.ends(7)) == 1


def test_the_held_answer_is_in_time() -> None:
    world = World()
    world.request(7, SAFE, lasts=300 * MS)
    world.run(320 * MS)
    assert world.port.ends(7) == ["refuse"]


def test_nothing_is_sent_for_a_request_that_ended() -> None:
    world = World(*TWO_CELLS)
    world.request(7)
    world.gateway.client_disconnected(world.now, 7)
    world.outcome(7, 0, AttemptOutcome.CONNECT_FAILED, closed=True)
    world.run(4 * S)
    assert len(world.port.sends(7)) == 1
    assert world.port.ends(7) == []


@pytest.mark.parametrize(
    "status", [AttemptOutcome.ERROR, AttemptOutcome.RESET, AttemptOutcome.TIMEOUT]
)
def test_an_unsafe_request_that_may_have_run_is_failed_not_repeated(status: AttemptOutcome) -> None:
    world = World(*TWO_CELLS)
    world.request(7, UNSAFE)
    world.outcome(7, 0, status)
    assert len(world.port.sends(7)) == 1
    assert world.port.ends(7) == ["fail"]


@pytest.mark.parametrize("status", [AttemptOutcome.BUSY, AttemptOutcome.CONNECT_FAILED])
def test_an_unsafe_request_that_surely_never_ran_is_sent_on(status: AttemptOutcome) -> None:
    world = World(*TWO_CELLS)
    world.request(7, UNSAFE)
    world.outcome(7, 0, status, latency=5 * MS)
    assert len(world.port.sends(7)) == 2
    assert world.port.ends(7) == []


@pytest.mark.parametrize(
    ("cls", "allowed"), [(KEYED_ALL, "abc"), (KEYED_ZONE, "ab"), (KEYED_CELL, "a")]
)
def test_a_keyed_repeat_stays_in_the_group_that_drops_it(cls: int, allowed: str) -> None:
    for seed in range(20):
        world = World(server("a", 0, 1), seed=seed)
        world.request(7, cls)
        world.gateway.on_watch_event(world.now, WatchEventKind.SNAPSHOT, TWO_CELLS)
        world.outcome(7, 0, AttemptOutcome.RESET, latency=5 * MS)
        world.run(900 * MS)
        assert set(world.port.sends(7)) <= set(allowed)
        assert len(world.port.sends(7)) == 2


def test_a_keyed_request_is_not_repeated_after_its_window() -> None:
    world = World(
        *TWO_CELLS,
        classes=[
            {
                "importance": 1,
                "goalTime": 9 * S,
                "deadline": 9 * S,
                "repeat": "token",
                "dedupScope": "all",
                "memorySpan": 2 * S,
            }
        ],
    )
    world.request(7, 0, lasts=9 * S)
    world.now = START + 3 * S
    world.outcome(7, 0, AttemptOutcome.RESET, latency=3 * S)
    world.run(9 * S)
    assert len(world.port.sends(7)) == 1
    assert world.port.ends(7) == ["refuse"]  # every server drops the repeat: a refusal is true


@pytest.mark.parametrize("cls", [KEYED_ZONE, KEYED_CELL])
def test_a_refusal_is_never_a_lie(cls: int) -> None:
    world = World(server("a", 0, 1))
    world.request(7, cls)
    world.gateway.on_watch_event(
        world.now, WatchEventKind.CHANGES, [server("a", 0, 1, state=EndpointState.GONE)]
    )
    world.outcome(7, 0, AttemptOutcome.RESET)
    world.run(4 * S)
    assert world.port.ends(7) == ["fail"]


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_nothing_new_goes_to_a_server_known_to_drain_or_be_gone(state: EndpointState) -> None:
    world = World(server("a"), server("b"))
    world.gateway.on_watch_event(world.now, WatchEventKind.CHANGES, [server("a", state=state)])
    for req in range(50):
        world.request(req)
    assert set(world.port.sends()) == {"b"}


def test_a_server_missing_from_a_full_list_is_gone() -> None:
    world = World(server("a"), server("b"))
    world.gateway.on_watch_event(world.now, WatchEventKind.SNAPSHOT, [server("b")])
    for req in range(50):
        world.request(req)
    assert set(world.port.sends()) == {"b"}


def test_a_cold_server_gets_no_more_than_its_part() -> None:
    warm = [server(f"w{i}") for i in range(9)]
    world = World(*warm, server("cold", boot=START - 1))
    for req in range(2000):
        world.request(req)
        world.outcome(req, 0, AttemptOutcome.OK, closed=True, latency=20 * MS)
    sent = world.port.sends()
    # It has a fifth of a server's capacity for sure, and one tenth of the servers' number.
    assert 0 < sent.count("cold") < 2000 / 10 * 0.2 * 1.6


def test_a_cold_server_is_not_the_way_out_when_all_others_are_gone() -> None:
    world = World(server("a"), server("cold", boot=START - 1))
    world.gateway.on_watch_event(
        world.now, WatchEventKind.CHANGES, [server("a", state=EndpointState.GONE)]
    )
    for req in range(100):
        world.request(req)
    world.run(500 * MS)
    assert len(world.port.sends()) < 100


def test_a_module_that_retires_answers_what_it_holds_at_once_and_holds_nothing_more() -> None:
    world = World()
    world.request(7, SAFE)
    world.request(8, KEYED_ALL)
    assert world.port.ends(7) == world.port.ends(8) == []
    world.gateway.retire(world.now)
    assert world.port.ends(7) == world.port.ends(8) == ["refuse"]
    world.request(9, SAFE)
    assert world.port.ends(9) == ["refuse"]
    world.run(6 * S)
    assert all(len(world.port.ends(req)) == 1 for req in (7, 8, 9))


def test_what_is_out_when_its_module_retires_goes_on_to_its_end() -> None:
    world = World(server("a"))
    world.request(7, UNSAFE)
    world.gateway.retire(world.now)
    assert world.port.ends(7) == []
    world.outcome(7, 0, AttemptOutcome.RESET)
    assert world.port.ends(7) == ["fail"]
