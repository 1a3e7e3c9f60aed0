"""What the switch to another state costs a gateway, and what its hosts and operators see of it.

The switch is the daemon's own (`sailhitch.daemon.state_applier`), in this process and with no
clients. The operator's commands are asked of a real daemon, each in a process of its own.
"""

from __future__ import annotations

import asyncio
import json
import random
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from multiprocessing import get_context
from pathlib import Path
from typing import Any, Final

from sailhitch.core.core import GatewayCore
from sailhitch.core.log import Log
from sailhitch.daemon.schema import GatewaySection, OperatorFile, parse_value
from sailhitch.daemon.state import State, canonical
from sailhitch.daemon.state_applier import StateApplier, StateChange, resource_limits
from sailhitch.daemon.store import Store
from sailhitch.lab.ports import free_port
from sailhitch.policy import Gateway
from sailhitch.policy_interface import (
    Endpoint,
    EndpointState,
    WatchEventKind,
)
from sailhitch.reach import Reach
from sailhitch.settings import Settings, Tenant

from . import full_state
from .measurement import MEMBERS, Figure, Measurement, allocated_bytes, resident_bytes
from .state_slopes import GATEWAY_PART, one_weight_changed

FRACTIONS: Final = (0.05, 0.1, 0.2, 0.4, 1.0)
COMMAND_FRACTIONS: Final = (0.05, 0.1, 0.2, 0.4)
TENANTS: Final = (7_500, 15_000, 30_000, 75_000, 150_000)
GATEWAYS: Final = (25, 50, 100, 200, 400, 800, 1700)
POOLS: Final = 8  # that the memory of one is averaged over
HOSTS_OF_A_SERVICE: Final = full_state.HOSTS // full_state.SERVICES
TICKER: Final = 0.001  # s between two turns of the loop that are looked at
STARTED_WITHIN: Final = 60.0  # s for a daemon to say that it is ready
STOPPED_WITHIN: Final = 20.0


def _write_state(fraction: float, path: str) -> None:
    """In a process of its own, so that what it allocates is not counted."""
    Path(path).write_bytes(canonical({**full_state.state(fraction), "listeners": {}}))


def written_state(fraction: float, folder: Path) -> Path:
    """Return where a state of this fraction is, as a text."""
    path = folder / "state.json"
    process = get_context("spawn").Process(target=_write_state, args=(fraction, str(path)))
    process.start()
    process.join()
    assert process.exitcode == 0, "the state was not written"
    return path


def switch(fraction: float) -> dict[str, float]:
    """Return a gateway takes up a state, and then one in which one weight differs."""
    return _with_live(fraction, _switch)


async def _switch(live: StateApplier, folder: Path, fraction: float) -> dict[str, float]:
    path = written_state(fraction, folder)
    before = resident_bytes()
    state: State = json.loads(path.read_bytes())
    begun = time.process_time()
    await live.change(StateChange(state, "bench", 1, dict.fromkeys(state["nodes"], 0)))
    first_s = time.process_time() - begun
    held = resident_bytes() - before
    changed = one_weight_changed(state)  # shares its objects, as a version that is read does
    begun, on_loop = time.process_time(), time.thread_time()
    await live.change(StateChange(changed, "bench", 2))
    return {
        "first_switch_s": first_s,
        "first_memory_bytes": held,
        "switch_s": time.process_time() - begun,
        "loop_s": time.thread_time() - on_loop,
        "peak_memory_bytes": resident_bytes("VmHWM") - before,
        "after_memory_bytes": resident_bytes() - before,
    }


def stall(fraction: float) -> dict[str, float]:
    """Return how long the loop has no turn while a gateway goes to a state with another weight."""
    return _with_live(fraction, _stall)


