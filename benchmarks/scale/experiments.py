"""The experiments by name: each returns the figures of one event, or of an idle tier."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final

from . import changes, figures
from .figures import summary
from .fleet import Fleet
from .processes import RealDaemon, RefusedError, RigError

# Gossip datagrams a second of a member without news: two, and replies to members that are behind.
# A busy member sends twenty.
MAX_IDLE_GOSSIP_RATE: Final = 4.0
IDLE_PERIOD: Final = 2.0  # s at or below that rate until a tier counts as idle
SAMPLE_INTERVAL: Final = 0.5  # s
BURST_CHANGES: Final = 20
RACK_MEMBERS: Final = 20
RESTART_EVERY: Final = 10  # one member in ten restarts
RESTART_DELAY: Final = 1.0  # s that a restarted member is down
LOST_ZONE: Final = 3
ZONE_OUTAGE: Final = 15.0  # s
PARTITIONED_REGIONS: Final = (1, 2)


@dataclass(frozen=True)
class Options:
    """Options of an experiment."""

    seconds: float = (
        10.0  # of the idle time measured, or of a partition, which stands in for an hour
    )
    patience: float = 60.0  # s to wait for an event's end
    loss: float = 0.0
    dead: float = 0.0  # share of members killed beforehand
    repeats: int = 3


async def settle(fleet: Fleet, options: Options) -> None:
    """Set up the start of an experiment: an idle tier, killed members, and loss."""
    await wait_idle(fleet, options.patience)
    if options.dead:
        candidates = fleet.running_non_voters()
        count = round(options.dead * fleet.size.members)
        await fleet.kill(random.Random(1).sample(candidates, min(count, len(candidates))))
        await asyncio.sleep(fleet.size.lease + 1.0)
        await wait_idle(fleet, options.patience)
    await fleet.set_faults(options.loss)


async def wait_idle(fleet: Fleet, within: float) -> float | None:
    """Return the seconds until gossip went idle, or None if it has not within `within` s."""
    started_at = quiet_since = figures.now()
    at, sent = started_at, await fleet.gossip_sent()
    while figures.now() - started_at < within:
        await asyncio.sleep(SAMPLE_INTERVAL)
        now, more = figures.now(), await fleet.gossip_sent()
        rate = (more - sent) / (now - at) / max(len(fleet.running()), 1)
        at, sent = now, more
        if rate > MAX_IDLE_GOSSIP_RATE:
            quiet_since = now
        elif now - quiet_since >= IDLE_PERIOD:
            return quiet_since - started_at
    return None


def round_figure(value: float | None) -> float | None:
    """Round a figure to milliseconds."""
    return None if value is None else round(value, 3)


async def measure_event(
    fleet: Fleet, options: Options, what: Callable[[], Awaitable[dict[str, Any]]]
) -> dict[str, Any]:
    """Run an event; return its figures from its start until gossip is idle again."""
    before = await fleet.take_snapshot(last=False)
    result = await what()
    rest = await wait_idle(fleet, options.patience)
    after = await fleet.take_snapshot(last=True)
    until_idle = None if rest is None else after.at - before.at - IDLE_PERIOD
    return {
        **result,
        "at_rest_after": round_figure(until_idle),
        "window": fleet.window(before, after),
    }


async def in_force(fleet: Fleet, serial: int, since: float, within: float) -> dict[str, Any]:
    """Return how long after `since` a serial came into force at the members."""
    times, behind = await fleet.wait_in_force(serial, within)
    return {
        "serial": serial,
        "in_force": summary([at - since for at in times]),
        "behind": len(behind),
    }


# --- The experiments


async def idle(fleet: Fleet, options: Options) -> dict[str, Any]:
    """Measure an idle tier."""
    before = await fleet.take_snapshot(last=False)
    await asyncio.sleep(options.seconds)
    after = await fleet.take_snapshot(last=True)
    return {"window": fleet.window(before, after)}


async def change(fleet: Fleet, options: Options) -> dict[str, Any]:
    """Change a weight, then a ban, `--repeats` times each; wait until idle after each."""
    found: dict[str, Any] = {}
    for kind in (changes.WEIGHT, changes.BAN):
        plays = [await one_change(fleet, options, kind) for _ in range(options.repeats)]
        worst = [play["in_force"]["worst"] for play in plays if play["behind"] == 0]
        found[kind] = {"everywhere": summary(worst), "plays": plays}
    return found


async def one_change(fleet: Fleet, options: Options, kind: str) -> dict[str, Any]:
    """Make one change of a kind."""
    prepared = await changes.prepare(fleet, kind)

    async def play() -> dict[str, Any]:
        started_at = figures.now()
        try:
            serial = await changes.carry_out(fleet, prepared[0])
        except RefusedError as error:
            # A refusal is a result: the run goes on, and shows whether the serial is in force.
            serial, refusal = fleet.serial + 1, str(error)
            fleet.state, fleet.serial = prepared[0].after, serial
        else:
            refusal = ""
        result = {"answered": round_figure(figures.now() - started_at), "refused": refusal}
        return {**result, **await in_force(fleet, serial, started_at, options.patience)}

    return await measure_event(fleet, options, play)


async def burst(fleet: Fleet, options: Options) -> dict[str, Any]:
    """Make twenty changes, each as soon as the one before is answered."""
    prepared = await changes.prepare(fleet, changes.WEIGHT, BURST_CHANGES)

    async def play() -> dict[str, Any]:
        started_at = figures.now()
        for one in prepared:
            serial = await changes.carry_out(fleet, one)
        result = {"changes": len(prepared), "answered": round_figure(figures.now() - started_at)}
        return {**result, **await in_force(fleet, serial, started_at, options.patience)}

    return await measure_event(fleet, options, play)


async def restart(fleet: Fleet, options: Options) -> dict[str, Any]:
    """A tenth of the members drain at the same time, and restart a second later."""
    names = [
        one
        for one in fleet.running_non_voters()
        if int(one[1:]) % RESTART_EVERY == RESTART_EVERY - 1
    ]

    async def play() -> dict[str, Any]:
        started_at = figures.now()
        await fleet.command_all_hosts("restart", who=names, down=RESTART_DELAY)
        return {"restarted": len(names), **await wait_all_active(fleet, started_at, options)}

    return await measure_event(fleet, options, play)


async def rack(fleet: Fleet, options: Options) -> dict[str, Any]:
    """Twenty members fail at once, and a contradicting change is requested right after."""
    names = fleet.running_non_voters()[: min(RACK_MEMBERS, len(fleet.running_non_voters()) // 2)]
    prepared = await changes.prepare(fleet, changes.BAN)

    async def play() -> dict[str, Any]:
        await fleet.kill(names)
        started_at = figures.now()
        serial = await changes.carry_out(fleet, prepared[0])
        return {"lost": len(names), **await in_force(fleet, serial, started_at, options.patience)}

    return await measure_event(fleet, options, play)


async def zone(fleet: Fleet, options: Options) -> dict[str, Any]:
    """A zone fails, with the voter in it, and returns 15 s later."""
    names = [one for one in fleet.running() if fleet.zone_of(one) == LOST_ZONE]

    async def lost() -> dict[str, Any]:
        await fleet.kill(names)
        await asyncio.sleep(ZONE_OUTAGE)
        return {"lost": len(names)}

    async def returned() -> dict[str, Any]:
        started_at = figures.now()
        await fleet.revive(names)
        return await wait_all_active(fleet, started_at, options)

    gone = await measure_event(fleet, options, lost)
    return {"lost": gone, "returned": await measure_event(fleet, options, returned)}


async def regions(fleet: Fleet, options: Options) -> dict[str, Any]:
    """Two regions are partitioned for `--seconds` (in place of an hour), then joined again."""
    prepared = await changes.prepare(fleet, changes.WEIGHT)

    async def parted() -> dict[str, Any]:
        """One weight is changed meanwhile; it spreads through the third region."""
        await fleet.set_faults(options.loss, PARTITIONED_REGIONS)
        started_at = figures.now()
        serial = await changes.carry_out(fleet, prepared[0])
        result = await in_force(fleet, serial, started_at, options.seconds)
        await asyncio.sleep(max(0.0, started_at + options.seconds - figures.now()))
        return {"parted_for": options.seconds, "out": len(await fleet.inactive_members()), **result}

    async def joined() -> dict[str, Any]:
        started_at = figures.now()
        await fleet.set_faults(options.loss)
        return await wait_all_active(fleet, started_at, options)

    before = await fleet.take_snapshot(last=False)
    result = await parted()
    after = await fleet.take_snapshot(last=True)
    first = {**result, "window": fleet.window(before, after)}
    return {"parted": first, "joined": await measure_event(fleet, options, joined)}


async def start(fleet: Fleet, options: Options) -> dict[str, Any]:
    """All members are killed at once, and started at once with their disks intact."""

    async def play() -> dict[str, Any]:
        await asyncio.gather(*(one.end() for one in fleet.daemons.values()))
        await fleet.kill(fleet.running())
        started_at = figures.now()
        await fleet.start_all(options.patience)
        return {"all_in": round_figure(figures.now() - started_at)}

    return await measure_event(fleet, options, play)


async def newcomer(fleet: Fleet, options: Options) -> dict[str, Any]:
    """A member returns with an empty disk: a hollow gateway, then a daemon if there is one."""
    found: dict[str, Any] = {}
    name = fleet.running_non_voters()[-1]
    await fleet.kill([name])

    async def hollow() -> dict[str, Any]:
        started_at = figures.now()
        await fleet.revive([name], wiped=True)
        return await wait_all_active(fleet, started_at, options)

    found["hollow"] = await measure_event(fleet, options, hollow)
    # A daemon that is not a voter: a voter that has lost its disk is a different case.
    free = [one for one in fleet.real if one not in fleet.voters]
    if free:
        daemon = fleet.daemons[free[-1]]
        await fleet.reset_daemon(free[-1])
        found["daemon"] = await measure_event(
            fleet, options, lambda: start_daemon(fleet, daemon, options)
        )
        found["daemon"]["after"] = daemon_usage(daemon)
    return found


async def start_daemon(fleet: Fleet, daemon: RealDaemon, options: Options) -> dict[str, Any]:
    """Start a daemon, and wait until it is active."""
    started_at = figures.now()
    await daemon.start()
    result: dict[str, Any] = {"all_in": None}
    with contextlib.suppress(RigError):
        await fleet.wait_until(f"{daemon.name} is active", daemon.is_active, options.patience)
        result["all_in"] = round_figure(figures.now() - started_at)
    return result


def daemon_usage(daemon: RealDaemon) -> dict[str, Any]:
    """Return the resources that a daemon has used since its start."""
    return {
        "cpu_s": round(figures.processor_seconds(daemon.pid), 2),
        "rss_mb": round(figures.memory_kb(daemon.pid) / 1024, 1),
        "most_rss_mb": round(figures.memory_kb(daemon.pid, "VmHWM") / 1024, 1),
    }


async def wait_all_active(fleet: Fleet, started_at: float, options: Options) -> dict[str, Any]:
    """Wait until all running members are active; return how long, or None and how many are not."""
    with contextlib.suppress(RigError):
        await fleet.wait_until("all members are active", fleet.all_active, options.patience)
        return {"all_in": round_figure(figures.now() - started_at), "out": 0}
    return {"all_in": None, "out": len(await fleet.inactive_members())}


Experiment = Callable[[Fleet, Options], Awaitable[dict[str, Any]]]
EXPERIMENTS: Final[dict[str, Experiment]] = {
    "idle": idle,
    "change": change,
    "burst": burst,
    "restart": restart,
    "rack": rack,
    "zone": zone,
    "regions": regions,
    "start": start,
    "newcomer": newcomer,
}


def experiment_descriptions() -> Iterable[tuple[str, str]]:
    """Return the names of the experiments, with their descriptions."""
    return ((name, (one.__doc__ or "").strip()) for name, one in EXPERIMENTS.items())
