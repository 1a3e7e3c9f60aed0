"""An unexpected exception ends only the operation that raised it."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from sailhitch.daemon.admin_requests import AdminRequests
from sailhitch.daemon.schema import TierMemberSection, TierSection
from sailhitch.daemon.tier_link import TierLink
from sailhitch.daemon.tier_source import TierStateSource
from sailhitch.daemon.zone_coordinator import ZoneCoordinator
from sailhitch.lab.ports import free_port
from sailhitch.tier.member import MemberStatus
from sailhitch.tier.wire import Keys
from tests.daemons import file_value, in_process_daemon, pool

Patch = pytest.MonkeyPatch
PATIENCE = 5.0  # s


def _fail(*_: Any) -> None:
    raise ZeroDivisionError("division by zero")


def test_a_failure_of_the_zone_coordinator_does_not_affect_readiness(
    tmp_path: Path, monkeypatch: Patch
) -> None:
    """Guards against readiness that is never updated because the zones' heartbeat raises."""
    status = MemberStatus.ACTIVE
    monkeypatch.setattr(ZoneCoordinator, "on_heartbeat", _fail)
    monkeypatch.setattr(TierLink, "member_status", lambda self: status)

    async def work() -> None:
        nonlocal status
        async with in_process_daemon(tmp_path, file_value([pool("p", {})], free_port())) as it:
            core = it.live.core
            member = TierMemberSection(name="g1", address="127.0.0.1:9001")
            part = TierSection(name="t", key_file="unused", members=[member], voters=["g1"])
            keys = Keys(1, {1: b"k" * 32})
            source = TierStateSource(it.live, part, keys, tmp_path, None, core.logger)
            heartbeat = source.link.on_heartbeat
            assert heartbeat is not None
            core.ready = False
            heartbeat()
            assert core.ready
            status = MemberStatus.LEASE_EXPIRED
            heartbeat()
            assert not core.ready
            assert core.counters.faults == 2
            core.counters.faults = 0  # `in_process_daemon` expects none

    asyncio.run(work())


def test_an_admin_request_that_raises_is_answered(tmp_path: Path, monkeypatch: Patch) -> None:
    """Guards against an admin connection that is closed without a reply."""

    async def failing(self: AdminRequests, request: Any, uid: int) -> None:
        _fail()

    async def work() -> None:
        async with in_process_daemon(tmp_path, file_value([pool("p", {})], free_port())) as it:
            monkeypatch.setattr(AdminRequests, "execute", failing)
            reader, writer = await asyncio.open_unix_connection(str(it.admin.path))
            writer.write(b'{"op": "hosts"}\n')
            async with asyncio.timeout(PATIENCE):
                reply = json.loads(await reader.readline() or b"{}")
            writer.close()
            assert (reply["ok"], reply["code"]) == (False, "failed")
            assert "ZeroDivisionError" in reply["error"]
            assert it.live.core.counters.faults == 1
            it.live.core.counters.faults = 0  # `in_process_daemon` expects none

    asyncio.run(work())
