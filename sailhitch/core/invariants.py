"""The rules on requests as invariants: asked in one place each, and every violation is counted.

Everything that decides by these rules does so earlier. What is found here is a fault of the
program: it is not done, it is logged with the request's id, and `violations` of the periodic line
counts it.
"""

from __future__ import annotations

from enum import Enum

from ..settings import Idempotency
from .log import Log
from .request_context import Attempt, RequestContext


class Violation(Enum):
    """An invariant that would have been broken."""

    SENT_UNOWED = "sent for a request that nobody is owed an answer to"
    SENT_LATE = "sent after its time"
    SENT_UNLISTED = "sent to a host that the list does not have as ready"
    REPEATED = "sent again though it may have run, and may not run twice"
    ANSWERED_TWICE = "answered a second time"
    REFUSED_AFTER_RUN = "refused as harmless though it may have run"
    CLOSED_OWING = "its connection was closed with no answer"


class Invariants:
    """Checks, and counts what would have broken."""

    def __init__(self, log: Log) -> None:
        self._log = log
        self.counts = dict.fromkeys(Violation, 0)

    @property
    def total(self) -> int:
        """Return the number of violations so far."""
        return sum(self.counts.values())

    def record(self, violation: Violation, request: RequestContext, more: str = "") -> Violation:
        """Record a violation."""
        self.counts[violation] += 1
        name = request.name.decode("latin-1")
        text = f"violation: request {name}: {violation.value}{more}"
        self._log.write_limited(f"violation {violation.name}", text)
        return violation

    def before_send(
        self, attempt: Attempt, now: int, ready: bool, remembered: bool
    ) -> Violation | None:
        """Return what speaks against writing an attempt's first byte now, if anything.

        `ready`: the list has its host as ready. `remembered`: hosts still know a repeat of it as
        one.
        """
        request = attempt.request
        violation = None
        if request.closed:
            violation = Violation.SENT_UNOWED
        elif now >= attempt.expires_at:
            violation = Violation.SENT_LATE
        elif not ready:
            violation = Violation.SENT_UNLISTED
        elif _repeats(attempt) and not remembered:
            violation = Violation.REPEATED
        if violation is not None:
            self.record(violation, request, f" (attempt {attempt.number} at {attempt.server})")
        return violation

    def before_refusal(self, request: RequestContext) -> bool:
        """Return whether a refusal, which promises that a repeat is harmless, is true."""
        kind = request.request_class
        if kind is None or kind.idempotency != Idempotency.UNSAFE or not request.first_run_at:
            return True
        self.record(Violation.REFUSED_AFTER_RUN, request)
        return False

    def summary(self) -> str:
        """Return the violations by kind, for the log; empty if there are none."""
        return " ".join(f"{v.name.lower()}={count}" for v, count in self.counts.items() if count)


def _repeats(attempt: Attempt) -> bool:
    """Return whether an attempt could make an effect happen a second time."""
    request = attempt.request
    kind = request.request_class
    if kind is None or kind.idempotency == Idempotency.SAFE:
        return False
    if kind.idempotency == Idempotency.KEYED:
        return bool(request.first_run_at)
    others = [
        one for one in request.open_attempts if one is not attempt and one.connection is not None
    ]
    return bool(request.first_run_at or others)
