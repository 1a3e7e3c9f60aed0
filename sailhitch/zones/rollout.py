"""The recovery of a zone, in growing steps; each is based on the evidence of the one before.

Starting from a minimum share, each step doubles the share in use, as a slow start does. A step
lasts as long as its nodes need to warm up, and until enough requests have ended there since it
began. If too many of them failed, the recovery immediately goes back one step, and every step from
then on lasts twice as long. Each member may propose the next step by these rules; the tier's
register accepts one proposal.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, NamedTuple

from msgspec.structs import replace

from .traffic_policy import ZoneOrder

AUTOMATION: Final = "automation"  # the author of orders that no operator has given
FIRST_SHARE: Final = 0.1  # share of the first step
MIN_REQUESTS: Final = 20  # requests that must end in a zone before its step may succeed
# Of a step's requests; a lower ratio could not be told from chance with so few requests.
MAX_FAILURE_RATIO: Final = 0.1
MIN_FAILURES: Final = 8  # for a step to fail early, so that two failures of three are no relapse
MAX_FAILED_RECOVERIES: Final = 6  # after which the zone is left to an operator


@dataclass(frozen=True, slots=True)
class StepOutcomes:
    """Outcomes of the fleet's requests in a zone since its step began."""

    ended: int
    failed: int


def leave(by: str, why: str) -> ZoneOrder:
    """Return the order to leave a zone completely, until an operator starts its recovery."""
    return ZoneOrder(0.0, "out", 0, 0, by, why)


def leave_automatically(step_duration: int, why: str) -> ZoneOrder:
    """Return the automatic order to leave a zone; its recovery starts after one step duration."""
    return ZoneOrder(0.0, "returning", step_duration, 0, AUTOMATION, why)


def start_recovery(order: ZoneOrder, step_duration: int, by: str, why: str) -> ZoneOrder:
    """Return the first step of the recovery."""
    return ZoneOrder(
        FIRST_SHARE, "returning", step_duration, order.failed_recoveries, by, why, order.step + 1
    )


def next_share(share: float) -> float:
    """Return the share of the next step; 1 or more: the zone is completely in use."""
    return share * 2


def previous_share(share: float) -> float:
    """Return the share of the previous step; 0: the zone is not in use for one step duration."""
    return 0.0 if share <= FIRST_SHARE else share / 2


class OrderChange(NamedTuple):
    """The next order for a zone, or None to end its recovery, and the reason."""

    order: ZoneOrder | None
    reason: str


def next_order(order: ZoneOrder, age: int, outcomes: StepOutcomes) -> OrderChange | None:
    """Return the change that is due for a zone in recovery, or None if none is due yet.

    Args:
        order: The order in force.
        age: How long this member has applied the order's step and attempt, in microseconds.
        outcomes: The fleet's outcomes since the step began.
    """
    if order.phase != "returning":
        return None
    too_many_failed = outcomes.failed > MAX_FAILURE_RATIO * outcomes.ended
    if order.share and outcomes.failed >= MIN_FAILURES and too_many_failed:
        return _step_back(order, outcomes)
    if age < _required_age(order):
        return None
    if not order.share:
        reason = "once more" if order.failed_recoveries else "the first step"
        return _start_step(order, FIRST_SHARE, reason)
    if outcomes.ended < MIN_REQUESTS:
        # Failed nodes are ejected: without a retry, waiting would bring no more evidence.
        ended = f"{outcomes.ended} of {MIN_REQUESTS} requests have ended"
        reason = f"tried anew at {order.share:.0%}: {ended}"
        return OrderChange(replace(order, attempt=order.attempt + 1, reason=reason), reason)
    if too_many_failed:
        return _step_back(order, outcomes)
    reason = f"{outcomes.failed} of {outcomes.ended} failed at {order.share:.0%}"
    share = next_share(order.share)
    return OrderChange(None, reason) if share >= 1 else _start_step(order, share, reason)


def _required_age(order: ZoneOrder) -> int:
    """Return how long an order's step has to last, in microseconds."""
    return order.step_duration << order.failed_recoveries


def _start_step(order: ZoneOrder, share: float, reason: str) -> OrderChange:
    return OrderChange(
        replace(order, share=share, step=order.step + 1, attempt=0, reason=reason), reason
    )


def _step_back(order: ZoneOrder, outcomes: StepOutcomes) -> OrderChange:
    reason = f"relapse: {outcomes.failed} of {outcomes.ended} failed at {order.share:.0%}"
    if order.failed_recoveries >= MAX_FAILED_RECOVERIES:
        reason += "; it is left to an operator"
        return OrderChange(leave(order.ordered_by, reason), reason)
    slower = replace(order, failed_recoveries=order.failed_recoveries + 1)
    return _start_step(slower, previous_share(order.share), reason)


def waits_for(order: ZoneOrder, age: int) -> str:
    """Return what the next step waits for, as text for operators."""
    if order.phase != "returning":
        return "an operator's `return`"
    remaining = _required_age(order) - age
    if remaining > 0:
        return f"{remaining / 1e6:.1f} s more at {order.share:.0%}"
    return "a member to propose it"
