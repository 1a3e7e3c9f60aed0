"""Runs a tier on this machine: processes of hollow gateways, and real daemons."""

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

MAX_HOLLOW_PER_PROCESS: Final = 170  # hollow gateways
# Small runs use one process for this many hollow gateways, up to `MAX_SPREAD_PROCESSES` processes.
HOLLOW_PER_SPREAD_PROCESS: Final = 30
MAX_SPREAD_PROCESSES: Final = 6
MAX_PROCESSES: Final = 12  # including the rig's own
ZONES: Final = 8
REGIONS: Final = 3
# s until all members are active; a daemon first fetches the whole state.
START_TIMEOUT: Final = 300.0
DECISION_TIMEOUT: Final = 90.0  # s until a change is decided and in force where it was requested
# Long enough that a daemon which is slow to apply a change is measured, not timed out.
AGREE_WITHIN: Final = "60s"
MAX_SOCKET_PATH_BYTES: Final = 107  # limit of a Unix socket's path, unix(7)
POLL_INTERVAL: Final = 0.1  # s between two checks of a condition that is waited for
# Estimates for the memory check, rounded up. The factors multiply the state's canonical size.
MEMBER_RECORD_BYTES: Final = 700  # what a member stores about another
HOLLOW_BASE_BYTES: Final = 500_000  # a hollow gateway without a tier or a state
DAEMON_BASE_BYTES: Final = 120_000_000
DAEMON_STATE_FACTOR: Final = 40
HOLLOW_STATE_FACTOR: Final = 4  # its pages, and the metadata of each page


@dataclass(frozen=True)
class Size:
    """The size of a run: how many members of each kind, and how large their state is."""

    members: int  # hollow gateways and daemons together
    daemons: int = 1
    voters: int = 5
    voters_are: str = "hollow"  # or "real"
    fraction: float = 0.01
    lease: float = 3.0  # s; 0: none
    cold: bool = False  # hollow gateways start with empty disks instead of the state

    def check(self) -> None:
        """Raises RigError for a size that can't be run."""
        if self.voters % 2 == 0 or not 1 <= self.voters <= 7:
            raise RigError(f"--voters: {self.voters} is not 1, 3, 5 or 7")
        candidates = self.daemons if self.voters_are == "real" else self.members - self.daemons
        if self.voters > candidates:
            raise RigError(
                f"--voters: {self.voters} are more than the {candidates} {self.voters_are}"
            )
        if self.daemons and self.members > MAX_MEMBERS:
            raise RigError(
                f"--members: a daemon takes {MAX_MEMBERS} at most; more only with --daemons 0"
            )
        if self.processes() > MAX_PROCESSES:
            raise RigError(f"{self.processes()} processes; {MAX_PROCESSES} at most")

    def hosts(self) -> int:
        """Return the number of processes of hollow gateways."""
        hollow = self.members - self.daemons
        return max(
            ceil(hollow / MAX_HOLLOW_PER_PROCESS),
            min(MAX_SPREAD_PROCESSES, ceil(hollow / HOLLOW_PER_SPREAD_PROCESS)),
        )

    def processes(self) -> int:
        """Return the number of all processes, including the rig's own."""
        return self.hosts() + self.daemons + 1


def check_memory(size: Size, state_bytes: int) -> int:
    """Estimate the bytes that a run needs. Raises RigError above half of the machine's memory."""
    hollow = size.members - size.daemons
    each = (
        HOLLOW_BASE_BYTES + size.members * MEMBER_RECORD_BYTES + state_bytes * HOLLOW_STATE_FACTOR
    )
    needed = hollow * each + size.daemons * (DAEMON_BASE_BYTES + state_bytes * DAEMON_STATE_FACTOR)
    total = figures.machine_memory_kb() * 1024
    free = figures.machine_memory_kb("MemAvailable") * 1024
    if needed > total // 2 or needed > free:
        raise RigError(
            f"needs about {needed >> 20} MB of memory; half of this machine's is {total >> 21} "
            f"MB, and {free >> 20} MB are free: use fewer members or a smaller fraction"
        )
    return needed


def admin_socket(folder: Path) -> str:
    """Return the path of a daemon's admin socket. Raises RigError if it is too long."""
    path = str(folder / "admin.sock")
    if len(os.fsencode(path)) > MAX_SOCKET_PATH_BYTES:
        raise RigError(
            f"TMPDIR: {path}: a Unix socket's path has {MAX_SOCKET_PATH_BYTES} bytes at most; "
            "set a shorter TMPDIR"
        )
    return path


