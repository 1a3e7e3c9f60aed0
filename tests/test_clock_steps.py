"""A wall clock that is wrong when a process starts, or is stepped, has no lasting effect.

A host's start time is read from another machine's wall clock, and may lie in the future here.
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
from tests.generations import supervisor_with_hosts, wait_for_log
from tests.sockets import DiscoveryServer, Server, running_gateway, until

HOUR = 3600 * S
COLD = 10 * S  # as in tests/fake.py
WARM_AT = 2 * COLD  # by then it has also left its share


def is_cold(world: GatewayHarness, name: str) -> bool:
    endpoint_table = world.gateway.endpoint_table
    endpoint_table.regroup(world.now)
    return any(one.name == name for one in endpoint_table.slow_start.servers)


@pytest.mark.parametrize("ahead", [2 * S, HOUR])
def test_a_host_that_seems_to_start_later_than_now_turns_warm_in_its_time(ahead: int) -> None:
    world = GatewayHarness(server("a", boot=START + ahead), server("b"))
    assert is_cold(world, "a")
    world.run(COLD // 2)
    assert is_cold(world, "a")
    world.run(WARM_AT + S)
    assert not is_cold(world, "a")


@pytest.mark.parametrize("mode", [WatchEventKind.CHANGES, WatchEventKind.SNAPSHOT])
def test_listing_a_host_again_with_a_start_in_the_future_is_no_restart(
    mode: WatchEventKind,
) -> None:
    entries = [server("a", boot=START + HOUR), server("b")]
    world = GatewayHarness(*entries)
    world.request(1)
    known = world.gateway.endpoint_table.servers["a"]
    known.answered_at = world.now
    for second in range(1, 12):
        world.run(second * 2 * S)
        world.gateway.on_watch_event(world.now, mode, entries)
    assert known.answered_at  # what was learned of it is kept
    assert not is_cold(world, "a")


def test_a_changed_start_is_a_restart_though_both_are_in_the_future() -> None:
    world = GatewayHarness(server("a", boot=START + HOUR), server("b"))
    world.run(WARM_AT + S)
    assert not is_cold(world, "a")
    world.gateway.on_watch_event(
        world.now, WatchEventKind.CHANGES, [server("a", boot=START + HOUR + 30 * S)]
    )
    assert is_cold(world, "a")
    world.run(2 * WARM_AT + 2 * S)
    assert not is_cold(world, "a")


def test_times_in_a_snapshot_are_translated_to_the_successors_clock() -> None:
    """The wall clock is set back by an hour between the starts of the two processes."""
    old = GatewayHarness(server("a"), server("b"))
    overload = old.gateway.overload
    overload.fleet.cut(old.now, 100.0, 3.0 * S)
    overload.fleet.count_response(old.now)
    known = old.gateway.endpoint_table.servers["a"]
    known.ejections, known.ejected_until = 1, old.now + S
    snapshot = ProcessSnapshot(
        ["a"],
        {"a": old.now},
        {"b": CompletedBan(old.now, old.now)},
        policy=take_snapshot(old.gateway),
        clock_epoch=5 * HOUR,
    )
    translated = translate_clock(decode_snapshot(encode_snapshot(snapshot)), 4 * HOUR)
    new = GatewayHarness(server("a"), server("b"))
    new.now -= HOUR
    assert translated.policy is not None
    restore_snapshot(new.gateway, translated.policy)
    assert new.gateway.endpoint_table.servers["a"].ejected_until == new.now + S
    # The rate was just cut to four fifths of the receive rate, as in the predecessor.
    assert new.gateway.overload.fleet.grow(new.now) == pytest.approx(80.0)
    assert translated.bans == {"a": new.now}
    assert translated.completed_bans["b"] == CompletedBan(new.now, new.now)
    # Times of a process that sends no clock epoch are taken unchanged.
    assert (
        translate_clock(msgspec.structs.replace(snapshot, clock_epoch=0), 4 * HOUR).bans
        == snapshot.bans
    )


def test_a_process_after_a_step_of_the_wall_clock_takes_bans_by_its_own_clock(
    tmp_path: Path,
) -> None:
    async def play() -> None:
        async with supervisor_with_hosts(tmp_path, a=Server()) as it:
            first = await it.ready()
            assert await first.enter_maintenance("a") == 200
            await wait_for_log(first, "out for maintenance")
            back = time.time_ns() - time.monotonic_ns() - HOUR * 1000
            stepped = mock.Mock(side_effect=lambda: time.monotonic_ns() + back)
            discovery = json.loads(it.path.read_text())["discovery"]
            with mock.patch("time.time_ns", stepped):
                async with running_gateway(discovery=discovery) as other:
                    files = HandoverFiles(str(tmp_path), "n0")
                    second = Takeover(other.platform, other.listener, files)
                    await second.inherit()
                    since = other.pool.maintenance.bans["a"]
                    assert 0 <= other.core.clock() - since < 60 * S
                    second.close()

    asyncio.run(play())


def test_a_gateway_whose_clock_is_ahead_knows_a_host_that_has_just_restarted() -> None:
    """Its wall clock is an hour ahead of the host's, by which the host has run for an hour.

    The list had the host with another start time until just before.
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
                await until(lambda: len(registry.seen) > seen + 2)  # the list is unchanged
                registry.entries[0]["started_ms"] = int(time.time() * 1000) - 3_600_000
                registry.version = 2
                await until(lambda: it.discovery.version == 2)
                assert known.slow_start.is_cold(it.core.clock(), known.servers["a"])

    for asked in (False, True):
        asyncio.run(play(asked))


@pytest.mark.parametrize("mode", [WatchEventKind.CHANGES, WatchEventKind.SNAPSHOT])
def test_a_gateway_whose_clock_is_ahead_treats_a_restarted_host_as_cold(
    mode: WatchEventKind,
) -> None:
    """Its wall clock is an hour ahead of all hosts': one that starts seems to have run for an hour.

    The list had another start time a second ago, so the host can't have run for longer than that.
    """
    world = GatewayHarness(server("a", boot=START - HOUR), server("b", boot=START - HOUR))
    world.run(WARM_AT + S)
    assert not is_cold(world, "a")
    started = world.now - HOUR
    entries = [server("a", boot=started), server("b", boot=START - HOUR)]
    world.gateway.on_watch_event(world.now, mode, entries, world.now - S)
    assert is_cold(world, "a")
    assert not is_cold(world, "b")
    # The clock difference that it has learned applies to a new host, too.
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
    )  # the last list is older than the start
    assert not is_cold(world, "a")
