"""`make run`: the daemon on an example file, five simulated nodes, a short load and two faults.

    python -m sailhitch.lab.demo [--file FILE] [--seconds N] [--clients N] [--json]

Half-way through, one node is killed and another begins to reset connections after executing their
requests. Exits with 0 if no request was lost or executed twice, with 1 otherwise or if something
can't be started.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final

from ..daemon.admin import AdminError, ask
from ..daemon.schema import FileError, OperatorFile, load_file
from .load import CUT, FAILED, LOST, REFUSED, SERVED, Load
from .node import Fault, Memory, Node, executed_twice

EXAMPLE: Final = Path(__file__).resolve().parents[2] / "deploy/example.toml"
START_TIMEOUT: Final = 15.0  # s for the daemon to answer


class DemoError(Exception):
    """Something can't be started; the message says what."""


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the demo; returns the exit code."""
    parser = argparse.ArgumentParser(prog="sailhitch.lab.demo", description=__doc__)
    parser.add_argument("--file", type=Path, default=EXAMPLE)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--clients", type=int, default=24)
    parser.add_argument("--json", action="store_true", help="print the summary as JSON alone")
    options = parser.parse_args(arguments)
    try:
        operator_file = load_file(options.file)
        summary = asyncio.run(_run_demo(operator_file, options))
    except (DemoError, AdminError, FileError) as error:
        print(f"demo: {error}", file=sys.stderr)
        return 1
    _print_summary(summary, options.json)
    return 1 if summary[LOST] or summary["doubled"] else 0


async def _run_demo(operator_file: OperatorFile, options: argparse.Namespace) -> dict[str, Any]:
    nodes = await _start_nodes(operator_file)
    try:
        with tempfile.TemporaryDirectory(prefix="sailhitch-") as folder:
            return await _run_with_daemon(operator_file, nodes, folder, options)
    finally:
        for node in nodes.values():
            node.stop()


async def _start_nodes(operator_file: OperatorFile) -> dict[str, Node]:
    """Start a node at each address of the file; a pool's nodes share their dedup memory."""
    nodes: dict[str, Node] = {}
    for pool in operator_file.pools:
        memory = Memory()
        for node_config in pool.nodes:
            node = Node(0.01, workers=16, memory=memory, reports=True)
            try:
                await node.start(int(node_config.address.rpartition(":")[2]))
            except OSError as error:
                raise DemoError(
                    f"{node_config.id}: {node_config.address}: {error.strerror}"
                ) from None
            nodes[node_config.id] = node
    return nodes


async def _run_with_daemon(
    operator_file: OperatorFile, nodes: dict[str, Node], folder: str, options: argparse.Namespace
) -> dict[str, Any]:
    file = options.file.resolve()
    # The daemon runs in another folder, where a checkout's package can't be imported otherwise.
    env = os.environ | {"PYTHONPATH": str(Path(__file__).resolve().parents[2])}
    program = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "sailhitch.daemon.cli",
        "run",
        str(file),
        cwd=folder,
        env=env,
        stderr=asyncio.subprocess.PIPE if options.json else None,
    )
    try:
        socket = Path(folder) / (operator_file.gateway.admin or "g1.sock")
        await _wait_for_daemon(program, socket)
        return await _run_load(operator_file, nodes, socket, options)
    finally:
        if program.returncode is None:
            program.terminate()
        await program.wait()


async def _wait_for_daemon(program: asyncio.subprocess.Process, socket: Path) -> None:
    async with asyncio.timeout(START_TIMEOUT):
        while True:
            if program.returncode is not None:
                raise DemoError("the daemon did not start")
            try:
                await asyncio.to_thread(ask, socket, {"op": "state"}, 1.0)
                return
            except AdminError:
                await asyncio.sleep(0.05)


async def _run_load(
    operator_file: OperatorFile, nodes: dict[str, Node], socket: Path, options: argparse.Namespace
) -> dict[str, Any]:
    addr = operator_file.listeners[0].address
    loop = asyncio.get_running_loop()
    async with Load(addr, options.clients, pause=0.02) as load:
        started = loop.time()
        faults_injected = False
        while (now := loop.time() - started) < options.seconds:
            await asyncio.sleep(min(1.0, options.seconds - now))
            if not faults_injected and loop.time() - started >= options.seconds / 2:
                faults_injected = True
                _inject_faults(nodes, options.json)
            if not options.json:
                await _print_progress(load, socket)
        await load.finish()
    return _summary(load, nodes)


def _inject_faults(nodes: dict[str, Node], quiet: bool) -> None:
    (_, first), (name, second), *_ = nodes.items()
    count = iter(range(1 << 60))
    second.script = lambda request: Fault.RESET_AFTER if next(count) % 3 == 0 else None
    first.stop()
    if not quiet:
        print(f"-- {next(iter(nodes))} is killed; {name} resets a third of its connections")


async def _print_progress(load: Load, socket: Path) -> None:
    pools = (await asyncio.to_thread(ask, socket, {"op": "hosts"}, 5.0))["pools"]
    hosts = " ".join(
        f"{one['node']}={one['outstanding']}{'!' if one['failing'] else ''}"
        for nodes in pools.values()
        for one in nodes
    )
    ends = " ".join(f"{name}={load.ends[name]}" for name in (SERVED, REFUSED, FAILED, LOST))
    print(f"{ends}  out: {hosts}", flush=True)


def _summary(load: Load, nodes: dict[str, Node]) -> dict[str, Any]:
    duplicates = len(executed_twice(list(nodes.values()))) + sum(
        n > 1 for n in load.answers.values()
    )
    return {
        **{name: load.ends[name] for name in (SERVED, REFUSED, FAILED)},
        LOST: load.ends[LOST] + load.ends[CUT],
        "doubled": duplicates,
        "p50_ms": round(load.quantile(0.5) * 1000, 1),
        "p99_ms": round(load.quantile(0.99) * 1000, 1),
    }


def _print_summary(summary: dict[str, Any], as_json: bool) -> None:
    if as_json:
        print(json.dumps(summary))
        return
    print("\nserved  refused  failed  lost  doubled  p50 ms  p99 ms")
    print(
        f"{summary[SERVED]:6}  {summary[REFUSED]:7}  {summary[FAILED]:6}  {summary[LOST]:4}  "
        f"{summary['doubled']:7}  {summary['p50_ms']:6}  {summary['p99_ms']:6}"
    )


if __name__ == "__main__":
    sys.exit(main())
