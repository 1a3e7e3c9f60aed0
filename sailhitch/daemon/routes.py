"""Finds the route of a request, and splits a route's requests over its pools. Sans-IO.

Of the routes that match a request, the most specific one takes precedence, compared by

1. the host: an exact one, then the longest `*.` pattern, then none;
2. the path prefix: the longest, in whole segments;
3. a tenant; then 4. a class; then 5. more header fields; then 6. methods.

Two routes that could match the same request and are equal in all six are an error in the file
(`find_ambiguous_routes`). A lookup takes one step for each host pattern and each path prefix that
match the request, and one for each field that the routes of such a host and prefix require. It does
not depend on the number of routes.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final, Generic, TypeVar

T = TypeVar("T")
MAX_LABELS: Final = 20  # in a host; a longer one is looked up by its last labels


@dataclass(frozen=True, slots=True)
class Match:
    """The conditions of a route; empty and None match anything. Header names are in lower case."""

    path_prefix: str = "/"
    host: str | None = None
    methods: frozenset[str] = frozenset()
    header: tuple[tuple[str, str], ...] = ()
    cls: str | None = None
    tenant: str | None = None


@dataclass(frozen=True, slots=True)
class Route:
    """A route: its conditions, the class of its requests, and its pools with their weights."""

    name: str
    match: Match
    cls: str
    pools: tuple[tuple[str, float], ...]


@dataclass(frozen=True, slots=True)
class RouteQuery:
    """The parts of a request that routes match; `path` is normalized, names are lower case."""

    method: str
    path: str
    host: str = ""
    header: Mapping[str, str] = field(default_factory=dict)
    cls: str | None = None
    tenant: str | None = None


class PathError(ValueError):
    """A path that a gateway and a node could interpret differently."""


def normalize_path(target: bytes) -> str:
    """Return the path of a request's target, without needless escapes (RFC 3986, 6.2.2.2).

    Dot segments, escaped slashes, backslashes and NULs are rejected, because a node could resolve
    them to a path of another route. Applications that rely on them can't be served.

    Raises:
        PathError: The target is not a path, or is ambiguous.
    """
    path = target.partition(b"?")[0].partition(b"#")[0]
    if not path.startswith(b"/"):
        if path == b"*":
            return "/"
        scheme, separator, rest = path.partition(b"://")
        if not separator or not scheme.isalnum():
            raise PathError("target is no path")
        path = b"/" + rest.partition(b"/")[2]
    text = _unescaped(path)
    if any(part in (".", "..") for part in text.split("/")):
        raise PathError("target has dot segments")
    return text


def _unescaped(path: bytes) -> str:
    if b"%" not in path:
        return path.decode("latin-1")
    first, *rest = path.split(b"%")
    decoded = [first.decode("latin-1")]
    for part in rest:
        code = part[:2]
        if len(code) < 2 or any(c not in b"0123456789abcdefABCDEF" for c in code):
            raise PathError("target has a bad escape")
        byte = int(code, 16)
        if byte in (0x00, 0x2F, 0x5C):
            raise PathError("target hides a slash or a zero byte")
        char = chr(byte)
        plain = char.isascii() and (char.isalnum() or char in "-._~")
        decoded.append(
            (char if plain else "%" + code.decode().upper()) + part[2:].decode("latin-1")
        )
    return "".join(decoded)


def _without_trailing_slash(prefix: str) -> str:
    """Return a prefix in the form of the lookup; the root is ""."""
    return prefix.rstrip("/")


def _rank(match: Match) -> tuple[int, int, bool, bool, int, bool]:
    """Return how specific a match is; the greatest tuple takes precedence."""
    host = match.host
    host_rank = 0 if host is None else len(host) if host.startswith("*.") else 1 << 20
    return (
        host_rank,
        len(_without_trailing_slash(match.path_prefix)),
        match.tenant is not None,
        match.cls is not None,
        len(match.header),
        bool(match.methods),
    )


def _are_disjoint(first: Match, second: Match) -> bool:
    """Return whether no request can match both; host and path are not compared."""
    if first.methods and second.methods and not first.methods & second.methods:
        return True
    if first.tenant != second.tenant and None not in (first.tenant, second.tenant):
        return True
    if first.cls != second.cls and None not in (first.cls, second.cls):
        return True
    fields = dict(second.header)
    return any(name in fields and fields[name] != value for name, value in first.header)


def find_ambiguous_routes(routes: Iterable[Route]) -> Iterator[tuple[Route, Route]]:
    """Yield the pairs of routes of equal precedence that a single request could match, in order.

    Only routes of the same host and prefix are compared: two prefixes of one length that match the
    same path are the same prefix, and so are host patterns. Routes that require different values
    of their first header field can't match the same request, and are skipped.
    """
    by_rank: dict[tuple[object, ...], dict[str, dict[str, list[Route]]]] = {}
    for route in routes:
        match = route.match
        key = (
            match.host,
            _without_trailing_slash(match.path_prefix),
            _rank(match),
            match.tenant,
            match.cls,
        )
        name, value = match.header[0] if match.header else ("", "")
        by_field = by_rank.setdefault(key, {})
        for other, values in by_field.items():
            groups = [values.get(value, [])] if other == name else values.values()
            for earlier in (candidate for group in groups for candidate in group):
                if not _are_disjoint(earlier.match, match):
                    yield earlier, route
        by_field.setdefault(name, {}).setdefault(value, []).append(route)


class _RouteGroup:
    """The routes of one host and prefix, each indexed by its most selective condition."""

    __slots__ = ("header_names", "index")

    def __init__(self) -> None:
        self.index: dict[tuple[str, str], list[tuple[int, Route]]] = {}
        self.header_names: set[str] = set()  # header fields that the index has entries for

    def add(self, order: int, route: Route) -> None:
        """Add a route; must be called in order of precedence, most specific first."""
        match = route.match
        if match.tenant is not None:
            key = ("tenant", match.tenant)
        elif match.cls is not None:
            key = ("class", match.cls)
        elif match.header:
            name, value = match.header[0]
            key = (f"header {name}", value)
            self.header_names.add(name)
        else:
            key = ("any", "")
        self.index.setdefault(key, []).append((order, route))

    def find(self, query: RouteQuery) -> Route | None:
        best: tuple[int, Route] | None = None
        for key in self._keys(query):
            for entry in self.index.get(key, ()):
                if best is not None and entry[0] >= best[0]:
                    break
                if _fits(entry[1].match, query):
                    best = entry
                    break
        return None if best is None else best[1]

    def _keys(self, query: RouteQuery) -> Iterator[tuple[str, str]]:
        if query.tenant is not None:
            yield "tenant", query.tenant
        if query.cls is not None:
            yield "class", query.cls
        for name in self.header_names:
            value = query.header.get(name)
            if value is not None:
                yield f"header {name}", value
        yield "any", ""


def _fits(match: Match, query: RouteQuery) -> bool:
    return (
        (not match.methods or query.method in match.methods)
        and (match.tenant is None or match.tenant == query.tenant)
        and (match.cls is None or match.cls == query.cls)
        and all(query.header.get(name) == value for name, value in match.header)
    )


class Routes:
    """An immutable table of routes."""

    def __init__(self, routes: Sequence[Route]) -> None:
        self.fields = frozenset(name for route in routes for name, _ in route.match.header)
        self._groups: dict[str | None, dict[str, _RouteGroup]] = {}
        by_precedence = sorted(routes, key=lambda route: _rank(route.match), reverse=True)
        for order, route in enumerate(by_precedence):
            match = route.match
            by_prefix = self._groups.setdefault(match.host, {})
            by_prefix.setdefault(_without_trailing_slash(match.path_prefix), _RouteGroup()).add(
                order, route
            )

    def find(self, query: RouteQuery) -> Route | None:
        """Return the most specific route that matches, or None if none does."""
        for host in self._hosts(query.host):
            by_prefix = self._groups.get(host)
            if by_prefix is None:
                continue
            for prefix in _prefixes(query.path):
                group = by_prefix.get(prefix)
                route = group.find(query) if group is not None else None
                if route is not None:
                    return route
        return None

    def _hosts(self, host: str) -> Iterator[str | None]:
        """Yield the patterns that a host matches, most specific first."""
        if host and len(self._groups) > (None in self._groups):
            yield host
            labels = host.split(".")[-MAX_LABELS:]
            for i in range(1, len(labels)):
                yield "*." + ".".join(labels[i:])
        yield None


def _prefixes(path: str) -> Iterator[str]:
    """Yield all prefixes of whole segments, longest first, without a trailing slash."""
    path = path.rstrip("/")
    while True:
        yield path
        if not path:
            return
        path = path[: path.rfind("/")].rstrip("/")


def normalize_host(value: str) -> str:
    """Return a Host field in lower case, without its port and a trailing dot."""
    host = value.strip().lower()
    if host.startswith("["):
        return host.partition("]")[0] + "]"
    return host.partition(":")[0].rstrip(".")


# --- Splits


def choose_pool(pools: Sequence[tuple[str, float]], key: bytes) -> str:
    """Return the pool of a request with this key, chosen by weight.

    Weighted rendezvous hashing: when weights change, as few keys as possible move, and only from
    pools whose share has shrunk to pools whose share has grown. Raises ValueError if no weight is
    above 0.
    """
    weighted_pools = [(name, weight) for name, weight in pools if weight > 0]
    if len(weighted_pools) == 1:
        return weighted_pools[0][0]
    if not weighted_pools:
        raise ValueError("no pool has a weight above 0")
    return max(weighted_pools, key=lambda pool: _score(pool[0], pool[1], key))[0]


def _score(name: str, weight: float, key: bytes) -> float:
    digest = hashlib.blake2b(key, digest_size=8, key=name.encode()[:64]).digest()
    point = (int.from_bytes(digest, "big") + 0.5) / 2.0**64
    return -weight / math.log(point)


class StickyPools(Generic[T]):
    """Remembers the pool of each idempotency key for as long as retries may arrive; bounded.

    A client may retry a keyed request after the split has changed. A different pool would not know
    of the first attempt, and the effect would happen twice. Keys that were dropped, by a restart
    or for lack of space, are split again by weight.
    """

    def __init__(self, max_keys: int = 100_000) -> None:
        self.max_keys = max_keys
        self._pool_by_key: dict[bytes, tuple[T, int]] = {}  # oldest first

    def __len__(self) -> int:
        return len(self._pool_by_key)

    def get(self, key: bytes, now: int) -> T | None:
        """Return the pool of a key, or None if it is unknown or expired at `now` (microseconds)."""
        entry = self._pool_by_key.get(key)
        return entry[0] if entry is not None and now < entry[1] else None

    def remember(self, key: bytes, pool: T, now: int, until: int) -> None:
        """Remember the pool of a key until `until` (microseconds)."""
        self._pool_by_key.pop(key, None)
        self._pool_by_key[key] = (pool, until)
        while len(self._pool_by_key) > self.max_keys or self._first_expiry() <= now:
            del self._pool_by_key[next(iter(self._pool_by_key))]

    def _first_expiry(self) -> int:
        return next(iter(self._pool_by_key.values()))[1] if self._pool_by_key else 1 << 62
