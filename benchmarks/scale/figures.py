"""Resource usage of processes from /proc, and the figures between two snapshots of all counts."""

from __future__ import annotations

import os
import statistics
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

CLOCK_TICKS_PER_SECOND: Final = os.sysconf("SC_CLK_TCK")
TrafficKey = tuple[str, str, str, str]  # role, direction, peer, kind


def processor_seconds(pid: int) -> float:
    """Return the processor time of all threads of a process (proc(5), stat: utime and stime)."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def memory_kb(pid: int, name: str = "VmRSS") -> int:
    """Return a process's memory in KB (proc(5), status); `VmHWM` is its peak."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1])
    return 0


def machine_memory_kb(name: str = "MemTotal") -> int:
    """Return the machine's memory in KB (proc(5), meminfo)."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1])
    raise OSError(f"/proc/meminfo has no field {name}")


def system_drops(port: int, file: str = "/proc/net/udp") -> dict[str, int]:
    """Return the datagrams that the kernel dropped because receive buffers were full.

    By address, for the open sockets with this port (proc(5), net/udp).
    """
    drops = {}
    for line in Path(file).read_text().splitlines()[1:]:
        fields = line.split()
        address, _, socket_port = fields[1].partition(":")
        if int(socket_port, 16) == port:
            # The kernel prints the address as a native-endian word: little-endian on x86.
            octets = reversed(bytes.fromhex(address))
            drops[".".join(map(str, octets))] = int(fields[-1])
    return drops


def drops_since(before: Mapping[str, int], after: Mapping[str, int]) -> int:
    """Return the drops between two snapshots.

    A count that has gone down is that of a new socket, and all of it is taken.
    """
    return sum(
        count - before.get(address, 0) if count >= before.get(address, 0) else count
        for address, count in after.items()
    )


@dataclass(frozen=True)
class ProcessUsage:
    """Resources that a daemon's process has used so far."""

    pid: int
    processor: float  # s
    rss_kb: int
    sent: tuple[int, int]  # datagrams and bytes, by `tier status`

    def since(self, before: ProcessUsage | None) -> ProcessUsage:
        """Return the usage since `before`, or all of it if that was another process or none."""
        if before is None or before.pid != self.pid:
            return self
        sent = self.sent[0] - before.sent[0], self.sent[1] - before.sent[1]
        return ProcessUsage(self.pid, self.processor - before.processor, self.rss_kb, sent)


@dataclass
class Snapshot:
    """All counts at one point in time."""

    at: float
    daemons: dict[str, ProcessUsage]
    host_cpu: list[float]
    host_rss: int
    datagrams: Counter[TrafficKey] = field(default_factory=Counter)
    bytes: Counter[TrafficKey] = field(default_factory=Counter)
    disk_writes: Counter[str] = field(default_factory=Counter)  # writes, bytes and pages to disks
    tick_delays: dict[str, float] = field(default_factory=dict)
    drops: dict[str, int] = field(default_factory=dict)  # at hollow gateways, by address
    daemon_drops: dict[str, int] = field(default_factory=dict)


def traffic_by_kind(
    before: Snapshot, after: Snapshot, direction: str, peers: tuple[str, ...] | None, role: str = ""
) -> dict[str, tuple[int, int]]:
    """Return datagrams and bytes by kind between two snapshots; `peers` None: of all peers."""
    found: dict[str, tuple[int, int]] = {}
    for key, count in after.datagrams.items():
        key_role, way, peer, kind = key
        if way != direction or (role and key_role != role):
            continue
        if peers is not None and peer not in peers:
            continue
        datagrams, size = found.get(kind, (0, 0))
        datagrams += count - before.datagrams[key]
        found[kind] = datagrams, size + after.bytes[key] - before.bytes[key]
    return {kind: pair for kind, pair in sorted(found.items()) if pair[0]}


def total(kinds: dict[str, tuple[int, int]]) -> tuple[int, int]:
    """Return the sum of datagrams and of bytes over all kinds."""
    return sum(n for n, _ in kinds.values()), sum(size for _, size in kinds.values())


def rates(kinds: dict[str, tuple[int, int]], seconds: float, gateways: int) -> dict[str, Any]:
    """Return datagrams and bytes a second per gateway, by kind and in total."""
    scale = max(seconds, 1e-9) * max(gateways, 1)
    per_second: dict[str, Any] = {
        kind: {"datagrams": round(n / scale, 3), "bytes": round(size / scale, 1)}
        for kind, (n, size) in kinds.items()
    }
    datagrams, size = total(kinds)
    per_second["all"] = {"datagrams": round(datagrams / scale, 3), "bytes": round(size / scale, 1)}
    return per_second


def window(
    before: Snapshot, after: Snapshot, hollow: int, voters: int, names: list[str]
) -> dict[str, Any]:
    """Return the figures of the interval between two snapshots.

    `hollow` gateways run, `voters` of them as voters. The daemons' traffic by kind is counted at
    the hollow gateways, so it lacks what daemons send to each other.
    """
    seconds = after.at - before.at
    daemons = {}
    for name in names:
        if name not in after.daemons:
            continue
        usage = after.daemons[name].since(before.daemons.get(name))
        daemons[name] = {
            "core_share": round(usage.processor / seconds, 4),
            "rss_mb": round(usage.rss_kb / 1024, 1),
            "sent_datagrams_s": round(usage.sent[0] / seconds, 1),
            "sent_bytes_s": round(usage.sent[1] / seconds, 1),
            "sent": rates(traffic_by_kind(before, after, "heard", (name,)), seconds, 1),
            "heard": rates(traffic_by_kind(before, after, "sent", (name,)), seconds, 1),
        }
    questions = traffic_by_kind(before, after, "heard", None, "voter").get(
        "lease question", (0, 0)
    )[0]
    host = [a - b for a, b in zip(after.host_cpu, before.host_cpu, strict=True)]
    return {
        "seconds": round(seconds, 2),
        "hollow_running": hollow,
        "daemons": daemons,
        "hollow": {
            "sent": rates(traffic_by_kind(before, after, "sent", None), seconds, hollow),
            "heard": rates(traffic_by_kind(before, after, "heard", None), seconds, hollow),
            "counts": {
                way: {
                    kind: list(pair)
                    for kind, pair in traffic_by_kind(before, after, way, None).items()
                }
                for way in ("sent", "heard", "lost")
            },
            "questions_at_a_voter_s": round(questions / seconds / voters, 2) if voters else None,
            "kept": {
                name: count - before.disk_writes[name] for name, count in after.disk_writes.items()
            },
        },
        "hosts": {
            "core_share": [round(used / seconds, 3) for used in host],
            "rss_mb": round(after.host_rss / 1024, 1),
            **{name: round(value, 4) for name, value in after.tick_delays.items()},
        },
        "dropped_by_the_system": {
            "hollow": drops_since(before.drops, after.drops),
            "daemons": drops_since(before.daemon_drops, after.daemon_drops),
        },
    }


def summary(values: list[float]) -> dict[str, float | int | None]:
    """Return the count, median and maximum."""
    if not values:
        return {"count": 0, "median": None, "worst": None}
    return {
        "count": len(values),
        "median": round(statistics.median(values), 3),
        "worst": round(max(values), 3),
    }


def now() -> float:
    """Return the monotonic time in seconds, the same in all processes of the machine."""
    return time.monotonic()
