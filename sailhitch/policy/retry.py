"""Whether a request may have another attempt after one that failed."""

from __future__ import annotations

from typing import Final

from ..policy_interface import AttemptOutcome
from ..settings import Idempotency, Limits
from .request import Request

# The time of the attempt is over, or nobody waits for it.
OUT_OF_TIME: Final = frozenset(
    (AttemptOutcome.TIMEOUT, AttemptOutcome.EXPIRED, AttemptOutcome.NOT_SENT)
)
# No server has received any of the request, so another attempt adds no load.
FREE_RETRIES: Final = frozenset(
    (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NO_ROUTE, AttemptOutcome.WITHHELD)
)


def is_out_of_time(now: int, request: Request, outcome: AttemptOutcome) -> bool:
    """Return whether no further attempt could be answered in time."""
    return outcome in OUT_OF_TIME or now >= request.hold_until


def retry_cost(outcome: AttemptOutcome) -> float:
    """Return what a retry after this outcome takes from the retry budget."""
    return 0.0 if outcome in FREE_RETRIES else 1.0


def why_not_retried(
    request: Request, outcome: AttemptOutcome, limits: Limits, budget: float
) -> str | None:
    """Return the counter of the reason against a retry, or None if it may be tried.

    `budget` is the number of retries that may be spent. Without one, at overload, every rejection
    by a server would come back as another attempt.
    """
    unsafe = request.request_class.idempotency is Idempotency.UNSAFE
    if request.may_have_run and unsafe:
        return "may_have_run"
    if request.attempts >= limits.max_attempts:
        return "capped"
    if budget < 1.0 and retry_cost(outcome) > 0.0:
        return "spent"
    return None
