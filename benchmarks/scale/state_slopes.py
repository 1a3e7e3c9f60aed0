"""Cost of a state by its size: as text, in memory, and to read, check, compare and store."""

from __future__ import annotations

import json
import random
import tempfile
import time
import tomllib
import zlib
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

from sailhitch.daemon.plan import diff, identity, make_plan
from sailhitch.daemon.rules import contradictions
from sailhitch.daemon.schema import parse_value, to_route
from sailhitch.daemon.state import State, canonical, digest, from_file, to_file
from sailhitch.daemon.state_tree import to_tree, update_tree
from sailhitch.daemon.store import AppliedState, Store, ignore_step
from sailhitch.daemon.version_states import VersionStates
from sailhitch.lab.files import toml_text
from sailhitch.tier.content_store import ContentStore, tree_digest
from sailhitch.tier.disk import Disk
from sailhitch.tier.messages import PageRequest
from sailhitch.tier.wire import Keys, Wire

from . import full_state
from .measurement import Figure, Measurement, allocated_bytes, processor_seconds

FRACTIONS: Final = (0.05, 0.1, 0.2, 0.4, 1.0)
GATEWAY_PART: Final[dict[str, Any]] = {
    "name": "g1",
    "state_dir": "state",
    "rate": full_state.RATE,
    "sockets": 16384,
    "memory_mb": 4096,
}
SOURCES: Final = 8  # members that a new member fetches from
TICK_INTERVAL: Final = 100_000  # us between two ticks of a member
FETCH_TIMEOUT: Final = 300_000_000  # us
KEYS: Final = Keys(1, {1: bytes(32)})


def one_weight_changed(state: State) -> State:
    """Return the state with the weight of one host changed; all else is shared."""
    name = next(iter(state["nodes"]))
    node = {**state["nodes"][name], "weight": state["nodes"][name]["weight"] + 0.5}
    return {**state, "nodes": {**state["nodes"], name: node}}


def service_changed(state: State) -> State:
    """Return the state with the weights of all hosts of one service changed."""
    pool = next(iter(state["pools"]))
    nodes = {
        name: {**node, "weight": node["weight"] + 0.5} if name.startswith(f"{pool}/") else node
        for name, node in state["nodes"].items()
    }
    return {**state, "nodes": nodes}


def deep_copy(state: State) -> State:
    """Return a copy that shares no objects with the state, as when read from the admin socket."""
    copy: State = json.loads(canonical(state))
    return copy


def text(fraction: float) -> dict[str, float]:
    """Measure the canonical text and its compression."""
    state = full_state.state(fraction)
    made = canonical(state)
    return {
        "canonical_bytes": len(made),
        "packed_bytes": len(zlib.compress(made, 6)),
        "encode_s": processor_seconds(lambda: digest(state)),
        "pack_s": processor_seconds(lambda: zlib.compress(made, 6)),
        "decode_s": processor_seconds(lambda: json.loads(made)),
        "memory_bytes": allocated_bytes(lambda: json.loads(made)),
    }


def read_file(fraction: float) -> dict[str, float]:
    """Measure reading an operator file, from TOML to a state."""
    value = full_state.operator_file(fraction, (), (), "g1", "state", "tier.key")
    toml = toml_text(value)
    checked = parse_value(value)
    return {
        "toml_bytes": len(toml),
        "toml_s": processor_seconds(lambda: tomllib.loads(toml), 1),
        "schema_s": processor_seconds(lambda: parse_value(value), 1),
        "from_file_s": processor_seconds(lambda: from_file(checked), 1),
    }


def compare(fraction: float) -> dict[str, float]:
    """Measure each comparison of two states that differ in one weight."""
    old = full_state.state(fraction)
    new = one_weight_changed(old)  # shares objects with it, as a version read from the tier does
    unshared_copy = deep_copy(new)
    old_identity = identity(old)
    kinds = ("routes", "classes", "tenants")
    return {
        "plan_s": processor_seconds(
            lambda: make_plan("g1", 1, old, unshared_copy, old_identity), 2
        ),
        "identity_s": processor_seconds(lambda: identity(old), 1),
        "diff_s": processor_seconds(lambda: diff(old, new), 2),
        "contradictions_s": processor_seconds(lambda: contradictions(old, new), 2),
        "check_s": processor_seconds(lambda: to_file(new, GATEWAY_PART), 1),
        "equal_s": processor_seconds(lambda: [old[kind] == new[kind] for kind in kinds], 2),
        "plan_text_bytes": len(make_plan("g1", 1, old, new).dump()),
        "service_plan_text_bytes": len(make_plan("g1", 1, old, service_changed(old)).dump()),
    }


