"""The members that pages are fetched from: which to ask next, and how long to wait for it."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Sequence
from typing import Final, NamedTuple

# Of a request: so many round trips of its source; the maximum where none is known.
TIMEOUT_ROUND_TRIPS: Final = 3
MIN_TIMEOUT: Final = 90_000  # us
MAX_TIMEOUT: Final = 250_000  # us
# A source that did not answer is asked after the others for this time. It doubles with each
# time-out in a row: one datagram may be lost, several mean that the source is down.
MIN_BACKOFF: Final = 200_000  # us
MAX_BACKOFF: Final = 6_400_000  # us
MAX_PREFERRED_SOURCES: Final = 16

IsAlive = Callable[[str], bool]
"""Returns whether a member is not declared dead."""


def assume_alive(name: str) -> bool:
    """Return True, where nothing tells which members are dead."""
    return True


class _Backoff(NamedTuple):
    until: int
    length: int


class PageSources:
    """Sources by how likely they have a page; times in microseconds."""

    def __init__(self, is_alive: IsAlive = assume_alive) -> None:
        self._is_alive = is_alive
        self._preferred: dict[str, None] = {}  # the one that proved itself last is the last
        self._fallback_ranks: Sequence[Sequence[str]] = ()
        self._backoffs: dict[str, _Backoff] = {}
        self._round_trips: dict[str, int] = {}  # smoothed as in RFC 6298

    def prefer_only(self, name: str) -> None:
        """Prefer the member that announced a new tree; older sources may not have it."""
        self._preferred = {name: None}

    def prefer(self, name: str) -> None:
        """Prefer a member that announced a tree or sent a page of one."""
        self._preferred.pop(name, None)
        self._preferred[name] = None
        if len(self._preferred) > MAX_PREFERRED_SOURCES:
            del self._preferred[next(iter(self._preferred))]

    def may_repeat(self, name: str) -> bool:
        """Return whether a source that has timed out is worth another request of the same page.

        It is where it has announced a tree or sent a page lately, and is not declared dead.
        """
        return name in self._preferred and self._is_alive(name)

    def set_fallback(self, ranks: Sequence[Sequence[str]]) -> None:
        """Set the members to ask after the preferred ones, the most likely rank first."""
        self._fallback_ranks = ranks

    def select(self, tried: Collection[str], now: int, rng: random.Random) -> str | None:
        """Return an untried source of the first rank that has one.

        Those in backoff come after the others, and those declared dead come last.
        """
        alive = [name for name in self._preferred if self._is_alive(name)]
        dead = [name for name in self._preferred if name not in alive and name not in tried]
        ranks = (alive, *self._fallback_ranks)
        untried = [[name for name in names if name not in tried] for names in ranks]
        available = [
            [name for name in names if not self._is_in_backoff(name, now)] for names in untried
        ]
        for names in (*available, *untried, dead):
            if names:
                source = rng.choice(names)
                self._extend_backoff(source, now)  # one page shows whether it is back
                return source
        return None

    def _is_in_backoff(self, name: str, now: int) -> bool:
        return name in self._backoffs and self._backoffs[name].until > now

    def _extend_backoff(self, source: str, now: int) -> None:
        if source in self._backoffs:
            length = min(MAX_BACKOFF, 2 * self._backoffs[source].length)
            self._backoffs[source] = _Backoff(now + length, length)

    def on_reply(self, source: str) -> None:
        """End a source's backoff."""
        self._backoffs.pop(source, None)

    def on_timeout(self, source: str, now: int) -> None:
        """Begin a source's backoff, unless it is in one."""
        self._backoffs.setdefault(source, _Backoff(now + MIN_BACKOFF, MIN_BACKOFF))

    def on_corrupt(self, source: str) -> None:
        """Prefer a source no longer that sent something else than the page."""
        self._preferred.pop(source, None)

    def record_round_trip(self, source: str, round_trip: int) -> None:
        """Update a source's smoothed round-trip time."""
        smoothed = self._round_trips.get(source, round_trip)
        self._round_trips[source] = smoothed + (round_trip - smoothed) // 8

    def timeout_of(self, source: str) -> int:
        """Return how long to wait for a source's reply."""
        round_trip = self._round_trips.get(source, MAX_TIMEOUT)
        return min(MAX_TIMEOUT, max(MIN_TIMEOUT, TIMEOUT_ROUND_TRIPS * round_trip))
