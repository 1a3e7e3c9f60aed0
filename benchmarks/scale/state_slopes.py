"""What a state costs by its size: as text, in memory, read, checked, compared and kept."""

from __future__ import annotations

import json
import random
import tempfile
import time
import tomllib
import zlib
from pathlib import Path
from typing import Any, Final

from sailhitch.daemon.plan import diff, make_plan
from sailhitch.daemon.rules import contradictions
from sailhitch.daemon.schema import as_route, parse_value
from sailhitch.daemon.state import State, canonical, digest, from_file, to_file
from sailhitch.daemon.store import Applied, Store, unwatched
from sailhitch.lab.files import toml_text
from sailhitch.tier.content_store import ContentStore
from sailhitch.tier.disk import Disk
from sailhitch.tier.messages import BlockRequest
from sailhitch.tier.wire import Keys, Wire

from . import full_state
from .measurement import Figure, Measurement, allocated_bytes, processor_seconds

FRACTIONS: Final = (0.05, 0.1, 0.2, 0.4, 1.0)
GATEWAY_PART: Final[dict[str, Any]] = {
    "name": "g1", "state_dir": "state", "rate": full_state.RATE, "sockets": 16384,
    "memory_mb": 4096,
}  # fmt: skip
KEYS: Final = Keys(1, {1: bytes(32)})


def one_weight_changed(state: State) -> State:
    """The state with another weight of one host, as a change of one weight gives it."""
    name = next(iter(state["nodes"]))
    node = {**state["nodes"][name], "weight": state["nodes"][name]["weight"] + 0.5}
    return {**state, "nodes": {**state["nodes"], name: node}}


def service_changed(state: State) -> State:
    """The state with other weights of all hosts of one service."""
    pool = next(iter(state["pools"]))
    nodes = {
        name: {**node, "weight": node["weight"] + 0.5} if name.startswith(f"{pool}/") else node
        for name, node in state["nodes"].items()
    }
    return {**state, "nodes": nodes}


def as_read(state: State) -> State:
    """The state as a member reads it from a content: with objects of its own."""
    read: State = json.loads(canonical(state))
    return read


def text(fraction: float) -> dict[str, float]:
    """The canonical text, and its packing."""
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
    """An operator file, from TOML to a state."""
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
    """One weight changed: what each comparison of the two states takes."""
    old = full_state.state(fraction)
    new = as_read(one_weight_changed(old))
    kinds = ("routes", "classes", "tenants")
    return {
        "plan_s": processor_seconds(lambda: make_plan("g1", 1, old, new), 2),
        "diff_s": processor_seconds(lambda: diff(old, new), 2),
        "contradictions_s": processor_seconds(lambda: contradictions(old, new), 2),
        "check_s": processor_seconds(lambda: to_file(new, GATEWAY_PART), 1),
        "equal_s": processor_seconds(lambda: [old[kind] == new[kind] for kind in kinds], 2),
        "plan_text_bytes": len(make_plan("g1", 1, old, new).dump()),
        "service_plan_text_bytes": len(make_plan("g1", 1, old, service_changed(old)).dump()),
    }


def keep(fraction: float) -> dict[str, float]:
    """One more applied state on disk, one weight from the last; and the tier's content."""
    old = full_state.state(fraction)
    new = one_weight_changed(old)
    born = dict.fromkeys(old["nodes"], 0)
    with tempfile.TemporaryDirectory(prefix="sailhitch-") as folder:
        store = Store(Path(folder), "g1")
        _commit(store, Applied(1, 1, "bench", old, "", born))
        before = _disk_bytes(Path(folder))
        begun = time.process_time()
        _commit(store, Applied(2, 2, "bench", new, "1 to alter", born))
        took = time.process_time() - begun
        grown = _disk_bytes(Path(folder)) - before
        store.close()
    return {"store_s": took, "store_bytes": grown}


def _commit(store: Store, applied: Applied) -> None:
    store.commit(store.prepare(applied, unwatched), applied.serial, unwatched)


def _disk_bytes(folder: Path) -> int:
    return sum(path.stat().st_size for path in folder.rglob("*") if path.is_file())


def fetch(fraction: float) -> dict[str, float]:
    """A member gets a version in which one weight has changed, from another that has it."""
    old = full_state.state(fraction)
    source, target = ContentStore({}), ContentStore({})
    content = canonical({**one_weight_changed(old), "listeners": {}})
    begun = time.process_time()
    name, packed = source.add(content)
    add_s = time.process_time() - begun
    there, here = Wire(KEYS, "source", 1), Wire(KEYS, "target", 2)
    sent = datagrams = now = 0
    target.want(name, "source")
    begun = time.process_time()
    while not target.has(name):
        now += 1000
        for _, request in target.asks(now, (), 0):
            data = here.seal("source", request)
            envelope = there.open(data)
            assert envelope is not None
            assert isinstance(envelope.message, BlockRequest)
            block = source.answer(envelope.message)
            assert block is not None
            answer = there.seal("target", block)
            opened = here.open(answer)
            assert opened is not None
            target.take(opened.message)  # type: ignore[arg-type]
            datagrams += 2
            sent += len(data) + len(answer)
    fetched_s = time.process_time() - begun
    read_s = processor_seconds(lambda: json.loads(target.read(name)))
    return {
        "add_s": add_s,
        "read_s": read_s, "fetch_s": fetched_s, "fetch_bytes": sent, "fetch_datagrams": datagrams,
        **_disk_of_content(name, packed),
    }  # fmt: skip


