"""Reports to operators what a member is fetching and for how long."""

from __future__ import annotations

from collections.abc import Mapping
from operator import attrgetter
from typing import NamedTuple, Protocol


class FetchStatus(NamedTuple):
    """The longest-running fetch of a content or a page."""

    digest: str
    source: str  # the member that it was last requested from
    started_at: int  # time of the first request in us
    fetch_count: int  # number of all contents and pages being fetched


class Fetch(Protocol):
    """The fetch of one content or page."""

    @property
    def source(self) -> str:
        """Return the member that it was last requested from."""

    @property
    def started_at(self) -> int | None:
        """Return the time of the first request in us; None if there was none yet."""


def oldest_fetch(fetches: Mapping[str, Fetch]) -> FetchStatus | None:
    """Return the longest-running of these fetches; None if nothing has been requested yet."""
    statuses = [
        FetchStatus(digest, fetch.source, fetch.started_at, len(fetches))
        for digest, fetch in fetches.items()
        if fetch.started_at is not None
    ]
    return min(statuses, key=attrgetter("started_at"), default=None)
