"""Cost of switching a gateway to another state, and of its connections and operator commands.

The switch runs the daemon's own code (`sailhitch.daemon.state_applier`) in this process, without
clients. Operator commands run in processes of their own, against a real daemon.
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
from sailhitch.reach import Subsetter
from sailhitch.settings import Settings, Tenant

from . import full_state
from .measurement import MEMBERS, Figure, Measurement, allocated_bytes, resident_bytes
from .state_slopes import GATEWAY_PART, one_weight_changed

FRACTIONS: Final = (0.05, 0.1, 0.2, 0.4, 1.0)
COMMAND_FRACTIONS: Final = (0.05, 0.1, 0.2, 0.4)
TENANTS: Final = (7_500, 15_000, 30_000, 75_000, 150_000)
GATEWAYS: Final = (25, 50, 100, 200, 400, 800, 1700)
POOLS: Final = 8  # to average the memory of one
HOSTS_PER_SERVICE: Final = full_state.HOSTS // full_state.SERVICES
LOOP_SAMPLE_INTERVAL: Final = 0.001  # s between two samples of the event loop
START_TIMEOUT: Final = 60.0  # s until a daemon is ready
STOP_TIMEOUT: Final = 20.0


def _write_state(fraction: float, path: str) -> None:
    """Write a state. Runs in its own process, so that its allocations are not counted."""
    Path(path).write_bytes(canonical({**full_state.state(fraction), "listeners": {}}))


def write_state_file(fraction: float, folder: Path) -> Path:
    """Write the canonical text of a state of this fraction; return its path."""
    path = folder / "state.json"
    process = get_context("spawn").Process(target=_write_state, args=(fraction, str(path)))
    process.start()
    process.join()
    assert process.exitcode == 0, "the state was not written"
    return path


def switch(fraction: float) -> dict[str, float]:
    """Measure the switch of a gateway to a first state, then to one with one changed weight."""
    return _with_state_applier(fraction, _switch)


async def _switch(applier: StateApplier, folder: Path, fraction: float) -> dict[str, float]:
    path = write_state_file(fraction, folder)
    before = resident_bytes()
    state: State = json.loads(path.read_bytes())
    started_at = time.process_time()
    await applier.change(StateChange(state, "bench", 1, dict.fromkeys(state["nodes"], 0)))
    first_s = time.process_time() - started_at
    held = resident_bytes() - before
    # Shares objects with the first state, as a version read from the tier does.
    changed = one_weight_changed(state)
    started_at, on_loop = time.process_time(), time.thread_time()
    await applier.change(StateChange(changed, "bench", 2))
    return {
        "first_switch_s": first_s,
        "first_memory_bytes": held,
        "switch_s": time.process_time() - started_at,
        "loop_s": time.thread_time() - on_loop,
        "peak_memory_bytes": resident_bytes("VmHWM") - before,
        "after_memory_bytes": resident_bytes() - before,
    }


def stall(fraction: float) -> dict[str, float]:
    """Measure how long the event loop is blocked during a switch that changes one weight."""
    return _with_state_applier(fraction, _stall)


async def _stall(applier: StateApplier, folder: Path, fraction: float) -> dict[str, float]:
    state: State = json.loads(write_state_file(fraction, folder).read_bytes())
    changed = one_weight_changed(state)
    await applier.change(StateChange(state, "bench", 1, dict.fromkeys(state["nodes"], 0)))
    gaps: list[float] = []
    sampler = asyncio.create_task(_sample_loop(gaps))
    started_at = time.perf_counter()
    await applier.change(StateChange(changed, "bench", 2))
    took = time.perf_counter() - started_at
    await asyncio.sleep(3 * LOOP_SAMPLE_INTERVAL)
    sampler.cancel()
    late = [gap for gap in gaps if gap > 0.004 + LOOP_SAMPLE_INTERVAL]
    return {"change_wall_s": took, "longest_stall_s": max(gaps), "stalled_s": sum(late)}


async def _sample_loop(gaps: list[float]) -> None:
    last = time.perf_counter()
    while True:
        await asyncio.sleep(LOOP_SAMPLE_INTERVAL)
        now = time.perf_counter()
        gaps.append(now - last)
        last = now


def _with_state_applier(
    fraction: float,
    work: Callable[[StateApplier, Path, float], Coroutine[Any, Any, dict[str, float]]],
) -> dict[str, float]:
    """Run `work` on a gateway core that has no state yet and stores its states on disk."""
    gateway = GatewaySection.model_validate(GATEWAY_PART)

    async def main(folder: Path) -> dict[str, float]:
        core = GatewayCore(
            resource_limits(gateway, 1_000_000), asyncio.get_running_loop(), Log("g1")
        )
        store = Store(folder / "states", gateway.name)
        applier = StateApplier(core, gateway, store)
        core.start()
        try:
            return await work(applier, folder, fraction)
        finally:
            applier.stop_listening()
            core.stop()
            store.close()

    with tempfile.TemporaryDirectory(prefix="sailhitch-") as folder:
        return asyncio.run(main(Path(folder)))


# --- The decision module of a pool


class _NullPort:
    """A port that does nothing."""

    def send(self, req: int, server: str, timeout: int) -> None: ...
    def refuse(self, req: int, retry_after: int) -> None: ...
    def fail(self, req: int) -> None: ...
    def cancel(self, req: int, attempt: int) -> None: ...
    def set_timer(self, token: int, at: int) -> None: ...
    def watch(self, on: bool) -> None: ...
    def log(self, text: str) -> None: ...


def module_tenants(tenants: float) -> dict[str, float]:
    """Measure the memory of a pool's module by tenants, and the time to apply new settings."""
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
    started_at = time.process_time()
    for module in modules:
        module.reconfigure(200_000_000, changed)
    return {
        "pool_memory_bytes": held,
        "pool_reconfigure_ms": (time.process_time() - started_at) / POOLS * 1000,
    }


