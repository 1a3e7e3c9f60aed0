"""Rare faults of a tier in the model, one a test."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from sailhitch.model.scenario import Event, Scenario, play
from sailhitch.model.tier import World
from sailhitch.tier.effects import ApplyVersions, Send
from sailhitch.tier.member import MemberStatus
from sailhitch.tier.membership import DUPLICATE_AFTER, MembershipTable
from sailhitch.tier.messages import MemberRecord

S = 1_000_000


def start_world(
    members: int = 5, voters: int = 3, lease: int | None = None, seed: int = 1
) -> World:
    """Return a bootstrapped tier."""
    world = World(seed, members, voters, lease)
    world.start()
    world.kernel.run(4 * S)
    world.check_end()
    return world


def settle(world: World, seconds: int = 20) -> Any:
    """Let the tier settle, and return its register state."""
    world.kernel.run(world.kernel.now + seconds * S)
    world.check_end()
    assert world.checker.latest is not None
    return world.checker.latest


@pytest.mark.parametrize("lease", [None, 3 * S])
@pytest.mark.parametrize("count", range(1, 60, 3))
def test_a_proposer_killed_after_any_message_leaves_no_half_change(
    count: int, lease: int | None
) -> None:
    world = start_world(lease=lease)
    proposer = world.processes["g4"]
    real, sent = proposer.perform, [0]

    def perform(effect: Any) -> Any:
        real(effect)
        sent[0] += isinstance(effect, Send)
        if sent[0] == count:
            proposer.kill()

    proposer.perform = perform  # type: ignore[method-assign]
    proposer.propose(1, 0)
    world.kernel.run(world.kernel.now + 5 * S)
    assert not proposer.up
    del proposer.perform
    proposer.start()
    assert settle(world).pending is None


def test_seven_in_ten_killed_during_a_change() -> None:
    world = start_world(10, 5)
    world.processes["g10"].propose(1, 0)
    world.kernel.run(world.kernel.now + S // 10)
    killed = [world.processes[f"g{i}"] for i in range(1, 8)]
    for process in killed:
        process.kill()
    world.kernel.run(world.kernel.now + 10 * S)
    running = [process for process in world.processes.values() if process.up]
    assert all(
        process.member and process.member.member_status(process.clock()) is MemberStatus.ACTIVE
        for process in running
    )
    for process in killed:
        process.start()
    assert settle(world).active.serial == 2


def test_members_that_hear_only_each_other_delay_a_change() -> None:
    """Cut g4 and g5 off together: both apply the active version, and the change waits for them.

    In a tier with leases, theirs have expired when the change is activated without them.
    """
    for lease, serial, status in (
        (None, 1, MemberStatus.ACTIVE),
        (3 * S, 2, MemberStatus.LEASE_EXPIRED),
    ):
        world = start_world(lease=lease)
        cut_off = {"g4", "g5"}
        names = world.names
        world.network.cuts = {
            (a, b) for a in names for b in names if (a in cut_off) != (b in cut_off)
        }
        world.processes["g2"].propose(1, 0)
        world.kernel.run(world.kernel.now + 12 * S)
        latest = world.checker.latest
        assert latest is not None
        assert latest.active.serial == serial
        for name in cut_off:
            process = world.processes[name]
            assert process.member is not None
            assert process.member.member_status(process.clock()) is status
        world.network.cuts = set()
        assert settle(world).active.serial == 2


@pytest.mark.parametrize("lease", [None, 3 * S])
def test_a_member_paused_for_a_minute_resumes_during_or_after_a_change(lease: int | None) -> None:
    world = start_world(lease=lease)
    world.processes["g3"].pause()
    world.processes["g1"].propose(1, 0)
    world.kernel.run(world.kernel.now + 60 * S)
    latest = world.checker.latest
    assert latest is not None
    assert (latest.pending is None) == (lease is not None)
    world.processes["g3"].resume()  # the checker checks each of its writes
    assert settle(world).active.serial == 2


def test_a_change_reverted_at_once_is_reverted_everywhere() -> None:
    world = start_world()
    world.processes["g4"].propose(1, 0)
    world.processes["g4"].propose(1, 0)  # from the same base: one of the two is rejected
    world.kernel.run(world.kernel.now + 5 * S)
    world.processes["g4"].propose(1, 0)
    state = settle(world)
    assert state.active.serial == 3
    assert world.permitted(state.active.digest) == world.initially_permitted


def test_a_withdrawn_change_leaves_all_where_they_were() -> None:
    world = start_world()
    world.processes["g3"].pause()
    world.processes["g1"].propose(1, 0)
    world.kernel.run(world.kernel.now + 3 * S)
    world.processes["g5"].withdraw()
    world.kernel.run(world.kernel.now + 3 * S)
    latest = world.checker.latest
    assert latest is not None
    assert (latest.active.serial, latest.pending) == (1, None)
    world.processes["g3"].resume()
    world.processes["g2"].propose(3, 0)
    assert settle(world).active.serial == 3  # serials are not assigned twice


def test_a_version_that_one_member_cannot_apply_is_not_activated() -> None:
    world = start_world()
    failing = world.processes["g5"]
    real = failing.perform

    def perform(effect: Any) -> Any:
        if isinstance(effect, ApplyVersions):
            assert failing.member is not None
            failing.member.report_apply_failure(
                effect.versions.revision, "the state would be out of form: x"
            )
            return None
        return real(effect)

    failing.perform = perform  # type: ignore[method-assign]
    world.processes["g1"].propose(1, 0)
    world.kernel.run(world.kernel.now + 10 * S)
    reader = world.processes["g2"]
    assert reader.member is not None
    status = reader.member.status(reader.clock())
    assert (status["active"], status["pending"], status["waiting_for"]) == (1, 2, ["g5"])
    (fault,) = [row["trouble"] for row in status["members"] if row["name"] == "g5"]
    assert fault == "the state would be out of form: x"
    world.processes["g3"].withdraw()
    del failing.perform
    assert settle(world).active.serial == 1


def test_two_members_with_one_name_detect_it_and_neither_acts() -> None:
    """Each receives records of the other's incarnation, and keeps raising its own above it."""
    first = MembershipTable("g1", 1, 11)
    second = MembershipTable("g1", 1, 22)
    now = 0
    for _ in range(2 * DUPLICATE_AFTER):
        now += S
        first.merge([second.own_record], now)
        second.merge([first.own_record], now)
    assert first.has_duplicate_name(now)
    assert second.has_duplicate_name(now)
    assert not first.has_duplicate_name(now + 60 * S)
    # A member that was only restarted raises its incarnation once.
    restarted = MembershipTable("g1", 1, 33)
    others = MembershipTable("g2", 1, 44)
    others.merge([MemberRecord("g1", 5, 11, 900, 7, "")], now)
    restarted.merge([others.records["g1"]], now)
    assert restarted.own_record.incarnation == 6
    others.merge([restarted.own_record], now)
    assert others.records["g1"].boot == 33
    assert not restarted.has_duplicate_name(now)


