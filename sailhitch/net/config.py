"""The platform's configuration, parsed from the environment and one JSON file."""

from __future__ import annotations

import json
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final

from ..core.connection_settings import ConnectionSettings, idle_lifetime
from ..core.endpoints import Address, EndpointAddress, EndpointUpdate, parse_host_port
from ..core.resource_limits import ResourceLimits
from ..policy_interface import Endpoint, EndpointState
from ..settings import Settings, SettingsError, parse_settings
from .shape import Shape, shape_errors, shape_of, value_errors

STATES: Final = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}
DEFAULT_MEMORY_MB: Final = 192
DEFAULT_DESCRIPTORS: Final = 1024
MAX_CORES: Final = 1e6
MAX_NAME_LENGTH: Final = 200
MAX_NUMBER: Final = 1e15  # in an entry of discovery's list
# The settings and the load header use different names for the same value, and both are read. Maps
# each to the name in `LoadReport` and the factor that converts to its unit.
LOAD_REPORT_FIELDS: Final = {
    "queue": ("queue", 1.0),
    "depth": ("queue", 1.0),
    "inflight": ("inflight", 1.0),
    "concurrent": ("inflight", 1.0),
    "latency_ms": ("service", 1000.0),
    "mean_ms": ("service", 1000.0),
}


class ConfigError(ValueError):
    """The configuration has a missing or invalid value; the message names the field."""


class EntryError(ValueError):
    """Discovery's list, or an entry of it, is malformed."""


@dataclass(frozen=True, slots=True)
class PlatformNames:
    """Names defined in the settings, and connection limits. Times are microseconds."""

    zones: Mapping[str, int]
    kinds: Mapping[str, int]
    classes: Mapping[bytes, int]
    tenants: Mapping[bytes, int]
    connect_timeout: int
    idle_timeout: int
    max_requests: int
    longest_deadline: int


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of a gateway."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    cores: float
    memory_mb: int
    descriptors: int
    known_endpoints: EndpointUpdate
    settings: Settings
    names: PlatformNames
    operator: Address | None = None  # of the operator endpoint
    held_socket: int | None = None  # descriptor of a listening socket that the platform passes
    shape: Shape = ""  # of the file; a reloaded file must have it too

    def limits(self) -> ResourceLimits:
        """Return the resources that the process may use."""
        limits = self.settings.limits
        return ResourceLimits(
            memory_mb=self.memory_mb,
            descriptors=self.descriptors,
            max_requests=self.names.max_requests,
            longest_deadline=self.names.longest_deadline,
            max_retry_after=limits.max_retry_after if limits.retry_after else 0,
        )

    def connection_settings(self) -> ConnectionSettings:
        """Return how to connect to hosts; hosts keep idle connections longer than this process."""
        return ConnectionSettings(
            self.names.connect_timeout, idle_lifetime(self.names.idle_timeout)
        )


def parse_address(field: str, text: Any) -> Address:
    """Parse `host:port` with a numeric IPv4 host; raises ConfigError."""
    address = parse_host_port(text) if isinstance(text, str) else None
    if address is None:
        raise ConfigError(f"{field}: not an address such as 10.0.0.1:3000: {str(text)[:80]!r}")
    return address


def parse_entry(value: Any, names: PlatformNames) -> EndpointAddress:
    """Parse one entry of discovery's list; raises EntryError."""
    if not isinstance(value, dict):
        raise EntryError("not a JSON object")
    name = value.get("id")
    state = value.get("state")
    if not isinstance(name, str) or not name or len(name) > MAX_NAME_LENGTH:
        raise EntryError("id: not a string of 1 to 200 characters")
    if not isinstance(state, str) or state not in STATES:
        raise EntryError("state: must be one of " + ", ".join(STATES))
    numbers = []
    for key, default in (("weight", 1.0), ("cell", 0), ("started_ms", 0)):
        number = value.get(key, default)
        number = default if number is None else number
        # Python's JSON parser also accepts NaN and Infinity.
        if isinstance(number, bool) or not isinstance(number, int | float):
            raise EntryError(f"{key}: not a number")
        if not 0 <= number < MAX_NUMBER:
            raise EntryError(f"{key}: out of range")
        numbers.append(number)
    weight, cell, started = numbers
    zone = value.get("zone")
    kind = value.get("kind")
    try:
        addr = parse_address("addr", value.get("addr"))
    except ConfigError as error:
        raise EntryError(str(error)) from None
    listed = Endpoint(
        name,
        float(weight),
        # A zone that the settings do not name differs from all others, and from the own one.
        names.zones.get(zone, len(names.zones)) if isinstance(zone, str) else len(names.zones),
        int(cell),
        STATES[state],
        int(started * 1000),
        names.kinds.get(kind, 0) if isinstance(kind, str) else 0,
    )
    return EndpointAddress(listed, addr)


