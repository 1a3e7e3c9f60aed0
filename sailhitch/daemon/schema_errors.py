"""Error texts for an operator file, each with the path of its field."""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from typing import Final

from pydantic_core import ErrorDetails

from .schema_models import (
    ClassSection,
    GatewaySection,
    ListenerSection,
    MatchSection,
    NodeSection,
    OperatorFile,
    PoolSection,
    RouteSection,
    Section,
    TenantSection,
    TierMemberSection,
    TierSection,
    ZonesSection,
)

FieldPath = list[int | str]
"""The keys and list indices that lead from the top of the file to a field."""

_MODELS: Final[dict[str, type[Section]]] = {
    "gateway": GatewaySection,
    "listeners": ListenerSection,
    "classes": ClassSection,
    "tenants": TenantSection,
    "pools": PoolSection,
    "nodes": NodeSection,
    "routes": RouteSection,
    "match": MatchSection,
    "tier": TierSection,
    "zones": ZonesSection,
    "members": TierMemberSection,
}


class FileError(ValueError):
    """The file is invalid; `problems` has one line for each error."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


def describe_error(error: ErrorDetails) -> str:
    """Return one of pydantic's errors as a line, with the field's path in the file."""
    keys = field_path(error)
    path = format_path(keys)
    if error["type"] == "extra_forbidden":
        return f"{path}: unknown key{suggest_name(str(keys[-1]), _known_keys(keys[:-1]))}"
    if error["type"] == "missing":
        return f"{path}: required and missing"
    text = error["msg"].removeprefix("Value error, ")
    shown = repr(error["input"])
    return f"{path}: {text}: {shown[:80]}"


def field_path(error: ErrorDetails) -> FieldPath:
    """Return the path of an error, without the item that pydantic adds for an invalid key."""
    return [key for key in error["loc"] if key != "[key]"]


def format_path(keys: FieldPath) -> str:
    """Return a path as shown in errors, such as `pools[0].nodes[1].id`."""
    text = ""
    for key in keys:
        text += f"[{key}]" if isinstance(key, int) else f".{key}" if text else key
    return text or "file"


def _known_keys(keys: FieldPath) -> list[str]:
    """Return the valid keys of the table at a path."""
    names = [key for key in keys if isinstance(key, str)]
    model = _MODELS.get(names[-1], OperatorFile) if names else OperatorFile
    return [field.alias or name for name, field in model.model_fields.items()]


def suggest_name(name: str, known: Iterable[str]) -> str:
    """Return a "did you mean" question with the closest known name; empty if none is close."""
    matches = difflib.get_close_matches(name, list(known), 1, 0.5)
    return f" (did you mean {matches[0]!r}?)" if matches else ""