def _disk_of_content(name: str, packed: bytes) -> dict[str, float]:
    with tempfile.TemporaryDirectory(prefix="sailhitch-") as folder:
        disk = Disk(Path(folder))
        before = _disk_bytes(Path(folder))
        begun = time.process_time()
        disk.write({f"content/{name}": packed})
        took = time.process_time() - begun
        grown = _disk_bytes(Path(folder)) - before
        disk.close()
    return {"tier_disk_s": took, "tier_disk_bytes": grown}


def routes(fraction: float) -> dict[str, float]:
    """The lookup table of routes."""
    from sailhitch.daemon.routes import Asked, Routes

    made = parse_value(full_state.operator_file(fraction, (), (), "g1", "state", "tier.key"))
    parts = [as_route(part) for part in made.routes]
    table = Routes(parts)
    picks = random.Random(1).choices(parts, k=2000)
    asked = [
        Asked(
            next(iter(route.match.methods), "GET"), route.match.path_prefix,
            route.match.host or "", {}, None, route.match.tenant,
        )
        for route in picks
    ]  # fmt: skip
    took = processor_seconds(lambda: [table.find(one) for one in asked])
    return {
        "build_s": processor_seconds(lambda: Routes([as_route(part) for part in made.routes])),
        "table_bytes": allocated_bytes(lambda: Routes([as_route(part) for part in made.routes])),
        "lookup_us": took / len(asked) * 1e6,
    }


_STATE: Final = "daemon/state.py, tier/content_store.py"
MEASUREMENTS: Final = (
    Measurement(
        "text", "gateway", "fraction", FRACTIONS, 1.0,
        (
            Figure("canonical_bytes", "B", "canonical text of the state", "daemon/state.py"),
            Figure("packed_bytes", "B", "the same, packed", _STATE),
            Figure("encode_s", "s", "canonical text and digest", "daemon/state.py"),
            Figure("pack_s", "s", "packing (zlib)", "tier/content_store.py"),
            Figure("decode_s", "s", "text to a state", "daemon/tiered.py"),
            Figure("memory_bytes", "B", "one state in memory", "daemon/state.py"),
        ),
        text,
    ),
    Measurement(
        "read_file", "operator", "fraction", FRACTIONS, 1.0,
        (
            Figure("toml_bytes", "B", "operator file", "daemon/schema.py"),
            Figure("toml_s", "s", "TOML to values", "daemon/schema.py"),
            Figure("schema_s", "s", "schema check", "daemon/schema.py"),
            Figure("from_file_s", "s", "checked file to state", "daemon/state.py"),
        ),
        read_file,
    ),
    Measurement(
        "compare", "gateway", "fraction", FRACTIONS, 1.0,
        (
            Figure("plan_s", "s", "plan of one weight", "daemon/plan.py"),
            Figure("diff_s", "s", "the changes alone (an apply's summary)", "daemon/plan.py"),
            Figure("contradictions_s", "s", "contradictions of one weight", "daemon/rules.py"),
            Figure("check_s", "s", "check of a decided state", "daemon/state.py (to_file)"),
            Figure("equal_s", "s", "routes, classes, tenants compared", "daemon/tiered.py"),
            Figure("plan_text_bytes", "B", "plan of one weight, text", "daemon/plan.py"),
            Figure("service_plan_text_bytes", "B", "plan of a service, text", "daemon/plan.py"),
        ),
        compare,
    ),
    Measurement(
        "keep", "gateway", "fraction", FRACTIONS, 1.0,
        (
            Figure("store_s", "s", "an applied state kept", "daemon/store.py"),
            Figure("store_bytes", "B", "disk for one more kept state", "daemon/store.py"),
        ),
        keep,
    ),
    Measurement(
        "fetch", "gateway", "fraction", FRACTIONS, 1.0,
        (
            Figure("add_s", "s", "content digested and packed", "tier/content_store.py"),
            Figure("read_s", "s", "a fetched version read", "daemon/tiered.py"),
            Figure("fetch_s", "s", "both ends of a fetch", "tier/content_store.py, wire.py"),
            Figure("fetch_bytes", "B", "a fetch, both ways", "tier/content_store.py"),
            Figure("fetch_datagrams", "1", "datagrams of a fetch", "tier/content_store.py"),
            Figure("tier_disk_s", "s", "content to the tier's disk", "tier/disk.py"),
            Figure("tier_disk_bytes", "B", "disk of one content", "tier/disk.py"),
        ),
        fetch,
    ),
    Measurement(
        "routes", "gateway", "fraction", FRACTIONS, 1.0,
        (
            Figure("build_s", "s", "route table built", "daemon/routes.py"),
            Figure("table_bytes", "B", "route table in memory", "daemon/routes.py"),
            Figure("lookup_us", "us", "one lookup", "daemon/routes.py"),
        ),
        routes,
    ),
)  # fmt: skip
