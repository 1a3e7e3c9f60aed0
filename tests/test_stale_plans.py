"""Changes that were computed from one version of a tier, while another one becomes active.

The last test plays operators of several gateways at once, from a seed.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import pytest

from sailhitch.daemon.plan import (
    Change,
    Plan,
    PlanError,
    StaleBaseError,
    compute_plan_result,
    diff,
    make_plan,
)
from sailhitch.daemon.source import PendingChangedError, StillPendingError
from sailhitch.daemon.state import State, with_node_ban
from sailhitch.daemon.state_applier import ApplyError
from sailhitch.daemon.store import AppliedState
from sailhitch.daemon.tier_source import TierStateSource
from sailhitch.daemon.version_applier import VersionApplier
from sailhitch.tier.effects import AppliedVersions
from sailhitch.tier.member import Member, MemberStatus
from sailhitch.tier.messages import RegisterState
from sailhitch.zones.controller import PolicyProposal
from sailhitch.zones.traffic_policy import EMPTY_POLICY
from tests.sockets import until
from tests.test_version_states import _all_weighted, _ban, _tier_of_one
from tests.tiers import running_tier

COMPUTE = "sailhitch.daemon.tier_source.compute_plan_result"
Interrupt = Callable[[], None]


def _plan(tier: TierStateSource, wanted: State) -> str:
    base = tier.base()
    identity = tier.identity(base.state)
    return make_plan(tier.owner, base.serial, base.state, wanted, identity).dump()


def _register(tier: TierStateSource) -> RegisterState:
    assert tier.link.member is not None
    assert tier.link.member.chosen is not None
    return tier.link.member.chosen.state


def _interrupt_plan(
    monkeypatch: pytest.MonkeyPatch, before: Interrupt | None, after: Interrupt | None
) -> None:
    """Call these in the thread that computes the next plan's result, before and after it does."""

    def interrupted(plan: Plan, *more: Any) -> State:
        monkeypatch.setattr(COMPUTE, compute_plan_result)
        if before is not None:
            before()
        result = compute_plan_result(plan, *more)
        if after is not None:
            after()
        return result

    monkeypatch.setattr(COMPUTE, interrupted)