async def _stall(live: StateApplier, folder: Path, fraction: float) -> dict[str, float]:
    state: State = json.loads(written_state(fraction, folder).read_bytes())
    changed = one_weight_changed(state)
    await live.change(StateChange(state, "bench", 1, dict.fromkeys(state["nodes"], 0)))
    gaps: list[float] = []
    ticker = asyncio.create_task(_tick(gaps))
    begun = time.perf_counter()
    await live.change(StateChange(changed, "bench", 2))
    took = time.perf_counter() - begun
    await asyncio.sleep(3 * TICKER)
    ticker.cancel()
    late = [gap for gap in gaps if gap > 0.004 + TICKER]
    return {"change_wall_s": took, "longest_stall_s": max(gaps), "stalled_s": sum(late)}


async def _tick(gaps: list[float]) -> None:
    last = time.perf_counter()
    while True:
        await asyncio.sleep(TICKER)
        now = time.perf_counter()
        gaps.append(now - last)
        last = now


def _with_live(
    fraction: float,
    work: Callable[[StateApplier, Path, float], Coroutine[Any, Any, dict[str, float]]],
) -> dict[str, float]:
    """Play something at a gateway that has no state yet, and keeps its states on disk."""
    gateway = GatewaySection.model_validate(GATEWAY_PART)

    async def main(folder: Path) -> dict[str, float]:
        core = GatewayCore(
            resource_limits(gateway, 1_000_000), asyncio.get_running_loop(), Log("g1")
        )
        store = Store(folder / "states", gateway.name)
        live = StateApplier(core, gateway, store)
        core.begin()
        try:
            return await work(live, folder, fraction)
        finally:
            live.stop_listening()
            core.finish()
            store.close()

    with tempfile.TemporaryDirectory(prefix="sailhitch-") as folder:
        return asyncio.run(main(Path(folder)))


# --- One pool's decision module


class _Nobody:
    """A port that does nothing."""

    def send(self, req: int, server: str, timeout: int) -> None: ...
    def refuse(self, req: int, retry_after: int) -> None: ...
    def fail(self, req: int) -> None: ...
    def cancel(self, req: int, attempt: int) -> None: ...
    def set_timer(self, token: int, at: int) -> None: ...
    def watch(self, on: bool) -> None: ...
    def log(self, text: str) -> None: ...


def module_tenants(tenants: float) -> dict[str, float]:
    """Memory of one pool's module by tenants, and the time that new settings take it."""
    import dataclasses

    from sailhitch.daemon.tables import Tables

    file = _small_file()
    settings = dataclasses.replace(
        Tables(None, file).settings(file.gateway),
        tenants=tuple(Tenant(f"tenant-{i:06d}", 1.0 + i) for i in range(int(tenants))),
    )
    changed = dataclasses.replace(settings, tenants=(*settings.tenants,))
    held = allocated_bytes(lambda: [_module(settings, seed) for seed in range(POOLS)]) / POOLS
    modules = [_module(settings, seed) for seed in range(POOLS)]
    begun = time.process_time()
    for module in modules:
        module.reconfigure(200_000_000, changed)
    return {
        "pool_memory_bytes": held,
        "pool_reconfigure_ms": (time.process_time() - begun) / POOLS * 1000,
    }


def _small_file() -> OperatorFile:
    value = full_state.operator_file(0.001, (), (), "g1", "state", "tier.key")
    return parse_value(value)


def _module(settings: Settings, seed: int) -> Gateway:
    module = Gateway(_Nobody(), settings, seed)
    module.start(100_000_000)
    listed = [
        Endpoint(f"h{i}", 1.0, 0, i, EndpointState.READY, 0, 0) for i in range(HOSTS_OF_A_SERVICE)
    ]
    module.on_watch_event(100_000_000, WatchEventKind.RESTORED, listed)
    return module


# --- A host's side


class _Host:
    """A host as reach knows it."""

    def __init__(self, lot: int) -> None:
        self.hash = lot

    def is_available(self, now: int) -> bool:
        return True

    def is_responding(self) -> bool:
        return True


