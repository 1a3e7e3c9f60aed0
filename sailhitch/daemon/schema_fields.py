"""Types of the operator file's fields, and the text format of durations."""

from __future__ import annotations

import re
from typing import Annotated, Any, Final

from pydantic import AfterValidator, BeforeValidator, Field, PlainSerializer

from ..core.endpoints import parse_host_port

MICROSECONDS_PER_UNIT: Final = {
    "us": 1,
    "ms": 1000,
    "s": 1_000_000,
    "m": 60_000_000,
    "h": 3_600_000_000,
}
MAX_DURATION: Final = 24 * MICROSECONDS_PER_UNIT["h"]  # microseconds
_DURATION: Final = re.compile(r"(\d{1,9}(?:\.\d{1,6})?)\s*(us|ms|s|m|h)")
_NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_HOST: Final = re.compile(r"(\*\.)?[a-z0-9]([a-z0-9.-]*[a-z0-9])?")
_METHOD: Final = re.compile(r"[A-Z]{1,20}")


def read_duration(value: Any) -> int:
    """Return the microseconds of a duration such as "2.5s" or "250ms"; raises ValueError."""
    match = _DURATION.fullmatch(value.strip()) if isinstance(value, str) else None
    if match is None:
        raise ValueError('not a duration such as "250ms", "2.5s" or "1m"')
    microseconds = round(float(match[1]) * MICROSECONDS_PER_UNIT[match[2]])
    if not 0 < microseconds <= MAX_DURATION:
        raise ValueError("not above 0, or longer than 24h")
    return microseconds


def format_duration(microseconds: int) -> str:
    """Return a duration as text, in the largest of s, ms and us that needs no fraction."""
    for unit in ("s", "ms", "us"):
        if microseconds % MICROSECONDS_PER_UNIT[unit] == 0 or unit == "us":
            return f"{microseconds // MICROSECONDS_PER_UNIT[unit]}{unit}"
    raise AssertionError


def _check_name(value: str) -> str:
    if not _NAME.fullmatch(value):
        raise ValueError("not a name of up to 63 letters, digits, '.', '_' and '-'")
    return value


def _normalize_address(value: str) -> str:
    address = parse_host_port(value)
    if address is None:
        raise ValueError('not an address such as "127.0.0.1:8080"')
    host, port = address
    return f"{'.'.join(str(int(octet)) for octet in host.split('.'))}:{port}"


def _check_path(value: str) -> str:
    if not value.startswith("/") or any(c in value for c in "?#% \t") or not value.isprintable():
        raise ValueError("not a path that begins with '/', without '?', '#', '%' or blanks")
    if any(part in (".", "..") for part in value.split("/")):
        raise ValueError("a path with '.' or '..' in it matches nothing")
    return value


def _normalize_host(value: str) -> str:
    host = value.lower().rstrip(".")
    if not _HOST.fullmatch(host):
        raise ValueError('not a host such as "claims.example.org" or "*.example.org"')
    return host


def _check_method(value: str) -> str:
    if not _METHOD.fullmatch(value):
        raise ValueError("not a method in capital letters")
    return value


def _sort_methods(methods: list[str]) -> list[str]:
    return sorted(set(methods))


Duration = Annotated[int, BeforeValidator(read_duration), PlainSerializer(format_duration)]
Name = Annotated[str, AfterValidator(_check_name)]
Listen = Annotated[str, AfterValidator(_normalize_address)]
Weight = Annotated[float, Field(gt=0, le=1e6, allow_inf_nan=False)]
Share = Annotated[float, Field(ge=0, le=1e6, allow_inf_nan=False)]
PathPrefix = Annotated[str, AfterValidator(_check_path)]
Host = Annotated[str, AfterValidator(_normalize_host)]
Methods = Annotated[
    list[Annotated[str, AfterValidator(_check_method)]], AfterValidator(_sort_methods)
]
HeaderName = Annotated[str, Field(pattern=r"^[A-Za-z0-9!#$%&'*+.^_`|~-]+$")]
