"""Runs jobs that the tier decides, with a time limit for operators' requests."""

from __future__ import annotations

import asyncio
from typing import Final

from ..tier.effects import JobCompleted
from .state_applier import ApplyError
from .tier_link import MemberJob, TierLink

DECISION_TIMEOUT: Final = 10.0  # s after which the operator is told that a change is undecided


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
