"""Results: lines of JSON with the machine and the commit, a table, and a chart."""

from __future__ import annotations

import json
import os
import platform
import subprocess
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

from .figures import machine_memory_kb
from .processes import ROOT, RigError


def machine() -> dict[str, Any]:
    """Return the machine that a run was measured on."""
    return {
        "cores": os.cpu_count(),
        "memory_mb": machine_memory_kb() // 1024,
        "python": platform.python_version(),
        "system": platform.system(),
        "load": [round(one, 2) for one in os.getloadavg()],
    }


def commit() -> dict[str, Any]:
    """Return the commit that is measured, and whether the working tree differs from it."""
    try:
        head = _git("rev-parse", "HEAD").strip()
        return {"commit": head, "dirty": bool(_git("status", "--porcelain", "-uno").strip())}
    except (OSError, subprocess.CalledProcessError):
        return {"commit": None, "dirty": None}


def _git(*arguments: str) -> str:
    done = subprocess.run(
        ["git", *arguments], cwd=ROOT, capture_output=True, text=True, check=True, timeout=10
    )
    return done.stdout


def read_lines(files: Sequence[str | Path]) -> list[dict[str, Any]]:
    """Read results of earlier runs. Raises RigError."""
    found = []
    for file in files:
        try:
            lines = Path(file).read_text().splitlines()
        except OSError as error:
            raise RigError(f"{file}: {error.strerror}") from None
        for number, line in enumerate(lines):
            try:
                found.append(json.loads(line))
            except ValueError:
                raise RigError(f"{file}: line {number + 1}: not JSON") from None
    return found


def windows(value: Any, path: str = "") -> Iterator[tuple[str, dict[str, Any]]]:
    """Yield each part of a result that has the figures of a window, with its path."""
    if isinstance(value, dict):
        if "window" in value:
            yield path, value
        for name, part in value.items():
            if name != "window":
                yield from windows(part, f"{path}.{name}" if path else name)
    elif isinstance(value, list):
        for number, part in enumerate(value):
            yield from windows(part, f"{path}[{number}]")


COLUMNS = (
    "part",
    "members",
    "state",
    "loss",
    "dead",
    "commit",
    "seconds",
    "in force",
    "behind",
    "all in",
    "at rest",
    "B/s sent",
    "dgrams/s",
    "gossip B/s",
    "content B/s",
    "questions/s",
    "daemon core",
    "MB",
    "B/s in+out",
    "host core",
    "dropped",
)


def row(result: dict[str, Any], path: str, part: dict[str, Any]) -> list[str]:
    """Return one row of the table."""
    window = part["window"]
    hollow, daemons = window["hollow"], window["daemons"].values()
    sent, force = hollow["sent"], part.get("in_force", {})
    total_bytes = [one["sent"]["all"]["bytes"] + one["heard"]["all"]["bytes"] for one in daemons]
    name = f"{result['experiment']}{'.' if path else ''}{path}"
    return [
        name,
        str(result["members"]),
        format_figure(result["fraction"]),
        format_figure(result["loss"]),
        format_figure(result["dead"]),
        (result["commit"] or "-")[:7] + "+" * bool(result["dirty"]),
        format_figure(window["seconds"]),
        f"{format_figure(force.get('median'))}/{format_figure(force.get('worst'))}",
        format_figure(part.get("behind")),
        format_figure(part.get("all_in")),
        format_figure(part.get("at_rest_after")),
        format_figure(sent["all"]["bytes"]),
        format_figure(sent["all"]["datagrams"]),
        format_figure(sent.get("gossip", {}).get("bytes")),
        format_figure(content_bytes(sent)),
        format_figure(hollow["questions_at_a_voter_s"]),
        format_figure(max((one["core_share"] for one in daemons), default=None)),
        format_figure(max((one["rss_mb"] for one in daemons), default=None)),
        format_figure(max(total_bytes, default=None)),
        format_figure(max(window["hosts"]["core_share"], default=None)),
        format_drops(window["dropped_by_the_system"]),
    ]


