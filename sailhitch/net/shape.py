"""Check a settings file for missing keys and invalid numbers.

No I/O. A file that was truncated or edited by mistake lacks keys. A reloaded file is therefore
expected to have the keys and value types of the file that it replaces.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from typing import Any, Final

# Keys that are optional by section 6 of WIRE.
OPTIONAL_KEYS: Final = frozenset({"aimStretch", "passesDeadline", "warmKeys", "fleet"})
# Keys outside the settings: the last known hosts, which are only read at start.
UNCHECKED_KEYS: Final = frozenset({"known"})

Shape = Mapping[str, Any] | list[Any] | str


def shape_of(value: Any) -> Shape:
    """Return the keys of a value and the types of their values.

    A list of objects has one shape: the keys that all of them have.
    """
    if isinstance(value, Mapping):
        required = (key for key in value if key not in OPTIONAL_KEYS and key not in UNCHECKED_KEYS)
        return {key: shape_of(value[key]) for key in required}
    if isinstance(value, list):
        shapes = [shape_of(item) for item in value if isinstance(item, Mapping)]
        if not shapes or len(shapes) < len(value):
            return []
        first, *rest = shapes
        assert isinstance(first, Mapping)
        return [{key: shape for key, shape in first.items() if all(key in other for other in rest)}]
    return _type_name(value)


def _type_name(value: Any) -> str:
    if isinstance(value, bool):
        return "a boolean"
    if isinstance(value, int | float):
        return "a number"
    if isinstance(value, str):
        return "a string"
    return "null"


def shape_errors(value: Any, shape: Shape, path: str = "") -> Iterator[str]:
    """Yield a line for each part of a shape that a value lacks, with the path of the key."""
    where = path or "the file"
    if isinstance(shape, Mapping):
        if not isinstance(value, Mapping):
            yield f"{where}: not a JSON object"
            return
        for key, expected in shape.items():
            at = f"{path}.{key}" if path else key
            if key in value:
                yield from shape_errors(value[key], expected, at)
            else:
                yield f"{at}: missing"
    elif isinstance(shape, list):
        if not isinstance(value, list):
            yield f"{where}: not a list"
        elif shape:
            for i, item in enumerate(value):
                yield from shape_errors(item, shape[0], f"{path}[{i}]")
    elif shape != "null" and _type_name(value) != shape:
        yield f"{where}: not {shape}"


def value_errors(settings: Any) -> Iterator[str]:
    """Yield a line for each invalid number and class name in the settings."""
    if not isinstance(settings, Mapping):
        return
    limits = settings.get("limits")
    if isinstance(limits, Mapping):
        yield from _check_positive(limits, "attemptsCap", "settings.limits")
    names: set[Any] = set()
    classes = settings.get("classes")
    if classes == []:
        yield "settings.classes: empty"
    for i, item in enumerate(classes if isinstance(classes, list) else []):
        if not isinstance(item, Mapping):
            continue
        at = f"settings.classes[{i}]"
        yield from _check_positive(item, "deadline", at)
        yield from _check_positive(item, "goalTime", at)
        name = item.get("name")
        if not isinstance(name, str) or not name:
            yield f"{at}.name: not a non-empty string"
        elif name in names:
            yield f"{at}.name: duplicate class name {name!r:.80}"
        else:
            names.add(name)


def _check_positive(section: Mapping[str, Any], key: str, path: str) -> Iterator[str]:
    value = section.get(key)
    number = value if isinstance(value, int | float) and not isinstance(value, bool) else 0
    if not math.isfinite(number) or number <= 0:
        yield f"{path}.{key}: not a positive number: {value!r:.80}"