def connections(gateways: float) -> dict[str, float]:
    """Gateways that have a host in reach, of one service, and hosts in a gateway's reach."""
    draws = random.Random(1)
    hosts = [_Host(draws.getrandbits(64)) for _ in range(HOSTS_OF_A_SERVICE)]
    counts = dict.fromkeys((host.hash for host in hosts), 0)
    width = 0
    for me in range(int(gateways)):
        reach: Reach[_Host] = Reach(me, int(gateways))
        reach.sort(hosts, [])
        reach.select(0)
        width = max(width, reach.size())
        for part in reach.subset:
            for host in part:
                counts[host.hash] += 1
    return {
        "host_least": min(counts.values()),
        "host_mean": sum(counts.values()) / len(counts),
        "host_most": max(counts.values()),
        "pool_width": width,
        "gateway_hosts": width * full_state.SERVICES,
    }


# --- An operator's commands


def commands(fraction: float) -> dict[str, float]:
    """`sailhitch plan` and `apply` of one weight, asked of a real daemon."""
    with tempfile.TemporaryDirectory(prefix="sailhitch-") as name:
        folder = Path(name)
        value = full_state.operator_file(
            fraction, (), (), "g1", str(folder / "s"), str(folder / "k")
        )
        value["gateway"] |= {"admin": str(folder / "admin.sock"), "memory_mb": 4096}
        value["listeners"] = [{"name": "web", "address": f"127.0.0.1:{free_port()}"}]
        full_state.write_toml(value, folder / "first.toml")
        value["pools"][0]["nodes"][0]["weight"] += 0.5
        full_state.write_toml(value, folder / "second.toml")
        daemon = _start_daemon(folder)
        try:
            return _ask_for_change(folder, daemon)
        finally:
            daemon.terminate()
            daemon.wait(STOPPED_WITHIN)


def _start_daemon(folder: Path) -> subprocess.Popen[str]:
    command = [*_SAILHITCH, "run", "--json", str(folder / "first.toml")]
    log = (folder / "log").open("w")
    daemon = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=log, text=True)
    log.close()
    assert daemon.stdout is not None
    line = daemon.stdout.readline()
    assert line, f"the daemon did not start: {(folder / 'log').read_text()[-500:]}"
    return daemon


def _ask_for_change(folder: Path, daemon: subprocess.Popen[str]) -> dict[str, float]:
    plan = folder / "plan"
    idle_memory = resident_bytes(pid=daemon.pid)
    before = _cpu_of(daemon.pid)
    planned = _run("plan", str(folder / "second.toml"), "-o", str(plan), expected=2)
    between = _cpu_of(daemon.pid)
    applied = _run("apply", str(plan), "--admin", str(folder / "admin.sock"), expected=0)
    after = _cpu_of(daemon.pid)
    state_text = subprocess.run(
        [*_SAILHITCH, "state", "--json", "--admin", str(folder / "admin.sock")],
        capture_output=True,
        check=True,
    ).stdout
    return {
        "plan_cpu_s": planned[0],
        "plan_memory_bytes": planned[1],
        "plan_wall_s": planned[2],
        "apply_cpu_s": applied[0],
        "apply_memory_bytes": applied[1],
        "apply_wall_s": applied[2],
        "daemon_plan_cpu_s": between - before,
        "daemon_apply_cpu_s": after - between,
        "daemon_memory_bytes": idle_memory,
        "daemon_peak_bytes": resident_bytes("VmHWM", daemon.pid),
        "admin_text_bytes": len(state_text),
    }


# A command that says at its end, as the last line of its errors, what it has used.
_METERED: Final = """
import json, sys, time
from benchmarks.scale.measurement import resident_bytes
from sailhitch.daemon.cli import main
code = main()
print(json.dumps([time.process_time(), resident_bytes("VmHWM")]), file=sys.stderr)
sys.exit(code)
"""
_SAILHITCH: Final = (sys.executable, "-c", _METERED)


