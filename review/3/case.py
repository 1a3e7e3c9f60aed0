"""A new configuration moves discovery to an address where calls are answered slowly."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig import (  # noqa: E402 (found by the path above)
    BROKEN,
    HELD,
    LOCAL,
    NOT_RUN,
    SOCKET_SLACK,
    Ask,
    Clients,
    Discovery,
    Gateway,
    Host,
    Platform,
    Record,
    free_ports,
    now,
    run_case,
)

GATEWAYS = 3
HOSTS = 5
SLOW = 2.5  # s from a call to its answer; whole, and to every call
QUIET = 3.0  # s before the new configuration
DRAIN_AFTER = 1.0  # s from then to the drain of a host
LENGTH = 20.0  # s
TOLD_WITHIN = 6.0  # s after discovery has a change and can be reached (STANDING)
GRACE = 1.0  # s: rules.drainGrace of the settings
PATIENCE = 3.0  # s that clients wait beyond their deadline


async def case(record: Record, trouble: bool) -> int:
    """Play the case; return the exit code."""
    platform = Platform(record)
    try:
        hosts = await platform.start_hosts(HOSTS)
        old_port, new_port = free_ports(2)
        entries = [host.entry for host in hosts]
        old = Discovery(entries, record, "the old discovery")
        new = Discovery(entries, record, "the new discovery")
        await old.start(old_port)
        gateways = await platform.start_gateways(GATEWAYS, hosts, [old_port] * 3, "subscribe")
        clients = Clients(gateways, record, PATIENCE)
        new.delay = SLOW if trouble else 0.0
        await new.start(new_port)
        times: dict[str, float] = {}
        await asyncio.gather(
            clients.every(
                0.03,
                now() + LENGTH,
                lambda i: Ask(f"s{i:05d}", "claim-status", deadline=2.2),
            ),
            move(gateways, hosts[0], old, new, new_port, times, record),
        )
        await clients.finish()
        if any(gateway.process.poll() is not None for gateway in gateways):
            record.line("a gateway has ended")
            return BROKEN
        return judge(clients.asks, hosts[0], times["drains"], record)
    finally:
        platform.close()


async def move(
    gateways: list[Gateway],
    host: Host,
    old: Discovery,
    new: Discovery,
    new_port: int,
    times: dict[str, float],
    record: Record,
) -> None:
    """Move discovery, and let a host drain a second later."""
    await asyncio.sleep(QUIET)
    ending = asyncio.create_task(old.stop())
    for gateway in gateways:
        gateway.reload(discovery=f"{LOCAL}:{new_port}")
    record.line(f"SIGHUP: discovery moves; a call to it is answered after {new.delay} s")
    await asyncio.sleep(DRAIN_AFTER)
    times["drains"] = now()
    new.set_state(host.entry.id, "leaving")
    await ending


def judge(asks: list[Ask], host: Host, drains: float, record: Record) -> int:
    """Check that nothing new is sent to the draining host after the grace.

    Each gateway counts as told at the latest time that the pages allow, whether or not the change
    was written to it before.
    """
    limit = drains + TOLD_WITHIN + GRACE + SOCKET_SLACK
    begun = [event for event in host.events() if event["what"] == "begins"]
    late = [event for event in begun if event["first"] > limit]
    record.line("last time at which an attempt at the draining host may begin", limit)
    for event in late:
        record.line(f"DRAIN: {host.entry.id} got {event['id']}", event["first"])
    last = max((event["first"] for event in begun), default=0.0) - drains
    served = sum(ask.whole for ask in asks)
    summary = (
        f"{len(asks)} requests, {served} served; the last attempt at the draining host began "
        f"{last:.1f} s after its drain, {len(late)} began too late"
    )
    record.line(summary)
    print(summary)
    if not served or not begun:
        return NOT_RUN
    return BROKEN if late else HELD


if __name__ == "__main__":
    sys.exit(run_case(str(HERE), case))