def parse_endpoint_update(value: Any, names: PlatformNames) -> EndpointUpdate:
    """Parse discovery's response; a bad entry is skipped and counted. Raises EntryError."""
    if not isinstance(value, dict):
        raise EntryError("not a JSON object")
    version = value.get("version")
    full = value.get("full")
    servers = value.get("servers")
    if isinstance(version, bool) or not isinstance(version, int) or version < 0:
        raise EntryError("version: not a non-negative integer")
    if not isinstance(full, bool):
        raise EntryError("full: not a boolean")
    if not isinstance(servers, list):
        raise EntryError("servers: not a list")
    entries: list[EndpointAddress] = []
    bad_ids: set[str] = set()
    bad = 0
    for item in servers:
        try:
            entries.append(parse_entry(item, names))
        except EntryError:
            bad += 1
            name = item.get("id") if isinstance(item, dict) else None
            if isinstance(name, str):
                bad_ids.add(name)
    return EndpointUpdate(version, full, tuple(entries), bad, frozenset(bad_ids))


def parse_load_report(value: bytes) -> dict[str, float]:
    """Parse a load report into the module's names and units; malformed values are skipped."""
    found: dict[str, float] = {}
    for pair in value.split(b","):
        name, _, number = pair.partition(b"=")
        known = LOAD_REPORT_FIELDS.get(name.strip().decode("latin-1"))
        if known is None:
            continue
        try:
            amount = float(number)
        except ValueError:
            continue
        if 0.0 <= amount < 1e9:
            report_name, factor = known
            found[report_name] = amount * factor
    return found


def _parse_string_list(value: Any, field: str) -> list[str]:
    if value is None:
        return []
    if not isinstance(value, list):
        raise ConfigError(f"{field}: not a list")
    for i, name in enumerate(value):
        if not isinstance(name, str):
            raise ConfigError(f"{field}[{i}]: not a string")
    return value


def _positive_int(section: Mapping[str, Any], key: str, field: str, default: int) -> int:
    value = section.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < 1e12:
        raise ConfigError(f"{field}.{key}: not a positive number: {value!r}")
    return int(value)


def _object(parent: Mapping[str, Any], key: str) -> Mapping[str, Any]:
    value = parent.get(key, {})
    if not isinstance(value, dict):
        raise ConfigError(f"{key}: not a JSON object")
    return value


def _parse_descriptor(text: str | None) -> int | None:
    if not text:
        return None
    if not (text.isascii() and text.isdigit() and len(text) < 7):
        raise ConfigError(f"EDGE_SOCKET_FD: not a file descriptor number: {text[:80]!r}")
    return int(text)


def adopt_socket(descriptor: int) -> socket.socket:
    """Return the listening socket that the platform passes; raises ConfigError if it is invalid."""
    field = f"EDGE_SOCKET_FD: descriptor {descriptor}"
    try:
        sock = socket.socket(fileno=descriptor)
    except OSError as error:
        raise ConfigError(f"{field}: {error.strerror}") from None
    is_tcp = sock.type == socket.SOCK_STREAM and sock.family == socket.AF_INET
    if not is_tcp or not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        sock.detach()
        raise ConfigError(f"{field}: not a listening TCP socket")
    return sock


def parse_config(value: Any, env: Mapping[str, str]) -> Config:
    """Parse the configuration file's object; environment variables take precedence.

    Raises ConfigError naming the field.
    """
    if not isinstance(value, dict):
        raise ConfigError("EDGE_CONFIG: not a JSON object")
    settings = _parse_settings(value)
    limits = _object(value, "limits")
    raw_limits = _object(value["settings"], "limits")
    cores = _parse_cores(limits)
    names = _parse_names(value["settings"], raw_limits, settings)
    seed = _parse_seed(value)
    known_endpoints = _parse_known_endpoints(value, names)
    name = env.get("EDGE_NAME") or value.get("name")
    if not isinstance(name, str) or not name:
        raise ConfigError("EDGE_NAME: required but missing")
    listen = env.get("EDGE_LISTEN") or value.get("listen")
    discovery = env.get("EDGE_DISCOVERY") or value.get("discovery")
    operator = env.get("EDGE_OPERATOR") or value.get("operator") or None
    return Config(
        name=name,
        listen=parse_address("EDGE_LISTEN", listen),
        discovery=parse_address("EDGE_DISCOVERY", discovery),
        seed=seed,
        cores=cores,
        memory_mb=_positive_int(limits, "memory_mb", "limits", DEFAULT_MEMORY_MB),
        descriptors=_positive_int(limits, "sockets", "limits", DEFAULT_DESCRIPTORS),
        known_endpoints=known_endpoints,
        settings=settings,
        names=names,
        operator=None if operator is None else parse_address("EDGE_OPERATOR", operator),
        held_socket=_parse_descriptor(env.get("EDGE_SOCKET_FD")),
        shape=shape_of(value),
    )


