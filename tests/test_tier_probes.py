"""Failure detection and relays (docs/design/tier.md, promise 5), in the model.

`World` itself reports a violation as soon as a reachable member is declared dead. These tests also
check that a member that has ended is declared dead, by which members, and when.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from sailhitch.model.invariants import InvariantViolationError
from sailhitch.model.tier import World
from sailhitch.tier.effects import Send
from sailhitch.tier.liveness import Liveness
from sailhitch.tier.member import Member, MemberStatus
from sailhitch.tier.messages import Ack, Ping, Relayed, Suspicion
from sailhitch.tier.probes import MAX_HEALTH_PENALTY, Health, Prober
from sailhitch.tier.relay import UNANSWERED_BEFORE_RELAY, RelayPolicy

S = 1_000_000
# Promise 5: by then all running members have declared one dead that has ended.
DETECTION_LIMIT = 30 * S
Patch = pytest.MonkeyPatch


def _world(members: int, loss: float = 0.0, seed: int = 1, **more: Any) -> World:
    world = World(seed, members, min(5, members), write_interval=S, **more)
    world.network.loss = loss
    world.start()
    world.kernel.run(8 * S)
    return world


def _advance(world: World, time: float) -> None:
    world.kernel.run(world.kernel.now + int(time * S))


def _member(world: World, name: str) -> Member:
    member = world.processes[name].member
    assert member is not None
    return member


def _dead_by_member(world: World) -> dict[str, set[str]]:
    up = [name for name, process in world.processes.items() if process.up]
    return {name: set(_member(world, name).prober.dead_members()) for name in up}


def _cut(world: World, *links: tuple[str, str]) -> None:
    world.network.cuts |= {link for a, b in links for link in ((a, b), (b, a))}


@pytest.mark.parametrize(("members", "loss"), [(3, 0.0), (5, 0.1), (25, 0.0), (25, 0.3)])
def test_a_killed_member_is_declared_dead_by_all_and_alive_after_its_restart(
    members: int, loss: float
) -> None:
    world = _world(members, loss)
    world.processes["g2"].kill()
    _advance(world, DETECTION_LIMIT / S)
    assert all(dead == {"g2"} for dead in _dead_by_member(world).values())
    world.processes["g2"].start()
    _advance(world, 10)
    assert not any(_dead_by_member(world).values())


@pytest.mark.parametrize("seed", range(3))
def test_no_running_member_is_declared_dead_at_a_loss_of_30_percent(seed: int) -> None:
    world = _world(12, 0.3, seed)
    _advance(world, 60)
    world.check_end()


def _two_members_cut_off_from_each_other() -> None:
    world = _world(6)
    _cut(world, ("g2", "g5"))
    _advance(world, 40)
    incarnations = {
        name: _member(world, name).membership.own_record.incarnation for name in world.names
    }
    assert set(incarnations.values()) == {1}, "a member was suspected, and had to refute it"


def _a_stalled_member() -> None:
    """Stall for a minute in which nothing is received, with a probe in flight."""
    prober, others = Prober("g1", random.Random(1), 0), ["a", "b", "c", "d", "e"]
    [(probed, _)] = prober.on_tick(0, others, lambda name: 1)
    prober.on_suspicions([Suspicion("e", 1, ["a"])], lambda name: 1, 0)
    prober.on_tick(60 * S, others, lambda name: 1)
    health = {name: prober.health(name, 1) for name in others}
    assert health == dict.fromkeys(others, Health.ALIVE) | {"e": Health.SUSPECT}, probed


def _a_member_reconnected_after_a_cut() -> None:
    world = _world(6)
    _cut(world, *(("g6", f"g{i}") for i in range(1, 6)))
    _advance(world, 100)  # long, as g6's health penalty delays its suspicions
    assert set(_member(world, "g6").prober.dead_members()) == {f"g{i}" for i in range(1, 6)}
    world.network.cuts.clear()
    _advance(world, 15)
    world.check_end()


CASES = [
    _two_members_cut_off_from_each_other,
    _a_stalled_member,
    _a_member_reconnected_after_a_cut,
]


@pytest.mark.parametrize("case", CASES)
def test_no_running_member_is_declared_dead_after_a_cut_or_a_stall(
    case: Callable[[], None],
) -> None:
    case()


def _asks_no_helpers(patch: Patch) -> None:
    patch.setattr(Prober, "_ask_helpers", lambda *_: [])


def _ignores_its_own_stalls(patch: Patch) -> None:
    real = Prober.on_tick

    def tick(self: Prober, now: int, *rest: Any) -> Any:
        self._last_tick = now
        return real(self, now, *rest)

    patch.setattr(Prober, "on_tick", tick)


def _does_not_refute(patch: Patch) -> None:
    patch.setattr(Liveness, "_refute", lambda self, incarnation: None)


@pytest.mark.parametrize(
    ("mutation", "case"),
    [
        (_asks_no_helpers, CASES[0]),
        (_ignores_its_own_stalls, CASES[1]),
        (_does_not_refute, CASES[2]),
    ],
)
def test_the_removal_of_each_safeguard_of_the_probes_is_detected(
    mutation: Callable[[Patch], None], case: Callable[[], None], monkeypatch: Patch
) -> None:
    mutation(monkeypatch)
    with pytest.raises((AssertionError, pytest.fail.Exception)):
        case()


def test_a_member_whose_helpers_do_not_answer_is_slower_to_suspect() -> None:
    world = _world(6)
    _cut(world, *(("g6", f"g{i}") for i in range(1, 6)))
    _advance(world, 10)
    assert _member(world, "g6").prober.health_penalty >= MAX_HEALTH_PENALTY // 2
    assert all(_member(world, f"g{i}").prober.health_penalty <= 2 for i in range(1, 6))


def test_a_suspicion_expires_sooner_the_more_members_confirm_it() -> None:
    expiries = []
    for confirmers in (["a"], ["a", "b"], ["a", "b", "c"], ["a", "b", "c", "d"]):
        prober = Prober("g1", _member(_world(3), "g1").rng, 0)
        prober._suspect("g9", 1, confirmers, 0)
        times = range(0, DETECTION_LIMIT, S // 5)
        expiries.append(
            next(
                now
                for now in times
                if prober.on_tick(now, ["x"] * 9, lambda name: 1) or True
                if prober.health("g9", 1) is Health.DEAD
            )
        )
    assert expiries == sorted(expiries, reverse=True)
    assert expiries[0] >= 5 * expiries[-1]


# --- Relays


@pytest.mark.parametrize("seed", range(8))
def test_a_lease_is_renewed_over_relays_where_no_voter_can_be_reached(seed: int) -> None:
    world = World(seed, 6, 3, 3 * S, write_interval=S)
    world.start()
    world.kernel.run(8 * S)
    _cut(world, *(("g6", voter) for voter in world.voters))
    process = world.processes["g6"]
    for _ in range(40):
        _advance(world, 0.5)
        assert _member(world, "g6").member_status(process.clock()) is MemberStatus.ACTIVE
    process.propose(1, 0)
    _advance(world, 4)
    assert world.checker.latest is not None
    assert world.checker.latest.active.proposer == "g6"


def test_without_relays_the_same_lease_expires(monkeypatch: Patch) -> None:
    monkeypatch.setattr(RelayPolicy, "needs_relay", lambda *_: False)
    with pytest.raises(AssertionError):
        test_a_lease_is_renewed_over_relays_where_no_voter_can_be_reached(2)


def test_a_relay_is_used_once_direct_requests_get_no_answer() -> None:
    relays = RelayPolicy()
    assert [relays.needs_relay("v") for _ in range(UNANSWERED_BEFORE_RELAY + 2)] == [
        False
    ] * UNANSWERED_BEFORE_RELAY + [True] * 2
    relays.on_reply("v")
    assert not relays.needs_relay("v")


def test_no_message_is_relayed_more_than_once() -> None:
    world = _world(4)
    member = _member(world, "g1")
    member.take_effects()
    member.on_message("g2", Relayed("g3", "g4", Ping(1, 0)), 0)
    member.on_message("g2", Relayed("g2", "g4", Ack(1)), 0)
    sent = [effect for effect in member.take_effects() if isinstance(effect, Send)]
    assert [(effect.to, effect.message) for effect in sent] == [("g4", Relayed("g2", "g4", Ack(1)))]


# --- Joining


def test_changes_wait_for_an_admitted_member_that_no_file_names() -> None:
    world = World(3, 5, 3, write_interval=S // 50, late=["g5"])
    world.start()
    world.kernel.run(8 * S)
    newcomer = world.processes["g5"]
    assert _member(world, "g4").admit("g5", "127.0.0.1:9") is not None
    world.processes["g4"]._process_effects()
    _advance(world, 2)
    newcomer.start()
    _advance(world, 6)
    assert _member(world, "g5").member_status(newcomer.clock()) is MemberStatus.ACTIVE
    newcomer.pause()
    world.processes["g2"].propose(1, 0)
    _advance(world, 5)
    assert _member(world, "g1").waiting_for() == ["g5"]
    newcomer.resume()
    _advance(world, 12)
    world.check_end()


def test_a_violation_of_promise_5_is_reported_with_its_number() -> None:
    world = _world(3)
    _advance(world, 20)
    with pytest.raises(InvariantViolationError, match="5: g1 declares g2 dead"):
        world.check_declared_dead("g1", "g2")
