"""What holds for all tests: the same examples every time, no clock that judges, known failures."""

from __future__ import annotations

import pytest
from hypothesis import settings

from tests import known_red

settings.register_profile("steady", deadline=None, derandomize=True)
settings.load_profile("steady")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect the failure of what `KNOWN-RED.txt` lists, and of nothing else."""
    listed = {one.test: one for one in known_red.load()}
    for item in items:
        one = listed.get(item.nodeid)
        if one is not None:
            reason = f"{one.seen}: {one.command} ({one.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True, raises=AssertionError))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print each test whose failure was passed over."""
    for report in terminalreporter.getreports("xfailed"):
        terminalreporter.write_line(f"known red: {report.nodeid}: {report.wasxfail}")
