"""The applied states on disk: each complete or absent, and the last one is live after a restart.

Each state has a small file of its own, the manifest, with the roots of two page trees: the state,
and the time since which each node is new. The pages of all states are in one file (`page_file`),
so fifty kept states cost what changed between them. Pages are on disk before the manifest, which is
written under a temporary name, synced and renamed; the rename commits the state. Pages that no
manifest needs are released after that, or at the next start.

A manifest under its final name is complete, and its pages are in the file. Damage (a disk that lost
writes, a file edited by hand) is detected by its digest.

Format 1, of earlier versions, has the full state in the manifest. It is read, never rewritten.
"""

from __future__ import annotations

import contextlib
import fcntl
import json
import os
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

from ..pages import PageError, Tree
from .page_file import PageFile, PageFileError, Root
from .state import State, digest
from .state_tree import (
    Kinds,
    StateTreeError,
    changed_state,
    state_from,
    to_tree,
    update_tree,
)

FORMAT: Final = 2
FULL_STATE_FORMAT: Final = 1  # of earlier versions: the full state is in the manifest
MAX_STATES: Final = 50  # states that `plan --to` can go back to
NEW_SINCE: Final = "born"  # the kind in the second tree: by node, when it was added
NEW_SINCE_KINDS: Final[Kinds] = {NEW_SINCE: int}
_FILE = re.compile(r"state-(\d{8,12})\.json")
StepCallback = Callable[[str], None]
"""Called with the name of each step of a write; tests kill the process at one of them."""


def ignore_step(step: str) -> None:
    """Do nothing: the default callback, where no test observes the steps."""


class StoreError(Exception):
    """The state directory can't be used; the text says why and what to do."""


@dataclass(frozen=True, slots=True)
class HistoryRecord:
    """A state that is or was live, without its contents, as `history` shows it."""

    serial: int
    applied_at: int  # microseconds of the time of day
    applied_by: str
    summary: str


@dataclass(frozen=True, slots=True)
class AppliedState:
    """A state that is or was live."""

    serial: int
    applied_at: int  # microseconds of the time of day
    applied_by: str
    state: State
    summary: str = ""
    # By node, when it was added, in microseconds; 0 if it was there at the first start.
    new_since: Mapping[str, int] = field(default_factory=dict)

    def record(self) -> HistoryRecord:
        """Return this state without its contents."""
        return HistoryRecord(self.serial, self.applied_at, self.applied_by, self.summary)


@dataclass(frozen=True, slots=True)
class _StoredState:
    """A state in memory whose pages are on disk; the next state is written as a difference."""

    state: State
    new_since: Mapping[str, int]
    root: str
    new_since_root: str

    def roots(self, serial: int) -> set[Root]:
        """Return the roots of both trees, as stored for a serial."""
        return {Root(serial, self.root), Root(serial, self.new_since_root)}


@dataclass(frozen=True, slots=True)
class _Prepared:
    """A state whose pages and manifest are on disk, not committed yet."""

    state: _StoredState
    added: list[Root]  # roots that were added to the page file for this state


