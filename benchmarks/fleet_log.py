"""What a whole fleet did, period by period, from the logs of its gateways.

    python benchmarks/fleet_log.py FOLDER [--json]

Reads each `*.log` in the folder, one gateway's log each, takes the running figures of the periodic
lines apart (`requests=... outcomes: ...`, `hosts: shed=...`), and prints what was added in each
period over all gateways. A gateway that starts again counts from nothing. Exit: 0, or 2 where the
folder has no such line.
"""

from __future__ import annotations

import argparse
import json
import re
import sys
from collections import defaultdict
from pathlib import Path

LINE = re.compile(r"(\d\d):(\d\d):(\d\d)\.\d+ \S+ (.*)")
FIGURE = re.compile(r"(\w+)=(\d+)\b")
# Levels and peaks: they don't add up over time.
LEVELS = {"open", "clients", "upstream", "hosts", "lag_ms", "busy", "idle", "seats", "reach"}

Table = dict[int, dict[str, int]]


def read(text: str, into: Table, period: int) -> int:
    """Add one gateway's figures to the table, by period of the day; how many lines had any."""
    last: dict[str, int] = {}
    lines = 0
    for found in LINE.finditer(text):
        hours, minutes, seconds, rest = found.groups()
        if not rest.startswith(("requests=", "hosts: ")):
            continue
        lines += 1
        at = (int(hours) * 3600 + int(minutes) * 60 + int(seconds)) // period * period
        for name, count in FIGURE.findall(rest):
            if name in LEVELS:
                continue
            before = last.get(name, 0)
            # Less than before: the gateway has started again.
            into[at][name] += int(count) - before if int(count) >= before else int(count)
            last[name] = int(count)
    return lines


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(description="Sum the periodic figures of a fleet's logs.")
    parser.add_argument("folder", type=Path)
    parser.add_argument("--period", type=int, default=10, help="seconds a row (10)")
    parser.add_argument("--json", action="store_true")
    chosen = parser.parse_args(arguments)
    table: Table = defaultdict(lambda: defaultdict(int))
    logs = sorted(chosen.folder.glob("*.log"))
    lines = sum(read(p.read_text(errors="replace"), table, chosen.period) for p in logs)
    if not lines:
        print(f"fleet_log: no line of figures in {chosen.folder}", file=sys.stderr)
        return 2
    if chosen.json:
        print(json.dumps({"gateways": len(logs), "periods": table}, sort_keys=True))
        return 0
    for at, figures in sorted(table.items()):
        clock = f"{at // 3600:02}:{at // 60 % 60:02}:{at % 60:02}"
        print(clock, " ".join(f"{k}={v}" for k, v in sorted(figures.items()) if v))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
