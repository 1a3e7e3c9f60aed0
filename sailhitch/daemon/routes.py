"""Which route a request takes, and which pool: the lookup and the split. Sans-IO.

The order, written down: of the routes that match a request, the one wins that

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
MOST_LABELS: Final = 20  # of a host; a longer one is looked up by its last ones


@dataclass(frozen=True, slots=True)
class Match:
    """What a request must be. Empty and None stand for anything. Header names are lower case."""

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
    """A request as far as routes look at it. `path` is normal (`normal_path`), names lower case."""

    method: str
    path: str
    host: str = ""
    header: Mapping[str, str] = field(default_factory=dict)
    cls: str | None = None
    tenant: str | None = None


class PathError(ValueError):
    """A path that two readers could take differently."""


def normal_path(target: bytes) -> str:
    """The path of a request's target, without escapes of what needs none (RFC 3986, 6.2.2.2).

    Raises PathError. Guards against a path that is one route's here and another's at the node:
    dot segments, and slashes or NUL in disguise, are refused and not guessed at. That does harm to
    an application that means something by them.
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
    made = [first.decode("latin-1")]
    for part in rest:
        code = part[:2]
        if len(code) < 2 or any(c not in b"0123456789abcdefABCDEF" for c in code):
            raise PathError("target has a bad escape")
        byte = int(code, 16)
        if byte in (0x00, 0x2F, 0x5C):
            raise PathError("target hides a slash or a zero byte")
        char = chr(byte)
        plain = char.isascii() and (char.isalnum() or char in "-._~")
        made.append((char if plain else "%" + code.decode().upper()) + part[2:].decode("latin-1"))
    return "".join(made)


def _segments(prefix: str) -> str:
    """A prefix as it is looked up: "" for the root, no slash at its end."""
    return prefix.rstrip("/")


def _rank(match: Match) -> tuple[int, int, bool, bool, int, bool]:
    """Return how specific: compared as a whole, more is more so."""
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


def _apart(one: Match, other: Match) -> bool:
    """Return whether no request can match both, as far as host and path do not say so."""
    if one.methods and other.methods and not one.methods & other.methods:
        return True
    if one.tenant != other.tenant and None not in (one.tenant, other.tenant):
        return True
    if one.cls != other.cls and None not in (one.cls, other.cls):
        return True
    theirs = dict(other.header)
    return any(name in theirs and theirs[name] != value for name, value in one.header)


def tied(routes: Iterable[Route]) -> Iterator[tuple[Route, Route]]:
    """Pairs of routes between which nothing decides for some request; the later one second.

    Prefixes of one length that both match a path are the same, as are patterns of a host. Routes
    of one place that ask for different values of the same field are apart, and not compared.
    """
    places: dict[tuple[object, ...], dict[str, dict[str, list[Route]]]] = {}
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
        place = places.setdefault(key, {})
        for other, values in place.items():
            near = [values.get(value, [])] if other == name else values.values()
            for earlier in (one for group in near for one in group):
                if not _apart(earlier.match, match):
                    yield earlier, route
        place.setdefault(name, {}).setdefault(value, []).append(route)


class _Place:
    """The routes of one host and prefix, by the field that tells most of them apart."""

    __slots__ = ("by", "names")

    def __init__(self) -> None:
        self.by: dict[tuple[str, str], list[tuple[int, Route]]] = {}
        self.names: set[str] = set()  # of header fields that some route is found by

    def add(self, order: int, route: Route) -> None:
        """Take one in; they come in their order, most specific first."""
        match = route.match
        if match.tenant is not None:
            key = ("tenant", match.tenant)
        elif match.cls is not None:
            key = ("class", match.cls)
        elif match.header:
            name, value = match.header[0]
            key = (f"header {name}", value)
            self.names.add(name)
        else:
            key = ("any", "")
        self.by.setdefault(key, []).append((order, route))

    def find(self, asked: RouteQuery) -> Route | None:
        found: tuple[int, Route] | None = None
        for key in self._keys(asked):
            for entry in self.by.get(key, ()):
                if found is not None and entry[0] >= found[0]:
                    break
                if _fits(entry[1].match, asked):
                    found = entry
                    break
        return None if found is None else found[1]

    def _keys(self, asked: RouteQuery) -> Iterator[tuple[str, str]]:
        if asked.tenant is not None:
            yield "tenant", asked.tenant
        if asked.cls is not None:
            yield "class", asked.cls
        for name in self.names:
            value = asked.header.get(name)
            if value is not None:
                yield f"header {name}", value
        yield "any", ""


def _fits(match: Match, asked: RouteQuery) -> bool:
    return (
        (not match.methods or asked.method in match.methods)
        and (match.tenant is None or match.tenant == asked.tenant)
        and (match.cls is None or match.cls == asked.cls)
        and all(asked.header.get(name) == value for name, value in match.header)
    )


class Routes:
    """The table of routes; never changed once made."""

    def __init__(self, routes: Sequence[Route]) -> None:
        self.fields = frozenset(n for route in routes for n, _ in route.match.header)
        self._places: dict[str | None, dict[str, _Place]] = {}
        for i, route in enumerate(sorted(routes, key=lambda r: _rank(r.match), reverse=True)):
            match = route.match
            at = self._places.setdefault(match.host, {})
            at.setdefault(_segments(match.path_prefix), _Place()).add(i, route)

    def find(self, asked: RouteQuery) -> Route | None:
        """Return the route that wins, or None where none matches."""
        for host in self._hosts(asked.host):
            places = self._places.get(host)
            if places is None:
                continue
            for prefix in _prefixes(asked.path):
                place = places.get(prefix)
                found = place.find(asked) if place is not None else None
                if found is not None:
                    return found
        return None

    def _hosts(self, host: str) -> Iterator[str | None]:
        """Return the patterns that a host matches, most specific first."""
        if host and len(self._places) > (None in self._places):
            yield host
            labels = host.split(".")[-MOST_LABELS:]
            for i in range(1, len(labels)):
                yield "*." + ".".join(labels[i:])
        yield None


def _prefixes(path: str) -> Iterator[str]:
    """Return all prefixes of whole segments, longest first, without a slash at their end."""
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

    Weighted rendezvous hashing: a key moves only from a pool whose part has shrunk to one whose
    part has grown, and as few do as must. Raises ValueError if no weight is above 0.
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
    """Which pool a key went to, for as long as its repeats may come; bounded.

    Guards against a client's repeat of a keyed request after its split has changed: the other pool
    knows nothing of the first try, and the effect would happen twice. What is forgotten, by
    a restart or for want of room, goes by the split as it is then.
    """

    def __init__(self, most: int = 100_000) -> None:
        self.most = most
        self._known: dict[bytes, tuple[T, int]] = {}  # oldest first

    def __len__(self) -> int:
        return len(self._known)

    def get(self, key: bytes, now: int) -> T | None:
        """Return the pool that this key went to, if that still counts at `now` (microseconds)."""
        known = self._known.get(key)
        return known[0] if known is not None and now < known[1] else None

    def note(self, key: bytes, pool: T, now: int, until: int) -> None:
        """A request with this key goes to this pool; that counts until then."""
        self._known.pop(key, None)
        self._known[key] = (pool, until)
        while len(self._known) > self.most or self._oldest() <= now:
            del self._known[next(iter(self._known))]

    def _oldest(self) -> int:
        return next(iter(self._known.values()))[1] if self._known else 1 << 62