class Store:
    """A directory of applied states, locked by one process."""

    def __init__(self, path: Path, gateway: str) -> None:
        """Open or create it; raises StoreError."""
        self.path = path
        self.gateway = gateway
        self._latest: _StoredState | None = None
        self._prepared: _Prepared | None = None
        try:
            path.mkdir(mode=0o700, parents=True, exist_ok=True)
            lock = os.open(path / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            raise StoreError(f"state_dir: {path}: {error.strerror}") from None
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.pages = PageFile(path)
        except OSError:
            os.close(lock)
            raise StoreError(f"state_dir: {path}: another gateway holds it") from None
        except PageFileError as error:
            os.close(lock)
            raise StoreError(f"state_dir: {error}") from None
        self._lock: int | None = lock

    def close(self) -> None:
        """Close the page file and release the directory's lock."""
        if self._lock is not None:
            self.pages.close()
            os.close(self._lock)
            self._lock = None

    def serials(self) -> list[int]:
        """Return the serials of all states that are kept, oldest first."""
        matches = (_FILE.fullmatch(name) for name in os.listdir(self.path))
        return sorted(int(match[1]) for match in matches if match)

    def root_of(self, state: State) -> str | None:
        """Return the root of a state's tree if the state is the latest, else None."""
        latest = self._latest
        return latest.root if latest is not None and latest.state is state else None

    def last(self) -> AppliedState | None:
        """Return the live state, or None before the first; raises StoreError.

        This never falls back to the state before a damaged one: that would silently bring back
        nodes that were removed for a reason. An operator who wants that removes the file.
        """
        for name in os.listdir(self.path):
            if name.startswith(".state-"):
                (self.path / name).unlink()  # left by an apply that was not committed
        self._release_unneeded()
        serials = self.serials()
        if not serials:
            return None
        applied, latest = self._load(serials[-1])
        self._latest = latest
        return applied

    def read(self, serial: int) -> AppliedState:
        """Return a state by its serial; raises StoreError."""
        return self._load(serial)[0]

    def _load(self, serial: int) -> tuple[AppliedState, _StoredState | None]:
        """Return a state, and (unless of format 1) its stored trees; raises StoreError."""
        path = self._file(serial)
        manifest = self._manifest(serial)
        stored = None
        if manifest["format"] == FULL_STATE_FORMAT:
            manifest["state"].setdefault("bans", {})  # older manifests have no bans
            state = manifest["state"]
            new_since = manifest["born"]
        else:
            root = manifest["root"]
            new_since_root = manifest["born_root"]
            try:
                state, new_since = self._read_trees(root, new_since_root)
            except KeyError as error:
                problem = f"{path}: damaged, its page {error} is missing from {self.pages.path}"
                raise StoreError(f"{problem}; {self._remedy(serial)}") from None
            except (PageError, StateTreeError) as error:
                problem = f"{path}: damaged, in {self.pages.path}: {error}"
                raise StoreError(f"{problem}; {self._remedy(serial)}") from None
            except PageFileError as error:
                raise StoreError(str(error)) from None
            stored = _StoredState(state, new_since, root, new_since_root)
        applied = AppliedState(
            serial, manifest["when"], manifest["by"], state, manifest["summary"], new_since
        )
        return applied, stored

    def _read_trees(self, root: str, new_since_root: str) -> tuple[State, Mapping[str, int]]:
        """Return a state and its `new_since`, read as differences from the latest state."""
        pages = self.pages
        latest = self._latest
        if latest is None:
            state = state_from(pages, root)
            tables = state_from(pages, new_since_root, NEW_SINCE_KINDS)
        else:
            state = changed_state(latest.state, latest.root, pages, root)
            tables = changed_state(
                {NEW_SINCE: latest.new_since},
                latest.new_since_root,
                pages,
                new_since_root,
                NEW_SINCE_KINDS,
            )
        return state, tables[NEW_SINCE]

    def _manifest(self, serial: int) -> dict[str, Any]:
        """Return the validated contents of a state's manifest; raises StoreError."""
        path = self._file(serial)
        try:
            value = json.loads(path.read_bytes())
        except OSError as error:
            raise StoreError(f"{path}: {error.strerror}") from None
        except (ValueError, RecursionError):
            raise StoreError(f"{path}: damaged, not JSON; {self._remedy(serial)}") from None
        if not isinstance(value, dict) or not isinstance(value.get("format"), int):
            raise StoreError(f"{path}: damaged, not a state; {self._remedy(serial)}")
        if value["format"] > FORMAT:
            step = f"start that version, or {self._remedy(serial)}"
            raise StoreError(f"{path}: written by a newer version; {step}")
        stated_digest = value.pop("digest", None)
        if stated_digest != digest(value) or value["serial"] != serial:
            raise StoreError(f"{path}: damaged, its digest is wrong; {self._remedy(serial)}")
        if value["gateway"] != self.gateway:
            raise StoreError(
                f"{path}: belongs to gateway {value['gateway']!r}, not {self.gateway!r}"
            )
        return value

    def _remedy(self, serial: int) -> str:
        """Return what an operator can do about a damaged manifest."""
        earlier = [kept for kept in self.serials() if kept < serial]
        return f"remove it to continue from serial {earlier[-1]}" if earlier else "remove it"

    def history(self) -> list[HistoryRecord]:
        """Return the records of all states whose manifests can be read, oldest first."""
        records = []
        for serial in self.serials():
            with contextlib.suppress(StoreError):
                manifest = self._manifest(serial)
                records.append(
                    HistoryRecord(serial, manifest["when"], manifest["by"], manifest["summary"])
                )
        return records

    def _file(self, serial: int) -> Path:
        return self.path / f"state-{serial:08d}.json"

    # --- Writing

    def prepare(self, applied: AppliedState, step: StepCallback) -> Path:
        """Write and sync a state's pages, and its manifest under a temporary name.

        Returns the manifest's path. Raises StoreError, with nothing of the state left on disk.
        """
        try:
            trees = self._trees(applied)
            added = self.pages.keep(applied.serial, trees, step)
        except (PageFileError, PageError) as error:
            raise StoreError(str(error)) from None
        except KeyError as error:
            raise StoreError(f"{self.pages.path}: damaged: page {error} is missing") from None
        except ValueError as error:
            raise StoreError(f"the state can't be stored: {error}") from None
        try:
            path = self._write_manifest(applied, trees, step)
        except StoreError:
            self._discard(added)
            raise
        state_tree, new_since_tree = trees
        stored = _StoredState(
            applied.state, applied.new_since, state_tree.root, new_since_tree.root
        )
        self._prepared = _Prepared(stored, added)
        return path

    def _trees(self, applied: AppliedState) -> tuple[Tree, Tree]:
        """Return the trees of a state and its `new_since`, as updates of the latest state's."""
        tables = {NEW_SINCE: applied.new_since}
        latest = self._latest
        if latest is None:
            return to_tree(applied.state), to_tree(tables, NEW_SINCE_KINDS)
        latest_tables = {NEW_SINCE: latest.new_since}
        return (
            update_tree(self.pages, latest.root, latest.state, applied.state),
            update_tree(self.pages, latest.new_since_root, latest_tables, tables, NEW_SINCE_KINDS),
        )

    def _write_manifest(
        self, applied: AppliedState, trees: tuple[Tree, Tree], step: StepCallback
    ) -> Path:
        state_tree, new_since_tree = trees
        manifest = {
            "format": FORMAT,
            "gateway": self.gateway,
            "serial": applied.serial,
            "when": applied.applied_at,
            "by": applied.applied_by,
            "summary": applied.summary,
            "root": state_tree.root,
            "born_root": new_since_tree.root,
        }
        signed = {**manifest, "digest": digest(manifest)}
        data = json.dumps(signed, separators=(",", ":")).encode()
        path = self.path / f".state-{applied.serial:08d}.json.tmp"
        try:
            with open(path, "wb") as file:
                file.write(data[: len(data) // 2])
                file.flush()
                step("half written")
                file.write(data[len(data) // 2 :])
                file.flush()
                step("written")
                os.fsync(file.fileno())
            step("synced")
        except OSError as error:
            with contextlib.suppress(OSError):
                path.unlink()
            raise StoreError(f"{path}: {error.strerror}") from None
        return path

    def commit(self, path: Path, serial: int, step: StepCallback) -> None:
        """Make the prepared state the live one; after a StoreError the old one is still live."""
        prepared = self._prepared
        self._prepared = None
        assert prepared is not None
        try:
            os.replace(path, self._file(serial))
        except OSError as error:
            with contextlib.suppress(OSError):
                path.unlink()
            self._discard(prepared.added)
            raise StoreError(f"{path}: {error.strerror}") from None
        self._latest = prepared.state
        step("renamed")
        # No failure is reported after the rename: the process would continue with the old state
        # and restart with the new one.
        with contextlib.suppress(OSError):
            self._sync_folder()
        with contextlib.suppress(OSError):
            for expired_serial in self.serials()[:-MAX_STATES]:
                self._file(expired_serial).unlink()
        step("manifests pruned")
        with contextlib.suppress(PageFileError, OSError):
            self._release_replaced(prepared.state.roots(serial), serial)
        step("committed")

    def _release_replaced(self, live_roots: set[Root], serial: int) -> None:
        """Release the trees of states that are not kept, and old trees of the live serial."""
        kept_serials = set(self.serials())
        self.pages.release(
            root
            for root in self.pages.roots()
            if root.serial not in kept_serials or (root.serial == serial and root not in live_roots)
        )

    def _discard(self, roots: list[Root]) -> None:
        """Release trees of an uncommitted state; if this fails, the next start does it."""
        with contextlib.suppress(PageFileError):
            self.pages.release(roots)

    def _release_unneeded(self) -> None:
        """Release pages that no manifest needs: interrupted applies leave them."""
        kept_serials = set(self.serials())
        try:
            roots = self.pages.roots()
            needed: dict[int, set[str]] = {}
            # Only manifests with pages are read: those of format 1 hold full states and are slow.
            for serial in kept_serials & {root.serial for root in roots}:
                # A manifest that can't be read keeps all its pages: once repaired it may need any.
                with contextlib.suppress(StoreError):
                    manifest = self._manifest(serial)
                    needed[serial] = {manifest.get("root", ""), manifest.get("born_root", "")}
            self.pages.release(
                root
                for root in roots
                if root.serial not in kept_serials
                or (root.serial in needed and root.digest not in needed[root.serial])
            )
        except PageFileError as error:
            raise StoreError(str(error)) from None

    def _sync_folder(self) -> None:
        """Sync the directory, so that a rename survives a crash of the machine."""
        folder = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
