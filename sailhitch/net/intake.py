"""What a request's head means: which pool it goes to, its class, its deadline and its key.

Owned here and by other intakes like it, so that a front need not know who its clients are.
"""

from __future__ import annotations

from typing import Any, Final, Protocol

from ..core.exchange import Exchange
from ..core.pool import Pool
from ..core.terms import Field
from ..settings import KEYED, SAFE, Settings
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


class PlatformIntake:
    """Reads the platform's own fields (PROTOCOL): every request must bring them."""

    own = OWN

    def __init__(self, pool: Pool, settings: Settings, wire: Wire) -> None:
        self.pool, self.settings, self.wire = pool, settings, wire

    def read(self, head: Head, found: dict[bytes, bytes], exchange: Exchange) -> bool:
        """As the protocol says; what is missing or out of form is an error."""
        if head.url.partition(b"?")[0] == READY_PATH and b"req-id" not in found:
            return False
        exchange.pool = self.pool
        wire = self.wire
        exchange.name = read_name(found.get(b"req-id", b""))
        cls = wire.classes.get(found.get(b"req-kind", b""))
        if cls is None:
            raise RejectError(400, "Req-Kind missing or unknown")
        exchange.cls = cls
        # Nobody is waited for longer than its class may take.
        wait = read_wait(found.get(b"req-deadline-ms", b""))
        exchange.wait_ms = min(wait, wire.longest_deadline // 1000)
        effect = self.settings.classes[cls].effect
        keyed = found.get(b"idempotency-key")
        if effect == SAFE:
            fits = head.method == b"GET" and not head.has_body() and keyed is None
        else:
            fits = head.method == b"POST" and bool(keyed) == (effect == KEYED)
        if not fits or keyed == b"":
            raise RejectError(400, "method, body or Idempotency-Key do not fit the class")
        exchange.tenant = wire.tenants.get(found.get(b"req-owner", b""), len(wire.tenants))
        exchange.repeat = found.get(b"req-retry") == b"1"
        cost = found.get(b"req-cost", b"")
        if cost.isdigit() and len(cost) < 12:
            exchange.work = int(cost)
        if b"cookie" in found:
            exchange.key = read_cookie_key(found[b"cookie"])
        return True


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
