"""Whether a request may be retried after a failed attempt."""

from __future__ import annotations

from typing import Final

from ..policy_interface import AttemptOutcome
from ..settings import Idempotency, Limits
from .request import Request

# The attempt ran out of time, or the client no longer waits for it.
OUT_OF_TIME: Final = frozenset(
    (AttemptOutcome.TIMEOUT, AttemptOutcome.EXPIRED, AttemptOutcome.NOT_SENT)
)
# No server has received any part of the request, so another attempt adds no load.
FREE_RETRIES: Final = frozenset(
    (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NO_ROUTE, AttemptOutcome.WITHHELD)
)


def is_out_of_time(now: int, request: Request, outcome: AttemptOutcome) -> bool:
    """Return whether it is too late for another attempt."""
    return outcome in OUT_OF_TIME or now >= request.hold_until


def retry_cost(outcome: AttemptOutcome) -> float:
    """Return the cost of a retry after this outcome, charged to the retry budget."""
    return 0.0 if outcome in FREE_RETRIES else 1.0


def retry_refusal_reason(
    request: Request, outcome: AttemptOutcome, limits: Limits, budget: float
) -> str | None:
    """Return the name of the counter for why a retry is refused, or None if it is allowed.

    `budget` is the number of retries that may be spent. Without a budget, every rejection by an
    overloaded server would cause another attempt.
    """
    unsafe = request.request_class.idempotency is Idempotency.UNSAFE
    if request.may_have_run and unsafe:
        return "may_have_run"
    if request.attempts >= limits.max_attempts:
        return "capped"
    if budget < 1.0 and retry_cost(outcome) > 0.0:
        return "spent"
    return None
