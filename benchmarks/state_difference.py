"""The cost of a state change by the size of the state: plan, check, encode, read, store.

    python benchmarks/state_difference.py [--sizes 1600 8000 16000] [--repeats 3] [--json]
    python benchmarks/state_difference.py --root CHECKOUT ...

Sizes are numbers of nodes; routes, tenants and pools are in proportion to the full size (16,000
nodes, 7,500 routes, 150,000 tenants, 280 pools). Two changes are made to each: one weight, and all
weights of one pool. Figures are milliseconds of processor time, the median of the repeats; waiting
for the disk is not included. `--root` measures another checkout with the same script; one without
page trees is measured with the whole state as the tier's content. Exit code 0.

    plan           `sailhitch plan`: live and wanted state share no objects, as both were parsed
    check          the gateway reads the plan and applies it to its live state
    contradictions between the live state and the new one
    summary        the log line on what changed
    encode         the proposer: the new state as the tier's content
    read           every gateway: the new state from the tier's content
    keep           storing the applied state on disk: prepare and commit
    encode whole, read whole, keep whole: the same without a previous state
    new bytes      of packed content that the change adds
"""

from __future__ import annotations

import argparse
import copy
import json
import statistics
import sys
import tempfile
import time
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

FULL = {"nodes": 16_000, "routes": 7_500, "tenants": 150_000, "pools": 280}
State = dict[str, dict[str, dict[str, Any]]]


def state_of(nodes: int) -> State:
    """Return a state, as from a checked file, with a number of nodes and the rest in proportion."""
    share = nodes / FULL["nodes"]
    counts = {kind: max(1, round(count * share)) for kind, count in FULL.items()}
    pools = counts["pools"]
    classes = {
        "page": _class("safe"),
        "payout": _class("unsafe"),
        "filing": _class("keyed"),
    }
    return {
        "listeners": {},
        "classes": classes,
        "tenants": {f"tenant-{i}": {"share": 1 / 1024} for i in range(counts["tenants"])},
        "pools": {
            f"service-{i}": {"connect_timeout": "250ms", "idle_timeout": "15s"}
            for i in range(pools)
        },
        "nodes": {
            f"service-{i % pools}/node-{i}": {
                "address": f"10.{i // 62_500}.{i // 250 % 250}.{1 + i % 250}:9000",
                "zone": f"zone-{i % 24}",
                "cell": "",
                "weight": 1.0,
            }
            for i in range(counts["nodes"])
        },
        "routes": {
            f"route-{i}": {
                "match": {
                    "path_prefix": f"/r{i}",
                    "host": None,
                    "methods": [],
                    "header": {},
                    "class": None,
                    "tenant": None,
                },
                "class": ("page", "payout", "filing")[i % 3],
                "pools": {f"service-{i % pools}": 1.0},
            }
            for i in range(counts["routes"])
        },
        "bans": {},
    }


def _class(effect: str) -> dict[str, Any]:
    return {
        "effect": effect,
        "aim": "1s",
        "deadline": "3s",
        "worth": 1.0,
        "late_worth": 0.0,
        "dedup": "cell",
        "window": None,
    }


def with_weights(state: State, names: list[str], weight: float) -> State:
    """Return the state with another weight for these nodes; the rest is shared with the old."""
    nodes = dict(state["nodes"])
    for name in names:
        nodes[name] = {**nodes[name], "weight": weight}
    return {**state, "nodes": nodes}


class Timer:
    """Measures the processor time of named operations in milliseconds."""

    def __init__(self) -> None:
        self.durations: dict[str, list[float]] = {}

    def run(self, name: str, work: Callable[[], Any]) -> Any:
        begun = time.process_time()
        result = work()
        self.durations.setdefault(name, []).append((time.process_time() - begun) * 1e3)
        return result

    def medians(self) -> dict[str, float]:
        return {name: round(statistics.median(all_), 2) for name, all_ in self.durations.items()}


class WholeStates:
    """Contents as they were before page trees: the whole state as canonical JSON."""

    def __init__(self) -> None:
        from sailhitch.daemon import state

        self._module = state

    def identity(self, state: State) -> str | None:
        return None

    def encode(self, base: Any, base_state: State, state: State) -> Any:
        return self._module.canonical(state)

    def encode_whole(self, state: State) -> Any:
        return self._module.canonical(state)

    def add(self, content: Any) -> int:
        return len(zlib.compress(content, 6))

    def read(self, base: Any, base_state: State, content: Any) -> State:
        return dict(json.loads(content))

    def read_whole(self, content: Any) -> State:
        return dict(json.loads(content))


