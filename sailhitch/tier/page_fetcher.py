"""Fetches pages by digest: many concurrently, from several sources, each verified on arrival.

A page is fetched from one source at a time, because two sources may compress it differently. A
source that does not answer, refuses, or sends data other than the page is replaced by another one.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence, Set
from typing import Final, NamedTuple

from ..pages import MAX_PAGE_BYTES, PageError, child_digests, decompress, verify
from .fetch_status import FetchStatus, oldest_fetch
from .messages import PageBlock, PageRange, PageReply, PageRequest
from .page_fetch import BLOCK_SIZE, MAX_BLOCKS_PER_RANGE, PageFetch
from .page_sources import MAX_TIMEOUT, IsAlive, PageSources, assume_alive
from .token_bucket import TokenBucket

__all__ = [
    "BLOCK_OVERHEAD",
    "BLOCK_SIZE",
    "MAX_BLOCKS_PER_RANGE",
    "MAX_RANGES_PER_REQUEST",
    "MAX_TIMEOUT",
    "FetchedPage",
    "PageFetcher",
]

BLOCK_OVERHEAD: Final = 48  # bytes that a block takes in addition to its data
MAX_RANGES_PER_REQUEST: Final = 16
MAX_PAGES_IN_FLIGHT: Final = 64
# Consecutive unanswered requests after which the source of a partially received page is replaced.
MAX_UNANSWERED_REQUESTS: Final = 2
# Time-outs of one page at a preferred source before only other sources are asked for the page.
MAX_TIMEOUTS_PER_SOURCE: Final = 8
RETRY_DELAY: Final = 400_000  # us after all sources were tried
REFUSALS_BEFORE_DELAY: Final = 4
REFUSAL_DELAY: Final = RETRY_DELAY // 4  # us, in which the page may reach more members


class FetchedPage(NamedTuple):
    """A complete and verified page."""

    digest: str
    compressed: bytes
    children: tuple[str, ...]


class PageFetcher:
    """The missing pages and the requests in flight for them."""

    def __init__(self, budget: TokenBucket, is_alive: IsAlive = assume_alive) -> None:
        self._budget = budget
        self._queued: dict[str, PageFetch] = {}  # to be started, in this order
        self._delayed: dict[str, tuple[int, PageFetch]] = {}  # with the time when to queue it
        self._in_flight: dict[str, PageFetch] = {}
        self._sources = PageSources(is_alive)
        self.corrupt_count = 0  # replies with data other than the requested page

    def __len__(self) -> int:
        return len(self._queued) + len(self._delayed) + len(self._in_flight)

    def oldest(self) -> FetchStatus | None:
        """Return the longest-running fetch; None if nothing has been requested yet."""
        delayed = {digest: fetch for digest, (_, fetch) in self._delayed.items()}
        return oldest_fetch({**self._queued, **delayed, **self._in_flight})

    def prefer(self, name: str) -> None:
        """Prefer only the member that announced a new tree; earlier sources may not have it."""
        self._sources.prefer_only(name)

    def add_source(self, name: str) -> None:
        """Also prefer a member that announced a tree or sent a page of one."""
        self._sources.prefer(name)

    def set_fallback_sources(self, ranks: Sequence[Sequence[str]]) -> None:
        """Set the members to ask after the preferred ones: groups, the most likely first."""
        self._sources.set_fallback(ranks)

    def add(self, digests: Iterable[str]) -> None:
        """Queue these pages, unless they are being fetched already."""
        for digest in digests:
            if digest not in self._in_flight and digest not in self._delayed:
                self._queued.setdefault(digest, PageFetch(MAX_TIMEOUT))

    def retain_only(self, digests: Set[str]) -> None:
        """Cancel the fetches of all other pages."""
        for fetches in (self._queued, self._delayed, self._in_flight):
            for digest in [digest for digest in fetches if digest not in digests]:
                del fetches[digest]

    def forget(self, digest: str) -> None:
        """Cancel the fetch of a page."""
        self._queued.pop(digest, None)
        self._delayed.pop(digest, None)
        self._in_flight.pop(digest, None)

    # --- Requests

    def requests(self, now: int, rng: random.Random) -> list[tuple[str, PageRequest]]:
        """Return the requests to send now, each with its addressee."""
        ranges: dict[str, list[PageRange]] = {}
        for digest, fetch in list(self._in_flight.items()):
            self._continue_fetch(digest, fetch, now, ranges)
        due = [digest for digest, (until, _) in self._delayed.items() if now >= until]
        for digest in due:
            self._queued[digest] = self._delayed.pop(digest)[1]
        self._start_fetches(now, rng, ranges)
        return [
            (source, PageRequest(requested[start : start + MAX_RANGES_PER_REQUEST]))
            for source, requested in ranges.items()
            for start in range(0, len(requested), MAX_RANGES_PER_REQUEST)
        ]

    def _continue_fetch(
        self, digest: str, fetch: PageFetch, now: int, ranges: dict[str, list[PageRange]]
    ) -> None:
        """Request the next blocks of a page, or replace a source that does not answer."""
        timed_out = fetch.has_timed_out(now)
        is_last_try = fetch.unanswered_requests + 1 >= MAX_UNANSWERED_REQUESTS
        if timed_out and (not fetch.blocks or is_last_try):
            self._on_timeout(digest, fetch, now)
        elif self._request_blocks(digest, fetch, now, ranges) and timed_out:
            fetch.unanswered_requests += 1

    def _start_fetches(
        self, now: int, rng: random.Random, ranges: dict[str, list[PageRange]]
    ) -> None:
        while self._queued and len(self._in_flight) < MAX_PAGES_IN_FLIGHT:
            digest, fetch = next(iter(self._queued.items()))
            source = self._sources.select(fetch.tried_sources, now, rng)
            if source is None:
                del self._queued[digest]
                fetch.forget_sources()
                self._delayed[digest] = now + RETRY_DELAY, fetch
                continue
            fetch.begin(source, self._sources.timeout_of(source))
            if fetch.started_at is None:
                fetch.started_at = now
            if not self._request_blocks(digest, fetch, now, ranges):
                return
            del self._queued[digest]
            self._in_flight[digest] = fetch

    def _request_blocks(
        self, digest: str, fetch: PageFetch, now: int, ranges: dict[str, list[PageRange]]
    ) -> bool:
        """Add a page's next ranges; return whether the budget allowed all of them."""
        raw_digest = bytes.fromhex(digest)
        for offset, count in fetch.next_ranges(now):
            if not self._budget.take(count * BLOCK_SIZE, now):
                return False
            ranges.setdefault(fetch.source, []).append(PageRange(raw_digest, offset, count))
            for index in range(count):
                fetch.requested_at[offset + index * BLOCK_SIZE] = now
        return True

    # --- Replies

    def on_reply(self, sender: str, reply: PageReply, now: int) -> list[FetchedPage]:
        """Process a reply; return the pages that it completed."""
        self._sources.on_reply(sender)
        for raw_digest in reply.refused:
            fetch = self._in_flight.get(raw_digest.hex())
            if fetch is not None and fetch.source == sender and not fetch.blocks:
                self._budget.give_back(len(fetch.requested_at) * BLOCK_SIZE)
                self._on_refusal(raw_digest.hex(), fetch, now)
        pages = []
        for block in reply.blocks:
            page = self._on_block(sender, block, now)
            if page is not None:
                pages.append(page)
        return pages

    def _on_block(self, sender: str, block: PageBlock, now: int) -> FetchedPage | None:
        digest = block.digest.hex()
        fetch = self._in_flight.get(digest)
        if fetch is None:
            return None
        if fetch.source != sender:
            if sender not in fetch.late_sources or fetch.blocks:
                return None
            # The sender timed out, but nothing has arrived from its replacement yet.
            fetch.late_sources.discard(sender)
            fetch.late_sources.add(fetch.source)
            fetch.begin(sender, self._sources.timeout_of(sender))
        if not fetch.fits(block):
            self._on_corrupt(digest, fetch)
            return None
        if fetch.total is None:
            self._budget.give_back(fetch.set_total(block.total) * BLOCK_SIZE)
        requested_at = fetch.requested_at.pop(block.offset, None)
        if requested_at is not None:
            self._budget.give_back(max(0, BLOCK_SIZE - len(block.data) - BLOCK_OVERHEAD))
            if not fetch.unanswered_requests:
                self._sources.record_round_trip(sender, now - requested_at)
        fetch.blocks[block.offset] = block.data
        fetch.unanswered_requests = 0
        return self._finish(digest, fetch) if fetch.is_complete() else None

    def _finish(self, digest: str, fetch: PageFetch) -> FetchedPage | None:
        """Return a page whose blocks have all arrived, if it matches its digest."""
        compressed = fetch.join_blocks()
        try:
            raw = decompress(compressed, MAX_PAGE_BYTES)
            verify(raw, digest)
            page = FetchedPage(digest, compressed, child_digests(raw))
        except PageError:
            self._on_corrupt(digest, fetch)
            return None
        del self._in_flight[digest]
        self.add_source(fetch.source)
        return page

    def _on_corrupt(self, digest: str, fetch: PageFetch) -> None:
        self.corrupt_count += 1
        fetch.late_sources.discard(fetch.source)
        self._sources.on_corrupt(fetch.source)
        self._requeue(digest, fetch)

    def _on_refusal(self, digest: str, fetch: PageFetch, now: int) -> None:
        """Replace a source that does not have the page yet, or whose reply budget is used up."""
        self._requeue(digest, fetch)
        if len(fetch.tried_sources) % REFUSALS_BEFORE_DELAY == 0:
            del self._queued[digest]
            self._delayed[digest] = now + REFUSAL_DELAY, fetch

    def _on_timeout(self, digest: str, fetch: PageFetch, now: int) -> None:
        """Replace a source that did not answer in time; its reply may still arrive.

        A preferred source most likely has the page, so one lost datagram does not rule it out.
        After a few time-outs it counts as tried, too: no source is tried again before all of them
        count as tried.
        """
        source = fetch.source
        self._sources.on_timeout(source, now)
        self._requeue(digest, fetch)
        fetch.late_sources.add(source)
        fetch.timeouts[source] += 1
        may_repeat = fetch.timeouts[source] < MAX_TIMEOUTS_PER_SOURCE
        if may_repeat and self._sources.may_repeat(source):
            fetch.tried_sources.discard(source)

    def _requeue(self, digest: str, fetch: PageFetch) -> None:
        """Queue a page in order to fetch it from another source."""
        del self._in_flight[digest]
        fetch.tried_sources.add(fetch.source)
        self._queued[digest] = fetch
