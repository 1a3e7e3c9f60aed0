"""Fetches pages by digest: many at a time, from several sources, each verified before it is taken.

A page comes from one source at a time, as two sources may pack it differently. A source that does
not answer, refuses, or sends what is not the page gives way to another one.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Sequence, Set
from typing import Final, NamedTuple

from ..pages import MAX_PAGE_BYTES, PageError, child_digests, decompress, verify
from .messages import PageBlock, PageRange, PageReply, PageRequest
from .token_bucket import TokenBucket

BLOCK_SIZE: Final = 1024  # bytes; a block and its seal fit any path's datagrams
BLOCK_HEADER: Final = 48  # bytes that a block takes beside its data
FIRST_BLOCKS: Final = 4  # asked for before the length of a page is known; most pages are no longer
MOST_BLOCKS: Final = 16  # of a page, asked for at a time
MOST_RANGES: Final = 16  # in a request
PAGES_UNDER_WAY: Final = 64
# us for an answer: so many round trips of its source; the most where none is known.
ROUND_TRIPS: Final = 3
LEAST_PATIENCE = 90_000
MOST_PATIENCE = 250_000
TRIES: Final = 2  # requests without an answer after which a source of a part gives way
# us for which a source that did not answer is asked after the others: first, and at most. It
# doubles with each time in a row, as one may be lost and many are the end of the source.
FIRST_SILENCE = 200_000
MOST_SILENCE = 6_400_000
REST: Final = 400_000  # us after all sources were tried
REFUSALS: Final = 4  # sources after which a quarter of that passes, as pages spread meanwhile
SOURCES: Final = 16  # announced or proven ones that are remembered
# zlib adds five bytes to each stored block of 16 KB and eleven to the whole.
MOST_PACKED: Final = MAX_PAGE_BYTES + MAX_PAGE_BYTES // 1000 + 64


class FetchedPage(NamedTuple):
    """A page that was verified."""

    digest: str
    packed: bytes
    children: tuple[str, ...]


class _Fetch:
    """A page that is on its way from one source, and the sources that were tried before."""

    def __init__(self) -> None:
        self.tried: set[str] = set()
        self.late: set[str] = set()  # of those tried, whose answer may still come
        self.begin("", MOST_PATIENCE)

    def begin(self, source: str, patience: int) -> None:
        """Begin anew, from this source, whose answers take so long at most."""
        self.source = source
        self.patience = patience
        self.total: int | None = None
        self.blocks: dict[int, bytes] = {}
        self.asked: dict[int, int] = {}  # when, by offset of what has not come
        self.unanswered = 0  # requests in a row

    def is_late(self, now: int) -> bool:
        return any(now - at >= self.patience for at in self.asked.values())

    def next_ranges(self, now: int) -> Iterator[tuple[int, int]]:
        """Offset and count of blocks to ask for, in runs: what was not asked, or is late."""
        if self.total is None:
            if now - self.asked.get(0, -self.patience) >= self.patience:
                yield 0, FIRST_BLOCKS
            return
        patience = self.patience
        room = MOST_BLOCKS - sum(now - at < patience for at in self.asked.values())
        start = 0
        count = 0
        for offset in range(0, self.total, BLOCK_SIZE):
            since = now - self.asked.get(offset, -patience)
            needed = offset not in self.blocks and since >= patience
            if needed and count < room:
                start, count = (start, count + 1) if count else (offset, 1)
            elif count:
                yield start, count
                room = room - count
                count = 0
            if room <= 0:
                return
        if count:
            yield start, count

    def fits(self, block: PageBlock) -> bool:
        """Return whether a block may belong to the page."""
        if not 0 < block.total <= MOST_PACKED or self.total not in (None, block.total):
            return False
        if not 0 <= block.offset < block.total or block.offset % BLOCK_SIZE:
            return False
        return len(block.data) == min(BLOCK_SIZE, block.total - block.offset)

    def is_whole(self) -> bool:
        return self.total is not None and len(self.blocks) * BLOCK_SIZE >= self.total

    def packed(self) -> bytes:
        return b"".join(self.blocks[offset] for offset in sorted(self.blocks))


class PageFetcher:
    """Pages that are lacking, and what is under way for them."""

    def __init__(self, budget: TokenBucket) -> None:
        self._budget = budget
        self._idle: dict[str, _Fetch] = {}  # to be begun, in this order
        self._resting: dict[str, tuple[int, _Fetch]] = {}  # with the time until when
        self._under_way: dict[str, _Fetch] = {}
        self._preferred: dict[str, None] = {}  # sources, the latest that proved one last
        self._others: Sequence[Sequence[str]] = ()
        self._silent: dict[str, tuple[int, int]] = {}  # until when, and for how long
        self._round_trips: dict[str, int] = {}  # us, by source: smoothed as in RFC 6298
        self.spoilt = 0  # answers that were not of the page that was asked for

    def __len__(self) -> int:
        return len(self._idle) + len(self._resting) + len(self._under_way)

    def prefer(self, name: str) -> None:
        """A member has announced a tree that is new; who had older ones may not have it."""
        self._preferred = {name: None}

    def add_source(self, name: str) -> None:
        """A member has announced a tree, or has sent a page of one."""
        self._preferred.pop(name, None)
        self._preferred[name] = None
        if len(self._preferred) > SOURCES:
            del self._preferred[next(iter(self._preferred))]

    def set_others(self, ranks: Sequence[Sequence[str]]) -> None:
        """Members that may have what is lacking, beside those that announced it.

        Those of an earlier rank are asked before those of a later one.
        """
        self._others = ranks

    def add(self, digests: Iterable[str]) -> None:
        """Fetch these."""
        for digest in digests:
            if digest not in self._under_way and digest not in self._resting:
                self._idle.setdefault(digest, _Fetch())

    def retain_only(self, digests: Set[str]) -> None:
        """Fetch no others than these."""
        for fetches in (self._idle, self._resting, self._under_way):
            for digest in [one for one in fetches if one not in digests]:
                del fetches[digest]

    def forget(self, digest: str) -> None:
        """A page has come by another way."""
        self._idle.pop(digest, None)
        self._resting.pop(digest, None)
        self._under_way.pop(digest, None)

    # --- Asking

    def requests(self, now: int, rng: random.Random) -> list[tuple[str, PageRequest]]:
        """Return what to ask whom now."""
        ranges: dict[str, list[PageRange]] = {}
        for digest, fetch in list(self._under_way.items()):
            is_late = fetch.is_late(now)
            if is_late and (not fetch.blocks or fetch.unanswered + 1 >= TRIES):
                self._was_silent(digest, fetch, now)
            elif self._ask(digest, fetch, now, ranges) and is_late:
                fetch.unanswered += 1
        for digest in [one for one, (until, _) in self._resting.items() if now >= until]:
            self._idle[digest] = self._resting.pop(digest)[1]
        self._begin(now, rng, ranges)
        return [
            (source, PageRequest(wanted[at : at + MOST_RANGES]))
            for source, wanted in ranges.items()
            for at in range(0, len(wanted), MOST_RANGES)
        ]

    def _begin(self, now: int, rng: random.Random, ranges: dict[str, list[PageRange]]) -> None:
        while self._idle and len(self._under_way) < PAGES_UNDER_WAY:
            digest, fetch = next(iter(self._idle.items()))
            source = self._choose(fetch, now, rng)
            if source is None:
                del self._idle[digest]
                fetch.tried.clear()
                fetch.late.clear()
                self._resting[digest] = now + REST, fetch
                continue
            fetch.begin(source, self._patience(source))
            if not self._ask(digest, fetch, now, ranges):
                return
            del self._idle[digest]
            self._under_way[digest] = fetch

    def _patience(self, source: str) -> int:
        round_trip = self._round_trips.get(source, MOST_PATIENCE)
        return min(MOST_PATIENCE, max(LEAST_PATIENCE, ROUND_TRIPS * round_trip))

    def _choose(self, fetch: _Fetch, now: int, rng: random.Random) -> str | None:
        """A source that was not tried, by how likely it has the page; the silent ones last."""
        ranks = (self._preferred, *self._others)
        untried = [[name for name in names if name not in fetch.tried] for names in ranks]
        awake = [
            [name for name in names if name not in self._silent or self._silent[name][0] <= now]
            for names in untried
        ]
        for names in (*awake, *untried):
            if names:
                source = rng.choice(names)
                if source in self._silent:  # one page shows whether it is back
                    length = min(MOST_SILENCE, 2 * self._silent[source][1])
                    self._silent[source] = now + length, length
                return source
        return None

    def _ask(
        self, digest: str, fetch: _Fetch, now: int, ranges: dict[str, list[PageRange]]
    ) -> bool:
        """Ask for what a page lacks; whether the budget had room for all of it."""
        name = bytes.fromhex(digest)
        for offset, count in fetch.next_ranges(now):
            if not self._budget.take(count * BLOCK_SIZE, now):
                return False
            ranges.setdefault(fetch.source, []).append(PageRange(name, offset, count))
            for index in range(count):
                fetch.asked[offset + index * BLOCK_SIZE] = now
        return True

    # --- Taking

    def take(self, sender: str, reply: PageReply, now: int) -> list[FetchedPage]:
        """An answer has come; the pages that it makes whole."""
        self._silent.pop(sender, None)
        for name in reply.refused:
            fetch = self._under_way.get(name.hex())
            if fetch is not None and fetch.source == sender and not fetch.blocks:
                self._budget.give_back(len(fetch.asked) * BLOCK_SIZE)
                self._refuse(name.hex(), fetch, now)
        pages = []
        for block in reply.blocks:
            page = self._take_block(sender, block, now)
            if page is not None:
                pages.append(page)
        return pages

    def _take_block(self, sender: str, block: PageBlock, now: int) -> FetchedPage | None:
        digest = block.digest.hex()
        fetch = self._under_way.get(digest)
        if fetch is None:
            return None
        if fetch.source != sender:
            if sender not in fetch.late or fetch.blocks:
                return None
            # It was late, and is the first to answer all the same.
            fetch.late.discard(sender)
            fetch.late.add(fetch.source)
            fetch.begin(sender, self._patience(sender))
        if not fetch.fits(block):
            self._spoil(digest, fetch)
            return None
        if fetch.total is None:
            self._learn_total(fetch, block.total)
        asked_at = fetch.asked.pop(block.offset, None)
        if asked_at is not None:
            self._budget.give_back(max(0, BLOCK_SIZE - len(block.data) - BLOCK_HEADER))
            if not fetch.unanswered:
                self._measure(sender, now - asked_at)
        fetch.blocks[block.offset] = block.data
        fetch.unanswered = 0
        return self._finish(digest, fetch) if fetch.is_whole() else None

    def _measure(self, source: str, round_trip: int) -> None:
        before = self._round_trips.get(source, round_trip)
        self._round_trips[source] = before + (round_trip - before) // 8

    def _learn_total(self, fetch: _Fetch, total: int) -> None:
        """The length is known: what was asked for beyond it will not come."""
        fetch.total = total
        beyond = [offset for offset in fetch.asked if offset >= total]
        for offset in beyond:
            del fetch.asked[offset]
        self._budget.give_back(len(beyond) * BLOCK_SIZE)

    def _finish(self, digest: str, fetch: _Fetch) -> FetchedPage | None:
        packed = fetch.packed()
        try:
            raw = decompress(packed, MAX_PAGE_BYTES)
            verify(raw, digest)
            page = FetchedPage(digest, packed, child_digests(raw))
        except PageError:
            self._spoil(digest, fetch)
            return None
        del self._under_way[digest]
        self.add_source(fetch.source)
        return page

    def _spoil(self, digest: str, fetch: _Fetch) -> None:
        self.spoilt += 1
        fetch.late.discard(fetch.source)
        self._preferred.pop(fetch.source, None)
        self._give_way(digest, fetch)

    def _refuse(self, digest: str, fetch: _Fetch, now: int) -> None:
        """A source does not have the page yet, or has no room for it now."""
        self._give_way(digest, fetch)
        if len(fetch.tried) % REFUSALS == 0:
            del self._idle[digest]
            self._resting[digest] = now + REST // 4, fetch

    def _was_silent(self, digest: str, fetch: _Fetch, now: int) -> None:
        """A source did not answer in time; it may still, or at the next time."""
        source = fetch.source
        self._silent.setdefault(source, (now + FIRST_SILENCE, FIRST_SILENCE))
        self._give_way(digest, fetch)
        fetch.late.add(source)
        if source in self._preferred:
            fetch.tried.discard(source)  # it most likely has the page, whoever else has not

    def _give_way(self, digest: str, fetch: _Fetch) -> None:
        """Have a page fetched from another source."""
        del self._under_way[digest]
        fetch.tried.add(fetch.source)
        self._idle[digest] = fetch
