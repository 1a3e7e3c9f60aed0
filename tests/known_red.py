"""Tests that fail because of a known fault that is not fixed yet, listed in `KNOWN-RED.txt`.

A line has the test's identifier, the command and seed that reproduce the fault, what was seen, and
the issue, separated by ` | `; empty lines and those that begin with `#` are ignored. A listed test
still runs, but is expected to fail: its failure is printed and does not fail the run. If it passes,
the run fails, so that the line is removed.
"""

from __future__ import annotations

from pathlib import Path
from typing import Final, NamedTuple

SEPARATOR: Final = " | "
FILE: Final = Path(__file__).parent.parent / "KNOWN-RED.txt"


class KnownRedError(ValueError):
    """The list is invalid; the message says why and, for a malformed line, which."""


class KnownRed(NamedTuple):
    """A test that is expected to fail."""

    test: str  # pytest's node id, relative to the root
    command: str  # reproduces the fault, with its seed
    seen: str
    issue: str


def parse(text: str) -> list[KnownRed]:
    """Parse the list; raises KnownRedError."""
    found: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split(SEPARATOR)]
        if len(parts) != len(KnownRed._fields) or not all(parts):
            form = SEPARATOR.join(name.upper() for name in KnownRed._fields)
            raise KnownRedError(f"line {number}: not `{form}`")
        found.append(KnownRed(*parts))
    if len({one.test for one in found}) < len(found):
        raise KnownRedError("a test is listed twice")
    return found


def load(path: Path = FILE) -> list[KnownRed]:
    """Read the list at the root; empty where there is none. Raises KnownRedError."""
    return parse(path.read_text()) if path.exists() else []
