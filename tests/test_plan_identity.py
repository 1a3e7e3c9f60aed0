"""The state identity that a gateway reports, and plans of this and the previous format."""

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
    PlanError,
    StaleBaseError,
    identity,
    load_plan,
    make_format_1_plan,
    make_plan,
)
from sailhitch.daemon.schema import OperatorFile
from sailhitch.daemon.state import from_file
from sailhitch.lab.files import toml_text
from sailhitch.lab.ports import free_port
from tests.daemons import InProcessDaemon, checked_file, file_value, in_process_daemon, pool
from tests.test_apply import _ask, run


def _with_pools(*names: str, port: int) -> dict[str, Any]:
    pools = [pool(name, {f"{name}1": f"127.0.0.1:{9000 + i}"}) for i, name in enumerate(names)]
    return file_value(pools, port)


@pytest.mark.parametrize("stored", [True, False])
def test_a_gateway_reports_the_identity_of_its_live_state(stored: bool, tmp_path: Path) -> None:
    async def work() -> None:
        port = free_port()
        async with in_process_daemon(tmp_path, _with_pools("p", port=port), stored=stored) as it:
            identities = []
            for names in (("p",), ("p", "q"), ("p",)):
                await it.plan_and_apply(_with_pools(*names, port=port))
                reply = await _ask(it, {"op": "state"})
                assert reply["identity"] == identity(reply["state"])
                identities.append(reply["identity"])
            assert identities[0] == identities[2] != identities[1]

    run(work)


@pytest.mark.parametrize("stored", [True, False])
def test_plans_of_both_formats_are_applied_and_refused_once_the_state_has_changed(
    stored: bool, tmp_path: Path
) -> None:
    async def work() -> None:
        port = free_port()
        async with in_process_daemon(tmp_path, _with_pools("p", port=port), stored=stored) as it:
            live = it.live.applied
            wanted = from_file(checked_file(_with_pools("p", "q", port=port)))
            for plan in (make_plan, make_format_1_plan):
                text = plan("g1", live.serial, live.state, wanted).dump()
                await it.source.apply_plan(text, "t")
                assert it.live.applied.state == wanted
                with pytest.raises(StaleBaseError):
                    await it.source.apply_plan(text, "t")
                await it.plan_and_apply(_with_pools("p", port=port))
                live = it.live.applied
            # The serial matches, but the state is a different one.
            other = from_file(checked_file(_with_pools("other", port=port)))
            for plan in (make_plan, make_format_1_plan):
                with pytest.raises(StaleBaseError):
                    await it.source.apply_plan(plan("g1", live.serial, other, wanted).dump(), "t")
            valid = make_plan("g1", live.serial, live.state, wanted)
            empty = make_plan("g1", live.serial, live.state, live.state)
            wrong_result = type(valid)(
                valid.gateway, valid.serial, valid.base, empty.result, valid.changes
            ).dump()
            with pytest.raises(PlanError, match="do not lead to the result that it states"):
                await it.source.apply_plan(wrong_result, "t")
            assert it.live.applied is live

    run(work)


def test_a_gateway_of_the_previous_version_gets_a_plan_that_it_can_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """Such a gateway sends no identity: it has not been restarted since the upgrade."""

    def without_identity(options: Any, file: OperatorFile | None) -> Mapping[str, Any]:
        reply = dict(request_live_state(options, file))
        del reply["identity"]
        return reply

    async def plan(it: InProcessDaemon) -> dict[str, Any]:
        path, plan = tmp_path / "new.toml", tmp_path / "plan"
        path.write_text(toml_text(_with_pools("p", "q", port=it.port)))
        options = ["plan", str(path), "-o", str(plan), "--admin", str(it.admin.path)]
        assert await asyncio.to_thread(cli.main, options) == cli.CHANGES
        load_plan(plan.read_text())
        return dict(json.loads(plan.read_text()))

    async def work() -> None:
        async with in_process_daemon(tmp_path, _with_pools("p", port=free_port())) as it:
            new_plan = await plan(it)
            assert new_plan["format"] == 2
            assert new_plan["base"] == identity(it.live.applied.state)
            monkeypatch.setattr("sailhitch.daemon.cli_change.request_live_state", without_identity)
            assert (await plan(it))["format"] == 1
            capsys.readouterr()
            code = await asyncio.to_thread(
                cli.main, ["apply", str(tmp_path / "plan"), "--admin", str(it.admin.path)]
            )
            assert code == cli.DONE
            assert set(it.live.pools) == {"p", "q"}

    run(work)