class PageTrees:
    """Contents as page trees, with all pages in memory."""

    def __init__(self) -> None:
        from sailhitch import pages
        from sailhitch.daemon import plan, state_tree

        self._pages, self._plan, self._module = pages, plan, state_tree
        self._packed_pages: dict[str, bytes] = {}

    def page(self, digest: str) -> bytes:
        return bytes(self._pages.decompress(self._packed_pages[digest], self._pages.MAX_PAGE_BYTES))

    def identity(self, state: State) -> str | None:
        return str(self._plan.identity(state))

    def encode(self, base: Any, base_state: State, state: State) -> Any:
        return self._module.update_tree(self, base.root, base_state, state)

    def encode_whole(self, state: State) -> Any:
        return self._module.to_tree(state)

    def add(self, content: Any) -> int:
        packed = {one: self._pages.compress(raw) for one, raw in content.pages.items()}
        self._packed_pages.update(packed)
        return sum(map(len, packed.values()))

    def read(self, base: Any, base_state: State, content: Any) -> State:
        return dict(self._module.changed_state(base_state, base.root, self, content.root))

    def read_whole(self, content: Any) -> State:
        return dict(self._module.state_from(self, content.root))


def measure(size: int, repeats: int) -> dict[str, dict[str, float]]:
    """Return the milliseconds of each operation, for a change of one weight and of one pool's."""
    state = state_of(size)
    pool = sorted(name for name in state["nodes"] if name.startswith("service-0/"))
    return {
        "one weight": _measure_change(state, pool[:1], repeats),
        f"{len(pool)} weights": _measure_change(state, pool, repeats),
    }


def _measure_change(state: State, names: list[str], repeats: int) -> dict[str, float]:
    try:
        contents: Any = PageTrees()
    except ImportError:
        contents = WholeStates()
    timer = Timer()
    with tempfile.TemporaryDirectory() as folder:
        store = _StateStore(Path(folder), state, timer)
        base = timer.run("encode whole", lambda: contents.encode_whole(state))
        contents.add(base)
        timer.run("read whole", lambda: contents.read_whole(base))
        identity = contents.identity(state)
        new_bytes = 0
        for i in range(repeats):
            changed = _plan_and_check(state, names, 2.0 + i, identity, timer)
            content = timer.run("encode", lambda made=changed: contents.encode(base, state, made))
            new_bytes = contents.add(content)
            read = timer.run("read", lambda one=content: contents.read(base, state, one))
            assert read == changed
            store.keep(read)
        store.close()
    return {**timer.medians(), "new bytes": new_bytes}


def _plan_and_check(
    state: State, names: list[str], weight: float, identity: str | None, timer: Timer
) -> State:
    """Plan as the command does, check as the gateway does; return the new state."""
    from sailhitch.daemon.plan import compute_plan_result, diff, load_plan, make_plan, summary
    from sailhitch.daemon.rules import contradictions

    identities = () if identity is None else (identity,)
    live, wanted = copy.deepcopy(state), with_weights(copy.deepcopy(state), names, weight)
    text = timer.run("plan", lambda: make_plan("tier t", 1, live, wanted, *identities).dump())
    made: State = timer.run(
        "check", lambda: compute_plan_result(load_plan(text), "tier t", 1, state, *identities)
    )
    timer.run("contradictions", lambda: contradictions(state, made))
    timer.run("summary", lambda: summary(diff(state, made)))
    return made


class _StateStore:
    """A store on disk that holds the first state."""

    def __init__(self, folder: Path, state: State, timer: Timer) -> None:
        from sailhitch.daemon.store import AppliedState, Store, ignore_step

        self._applied, self._step = AppliedState, ignore_step
        self._store = Store(folder / "state", "g1")
        self._born = dict.fromkeys(state["nodes"], 0)
        self._timer, self._serial = timer, 0
        self._keep("keep whole", state)

    def keep(self, state: State) -> None:
        self._keep("keep", state)

    def _keep(self, name: str, state: State) -> None:
        self._serial += 1
        applied = self._applied(self._serial, 1, "t", state, "", dict(self._born))
        self._timer.run(name, lambda: self._write(applied))

    def _write(self, applied: Any) -> None:
        path = self._store.prepare(applied, self._step)
        self._store.commit(path, applied.serial, self._step)

    def close(self) -> None:
        self._store.close()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="*", default=[1_600, 8_000, 16_000])
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--root", type=Path, default=Path(__file__).resolve().parent.parent)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    sys.path.insert(0, str(options.root))
    for size in options.sizes:
        for change, figures in measure(size, options.repeats).items():
            if options.json:
                print(json.dumps({"nodes": size, "change": change, **figures}), flush=True)
            else:
                text = "  ".join(f"{name}={value:g}" for name, value in figures.items())
                print(f"{size:6} nodes, {change}: {text}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
