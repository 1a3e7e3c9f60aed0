"""Which route a request takes, and which pool: the lookup and the split. Sans-IO.

Of the routes that match a request, the one takes precedence that

1. names its host exactly, then by the longest `*.` pattern, then by none;
2. has the longest path prefix, counted in whole segments;
3. names a tenant; then 4. a class; then 5. more header fields; then 6. methods.

Two routes that could both match one request and are equal in all six are an error of the file
(`tied`). A lookup costs one step for each pattern of the host and each prefix of the path that is
in use, and one for each field by which the routes of such a place differ, however many there are.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final, Generic, TypeVar

T = TypeVar("T")
MAX_LABELS: Final = 20  # of a host; a longer one is looked up by its last labels


@dataclass(frozen=True, slots=True)
class Match:
    """What a route requires; empty and None match anything. Header names are lower case."""

    path_prefix: str = "/"
    host: str | None = None
    methods: frozenset[str] = frozenset()
    header: tuple[tuple[str, str], ...] = ()
    cls: str | None = None
    tenant: str | None = None


@dataclass(frozen=True, slots=True)
class Route:
    """A route: what it matches, the class of its requests, and its pools with their weights."""

    name: str
    match: Match
    cls: str
    pools: tuple[tuple[str, float], ...]


@dataclass(frozen=True, slots=True)
class RouteQuery:
    """What routes match of a request; `path` is normalized (`normal_path`), names lower case."""

    method: str
    path: str
    host: str = ""
    header: Mapping[str, str] = field(default_factory=dict)
    cls: str | None = None
    tenant: str | None = None


class PathError(ValueError):
    """A path that a gateway and a node could interpret differently."""


def normal_path(target: bytes) -> str:
    """Return the path of a request's target, without needless escapes (RFC 3986, 6.2.2.2).

    Dot segments and escaped slashes and NULs are rejected, as a node could resolve them to a path
    of another route. An application that relies on them can't be served.

    Raises:
        PathError: The target is no path, or an ambiguous one.
    """
    path = target.partition(b"?")[0].partition(b"#")[0]
    if not path.startswith(b"/"):
        if path == b"*":
            return "/"
        scheme, mark, rest = path.partition(b"://")
        if not mark or not scheme.isalnum():
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


def _segments(prefix: str) -> str:
    """Return a prefix as it is looked up: "" for the root, no slash at its end."""
    return prefix.rstrip("/")


def _rank(match: Match) -> tuple[int, int, bool, bool, int, bool]:
    """Return how specific a match is; the greater tuple takes precedence."""
    host = match.host
    exact = 0 if host is None else len(host) if host.startswith("*.") else 1 << 20
    return (
        exact,
        len(_segments(match.path_prefix)),
        match.tenant is not None,
        match.cls is not None,
        len(match.header),
        bool(match.methods),
    )


def _are_disjoint(first: Match, second: Match) -> bool:
    """Return whether no request can match both, leaving host and path aside."""
    if first.methods and second.methods and not first.methods & second.methods:
        return True
    if first.tenant != second.tenant and None not in (first.tenant, second.tenant):
        return True
    if first.cls != second.cls and None not in (first.cls, second.cls):
        return True
    fields = dict(second.header)
    return any(name in fields and fields[name] != value for name, value in first.header)


def tied(routes: Iterable[Route]) -> Iterator[tuple[Route, Route]]:
    """Yield the pairs of routes of equal precedence that some request matches, later one second.

    Prefixes of one length that both match a path are equal, and so are patterns of a host. Routes
    of one host and prefix that require different values of a field are not compared.
    """
    by_rank: dict[tuple[object, ...], dict[str, dict[str, list[Route]]]] = {}
    for route in routes:
        match = route.match
        key = (
            match.host,
            _segments(match.path_prefix),
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
    """The routes of one host and prefix, indexed by their most selective field."""

    __slots__ = ("header_names", "index")

    def __init__(self) -> None:
        self.index: dict[tuple[str, str], list[tuple[int, Route]]] = {}
        self.header_names: set[str] = set()  # of header fields in the index

    def add(self, order: int, route: Route) -> None:
        """Add a route; routes are added by precedence, most specific first."""
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
            by_prefix.setdefault(_segments(match.path_prefix), _RouteGroup()).add(order, route)

    def find(self, query: RouteQuery) -> Route | None:
        """Return the matching route that takes precedence, None where none matches."""
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
    """Yield all prefixes of complete segments, longest first, without a slash at their end."""
    path = path.rstrip("/")
    while True:
        yield path
        if not path:
            return
        path = path[: path.rfind("/")].rstrip("/")


def bare_host(value: str) -> str:
    """Return a Host field without its port, in lower case."""
    host = value.strip().lower()
    if host.startswith("["):
        return host.partition("]")[0] + "]"
    return host.partition(":")[0].rstrip(".")


# --- Splits


def choose_pool(pools: Sequence[tuple[str, float]], key: bytes) -> str:
    """Return the pool of a request with this key, each by its weight.

    Weighted rendezvous hashing: when weights change, as few keys move as possible, and only from
    pools whose share has shrunk to pools whose share has grown. Raises ValueError if no weight is
    above 0.
    """
    open_pools = [(name, weight) for name, weight in pools if weight > 0]
    if len(open_pools) == 1:
        return open_pools[0][0]
    if not open_pools:
        raise ValueError("no pool has a weight above 0")
    return max(open_pools, key=lambda pool: _score(pool[0], pool[1], key))[0]


def _score(name: str, weight: float, key: bytes) -> float:
    digest = hashlib.blake2b(key, digest_size=8, key=name.encode()[:64]).digest()
    point = (int.from_bytes(digest, "big") + 0.5) / 2.0**64
    return -weight / math.log(point)


class Sticky(Generic[T]):
    """Which pool an idempotency key went to, for as long as its retries may come; bounded.

    A client may retry a keyed request after the split has changed. Another pool does not know of
    the first attempt, and the effect would happen twice. Keys that were dropped, by a restart or
    for lack of space, are split anew.
    """

    def __init__(self, max_keys: int = 100_000) -> None:
        self.max_keys = max_keys
        self._known: dict[bytes, tuple[T, int]] = {}  # oldest first

    def __len__(self) -> int:
        return len(self._known)

    def get(self, key: bytes, now: int) -> T | None:
        """Return the pool that this key went to, if that still counts at `now` (microseconds)."""
        known = self._known.get(key)
        return known[0] if known is not None and now < known[1] else None

    def note(self, key: bytes, pool: T, now: int, until: int) -> None:
        """Remember until `until` that a request with this key goes to this pool."""
        self._known.pop(key, None)
        self._known[key] = (pool, until)
        while len(self._known) > self.max_keys or self._oldest() <= now:
            del self._known[next(iter(self._known))]

    def _oldest(self) -> int:
        return next(iter(self._known.values()))[1] if self._known else 1 << 62
