"""Plans: the exact changes from one state to another, and the state that they were made against.

`apply` makes a plan's changes and no others. It is refused if the live state is not the one that
the plan was made against, because the same changes would have another meaning there.

The cost of a plan depends on the size of its changes, not of the state. The plan identifies its
base state by the root of that state's page tree, which the gateway already has, and its result by a
digest of the changed objects. Plans of format 1 identify both by digests of the full states, and
can still be read.
"""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Final, Literal

from .state import KINDS, Object, State, differing_names, digest
from .state_tree import to_tree

FORMAT: Final = 2
FULL_STATE_FORMAT: Final = 1  # its digests are of full states
ROOT_PREFIX: Final = "tree:"
MAX_SHOWN_VALUE: Final = 100  # characters; longer values are cut in what is printed
Action = Literal["add", "remove", "alter"]


class PlanError(ValueError):
    """A text is not a plan, was edited after it was made, or does not fit the state."""


class StaleBaseError(Exception):
    """The live state is not the one that a plan was made against, whose serial is `since`.

    The live one's is `serial`; `pending` is that of a version of a tier that waits for members.
    """

    def __init__(self, since: int, serial: int, pending: int | None = None) -> None:
        text = f"made against serial {since}, and the live state is {serial}"
        if pending is not None:
            text = f"serial {pending} is pending; wait, or `sailhitch tier withdraw {pending}`"
        super().__init__(text)
        self.since = since
        self.serial = serial
        self.pending = pending


@dataclass(frozen=True, slots=True)
class Change:
    """An added, removed or altered object; `fields` maps names to old and new values.

    All old values of an added object are None, and so are all new values of a removed one.
    """

    kind: str
    name: str
    action: Action
    fields: Mapping[str, tuple[Any, Any]]

    def as_json(self) -> dict[str, Any]:
        """Return the change as encoded in a plan's JSON."""
        fields = {name: list(pair) for name, pair in self.fields.items()}
        return {"kind": self.kind, "name": self.name, "action": self.action, "fields": fields}


@dataclass(frozen=True, slots=True)
class Plan:
    """Changes, with the gateway and the state that they apply to."""

    gateway: str
    serial: int
    base: str  # identity of the state that it was made against
    result: str  # digest of the changed objects in the resulting state
    changes: tuple[Change, ...]
    format: int = FORMAT

    def dump(self) -> str:
        """Return the plan as text, with a digest of its own content."""
        body = self.body()
        return json.dumps({**body, "digest": digest(body)}, indent=1) + "\n"

    def body(self) -> dict[str, Any]:
        """Return the plan as JSON, without its digest."""
        return {
            "format": self.format,
            "gateway": self.gateway,
            "serial": self.serial,
            "base": self.base,
            "result": self.result,
            "changes": [change.as_json() for change in self.changes],
        }


def identity(state: State) -> str:
    """Return the identity of a state in plans, its page tree's root; encodes the full state."""
    return ROOT_PREFIX + to_tree(state).root


def diff(old: State, new: State) -> tuple[Change, ...]:
    """Return the changes from one state to another, by kind and name."""
    changes = []
    for kind in KINDS:
        before = old[kind]
        after = new[kind]
        for name in differing_names(before, after):
            change = _change(kind, name, before.get(name), after.get(name))
            if change is not None:
                changes.append(change)
    return tuple(changes)


def _change(kind: str, name: str, old: Object | None, new: Object | None) -> Change | None:
    if old is None and new is not None:
        return Change(kind, name, "add", {field: (None, value) for field, value in new.items()})
    if new is None and old is not None:
        return Change(kind, name, "remove", {field: (value, None) for field, value in old.items()})
    assert old is not None
    assert new is not None
    fields = {
        field: (old.get(field), new.get(field))
        for field in sorted(old.keys() | new.keys())
        if old.get(field) != new.get(field) or (field in old) != (field in new)
    }
    return Change(kind, name, "alter", fields) if fields else None


def make_plan(gateway: str, serial: int, old: State, new: State, base: str | None = None) -> Plan:
    """Return the plan from the live state to another.

    `base` is the live state's identity, if the gateway has sent it; otherwise it is computed.
    """
    changes = diff(old, new)
    if base is None:
        base = identity(old)
    return Plan(gateway, serial, base, _result_digest(new, changes), changes)


def make_format_1_plan(gateway: str, serial: int, old: State, new: State) -> Plan:
    """Return a plan of format 1, the only one that gateways of the previous version can read."""
    return Plan(gateway, serial, digest(old), digest(new), diff(old, new), FULL_STATE_FORMAT)


def _result_digest(state: State, changes: Sequence[Change]) -> str:
    """Return the digest of the changed objects in a state; missing ones count as null."""
    return digest(
        [[change.kind, change.name, state[change.kind].get(change.name)] for change in changes]
    )


