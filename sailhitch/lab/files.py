"""Writes operator files from plain values, for tests and the lab."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any


def toml_text(value: Mapping[str, Any]) -> str:
    """Return the value as TOML.

    JSON scalars and lists are valid TOML, and JSON objects become inline tables with `=` for `:`.
    """
    lines = [f"version = {value['version']}"]
    for kind, parts in value.items():
        if kind != "version":
            lines.append(f"{kind} = {_inline(parts)}")
    return "\n".join(lines) + "\n"


def _inline(value: Any) -> str:
    if isinstance(value, Mapping):
        return "{ " + ", ".join(f"{json.dumps(k)} = {_inline(v)}" for k, v in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(_inline(one) for one in value) + "]"
    return json.dumps(value)
