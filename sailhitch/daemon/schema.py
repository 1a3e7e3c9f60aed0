"""The operator file: its form, and every error in it at once, each with the path of its field.

Read as TOML (tomllib) and checked by pydantic. What can't be said of one field alone (names that
must be known, addresses used twice) is checked here after that; what concerns several routes is in
`routes.py`.
"""

from __future__ import annotations

import copy
import difflib
import re
import tomllib
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Annotated, Any, Final, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    PlainSerializer,
    ValidationError,
    ValidationInfo,
    field_validator,
)
from pydantic_core import ErrorDetails

from ..core.endpoints import parse_host_port
from .routes import Match, Route, tied

MAX_FILE: Final = 64 << 20  # bytes; ten thousand nodes take one
UNITS: Final = {"us": 1, "ms": 1000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
LONGEST: Final = 24 * UNITS["h"]
VERSION: Final = 1
# Of a tier: 1,700 are asked for in two years. It was 300 while `Member.waiting_for` sorted the
# whole roster for each member; now names are sorted once for a roster (`tier/roster.py`).
MOST_MEMBERS: Final = 2_000
SHORTEST_LEASE: Final = 1_000_000  # several questions to the voters fit in, and a slow disk
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


class FileError(ValueError):
    """The file can't be used; `problems` has one line for each thing wrong with it."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


def read_duration(value: Any) -> int:
    """Microseconds of a text such as "2.5s" or "250ms"."""
    found = (
        re.fullmatch(r"(\d{1,9}(?:\.\d{1,6})?)\s*(us|ms|s|m|h)", value.strip())
        if isinstance(value, str)
        else None
    )
    if found is None:
        raise ValueError('not a duration such as "250ms", "2.5s" or "1m"')
    time = round(float(found[1]) * UNITS[found[2]])
    if not 0 < time <= LONGEST:
        raise ValueError("not above 0 and up to 24h")
    return time


def _name(value: str) -> str:
    if not _NAME.fullmatch(value):
        raise ValueError("not a name of up to 63 letters, digits, '.', '_' and '-'")
    return value


def _address(value: str) -> str:
    address = parse_host_port(value)
    if address is None:
        raise ValueError('not an address such as "127.0.0.1:8080"')
    host, port = address
    return f"{'.'.join(str(int(o)) for o in host.split('.'))}:{port}"


def _path(value: str) -> str:
    if not value.startswith("/") or any(c in value for c in "?#% \t") or not value.isprintable():
        raise ValueError("not a path that begins with '/', without '?', '#', '%' or blanks")
    if any(part in (".", "..") for part in value.split("/")):
        raise ValueError("a path with '.' or '..' in it matches nothing")
    return value


def _host(value: str) -> str:
    low = value.lower().rstrip(".")
    if not re.fullmatch(r"(\*\.)?[a-z0-9]([a-z0-9.-]*[a-z0-9])?", low):
        raise ValueError('not a host such as "claims.example.org" or "*.example.org"')
    return low


def _method(value: str) -> str:
    if not re.fullmatch(r"[A-Z]{1,20}", value):
        raise ValueError("not a method in capitals")
    return value


def format_duration(time: int) -> str:
    """Microseconds as the file would have them, in the largest unit that takes it whole."""
    for unit in ("s", "ms", "us"):
        if time % UNITS[unit] == 0 or unit == "us":
            return f"{time // UNITS[unit]}{unit}"
    raise AssertionError


Duration = Annotated[int, BeforeValidator(read_duration), PlainSerializer(format_duration)]
Name = Annotated[str, AfterValidator(_name)]
Listen = Annotated[str, AfterValidator(_address)]
Weight = Annotated[float, Field(gt=0, le=1e6, allow_inf_nan=False)]
Share = Annotated[float, Field(ge=0, le=1e6, allow_inf_nan=False)]


class _Part(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class GatewayPart(_Part):
    """The gateway itself. What is here is fixed for the life of the process."""

    name: Name
    state_dir: str | None = None
    admin: str | None = None
    zone: str = ""
    memory_mb: Annotated[int, Field(ge=40, le=1 << 20)] = 256
    sockets: Annotated[int, Field(ge=64, le=1 << 20)] = 1024
    gateways: Annotated[int, Field(ge=1, le=10_000)] = 1
    number: Annotated[int, Field(ge=0)] | None = None
    max_attempts: Annotated[int, Field(ge=1, le=20)] = 3
    retry_after: Duration = 1_000_000
    drain_grace: Duration = 1_000_000
    cold_time: Duration = 5_000_000
    cold_share: Annotated[float, Field(gt=0, le=1, allow_inf_nan=False)] = 0.3
    rate: Annotated[float, Field(gt=0, le=1e9, allow_inf_nan=False)] | None = None

    @field_validator("number")
    @classmethod
    def _among(cls, number: int | None, info: ValidationInfo) -> int | None:
        if number is not None and number >= info.data.get("gateways", number + 1):
            raise ValueError("not below `gateways`: they are numbered from 0")
        return number


class ListenerPart(_Part):
    """Where clients connect."""

    name: Name
    address: Listen
    protocol: Literal["http1"] = "http1"


class ClassPart(_Part):
    """What is known beforehand of a class of requests."""

    name: Name
    effect: Literal["safe", "keyed", "unsafe"] | None = None
    aim: Duration
    deadline: Duration
    worth: Annotated[float, Field(gt=0, le=1e6, allow_inf_nan=False)] = 1.0
    late_worth: Share = 0.0
    dedup: Literal["pool", "zone", "cell"] = "cell"
    window: Duration | None = None

    def remembered(self) -> int:
        """Return how long nodes remember a key, in microseconds."""
        return self.deadline if self.window is None else self.window


class TenantPart(_Part):
    """Who requests belong to, and the share of the traffic that is theirs."""

    name: Name
    share: Annotated[float, Field(gt=0, le=1, allow_inf_nan=False)]


class NodePart(_Part):
    """A node of a pool."""

    id: Name
    address: Listen
    zone: str = ""
    cell: str = ""
    weight: Weight = 1.0


class PoolPart(_Part):
    """Nodes that serve the same requests."""

    name: Name
    nodes: list[NodePart] = []
    connect_timeout: Duration = 250_000
    idle_timeout: Duration = 15_000_000


class MatchPart(_Part):
    """What a request must be for a route to take it; what is not named may be anything."""

    path_prefix: Annotated[str, AfterValidator(_path)] = "/"
    host: Annotated[str, AfterValidator(_host)] | None = None
    methods: Annotated[
        list[Annotated[str, AfterValidator(_method)]], AfterValidator(lambda v: sorted(set(v)))
    ] = []
    header: dict[Annotated[str, Field(pattern=r"^[A-Za-z0-9!#$%&'*+.^_`|~-]+$")], str] = {}
    class_: Annotated[str | None, Field(alias="class")] = None
    tenant: str | None = None


class RoutePart(_Part):
    """Which pools requests go to, and under which class."""

    name: Name
    match: MatchPart = MatchPart()
    class_: Annotated[str, Field(alias="class")]
    pools: Annotated[dict[str, Share], Field(min_length=1)]


class TierMemberPart(_Part):
    """A gateway of the tier, and where it hears the others (UDP)."""

    name: Name
    address: Listen


class TierPart(_Part):
    """The tier that this gateway is of. Fixed for the life of the process."""

    name: Name
    members: Annotated[list[TierMemberPart], Field(min_length=1, max_length=MOST_MEMBERS)]
    voters: Annotated[list[str], Field(min_length=1, max_length=7)]
    key_file: str
    agree_within: Duration = 10_000_000
    lease: Duration | None = None


class ZonesPart(_Part):
    """Leaving zones as a fleet. Fixed for the life of the process."""

    mode: Literal["off", "advise", "act"] = "advise"
    max_out: Annotated[int, Field(ge=1, le=100)] = 1
    step: Duration | None = None
    leaves_an_hour: Annotated[int, Field(ge=0, le=100)] = 4


class OperatorFile(_Part):
    """All of it."""

    version: Literal[1]
    gateway: GatewayPart
    tier: TierPart | None = None
    zones: ZonesPart | None = None
    listeners: list[ListenerPart] = []
    classes: list[ClassPart] = []
    tenants: list[TenantPart] = []
    pools: list[PoolPart] = []
    routes: list[RoutePart] = []


# --- Reading


def load_file(path: str | Path) -> OperatorFile:
    """Read and check a file; raises FileError with everything that is wrong with it."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE + 1)
    except OSError as error:
        raise FileError([f"{path}: {error.strerror}"]) from None
    if len(data) > MAX_FILE:
        raise FileError([f"{path}: larger than {MAX_FILE >> 20} MiB"])
    try:
        return parse_text(data.decode())
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        raise FileError([f"{path}: line {line}: not UTF-8"]) from None
    except FileError as error:
        raise FileError([f"{path}: {problem}" for problem in error.problems]) from None


def parse_text(text: str) -> OperatorFile:
    """Check a file's text; raises FileError."""
    try:
        value = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise FileError([f"not TOML: {error}"]) from None
    except RecursionError:
        raise FileError(["not TOML: nested too deeply"]) from None
    return parse_value(value)


def parse_value(value: dict[str, Any]) -> OperatorFile:
    """Check what a file says, once read; raises FileError."""
    version = value.get("version")
    if isinstance(version, int) and not isinstance(version, bool) and version > VERSION:
        raise FileError(
            [f"version: {version} is newer than this program knows ({VERSION}); upgrade it first"]
        )
    try:
        made = OperatorFile.model_validate(value)
    except ValidationError as error:
        raise FileError(_all_said(value, error.errors())) from None
    problems = list(_contradictions(made))
    if problems:
        raise FileError(problems)
    return made


def _all_said(value: dict[str, Any], errors: list[ErrorDetails]) -> list[str]:
    """Return all that is wrong: what is out of form, and what else contradicts itself beside that.

    Fields out of form are replaced by ones that are in it, so that the rest can be looked at, and
    nothing is said of them a second time.
    """
    problems = [_said(one) for one in errors]
    mended = copy.deepcopy(value)
    for i, error in enumerate(errors):
        _mend(mended, _loc(error), i)
    try:
        made = OperatorFile.model_validate(mended)
    except ValidationError:
        return problems  # too far out of form to say more
    bad = tuple(_where(_loc(one)) for one in errors)
    others = (line for line in _contradictions(made) if not line.startswith(bad))
    # Who refers to what has lost its name here is not to blame.
    lost = any(one["loc"][-1] in ("name", "id") for one in errors)
    return problems + [line for line in others if not (lost and " is called " in line)]


def _mend(value: Any, loc: list[int | str], number: int) -> None:
    """Take a field out, or put in one that is in form where it can't be done without."""
    for part in loc[:-1]:
        try:
            value = value[part]
        except (KeyError, IndexError, TypeError):
            return
    last = loc[-1] if loc else ""
    if isinstance(value, dict):
        value.pop(last, None)
        if last in _IN_FORM:
            value[last] = _IN_FORM[str(last)](number)
    elif isinstance(value, list) and isinstance(last, int) and last < len(value):
        value[last] = "GET"  # the only lists of plain values are of methods


def _said(error: ErrorDetails) -> str:
    """One of pydantic's errors, with the path as the file has it."""
    loc = _loc(error)
    where = _where(loc)
    if error["type"] == "extra_forbidden":
        return f"{where}: unknown key{_nearest(str(loc[-1]), _known_keys(loc[:-1]))}"
    if error["type"] == "missing":
        return f"{where}: required and missing"
    text = error["msg"].removeprefix("Value error, ")
    shown = repr(error["input"])
    return f"{where}: {text}: {shown[:80]}"


def _loc(error: ErrorDetails) -> list[int | str]:
    """Return where in the file an error is; pydantic marks keys of its own."""
    return [part for part in error["loc"] if part != "[key]"]


def _where(loc: Iterable[int | str]) -> str:
    text = ""
    for part in loc:
        text += f"[{part}]" if isinstance(part, int) else f".{part}" if text else part
    return text or "file"


# Values in form for fields that can't be left out; no two are the same.
_IN_FORM: Final[dict[str, Callable[[int], Any]]] = {
    "version": lambda i: VERSION,
    "gateway": lambda i: {"name": f"x{i}"},
    "name": lambda i: f"out-of-form-{i}",
    "id": lambda i: f"out-of-form-{i}",
    "address": lambda i: f"127.255.255.{i % 250}:{1 + i // 250}",
    "aim": lambda i: "1us",
    "deadline": lambda i: "24h",
    "share": lambda i: 0.5,
    "class": lambda i: f"out-of-form-{i}",
    "pools": lambda i: {f"out-of-form-{i}": 1.0},
    "key_file": lambda i: "",
}
_PARTS: Final[dict[str, type[_Part]]] = {
    "gateway": GatewayPart,
    "listeners": ListenerPart,
    "classes": ClassPart,
    "tenants": TenantPart,
    "pools": PoolPart,
    "nodes": NodePart,
    "routes": RoutePart,
    "match": MatchPart,
    "tier": TierPart,
    "zones": ZonesPart,
    "members": TierMemberPart,
}


def _known_keys(loc: list[int | str]) -> list[str]:
    names = [part for part in loc if isinstance(part, str)]
    part = _PARTS.get(names[-1], OperatorFile) if names else OperatorFile
    return [field.alias or name for name, field in part.model_fields.items()]


def _nearest(name: str, known: Iterable[str]) -> str:
    near = difflib.get_close_matches(name, list(known), 1, 0.5)
    return f" (did you mean {near[0]!r}?)" if near else ""


# --- What no field shows by itself


def _contradictions(made: OperatorFile) -> Iterator[str]:
    for kind in ("listeners", "classes", "tenants", "pools", "routes"):
        yield from _repeated(kind, "name", [part.name for part in getattr(made, kind)])
    yield from _repeated("listeners", "address", [one.address for one in made.listeners])
    yield from _node_contradictions(made)
    if made.tier is not None:
        yield from _tier_contradictions(made.gateway, made.tier)
    if made.zones is not None:
        yield from _zones_contradictions(made)
    for i, cls in enumerate(made.classes):
        if cls.aim > cls.deadline:
            yield f"classes[{i}].aim: longer than the deadline"
    yield from _route_contradictions(made)


def _repeated(kind: str, field: str, values: list[str]) -> Iterator[str]:
    first: dict[str, int] = {}
    for i, value in enumerate(values):
        if value in first:
            yield f"{kind}[{i}].{field}: {value!r} is that of {kind}[{first[value]}] too"
        first.setdefault(value, i)


def _node_contradictions(made: OperatorFile) -> Iterator[str]:
    """Ids and addresses of nodes, over all pools: a node is in one pool, at one address.

    Guards against a node that two modules each send its full rate, neither knowing of the other.
    """
    ids: dict[str, str] = {}
    addresses: dict[str, str] = {}
    for i, pool in enumerate(made.pools):
        for j, node in enumerate(pool.nodes):
            here = f"pools[{i}].nodes[{j}]"
            if node.id in ids:
                yield f"{here}.id: {node.id!r} is that of {ids[node.id]} too"
            if node.address in addresses:
                yield f"{here}.address: {node.address!r} is that of {addresses[node.address]} too"
            ids.setdefault(node.id, here)
            addresses.setdefault(node.address, here)


def _zones_contradictions(made: OperatorFile) -> Iterator[str]:
    if made.tier is None:
        yield "zones: needs a [tier]: a gateway alone has nobody to leave a zone with"
    least = made.gateway.cold_time * 3 // 2  # by then all gateways treat its nodes as warm
    if made.zones is not None and made.zones.step is not None and made.zones.step < least:
        yield (
            f"zones.step: {format_duration(made.zones.step)} is less than "
            f"{format_duration(least)}, one and a half times gateway.cold_time: nodes of a step "
            "would not be warm at its end"
        )


def _tier_contradictions(gateway: GatewayPart, tier: TierPart) -> Iterator[str]:
    names = [member.name for member in tier.members]
    yield from _repeated("tier.members", "name", names)
    yield from _repeated("tier.members", "address", [one.address for one in tier.members])
    if gateway.name not in names:
        yield f"tier.members: this gateway, {gateway.name!r}, is not among them"
    if gateway.state_dir is None:
        yield "gateway.state_dir: required in a tier: a member keeps there what it has said"
    for i, name in enumerate(tier.voters):
        yield from _unknown(f"tier.voters[{i}]", "member", name, names)
        if name in tier.voters[:i]:
            yield f"tier.voters[{i}]: {name!r} is there already"
    if len(tier.voters) % 2 == 0:
        yield (
            f"tier.voters: {len(tier.voters)} of them bear no more failures than "
            f"{len(tier.voters) - 1}: name an odd number, 3 or 5 in different zones"
        )
    if tier.lease is not None and not SHORTEST_LEASE <= tier.lease <= tier.agree_within // 2:
        yield (
            f"tier.lease: {format_duration(tier.lease)} is not between "
            f"{format_duration(SHORTEST_LEASE)} and half of agree_within"
        )


def _route_contradictions(made: OperatorFile) -> Iterator[str]:
    classes = [one.name for one in made.classes]
    pools = [one.name for one in made.pools]
    tenants = [one.name for one in made.tenants]
    for i, route in enumerate(made.routes):
        here = f"routes[{i}]"
        yield from _unknown(f"{here}.class", "class", route.class_, classes)
        if route.match.class_ is not None:
            yield from _unknown(f"{here}.match.class", "class", route.match.class_, classes)
        if route.match.tenant is not None:
            yield from _unknown(f"{here}.match.tenant", "tenant", route.match.tenant, tenants)
        for pool in route.pools:
            yield from _unknown(f"{here}.pools", "pool", pool, pools)
        if sum(route.pools.values()) <= 0:
            yield f"{here}.pools: no pool has a weight above 0"
    number = {route.name: i for i, route in enumerate(made.routes)}
    for one, other in tied([to_route(route) for route in made.routes]):
        yield (
            f"routes[{number[other.name]}].match: a request can match it and "
            f"routes[{number[one.name]}] ({one.name!r}) equally well; make one more specific"
        )


def _unknown(where: str, kind: str, name: str, known: list[str]) -> Iterator[str]:
    if name not in known:
        yield f"{where}: no {kind} is called {name!r}{_nearest(name, known)}"


def to_route(part: RoutePart) -> Route:
    """Return a route in the terms of the lookup."""
    match = part.match
    return Route(
        part.name,
        Match(
            path_prefix=match.path_prefix,
            host=match.host,
            methods=frozenset(match.methods),
            header=tuple(sorted((n.lower(), v) for n, v in match.header.items())),
            cls=match.class_,
            tenant=match.tenant,
        ),
        part.class_,
        tuple(sorted(part.pools.items())),
    )