def load_plan(text: str | bytes) -> Plan:
    """Parse a plan; raises PlanError with a text that says what to do."""
    try:
        value = json.loads(text)
    except (ValueError, RecursionError):
        raise PlanError("not a plan, or incomplete: make a new one with `sailhitch plan`") from None
    if not isinstance(value, dict) or "format" not in value:
        raise PlanError("not a plan: make one with `sailhitch plan FILE -o PLAN`")
    if value["format"] not in (FULL_STATE_FORMAT, FORMAT):
        raise PlanError(
            f"format {str(value['format'])[:20]} is not {FORMAT}, the one that this program "
            "writes: make a new plan with this version"
        )
    stated_digest = value.pop("digest", None)
    try:
        actual_digest = digest(value)
    except ValueError:
        raise PlanError("it contains numbers that a plan can't contain: make a new plan") from None
    if stated_digest != actual_digest:
        raise PlanError("it was changed after it was made: make a new plan and apply it unedited")
    return _read_plan(value)


def _read_plan(value: Mapping[str, Any]) -> Plan:
    try:
        changes = tuple(_read_change(change) for change in value["changes"])
        plan = Plan(
            str(value["gateway"]),
            int(value["serial"]),
            str(value["base"]),
            str(value["result"]),
            changes,
            int(value["format"]),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise PlanError(f"not a plan: {error!r:.100}") from None
    return plan


def _read_change(value: Mapping[str, Any]) -> Change:
    action = value["action"]
    if value["kind"] not in KINDS or action not in ("add", "remove", "alter"):
        raise ValueError(f"{value['kind']}: {action}")
    fields = {str(name): (old, new) for name, (old, new) in value["fields"].items()}
    return Change(value["kind"], str(value["name"]), action, fields)


def apply_changes(state: State, changes: Sequence[Change]) -> State:
    """Return the state that results from changes; raises PlanError if one does not fit.

    Unchanged objects are shared with `state`.
    """
    copies = {kind: dict(state[kind]) for kind in {change.kind for change in changes}}
    for change in changes:
        objects = copies[change.kind]
        label = f"{change.kind} {change.name}"
        old = objects.get(change.name)
        if (old is None) != (change.action == "add"):
            raise PlanError(f"{label}: {'does not exist' if old is None else 'already exists'}")
        if change.action == "remove":
            del objects[change.name]
            continue
        values = dict(old or {})
        for field, (before, after) in change.fields.items():
            if change.action == "alter" and values.get(field) != before:
                raise PlanError(f"{label}.{field}: is {values.get(field)!r}, not {before!r}")
            values[field] = after
        objects[change.name] = values
    return {**state, **copies}


def compute_plan_result(
    plan: Plan, gateway: str, serial: int, state: State, base: str | None = None
) -> State:
    """Return the state that a plan leads to from the live one; raises PlanError or StaleBaseError.

    `base` is the live state's identity, if it is known; otherwise it is computed.
    """
    if plan.gateway != gateway:
        raise PlanError(f"it was made for gateway {plan.gateway!r}, but this is {gateway!r}")
    if plan.serial != serial:
        raise StaleBaseError(plan.serial, serial)
    is_full_state = plan.format == FULL_STATE_FORMAT
    if is_full_state:
        base = digest(state)
    elif base is None:
        base = identity(state)
    if plan.base != base:
        raise StaleBaseError(plan.serial, serial)
    result = apply_changes(state, plan.changes)
    if plan.result != (digest(result) if is_full_state else _result_digest(result, plan.changes)):
        raise PlanError("its changes do not lead to the result that it states: make a new plan")
    return result


# --- Text for operators


def describe(changes: Sequence[Change]) -> list[str]:
    """Return lines that describe changes and their values: `+` added, `-` removed, `~` altered."""
    marks = {"add": "+", "remove": "-", "alter": "~"}
    lines = []
    for change in changes:
        lines.append(f"{marks[change.action]} {change.kind} {change.name}")
        for field, (old, new) in change.fields.items():
            if change.action == "alter":
                lines.append(f"    {field}: {_short(old)} -> {_short(new)}")
            else:
                lines.append(f"    {field}: {_short(new if change.action == 'add' else old)}")
    return lines


def summary(changes: Sequence[Change]) -> str:
    """Return one line with the number of changes of each kind."""
    count = {"add": 0, "remove": 0, "alter": 0}
    for change in changes:
        count[change.action] += 1
    return f"{count['add']} to add, {count['remove']} to remove, {count['alter']} to alter"


def _short(value: Any) -> str:
    text = json.dumps(value, sort_keys=True)
    return text if len(text) <= MAX_SHOWN_VALUE else text[: MAX_SHOWN_VALUE - 3] + "..."
