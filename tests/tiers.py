"""Tiers of daemons in this process, which agree over loopback."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Sequence
from pathlib import Path
from typing import Any

from sailhitch.core.core import GatewayCore
from sailhitch.core.log import Log
from sailhitch.daemon.state_applier import StateApplier, resource_limits
from sailhitch.daemon.store import Store
from sailhitch.daemon.tier_source import TierStateSource
from sailhitch.lab.ports import free_port
from sailhitch.tier.config import MemberStatus
from sailhitch.tier.wire import Keys
from tests.daemons import checked_file, file_value, pool
from tests.sockets import until

KEYS = Keys(1, {1: b"k" * 32})


@contextlib.asynccontextmanager
async def running_tier(
    tmp_path: Path, names: Sequence[str], node_count: int
) -> AsyncIterator[list[TierStateSource]]:
    """Yield the active members of a tier, all of them voters; pool `p` has nodes `n0` and on."""
    (tmp_path / "keys").write_text(f"1 {(b'k' * 32).hex()}\n")
    section = {
        "name": "t",
        "key_file": str(tmp_path / "keys"),
        "voters": list(names),
        "members": [
            {"name": name, "address": f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}"} for name in names
        ],
    }
    async with contextlib.AsyncExitStack() as stack:
        tiers = [
            await stack.enter_async_context(_member(tmp_path, name, section, node_count))
            for name in names
        ]
        await until(lambda: all(_is_active(tier) for tier in tiers))
        yield tiers


def _is_active(tier: TierStateSource) -> bool:
    return tier.link.member_status() is MemberStatus.ACTIVE and tier.base().serial == 1


@contextlib.asynccontextmanager
async def _member(
    tmp_path: Path, name: str, section: dict[str, Any], node_count: int
) -> AsyncIterator[TierStateSource]:
    nodes = {f"n{i}": f"127.0.0.1:{9000 + i}" for i in range(node_count)}
    value = file_value([pool("p", nodes)], free_port())
    value["gateway"] |= {"name": name, "state_dir": str(tmp_path / name)}
    value["tier"] = section
    operator_file = checked_file(value)
    assert operator_file.tier is not None
    core = GatewayCore(
        resource_limits(operator_file.gateway, 1_000_000), asyncio.get_running_loop(), Log(name)
    )
    folder = tmp_path / name / "tier"
    store = Store(folder, name)
    live = StateApplier(core, operator_file.gateway, store)
    core.start()
    tier = TierStateSource(live, operator_file.tier, KEYS, folder, None, Log(name))
    try:
        await tier.start(operator_file)
        yield tier
    finally:
        live.stop_listening()
        core.stop()
        tier.link.close()
        await until(lambda: tier.link._writing is None)
        store.close()