@pytest.mark.parametrize("status", [s for s in MemberStatus if s is not MemberStatus.ACTIVE])
def test_a_member_that_may_not_act_says_why(
    status: MemberStatus, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a refusal whose only reason is a word of the protocol."""

    async def run() -> None:
        async with _tier_of_one(tmp_path) as tier:
            plan = _plan(tier, _all_weighted(tier.base().state, 2.0))
            monkeypatch.setattr(tier.link, "member_status", lambda: status)
            text = f"this gateway is out, {status.reason}; ask another one"
            with pytest.raises(ApplyError, match=text):
                await tier.apply_plan(plan, "operator")
            with pytest.raises(ApplyError, match=text):
                await tier.ban("p/n5", _ban(), "operator")
            with pytest.raises(ApplyError, match=text):
                await tier.ban("p/none", _ban(), "operator")

    asyncio.run(run())


@pytest.mark.parametrize("moment", ["before", "after"])
@pytest.mark.parametrize("weight", [2.0, 1.0])  # one that changes the state, and one that doesn't
def test_a_plan_is_refused_if_another_version_becomes_active_while_it_is_read(
    weight: float, moment: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a plan that is checked against one version and proposed from another."""

    async def run() -> None:
        async with _tier_of_one(tmp_path) as tier:
            loop, base = asyncio.get_running_loop(), tier.base()

            def ban() -> None:
                asyncio.run_coroutine_threadsafe(tier.ban("p/n5", _ban(), "other"), loop).result(9)

            plan = _plan(tier, _all_weighted(base.state, weight))
            before, after = (ban, None) if moment == "before" else (None, ban)
            _interrupt_plan(monkeypatch, before, after)
            text = f"against serial {base.serial}, and the live state is {base.serial + 1}"
            with pytest.raises(StaleBaseError, match=text):
                await tier.apply_plan(plan, "late")
            assert tier.base().serial == base.serial + 1
            assert "p/n5" in tier.base().state["bans"]
            assert tier.base().state["nodes"] == base.state["nodes"]

    asyncio.run(run())


def test_a_plan_for_no_change_is_refused_if_the_register_has_moved_when_it_is_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a yes to a plan without changes that was made against an earlier version."""

    async def run() -> None:
        async with _tier_of_one(tmp_path) as tier:
            base, run_job = tier.base(), tier.link.run_job

            async def run_job_after_a_ban(start: Any) -> Any:
                if start is Member.read:
                    monkeypatch.setattr(tier.link, "run_job", run_job)
                    await tier.ban("p/n5", _ban(), "other")
                return await run_job(start)

            plan = _plan(tier, base.state)
            monkeypatch.setattr(tier.link, "run_job", run_job_after_a_ban)
            with pytest.raises(StaleBaseError, match=f"against serial {base.serial}"):
                await tier.apply_plan(plan, "late")

    asyncio.run(run())


def test_a_plan_whose_version_is_not_applied_here_yet_waits_for_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against refusing a plan whose base still holds, as this member is a little behind."""

    async def run() -> None:
        async with _tier_of_one(tmp_path) as tier:
            real, held, base = tier.state_applier.change, asyncio.Event(), tier.base()

            async def change(decided: Any) -> Any:
                await held.wait()
                return await real(decided)

            newer = _all_weighted(base.state, 2.0)
            text = make_plan(
                tier.owner, base.serial + 1, newer, _all_weighted(newer, 3.0), tier.identity(newer)
            ).dump()
            monkeypatch.setattr(tier.state_applier, "change", change)
            changing = asyncio.create_task(tier.changes.propose(base, newer, "first"))
            await until(lambda: _register(tier).active.serial == base.serial + 1)
            applying = asyncio.create_task(tier.apply_plan(text, "early"))
            await asyncio.sleep(0.3)
            assert not applying.done()
            held.set()
            await changing
            applied = await applying
            assert applied.serial == base.serial + 2
            assert applied.state["nodes"]["p/n5"]["weight"] == 3.0

    asyncio.run(run())


def test_a_zones_order_is_proposed_from_the_policy_that_it_was_computed_from(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an order whose base is read once another order may have been applied."""

    async def run() -> None:
        async with _tier_of_one(tmp_path) as tier:
            zones = tier.zone_coordinator
            controller = zones.controller
            proposal = PolicyProposal(EMPTY_POLICY, "a zone is gone")
            monkeypatch.setattr(zones, "mode", "act")
            monkeypatch.setattr(controller, "is_due", lambda now: True)
            monkeypatch.setattr(controller, "next_proposal", lambda now, received: proposal)
            bases: list[int] = []
            propose = Member.propose_traffic_policy

            def record(member: Member, content: bytes, base: int, *more: Any) -> int:
                bases.append(base)
                return propose(member, content, base, *more)

            monkeypatch.setattr(Member, "propose_traffic_policy", record)
            computed_from = controller.serial
            zones.on_heartbeat()
            controller.serial += 1  # another order is applied before the task's first step
            await until(lambda: bool(bases))
            assert bases == [computed_from]

    asyncio.run(run())


def test_a_withdrawal_of_a_serial_leaves_another_pending_version(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against withdrawing a version that became pending after the operator had looked."""

    async def run() -> None:
        async with _tier_of_one(tmp_path) as tier:
            held, real, base = asyncio.Event(), tier.state_applier.change, tier.base()

            async def change(decided: Any) -> Any:
                await held.wait()
                return await real(decided)

            with pytest.raises(PendingChangedError, match=r"serial 7 .* nothing is pending"):
                await tier.withdraw(7)
            monkeypatch.setattr(tier.state_applier, "change", change)
            banning = asyncio.create_task(tier.ban("p/n5", _ban(), "other"))
            await until(lambda: _register(tier).pending is not None)
            with pytest.raises(PendingChangedError, match=rf"serial 7 .* {base.serial + 1} is"):
                await tier.withdraw(7)
            assert _register(tier).pending is not None
            held.set()
            assert "p/n5" in (await banning).state["bans"]

    asyncio.run(run())


# --- Bans, which an operator makes from no version


@contextlib.asynccontextmanager
async def _tier_with_one_behind(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, wanted: Callable[[State], State]
) -> AsyncIterator[tuple[TierStateSource, TierStateSource, asyncio.Event]]:
    """Yield a member that has not applied the second version, another one, and what releases it."""
    async with running_tier(tmp_path, ["g1", "g2", "g3"], 6) as (behind, current, _):
        released, real = asyncio.Event(), behind.state_applier.change
        next_serial = behind.base().serial + 1

        async def change(decided: Any) -> Any:
            if decided.serial == next_serial:
                await released.wait()
            return await real(decided)

        monkeypatch.setattr(behind.state_applier, "change", change)
        plan = _plan(current, wanted(current.base().state))
        assert (await current.apply_plan(plan, "other")).serial == next_serial
        assert behind.base().serial == next_serial - 1
        yield behind, current, released


def _with_another_node(state: State) -> State:
    node = {**state["nodes"]["p/n0"], "address": "127.0.0.1:9099"}
    return {**state, "nodes": {**state["nodes"], "p/new": node}}


@pytest.mark.parametrize(
    ("node", "wanted"),
    [("p/n5", lambda state: _all_weighted(state, 2.0)), ("p/new", _with_another_node)],
)
def test_a_ban_at_a_member_that_is_a_version_behind_is_made_to_the_newer_one(
    node: str,
    wanted: Callable[[State], State],
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against refusing a ban, or not knowing its node, as its gateway is a little behind."""

    async def run() -> None:
        async with _tier_with_one_behind(tmp_path, monkeypatch, wanted) as (
            behind,
            current,
            released,
        ):
            before = current.base()
            banning = asyncio.create_task(behind.ban(node, _ban(), "operator"))
            await asyncio.sleep(0.5)
            assert not banning.done()
            released.set()
            banned = await banning
            assert banned.serial == before.serial + 1
            assert banned.state == with_node_ban(before.state, node, _ban())

    asyncio.run(run())


def test_a_ban_at_a_member_that_stays_a_version_behind_is_refused_in_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a wait without an end; the refusal says both serials."""

    async def run() -> None:
        async with _tier_with_one_behind(
            tmp_path, monkeypatch, lambda state: _all_weighted(state, 2.0)
        ) as (behind, current, released):
            part = behind.part.model_copy(update={"agree_within": 300_000})
            monkeypatch.setattr(behind.changes, "part", part)
            serial = current.base().serial
            text = f"against serial {serial - 1}, and the live state is {serial}"
            async with asyncio.timeout(5):
                with pytest.raises(StaleBaseError, match=text):
                    await behind.ban("p/n5", _ban(), "operator")
            released.set()

    asyncio.run(run())


def test_a_ban_that_does_not_fit_the_active_version_is_refused(tmp_path: Path) -> None:
    async def run() -> None:
        async with _tier_of_one(tmp_path) as tier:
            with pytest.raises(ApplyError, match="'p/none': no such node"):
                await tier.ban("p/none", _ban(), "operator")
            with pytest.raises(ApplyError, match="'p/n5': is not banned"):
                await tier.ban("p/n5", None, "operator")

    asyncio.run(run())


# --- Operators of several gateways at once

PLAY_NODES = 6
PLAY_CHANGES = 8  # by each of the operators
REFUSALS = (StaleBaseError, StillPendingError, ApplyError, PlanError)


class Operator:
    """Makes plans and bans at some of the gateways, and applies them at others, a little later."""

    def __init__(self, tiers: list[TierStateSource], seed: str) -> None:
        self.tiers, self.name, self.rng = tiers, seed, random.Random(seed)
        self.agreed: dict[int, tuple[Change, ...]] = {}  # its own changes, by the serial of a yes
        self.refused: list[Exception] = []

    async def play(self) -> None:
        for _ in range(PLAY_CHANGES):
            node = f"p/n{self.rng.randrange(PLAY_NODES)}"
            try:
                await self._plan(node) if self.rng.random() < 0.6 else await self._ban(node)
            except REFUSALS as error:
                self.refused.append(error)
            await asyncio.sleep(self.rng.uniform(0, 0.03))

    async def _plan(self, node: str) -> None:
        made_at, applied_at = self.rng.choice(self.tiers), self.rng.choice(self.tiers)
        old = made_at.base().state
        weight = self.rng.choice([1.0, 2.0, 3.0])
        nodes = {**old["nodes"], node: {**old["nodes"][node], "weight": weight}}
        text = _plan(made_at, {**old, "nodes": nodes})
        await asyncio.sleep(self.rng.choice([0, 0, 0.02, 0.1]))
        self._on_yes(await applied_at.apply_plan(text, self.name), old, {**old, "nodes": nodes})

    async def _ban(self, node: str) -> None:
        tier = self.rng.choice(self.tiers)
        old = tier.base().state
        ban = None if node in old["bans"] else _ban()
        applied = await tier.ban(node, ban, self.name)
        assert (node in applied.state["bans"]) == (ban is not None)
        if applied.applied_by == self.name and applied.serial not in self.agreed:
            self._on_yes(applied, old, with_node_ban(old, node, ban))
        # Otherwise it was done already in the version that it was made to in the end.

    def _on_yes(self, applied: AppliedState, old: State, new: State) -> None:
        if changes := diff({**old, "listeners": {}}, {**new, "listeners": {}}):
            self.agreed[applied.serial] = changes


@pytest.mark.parametrize("seed", range(3))
def test_each_agreed_change_is_the_child_of_the_version_that_it_was_computed_from(
    seed: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against changes that undo others, whatever operators do at the same time."""
    delays = random.Random(seed)

    def slow(plan: Plan, *more: Any) -> State:
        """Compute a result as slowly as in a large tier."""
        result = compute_plan_result(plan, *more)
        time.sleep(delays.choice([0, 0.1, 0.2]))
        return result

    monkeypatch.setattr(COMPUTE, slow)
    bases: dict[int, int] = {}  # serial of the version that each one was made from
    states: dict[int, State] = {}
    switch = VersionApplier._switch

    async def record_switch(applier: VersionApplier, versions: AppliedVersions) -> None:
        await switch(applier, versions)
        bases[versions.active.serial] = versions.active.base
        states[versions.active.serial] = applier.base.state

    monkeypatch.setattr(VersionApplier, "_switch", record_switch)

    async def run() -> None:
        async with running_tier(tmp_path, ["g1", "g2", "g3"], PLAY_NODES) as tiers:
            operators = [Operator(tiers, f"{seed}-{i}") for i in range(4)]
            await asyncio.gather(*(operator.play() for operator in operators))
            agreed = {serial: each for o in operators for serial, each in o.agreed.items()}
            assert agreed
            assert sum(len(operator.agreed) for operator in operators) == len(agreed)
            assert any(operator.refused for operator in operators)
            for serial, changes in agreed.items():
                assert diff(states[bases[serial]], states[serial]) == changes

    asyncio.run(run())
