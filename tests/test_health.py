"""Silent, failing and slow servers are left alone, and tried again later."""

from __future__ import annotations

import pytest

from sillusher.interface import BUSY, CONNECT_FAILED, ERROR, OK, RESET, TIMEOUT, Report
from tests.fake import MS, SAFE, START, S, World, server


def fleet(n: int = 6) -> World:
    return World(*(server(f"s{i}") for i in range(n)))


def answer_all_but(world: World, silent: str, reqs: range, gap: int = 20 * MS) -> list[str]:
    """One request after the other; all answer but one server. Returns where they went."""
    went = []
    for req in reqs:
        world.request(req)
        where = world.port.sends(req)[0]
        went.append(where)
        world.run(world.now + gap - START)
        if where != silent:
            world.outcome(req, 0, OK, closed=True, latency=gap, report=Report(0.0, 15.0 * MS))
    return went


def test_a_server_that_answers_nothing_gets_next_to_nothing() -> None:
    world = fleet()
    answer_all_but(world, "", range(200))
    went = answer_all_but(world, "s3", range(1000, 1400))
    assert went.count("s3") <= 6


def test_a_time_out_with_no_sign_of_life_since_shuns_a_server_and_a_trial_frees_it() -> None:
    world = fleet()
    answer_all_but(world, "", range(200))
    held = burst(world, "s3", 1000)
    world.run(world.now + 1500 * MS - START)
    for req in held:
        world.outcome(req, 0, TIMEOUT, latency=1500 * MS)
    held = burst(world, "s3", 2000)
    assert len(held) <= 1  # of 24 to 6 servers
    world.run(world.now + 1500 * MS - START)
    for req in held:
        world.outcome(req, 0, TIMEOUT, latency=1500 * MS)
    world.run(world.now + 4 * S - START)
    assert len(burst(world, "s3", 3000)) > 1


def burst(world: World, silent: str, first: int, count: int = 24) -> list[int]:
    """Requests all at once; all are answered but those at one server, which are returned."""
    for req in range(first, first + count):
        world.request(req)
    world.run(world.now + 20 * MS - START)
    held = []
    for req in range(first, first + count):
        if world.port.sends(req)[0] == silent:
            held.append(req)
        else:
            world.outcome(req, 0, OK, closed=True, latency=20 * MS, report=Report(0.0, 15.0 * MS))
    return held


def test_one_dead_server_is_no_overload() -> None:
    world = fleet(12)
    answer_all_but(world, "", range(300))
    held = burst(world, "s3", 1000, 48)  # some of it to a server that then dies
    assert held
    world.run(world.now + 2 * S - START)
    for req in held:
        world.outcome(req, 0, TIMEOUT, latency=2 * S)
    for req in range(2000, 2100):
        world.request(req)
        assert world.port.ends(req) == []


@pytest.mark.parametrize("status", [ERROR, RESET, CONNECT_FAILED])
def test_quick_errors_do_not_make_a_server_look_fast(status: str) -> None:
    world = fleet()
    answer_all_but(world, "", range(200))
    bad = 0
    for req in range(1000, 1200):
        world.request(req)
        attempt = 0
        while world.port.sends(req)[attempt] == "s3":
            bad += 1
            world.outcome(req, attempt, status, latency=1 * MS)
            attempt += 1
            if attempt >= len(world.port.sends(req)):
                break
        else:
            world.run(world.now + 20 * MS - START)
            world.outcome(req, attempt, OK, closed=True, latency=20 * MS)
    assert bad < 12


def test_a_full_server_is_passed_over_and_its_request_goes_on() -> None:
    world = fleet()
    answer_all_but(world, "", range(200))
    world.request(1000)
    full = world.port.sends(1000)[0]
    world.outcome(1000, 0, BUSY, latency=1 * MS, report=Report(3.0, 15.0 * MS))
    assert world.port.sends(1000)[1] != full


def test_an_attempt_does_not_run_long_after_its_answer_is_worth_nothing() -> None:
    world = fleet()
    world.request(1, SAFE, lasts=3 * S)  # wanted within 1 s, given up after 3
    (timeout,) = [a[3] for a in world.port.actions if a[0] == "send"]
    assert 1 * S <= timeout < 2 * S


def test_a_slow_server_gets_less() -> None:
    world = fleet(4)
    went = []
    due: list[tuple[int, int]] = []
    for req in range(600):
        while due and due[0][0] <= world.now:
            _, old = due.pop(0)
            took = 200 * MS if world.port.sends(old)[0] == "s0" else 20 * MS
            world.outcome(old, 0, OK, closed=True, latency=took, report=Report(0.0, took * 0.9))
        world.request(req)
        where = world.port.sends(req)[0]
        went.append(where)
        due.append((world.now + (200 * MS if where == "s0" else 20 * MS), req))
        due.sort()
        world.run(world.now + 10 * MS - START)
    assert went.count("s0") < 600 / 4 / 2
