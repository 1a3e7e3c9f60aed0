"""A tier on this machine: processes of hollow gateways, and real daemons beside them."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import json
import os
import random
import secrets
import shutil
import socket
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from math import ceil
from pathlib import Path
from typing import Any, Final

from sailhitch.daemon.schema import MAX_MEMBERS, parse_value
from sailhitch.daemon.state import State, canonical
from sailhitch.lab.ports import free_port

from . import figures, full_state
from .processes import HostProcess, RealDaemon, RefusedError, RigError

IN_A_PROCESS: Final = 170  # hollow gateways at most
SPREAD: Final = 30  # of them for which a process is taken, up to `SPREAD_OVER` processes
SPREAD_OVER: Final = 6
MOST_PROCESSES: Final = 12  # in all, the rig's own among them
ZONES: Final = 8
REGIONS: Final = 3
STARTED: Final = 300.0  # s for all to be in; a daemon fetches the whole state at first
DECIDED: Final = 90.0  # s for a change to be decided, and gone by where it was asked for
AGREE_WITHIN: Final = "60s"  # a daemon that is slow to go by a change is measured, not given up
MOST_SOCKET_PATH: Final = 107  # bytes of a Unix socket's path, unix(7)
POLL: Final = 0.1  # s between two looks at something that is waited for
# Bytes that the check of memory counts with, on the high side.
ROW: Final = 700  # what a member keeps of another
GATEWAY: Final = 500_000  # a hollow gateway with no tier and no state
DAEMON: Final = 120_000_000
DAEMON_STATE: Final = 40  # a daemon's memory by the canonical size of its state
HOLLOW_STATE: Final = 4  # a hollow gateway's by the same: its pages, and what is known of each


@dataclass(frozen=True)
class Size:
    """What a run consists of."""

    members: int  # hollow gateways and daemons together
    daemons: int = 1
    voters: int = 5
    voters_are: str = "hollow"  # or "real"
    fraction: float = 0.01
    lease: float = 3.0  # s; 0: none
    cold: bool = False  # hollow gateways begin with empty disks, not with the state

    def check(self) -> None:
        """Raises RigError for what can't be run."""
        if self.voters % 2 == 0 or not 1 <= self.voters <= 7:
            raise RigError(f"--voters: {self.voters} is not 1, 3, 5 or 7")
        among = self.daemons if self.voters_are == "real" else self.members - self.daemons
        if self.voters > among:
            raise RigError(f"--voters: {self.voters} are more than the {among} {self.voters_are}")
        if self.daemons and self.members > MAX_MEMBERS:
            raise RigError(
                f"--members: a daemon takes {MAX_MEMBERS} at most; more only with --daemons 0"
            )
        if self.processes() > MOST_PROCESSES:
            raise RigError(f"{self.processes()} processes; {MOST_PROCESSES} at most")

    def hosts(self) -> int:
        """Processes of hollow gateways."""
        hollow = self.members - self.daemons
        return max(ceil(hollow / IN_A_PROCESS), min(SPREAD_OVER, ceil(hollow / SPREAD)))

    def processes(self) -> int:
        """Processes in all, the rig's own among them."""
        return self.hosts() + self.daemons + 1


def check_memory(size: Size, state_bytes: int) -> int:
    """Bytes that a run may come to; raises RigError where they are over half of the machine's."""
    hollow = size.members - size.daemons
    each = GATEWAY + size.members * ROW + state_bytes * HOLLOW_STATE
    whole = hollow * each + size.daemons * (DAEMON + state_bytes * DAEMON_STATE)
    total = figures.machine_memory_kb() * 1024
    free = figures.machine_memory_kb("MemAvailable") * 1024
    if whole > total // 2 or whole > free:
        raise RigError(
            f"would come to {whole >> 20} MB of memory; half of this machine's is {total >> 21} "
            f"MB, and {free >> 20} MB are free: take fewer members or a smaller fraction"
        )
    return whole


