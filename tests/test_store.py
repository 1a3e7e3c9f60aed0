"""Applied states on disk as pages: their cost, damage to them, and the release of pages."""

from __future__ import annotations

import json
import os
import signal
import sqlite3
import subprocess
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from sailhitch.daemon.page_file import FILE_NAME, PageFile, PageFileError, Root
from sailhitch.daemon.state import EMPTY, State, digest
from sailhitch.daemon.store import MAX_STATES, AppliedState, Store, StoreError, ignore_step
from sailhitch.pages import MAX_PAGE_BYTES, child_digests, compress

NODES = 5000
MOST_BYTES_A_CHANGE = 5 * 1024  # on disk, for a state that differs from the one before in a weight


def _state(count: int = 300) -> State:
    nodes = {
        f"p{i // 50}/n{i}": {
            "address": f"10.{i // 62_500}.{i // 250 % 250}.{i % 250}:80",
            "cell": "c",
            "weight": 1.0,
            "zone": f"z{i % 8}",
        }
        for i in range(count)
    }
    pools = {f"p{i}": {"connect_timeout": "250ms"} for i in range(-(-count // 50))}
    return {**EMPTY, "nodes": nodes, "pools": pools}


def _weighted(state: State, name: str, weight: float) -> State:
    node = {**state["nodes"][name], "weight": weight}
    return {**state, "nodes": {**state["nodes"], name: node}}


def _applied(serial: int, state: State) -> AppliedState:
    new_since = {name: 7 + i for i, name in enumerate(state["nodes"])}
    return AppliedState(serial, 1_000 + serial, "t", state, f"change {serial}", new_since)


def _keep(store: Store, applied: AppliedState, step: Callable[[str], None] = ignore_step) -> None:
    store.commit(store.prepare(applied, step), applied.serial, step)


def _states(count: int) -> Iterator[AppliedState]:
    """Yield states, each with the weight of one node changed."""
    state = _state()
    for serial in range(1, count + 1):
        yield _applied(serial, state)
        state = _weighted(state, f"p{serial % 6}/n{serial % 6 * 50}", 1.0 + serial)


@pytest.fixture
def store(tmp_path: Path) -> Iterator[Store]:
    one = Store(tmp_path / "state", "g1")
    yield one
    one.close()


def _reopened(store: Store) -> Store:
    """Return the same directory, opened again."""
    store.close()
    return Store(store.path, "g1")


def _reachable(store: Store) -> set[str]:
    """Return the digests of all pages that are reachable from the kept roots."""
    found: set[str] = set()
    queue = [root.digest for root in store.pages.roots()]
    while queue:
        one = queue.pop()
        if one not in found:
            found.add(one)
            queue += child_digests(store.pages.page(one))
    return found


def _stored_pages(store: Store) -> set[str]:
    return {row[0].hex() for row in store.pages._db.execute("SELECT digest FROM pages")}


def _damage(store: Store, statement: str, *values: Any) -> None:
    """Change the pages of a closed store."""
    db = sqlite3.connect(store.path / FILE_NAME)
    with db:
        assert db.execute(statement, values).rowcount > 0
    db.close()


# --- Storing and releasing


def test_states_are_read_back_as_they_were_also_by_another_process(store: Store) -> None:
    states = list(_states(8))
    for applied in states:
        _keep(store, applied)
    for applied in states:
        assert store.read(applied.serial) == applied
    again = _reopened(store)
    for applied in states:
        assert again.read(applied.serial) == applied
    assert again.last() == states[-1]
    for applied in states:
        assert again.read(applied.serial) == applied
    assert again.history() == [applied.record() for applied in states]
    again.close()


def test_a_state_that_shares_no_object_with_the_latest_is_stored_completely(store: Store) -> None:
    """This happens after a restart without a read, or if a change copies all objects."""
    states = list(_states(3))
    _keep(store, states[0])
    again = _reopened(store)
    _keep(again, states[1])
    copy = json.loads(json.dumps(states[2].state))
    _keep(again, AppliedState(3, 1, "t", copy, "", dict(states[2].new_since)))
    assert again.read(2) == states[1]
    assert again.read(3).state == states[2].state
    assert _stored_pages(again) == _reachable(again)
    again.close()


def test_fifty_states_cost_what_changed_between_them(store: Store) -> None:
    state = _state(NODES)
    _keep(store, _applied(1, state))
    one = _size(store)
    for serial in range(2, MAX_STATES + 1):
        name = f"p{serial}/n{serial * 50}"
        state = _weighted(state, name, float(serial))
        _keep(store, _applied(serial, state))
    assert len(store.serials()) == MAX_STATES
    assert _size(store) - one < (MAX_STATES - 1) * MOST_BYTES_A_CHANGE
    assert _size(store) < MAX_STATES * one / 10
    assert store.read(2).state["nodes"]["p2/n100"]["weight"] == 2.0
    assert store.read(2).state["nodes"]["p50/n2500"]["weight"] == 1.0


def _size(store: Store) -> int:
    return sum(path.stat().st_size for path in store.path.iterdir())


def test_pages_that_no_kept_state_needs_are_released(
    store: Store, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("sailhitch.daemon.store.MAX_STATES", 3)
    states = list(_states(9))
    for applied in states:
        _keep(store, applied)
        assert _stored_pages(store) == _reachable(store)
    assert store.serials() == [7, 8, 9]
    assert {root.serial for root in store.pages.roots()} == {7, 8, 9}
    for applied in states[-3:]:
        assert store.read(applied.serial) == applied


def test_a_repeated_state_keeps_its_pages_when_its_earlier_serial_is_released(
    store: Store, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("sailhitch.daemon.store.MAX_STATES", 2)
    first, other = list(_states(2))
    for serial in range(1, 8):
        one = first if serial % 2 else other
        _keep(store, AppliedState(serial, 1, "t", one.state, "", one.new_since))
        assert _stored_pages(store) == _reachable(store)
    assert store.read(7).state == first.state
    assert store.read(6).state == other.state


def test_a_serial_that_is_written_again_keeps_only_its_last_state(store: Store) -> None:
    """A tier's daemon writes the active version at each start, under the same serial."""
    first, other = list(_states(2))
    _keep(store, first)
    _keep(store, first)
    assert store.read(1) == first
    _keep(store, AppliedState(1, 5, "t", other.state, "", other.new_since))
    assert store.read(1).state == other.state
    assert _stored_pages(store) == _reachable(store)
    assert len(store.pages.roots()) == 2


# --- Format 1, of earlier versions


def _write_format_1(path: Path, applied: AppliedState) -> Path:
    """Write a state file of format 1, which contains the full state."""
    value = {
        "format": 1,
        "gateway": "g1",
        "serial": applied.serial,
        "when": applied.applied_at,
        "by": applied.applied_by,
        "summary": applied.summary,
        "born": dict(applied.new_since),
        "state": applied.state,
    }
    file = path / f"state-{applied.serial:08d}.json"
    file.write_text(json.dumps({**value, "digest": digest(value)}, separators=(",", ":")))
    return file


def test_files_of_format_1_are_read_and_never_rewritten(store: Store) -> None:
    states = list(_states(4))
    files = [_write_format_1(store.path, applied) for applied in states[:2]]
    before = [file.read_bytes() for file in files]
    assert store.last() == states[1]
    for applied in states[2:]:
        _keep(store, applied)
    again = _reopened(store)
    assert again.last() == states[3]
    assert [again.read(applied.serial) for applied in states] == states
    assert again.history() == [applied.record() for applied in states]
    assert [file.read_bytes() for file in files] == before
    files[0].write_bytes(before[0].replace(b"change 1", b"change 9"))
    with pytest.raises(StoreError, match="damaged, its digest is wrong; remove it"):
        again.read(1)
    again.close()


def test_a_start_reads_at_most_one_file_of_format_1(
    store: Store, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each contains a full state: reading fifty of full size would take half a minute."""
    states = list(_states(5))
    for one in states[:3]:
        _write_format_1(store.path, one)
    real, read = Store._manifest, list[int]()

    def record_read(one: Store, serial: int) -> dict[str, Any]:
        read.append(serial)
        return real(one, serial)

    monkeypatch.setattr(Store, "_manifest", record_read)
    assert store.last() == states[2]
    assert read == [3]
    for one in states[3:]:
        _keep(store, one)
    again = _reopened(store)
    read.clear()
    assert again.last() == states[4]
    assert sorted(read) == [4, 5, 5]
    again.close()


# --- Damage


@pytest.mark.parametrize(
    ("statement", "expected"),
    [
        ("UPDATE pages SET packed = substr(packed, 1, length(packed) / 2)", "ends too early"),
        ("UPDATE pages SET packed = x'00'", "compressed page"),
        ("DELETE FROM pages", "its page .* is missing from"),
    ],
)
def test_a_damaged_page_is_reported_with_a_remedy(
    store: Store, statement: str, expected: str
) -> None:
    for one in _states(2):
        _keep(store, one)
    root = json.loads((store.path / "state-00000002.json").read_bytes())["root"]
    for where in ("hex(digest) = ?", "hex(digest) != ?"):
        fresh = _reopened(store)
        fresh.close()
        original = (store.path / FILE_NAME).read_bytes()
        _damage(store, f"{statement} WHERE {where}", root.upper())
        damaged = Store(store.path, "g1")
        with pytest.raises(StoreError, match=rf"{expected}.*remove it to continue from serial 1"):
            damaged.last()
        damaged.close()
        (store.path / FILE_NAME).write_bytes(original)


def test_a_page_under_the_digest_of_another_is_detected(store: Store) -> None:
    states = list(_states(2))
    for one in states:
        _keep(store, one)
    roots = [
        json.loads((store.path / f"state-0000000{n}.json").read_bytes())["root"] for n in (1, 2)
    ]
    other = store.pages.page(roots[0])
    store.close()
    _damage(
        store,
        "UPDATE pages SET packed = ? WHERE hex(digest) = ?",
        compress(other),
        roots[1].upper(),
    )
    damaged = Store(store.path, "g1")
    with pytest.raises(StoreError, match=r"damaged, in .*remove it to continue from serial 1"):
        damaged.last()
    # After following the error's advice, the earlier state is intact, and so is the next one.
    (store.path / "state-00000002.json").unlink()
    assert damaged.last() == states[0]
    _keep(damaged, states[1])
    assert damaged.read(2) == states[1]
    again = _reopened(damaged)
    assert again.last() == states[1]
    again.close()


def test_storing_a_complete_state_repairs_damaged_pages(store: Store) -> None:
    states = list(_states(2))
    _keep(store, states[0])
    store.close()
    _damage(store, "UPDATE pages SET packed = x'00'")
    again = Store(store.path, "g1")
    _keep(again, states[1])  # this store has read nothing, so it writes the complete state
    assert again.read(2) == states[1]
    again.close()


def test_a_page_file_that_is_not_a_database_is_reported(tmp_path: Path) -> None:
    path = tmp_path / "state"
    path.mkdir()
    (path / FILE_NAME).write_bytes(b"no database at all" * 100)
    with pytest.raises(StoreError, match=r"pages.sqlite3: damaged \(.*move it and the state files"):
        Store(path, "g1")
    (path / FILE_NAME).unlink()
    store = Store(path, "g1")  # the lock was released
    store.close()


def test_a_full_page_file_leaves_the_old_state(store: Store) -> None:
    states = list(_states(2))
    _keep(store, states[0])
    before = _stored_pages(store)
    store.close()
    full = Store(store.path, "g1")
    pages = full.pages._db.execute("PRAGMA page_count").fetchone()[0]
    full.pages._db.execute(f"PRAGMA max_page_count = {pages}")
    large = _applied(2, _state(3000))
    with pytest.raises(StoreError, match=r"pages\.sqlite3: database or disk is full"):
        full.prepare(large, ignore_step)
    assert _stored_pages(full) == before
    assert full.serials() == [1]
    assert full.last() == states[0]
    full.pages._db.execute("PRAGMA max_page_count = 1000000")
    _keep(full, large)
    assert full.read(2) == large
    full.close()


def test_an_object_too_large_for_a_page_is_rejected_and_leaves_the_old_state(store: Store) -> None:
    states = list(_states(2))
    _keep(store, states[0])
    before = _stored_pages(store)
    large = {**states[1].state, "tenants": {"t": {"share": "x" * MAX_PAGE_BYTES}}}
    with pytest.raises(StoreError, match="the state can't be stored: "):
        store.prepare(AppliedState(2, 1, "t", large), ignore_step)
    assert _stored_pages(store) == before
    assert store.serials() == [1]
    _keep(store, states[1])
    assert store.read(2) == states[1]


def test_a_failed_rename_leaves_the_old_state(
    store: Store, monkeypatch: pytest.MonkeyPatch
) -> None:
    states = list(_states(2))
    _keep(store, states[0])
    before = _stored_pages(store)
    path = store.prepare(states[1], ignore_step)

    def broken(source: Path, target: Path) -> None:
        raise OSError(5, "Input/output error")

    with monkeypatch.context() as patch:
        patch.setattr(os, "replace", broken)
        with pytest.raises(StoreError, match="Input/output error"):
            store.commit(path, 2, ignore_step)
    assert _stored_pages(store) == before
    assert store.read(1) == states[0]
    _keep(store, states[1])
    assert store.read(2) == states[1]


def test_a_page_file_rejects_a_tree_with_missing_pages(tmp_path: Path) -> None:
    from sailhitch.daemon.state_tree import to_tree

    file = PageFile(tmp_path)
    tree = to_tree(_state())
    part = {one: raw for one, raw in tree.pages.items() if one != min(tree.pages)}
    cut = type(tree)(tree.root, part)
    with pytest.raises(PageFileError, match=f"page {min(tree.pages)} is missing"):
        file.keep(1, [cut], ignore_step)
    assert file.roots() == set()
    with pytest.raises(KeyError):
        file.page(tree.root)
    assert file.keep(1, [tree], ignore_step) == [Root(1, tree.root)]
    assert file.keep(1, [tree], ignore_step) == []
    file.close()


# --- Writes that are killed

KILLED = """
import os, signal, sys
from pathlib import Path
import sailhitch.daemon.store as module
from tests.test_store import _keep, _states
module.MAX_STATES = 2
store = module.Store(Path(sys.argv[1]), "g1")
kept = list(_states(4))
def step(name):
    if name == sys.argv[2]:
        os.kill(os.getpid(), signal.SIGKILL)
for one in kept[:3]:
    _keep(store, one)
_keep(store, kept[3], step)
"""
STEPS = [
    "pages half written",
    "pages committed",
    "half written",
    "written",
    "synced",
    "renamed",
    "manifests pruned",
    "committed",
]


@pytest.mark.parametrize("step", STEPS)
def test_a_write_killed_at_any_step_leaves_the_old_or_the_new_state_and_no_garbage(
    step: str, tmp_path: Path
) -> None:
    path, states = tmp_path / "state", list(_states(4))
    ended = subprocess.run(
        [sys.executable, "-c", KILLED, str(path), step],
        cwd=Path(__file__).parent.parent,
        timeout=60,
        check=False,
    )
    assert ended.returncode == -signal.SIGKILL
    store = Store(path, "g1")
    new = STEPS.index(step) >= STEPS.index("renamed")
    assert store.last() == states[3 if new else 2]
    kept_serials = store.serials()
    assert kept_serials == ([2, 3, 4] if step == "renamed" else [3, 4] if new else [2, 3])
    assert {root.serial for root in store.pages.roots()} == set(kept_serials)
    assert _stored_pages(store) == _reachable(store)
    for serial in kept_serials:
        assert store.read(serial) == states[serial - 1]
    assert not [name for name in os.listdir(path) if name.startswith(".")]
    store.close()
