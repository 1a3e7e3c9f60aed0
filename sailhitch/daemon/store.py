"""The applied states on disk: whole or not there, and the last one holds after a restart.

A state is a small file of its own, the manifest, that names two page trees by their roots: the
state's, and since when its nodes are new. Their pages are in one file for all (`page_file`), so
fifty kept states cost what changed between them. Pages are on disk before the manifest; it is
written under another name, synced and renamed, and the rename is the moment from which it holds.
Pages that no manifest needs are released after that, or at the next start.

A manifest that is there under its own name is whole, and its pages are there. What is not so (a
disk that lied, a hand that edited) is found by its digest and never taken for another.

Format 1, of the versions before, has the whole state in the file. It is read and never rewritten.
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
WHOLE_STATE: Final = 1  # the format of the versions before, with the state in the file
MAX_STATES: Final = 50  # states that `plan --to` can go back to
NEW_SINCE_KINDS: Final[Kinds] = {"born": int}
_FILE = re.compile(r"state-(\d{8,12})\.json")
Step = Callable[[str], None]


def ignore_step(step: str) -> None:
    """No test is watching."""


class StoreError(Exception):
    """The state directory can't be used; the text says why and what to do."""


@dataclass(frozen=True, slots=True)
class HistoryRecord:
    """What `history` shows of a state that holds or held."""

    serial: int
    applied_at: int  # microseconds of the time of day
    applied_by: str
    summary: str


@dataclass(frozen=True, slots=True)
class AppliedState:
    """A state that holds or held."""

    serial: int
    applied_at: int  # microseconds of the time of day
    applied_by: str
    state: State
    summary: str = ""
    new_since: Mapping[str, int] = field(
        default_factory=dict
    )  # since when a node is new; 0: long ago

    def record(self) -> HistoryRecord:
        """It without its state."""
        return HistoryRecord(self.serial, self.applied_at, self.applied_by, self.summary)


@dataclass(frozen=True, slots=True)
class _StoredState:
    """A state in memory whose pages are on disk: the next one is written by its difference."""

    state: State
    new_since: Mapping[str, int]
    root: str
    born_root: str

    def roots(self, serial: int) -> set[Root]:
        return {Root(serial, self.root), Root(serial, self.born_root)}