def keep(fraction: float) -> dict[str, float]:
    """Measure storing an applied state that differs from the stored one in one weight."""
    old = full_state.state(fraction)
    new = one_weight_changed(old)
    born = dict.fromkeys(old["nodes"], 0)
    with tempfile.TemporaryDirectory(prefix="sailhitch-") as folder:
        store = Store(Path(folder), "g1")
        _commit(store, AppliedState(1, 1, "bench", old, "", born))
        before = _disk_bytes(Path(folder))
        started_at = time.process_time()
        _commit(store, AppliedState(2, 2, "bench", new, "1 to alter", born))
        took = time.process_time() - started_at
        grown = _disk_bytes(Path(folder)) - before
        store.close()
    return {"store_s": took, "store_bytes": grown}


def _commit(store: Store, applied: AppliedState) -> None:
    store.commit(store.prepare(applied, ignore_step), applied.serial, ignore_step)


def _disk_bytes(folder: Path) -> int:
    return sum(path.stat().st_size for path in folder.rglob("*") if path.is_file())


def fetch(fraction: float) -> dict[str, float]:
    """Measure fetching a version with one changed weight, and a whole state by a new member."""
    old = {**full_state.state(fraction), "listeners": {}}
    new = one_weight_changed(old)
    base = to_tree(old)
    target, newcomer = ContentStore({}), ContentStore({})
    sources = [ContentStore({}) for _ in range(SOURCES)]
    source = sources[0]
    before = VersionStates()
    for store in (*sources, target):
        store.add(base)
    known = before.read(target, tree_digest(base.root))
    started_at = time.process_time()
    name, _ = source.add(update_tree(source, base.root, old, new))
    add_s = time.process_time() - started_at
    change = _fetch([source], target, name)
    started_at = time.process_time()
    read = before.read(target, name)
    read_s = time.process_time() - started_at
    assert read == new, "the fetched state differs from the changed state"
    assert known == old, "the state read first differs from the stored state"
    whole = _fetch(sources, newcomer, tree_digest(base.root))
    service, _ = source.add(update_tree(source, base.root, old, service_changed(old)))
    return {
        "service_fetch_bytes": _fetch([source], target, service).bytes,
        "add_s": add_s,
        "read_s": read_s,
        "fetch_s": change.processor_s,
        "fetch_bytes": change.bytes,
        "fetch_datagrams": change.datagrams,
        "whole_fetch_s": whole.processor_s,
        "whole_fetch_bytes": whole.bytes,
        "whole_fetch_time_s": whole.now / 1e6,
        **_disk_of_content(change.kept),
    }


@dataclass
class _FetchCost:
    """Cost of a fetch, at both ends."""

    kept: dict[str, bytes] = field(default_factory=dict)
    processor_s: float = 0.0
    bytes: int = 0
    datagrams: int = 0
    now: int = 0  # us; only byte budgets take time here, not the network


def _fetch(sources: Sequence[ContentStore], target: ContentStore, name: str) -> _FetchCost:
    """Fetch a content over sealed datagrams without network delay. Raises AssertionError."""
    rng, found = random.Random(1), _FetchCost()
    names = [f"source-{i}" for i in range(len(sources))]
    stores = dict(zip(names, sources, strict=True))
    wires = {one: Wire(KEYS, one, 1) for one in names}
    target_wire = Wire(KEYS, "target", 2)

    def transmit(sender: Wire, receiver: Wire, message: Any) -> Any:
        data = sender.seal(receiver.name, message)
        envelope = receiver.open(data)
        assert envelope is not None, receiver.refused
        found.bytes += len(data)
        found.datagrams += 1
        return envelope.message

    target.fetch(name, names[0])
    started_at = time.process_time()
    while not target.has(name):
        assert found.now < FETCH_TIMEOUT, f"{name}: not fetched"
        found.now += TICK_INTERVAL
        asked = deque(_page_requests(target, found.now, rng, [names]))
        while asked:
            source, request = asked.popleft()
            source_wire = wires[source]
            for reply in stores[source].answer_pages(
                transmit(target_wire, source_wire, request), found.now
            ):
                arrival = target.on_page_reply(
                    source, transmit(source_wire, target_wire, reply), found.now
                )
                found.kept.update(arrival.new_items)
                asked += _page_requests(target, found.now, rng, None)
    found.processor_s = time.process_time() - started_at
    return found


def _page_requests(
    store: ContentStore, now: int, rng: random.Random, others: list[list[str]] | None
) -> list[tuple[str, PageRequest]]:
    """Return the page requests that a store sends now, at a tick or after a reply."""
    return [
        (source, request)
        for source, request in store.requests(now, rng, others)
        if isinstance(request, PageRequest)
    ]


def _disk_of_content(kept: dict[str, bytes]) -> dict[str, float]:
    with tempfile.TemporaryDirectory(prefix="sailhitch-") as folder:
        disk = Disk(Path(folder))
        before = _disk_bytes(Path(folder))
        started_at = time.process_time()
        disk.write(dict(kept))
        took = time.process_time() - started_at
        grown = _disk_bytes(Path(folder)) - before
        disk.close()
    return {"tier_disk_s": took, "tier_disk_bytes": grown}


