"""The experiments by name: each gives figures of one event, or of rest."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final

from . import changes, figures
from .figures import spread
from .fleet import Fleet
from .processes import RealDaemon, RefusedError, RigError

# Gossip that a member sends in a second when nothing is new: two datagrams, and what it answers
# to those that are behind; a busy one sends twenty.
REST_GOSSIP: Final = 4.0
REST_FOR: Final = 2.0  # s without more than that before a tier counts as at rest
SAMPLE: Final = 0.5  # s
BURST: Final = 20  # changes
RACK: Final = 20  # members
TENTH: Final = 10
DOWN: Final = 1.0  # s that a restarted process is away
ZONE: Final = 3
ZONE_AWAY: Final = 15.0  # s
PARTED: Final = (1, 2)  # regions


@dataclass(frozen=True)
class Options:
    """What an experiment is told."""

    seconds: float = 10.0  # of rest that are measured; of an hour in which regions are parted
    patience: float = 60.0  # s for an event's end
    loss: float = 0.0
    dead: float = 0.0  # part of the members that is killed beforehand
    repeats: int = 3


async def settle(fleet: Fleet, options: Options) -> None:
    """Bring about what an experiment begins with: loss, members that are dead, and rest."""
    await at_rest(fleet, options.patience)
    if options.dead:
        among = fleet.others()
        count = round(options.dead * fleet.size.members)
        await fleet.kill(random.Random(1).sample(among, min(count, len(among))))
        await asyncio.sleep(fleet.size.lease + 1.0)
        await at_rest(fleet, options.patience)
    await fleet.set_faults(options.loss)


async def at_rest(fleet: Fleet, within: float) -> float | None:
    """Wait until gossip is at rest: for how long it was not; None: not `within` s."""
    begun = quiet_since = figures.now()
    at, sent = begun, await fleet.gossip_sent()
    while figures.now() - begun < within:
        await asyncio.sleep(SAMPLE)
        now, more = figures.now(), await fleet.gossip_sent()
        rate = (more - sent) / (now - at) / max(len(fleet.running()), 1)
        at, sent = now, more
        if rate > REST_GOSSIP:
            quiet_since = now
        elif now - quiet_since >= REST_FOR:
            return quiet_since - begun
    return None


def rounded(value: float | None) -> float | None:
    """As figures are told."""
    return None if value is None else round(value, 3)


async def event(
    fleet: Fleet, options: Options, what: Callable[[], Awaitable[dict[str, Any]]]
) -> dict[str, Any]:
    """Figures from an event's beginning until gossip is at rest again."""
    before = await fleet.look(last=False)
    told = await what()
    rest = await at_rest(fleet, options.patience)
    after = await fleet.look(last=True)
    whole = None if rest is None else after.at - before.at - REST_FOR
    return {**told, "at_rest_after": rounded(whole), "window": fleet.window(before, after)}


async def in_force(fleet: Fleet, serial: int, since: float, within: float) -> dict[str, Any]:
    """Return how long it took from a command until its serial was in force everywhere."""
    times, behind = await fleet.everywhere(serial, within)
    return {
        "serial": serial,
        "in_force": spread([at - since for at in times]),
        "behind": len(behind),
    }


# --- The experiments


async def idle(fleet: Fleet, options: Options) -> dict[str, Any]:
    """Nothing happens."""
    before = await fleet.look(last=False)
    await asyncio.sleep(options.seconds)
    after = await fleet.look(last=True)
    return {"window": fleet.window(before, after)}


async def change(fleet: Fleet, options: Options) -> dict[str, Any]:
    """One weight, and one ban, each so often as is asked for, and rest after each."""
    found: dict[str, Any] = {}
    for kind in (changes.WEIGHT, changes.BAN):
        plays = [await one_change(fleet, options, kind) for _ in range(options.repeats)]
        worst = [play["in_force"]["worst"] for play in plays if play["behind"] == 0]
        found[kind] = {"everywhere": spread(worst), "plays": plays}
    return found


async def one_change(fleet: Fleet, options: Options, kind: str) -> dict[str, Any]:
    """One change of a kind."""
    prepared = await changes.prepare(fleet, kind)

    async def play() -> dict[str, Any]:
        begun = figures.now()
        try:
            serial = await changes.carry_out(fleet, prepared[0])
        except RefusedError as error:
            # A figure too: the run goes on, and the change is in force or not by its serial.
            serial, said = fleet.serial + 1, str(error)
            fleet.state, fleet.serial = prepared[0].after, serial
        else:
            said = ""
        told = {"answered": rounded(figures.now() - begun), "refused": said}
        return {**told, **await in_force(fleet, serial, begun, options.patience)}

    return await event(fleet, options, play)


async def burst(fleet: Fleet, options: Options) -> dict[str, Any]:
    """Twenty changes, one after the other as fast as they are answered."""
    prepared = await changes.prepare(fleet, changes.WEIGHT, BURST)

    async def play() -> dict[str, Any]:
        begun = figures.now()
        for one in prepared:
            serial = await changes.carry_out(fleet, one)
        told = {"changes": len(prepared), "answered": rounded(figures.now() - begun)}
        return {**told, **await in_force(fleet, serial, begun, options.patience)}

    return await event(fleet, options, play)


