"""Bytes on the wire and on disk, as recorded before the readability work of December 2026.

The recorded files and this one stay as they are. A rename in the program is followed in
`tests/recorded_values.py` alone.
"""

from __future__ import annotations

import json
import shutil
import sqlite3
from pathlib import Path
from typing import Any

import pytest

from tests import recorded_values as recorded

FOLDER = Path(__file__).parent / "recorded"
BYTES: dict[str, str] = json.loads((FOLDER / "bytes.json").read_text())
MEMBER_DISK: dict[str, str] = json.loads((FOLDER / "member_disk.json").read_text())
MEMBER_STATUS: dict[str, Any] = json.loads((FOLDER / "member_status.json").read_text())
STATES: list[Any] = json.loads((FOLDER / "states.json").read_text())


def test_every_recorded_form_is_checked() -> None:
    assert BYTES.keys() == recorded.CODECS.keys()


@pytest.mark.parametrize("name", sorted(BYTES))
def test_a_value_is_encoded_to_the_recorded_bytes(name: str) -> None:
    codec = recorded.CODECS[name]
    assert codec.encode(codec.value).hex() == BYTES[name]


@pytest.mark.parametrize("name", sorted(BYTES))
def test_recorded_bytes_are_decoded_to_the_value(name: str) -> None:
    codec = recorded.CODECS[name]
    assert codec.decode(bytes.fromhex(BYTES[name])) == codec.value


def test_the_kinds_of_handover_frames_are_the_recorded_ones() -> None:
    kinds = {name: chr(kind) for name, kind in recorded.FRAME_KINDS.items()}
    assert kinds == json.loads((FOLDER / "frame_kinds.json").read_text())


def test_a_recorded_state_directory_is_read(tmp_path: Path) -> None:
    shutil.copytree(FOLDER / "state_dir", tmp_path / "state_dir")
    assert recorded.read_states(tmp_path / "state_dir") == STATES


def test_a_recorded_manifest_of_format_1_is_read(tmp_path: Path) -> None:
    shutil.copytree(FOLDER / "state_dir_1", tmp_path / "state_dir")
    assert recorded.read_states(tmp_path / "state_dir") == STATES[:1]


def _rows(folder: Path) -> list[tuple[str, list[tuple[Any, ...]]]]:
    """All rows of the databases in a folder."""
    found: list[tuple[str, list[tuple[Any, ...]]]] = []
    for path in sorted(folder.glob("*.sqlite3")):
        with sqlite3.connect(path) as connection:
            tables = connection.execute("SELECT name, sql FROM sqlite_master ORDER BY name")
            for table, schema in tables.fetchall():
                if schema is None or not schema.startswith("CREATE TABLE"):
                    found.append((f"{path.name} {table} {schema}", []))
                    continue
                rows = connection.execute(f'SELECT * FROM "{table}"').fetchall()
                found.append((f"{path.name} {table} {schema}", sorted(rows, key=repr)))
        connection.close()
    return found


def test_a_state_directory_is_written_as_recorded(tmp_path: Path) -> None:
    recorded.write_states(tmp_path / "state_dir")
    shutil.copytree(FOLDER / "state_dir", tmp_path / "recorded")
    manifests = sorted(path.name for path in (FOLDER / "state_dir").glob("state-*.json"))
    assert len(manifests) == 2
    for name in manifests:
        written = (tmp_path / "state_dir" / name).read_bytes()
        assert written == (FOLDER / "state_dir" / name).read_bytes()
    assert _rows(tmp_path / "state_dir") == _rows(tmp_path / "recorded")
    assert _rows(tmp_path / "recorded")


def test_a_member_keeps_the_recorded_values_on_its_disk() -> None:
    assert {k: v.hex() for k, v in recorded.member_disk().items()} == MEMBER_DISK


def test_a_member_starts_from_the_recorded_disk() -> None:
    disk = {name: bytes.fromhex(value) for name, value in MEMBER_DISK.items()}
    assert recorded.member_status(disk) == MEMBER_STATUS
