"""Invariants of requests, each checked in one place as a last line of defence.

Decisions already follow these rules, so a violation detected here is a bug. The action is not
carried out; the violation is logged with the request's name, and counted by `violations` in the
periodic statistics.
"""

from __future__ import annotations

from enum import Enum

from ..settings import Idempotency
from .log import Log
from .request_context import Attempt, RequestContext


class Violation(Enum):
    """An invariant that an action would have violated; the value is its description in the log."""

    SENT_UNOWED = "sent for a request that nobody is owed an answer to"
    SENT_LATE = "sent after its time"
    SENT_UNLISTED = "sent to a host that the list does not have as ready"
    REPEATED = "sent again though it may have run, and may not run twice"
    ANSWERED_TWICE = "answered a second time"
    REFUSED_AFTER_RUN = "refused as harmless though it may have run"
    CLOSED_OWING = "its connection was closed with no answer"


class Invariants:
    """Checks the invariants, and counts violations."""

    def __init__(self, log: Log) -> None:
        self._log = log
        self.counts = dict.fromkeys(Violation, 0)

    @property
    def total(self) -> int:
        """Return the number of violations so far."""
        return sum(self.counts.values())

    def record(self, violation: Violation, request: RequestContext, details: str = "") -> Violation:
        """Count and log a violation."""
        self.counts[violation] += 1
        name = request.name.decode("latin-1")
        text = f"violation: request {name}: {violation.value}{details}"
        self._log.write_limited(f"violation {violation.name}", text)
        return violation

    def before_send(
        self, attempt: Attempt, now: int, ready: bool, remembered: bool
    ) -> Violation | None:
        """Return the invariant that writing an attempt's first byte now would violate, if any.

        `ready`: its host is listed as ready. `remembered`: hosts still recognize a retry by its
        idempotency key.
        """
        request = attempt.request
        violation = None
        if request.closed:
            violation = Violation.SENT_UNOWED
        elif now >= attempt.expires_at:
            violation = Violation.SENT_LATE
        elif not ready:
            violation = Violation.SENT_UNLISTED
        elif _may_repeat_effect(attempt) and not remembered:
            violation = Violation.REPEATED
        if violation is not None:
            self.record(violation, request, f" (attempt {attempt.number} at {attempt.server})")
        return violation

    def before_refusal(self, request: RequestContext) -> bool:
        """Return whether the request may be rejected, which implies that a retry is safe."""
        request_class = request.request_class
        if request_class is None or request_class.idempotency != Idempotency.UNSAFE:
            return True
        if not request.first_run_at:
            return True
        self.record(Violation.REFUSED_AFTER_RUN, request)
        return False

    def summary(self) -> str:
        """Return the violations by kind, for the log; empty if there are none."""
        return " ".join(f"{v.name.lower()}={count}" for v, count in self.counts.items() if count)


def _may_repeat_effect(attempt: Attempt) -> bool:
    """Return whether an attempt could make the request take effect a second time."""
    request = attempt.request
    request_class = request.request_class
    if request_class is None or request_class.idempotency == Idempotency.SAFE:
        return False
    if request_class.idempotency == Idempotency.KEYED:
        return bool(request.first_run_at)
    others_sent = any(
        other is not attempt and other.connection is not None for other in request.open_attempts
    )
    return bool(request.first_run_at or others_sent)