async def restart(fleet: Fleet, options: Options) -> dict[str, Any]:
    """Return a tenth leaves as a drain does, at once, and is there again a second later."""
    names = [one for one in fleet.others() if int(one[1:]) % TENTH == TENTH - 1]

    async def play() -> dict[str, Any]:
        begun = figures.now()
        await fleet.all_hosts("restart", who=names, down=DOWN)
        return {"restarted": len(names), **await back_in(fleet, begun, options)}

    return await event(fleet, options, play)


async def rack(fleet: Fleet, options: Options) -> dict[str, Any]:
    """Twenty members are lost at once, and a change that contradicts is asked for right after."""
    names = fleet.others()[: min(RACK, len(fleet.others()) // 2)]
    prepared = await changes.prepare(fleet, changes.BAN)

    async def play() -> dict[str, Any]:
        await fleet.kill(names)
        begun = figures.now()
        serial = await changes.carry_out(fleet, prepared[0])
        return {"lost": len(names), **await in_force(fleet, serial, begun, options.patience)}

    return await event(fleet, options, play)


async def zone(fleet: Fleet, options: Options) -> dict[str, Any]:
    """A zone is lost, with the voter that is in it, and returns 15 s later."""
    names = [one for one in fleet.running() if fleet.zone_of(one) == ZONE]

    async def lost() -> dict[str, Any]:
        await fleet.kill(names)
        await asyncio.sleep(ZONE_AWAY)
        return {"lost": len(names)}

    async def returned() -> dict[str, Any]:
        begun = figures.now()
        await fleet.revive(names)
        return await back_in(fleet, begun, options)

    gone = await event(fleet, options, lost)
    return {"lost": gone, "returned": await event(fleet, options, returned)}


async def regions(fleet: Fleet, options: Options) -> dict[str, Any]:
    """Two regions don't reach each other for `seconds` (for an hour that is), and do again."""
    prepared = await changes.prepare(fleet, changes.WEIGHT)

    async def parted() -> dict[str, Any]:
        """One weight is changed meanwhile: the third region hears of it and passes it on."""
        await fleet.set_faults(options.loss, PARTED)
        begun = figures.now()
        serial = await changes.carry_out(fleet, prepared[0])
        told = await in_force(fleet, serial, begun, options.seconds)
        await asyncio.sleep(max(0.0, begun + options.seconds - figures.now()))
        return {"parted_for": options.seconds, "out": len(await fleet.who_is_out()), **told}

    async def joined() -> dict[str, Any]:
        begun = figures.now()
        await fleet.set_faults(options.loss)
        return await back_in(fleet, begun, options)

    before = await fleet.look(last=False)
    told = await parted()
    after = await fleet.look(last=True)
    first = {**told, "window": fleet.window(before, after)}
    return {"parted": first, "joined": await event(fleet, options, joined)}


async def start(fleet: Fleet, options: Options) -> dict[str, Any]:
    """Return all are killed at once, and all started at once, on the disks that they have."""

    async def play() -> dict[str, Any]:
        await asyncio.gather(*(one.end() for one in fleet.daemons.values()))
        await fleet.kill(fleet.running())
        begun = figures.now()
        await fleet.start_all(options.patience)
        return {"all_in": rounded(figures.now() - begun)}

    return await event(fleet, options, play)


async def newcomer(fleet: Fleet, options: Options) -> dict[str, Any]:
    """A member comes back with nothing: a hollow gateway, and a daemon where there is one."""
    found: dict[str, Any] = {}
    name = fleet.others()[-1]
    await fleet.kill([name])

    async def hollow() -> dict[str, Any]:
        begun = figures.now()
        await fleet.revive([name], wiped=True)
        return await back_in(fleet, begun, options)

    found["hollow"] = await event(fleet, options, hollow)
    # Of the daemons one that is no voter: a voter with no disk is another matter.
    free = [one for one in fleet.real if one not in fleet.voters]
    if free:
        daemon = fleet.daemons[free[-1]]
        await fleet.reset_daemon(free[-1])
        found["daemon"] = await event(fleet, options, lambda: daemon_in(fleet, daemon, options))
        found["daemon"]["after"] = newcomer_daemon(daemon)
    return found


async def daemon_in(fleet: Fleet, daemon: RealDaemon, options: Options) -> dict[str, Any]:
    """Start a daemon, and wait until it may act."""
    begun = figures.now()
    await daemon.start()
    told: dict[str, Any] = {"all_in": None}
    with contextlib.suppress(RigError):
        await fleet.until(f"{daemon.name} is in", daemon.is_in, options.patience)
        told["all_in"] = rounded(figures.now() - begun)
    return told


def newcomer_daemon(daemon: RealDaemon) -> dict[str, Any]:
    """Return what a daemon has cost since its start."""
    return {
        "cpu_s": round(figures.processor_seconds(daemon.pid), 2),
        "rss_mb": round(figures.memory_kb(daemon.pid) / 1024, 1),
        "most_rss_mb": round(figures.memory_kb(daemon.pid, "VmHWM") / 1024, 1),
    }


async def back_in(fleet: Fleet, begun: float, options: Options) -> dict[str, Any]:
    """How long until all that run may act; None and who may not, where they don't in time."""
    with contextlib.suppress(RigError):
        await fleet.until("all are in", fleet.all_in, options.patience)
        return {"all_in": rounded(figures.now() - begun), "out": 0}
    return {"all_in": None, "out": len(await fleet.who_is_out())}


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


def described() -> Iterable[tuple[str, str]]:
    """Names of experiments, with what each does."""
    return ((name, (one.__doc__ or "").strip()) for name, one in EXPERIMENTS.items())