def routes(fraction: float) -> dict[str, float]:
    """Measure the lookup table of routes."""
    from sailhitch.daemon.routes import RouteQuery, Routes

    made = parse_value(full_state.operator_file(fraction, (), (), "g1", "state", "tier.key"))
    parts = [to_route(part) for part in made.routes]
    table = Routes(parts)
    picks = random.Random(1).choices(parts, k=2000)
    asked = [
        RouteQuery(
            next(iter(route.match.methods), "GET"),
            route.match.path_prefix,
            route.match.host or "",
            {},
            None,
            route.match.tenant,
        )
        for route in picks
    ]
    took = processor_seconds(lambda: [table.find(one) for one in asked])
    return {
        "build_s": processor_seconds(lambda: Routes([to_route(part) for part in made.routes])),
        "table_bytes": allocated_bytes(lambda: Routes([to_route(part) for part in made.routes])),
        "lookup_us": took / len(asked) * 1e6,
    }


_STATE: Final = "daemon/state.py, tier/content_store.py"
MEASUREMENTS: Final = (
    Measurement(
        "text",
        "gateway",
        "fraction",
        FRACTIONS,
        1.0,
        (
            Figure("canonical_bytes", "B", "canonical text of the state", "daemon/state.py"),
            Figure("packed_bytes", "B", "the same, packed", _STATE),
            Figure("encode_s", "s", "canonical text and digest", "daemon/state.py"),
            Figure("pack_s", "s", "packing (zlib)", "tier/content_store.py"),
            Figure("decode_s", "s", "text to a state", "daemon/version_states.py"),
            Figure("memory_bytes", "B", "one state in memory", "daemon/state.py"),
        ),
        text,
    ),
    Measurement(
        "read_file",
        "operator",
        "fraction",
        FRACTIONS,
        1.0,
        (
            Figure("toml_bytes", "B", "operator file", "daemon/schema.py"),
            Figure("toml_s", "s", "TOML to values", "daemon/schema.py"),
            Figure("schema_s", "s", "schema check", "daemon/schema.py"),
            Figure("from_file_s", "s", "checked file to state", "daemon/state.py"),
        ),
        read_file,
    ),
    Measurement(
        "compare",
        "gateway",
        "fraction",
        FRACTIONS,
        1.0,
        (
            Figure("plan_s", "s", "plan of one weight", "daemon/plan.py"),
            Figure("identity_s", "s", "a state named, where no tree is at hand", "daemon/plan.py"),
            Figure("diff_s", "s", "the changes alone (an apply's summary)", "daemon/plan.py"),
            Figure("contradictions_s", "s", "contradictions of one weight", "daemon/rules.py"),
            Figure("check_s", "s", "check of a decided state", "daemon/state.py (to_file)"),
            Figure(
                "equal_s", "s", "routes, classes, tenants compared", "daemon/version_applier.py"
            ),
            Figure("plan_text_bytes", "B", "plan of one weight, text", "daemon/plan.py"),
            Figure("service_plan_text_bytes", "B", "plan of a service, text", "daemon/plan.py"),
        ),
        compare,
    ),
    Measurement(
        "keep",
        "gateway",
        "fraction",
        FRACTIONS,
        1.0,
        (
            Figure("store_s", "s", "an applied state kept", "daemon/store.py"),
            Figure("store_bytes", "B", "disk for one more kept state", "daemon/store.py"),
        ),
        keep,
    ),
    Measurement(
        "fetch",
        "gateway",
        "fraction",
        FRACTIONS,
        1.0,
        (
            Figure("add_s", "s", "the new pages made and packed", "tier/content_store.py"),
            Figure("read_s", "s", "a fetched version read", "daemon/version_states.py"),
            Figure("fetch_s", "s", "both ends of a fetch", "tier/page_fetcher.py, wire.py"),
            Figure("fetch_bytes", "B", "a fetch, both ways", "tier/page_fetcher.py"),
            Figure("fetch_datagrams", "1", "datagrams of a fetch", "tier/page_fetcher.py"),
            Figure("service_fetch_bytes", "B", "all of a service", "tier/page_fetcher.py"),
            Figure("whole_fetch_s", "s", "both ends, all of it", "tier/page_fetcher.py"),
            Figure("whole_fetch_bytes", "B", "all of it, both ways", "tier/page_fetcher.py"),
            Figure("whole_fetch_time_s", "s", "by the byte budgets", "tier/token_bucket.py"),
            Figure("tier_disk_s", "s", "content to the tier's disk", "tier/disk.py"),
            Figure("tier_disk_bytes", "B", "disk of one content", "tier/disk.py"),
        ),
        fetch,
    ),
    Measurement(
        "routes",
        "gateway",
        "fraction",
        FRACTIONS,
        1.0,
        (
            Figure("build_s", "s", "route table built", "daemon/routes.py"),
            Figure("table_bytes", "B", "route table in memory", "daemon/routes.py"),
            Figure("lookup_us", "us", "one lookup", "daemon/routes.py"),
        ),
        routes,
    ),
)
