"""What a request's head means: which pool it goes to, its class, its deadline and its key.

Owned here and by other intakes like it, so that a front need not know who its clients are.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import Any, Final, NamedTuple, Protocol

from ..core.exchange import Exchange
from ..core.pool import Pool
from ..core.terms import Field
from ..settings import KEYED, SAFE, UNSAFE, RequestClass, Settings
from .config import Wire
from .http import HOP

READY_PATH: Final = b"/health/ready"
# What is read for this gateway and goes on in its own form or not at all.
OWN: Final = HOP | {b"req-deadline-ms"}
READ: Final = frozenset(
    {
        b"content-length", b"cookie", b"expect", b"host", b"idempotency-key", b"req-cost",
        b"req-deadline-ms", b"req-id", b"req-kind", b"req-owner", b"req-retry",
        b"transfer-encoding",
    }
)  # fmt: skip
# Clients learn of new settings about when this process does; so long either may come first (us).
OLD_FORMS: Final = 1_100_000
STRICTNESS: Final = {SAFE: 0, KEYED: 1, UNSAFE: 2}
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
    fields: list[Field]

    def has_body(self) -> bool:
        """Whether a body follows."""


class Intake(Protocol):
    """Reads what a request means."""

    own: frozenset[bytes]  # fields that do not go on to hosts as they came

    def read(self, head: Head, found: dict[bytes, bytes], exchange: Exchange) -> bool:
        """Fill in the exchange; False for a question to the gateway itself, which no host gets.

        Its answer is the exchange's `fallback`, or that of the health check where there is none.
        `found` has the last value of each field in `READ`. Raises RejectError.
        """


class Older(NamedTuple):
    """What a class was before new settings: the effect whose form it came in, and what to do."""

    form: str
    kind: RequestClass


def outgoing(before: Sequence[RequestClass], after: Sequence[RequestClass]) -> dict[bytes, Older]:
    """Classes that go, or whose effect changes, by name.

    A request in a form that has just gone is held to the stricter of both effects: to the old one
    where that is it, and else to the strictest there is, as a form may lack what the new one needs.
    """
    found = {}
    now = {kind.name: kind for kind in after}
    for old in before:
        new = now.get(old.name)
        if new is None or STRICTNESS[old.effect] > STRICTNESS[new.effect]:
            found[old.name.encode()] = Older(old.effect, old)
        elif new.effect != old.effect:
            found[old.name.encode()] = Older(old.effect, replace(new, effect=UNSAFE))
    return found


class PlatformIntake:
    """Reads the platform's own fields (PROTOCOL): every request must bring them."""

    own = OWN

    def __init__(self, pool: Pool, wire: Wire) -> None:
        self.pool, self.wire = pool, wire
        self.older: dict[bytes, Older] = {}
        self.older_until = 0

    def reconfigure(self, now: int, settings: Settings, wire: Wire) -> list[RequestClass]:
        """Read by other settings; returns classes that requests may have besides theirs."""
        self.older = outgoing(self.pool.settings.classes, settings.classes)
        self.older_until = now + OLD_FORMS
        self.wire = wire
        return [one.kind for one in self.older.values()]

    def _older(self, name: bytes) -> Older | None:
        """How a request of this class may come just after new settings, besides its new form."""
        older = self.older.get(name)
        if older is not None and self.pool.core.clock() >= self.older_until:
            self.older = {}
            return None
        return older

    def read(self, head: Head, found: dict[bytes, bytes], exchange: Exchange) -> bool:
        """As the protocol says; what is missing or out of form is an error."""
        if head.url.partition(b"?")[0] == READY_PATH and b"req-id" not in found:
            return False
        exchange.pool = self.pool
        wire = self.wire
        exchange.name = read_name(found.get(b"req-id", b""))
        name = found.get(b"req-kind", b"")
        number = wire.classes.get(name)
        kind = None if number is None else self.pool.settings.classes[number]
        # Nobody is waited for longer than its class may take.
        wait = read_wait(found.get(b"req-deadline-ms", b""))
        exchange.wait_ms = min(wait, wire.longest_deadline // 1000)
        keyed = found.get(b"idempotency-key")
        if kind is None or not _fits(kind.effect, head, keyed):
            older = self._older(name)
            if older is None and kind is None:
                raise RejectError(400, "Req-Kind missing or unknown")
            if older is None or not _fits(older.form, head, keyed):
                raise RejectError(400, "method, body or Idempotency-Key do not fit the class")
            kind = older.kind
        exchange.kind = kind
        exchange.tenant = wire.tenants.get(found.get(b"req-owner", b""), len(wire.tenants))
        exchange.repeat = found.get(b"req-retry") == b"1"
        cost = found.get(b"req-cost", b"")
        if cost.isdigit() and len(cost) < 12:
            exchange.work = int(cost)
        if b"cookie" in found:
            exchange.key = read_cookie_key(found[b"cookie"])
        return True


def _fits(effect: str, head: Head, keyed: bytes | None) -> bool:
    """Whether a request's form is that of classes with such an effect (PROTOCOL)."""
    if keyed == b"":
        return False
    if effect == SAFE:
        return head.method == b"GET" and not head.has_body() and keyed is None
    return head.method == b"POST" and (keyed is not None) == (effect == KEYED)


def read_name(name: bytes) -> bytes:
    """A request's id; raises RejectError."""
    if not name or len(name) > 128 or (not name.isalnum() and not _token(name)):
        raise RejectError(400, "Req-Id missing or bad")
    return name


def read_wait(wait: bytes) -> int:
    """How long a client waits, in ms; raises RejectError."""
    if not wait.isdigit() or len(wait) > 9 or int(wait) == 0:
        raise RejectError(400, "Req-Deadline-Ms missing or bad")
    return int(wait)


def _token(name: bytes) -> bool:
    return all(33 <= byte < 127 for byte in name)


def read_cookie_key(value: Any) -> int | None:
    """What a request is about: the cookie `sid`, where it is hex digits."""
    for part in value.split(b";"):
        name, _, text = part.strip().partition(b"=")
        if name == b"sid":
            try:
                return int(text, 16) & 0xFFFFFFFFFFFFFFFF
            except ValueError:
                return None
    return None
