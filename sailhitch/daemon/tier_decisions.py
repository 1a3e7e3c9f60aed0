"""Operators' requests that the tier decides: whether this member may act, and a time limit."""

from __future__ import annotations

import asyncio
from typing import Final

from ..tier.effects import JobCompleted
from ..tier.member import MemberStatus
from .state_applier import ApplyError
from .tier_link import MemberJob, TierLink

DECISION_TIMEOUT: Final = 10.0  # s after which the operator is told that a change is undecided


def check_active(link: TierLink) -> None:
    """Raise ApplyError, with the reason, if this member may not act."""
    status = link.member_status()
    if status is not MemberStatus.ACTIVE:
        raise ApplyError(f"this gateway is out, {status.reason}; ask another one")


async def wait_for_decision(link: TierLink, job: MemberJob) -> JobCompleted:
    """Start a job on the member, and wait until it is decided.

    Raises:
        ApplyError: The job can't be started yet, or is not decided within `DECISION_TIMEOUT`.
    """
    try:
        async with asyncio.timeout(DECISION_TIMEOUT):
            completed = await link.run_job(job)
    except TimeoutError:
        raise ApplyError(
            f"not decided within {DECISION_TIMEOUT:g} s, as no majority of the voters answers; "
            "it may still be decided: `sailhitch tier status` shows it"
        ) from None
    if completed is None:
        raise ApplyError("this gateway has not read the tier's register yet; try again")
    return completed
