"""What processes cost, by /proc, and how two looks at all counts become figures."""

from __future__ import annotations

import os
import statistics
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

TICKS: Final = os.sysconf("SC_CLK_TCK")
Row = tuple[str, str, str, str]  # role, direction, peer, kind


def processor_seconds(pid: int) -> float:
    """Processor time that a process has used, all threads (proc(5), stat, utime and stime)."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_kb(pid: int, name: str = "VmRSS") -> int:
    """Memory of a process in KB, of proc(5), status; `VmHWM` is the most that it ever had."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1])
    return 0


def machine_memory_kb(name: str = "MemTotal") -> int:
    """Memory of the machine in KB (proc(5), meminfo)."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1])
    raise OSError(f"/proc/meminfo has no {name}")


def system_drops(port: int) -> int:
    """Datagrams that the system threw away at sockets with this port, as their buffers were full.

    proc(5), net/udp; the sum over sockets that are open now.
    """
    ending, drops = f":{port:04X}", 0
    for line in Path("/proc/net/udp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1].endswith(ending):
            drops += int(fields[-1])
    return drops


@dataclass
class Look:
    """All counts at one time."""

    at: float
    daemon_cpu: dict[str, float]
    daemon_rss: dict[str, int]
    daemon_sent: dict[str, tuple[int, int]]  # datagrams and bytes, by `tier status`
    host_cpu: list[float]
    host_rss: int
    datagrams: Counter[Row] = field(default_factory=Counter)
    bytes: Counter[Row] = field(default_factory=Counter)
    disk_bytes: int = 0
    late: dict[str, float] = field(default_factory=dict)
    drops: int = 0


def by_kind(
    before: Look, after: Look, direction: str, peers: tuple[str, ...] | None, role: str = ""
) -> dict[str, tuple[int, int]]:
    """Datagrams and bytes by kind between two looks; `peers` None: whoever they are."""
    found: dict[str, tuple[int, int]] = {}
    for key, count in after.datagrams.items():
        its_role, way, peer, kind = key
        if way != direction or (role and its_role != role):
            continue
        if peers is not None and peer not in peers:
            continue
        datagrams, size = found.get(kind, (0, 0))
        datagrams += count - before.datagrams[key]
        found[kind] = datagrams, size + after.bytes[key] - before.bytes[key]
    return {kind: pair for kind, pair in sorted(found.items()) if pair[0]}


def total(kinds: dict[str, tuple[int, int]]) -> tuple[int, int]:
    """Datagrams and bytes of all kinds."""
    return sum(n for n, _ in kinds.values()), sum(size for _, size in kinds.values())


def rates(kinds: dict[str, tuple[int, int]], seconds: float, among: int) -> dict[str, Any]:
    """Datagrams and bytes a second of one of so many gateways, by kind and in all."""
    scale = max(seconds, 1e-9) * max(among, 1)
    told: dict[str, Any] = {
        kind: {"datagrams": round(n / scale, 3), "bytes": round(size / scale, 1)}
        for kind, (n, size) in kinds.items()
    }
    datagrams, size = total(kinds)
    told["all"] = {"datagrams": round(datagrams / scale, 3), "bytes": round(size / scale, 1)}
    return told


def window(before: Look, after: Look, hollow: int, voters: int, names: list[str]) -> dict[str, Any]:
    """Figures of what happened between two looks.

    `hollow` run, `voters` of them voters; daemons' traffic by kind is what hollow gateways sent to
    them and heard from them, without what daemons say to each other.
    """
    seconds = after.at - before.at
    known = [name for name in names if name in before.daemon_cpu and name in after.daemon_cpu]
    daemons = {
        name: {
            "core_share": round((after.daemon_cpu[name] - before.daemon_cpu[name]) / seconds, 4),
            "rss_mb": round(after.daemon_rss[name] / 1024, 1),
            "sent_bytes_s": _sent(before, after, name, 1),
            "sent_datagrams_s": _sent(before, after, name, 0),
            "sent": rates(by_kind(before, after, "heard", (name,)), seconds, 1),
            "heard": rates(by_kind(before, after, "sent", (name,)), seconds, 1),
        }
        for name in known
    }
    questions = by_kind(before, after, "heard", None, "voter").get("lease question", (0, 0))[0]
    host = [a - b for a, b in zip(after.host_cpu, before.host_cpu, strict=True)]
    return {
        "seconds": round(seconds, 2),
        "daemons": daemons,
        "hollow": {
            "sent": rates(by_kind(before, after, "sent", None), seconds, hollow),
            "heard": rates(by_kind(before, after, "heard", None), seconds, hollow),
            "lost": total(by_kind(before, after, "lost", None))[0],
            "questions_at_a_voter_s": round(questions / seconds / voters, 2) if voters else None,
            "disk_bytes_s": round((after.disk_bytes - before.disk_bytes) / seconds / hollow, 1),
        },
        "hosts": {
            "core_share": [round(used / seconds, 3) for used in host],
            "rss_mb": round(after.host_rss / 1024, 1),
            **{name: round(value, 4) for name, value in after.late.items()},
        },
        "dropped_by_the_system": after.drops,
    }


def _sent(before: Look, after: Look, name: str, which: int) -> float | None:
    if name not in before.daemon_sent or name not in after.daemon_sent:
        return None
    told = after.daemon_sent[name][which] - before.daemon_sent[name][which]
    return round(told / (after.at - before.at), 1) if told >= 0 else None


def spread(values: list[float]) -> dict[str, float | int | None]:
    """Count, median and worst."""
    if not values:
        return {"count": 0, "median": None, "worst": None}
    return {
        "count": len(values), "median": round(statistics.median(values), 3),
        "worst": round(max(values), 3),
    }  # fmt: skip


def now() -> float:
    """The machine's steady clock, the same in all its processes."""
    return time.monotonic()
