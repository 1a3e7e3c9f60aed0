"""Maps a request's head to its pool, class, deadline and idempotency key.

A front reads heads and an intake interprets them, so that a front need not know its clients.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import Any, Final, NamedTuple, Protocol

from ..core.pool import Pool
from ..core.request_context import RequestContext
from ..core.response import HeaderField
from ..settings import Idempotency, RequestClass, Settings
from .config import PlatformNames
from .http import HOP_BY_HOP_FIELDS

READY_PATH: Final = b"/health/ready"
# Fields that are for this gateway, and are forwarded in its own form or not at all.
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
# us in which a client may use the settings of before, as it learns of new ones at another time.
PREVIOUS_CLASSES_TTL: Final = 1_100_000
STRICTNESS: Final = {Idempotency.SAFE: 0, Idempotency.KEYED: 1, Idempotency.UNSAFE: 2}
# Fields that may come once only: a second one would be ambiguous.
SINGLE: Final = READ - {b"cookie", b"expect"}


class RejectError(Exception):
    """A malformed request, with the status to respond with."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class Head(Protocol):
    """A request's head as a front has read it, with its framing checked."""

    method: bytes
    url: bytes
    fields: list[HeaderField]

    def has_body(self) -> bool:
        """Return whether a body follows."""


class Intake(Protocol):
    """Interprets requests."""

    own: frozenset[bytes]  # fields that are not forwarded as received

    def read(self, head: Head, found: dict[bytes, bytes], request: RequestContext) -> bool:
        """Fill in the request; return False for one to the gateway itself, which no host gets.

        The response to that is the request's `fallback_response`, or the health check's if there is
        none. `found` has the last value of each field in `READ`. Raises RejectError.
        """


class PreviousClass(NamedTuple):
    """A class before new settings: the form in which requests come, and how to treat them."""

    idempotency: Idempotency
    request_class: RequestClass


def previous_classes(
    before: Sequence[RequestClass], after: Sequence[RequestClass]
) -> dict[bytes, PreviousClass]:
    """Return the classes that are removed, or whose idempotency changes, by name.

    A request in the form of before is held to the stricter idempotency of both: to the old one if
    that is it, and else to the strictest there is, as its form may lack what the new one needs.
    """
    previous = {}
    current = {request_class.name: request_class for request_class in after}
    for old in before:
        new = current.get(old.name)
        if new is None or STRICTNESS[old.idempotency] > STRICTNESS[new.idempotency]:
            previous[old.name.encode()] = PreviousClass(old.idempotency, old)
        elif new.idempotency != old.idempotency:
            previous[old.name.encode()] = PreviousClass(
                old.idempotency, replace(new, idempotency=Idempotency.UNSAFE)
            )
    return previous


class PlatformIntake:
    """Reads the platform's fields, which every request must have."""

    own = OWN

    def __init__(self, pool: Pool, names: PlatformNames) -> None:
        self.pool = pool
        self.names = names
        self.previous: dict[bytes, PreviousClass] = {}
        self.previous_until = 0

    def reconfigure(self, now: int, settings: Settings, names: PlatformNames) -> list[RequestClass]:
        """Use other settings; return the classes that requests may have besides theirs."""
        self.previous = previous_classes(self.pool.settings.classes, settings.classes)
        self.previous_until = now + PREVIOUS_CLASSES_TTL
        self.names = names
        return [previous.request_class for previous in self.previous.values()]

    def _previous_class(self, name: bytes) -> PreviousClass | None:
        """How a request of this class may come just after new settings, besides its new form."""
        older = self.previous.get(name)
        if older is not None and self.pool.core.clock() >= self.previous_until:
            self.previous = {}
            return None
        return older

    def read(self, head: Head, found: dict[bytes, bytes], request: RequestContext) -> bool:
        """Interpret a request by the platform's protocol; raises RejectError."""
        if head.url.partition(b"?")[0] == READY_PATH and b"req-id" not in found:
            return False
        request.pool = self.pool
        names = self.names
        request.name = read_name(found.get(b"req-id", b""))
        name = found.get(b"req-kind", b"")
        number = names.classes.get(name)
        kind = None if number is None else self.pool.settings.classes[number]
        # No client waits for longer than any class may take.
        wait = read_wait(found.get(b"req-deadline-ms", b""))
        request.wait_ms = min(wait, names.longest_deadline // 1000)
        keyed = found.get(b"idempotency-key")
        if kind is None or not _fits(kind.idempotency, head, keyed):
            older = self._previous_class(name)
            if older is None and kind is None:
                raise RejectError(400, "Req-Kind missing or unknown")
            if older is None or not _fits(older.idempotency, head, keyed):
                raise RejectError(400, "method, body or Idempotency-Key do not fit the class")
            kind = older.request_class
        request.request_class = kind
        request.tenant = names.tenants.get(found.get(b"req-owner", b""), len(names.tenants))
        request.is_retry = found.get(b"req-retry") == b"1"
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
