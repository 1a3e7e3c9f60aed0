"""The four rules that the decision module must keep, each checked at its own guard."""

from __future__ import annotations

import pytest

from sailhitch.policy_interface import (
    AttemptOutcome,
    EndpointState,
    WatchEventKind,
)
from tests.fake import (
    KEYED_ALL,
    KEYED_CELL,
    KEYED_ZONE,
    MS,
    SAFE,
    START,
    UNSAFE,
    GatewayHarness,
    S,
    server,
)

THREE_CELLS = [server("a", 0, 1), server("b", 0, 2), server("c", 1, 3)]


@pytest.mark.parametrize("cls", [SAFE, UNSAFE, KEYED_ALL, KEYED_ZONE, KEYED_CELL])
def test_every_request_gets_one_response_before_its_deadline(cls: int) -> None:
    harness = GatewayHarness()  # nothing to send to
    harness.request(7, cls)
    harness.run(4 * S)
    assert harness.port.final_actions(7) == ["refuse"]
    harness.gateway.client_disconnected(harness.now, 7)
    harness.run(6 * S)
    assert len(harness.port.final_actions(7)) == 1


def test_a_held_request_is_answered_before_its_deadline() -> None:
    harness = GatewayHarness()
    harness.request(7, SAFE, time_limit=300 * MS)
    harness.run(320 * MS)
    assert harness.port.final_actions(7) == ["refuse"]


def test_nothing_is_sent_for_a_request_that_ended() -> None:
    harness = GatewayHarness(*THREE_CELLS)
    harness.request(7)
    harness.gateway.client_disconnected(harness.now, 7)
    harness.outcome(7, 0, AttemptOutcome.CONNECT_FAILED, closed=True)
    harness.run(4 * S)
    assert len(harness.port.sends(7)) == 1
    assert harness.port.final_actions(7) == []


@pytest.mark.parametrize(
    "status", [AttemptOutcome.ERROR, AttemptOutcome.RESET, AttemptOutcome.TIMEOUT]
)
def test_an_unsafe_request_that_may_have_run_is_failed_not_repeated(status: AttemptOutcome) -> None:
    harness = GatewayHarness(*THREE_CELLS)
    harness.request(7, UNSAFE)
    harness.outcome(7, 0, status)
    assert len(harness.port.sends(7)) == 1
    assert harness.port.final_actions(7) == ["fail"]


@pytest.mark.parametrize("status", [AttemptOutcome.BUSY, AttemptOutcome.CONNECT_FAILED])
def test_an_unsafe_request_that_never_ran_is_retried(status: AttemptOutcome) -> None:
    harness = GatewayHarness(*THREE_CELLS)
    harness.request(7, UNSAFE)
    harness.outcome(7, 0, status, latency=5 * MS)
    assert len(harness.port.sends(7)) == 2
    assert harness.port.final_actions(7) == []


@pytest.mark.parametrize(
    ("cls", "allowed"), [(KEYED_ALL, "abc"), (KEYED_ZONE, "ab"), (KEYED_CELL, "a")]
)
def test_a_keyed_request_is_retried_only_within_its_scope(cls: int, allowed: str) -> None:
    for seed in range(20):
        harness = GatewayHarness(server("a", 0, 1), seed=seed)
        harness.request(7, cls)
        harness.gateway.on_watch_event(harness.now, WatchEventKind.SNAPSHOT, THREE_CELLS)
        harness.outcome(7, 0, AttemptOutcome.RESET, latency=5 * MS)
        harness.run(900 * MS)
        assert set(harness.port.sends(7)) <= set(allowed)
        assert len(harness.port.sends(7)) == 2


def test_a_keyed_request_is_not_retried_after_its_window() -> None:
    harness = GatewayHarness(
        *THREE_CELLS,
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
    harness.request(7, 0, time_limit=9 * S)
    harness.now = START + 3 * S
    harness.outcome(7, 0, AttemptOutcome.RESET, latency=3 * S)
    harness.run(9 * S)
    assert len(harness.port.sends(7)) == 1
    assert harness.port.final_actions(7) == ["refuse"]  # every server recognizes a repeat


@pytest.mark.parametrize("cls", [KEYED_ZONE, KEYED_CELL])
def test_a_keyed_request_of_limited_scope_that_may_have_run_is_failed(
    cls: int,
) -> None:
    harness = GatewayHarness(server("a", 0, 1))
    harness.request(7, cls)
    harness.gateway.on_watch_event(
        harness.now, WatchEventKind.CHANGES, [server("a", 0, 1, state=EndpointState.GONE)]
    )
    harness.outcome(7, 0, AttemptOutcome.RESET)
    harness.run(4 * S)
    assert harness.port.final_actions(7) == ["fail"]


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_nothing_new_goes_to_a_server_known_to_drain_or_be_gone(state: EndpointState) -> None:
    harness = GatewayHarness(server("a"), server("b"))
    harness.gateway.on_watch_event(harness.now, WatchEventKind.CHANGES, [server("a", state=state)])
    for req in range(50):
        harness.request(req)
    assert set(harness.port.sends()) == {"b"}


def test_a_server_missing_from_a_full_list_gets_no_requests() -> None:
    harness = GatewayHarness(server("a"), server("b"))
    harness.gateway.on_watch_event(harness.now, WatchEventKind.SNAPSHOT, [server("b")])
    for req in range(50):
        harness.request(req)
    assert set(harness.port.sends()) == {"b"}


def test_a_cold_server_gets_no_more_than_its_share() -> None:
    warm = [server(f"w{i}") for i in range(9)]
    harness = GatewayHarness(*warm, server("cold", boot=START - 1))
    for req in range(2000):
        harness.request(req)
        harness.outcome(req, 0, AttemptOutcome.OK, closed=True, latency=20 * MS)
    sent = harness.port.sends()
    # It is one of ten servers, and has a fifth of a warm server's capacity at the start.
    assert 0 < sent.count("cold") < 2000 / 10 * 0.2 * 1.6


def test_a_cold_server_does_not_get_all_requests_when_the_others_are_gone() -> None:
    harness = GatewayHarness(server("a"), server("cold", boot=START - 1))
    harness.gateway.on_watch_event(
        harness.now, WatchEventKind.CHANGES, [server("a", state=EndpointState.GONE)]
    )
    for req in range(100):
        harness.request(req)
    harness.run(500 * MS)
    assert len(harness.port.sends()) < 100


def test_retire_answers_held_requests_at_once_and_holds_no_more() -> None:
    harness = GatewayHarness()
    harness.request(7, SAFE)
    harness.request(8, KEYED_ALL)
    assert harness.port.final_actions(7) == harness.port.final_actions(8) == []
    harness.gateway.retire(harness.now)
    assert harness.port.final_actions(7) == harness.port.final_actions(8) == ["refuse"]
    harness.request(9, SAFE)
    assert harness.port.final_actions(9) == ["refuse"]
    harness.run(6 * S)
    assert all(len(harness.port.final_actions(req)) == 1 for req in (7, 8, 9))


def test_requests_in_flight_at_retire_are_finished() -> None:
    harness = GatewayHarness(server("a"))
    harness.request(7, UNSAFE)
    harness.gateway.retire(harness.now)
    assert harness.port.final_actions(7) == []
    harness.outcome(7, 0, AttemptOutcome.RESET)
    assert harness.port.final_actions(7) == ["fail"]
