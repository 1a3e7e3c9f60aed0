"""Map a request head to its pool, class, deadline and idempotency key.

Connections parse heads and an intake interprets them, so that the connection code does not depend
on the protocol of its clients.
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
# Fields addressed to this gateway, which are forwarded in its own form or not at all.
GATEWAY_FIELDS: Final = HOP_BY_HOP_FIELDS | {b"req-deadline-ms"}
READ_FIELDS: Final = frozenset(
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
# us for which clients may still use the previous settings, as they learn of new ones later.
PREVIOUS_CLASSES_TTL: Final = 1_100_000
STRICTNESS: Final = {Idempotency.SAFE: 0, Idempotency.KEYED: 1, Idempotency.UNSAFE: 2}
# Fields that may occur once only: a second one would be ambiguous.
SINGLE_FIELDS: Final = READ_FIELDS - {b"cookie", b"expect"}


class RejectError(Exception):
    """The request is malformed; `status` is that of the response."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class Head(Protocol):
    """A request head as parsed from a connection, with its framing checked."""

    method: bytes
    url: bytes
    fields: list[HeaderField]

    def has_body(self) -> bool:
        """Return whether a body follows."""


class Intake(Protocol):
    """Interprets requests."""

    own: frozenset[bytes]  # fields that are not forwarded unchanged

    def read(self, head: Head, found: dict[bytes, bytes], request: RequestContext) -> bool:
        """Fill in the request; return False if it is for the gateway itself, not for a host.

        The response to that is the request's `fallback_response`, or that of the health check if
        there is none. `found` has the last value of each field in `READ_FIELDS`.

        Raises RejectError.
        """


class PreviousClass(NamedTuple):
    """A class of the previous settings: the form its requests have, and how to treat them."""

    idempotency: Idempotency
    request_class: RequestClass


def previous_classes(
    before: Sequence[RequestClass], after: Sequence[RequestClass]
) -> dict[bytes, PreviousClass]:
    """Return the classes that are removed or change their idempotency, by name.

    A request in the previous form gets the stricter of both idempotencies: the old one if it is
    stricter, else the strictest of all, as the request may lack what the new one requires.
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
    """Interprets the platform's header fields, which every request must have."""

    own = GATEWAY_FIELDS

    def __init__(self, pool: Pool, names: PlatformNames) -> None:
        self.pool = pool
        self.names = names
        self.previous: dict[bytes, PreviousClass] = {}
        self.previous_until = 0

    def reconfigure(self, now: int, settings: Settings, names: PlatformNames) -> list[RequestClass]:
        """Use other settings; return the previous classes that requests may still have."""
        self.previous = previous_classes(self.pool.settings.classes, settings.classes)
        self.previous_until = now + PREVIOUS_CLASSES_TTL
        self.names = names
        return [previous.request_class for previous in self.previous.values()]

    def _previous_class(self, name: bytes) -> PreviousClass | None:
        """Return the previous form of a class, while requests may still have it."""
        previous = self.previous.get(name)
        if previous is not None and self.pool.core.clock() >= self.previous_until:
            self.previous = {}
            return None
        return previous

    def read(self, head: Head, found: dict[bytes, bytes], request: RequestContext) -> bool:
        """Interpret a request of the platform's protocol; raises RejectError."""
        if head.url.partition(b"?")[0] == READY_PATH and b"req-id" not in found:
            return False
        request.pool = self.pool
        names = self.names
        request.name = parse_request_id(found.get(b"req-id", b""))
        name = found.get(b"req-kind", b"")
        number = names.classes.get(name)
        kind = None if number is None else self.pool.settings.classes[number]
        # No request takes longer than the longest deadline of a class.
        wait = parse_wait_ms(found.get(b"req-deadline-ms", b""))
        request.wait_ms = min(wait, names.longest_deadline // 1000)
        idempotency_key = found.get(b"idempotency-key")
        if kind is None or not _matches_form(kind.idempotency, head, idempotency_key):
            previous = self._previous_class(name)
            if previous is None and kind is None:
                raise RejectError(400, "Req-Kind missing or unknown")
            if previous is None or not _matches_form(previous.idempotency, head, idempotency_key):
                raise RejectError(400, "method, body or Idempotency-Key does not match the class")
            kind = previous.request_class
        request.request_class = kind
        request.tenant = names.tenants.get(found.get(b"req-owner", b""), len(names.tenants))
        request.is_retry = found.get(b"req-retry") == b"1"
        cost = found.get(b"req-cost", b"")
        if cost.isdigit() and len(cost) < 12:
            request.work = int(cost)
        if b"cookie" in found:
            request.key = read_cookie_key(found[b"cookie"])
        return True


def _matches_form(idempotency: str, head: Head, key: bytes | None) -> bool:
    """Return whether a request has the form for classes of this idempotency (PROTOCOL)."""
    if key == b"":
        return False
    if idempotency == Idempotency.SAFE:
        return head.method == b"GET" and not head.has_body() and key is None
    return head.method == b"POST" and (key is not None) == (idempotency == Idempotency.KEYED)


def parse_request_id(name: bytes) -> bytes:
    """Check a request's id and return it; raises RejectError."""
    if not name or len(name) > 128 or (not name.isalnum() and not _is_visible_ascii(name)):
        raise RejectError(400, "Req-Id missing or invalid")
    return name


def parse_wait_ms(wait: bytes) -> int:
    """Parse how long a client waits, in ms; raises RejectError."""
    if not wait.isdigit() or len(wait) > 9 or int(wait) == 0:
        raise RejectError(400, "Req-Deadline-Ms missing or invalid")
    return int(wait)


def _is_visible_ascii(name: bytes) -> bool:
    return all(33 <= byte < 127 for byte in name)


def read_cookie_key(value: Any) -> int | None:
    """Return the affinity key of a request: the cookie `sid` as a hex number, if it is one."""
    for part in value.split(b";"):
        name, _, text = part.strip().partition(b"=")
        if name == b"sid":
            try:
                return int(text, 16) & 0xFFFFFFFFFFFFFFFF
            except ValueError:
                return None
    return None
