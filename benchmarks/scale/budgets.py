"""Checks the operators' budgets against measured slopes, extrapolated to full size.

    python -m benchmarks.scale.budgets RESULTS.jsonl

Reads the output of `benchmarks.scale.slopes --json`, and prints a table: each budget, the value it
comes to, how that is calculated, and whether the budget holds. Nothing is measured here.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from sailhitch.daemon.schema import MAX_MEMBERS
from sailhitch.daemon.state_applier import MAX_OPEN
from sailhitch.daemon.store import MAX_STATES
from sailhitch.tier.member import RENEWALS_PER_LEASE

from .measurement import MEMBERS
from .slopes import readable
from .tier_slopes import LEASE

SECONDS_PER_DAY: Final = 86_400.0  # s
CHANGES_PER_DAY: Final = 1_500  # of configuration a day
REPLACEMENTS_PER_DAY: Final = (
    4_300  # restarts and replacements of members a day; two register changes each
)
REGISTER_CHANGES_PER_DAY: Final = CHANGES_PER_DAY + 2 * REPLACEMENTS_PER_DAY  # a day
TICKS_PER_SECOND: Final = 10  # ticks a second of a member
POOLS: Final = 280

MAX_CORE_SHARE: Final = 0.018
MAX_MEMORY: Final = 32e6
MAX_BYTES_PER_SECOND: Final = 22e3
MAX_IN_FORCE: Final = 7.0  # s
MAX_STALLED_SHARE: Final = 0.01  # of the time: at most 4 ms may be added to 99 requests in 100
ONE_CORE: Final = 1.0  # of a control machine, for a voter's work

Figures = Mapping[str, float]  # at full size, by `measurement.figure`


class ResultsError(Exception):
    """Results that are invalid or lack a figure; the message says which."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """A budget, the value measured for it, and how that was calculated."""

    name: str
    limit: float
    value: float
    unit: str
    calculation: str

    @property
    def holds(self) -> bool:
        """Whether the value is within the budget."""
        return self.value <= self.limit


def load_figures(path: Path) -> dict[str, float]:
    """Load the figures at full size from a file of results. Raises ResultsError."""
    figures: dict[str, float] = {}
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
    except OSError as error:
        raise ResultsError(f"{path}: {error.strerror}") from None
    for number, line in enumerate(lines, 1):
        try:
            result = json.loads(line)
            for key, figure in result["figures"].items():
                figures[f"{result['name']}.{key}"] = float(figure["full"])
        except (KeyError, TypeError, ValueError):
            raise ResultsError(f"{path}: line {number}: not a result of slopes") from None
    return figures


def verdicts(figures: Figures) -> list[Verdict]:
    """Return each budget with its value. Raises ResultsError."""
    try:
        return [*_gateway(figures), *_requests(figures), *_control(figures)]
    except KeyError as error:
        raise ResultsError(f"no figure {error}: measure it first") from None


def change_processor_seconds(figures: Figures) -> float:
    """Return the cost of one changed weight at a gateway: fetch, read, compare, store, switch."""
    parts = (
        "fetch.fetch_s",
        "fetch.read_s",
        "compare.equal_s",
        "fetch.tier_disk_s",
        "switch.switch_s",
    )
    return sum(figures[part] for part in parts)


def busy_share(figures: Figures) -> float:
    """Return the share of the day in which gossip runs at its full rate because of changes."""
    return min(1.0, REGISTER_CHANGES_PER_DAY * figures["play.until_rest_s"] / SECONDS_PER_DAY)


def _datagram_us(figures: Figures) -> float:
    return figures["rounds.seal_us"] + figures["rounds.open_us"] + figures["rounds.heard_us"]


def _gossip_core(figures: Figures) -> float:
    """Return the share of a core that gossip takes, averaged over a day of idle and busy time."""
    busy = busy_share(figures)
    tick_us = TICKS_PER_SECOND * (
        (1 - busy) * figures["rounds.tick_us"] + busy * figures["rounds.busy_tick_us"]
    )
    datagrams = (1 - busy) * figures["play_lease.rest_datagrams_s"] + busy * (
        figures["play.worst_bytes_s"] / figures["rounds.news_bytes"]
    )
    return (tick_us + datagrams * _datagram_us(figures)) / 1e6


def _gateway(figures: Figures) -> list[Verdict]:
    change = change_processor_seconds(figures)
    gossip, busy = _gossip_core(figures), busy_share(figures)
    idle_bytes, busy_bytes = (
        2 * figures["play_lease.rest_bytes_s"],
        2 * figures["play.worst_bytes_s"],
    )
    gossip_bytes = (1 - busy) * idle_bytes + busy * busy_bytes
    fetch = 2 * figures["fetch.fetch_bytes"]
    roster = 2 * figures["table.roster_packed_bytes"]
    fetched = (CHANGES_PER_DAY * fetch + 2 * REPLACEMENTS_PER_DAY * roster) / SECONDS_PER_DAY
    memory = figures["switch.after_memory_bytes"] + figures["table.table_bytes"]
    modules = POOLS * figures["module_tenants.pool_memory_bytes"]
    return [
        Verdict(
            "gateway: processor for control, mean of a day",
            MAX_CORE_SHARE,
            CHANGES_PER_DAY * change / SECONDS_PER_DAY + gossip,
            "of a core",
            f"{CHANGES_PER_DAY} changes of {change:.2f} s, and gossip {gossip:.2%}, "
            f"busy {busy:.0%} of the day",
        ),
        Verdict(
            "gateway: processor, worst second",
            MAX_CORE_SHARE,
            min(1.0, change),
            "of a core",
            f"a change takes {change:.2f} s on end",
        ),
        Verdict(
            "gateway: bytes sent and received, mean of a day",
            MAX_BYTES_PER_SECOND,
            gossip_bytes + fetched,
            "B/s",
            f"gossip {readable(gossip_bytes, 'B/s')}, busy {busy:.0%} of the day; fetches "
            f"{readable(fetched, 'B/s')}",
        ),
        Verdict(
            "gateway: bytes sent and received, worst second",
            MAX_BYTES_PER_SECOND,
            busy_bytes + fetch,
            "B/s",
            "gossip at its full rate, and a whole version fetched and passed on in that second",
        ),
        Verdict(
            "gateway: memory",
            MAX_MEMORY,
            memory,
            "B",
            f"two states and the switch's tables; of that {readable(modules, 'B')} in tenants of "
            f"{POOLS} modules",
        ),
        Verdict(
            "gateway: disk of kept states",
            float("inf"),
            MAX_STATES * figures["keep.store_bytes"],
            "B",
            f"{MAX_STATES} kept states, each by what one more takes",
        ),
    ]


def _requests(figures: Figures) -> list[Verdict]:
    stalled, longest = figures["stall.stalled_s"], figures["stall.longest_stall_s"]
    on_loop = figures["switch.loop_s"]
    in_force = figures["play.in_force_s"] + change_processor_seconds(figures)
    return [
        Verdict(
            "requests: part of the time that adds over 4 ms",
            MAX_STALLED_SHARE,
            CHANGES_PER_DAY * stalled / SECONDS_PER_DAY,
            "of the time",
            f"a change holds the loop up for {stalled:.1f} s of wall time, {longest:.1f} s on end; "
            f"by processor time the loop alone works {on_loop:.1f} s",
        ),
        Verdict(
            "one weight in force everywhere",
            MAX_IN_FORCE,
            in_force,
            "s",
            "the tier's rounds, then fetch, read and switch, none beside another",
        ),
        Verdict("members of a tier", MAX_MEMBERS, MEMBERS, "gateways", "the schema's bound"),
        Verdict(
            "hosts that a gateway is connected to",
            MAX_OPEN,
            figures["connections.gateway_hosts"],
            "hosts",
            "the default of `gateway.sockets`, 1024, is less",
        ),
    ]


def _control(figures: Figures) -> list[Verdict]:
    asked = MEMBERS * RENEWALS_PER_LEASE * 1e6 / LEASE
    answer = figures["rounds.open_us"] + figures["rounds.poll_us"] + figures["rounds.seal_us"]
    resting = TICKS_PER_SECOND * figures["rounds.voter_tick_us"] / 1e6
    pending = TICKS_PER_SECOND * figures["pending.voter_pending_tick_ms"] / 1e3
    return [
        Verdict(
            "voter: lease questions",
            ONE_CORE,
            asked * answer / 1e6,
            "of a core",
            f"{asked:.0f} a second, each {answer:.0f} us",
        ),
        Verdict(
            "voter: beats at rest",
            ONE_CORE,
            resting,
            "of a core",
            f"{TICKS_PER_SECOND} a second, each looks at all {MEMBERS} leases",
        ),
        Verdict(
            "voter: beats while a change waits for members",
            ONE_CORE,
            pending,
            "of a core",
            f"{TICKS_PER_SECOND} a second, each looks for whom it waits",
        ),
    ]


def table(found: Sequence[Verdict]) -> str:
    """Return the Markdown table of the capacity page."""
    lines = ["| budget | limit | comes to | how | verdict |", "| --- | --- | --- | --- | --- |"]
    for one in found:
        limit, verdict = readable(one.limit, one.unit), "holds"
        if one.limit == float("inf"):
            limit = verdict = "none was given"
        elif not one.holds:
            verdict = "**doesn't hold**"
        value = readable(one.value, one.unit)
        lines.append(f"| {one.name} | {limit} | {value} | {one.calculation} | {verdict} |")
    return "\n".join(lines)


def main(arguments: Sequence[str] | None = None) -> int:
    """Print the table; return 1 for results that are invalid or incomplete."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale.budgets", description=__doc__)
    parser.add_argument("results", type=Path, metavar="RESULTS.jsonl")
    options = parser.parse_args(arguments)
    try:
        print(table(verdicts(load_figures(options.results))))
    except ResultsError as error:
        print(f"budgets: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
