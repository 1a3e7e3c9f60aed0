"""What a request's head means: which pool it goes to, its class, its deadline and its key.

Owned here and by other intakes like it, so that a front need not know who its clients are.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import Any, Final, NamedTuple, Protocol

from ..core.pool import Pool
from ..core.request_context import RequestContext
from ..core.response import HeaderField
from ..settings import (
    Idempotency,
    RequestClass,
    Settings,
)
from .config import PlatformNames
from .http import HOP_BY_HOP_FIELDS

READY_PATH: Final = b"/health/ready"
# What is read for this gateway and goes on in its own form or not at all.
OWN: Final = HOP_BY_HOP_FIELDS | {b"req-deadline-ms"}
READ: Final = frozenset(
    {
        b"content-length",
        b"cookie",
        b"expect",
        b"host",
        b"idempotency-key",
        b"req-cost",
        b"req-deadline-ms",
        b"req-id",
        b"req-kind",
        b"req-owner",
        b"req-retry",
        b"transfer-encoding",
    }
)
# Clients learn of new settings about when this process does; so long either may come first (us).
PREVIOUS_CLASSES_TTL: Final = 1_100_000
STRICTNESS: Final = {Idempotency.SAFE: 0, Idempotency.KEYED: 1, Idempotency.UNSAFE: 2}
# A second one of these would make it doubtful what was meant.
SINGLE: Final = READ - {b"cookie", b"expect"}


class RejectError(Exception):
    """A request out of form, with the status that says so."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Head(Protocol):
    """A request's head as a front has read it. Its framing has been checked."""

    method: bytes
    url: bytes
    fields: list[HeaderField]

    def has_body(self) -> bool:
        """Return whether a body follows."""


class Intake(Protocol):
    """Reads what a request means."""

    own: frozenset[bytes]  # fields that do not go on to hosts as they came

    def read(self, head: Head, found: dict[bytes, bytes], request: RequestContext) -> bool:
        """Fill in the request; False for a question to the gateway itself, which no host gets.

        Its answer is the request's `fallback`, or that of the health check where there is none.
        `found` has the last value of each field in `READ`. Raises RejectError.
        """


class PreviousClass(NamedTuple):
    """What a class was before new settings: the effect whose form it came in, and what to do."""

    idempotency: str
    request_class: RequestClass


def previous_classes(
    before: Sequence[RequestClass], after: Sequence[RequestClass]
) -> dict[bytes, PreviousClass]:
    """Classes that go, or whose effect changes, by name.

    A request in a form that has just gone is held to the stricter of both effects: to the old one
    where that is it, and else to the strictest there is, as a form may lack what the new one needs.
    """
    found = {}
    now = {kind.name: kind for kind in after}
    for old in before:
        new = now.get(old.name)
        if new is None or STRICTNESS[old.idempotency] > STRICTNESS[new.idempotency]:
            found[old.name.encode()] = PreviousClass(old.idempotency, old)
        elif new.idempotency != old.idempotency:
            found[old.name.encode()] = PreviousClass(
                old.idempotency, replace(new, idempotency=Idempotency.UNSAFE)
            )
    return found


class PlatformIntake:
    """Reads the platform's own fields (PROTOCOL): every request must bring them."""

    own = OWN

    def __init__(self, pool: Pool, wire: PlatformNames) -> None:
        self.pool = pool
        self.wire = wire
        self.previous: dict[bytes, PreviousClass] = {}
        self.previous_until = 0

    def reconfigure(self, now: int, settings: Settings, wire: PlatformNames) -> list[RequestClass]:
        """Read by other settings; returns classes that requests may have besides theirs."""
        self.previous = previous_classes(self.pool.settings.classes, settings.classes)
        self.previous_until = now + PREVIOUS_CLASSES_TTL
        self.wire = wire
        return [one.request_class for one in self.previous.values()]

    def _previous_class(self, name: bytes) -> PreviousClass | None:
        """How a request of this class may come just after new settings, besides its new form."""
        older = self.previous.get(name)
        if older is not None and self.pool.core.clock() >= self.previous_until:
            self.previous = {}
            return None
        return older

    def read(self, head: Head, found: dict[bytes, bytes], request: RequestContext) -> bool:
        """As the protocol says; what is missing or out of form is an error."""
        if head.url.partition(b"?")[0] == READY_PATH and b"req-id" not in found:
            return False
        request.pool = self.pool
        wire = self.wire
        request.name = read_name(found.get(b"req-id", b""))
        name = found.get(b"req-kind", b"")
        number = wire.classes.get(name)
        kind = None if number is None else self.pool.settings.classes[number]
        # Nobody is waited for longer than its class may take.
        wait = read_wait(found.get(b"req-deadline-ms", b""))
        request.wait_ms = min(wait, wire.longest_deadline // 1000)
        keyed = found.get(b"idempotency-key")
        if kind is None or not _fits(kind.idempotency, head, keyed):
            older = self._previous_class(name)
            if older is None and kind is None:
                raise RejectError(400, "Req-Kind missing or unknown")
            if older is None or not _fits(older.idempotency, head, keyed):
                raise RejectError(400, "method, body or Idempotency-Key do not fit the class")
            kind = older.request_class
        request.request_class = kind
        request.tenant = wire.tenants.get(found.get(b"req-owner", b""), len(wire.tenants))
        request.repeat = found.get(b"req-retry") == b"1"
        cost = found.get(b"req-cost", b"")
        if cost.isdigit() and len(cost) < 12:
            request.work = int(cost)
        if b"cookie" in found:
            request.key = read_cookie_key(found[b"cookie"])
        return True


def _fits(effect: str, head: Head, keyed: bytes | None) -> bool:
    """Return whether a request's form is that of classes with such an effect (PROTOCOL)."""
    if keyed == b"":
        return False
    if effect == Idempotency.SAFE:
        return head.method == b"GET" and not head.has_body() and keyed is None
    return head.method == b"POST" and (keyed is not None) == (effect == Idempotency.KEYED)


def read_name(name: bytes) -> bytes:
    """Return a request's id; raises RejectError."""
    if not name or len(name) > 128 or (not name.isalnum() and not _token(name)):
        raise RejectError(400, "Req-Id missing or bad")
    return name


def read_wait(wait: bytes) -> int:
    """Return how long a client waits, in ms; raises RejectError."""
    if not wait.isdigit() or len(wait) > 9 or int(wait) == 0:
        raise RejectError(400, "Req-Deadline-Ms missing or bad")
    return int(wait)


def _token(name: bytes) -> bool:
    return all(33 <= byte < 127 for byte in name)


def read_cookie_key(value: Any) -> int | None:
    """Return what a request is about: the cookie `sid`, where it is hex digits."""
    for part in value.split(b";"):
        name, _, text = part.strip().partition(b"=")
        if name == b"sid":
            try:
                return int(text, 16) & 0xFFFFFFFFFFFFFFFF
            except ValueError:
                return None
    return None