def _run(*arguments: str, expected: int) -> tuple[float, int, float]:
    """Return a command's processor seconds, most resident bytes, and wall seconds."""
    begun = time.perf_counter()
    done = subprocess.run([*_SAILHITCH, *arguments], capture_output=True, text=True, check=False)
    took = time.perf_counter() - begun
    assert done.returncode == expected, f"{arguments[0]}: {done.returncode}: {done.stderr[-300:]}"
    processor, resident = json.loads(done.stderr.splitlines()[-1])
    return float(processor), int(resident), took


def _cpu_of(pid: int) -> float:
    """Processor seconds of all threads of a process (proc(5), schedstat)."""
    tasks = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(task.read_text().split()[0]) for task in tasks) / 1e9


_LIVE: Final = "daemon/state_applier.py"
_OVERLOAD: Final = "policy/overload.py (tenants)"
MEASUREMENTS: Final = (
    Measurement(
        "switch",
        "gateway",
        "fraction",
        FRACTIONS,
        1.0,
        (
            Figure("first_switch_s", "s", "first switch, processor", _LIVE),
            Figure("first_memory_bytes", "B", "memory held after it", f"{_LIVE}, {_OVERLOAD}"),
            Figure("switch_s", "s", "one weight, processor, all threads", _LIVE),
            Figure("loop_s", "s", "of that on the loop's thread", f"{_LIVE}, {_OVERLOAD}"),
            Figure("peak_memory_bytes", "B", "most memory during both", _LIVE),
            Figure("after_memory_bytes", "B", "memory held after both", _LIVE),
        ),
        switch,
    ),
    Measurement(
        "stall",
        "gateway",
        "fraction",
        FRACTIONS,
        1.0,
        (
            Figure("change_wall_s", "s", "one weight, wall", _LIVE),
            Figure("longest_stall_s", "s", "longest time without a turn of the loop", _LIVE),
            Figure("stalled_s", "s", "time in stalls of over 4 ms", _LIVE),
        ),
        stall,
    ),
    Measurement(
        "module_tenants",
        "gateway",
        "tenants",
        TENANTS,
        full_state.TENANTS,
        (
            Figure("pool_memory_bytes", "B", "one pool's module", _OVERLOAD),
            Figure("pool_reconfigure_ms", "ms", "new settings for one pool", _OVERLOAD),
        ),
        module_tenants,
    ),
    Measurement(
        "connections",
        "host",
        "gateways",
        GATEWAYS,
        MEMBERS,
        (
            Figure("host_least", "1", "gateways that reach a host, least", "reach/width.py"),
            Figure("host_mean", "1", "the same, mean", "reach/width.py"),
            Figure("host_most", "1", "the same, most", "reach/ring.py"),
            Figure("pool_width", "1", "hosts in a gateway's reach, a pool", "reach/width.py"),
            Figure("gateway_hosts", "1", "the same, 280 pools", "reach/width.py"),
        ),
        connections,
    ),
    Measurement(
        "commands",
        "operator",
        "fraction",
        COMMAND_FRACTIONS,
        1.0,
        (
            Figure("plan_cpu_s", "s", "`plan`, processor", "daemon/cli.py"),
            Figure("plan_memory_bytes", "B", "`plan`, most memory", "daemon/cli.py"),
            Figure("plan_wall_s", "s", "`plan`, wall", "daemon/cli.py"),
            Figure("apply_cpu_s", "s", "`apply`, processor", "daemon/cli.py"),
            Figure("apply_memory_bytes", "B", "`apply`, most memory", "daemon/cli.py"),
            Figure("apply_wall_s", "s", "`apply`, wall", "daemon/source.py, live.py"),
            Figure("daemon_plan_cpu_s", "s", "a plan at the daemon", "daemon/admin.py"),
            Figure("daemon_apply_cpu_s", "s", "an apply at the daemon", _LIVE),
            Figure("daemon_memory_bytes", "B", "a daemon's memory, no tier", _LIVE),
            Figure("daemon_peak_bytes", "B", "most of that in an apply", _LIVE),
            Figure("admin_text_bytes", "B", "the state on the admin socket", "daemon/admin.py"),
        ),
        commands,
    ),
)