@dataclass(frozen=True, slots=True)
class _Prepared:
    """A state that is on disk and does not hold yet."""

    state: _StoredState
    added: list[Root]  # kept for it alone


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
        """Let another process have the directory."""
        if self._lock is not None:
            self.pages.close()
            os.close(self._lock)
            self._lock = None

    def serials(self) -> list[int]:
        """Of all states that are here, oldest first."""
        found = (_FILE.fullmatch(name) for name in os.listdir(self.path))
        return sorted(int(one[1]) for one in found if one)

    def root_of(self, state: State) -> str | None:
        """Return the root of the state's tree, where this is the one written or read last."""
        latest = self._latest
        return latest.root if latest is not None and latest.state is state else None

    def last(self) -> AppliedState | None:
        """Return the state that holds, or None before the first; raises StoreError.

        Falling back to the one before a damaged one would bring back nodes that were taken
        out for a reason, with nobody told. Whoever wants that removes the file.
        """
        for name in os.listdir(self.path):
            if name.startswith(".state-"):
                (self.path / name).unlink()  # of an apply that came to nothing
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
        """A state, and as the next one is written against it (not format 1); raises StoreError."""
        path = self._file(serial)
        value = self._manifest(serial)
        if value["format"] == WHOLE_STATE:
            value["state"].setdefault("bans", {})  # written before there were any
            state = value["state"]
            born = value["born"]
            latest = None
        else:
            root = value["root"]
            born_root = value["born_root"]
            try:
                state, born = self._read_trees(root, born_root)
            except KeyError as error:
                said = f"{path}: damaged, its page {error} is not in {self.pages.path}"
                raise StoreError(f"{said}; {self._next_step(serial)}") from None
            except (PageError, StateTreeError) as error:
                said = f"{path}: damaged, in {self.pages.path}: {error}"
                raise StoreError(f"{said}; {self._next_step(serial)}") from None
            except PageFileError as error:
                raise StoreError(str(error)) from None
            latest = _StoredState(state, born, root, born_root)
        return AppliedState(
            serial, value["when"], value["by"], state, value["summary"], born
        ), latest

    def _read_trees(self, root: str, born_root: str) -> tuple[State, Mapping[str, int]]:
        """Return a state and `born`, by their difference from the latest state."""
        pages = self.pages
        latest = self._latest
        if latest is None:
            return state_from(pages, root), state_from(pages, born_root, NEW_SINCE_KINDS)["born"]
        state = changed_state(latest.state, latest.root, pages, root)
        before = {"born": latest.new_since}
        born = changed_state(before, latest.born_root, pages, born_root, NEW_SINCE_KINDS)
        return state, born["born"]

    def _manifest(self, serial: int) -> dict[str, Any]:
        """Return what a state's file says; raises StoreError."""
        path = self._file(serial)
        try:
            value = json.loads(path.read_bytes())
        except OSError as error:
            raise StoreError(f"{path}: {error.strerror}") from None
        except (ValueError, RecursionError):
            raise StoreError(f"{path}: damaged, not JSON; {self._next_step(serial)}") from None
        if not isinstance(value, dict) or not isinstance(value.get("format"), int):
            raise StoreError(f"{path}: damaged, not a state; {self._next_step(serial)}")
        if value["format"] > FORMAT:
            step = f"start that one, or {self._next_step(serial)}"
            raise StoreError(f"{path}: written by a newer version; {step}")
        said = value.pop("digest", None)
        if said != digest(value) or value["serial"] != serial:
            raise StoreError(f"{path}: damaged, its digest is wrong; {self._next_step(serial)}")
        if value["gateway"] != self.gateway:
            raise StoreError(f"{path}: of gateway {value['gateway']!r}, not {self.gateway!r}")
        return value

    def _next_step(self, serial: int) -> str:
        before = [s for s in self.serials() if s < serial]
        return f"remove it to go on from serial {before[-1]}" if before else "remove it"

    def history(self) -> list[HistoryRecord]:
        """Of all states whose files can be read, oldest first."""
        found = []
        for serial in self.serials():
            with contextlib.suppress(StoreError):
                value = self._manifest(serial)
                found.append(HistoryRecord(serial, value["when"], value["by"], value["summary"]))
        return found

    def _file(self, serial: int) -> Path:
        return self.path / f"state-{serial:08d}.json"

    # --- Writing

    def prepare(self, applied: AppliedState, step: Step) -> Path:
        """Keep a state's pages, write its manifest under another name, and sync them.

        Raises StoreError, with nothing left.
        """
        try:
            trees = self._trees(applied)
            added = self.pages.keep(applied.serial, trees, step)
        except (PageFileError, PageError) as error:
            raise StoreError(str(error)) from None
        except KeyError as error:
            raise StoreError(f"{self.pages.path}: damaged: page {error} is not there") from None
        except ValueError as error:
            raise StoreError(f"the state can't be kept: {error}") from None
        try:
            path = self._write_manifest(applied, trees, step)
        except StoreError:
            self._discard(added)
            raise
        latest = _StoredState(applied.state, applied.new_since, trees[0].root, trees[1].root)
        self._prepared = _Prepared(latest, added)
        return path

    def _trees(self, applied: AppliedState) -> tuple[Tree, Tree]:
        """Return the trees of a state and of `born`, by their difference from the latest state."""
        born = {"born": applied.new_since}
        latest = self._latest
        if latest is None:
            return to_tree(applied.state), to_tree(born, NEW_SINCE_KINDS)
        before = {"born": latest.new_since}
        return (
            update_tree(self.pages, latest.root, latest.state, applied.state),
            update_tree(self.pages, latest.born_root, before, born, NEW_SINCE_KINDS),
        )

    def _write_manifest(self, applied: AppliedState, trees: tuple[Tree, Tree], step: Step) -> Path:
        value = {
            "format": FORMAT,
            "gateway": self.gateway,
            "serial": applied.serial,
            "when": applied.applied_at,
            "by": applied.applied_by,
            "summary": applied.summary,
            "root": trees[0].root,
            "born_root": trees[1].root,
        }
        data = json.dumps({**value, "digest": digest(value)}, separators=(",", ":")).encode()
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

    def commit(self, path: Path, serial: int, step: Step) -> None:
        """From here on that state holds; raises StoreError, and then the old one does."""
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
        self._latest = latest = prepared.state
        step("renamed")
        # From here on nothing may look like a failure, or the process would go on under
        # the old state and start under the new one.
        with contextlib.suppress(OSError):
            self._sync_folder()
        with contextlib.suppress(OSError):
            for old in self.serials()[:-MAX_STATES]:
                self._file(old).unlink()
        step("manifests pruned")
        with contextlib.suppress(PageFileError, OSError):
            here = set(self.serials())
            self.pages.release(
                root
                for root in self.pages.roots()
                if root.serial not in here
                or (root.serial == serial and root not in latest.roots(serial))
            )
        step("committed")

    def _discard(self, roots: list[Root]) -> None:
        """Let go of pages of a state that came to nothing; else the next start does."""
        with contextlib.suppress(PageFileError):
            self.pages.release(roots)

    def _release_unneeded(self) -> None:
        """Release pages that no manifest needs: of applies that were cut short."""
        here = set(self.serials())
        try:
            roots = self.pages.roots()
            needed: dict[int, set[str]] = {}
            # Only of those that have pages: files of format 1 take long to read.
            for serial in here & {root.serial for root in roots}:
                # One that can't be read may need any of its pages, once it is mended.
                with contextlib.suppress(StoreError):
                    value = self._manifest(serial)
                    needed[serial] = {value.get("root", ""), value.get("born_root", "")}
            self.pages.release(
                root
                for root in roots
                if root.serial not in here
                or (root.serial in needed and root.digest not in needed[root.serial])
            )
        except PageFileError as error:
            raise StoreError(str(error)) from None

    def _sync_folder(self) -> None:
        """Make a name outlast the machine; for every process it is there already."""
        folder = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