def _small_file() -> OperatorFile:
    value = full_state.operator_file(0.001, (), (), "g1", "state", "tier.key")
    return parse_value(value)


def _module(settings: Settings, seed: int) -> Gateway:
    module = Gateway(_NullPort(), settings, seed)
    module.start(100_000_000)
    listed = [
        Endpoint(f"h{i}", 1.0, 0, i, EndpointState.READY, 0, 0) for i in range(HOSTS_PER_SERVICE)
    ]
    module.on_watch_event(100_000_000, WatchEventKind.RESTORED, listed)
    return module


# --- Connections per host


class _Host:
    """The part of a host that `Subsetter` uses."""

    def __init__(self, hash_value: int) -> None:
        self.hash = hash_value

    def is_available(self, now: int) -> bool:
        return True

    def is_responding(self) -> bool:
        return True


def connections(gateways: float) -> dict[str, float]:
    """Count the gateways that reach each host of a service, and the hosts a gateway reaches."""
    draws = random.Random(1)
    hosts = [_Host(draws.getrandbits(64)) for _ in range(HOSTS_PER_SERVICE)]
    counts = dict.fromkeys((host.hash for host in hosts), 0)
    width = 0
    for gateway_number in range(int(gateways)):
        reach: Subsetter[_Host] = Subsetter(gateway_number, int(gateways))
        reach.set_servers(hosts, [])
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


# --- Operator commands


def commands(fraction: float) -> dict[str, float]:
    """Measure `sailhitch plan` and `apply` of one changed weight, against a real daemon."""
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
            daemon.wait(STOP_TIMEOUT)


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


# Runs the command, then prints its processor time and peak memory as the last line of stderr.
_METERED_COMMAND: Final = """
import json, sys, time
from benchmarks.scale.measurement import resident_bytes
from sailhitch.daemon.cli import main
code = main()
print(json.dumps([time.process_time(), resident_bytes("VmHWM")]), file=sys.stderr)
sys.exit(code)
"""
_SAILHITCH: Final = (sys.executable, "-c", _METERED_COMMAND)


def _run(*arguments: str, expected: int) -> tuple[float, int, float]:
    """Run a command; return its processor seconds, peak resident bytes and wall seconds."""
    started_at = time.perf_counter()
    done = subprocess.run([*_SAILHITCH, *arguments], capture_output=True, text=True, check=False)
    took = time.perf_counter() - started_at
    assert done.returncode == expected, f"{arguments[0]}: {done.returncode}: {done.stderr[-300:]}"
    processor, resident = json.loads(done.stderr.splitlines()[-1])
    return float(processor), int(resident), took


def _cpu_of(pid: int) -> float:
    """Return the processor seconds of all threads of a process (proc(5), schedstat)."""
    tasks = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(task.read_text().split()[0]) for task in tasks) / 1e9


_APPLIER_MODULE: Final = "daemon/state_applier.py"
_OVERLOAD_MODULE: Final = "policy/overload.py (tenants)"
MEASUREMENTS: Final = (
    Measurement(
        "switch",
        "gateway",
        "fraction",
        FRACTIONS,
        1.0,
        (
            Figure("first_switch_s", "s", "first switch, processor", _APPLIER_MODULE),
            Figure(
                "first_memory_bytes",
                "B",
                "memory held after it",
                f"{_APPLIER_MODULE}, {_OVERLOAD_MODULE}",
            ),
            Figure("switch_s", "s", "one weight, processor, all threads", _APPLIER_MODULE),
            Figure(
                "loop_s",
                "s",
                "of that on the loop's thread",
                f"{_APPLIER_MODULE}, {_OVERLOAD_MODULE}",
            ),
            Figure("peak_memory_bytes", "B", "most memory during both", _APPLIER_MODULE),
            Figure("after_memory_bytes", "B", "memory held after both", _APPLIER_MODULE),
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
            Figure("change_wall_s", "s", "one weight, wall", _APPLIER_MODULE),
            Figure(
                "longest_stall_s", "s", "longest time without a turn of the loop", _APPLIER_MODULE
            ),
            Figure("stalled_s", "s", "time in stalls of over 4 ms", _APPLIER_MODULE),
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
            Figure("pool_memory_bytes", "B", "one pool's module", _OVERLOAD_MODULE),
            Figure("pool_reconfigure_ms", "ms", "new settings for one pool", _OVERLOAD_MODULE),
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
            Figure("daemon_apply_cpu_s", "s", "an apply at the daemon", _APPLIER_MODULE),
            Figure("daemon_memory_bytes", "B", "a daemon's memory, no tier", _APPLIER_MODULE),
            Figure("daemon_peak_bytes", "B", "most of that in an apply", _APPLIER_MODULE),
            Figure("admin_text_bytes", "B", "the state on the admin socket", "daemon/admin.py"),
        ),
        commands,
    ),
)
