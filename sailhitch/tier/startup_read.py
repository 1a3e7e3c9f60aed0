"""What a member does after the reading of the register that its start begins with."""

from __future__ import annotations

from enum import Enum, auto

from .messages import Decided


class NextStep(Enum):
    """What follows a reading."""

    FOLLOW = auto()  # it is what holds
    REPORT_LOSS = auto()  # voters have forgotten what was decided
    READ_AGAIN = auto()
    FOUND = auto()  # there is no tier yet


def after_reading(
    found: Decided | None, kept_turn: int, knows_head: bool, may_found: bool
) -> NextStep:
    """What follows a reading that found this.

    `kept_turn` is the turn of the head on this member's disk at its start, 0 for none.
    `knows_head`: others have said meanwhile that there is a head.
    """
    if found is not None:
        return NextStep.REPORT_LOSS if found.head.turn < kept_turn else NextStep.FOLLOW
    if kept_turn:
        return NextStep.REPORT_LOSS
    # Others know of a head: it was decided meanwhile, or the voters' disks are lost. Where there is
    # none, voters found a tier, and others wait until they have.
    return NextStep.FOUND if may_found and not knows_head else NextStep.READ_AGAIN