def _lose_all_disks(world: World) -> None:
    for name in world.voters:
        world.processes[name].kill()
    for name in world.voters:
        world.processes[name].disk.erase()
        world.processes[name].start()


def test_a_member_does_not_act_by_a_register_that_regressed() -> None:
    """Erase all voters' disks, more than the tier tolerates.

    A member that knows the lost state must not act by the new register.
    """
    world = start_world()
    world.processes["g4"].propose(1, 0)
    settle(world)
    _lose_all_disks(world)
    survivor = world.processes["g5"]
    survivor.kill()
    world.kernel.run(world.kernel.now + 2 * S)
    survivor.start()
    world.kernel.run(world.kernel.now + 30 * S)
    assert survivor.member is not None
    assert survivor.member.member_status(survivor.clock()) is not MemberStatus.ACTIVE


def test_a_version_that_contradicts_nothing_waits_for_no_member() -> None:
    world = start_world()
    world.processes["g3"].pause()
    world.processes["g1"].propose(-1, 7)
    world.kernel.run(world.kernel.now + 3 * S)
    latest = world.checker.latest
    assert latest is not None
    assert (latest.active.serial, latest.pending) == (2, None)
    world.processes["g3"].resume()
    settle(world)


@pytest.mark.parametrize("members", [3, 40])
def test_gossip_is_bounded_whatever_the_size_of_the_tier(members: int) -> None:
    world = start_world(members)
    size = 0
    send = world.network.send

    def counted(sender: str, to: str, message: Any) -> None:
        nonlocal size
        size += len(msgspec.msgpack.encode(message))
        send(sender, to, message)

    world.network.send = counted  # type: ignore[method-assign]
    world.kernel.run(world.kernel.now + 10 * S)
    assert size / members / 10 < 2 * 1000 * (
        S / world.heartbeat_interval
    )  # two datagrams of 1,000 a tick


def test_a_configuration_change_while_a_version_is_pending() -> None:
    events = (
        Event(4 * S, "kill", (4,), 9 * S),
        Event(int(4.5 * S), "propose", (0,), 0, 1.0),
        Event(5 * S, "leave", (3,), S),
    )
    world = play(Scenario(3, 5, 3, None, events))
    assert world.checker.latest is not None
    assert world.checker.latest.active.serial == 2


def test_a_write_in_progress_to_a_lost_disk_is_not_on_its_replacement() -> None:
    for seed in range(8):  # a sync that a kill interrupts completes in half of the cases
        world = start_world(seed=seed)
        process = world.processes["g1"]
        process.propose(1, 0)
        while not process._is_syncing:
            world.kernel.run(world.kernel.now + 100)
        process.kill()
        process.disk.erase()
        world.kernel.run(world.kernel.now + S)
        assert process.disk.synced == {}