def _parse_settings(value: dict[str, Any]) -> Settings:
    raw = value.get("settings")
    if raw is None:
        raise ConfigError("settings: required but missing")
    try:
        return parse_settings(raw)
    except SettingsError as error:
        raise ConfigError(f"settings: {error}") from None


def _parse_cores(limits: Mapping[str, Any]) -> float:
    cores = limits.get("cores", 1.0)
    if isinstance(cores, bool) or not isinstance(cores, int | float) or not 0 < cores < MAX_CORES:
        raise ConfigError(f"limits.cores: not a positive number: {cores!r}")
    return float(cores)


def _parse_names(
    raw: Mapping[str, Any], raw_limits: Mapping[str, Any], settings: Settings
) -> PlatformNames:
    """Return the names of zones, kinds, classes and tenants, and the connection limits."""
    return PlatformNames(
        zones={
            name: i for i, name in enumerate(_parse_string_list(raw.get("dcs"), "settings.dcs"))
        },
        kinds={
            name: i
            for i, name in enumerate(_parse_string_list(raw.get("shapes"), "settings.shapes"))
        },
        classes={c.name.encode(): i for i, c in enumerate(settings.classes)},
        tenants={tenant.name.encode(): i for i, tenant in enumerate(settings.tenants)},
        connect_timeout=_positive_int(raw_limits, "connectTimeout", "settings.limits", 250_000),
        idle_timeout=_positive_int(raw_limits, "connIdle", "settings.limits", 15_000_000),
        max_requests=_positive_int(raw_limits, "maxOpen", "settings.limits", 20_000),
        longest_deadline=max(c.deadline for c in settings.classes),
    )


def _parse_seed(value: dict[str, Any]) -> int:
    seed = value.get("seed", "0")
    try:
        return int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError):
        raise ConfigError(f"seed: not hex digits: {str(seed)[:80]!r}") from None


def _parse_known_endpoints(value: dict[str, Any], names: PlatformNames) -> EndpointUpdate:
    known = value.get("known", {"version": 0, "full": True, "servers": []})
    try:
        return parse_endpoint_update(known, names)
    except EntryError as error:
        raise ConfigError(f"known.{error}") from None


def reload_config(env: Mapping[str, str], before: Config) -> Config:
    """Read the file again; raises ConfigError with all problems, one per line.

    The environment of a running process can't change, so a discovery address in the new file takes
    precedence over the environment.
    """
    value = read_file(env)
    problems = [*shape_errors(value, before.shape)]
    if isinstance(value, dict):
        problems += value_errors(value.get("settings"))
    if problems:
        raise ConfigError("\n".join(dict.fromkeys(problems)))
    overridden = {"EDGE_DISCOVERY"} if "discovery" in value else set()
    return parse_config(value, {k: v for k, v in env.items() if k not in overridden})


def load_config(env: Mapping[str, str]) -> Config:
    """Read the configuration that the environment points to; raises ConfigError."""
    value = read_file(env)
    if isinstance(value, dict):
        problems = [*value_errors(value.get("settings"))]
        if problems:
            raise ConfigError("\n".join(problems))
    return parse_config(value, env)


def read_file(env: Mapping[str, str]) -> Any:
    """Return the JSON value of the file, of any type; raises ConfigError."""
    path = env.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG: required but missing")
    try:
        with open(path, "rb") as file:
            return json.loads(file.read())
    except OSError as error:
        raise ConfigError(f"EDGE_CONFIG: {path}: {error.strerror}") from None
    except (ValueError, RecursionError):
        raise ConfigError(f"EDGE_CONFIG: {path}: not valid JSON") from None
