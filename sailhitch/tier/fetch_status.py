"""What a member is fetching and for how long, for operators."""

from __future__ import annotations

from typing import NamedTuple


class FetchStatus(NamedTuple):
    """The fetch of a content or a page that has taken longest."""

    digest: str
    source: str  # the member that it was requested of last
    started_at: int  # us, when it was first requested
    fetch_count: int  # of all contents and pages that are being fetched