def admin_socket(folder: Path) -> str:
    """The path of a daemon's admin socket; raises RigError where the system's limit is passed."""
    path = str(folder / "admin.sock")
    if len(os.fsencode(path)) > MOST_SOCKET_PATH:
        raise RigError(
            f"TMPDIR: {path}: a Unix socket's path has {MOST_SOCKET_PATH} bytes at most; set a "
            "shorter one"
        )
    return path


class Fleet:
    """All gateways of a run."""

    def __init__(self, size: Size, folder: Path, say: Callable[[str], None]) -> None:
        """Raises RigError."""
        size.check()
        self.size, self.folder, self.say = size, folder, say
        self.real = [f"d{i + 1}" for i in range(size.daemons)]
        self.hollow = [f"h{i + 1:04d}" for i in range(size.members - size.daemons)]
        group = self.real if size.voters_are == "real" else self.hollow
        self.voters = group[: size.voters]
        self.port = free_port(socket.SOCK_DGRAM)
        self.addresses = self._addresses()
        self.state = full_state.state(size.fraction)
        self.content = canonical({**self.state, "listeners": {}})
        self.memory = check_memory(size, len(self.content))
        self.hosts: list[HostProcess] = []
        self.daemons: dict[str, RealDaemon] = {}
        self.down: set[str] = set()
        self.serial = 1
        self.loss = 0.0
        self._proposals = 0

    def _addresses(self) -> dict[str, tuple[str, int]]:
        """Each member has an address of 127.0.0.0/8 of its own, and all one port."""
        network = 128 + random.SystemRandom().randrange(100)
        names = [*self.real, *self.hollow]
        return {
            name: (f"127.{network}.{i // 250}.{i % 250 + 1}", self.port)
            for i, name in enumerate(names)
        }

    # --- Who is where

    def zone_of(self, name: str) -> int:
        """A member's zone, by number. All daemons are in zone 0, so that nothing parts them."""
        return 0 if name in self.addresses and name[0] == "d" else int(name[1:]) % ZONES

    def region_of(self, name: str) -> int:
        """Return a member's region, by number."""
        return self.zone_of(name) % REGIONS

    def others(self, names: Sequence[str] | None = None) -> list[str]:
        """Hollow gateways that run and are no voters."""
        among = self.hollow if names is None else names
        return [one for one in among if one not in self.voters and one not in self.down]

    def running(self) -> list[str]:
        """Hollow gateways that run."""
        return [one for one in self.hollow if one not in self.down]

    # --- Starting and ending

    async def start(self) -> None:
        """Start everything, and wait until all may act; raises RigError."""
        keys = self.folder / "keys"
        keys.write_text(f"1 {secrets.token_hex(32)}\n")
        founding = self.folder / "founding.json"
        founding.write_bytes(self.content)
        for number in range(self.size.hosts()):
            mine = self.hollow[number :: self.size.hosts()]
            self.hosts.append(self._host(number, mine, keys, founding))
        await asyncio.gather(*(host.start() for host in self.hosts))
        await self.all_hosts("state")  # they have read their plans
        for number, name in enumerate(self.real):
            self.daemons[name] = await asyncio.to_thread(self._daemon, number, name, keys)
        begun = figures.now()
        await self.start_all()
        self._check_daemons_run()
        self.say(f"{self.size.members} members are in after {figures.now() - begun:.1f} s")

    def _check_daemons_run(self) -> None:
        """Raise RigError for a daemon that ended by itself, with the last line of its log."""
        for name, daemon in self.daemons.items():
            if not daemon.runs():
                lines = daemon.log.read_text(errors="replace").splitlines() or ["it said nothing"]
                raise RigError(f"{name} ended at its start: {lines[-1]}")

    async def start_all(self, within: float = STARTED) -> None:
        """Start all that do not run, and wait until they may act."""
        self.down.clear()
        await self.all_hosts("start", who=self.hollow)
        await asyncio.gather(*(one.start() for one in self.daemons.values() if not one.runs()))
        await self.until("all members are in", self.all_in, within)

    def _host(self, number: int, mine: list[str], keys: Path, founding: Path) -> HostProcess:
        lease = int(self.size.lease * 1e6) or None
        plan = self.folder / f"host-{number}.json"
        members = [[name, *address] for name, address in self.addresses.items()]
        plan.write_text(
            json.dumps(
                {
                    "members": members,
                    "voters": self.voters,
                    "real": self.real,
                    "mine": mine,
                    "key_file": str(keys),
                    "founding": str(founding),
                    "lease": lease,
                    "seeded": not self.size.cold,
                }
            )
        )
        return HostProcess(plan, self.folder / f"host-{number}.log")

    def _daemon(self, number: int, name: str, keys: Path) -> RealDaemon:
        folder, port = self.folder / name, free_port()
        folder.mkdir()
        members = [(one, f"{host}:{at}") for one, (host, at) in self.addresses.items()]
        value = full_state.operator_file(
            self.size.fraction, members, self.voters, name, str(folder / "state"), str(keys)
        )
        value["gateway"]["admin"] = admin_socket(folder)
        value["gateway"]["zone"] = "west-1"
        value["tier"]["agree_within"] = AGREE_WITHIN
        value["listeners"] = [{"name": "web", "address": f"127.0.0.1:{port}"}]
        if self.size.lease:
            value["tier"]["lease"] = f"{int(self.size.lease * 1000)}ms"
        if number == 0:
            parse_value(value)  # a wrong file is better found here than in a log
        full_state.write_toml(value, folder / "g.toml")
        return RealDaemon(name, folder, value, port)

    async def stop(self) -> None:
        """End every process."""
        ends = [one.close() for one in self.daemons.values()]
        await asyncio.gather(*ends, *(host.end() for host in self.hosts), return_exceptions=True)

    # --- Commands

    async def all_hosts(self, name: str, **more: Any) -> list[Any]:
        """Have all processes of hollow gateways carry out a command."""
        return list(await asyncio.gather(*(host.do(name, **more) for host in self.hosts)))

    def host_of(self, name: str) -> HostProcess:
        """Return the process that a hollow gateway is in."""
        return self.hosts[self.hollow.index(name) % len(self.hosts)]

    async def kill(self, names: Sequence[str]) -> None:
        """Kill hollow gateways; nobody is told."""
        await self.all_hosts("kill", who=list(names))
        self.down.update(names)

    async def revive(self, names: Sequence[str], wiped: bool = False) -> None:
        """Start hollow gateways again."""
        await self.all_hosts("start", who=list(names), wiped=wiped)
        self.down.difference_update(names)

    async def set_faults(self, loss: float, parted: tuple[int, int] | None = None) -> None:
        """Lose a part of all datagrams, and have two regions not reach each other."""
        sides = {
            name: self.region_of(name)
            for name in self.addresses
            if parted is not None and self.region_of(name) in parted
        }
        self.loss = loss
        await self.all_hosts("faults", loss=loss, sides=sides)

    async def reset_daemon(self, name: str) -> None:
        """Kill a daemon and have it lose its disk; it is not started."""
        daemon = self.daemons[name]
        await daemon.end()
        await asyncio.to_thread(shutil.rmtree, daemon.folder / "state", ignore_errors=True)

    # --- Waiting

    async def until(self, what: str, holds: Callable[[], Awaitable[bool]], within: float) -> float:
        """Wait until something holds: for how long that was; raises RigError after `within` s."""
        begun = figures.now()
        while not await holds():
            if figures.now() - begun > within:
                raise RigError(f"not so within {within:g} s: {what}")
            await asyncio.sleep(POLL)
        return figures.now() - begun

    async def who_is_out(self) -> list[str]:
        """Members that run and may not act."""
        said = await self.all_hosts("state")
        out = [name for one in said for name in one["out"]]
        for name, daemon in self.daemons.items():
            if daemon.runs() and not await daemon.is_in():
                out.append(name)
        return out

    async def all_in(self) -> bool:
        """Return whether all that run may act."""
        return not await self.who_is_out()

    async def in_force(self, serial: int) -> tuple[list[float], list[str]]:
        """Return when those that run came to act by this serial, and who does not yet."""
        said = await self.all_hosts("force", serial=serial)
        found = {name: at for one in said for name, at in one.items()}
        times = list(found.values())
        # Counted by who should run: one that has ended by itself has not come to act by it.
        behind = [name for name in self.running() if name not in found]
        for name, daemon in self.daemons.items():
            at = daemon.in_force_at(serial)
            if at is not None:
                times.append(at)
            elif daemon.runs():
                behind.append(name)
        return times, behind

    async def everywhere(self, serial: int, within: float) -> tuple[list[float], list[str]]:
        """Wait until this serial is in force everywhere, and no longer than `within` s."""

        async def holds() -> bool:
            return not (await self.in_force(serial))[1]

        with contextlib.suppress(RigError):
            await self.until(f"serial {serial} is in force everywhere", holds, within)
        return await self.in_force(serial)

    async def gossip_sent(self) -> int:
        """Datagrams of gossip that hollow gateways have sent so far."""
        return sum(await self.all_hosts("gossip"))

    # --- Changes

    async def proposal(self, after: State, base: int, waits: bool) -> Callable[[], Awaitable[int]]:
        """What to call to have a hollow gateway offer a state; all work is done beforehand."""
        self._proposals += 1
        file, name = self.folder / f"proposal-{self._proposals}.json", self.others()[-1]
        content = canonical({**after, "listeners": {}})
        await asyncio.to_thread(file.write_bytes, content)
        await self.host_of(name).do("prepare", file=str(file))
        return functools.partial(self._propose, name, str(file), base, waits)

    async def _propose(self, name: str, file: str, base: int, waits: bool) -> int:
        asked = {"who": [name], "file": file, "base": base, "waits": waits, "within": DECIDED}
        done = await self.host_of(name).do("propose", **asked)
        if done["end"] not in ("active", "pending"):
            raise RefusedError(f"a change made from serial {base} ended as {done['end']}")
        return int(done["serial"])

    # --- Figures

    async def look(self, last: bool) -> figures.Look:
        """All counts now. What asking costs a daemon is outside of two looks, the second `last`."""
        daemons = {} if last else await self._costs()
        at, host_cpu = figures.now(), [figures.processor_seconds(h.pid) for h in self.hosts]
        if last:
            daemons = await self._costs(last=True)
        told = await self.all_hosts("figures")
        datagrams: Counter[figures.Row] = Counter()
        sizes: Counter[figures.Row] = Counter()
        kept: Counter[str] = Counter()
        for one in told:
            kept.update(one["kept"])
            for *key, count, size in one["traffic"]:
                datagrams[tuple(key)] += count
                sizes[tuple(key)] += size
        drops, real = figures.system_drops(self.port), {self.addresses[n][0] for n in self.real}
        return figures.Look(
            at,
            daemons,
            host_cpu,
            sum(figures.memory_kb(host.pid) for host in self.hosts),
            datagrams,
            sizes,
            kept,
            {k: max(one[k] for one in told) for k in ("late_median", "late_p99", "late_worst")},
            {address: count for address, count in drops.items() if address not in real},
            {address: count for address, count in drops.items() if address in real},
        )

    async def _costs(self, last: bool = False) -> dict[str, figures.Cost]:
        """Return what daemons have used; what asking them costs falls outside of two looks."""
        alive = [(name, one) for name, one in self.daemons.items() if one.runs()]
        processor = {name: figures.processor_seconds(one.pid) for name, one in alive}
        found = {}
        for name, daemon in alive:
            status = await daemon.status()
            used = processor[name] if last else figures.processor_seconds(daemon.pid)
            sent = int(status.get("datagrams", 0)), int(status.get("bytes", 0))
            found[name] = figures.Cost(daemon.pid, used, figures.memory_kb(daemon.pid), sent)
        return found

    def window(self, before: figures.Look, after: figures.Look) -> dict[str, Any]:
        """Figures of what happened between two looks."""
        voters = len([one for one in self.voters if one in self.hollow])
        return figures.window(before, after, len(self.running()), voters, self.real)
