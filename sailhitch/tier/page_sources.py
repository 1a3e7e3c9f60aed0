"""Selects the members from which pages are fetched, and the time-outs of requests to them."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Sequence
from typing import Final, NamedTuple

# A request's time-out in round trips of its source; without a measured one, `MAX_TIMEOUT` applies.
TIMEOUT_ROUND_TRIPS: Final = 3
MIN_TIMEOUT: Final = 90_000  # us
MAX_TIMEOUT: Final = 250_000  # us
# How long a source that did not answer is only asked after all others. It doubles with each
# consecutive time-out: one datagram may get lost, but several mean that the source is down.
MIN_BACKOFF: Final = 200_000  # us
MAX_BACKOFF: Final = 6_400_000  # us
MAX_PREFERRED_SOURCES: Final = 16

IsAlive = Callable[[str], bool]
"""Returns False for a member that is declared dead."""


def assume_alive(name: str) -> bool:
    """Return True; used where it is not known which members are dead."""
    return True


class _Backoff(NamedTuple):
    until: int
    length: int


class PageSources:
    """Sources, ranked by how likely they have a page. Times are in microseconds."""

    def __init__(self, is_alive: IsAlive = assume_alive) -> None:
        self._is_alive = is_alive
        self._preferred: dict[str, None] = {}  # in order of the latest announcement or page sent
        self._fallback_ranks: Sequence[Sequence[str]] = ()
        self._backoffs: dict[str, _Backoff] = {}
        self._round_trips: dict[str, int] = {}  # smoothed as in RFC 6298

    def prefer_only(self, name: str) -> None:
        """Prefer only the member that announced a new tree; earlier sources may not have it."""
        self._preferred = {name: None}

    def prefer(self, name: str) -> None:
        """Prefer a member that announced a tree or sent a page of one."""
        self._preferred.pop(name, None)
        self._preferred[name] = None
        if len(self._preferred) > MAX_PREFERRED_SOURCES:
            del self._preferred[next(iter(self._preferred))]

    def may_repeat(self, name: str) -> bool:
        """Return whether to request the same page again from a source that has timed out.

        This is so if it has recently announced a tree or sent a page, and is not declared dead.
        """
        return name in self._preferred and self._is_alive(name)

    def set_fallback(self, ranks: Sequence[Sequence[str]]) -> None:
        """Set the members to ask after the preferred ones: groups, the most likely first."""
        self._fallback_ranks = ranks

    def select(self, tried: Collection[str], now: int, rng: random.Random) -> str | None:
        """Return a random untried source of the first group that has one.

        Sources in backoff come after all others, and preferred ones that are declared dead come
        last.
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
                self._extend_backoff(source, now)  # one request is enough to probe the source
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
        """Begin a source's backoff, unless it has one."""
        self._backoffs.setdefault(source, _Backoff(now + MIN_BACKOFF, MIN_BACKOFF))

    def on_corrupt(self, source: str) -> None:
        """Stop preferring a source that sent data other than the page."""
        self._preferred.pop(source, None)

    def record_round_trip(self, source: str, round_trip: int) -> None:
        """Update a source's smoothed round-trip time."""
        smoothed = self._round_trips.get(source, round_trip)
        self._round_trips[source] = smoothed + (round_trip - smoothed) // 8

    def timeout_of(self, source: str) -> int:
        """Return how long to wait for a source's reply."""
        round_trip = self._round_trips.get(source, MAX_TIMEOUT)
        return min(MAX_TIMEOUT, max(MIN_TIMEOUT, TIMEOUT_ROUND_TRIPS * round_trip))
