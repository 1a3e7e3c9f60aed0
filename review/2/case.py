"""A host falls silent while long request bodies are on their way to it."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig import (  # noqa: E402 (found by the path above)
    ANSWER_SLACK,
    BROKEN,
    HELD,
    NOT_RUN,
    Ask,
    Clients,
    Discovery,
    Host,
    Platform,
    Record,
    free_ports,
    lost,
    now,
    run_case,
)

GATEWAYS = 6  # today 5 to 6 (BRIEF)
HOSTS = 10
QUIET = 3.0  # s before each cut
SILENT = 6.0  # s that a fifth of the hosts is silent (STANDING: 6 s, a fifth, two cuts)
BODIES = range(2 << 20, 8 << 20)  # bytes; bodies have up to 32 MB (more/DAYS)
DEADLINE = 1.65  # s: 55% of the class's 3 s (BRIEF)
PATIENCE = 12.0  # s that clients wait beyond their deadline


async def case(record: Record, trouble: bool) -> int:
    """Play the case; return the exit code."""
    platform = Platform(record)
    try:
        hosts = await platform.start_hosts(HOSTS)
        ports = free_ports(GATEWAYS)
        for port in ports:
            await Discovery([host.entry for host in hosts], record).start(port)
        gateways = await platform.start_gateways(GATEWAYS, hosts, ports)
        clients = Clients(gateways, record, PATIENCE)
        end = now() + 2 * (QUIET + SILENT)

        def file_claim(i: int) -> Ask:
            body = random.choice(BODIES)
            return Ask(f"f{i:05d}", "claim-file", deadline=DEADLINE, body=body)

        load = [
            clients.every(0.25, end, lambda i: Ask(f"s{i:05d}", "claim-status", deadline=2.2)),
            clients.every(0.06, end, file_claim),
        ]
        await asyncio.gather(*load, disrupt(hosts, record, trouble))
        await clients.finish()
        at_host = {}
        for host in hosts:
            for event in host.events():
                at_host[event["id"]] = host.entry.id
                record.line(f"host {host.entry.id}: {event['what']} {event['id']}", event["at"])
        if any(gateway.process.poll() is not None for gateway in gateways):
            return BROKEN
        found = lost(clients.asks)
        for ask in found:
            limit = ask.deadline + ANSWER_SLACK
            where = at_host.get(ask.name, "no host")
            record.line(f"LOST: {ask.describe()}; its limit is {limit:.2f} s; sent to {where}")
        served = sum(ask.whole for ask in clients.asks)
        summary = f"{len(clients.asks)} requests, {served} served, {len(found)} lost"
        record.line(summary)
        print(summary)
        if not served:
            return NOT_RUN
        return BROKEN if found else HELD
    finally:
        platform.close()


async def disrupt(hosts: list[Host], record: Record, trouble: bool) -> None:
    """Stop a fifth of the hosts for a while, then another fifth."""
    size = len(hosts) // 5
    for group in (hosts[:size], hosts[size : 2 * size]):
        await asyncio.sleep(QUIET)
        names = " and ".join(host.entry.id for host in group)
        if trouble:
            record.line(f"{names} fall silent")
            for host in group:
                host.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(SILENT)
        if trouble:
            for host in group:
                host.process.send_signal(signal.SIGCONT)
            record.line(f"{names} go on")


if __name__ == "__main__":
    sys.exit(run_case(str(HERE), case))
