"""What a member is fetching and for how long, for operators."""

from __future__ import annotations

from collections.abc import Mapping
from operator import attrgetter
from typing import NamedTuple, Protocol


class FetchStatus(NamedTuple):
    """The fetch of a content or a page that has taken longest."""

    digest: str
    source: str  # the member that it was requested of last
    started_at: int  # us, when it was first requested
    fetch_count: int  # of all contents and pages that are being fetched


class Fetch(Protocol):
    """The fetch of one content or page."""

    @property
    def source(self) -> str:
        """Return the member that it was requested of last."""

    @property
    def started_at(self) -> int | None:
        """Return when (us) it was first requested; None if it was not yet."""


def oldest_fetch(fetches: Mapping[str, Fetch]) -> FetchStatus | None:
    """Return the fetch, by digest, that has taken longest; None where nothing was requested yet."""
    statuses = [
        FetchStatus(digest, fetch.source, fetch.started_at, len(fetches))
        for digest, fetch in fetches.items()
        if fetch.started_at is not None
    ]
    return min(statuses, key=attrgetter("started_at"), default=None)
