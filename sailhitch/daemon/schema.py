"""Reads the operator file and reports all errors in it at once, each with its field's path.

The file is TOML (tomllib) and validated with pydantic (`schema_models`, `schema_fields`). Checks
across fields (unknown names, addresses used twice) are in `schema_checks`, checks across routes in
`routes`, and error texts in `schema_errors`.
"""

from __future__ import annotations

import copy
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

from pydantic import ValidationError
from pydantic_core import ErrorDetails

from .schema_checks import find_contradictions, to_route
from .schema_errors import FieldPath, FileError, describe_error, field_path, format_path
from .schema_fields import format_duration, read_duration
from .schema_models import (
    MAX_MEMBERS,
    VERSION,
    ClassSection,
    GatewaySection,
    NodeSection,
    OperatorFile,
    PoolSection,
    RouteSection,
    TenantSection,
    TierMemberSection,
    TierSection,
    ZonesSection,
)

__all__ = [
    "MAX_MEMBERS",
    "ClassSection",
    "FileError",
    "GatewaySection",
    "NodeSection",
    "OperatorFile",
    "PoolSection",
    "RouteSection",
    "TenantSection",
    "TierMemberSection",
    "TierSection",
    "ZonesSection",
    "format_duration",
    "load_file",
    "parse_text",
    "parse_value",
    "read_duration",
    "to_route",
]

MAX_FILE_BYTES: Final = 64 << 20  # 10,000 nodes take 1 MiB

# Valid values for required fields, made unique by the number of the error.
_PLACEHOLDERS: Final[dict[str, Callable[[int], Any]]] = {
    "version": lambda number: VERSION,
    "gateway": lambda number: {"name": f"x{number}"},
    "name": lambda number: f"out-of-form-{number}",
    "id": lambda number: f"out-of-form-{number}",
    "address": lambda number: f"127.255.255.{number % 250}:{1 + number // 250}",
    "aim": lambda number: "1us",
    "deadline": lambda number: "24h",
    "share": lambda number: 0.5,
    "class": lambda number: f"out-of-form-{number}",
    "pools": lambda number: {f"out-of-form-{number}": 1.0},
    "key_file": lambda number: "",
}


def load_file(path: str | Path) -> OperatorFile:
    """Read and check a file; raises FileError with all errors in it."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise FileError([f"{path}: {error.strerror}"]) from None
    if len(data) > MAX_FILE_BYTES:
        raise FileError([f"{path}: larger than {MAX_FILE_BYTES >> 20} MiB"])
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
    """Check the decoded values of a file; raises FileError."""
    version = value.get("version")
    if isinstance(version, int) and not isinstance(version, bool) and version > VERSION:
        raise FileError(
            [f"version: {version} is newer than this program supports ({VERSION}); upgrade first"]
        )
    try:
        operator_file = OperatorFile.model_validate(value)
    except ValidationError as error:
        raise FileError(_find_all_problems(value, error.errors())) from None
    problems = list(find_contradictions(operator_file))
    if problems:
        raise FileError(problems)
    return operator_file


def _find_all_problems(value: dict[str, Any], errors: list[ErrorDetails]) -> list[str]:
    """Return a line for each invalid field and for each contradiction between the others.

    Invalid fields are replaced by valid values so that the rest can be checked. Contradictions at
    replaced fields are left out.
    """
    problems = [describe_error(error) for error in errors]
    repaired = copy.deepcopy(value)
    for number, error in enumerate(errors):
        _repair_field(repaired, field_path(error), number)
    try:
        operator_file = OperatorFile.model_validate(repaired)
    except ValidationError:
        return problems  # the file can't be repaired, so the rest can't be checked
    invalid_paths = tuple(format_path(field_path(error)) for error in errors)
    contradictions = [
        line for line in find_contradictions(operator_file) if not line.startswith(invalid_paths)
    ]
    # A reference to a name that was replaced above is not an error in the file.
    if any(error["loc"][-1] in ("name", "id") for error in errors):
        contradictions = [line for line in contradictions if " is called " not in line]
    return problems + contradictions


def _repair_field(value: Any, keys: FieldPath, number: int) -> None:
    """Remove a field, or set a valid value if it is required; `number` makes values unique."""
    for key in keys[:-1]:
        try:
            value = value[key]
        except (KeyError, IndexError, TypeError):
            return
    last = keys[-1] if keys else ""
    if isinstance(value, dict):
        value.pop(last, None)
        if last in _PLACEHOLDERS:
            value[last] = _PLACEHOLDERS[str(last)](number)
    elif isinstance(value, list) and isinstance(last, int) and last < len(value):
        value[last] = "GET"  # methods are the only lists of plain values
