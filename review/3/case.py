"""Hosts pause for some seconds within long answers whose length they don't tell ahead."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig import (  # noqa: E402 (found by the path above)
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
    now,
    run_case,
)

GATEWAYS = 2
HOSTS = 5
ANSWER = 200 * 1024  # bytes of an answer; answers have up to 32 MB (more/DAYS)
PIECE = 40 * 1024  # bytes that a host writes at a time
PAUSE = 4.0  # s; "peers take seconds to read or to write" (more/DAYS)
SHARE = 5  # every fifth answer of a host has such a pause
DEADLINE = 2.75  # s: 55% of the class's 5 s (BRIEF)
PATIENCE = 6.0  # s that clients wait beyond their deadline
QUIET = 3.0  # s before the hosts begin to pause
TROUBLE = 6.0  # s


async def case(record: Record, trouble: bool) -> int:
    """Play the case; return the exit code."""
    platform = Platform(record)
    try:
        hosts = await platform.start_hosts(
            HOSTS,
            "--answer",
            str(ANSWER),
            "--pieces",
            str(PIECE),
            "--pause",
            str(PAUSE),
            "--share",
            str(SHARE),
        )
        ports = free_ports(GATEWAYS)
        for port in ports:
            await Discovery([host.entry for host in hosts], record).start(port)
        gateways = await platform.start_gateways(GATEWAYS, hosts, ports)
        clients = Clients(gateways, record, PATIENCE)

        def pay(i: int) -> Ask:
            return Ask(f"p{i:05d}", "payout", deadline=DEADLINE, body=300)

        await asyncio.gather(
            clients.every(0.1, now() + QUIET + TROUBLE, pay),
            disrupt(hosts, record, trouble),
        )
        await clients.finish()
        await asyncio.sleep(PAUSE)  # the hosts go on with what they were at
        return judge(clients.asks, hosts, record)
    finally:
        platform.close()


async def disrupt(hosts: list[Host], record: Record, trouble: bool) -> None:
    """Let the hosts pause within every fifth answer, from now on."""
    await asyncio.sleep(QUIET)
    if trouble:
        record.line(f"hosts begin to pause {PAUSE} s within every answer of {SHARE}")
        for host in hosts:
            host.process.send_signal(signal.SIGUSR1)


def judge(asks: list[Ask], hosts: list[Host], record: Record) -> int:
    """Check that no answer was cut off, or held back, that a host was still giving.

    Counted are only requests at which a host had given the first bytes of the answer while the
    client still waited, and at which the gateway then ended the connection to that host before
    the host had given the rest, with the client still there and no answer of another host served.
    """
    by_name = {ask.name: ask for ask in asks}
    first_piece: dict[str, float] = {}
    cut: dict[str, float] = {}
    for host in hosts:
        for event in host.events():
            name = event["id"]
            detail = f" {event['why']}" if "why" in event else ""
            record.line(
                f"host {host.entry.id}: {event['what']} {name}{detail} {event.get('upto', '')}",
                event["at"],
            )
            if event["what"] == "piece":
                first_piece.setdefault(name, event["at"])
            elif event["what"] == "cut off" and name in first_piece:
                cut[name] = event["at"]
    found = 0
    for name, first in first_piece.items():
        ask = by_name[name]
        in_time = first < ask.sent + ask.deadline
        if in_time and not ask.whole and (name in cut or not ask.answered):
            found += 1
            record.line(
                f"LOST: {ask.describe()}; its host gave the first bytes {first - ask.sent:.3f} s "
                f"after its last byte, and went on {PAUSE} s later"
            )
    served = sum(ask.whole for ask in asks)
    summary = f"{len(asks)} requests, {served} served, {found} cut off"
    record.line(summary)
    print(summary)
    if not served:
        return NOT_RUN
    return BROKEN if found else HELD


if __name__ == "__main__":
    sys.exit(run_case(str(HERE), case))
