"""A log entry is one line, and no longer than what a pipe accepts at once."""

from __future__ import annotations

import io
import select
import sys

import pytest

from sailhitch.core.log import Log

LONG = ("x" * 10_000, "\u00e9" * 10_000, "x" + "\u20ac" * 10_000)


def test_a_long_line_is_truncated_before_its_newline(monkeypatch: pytest.MonkeyPatch) -> None:
    for text in LONG:
        written = io.StringIO()
        monkeypatch.setattr(sys, "stderr", written)
        log = Log("n0")
        log.write(text)
        log.write("next")
        lines = written.getvalue().split("\n")
        assert len(lines) == 3
        assert len((lines[0] + "\n").encode()) <= select.PIPE_BUF
        assert len(lines[0].encode()) > select.PIPE_BUF - 8  # no more is truncated than necessary
        assert lines[1].endswith("n0 next")
        assert lines[2] == ""
