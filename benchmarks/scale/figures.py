"""What processes cost, by /proc, and how two looks at all counts become figures."""

from __future__ import annotations

import os
import statistics
import time
from collections import Counter
from collections.abc import Mapping
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


def system_drops(port: int, file: str = "/proc/net/udp") -> dict[str, int]:
    """Datagrams that the system threw away at sockets with this port, as their buffers were full.

    By address, over sockets that are open now (proc(5), net/udp).
    """
    drops = {}
    for line in Path(file).read_text().splitlines()[1:]:
        fields = line.split()
        address, _, its_port = fields[1].partition(":")
        if int(its_port, 16) == port:
            octets = reversed(bytes.fromhex(address))  # the kernel has them in the order of x86
            drops[".".join(map(str, octets))] = int(fields[-1])
    return drops


def lost_since(before: Mapping[str, int], after: Mapping[str, int]) -> int:
    """Drops between two looks; of a socket that is another one, all."""
    return sum(
        count - before.get(address, 0) if count >= before.get(address, 0) else count
        for address, count in after.items()
    )


@dataclass(frozen=True)
class Cost:
    """What a daemon's process has used so far."""

    pid: int
    processor: float  # s
    rss_kb: int
    sent: tuple[int, int]  # datagrams and bytes, by `tier status`

    def since(self, before: Cost | None) -> Cost:
        """Return what it has used since; all of it where it did not run or was another process."""
        if before is None or before.pid != self.pid:
            return self
        sent = self.sent[0] - before.sent[0], self.sent[1] - before.sent[1]
        return Cost(self.pid, self.processor - before.processor, self.rss_kb, sent)


@dataclass
class Look:
    """All counts at one time."""

    at: float
    daemons: dict[str, Cost]
    host_cpu: list[float]
    host_rss: int
    datagrams: Counter[Row] = field(default_factory=Counter)
    bytes: Counter[Row] = field(default_factory=Counter)
    kept: Counter[str] = field(default_factory=Counter)  # writes, bytes and pages to disks
    late: dict[str, float] = field(default_factory=dict)
    drops: dict[str, int] = field(default_factory=dict)  # at hollow gateways, by address
    daemon_drops: dict[str, int] = field(default_factory=dict)


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
    daemons = {}
    for name in names:
        if name not in after.daemons:
            continue
        used = after.daemons[name].since(before.daemons.get(name))
        daemons[name] = {
            "core_share": round(used.processor / seconds, 4),
            "rss_mb": round(used.rss_kb / 1024, 1),
            "sent_datagrams_s": round(used.sent[0] / seconds, 1),
            "sent_bytes_s": round(used.sent[1] / seconds, 1),
            "sent": rates(by_kind(before, after, "heard", (name,)), seconds, 1),
            "heard": rates(by_kind(before, after, "sent", (name,)), seconds, 1),
        }
    questions = by_kind(before, after, "heard", None, "voter").get("lease question", (0, 0))[0]
    host = [a - b for a, b in zip(after.host_cpu, before.host_cpu, strict=True)]
    return {
        "seconds": round(seconds, 2),
        "hollow_running": hollow,
        "daemons": daemons,
        "hollow": {
            "sent": rates(by_kind(before, after, "sent", None), seconds, hollow),
            "heard": rates(by_kind(before, after, "heard", None), seconds, hollow),
            "counts": {
                way: {kind: list(pair) for kind, pair in by_kind(before, after, way, None).items()}
                for way in ("sent", "heard", "lost")
            },
            "questions_at_a_voter_s": round(questions / seconds / voters, 2) if voters else None,
            "kept": {name: count - before.kept[name] for name, count in after.kept.items()},
        },
        "hosts": {
            "core_share": [round(used / seconds, 3) for used in host],
            "rss_mb": round(after.host_rss / 1024, 1),
            **{name: round(value, 4) for name, value in after.late.items()},
        },
        "dropped_by_the_system": {
            "hollow": lost_since(before.drops, after.drops),
            "daemons": lost_since(before.daemon_drops, after.daemon_drops),
        },
    }


def spread(values: list[float]) -> dict[str, float | int | None]:
    """Count, median and worst."""
    if not values:
        return {"count": 0, "median": None, "worst": None}
    return {
        "count": len(values),
        "median": round(statistics.median(values), 3),
        "worst": round(max(values), 3),
    }


def now() -> float:
    """Return the machine's steady clock, the same in all its processes."""
    return time.monotonic()