def content_bytes(sent: dict[str, dict[str, float]]) -> float | None:
    """Return the bytes a second spent on contents: pieces of whole ones, and pages of trees."""
    found = [sent[kind]["bytes"] for kind in ("content piece", "page reply") if kind in sent]
    return sum(found) if found else None


def format_drops(drops: int | dict[str, int]) -> str:
    """Format the drops at hollow gateways and at daemons; older results have only one count."""
    return str(drops) if isinstance(drops, int) else f"{drops['hollow']}/{drops['daemons']}"


def format_figure(value: float | None) -> str:
    """Format a figure for the table."""
    if value is None:
        return "-"
    return f"{value:.0f}" if abs(value) >= 100 or value == int(value) else f"{value:.3g}"


def table(results: Sequence[dict[str, Any]]) -> str:
    """Return the text table of all windows of the results."""
    rows = [list(COLUMNS)]
    for result in results:
        rows += [row(result, path, part) for path, part in windows(result["figures"])]
    widths = [max(len(one[i]) for one in rows) for i in range(len(COLUMNS))]
    lines = [
        "  ".join(
            text.ljust(width) if i == 0 else text.rjust(width)
            for i, (text, width) in enumerate(zip(one, widths, strict=True))
        ).rstrip()
        for one in rows
    ]
    return "\n".join(lines) + "\n"


def _label(result: dict[str, Any], path: str) -> str:
    """Return the label of a line of the chart: all that differs between runs except the members."""
    faults = f", loss {result['loss']}, dead {result['dead']}" * bool(
        result["loss"] or result["dead"]
    )
    part = f"{result['experiment']} {path.partition('[')[0]}".strip()
    return f"{part}, {result['fraction']} of the state{faults}, {(result['commit'] or '')[:7]}"


def chart(results: Sequence[dict[str, Any]], file: str | Path) -> None:
    """Draw bytes, processor time and durations over the number of members. Raises RigError."""
    try:
        # Imported only for a chart: matplotlib comes with the optional extra `scale`.
        import matplotlib

        matplotlib.use("Agg")
        import matplotlib.pyplot as plots
    except ImportError:
        raise RigError("--chart: needs matplotlib: pip install 'sailhitch[scale]'") from None
    lines: dict[str, dict[str, list[tuple[int, float]]]] = {
        "bytes a second sent, a hollow gateway": {},
        "part of a core, the daemon that uses most": {},
        "seconds until gossip is at rest": {},
        "seconds until in force everywhere": {},
    }
    bytes_sent, core, rest, force = lines.values()
    for result in results:
        for path, part in windows(result["figures"]):
            label = (
                f"{result['experiment']} {path.partition('[')[0]} {(result['commit'] or '')[:7]}"
            )
            members, window = result["members"], part["window"]
            bytes_sent.setdefault(label, []).append(
                (members, window["hollow"]["sent"]["all"]["bytes"])
            )
            shares = [one["core_share"] for one in window["daemons"].values()]
            if shares:
                core.setdefault(label, []).append((members, max(shares)))
            if part.get("at_rest_after") is not None:
                rest.setdefault(label, []).append((members, part["at_rest_after"]))
            if part.get("in_force", {}).get("worst") is not None:
                force.setdefault(label, []).append((members, part["in_force"]["worst"]))
    figure, axes = plots.subplots(2, 2, figsize=(14, 9))
    for axis, (title, series) in zip(axes.flat, lines.items(), strict=True):
        for label, points in sorted(series.items()):
            points.sort()
            axis.plot([x for x, _ in points], [y for _, y in points], marker="o", label=label)
        axis.set_title(title)
        axis.set_xlabel("members")
        axis.set_ylim(bottom=0)
        axis.legend(fontsize=6)
    figure.tight_layout()
    figure.savefig(file)
    plots.close(figure)
