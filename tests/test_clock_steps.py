"""A wall clock that is wrong at the start of a process, or was stepped, decides nothing for long.

A host's time of start is the wall clock's of another machine, and may seem to lie ahead.
"""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from unittest import mock

import msgspec
import pytest

from sailhitch.core.maintenance import CompletedBan
from sailhitch.core.policy_snapshot import restore_snapshot, take_snapshot
from sailhitch.handover.files import HandoverFiles
from sailhitch.handover.snapshot import (
    ProcessSnapshot,
    decode_snapshot,
    encode_snapshot,
    translate_clock,
)
from sailhitch.handover.takeover import Takeover
from sailhitch.policy_interface import WatchEventKind
from tests.fake import START, GatewayHarness, S, server
from tests.generations import hosted, told
from tests.sockets import DiscoveryServer, Server, running_gateway, until

HOUR = 3600 * S
COLD = 10 * S  # as tests/fake.py has it
WARM_AT = 2 * COLD  # by then it has also left its share


def is_cold(world: GatewayHarness, name: str) -> bool:
    roster = world.gateway.endpoint_table
    roster.regroup(world.now)
    return any(one.name == name for one in roster.slow_start.servers)


@pytest.mark.parametrize("ahead", [2 * S, HOUR])
def test_a_host_that_seems_to_start_later_than_now_turns_warm_in_its_time(ahead: int) -> None:
    world = GatewayHarness(server("a", boot=START + ahead), server("b"))
    assert is_cold(world, "a")
    world.run(COLD // 2)
    assert is_cold(world, "a")
    world.run(WARM_AT + S)
    assert not is_cold(world, "a")


@pytest.mark.parametrize("mode", [WatchEventKind.CHANGES, WatchEventKind.SNAPSHOT])
def test_what_is_listed_again_with_such_a_start_has_not_started_anew(mode: WatchEventKind) -> None:
    entries = [server("a", boot=START + HOUR), server("b")]
    world = GatewayHarness(*entries)
    world.request(1)
    known = world.gateway.endpoint_table.servers["a"]
    known.answered_at = world.now
    for second in range(1, 12):
        world.run(second * 2 * S)
        world.gateway.on_watch_event(world.now, mode, entries)
    assert known.answered_at  # it is not forgotten
    assert not is_cold(world, "a")


def test_another_start_is_one_though_both_seem_to_lie_ahead() -> None:
    world = GatewayHarness(server("a", boot=START + HOUR), server("b"))
    world.run(WARM_AT + S)
    assert not is_cold(world, "a")
    world.gateway.on_watch_event(
        world.now, WatchEventKind.CHANGES, [server("a", boot=START + HOUR + 30 * S)]
    )
    assert is_cold(world, "a")
    world.run(2 * WARM_AT + 2 * S)
    assert not is_cold(world, "a")


def test_what_is_handed_on_is_taken_by_the_clock_of_who_takes_it() -> None:
    """The wall clock was set back by an hour between the starts of the two processes."""
    before = GatewayHarness(server("a"), server("b"))
    overload = before.gateway.overload
    overload.fleet.cut(before.now, 100.0, 3.0 * S)
    overload.fleet.count_response(before.now)
    known = before.gateway.endpoint_table.servers["a"]
    known.ejections, known.ejected_until = 1, before.now + S
    legacy = ProcessSnapshot(
        ["a"],
        {"a": before.now},
        {"b": CompletedBan(before.now, before.now)},
        policy=take_snapshot(before.gateway),
        clock_epoch=5 * HOUR,
    )
    taken = translate_clock(decode_snapshot(encode_snapshot(legacy)), 4 * HOUR)
    after = GatewayHarness(server("a"), server("b"))
    after.now -= HOUR
    assert taken.policy is not None
    restore_snapshot(after.gateway, taken.policy)
    assert after.gateway.endpoint_table.servers["a"].ejected_until == after.now + S
    # Cut a moment ago, the rate is four fifths of what came in, as in the process before.
    assert after.gateway.overload.fleet.grow(after.now) == pytest.approx(80.0)
    assert taken.bans == {"a": after.now}
    assert taken.completed_bans["b"] == CompletedBan(after.now, after.now)
    # From a process that does not tell its clock, all is taken as it is.
    assert (
        translate_clock(msgspec.structs.replace(legacy, clock_epoch=0), 4 * HOUR).bans
        == legacy.bans
    )


def test_a_process_after_a_step_of_the_wall_clock_takes_bans_by_its_own_clock(
    tmp_path: Path,
) -> None:
    async def play() -> None:
        async with hosted(tmp_path, a=Server()) as it:
            first = await it.ready()
            assert await first.out("a") == 200
            await told(first, "out for maintenance")
            back = time.time_ns() - time.monotonic_ns() - HOUR * 1000
            stepped = mock.Mock(side_effect=lambda: time.monotonic_ns() + back)
            discovery = json.loads(it.path.read_text())["discovery"]
            with mock.patch("time.time_ns", stepped):
                async with running_gateway(discovery=discovery) as other:
                    places = HandoverFiles(str(tmp_path), "n0")
                    second = Takeover(other.platform, other.listener, places)
                    await second.inherit()
                    since = other.pool.maintenance.bans["a"]
                    assert 0 <= other.core.clock() - since < 60 * S
                    second.close()

    asyncio.run(play())


def test_a_gateway_whose_clock_is_ahead_knows_a_host_that_has_just_restarted() -> None:
    """Its wall clock is an hour ahead of the host's: by that the host has run for an hour.

    The list had the host with another start until a moment before.
    """

    async def play(asked: bool) -> None:
        async with Server() as host:
            registry = DiscoveryServer(("a", host.addr))
            registry.entries[0]["started_ms"] = 1
            changes = {"settings": {"discovery": "subscribe" if asked else "automatic"}}
            async with (
                registry,
                running_gateway(("a", host.addr), discovery=registry.addr, **changes) as it,
            ):
                known = it.pool.policy.endpoint_table
                await until(lambda: it.discovery.version == 1)
                seen = len(registry.seen)
                await until(lambda: len(registry.seen) > seen + 2)  # the list holds
                registry.entries[0]["started_ms"] = int(time.time() * 1000) - 3_600_000
                registry.version = 2
                await until(lambda: it.discovery.version == 2)
                assert known.slow_start.is_cold(it.core.clock(), known.servers["a"])

    for asked in (False, True):
        asyncio.run(play(asked))


@pytest.mark.parametrize("mode", [WatchEventKind.CHANGES, WatchEventKind.SNAPSHOT])
def test_a_gateway_whose_clock_is_ahead_takes_no_host_that_restarted_for_warm(
    mode: WatchEventKind,
) -> None:
    """Its wall clock is an hour ahead of all hosts': what starts seems to have run for an hour.

    The list held a second ago with another start, so the host can't have run for longer.
    """
    world = GatewayHarness(server("a", boot=START - HOUR), server("b", boot=START - HOUR))
    world.run(WARM_AT + S)
    assert not is_cold(world, "a")
    started = world.now - HOUR
    entries = [server("a", boot=started), server("b", boot=START - HOUR)]
    world.gateway.on_watch_event(world.now, mode, entries, world.now - S)
    assert is_cold(world, "a")
    assert not is_cold(world, "b")
    # What it has learned of the clocks holds for a host that is new, too.
    joined = [*entries, server("c", boot=started + S)]
    world.gateway.on_watch_event(world.now, mode, joined, world.now - S)
    assert is_cold(world, "c")
    world.run(2 * WARM_AT + 2 * S)
    assert not is_cold(world, "a")
    assert not is_cold(world, "c")


def test_a_host_that_restarted_while_discovery_was_silent_is_as_old_as_it_is_told() -> None:
    world = GatewayHarness(server("a", boot=START - HOUR), server("b"))
    world.run(2 * WARM_AT)
    entries = [server("a", boot=START + S), server("b")]
    world.gateway.on_watch_event(
        world.now, WatchEventKind.SNAPSHOT, entries, START + S
    )  # the last list came before that
    assert not is_cold(world, "a")
