"""Sums the counters in the logs of a fleet's gateways by period.

    python benchmarks/fleet_log.py FOLDER [--json]

Reads each `*.log` in the folder, the log of one gateway each, parses the running counters in its
periodic lines (`requests=... outcomes: ...`, `hosts: shed=...`), and prints the sums of their
increases over all gateways in each period. The counters of a gateway that restarts begin at 0.
Exits 0, or 2 if the folder has no such line.
"""

from __future__ import annotations

import argparse
import json
import re
import sys
from collections import defaultdict
from pathlib import Path

LINE = re.compile(r"(\d\d):(\d\d):(\d\d)\.\d+ \S+ (.*)")
COUNTER = re.compile(r"(\w+)=(\d+)\b")
# Gauges and peaks, which can't be summed over time.
GAUGES = {"open", "clients", "upstream", "hosts", "lag_ms", "busy", "idle", "seats", "reach"}

Table = dict[int, dict[str, int]]


def add_counters(text: str, table: Table, period: int) -> int:
    """Add one gateway's counters to the table by period of the day; return the number of lines."""
    last: dict[str, int] = {}
    lines = 0
    for match in LINE.finditer(text):
        hours, minutes, seconds, rest = match.groups()
        if not rest.startswith(("requests=", "hosts: ")):
            continue
        lines += 1
        at = (int(hours) * 3600 + int(minutes) * 60 + int(seconds)) // period * period
        for name, count in COUNTER.findall(rest):
            if name in GAUGES:
                continue
            before = last.get(name, 0)
            # Less than before: the gateway has restarted.
            table[at][name] += int(count) - before if int(count) >= before else int(count)
            last[name] = int(count)
    return lines


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(description="Sum the counters in a fleet's logs by period.")
    parser.add_argument("folder", type=Path)
    parser.add_argument("--period", type=int, default=10, help="seconds per row (10)")
    parser.add_argument("--json", action="store_true")
    chosen = parser.parse_args(arguments)
    table: Table = defaultdict(lambda: defaultdict(int))
    logs = sorted(chosen.folder.glob("*.log"))
    lines = sum(add_counters(p.read_text(errors="replace"), table, chosen.period) for p in logs)
    if not lines:
        print(f"fleet_log: no line with counters in {chosen.folder}", file=sys.stderr)
        return 2
    if chosen.json:
        print(json.dumps({"gateways": len(logs), "periods": table}, sort_keys=True))
        return 0
    for at, counters in sorted(table.items()):
        clock = f"{at // 3600:02}:{at // 60 % 60:02}:{at % 60:02}"
        print(clock, " ".join(f"{k}={v}" for k, v in sorted(counters.items()) if v))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
