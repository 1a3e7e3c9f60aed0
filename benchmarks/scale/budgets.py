"""The operators' budgets against what measured slopes come to at full size.

    python -m benchmarks.scale.budgets RESULTS.jsonl

Reads what `benchmarks.scale.slopes --json` wrote, and prints a table: each budget, what it comes
to, how that is worked out, and whether it holds. Nothing is measured here.
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

DAY: Final = 86_400.0  # s
CHANGES: Final = 1_500  # of configuration a day
REPLACEMENTS: Final = 4_300  # restarts and replacements a day, two register changes each
REGISTER_CHANGES: Final = CHANGES + 2 * REPLACEMENTS  # a day
BEATS: Final = 10  # ticks a second of a member
POOLS: Final = 280

CORE_SHARE: Final = 0.018
MEMORY: Final = 32e6
BYTES_A_SECOND: Final = 22e3
IN_FORCE: Final = 7.0  # s
STALLED_SHARE: Final = 0.01  # of the time: 99 requests in 100 are to get no more than 4 ms
ONE_CORE: Final = 1.0  # of a control machine, that its answers may take

Figures = Mapping[str, float]  # at full size, by `measurement.figure`


class ResultsError(Exception):
    """Results that lack a figure, or are none; the text says which."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """A budget, and what it comes to."""

    name: str
    limit: float
    value: float
    unit: str
    how: str

    @property
    def holds(self) -> bool:
        """Whether the budget is kept."""
        return self.value <= self.limit


def load_figures(path: Path) -> dict[str, float]:
    """Figures at full size from a file of results. Raises ResultsError."""
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
    """Each budget with what it comes to. Raises ResultsError."""
    try:
        return [*_gateway(figures), *_requests(figures), *_control(figures)]
    except KeyError as error:
        raise ResultsError(f"no figure {error}: measure it first") from None


def change_processor_seconds(figures: Figures) -> float:
    """What one weight costs a gateway that hears of it: fetch, read, compare, switch, keep."""
    parts = (
        "fetch.fetch_s",
        "fetch.read_s",
        "compare.equal_s",
        "fetch.tier_disk_s",
        "switch.switch_s",
    )
    return sum(figures[part] for part in parts)


def busy_share(figures: Figures) -> float:
    """The part of the day in which gossip goes at its full rate, as changes follow each other."""
    return min(1.0, REGISTER_CHANGES * figures["play.until_rest_s"] / DAY)


def _datagram_us(figures: Figures) -> float:
    return figures["rounds.seal_us"] + figures["rounds.open_us"] + figures["rounds.heard_us"]


def _gossip_core(figures: Figures) -> float:
    """Return the part of a core that gossip takes over a day, at rest and busy."""
    busy = busy_share(figures)
    beats = BEATS * ((1 - busy) * figures["rounds.tick_us"] + busy * figures["rounds.busy_tick_us"])
    datagrams = (1 - busy) * figures["play_lease.rest_datagrams_s"] + busy * (
        figures["play.worst_bytes_s"] / figures["rounds.news_bytes"]
    )
    return (beats + datagrams * _datagram_us(figures)) / 1e6


def _gateway(figures: Figures) -> list[Verdict]:
    change = change_processor_seconds(figures)
    gossip, busy = _gossip_core(figures), busy_share(figures)
    rest, most = 2 * figures["play_lease.rest_bytes_s"], 2 * figures["play.worst_bytes_s"]
    gossip_bytes = (1 - busy) * rest + busy * most
    fetch = 2 * figures["fetch.fetch_bytes"]
    roster = 2 * figures["table.roster_packed_bytes"]
    fetched = (CHANGES * fetch + 2 * REPLACEMENTS * roster) / DAY
    memory = figures["switch.after_memory_bytes"] + figures["table.table_bytes"]
    modules = POOLS * figures["module_tenants.pool_memory_bytes"]
    return [
        Verdict(
            "gateway: processor for control, mean of a day",
            CORE_SHARE,
            CHANGES * change / DAY + gossip,
            "of a core",
            f"{CHANGES} changes of {change:.2f} s, and gossip {gossip:.2%}, busy {busy:.0%} "
            "of the day",
        ),
        Verdict(
            "gateway: processor, worst second",
            CORE_SHARE,
            min(1.0, change),
            "of a core",
            f"a change takes {change:.2f} s on end",
        ),
        Verdict(
            "gateway: bytes sent and received, mean of a day",
            BYTES_A_SECOND,
            gossip_bytes + fetched,
            "B/s",
            f"gossip {readable(gossip_bytes, 'B/s')}, busy {busy:.0%} of the day; fetches "
            f"{readable(fetched, 'B/s')}",
        ),
        Verdict(
            "gateway: bytes sent and received, worst second",
            BYTES_A_SECOND,
            most + fetch,
            "B/s",
            "gossip at its full rate, and a whole version fetched and passed on in that second",
        ),
        Verdict(
            "gateway: memory",
            MEMORY,
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
            STALLED_SHARE,
            CHANGES * stalled / DAY,
            "of the time",
            f"a change holds the loop up for {stalled:.1f} s of wall time, {longest:.1f} s on end; "
            f"by processor time the loop alone works {on_loop:.1f} s",
        ),
        Verdict(
            "one weight in force everywhere",
            IN_FORCE,
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
    resting = BEATS * figures["rounds.voter_tick_us"] / 1e6
    pending = BEATS * figures["pending.voter_pending_tick_ms"] / 1e3
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
            f"{BEATS} a second, each looks at all {MEMBERS} leases",
        ),
        Verdict(
            "voter: beats while a change waits for members",
            ONE_CORE,
            pending,
            "of a core",
            f"{BEATS} a second, each looks for whom it waits",
        ),
    ]


def table(found: Sequence[Verdict]) -> str:
    """Return the table, as the page has it."""
    lines = ["| budget | limit | comes to | how | verdict |", "| --- | --- | --- | --- | --- |"]
    for one in found:
        limit, verdict = readable(one.limit, one.unit), "holds"
        if one.limit == float("inf"):
            limit = verdict = "none was given"
        elif not one.holds:
            verdict = "**doesn't hold**"
        value = readable(one.value, one.unit)
        lines.append(f"| {one.name} | {limit} | {value} | {one.how} | {verdict} |")
    return "\n".join(lines)


def main(arguments: Sequence[str] | None = None) -> int:
    """Print the table; 1 where the results lack something."""
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
