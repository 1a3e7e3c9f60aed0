"""Convert a state to the entries of a page tree (`sailhitch.pages`), and back.

Each object of a state is one entry: its canonical JSON, under a key made of its kind and name. The
nodes of a pool form one group, so that they are adjacent in the tree and a change of one service
changes few pages; so do its bans. Each other kind is one group: similar entries compress well.

Equal states have equal roots. Converting a state that was derived from another costs only the
difference: objects that both share (the same object in memory) are neither compared nor encoded,
and pages that both trees share are not read. A kind with any change is scanned by identity, and
copied when it is read (`docs/design/state-by-difference.md` has the cost, and why plain dicts are
used).
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from typing import Any, Final, NoReturn

from ..pages import Key, PageSource, Tree, build, difference, read_entries, update
from .state import KINDS, canonical, unshared_names

Tables = Mapping[str, Mapping[str, Any]]  # values by kind and name, as in a state
Kinds = Mapping[str, type]  # the kinds of a tree, with the JSON type of each kind's values

STATE_KINDS: Final[Kinds] = dict.fromkeys(KINDS, dict)
BY_POOL: Final = frozenset(("nodes", "bans", "born"))  # kinds whose names are `pool/id`


class StateTreeError(ValueError):
    """A tree has an entry that is not valid in a state; the text names its key."""


def key_of(kind: str, name: str) -> Key:
    """Return the key of an object; raises StateTreeError for a node not named `pool/id`."""
    if kind not in BY_POOL:
        return Key(kind, name)
    pool, slash, node = name.partition("/")
    if not (pool and slash and node):
        raise StateTreeError(f"{kind} {name!r}: not named `pool/id`")
    return Key(f"{kind}/{pool}", node)


def to_tree(state: Tables, kinds: Kinds = STATE_KINDS) -> Tree:
    """Return the whole tree of a state, with all of its pages."""
    return build(
        {
            key_of(kind, name): canonical(value)
            for kind in kinds
            for name, value in state[kind].items()
        }
    )


def update_tree(
    source: PageSource, base_root: str, base: Tables, state: Tables, kinds: Kinds = STATE_KINDS
) -> Tree:
    """Return the tree of a state derived from `base`, with the pages that `base_root` lacks.

    `base` must be the state of `base_root`. Raises KeyError or PageError from the source.
    """
    changes: dict[Key, bytes | None] = {}
    for kind in kinds:
        for name, value in _changed_values(base[kind], state[kind]):
            changes[key_of(kind, name)] = value
    return update(source, base_root, changes)


def _changed_values(
    before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[tuple[str, bytes | None]]:
    """Yield the names whose canonical JSON differs, with the new JSON, or None if removed."""
    if before is after:
        return
    for name in unshared_names(before, after):
        if name not in after:
            yield name, None
            continue
        # Compared as text: 1 and 1.0 are equal in Python, but have different roots.
        encoded = canonical(after[name])
        if name not in before or canonical(before[name]) != encoded:
            yield name, encoded


def state_from(source: PageSource, root: str, kinds: Kinds = STATE_KINDS) -> Tables:
    """Return the whole state of a root.

    Raises StateTreeError for an invalid entry, KeyError or PageError from the source.
    """
    state: dict[str, dict[str, Any]] = {kind: {} for kind in kinds}
    for key, value in read_entries(source, root):
        kind, name = _kind_and_name(key, kinds)
        state[kind][name] = _decode(key, value, kinds[kind])
    return state


def changed_state(
    base: Tables, base_root: str, source: PageSource, root: str, kinds: Kinds = STATE_KINDS
) -> Tables:
    """Return the state of a root, read as a difference from `base`; equal objects are shared.

    Raises as `state_from` does. `source` needs the pages that only one of the two trees has.
    """
    changed: dict[str, dict[str, Any]] = {}
    for key, _, after in difference(source, base_root, root):
        kind, name = _kind_and_name(key, kinds)
        objects = changed.get(kind)
        if objects is None:
            objects = changed[kind] = dict(base[kind])
        if after is None:
            objects.pop(name, None)
        else:
            objects[name] = _decode(key, after, kinds[kind])
    return {**base, **changed}


def changed_names(source: PageSource, old_root: str, new_root: str) -> dict[str, set[str]]:
    """Return the names of the objects that differ between two roots, by kind.

    Raises as `state_from` does.
    """
    names: dict[str, set[str]] = {kind: set() for kind in KINDS}
    for key, _, _ in difference(source, old_root, new_root):
        kind, name = _kind_and_name(key, STATE_KINDS)
        names[kind].add(name)
    return names


def _kind_and_name(key: Key, kinds: Kinds) -> tuple[str, str]:
    """Return the kind and name of an entry; raises StateTreeError."""
    kind, _, rest = key.group.partition("/")
    if kind not in kinds:
        raise StateTreeError(f"{_describe(key)}: {kind[:40]!r} is not a kind of object")
    name = f"{rest}/{key.name}" if kind in BY_POOL else key.name
    try:
        is_valid = key_of(kind, name) == key
    except StateTreeError:
        is_valid = False
    if not is_valid:
        raise StateTreeError(f"{_describe(key)}: not the key of any object of {kind!r}")
    return kind, name


def _decode(key: Key, data: bytes, expected_type: type) -> Any:
    try:
        value = _DECODER.decode(data.decode())
    except (ValueError, RecursionError):
        raise StateTreeError(f"{_describe(key)}: not JSON") from None
    if type(value) is not expected_type:
        expected = "an object" if expected_type is dict else "a whole number"
        raise StateTreeError(f"{_describe(key)}: not {expected}, as its kind requires")
    return value


def _reject_constant(constant: str) -> NoReturn:
    raise ValueError(f"{constant} is not JSON")


_DECODER: Final = json.JSONDecoder(parse_constant=_reject_constant)


def _describe(key: Key) -> str:
    return f"entry {key.group[:120]!r} {key.name[:120]!r}"
