"""What a gateway tells of its state's identity, and plans of this version and the one before."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import pytest

from sailhitch.daemon import cli
from sailhitch.daemon.cli_gateway import request_live_state
from sailhitch.daemon.plan import (
    MovedError,
    PlanError,
    identity,
    load_plan,
    make_plan,
    make_whole_plan,
)
from sailhitch.daemon.schema import OperatorFile
from sailhitch.daemon.state import from_file
from sailhitch.lab.files import toml_text
from sailhitch.lab.ports import free_port
from tests.daemons import Inside, file_value, inside, made, pool
from tests.test_apply import _ask, run


def _with_pools(*names: str, port: int) -> dict[str, Any]:
    pools = [pool(name, {f"{name}1": f"127.0.0.1:{9000 + i}"}) for i, name in enumerate(names)]
    return file_value(pools, port)


@pytest.mark.parametrize("stored", [True, False])
def test_the_identity_that_a_gateway_tells_is_its_states(stored: bool, tmp_path: Path) -> None:
    async def work() -> None:
        port = free_port()
        async with inside(tmp_path, _with_pools("p", port=port), stored=stored) as it:
            identities = []
            for names in (("p",), ("p", "q"), ("p",)):
                await it.go(_with_pools(*names, port=port))
                answer = await _ask(it, {"op": "state"})
                assert answer["identity"] == identity(answer["state"])
                identities.append(answer["identity"])
            assert identities[0] == identities[2] != identities[1]

    run(work)


@pytest.mark.parametrize("stored", [True, False])
def test_plans_of_both_formats_are_applied_and_refused_once_the_state_has_moved(
    stored: bool, tmp_path: Path
) -> None:
    async def work() -> None:
        port = free_port()
        async with inside(tmp_path, _with_pools("p", port=port), stored=stored) as it:
            live = it.live.applied
            wanted = from_file(made(_with_pools("p", "q", port=port)))
            for plan in (make_plan, make_whole_plan):
                whole = plan("g1", live.serial, live.state, wanted).dump()
                await it.source.apply_plan(whole, "t")
                assert it.live.applied.state == wanted
                with pytest.raises(MovedError):
                    await it.source.apply_plan(whole, "t")
                await it.go(_with_pools("p", port=port))
                live = it.live.applied
            # The serial is right, and the state is another one.
            other = from_file(made(_with_pools("other", port=port)))
            for plan in (make_plan, make_whole_plan):
                with pytest.raises(MovedError):
                    await it.source.apply_plan(plan("g1", live.serial, other, wanted).dump(), "t")
            lying = make_plan("g1", live.serial, live.state, wanted)
            text = make_plan("g1", live.serial, live.state, live.state)
            bad = type(lying)(
                lying.gateway, lying.serial, lying.base, text.result, lying.changes
            ).dump()
            with pytest.raises(PlanError, match="do not lead where it says"):
                await it.source.apply_plan(bad, "t")
            assert it.live.applied is live

    run(work)


def test_a_gateway_of_the_version_before_gets_a_plan_that_it_reads(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """One that tells no identity, as it was not restarted since the upgrade."""

    def without_identity(options: Any, file: OperatorFile | None) -> Mapping[str, Any]:
        answer = dict(request_live_state(options, file))
        del answer["identity"]
        return answer

    async def plan(it: Inside) -> dict[str, Any]:
        path, plan = tmp_path / "new.toml", tmp_path / "plan"
        path.write_text(toml_text(_with_pools("p", "q", port=it.port)))
        options = ["plan", str(path), "-o", str(plan), "--admin", str(it.admin.path)]
        assert await asyncio.to_thread(cli.main, options) == cli.CHANGES
        load_plan(plan.read_text())
        return dict(json.loads(plan.read_text()))

    async def work() -> None:
        async with inside(tmp_path, _with_pools("p", port=free_port())) as it:
            made_now = await plan(it)
            assert made_now["format"] == 2
            assert made_now["base"] == identity(it.live.applied.state)
            monkeypatch.setattr("sailhitch.daemon.cli_change.request_live_state", without_identity)
            assert (await plan(it))["format"] == 1
            capsys.readouterr()
            code = await asyncio.to_thread(
                cli.main, ["apply", str(tmp_path / "plan"), "--admin", str(it.admin.path)]
            )
            assert code == cli.DONE
            assert set(it.live.pools) == {"p", "q"}

    run(work)
