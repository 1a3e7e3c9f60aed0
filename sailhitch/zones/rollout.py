"""The way back into a zone: steps that grow, each after the evidence of the one before.

A step doubles what is in use, as a slow start does, from the least share on. It lasts for as long
as its nodes need to get warm, and until so many requests have ended there since it began; if too
many of them failed the rollout goes one step back, at once, and each step lasts twice as long from
then on. Every member may propose the next step by these rules; the tier's register lets one win.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from msgspec.structs import replace

from .traffic_policy import ZoneOrder

AUTOMATION: Final = "automation"  # who says what no operator has asked for
FIRST: Final = 0.1  # share of the first step
NEEDED: Final = 20  # requests that have ended in a zone before its step may be judged well
BAD: Final = 0.1  # part of them that may fail: the least that is told from chance by so many
SURE_BAD: Final = 8  # failures before a step is judged bad, so that two of three are no relapse
MOST_RELAPSES: Final = 6  # after which the zone is left, until an operator says otherwise


@dataclass(frozen=True, slots=True)
class StepOutcomes:
    """What the requests of the whole fleet came to in a zone since its step began."""

    ended: int
    failed: int


def leave(by: str, why: str) -> ZoneOrder:
    """A zone is left as a whole."""
    return ZoneOrder(0.0, "out", 0, 0, by, why)


def leave_for_now(dwell: int, why: str) -> ZoneOrder:
    """A zone is left by the gateways' own word; the way back begins after a step's time."""
    return ZoneOrder(0.0, "returning", dwell, 0, AUTOMATION, why)


def begin(order: ZoneOrder, dwell: int, by: str, why: str) -> ZoneOrder:
    """Return the first step back."""
    return ZoneOrder(FIRST, "returning", dwell, order.failed_recoveries, by, why, order.step + 1)


def following(share: float) -> float:
    """Return the share of the step after; 1 or more: the zone is in use as a whole."""
    return share * 2


def before(share: float) -> float:
    """The share of the step before; 0: nothing of the zone is in use for as long as a step."""
    return 0.0 if share <= FIRST else share / 2


def judge(order: ZoneOrder, age: int, since: StepOutcomes) -> tuple[ZoneOrder | None, str] | None:
    """Return what is to become of a zone on its way back, and why; None: nothing yet.

    `age` is for how long this member has gone by the order's step and round, in microseconds. An
    order of None ends the rollout: the zone is in use as a whole.
    """
    if order.phase != "returning":
        return None
    if order.share and since.failed >= SURE_BAD and since.failed > BAD * since.ended:
        return _back(order, since)
    if age < order.step_duration << order.failed_recoveries:
        return None
    if not order.share:
        return _step(order, FIRST, "once more" if order.failed_recoveries else "the first step")
    if since.ended < NEEDED:
        # Nodes that failed are shunned, and nothing more is learned of them by waiting.
        told = f"tried anew at {order.share:.0%}: {since.ended} of {NEEDED} requests have ended"
        return replace(order, attempt=order.attempt + 1, reason=told), told
    if since.failed > BAD * since.ended:
        return _back(order, since)
    told = f"{since.failed} of {since.ended} failed at {order.share:.0%}"
    share = following(order.share)
    return (None, told) if share >= 1 else _step(order, share, told)


def _step(order: ZoneOrder, share: float, why: str) -> tuple[ZoneOrder, str]:
    return replace(order, share=share, step=order.step + 1, attempt=0, reason=why), why


def _back(order: ZoneOrder, since: StepOutcomes) -> tuple[ZoneOrder, str]:
    told = f"relapse: {since.failed} of {since.ended} failed at {order.share:.0%}"
    if order.failed_recoveries >= MOST_RELAPSES:
        told += "; it is left to an operator"
        return leave(order.ordered_by, told), told
    return _step(
        replace(order, failed_recoveries=order.failed_recoveries + 1), before(order.share), told
    )


def waits_for(order: ZoneOrder, age: int) -> str:
    """Return what the next step waits for, for people."""
    if order.phase != "returning":
        return "an operator's `return`"
    left = (order.step_duration << order.failed_recoveries) - age
    if left > 0:
        return f"{left / 1e6:.1f} s more at {order.share:.0%}"
    return "a member to propose it"