class Fleet:
    """All gateways of a run, hollow and real."""

    def __init__(self, size: Size, folder: Path, log_progress: Callable[[str], None]) -> None:
        """Raises RigError."""
        size.check()
        self.size, self.folder, self.log_progress = size, folder, log_progress
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
        self._proposal_count = 0

    def _addresses(self) -> dict[str, tuple[str, int]]:
        """Give each member its own address in 127.0.0.0/8; all use the same port."""
        network = 128 + random.SystemRandom().randrange(100)
        names = [*self.real, *self.hollow]
        return {
            name: (f"127.{network}.{i // 250}.{i % 250 + 1}", self.port)
            for i, name in enumerate(names)
        }

    # --- Zones and regions

    def zone_of(self, name: str) -> int:
        """Return a member's zone number. All daemons are in zone 0: no partition separates them."""
        return 0 if name in self.addresses and name[0] == "d" else int(name[1:]) % ZONES

    def region_of(self, name: str) -> int:
        """Return a member's region number."""
        return self.zone_of(name) % REGIONS

    def running_non_voters(self, names: Sequence[str] | None = None) -> list[str]:
        """Return the running hollow gateways that are not voters."""
        candidates = self.hollow if names is None else names
        return [one for one in candidates if one not in self.voters and one not in self.down]

    def running(self) -> list[str]:
        """Return the running hollow gateways."""
        return [one for one in self.hollow if one not in self.down]

    # --- Starting and stopping

    async def start(self) -> None:
        """Start all members, and wait until all are active. Raises RigError."""
        keys = self.folder / "keys"
        keys.write_text(f"1 {secrets.token_hex(32)}\n")
        founding = self.folder / "founding.json"
        founding.write_bytes(self.content)
        for number in range(self.size.hosts()):
            mine = self.hollow[number :: self.size.hosts()]
            self.hosts.append(self._host(number, mine, keys, founding))
        await asyncio.gather(*(host.start() for host in self.hosts))
        await self.command_all_hosts("state")  # answered once each process has read its plan
        for number, name in enumerate(self.real):
            self.daemons[name] = await asyncio.to_thread(self._daemon, number, name, keys)
        started_at = figures.now()
        await self.start_all()
        self._check_daemons_run()
        self.log_progress(
            f"{self.size.members} members are active after {figures.now() - started_at:.1f} s"
        )

    def _check_daemons_run(self) -> None:
        """Raise RigError, with the last line of its log, for a daemon that has exited."""
        for name, daemon in self.daemons.items():
            if not daemon.runs():
                lines = daemon.log.read_text(errors="replace").splitlines() or ["its log is empty"]
                raise RigError(f"{name} ended at its start: {lines[-1]}")

    async def start_all(self, within: float = START_TIMEOUT) -> None:
        """Start all members that are not running, and wait until they are active."""
        self.down.clear()
        await self.command_all_hosts("start", who=self.hollow)
        await asyncio.gather(*(one.start() for one in self.daemons.values() if not one.runs()))
        await self.wait_until("all members are active", self.all_active, within)

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
            parse_value(value)  # reports an invalid file here instead of in the daemon's log
        full_state.write_toml(value, folder / "g.toml")
        return RealDaemon(name, folder, value, port)

    async def stop(self) -> None:
        """End every process."""
        ends = [one.close() for one in self.daemons.values()]
        await asyncio.gather(*ends, *(host.end() for host in self.hosts), return_exceptions=True)

    # --- Commands

    async def command_all_hosts(self, name: str, **more: Any) -> list[Any]:
        """Send a command to every process of hollow gateways; return their answers."""
        return list(await asyncio.gather(*(host.send_command(name, **more) for host in self.hosts)))

    def host_of(self, name: str) -> HostProcess:
        """Return the process that runs a hollow gateway."""
        return self.hosts[self.hollow.index(name) % len(self.hosts)]

    async def kill(self, names: Sequence[str]) -> None:
        """Kill hollow gateways without notice to their peers."""
        await self.command_all_hosts("kill", who=list(names))
        self.down.update(names)

    async def revive(self, names: Sequence[str], wiped: bool = False) -> None:
        """Start hollow gateways again."""
        await self.command_all_hosts("start", who=list(names), wiped=wiped)
        self.down.difference_update(names)

    async def set_faults(self, loss: float, parted: tuple[int, int] | None = None) -> None:
        """Drop a share of all datagrams, and partition two regions from each other."""
        sides = {
            name: self.region_of(name)
            for name in self.addresses
            if parted is not None and self.region_of(name) in parted
        }
        self.loss = loss
        await self.command_all_hosts("faults", loss=loss, sides=sides)

    async def reset_daemon(self, name: str) -> None:
        """Kill a daemon and delete its state directory, without starting it again."""
        daemon = self.daemons[name]
        await daemon.end()
        await asyncio.to_thread(shutil.rmtree, daemon.folder / "state", ignore_errors=True)

    # --- Waiting

    async def wait_until(
        self, what: str, condition: Callable[[], Awaitable[bool]], within: float
    ) -> float:
        """Wait for a condition; return the seconds waited. Raises RigError after `within` s."""
        started_at = figures.now()
        while not await condition():
            if figures.now() - started_at > within:
                raise RigError(f"timed out after {within:g} s: {what}")
            await asyncio.sleep(POLL_INTERVAL)
        return figures.now() - started_at

    async def inactive_members(self) -> list[str]:
        """Return the members that run but are not active."""
        responses = await self.command_all_hosts("state")
        out = [name for one in responses for name in one["out"]]
        for name, daemon in self.daemons.items():
            if daemon.runs() and not await daemon.is_active():
                out.append(name)
        return out

    async def all_active(self) -> bool:
        """Return whether all running members are active."""
        return not await self.inactive_members()

    async def in_force(self, serial: int) -> tuple[list[float], list[str]]:
        """Return when this serial came into force at each member, and where it has not yet."""
        responses = await self.command_all_hosts("force", serial=serial)
        found = {name: at for one in responses for name, at in one.items()}
        times = list(found.values())
        # Over the members that should run, so that one that has failed counts as behind.
        behind = [name for name in self.running() if name not in found]
        for name, daemon in self.daemons.items():
            at = daemon.in_force_at(serial)
            if at is not None:
                times.append(at)
            elif daemon.runs():
                behind.append(name)
        return times, behind

    async def wait_in_force(self, serial: int, within: float) -> tuple[list[float], list[str]]:
        """Wait at most `within` s until this serial is in force everywhere."""

        async def in_force_everywhere() -> bool:
            return not (await self.in_force(serial))[1]

        with contextlib.suppress(RigError):
            await self.wait_until(
                f"serial {serial} is in force everywhere", in_force_everywhere, within
            )
        return await self.in_force(serial)

    async def gossip_sent(self) -> int:
        """Return how many gossip datagrams the hollow gateways have sent so far."""
        return sum(await self.command_all_hosts("gossip"))

    # --- Changes

    async def prepare_proposal(
        self, after: State, base: int, waits: bool
    ) -> Callable[[], Awaitable[int]]:
        """Prepare a hollow gateway to propose a state; return the call that proposes it."""
        self._proposal_count += 1
        file, name = (
            self.folder / f"proposal-{self._proposal_count}.json",
            self.running_non_voters()[-1],
        )
        content = canonical({**after, "listeners": {}})
        await asyncio.to_thread(file.write_bytes, content)
        await self.host_of(name).send_command("prepare", file=str(file))
        return functools.partial(self._propose, name, str(file), base, waits)

    async def _propose(self, name: str, file: str, base: int, waits: bool) -> int:
        asked = {
            "who": [name],
            "file": file,
            "base": base,
            "waits": waits,
            "within": DECISION_TIMEOUT,
        }
        done = await self.host_of(name).send_command("propose", **asked)
        if done["end"] not in ("active", "pending"):
            raise RefusedError(f"a change based on serial {base} ended as {done['end']}")
        return int(done["serial"])

    # --- Figures

    async def take_snapshot(self, last: bool) -> figures.Snapshot:
        """Take a snapshot of all counts.

        Of the two snapshots of a window, the second is `last`: what the queries themselves cost a
        daemon then falls outside the window.
        """
        daemons = {} if last else await self._daemon_usage()
        at, host_cpu = figures.now(), [figures.processor_seconds(h.pid) for h in self.hosts]
        if last:
            daemons = await self._daemon_usage(last=True)
        process_figures = await self.command_all_hosts("figures")
        datagrams: Counter[figures.TrafficKey] = Counter()
        sizes: Counter[figures.TrafficKey] = Counter()
        disk_writes: Counter[str] = Counter()
        for one in process_figures:
            disk_writes.update(one["kept"])
            for *key, count, size in one["traffic"]:
                datagrams[tuple(key)] += count
                sizes[tuple(key)] += size
        drops, real = figures.system_drops(self.port), {self.addresses[n][0] for n in self.real}
        return figures.Snapshot(
            at,
            daemons,
            host_cpu,
            sum(figures.memory_kb(host.pid) for host in self.hosts),
            datagrams,
            sizes,
            disk_writes,
            {
                k: max(one[k] for one in process_figures)
                for k in ("late_median", "late_p99", "late_worst")
            },
            {address: count for address, count in drops.items() if address not in real},
            {address: count for address, count in drops.items() if address in real},
        )

    async def _daemon_usage(self, last: bool = False) -> dict[str, figures.ProcessUsage]:
        """Return what each daemon has used; the cost of the query falls outside the window."""
        alive = [(name, one) for name, one in self.daemons.items() if one.runs()]
        processor = {name: figures.processor_seconds(one.pid) for name, one in alive}
        found = {}
        for name, daemon in alive:
            status = await daemon.status()
            used = processor[name] if last else figures.processor_seconds(daemon.pid)
            sent = int(status.get("datagrams", 0)), int(status.get("bytes", 0))
            found[name] = figures.ProcessUsage(
                daemon.pid, used, figures.memory_kb(daemon.pid), sent
            )
        return found

    def window(self, before: figures.Snapshot, after: figures.Snapshot) -> dict[str, Any]:
        """Return the figures of the interval between two snapshots."""
        voters = len([one for one in self.voters if one in self.hollow])
        return figures.window(before, after, len(self.running()), voters, self.real)
