"""Changes of a tier that others follow before their own gateway has applied them."""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import pytest

from sailhitch.daemon import cli_gateway
from sailhitch.daemon.cli_outcome import CommandError
from sailhitch.daemon.state_applier import ApplyError
from sailhitch.daemon.tier_source import TierStateSource
from sailhitch.model.tier import World
from sailhitch.tier.active_versions import MAX_RECORDED, ActiveVersions
from sailhitch.tier.effects import ProposalResult
from sailhitch.tier.messages import Accept, Accepted, Version
from tests.sockets import until
from tests.test_stale_plans import _plan
from tests.test_tier_cases import S, settle, start_world
from tests.test_version_states import _all_weighted
from tests.tiers import running_tier


def _requested_serial(tier: TierStateSource) -> int:
    """Return the serial of the active version that this process was last asked to apply."""
    assert tier.link.member is not None
    assert tier.link.member.applying is not None
    return tier.link.member.applying.active.serial


def test_a_plan_gets_its_yes_if_the_next_version_overtakes_it_before_it_is_applied_here(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a failure reported for a change that is in force, because it was followed."""

    async def run() -> None:
        async with running_tier(tmp_path, ["g1", "g2", "g3"], 6) as (first, second, _):
            real = first.state_applier.change
            disk_is_full = True

            async def change(decided: Any) -> Any:
                if disk_is_full:
                    raise ApplyError("No space left on device; nothing was changed")
                return await real(decided)

            monkeypatch.setattr(first.state_applier, "change", change)
            base = first.base()
            plan = _plan(first, _all_weighted(base.state, 2.0))
            applying = asyncio.create_task(first.apply_plan(plan, "a"))
            await until(lambda: second.base().serial == base.serial + 1)
            later = _plan(second, _all_weighted(second.base().state, 3.0))
            assert (await second.apply_plan(later, "b")).serial == base.serial + 2
            await until(lambda: _requested_serial(first) == base.serial + 2)
            disk_is_full = False
            applied = await applying
            assert applied.serial == base.serial + 1
            assert applied.state["nodes"]["p/n1"]["weight"] == 2.0
            assert applied.applied_by == "a"
            assert first.base().serial == base.serial + 2
            assert first.status(applied.serial)["was_active"]

    asyncio.run(run())


# --- A proposer that does not learn in time that its proposal was chosen


def _propose_and_lose_the_outcome(world: World, hears_others: bool) -> int:
    """Have g4's proposal accepted by g1 alone, and cut g4 off; return the job's number."""
    process = world.processes["g4"]
    send = world.network.send

    def lossy(sender: str, to: str, message: Any) -> None:
        if isinstance(message, Accept) and sender == "g4" and to != "g1":
            return
        if isinstance(message, Accepted) and to == "g4":
            others = [name for name in world.names if name != "g4"]
            world.network.cuts = {("g4", other) for other in others}
            if not hears_others:
                world.network.cuts |= {(other, "g4") for other in others}
            return
        send(sender, to, message)

    world.network.send = lossy  # type: ignore[method-assign]
    assert process.member is not None
    assert process.member.chosen is not None
    process.propose(-1, 7)
    (job,) = process.change_ids
    world.kernel.run(world.kernel.now + 8 * S)
    assert world.network.cuts
    del world.network.send
    return job


@pytest.mark.parametrize("later_versions", [1, 3])
@pytest.mark.parametrize("hears_others", [True, False])
def test_a_proposal_that_others_completed_and_followed_is_not_refused(
    hears_others: bool, later_versions: int
) -> None:
    """Guards against a refusal of a change that is in force; the checker rejects one, too."""
    world = start_world()
    job = _propose_and_lose_the_outcome(world, hears_others)
    assert world.checker.latest is not None
    assert world.checker.latest.active.serial == 2  # the voters completed the round
    for weight in range(later_versions):
        world.processes["g2"].propose(-1, 8 + weight)
        world.kernel.run(world.kernel.now + 2 * S)
    world.network.cuts = set()
    assert settle(world).active.serial == 2 + later_versions
    completed = world.processes["g4"].completed_jobs[job]
    if hears_others:
        assert completed.result is ProposalResult.ACTIVE
        assert completed.version is not None
        assert completed.version.serial == 2
    else:
        assert completed.result is ProposalResult.UNKNOWN


def test_a_proposal_that_lost_to_another_one_is_refused() -> None:
    """Guards against an unknown outcome where the version that won is known."""
    world = start_world()
    for name in ("g4", "g5"):
        world.processes[name].propose(-1, 7)
    settle(world)
    results = [
        completed.result
        for name in ("g4", "g5")
        for completed in world.processes[name].completed_jobs.values()
    ]
    assert sorted(result.value for result in results) == ["active", "stale"]


def _version(serial: int, base: int) -> Version:
    return Version(serial, base, "", "g1", "", 0, f"change {serial}")


def test_which_serials_were_active_is_known_by_the_bases_of_later_ones() -> None:
    """Serial 3 was withdrawn, and 5 was not heard of; 1 to 4 are older than what is recorded."""
    versions = ActiveVersions()
    assert versions.was_active(1) is None
    for version in (_version(7, 6), _version(6, 4), _version(8, 7)):
        versions.record(version)
    known = {serial: versions.was_active(serial) for serial in range(2, 10)}
    assert known == {
        2: None,
        3: None,
        4: True,
        5: False,
        6: True,
        7: True,
        8: True,
        9: None,
    }


def test_the_oldest_active_versions_are_forgotten() -> None:
    versions = ActiveVersions()
    for serial in range(1, MAX_RECORDED + 10):
        versions.record(_version(serial, serial - 1))
    assert versions.was_active(MAX_RECORDED) is True
    assert versions.was_active(2) is None
    assert versions.find("change 2") is None


# --- `--wait`


@pytest.mark.parametrize(
    ("status", "history", "error"),
    [
        ({"active": 9, "was_active": True}, [7, 9], ""),
        ({"active": 9, "was_active": False}, [7, 9], "serial 8 was withdrawn"),
        ({"active": 9, "was_active": None}, [7, 9], "does not know whether it was active"),
        ({"active": 9, "was_active": None}, [7, 8, 9], ""),
        ({"active": 8, "was_active": True}, [7], ""),
        ({"active": 9}, [7, 9], "serial 8 was withdrawn"),
        ({"active": 9}, [7, 8, 9], ""),
    ],
)
def test_a_command_that_waits_tells_a_followed_change_from_a_withdrawn_one(
    status: dict[str, Any], history: list[int], error: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against `was withdrawn` for a change in force, also at an earlier release."""

    def reply(socket: str, request: Mapping[str, Any]) -> dict[str, Any]:
        if request["op"] == "history":
            return {"ok": True, "history": [{"serial": serial} for serial in history]}
        assert request["serial"] == 8
        return {"ok": True, "pending": None, **status}

    monkeypatch.setattr(cli_gateway, "ask", reply)
    options = argparse.Namespace(admin="socket", wait=True)
    pending = {"ok": True, "pending": True, "serial": 8}
    if error:
        with pytest.raises(CommandError, match=error):
            cli_gateway.wait_if_asked(options, pending)
    else:
        assert cli_gateway.wait_if_asked(options, pending) == {"ok": True, "serial": 8}
