"""Whether a new file of settings is whole: the shape of the one it replaces, and sound figures.

No I/O. A file that was cut, or edited by a hand that slipped, lacks keys; which ones there ought to
be, the file that holds now says best.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from typing import Any, Final

# WIRE, section 6, says of these that they may be absent.
OPTIONAL: Final = frozenset({"aimStretch", "passesDeadline", "warmKeys", "fleet"})
# Of the file around the settings: hosts as they were, which only a start reads.
LOOSE: Final = frozenset({"known"})

Shape = Mapping[str, Any] | list[Any] | str


def shape_of(value: Any) -> Shape:
    """Return the keys of a value and the kinds of what stands under them.

    A list of objects has one shape: the keys that all of them have.
    """
    if isinstance(value, Mapping):
        wanted = (key for key in value if key not in OPTIONAL and key not in LOOSE)
        return {key: shape_of(value[key]) for key in wanted}
    if isinstance(value, list):
        shapes = [shape_of(one) for one in value if isinstance(one, Mapping)]
        if not shapes or len(shapes) < len(value):
            return []
        first, *rest = shapes
        assert isinstance(first, Mapping)
        return [{key: one for key, one in first.items() if all(key in other for other in rest)}]
    return _kind(value)


def _kind(value: Any) -> str:
    if isinstance(value, bool):
        return "true or false"
    if isinstance(value, int | float):
        return "a number"
    if isinstance(value, str):
        return "a text"
    return "null"


def misfits(value: Any, shape: Shape, path: str = "") -> Iterator[str]:
    """Return what of a shape a value lacks, a line each, by the path of the key."""
    here = path or "the file"
    if isinstance(shape, Mapping):
        if not isinstance(value, Mapping):
            yield f"{here}: not an object"
            return
        for key, under in shape.items():
            at = f"{path}.{key}" if path else key
            if key in value:
                yield from misfits(value[key], under, at)
            else:
                yield f"{at}: missing"
    elif isinstance(shape, list):
        if not isinstance(value, list):
            yield f"{here}: not a list"
        elif shape:
            for i, one in enumerate(value):
                yield from misfits(one, shape[0], f"{path}[{i}]")
    elif shape != "null" and _kind(value) != shape:
        yield f"{here}: not {shape}"


def bad_figures(settings: Any) -> Iterator[str]:
    """Return what can't be among the figures of settings, a line each."""
    if not isinstance(settings, Mapping):
        return
    limits = settings.get("limits")
    if isinstance(limits, Mapping):
        yield from _above_zero(limits, "attemptsCap", "settings.limits")
    names: set[Any] = set()
    classes = settings.get("classes")
    if classes == []:
        yield "settings.classes: empty"
    for i, one in enumerate(classes if isinstance(classes, list) else []):
        if not isinstance(one, Mapping):
            continue
        at = f"settings.classes[{i}]"
        yield from _above_zero(one, "deadline", at)
        yield from _above_zero(one, "goalTime", at)
        name = one.get("name")
        if not isinstance(name, str) or not name:
            yield f"{at}.name: not a name"
        elif name in names:
            yield f"{at}.name: {name!r:.80} stands there twice"
        else:
            names.add(name)


def _above_zero(at: Mapping[str, Any], key: str, path: str) -> Iterator[str]:
    value = at.get(key)
    number = value if isinstance(value, int | float) and not isinstance(value, bool) else 0
    if not math.isfinite(number) or number <= 0:
        yield f"{path}.{key}: not a number above 0: {value!r:.80}"
