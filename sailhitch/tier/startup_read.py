"""What a member does after the reading of the register that its start begins with."""

from __future__ import annotations

from enum import Enum, auto

from .messages import ChosenState


class NextStep(Enum):
    """What follows a reading."""

    ADOPT = auto()  # it is what holds
    REPORT_LOSS = auto()  # voters have forgotten what was decided
    RETRY = auto()
    BOOTSTRAP = auto()  # there is no tier yet


def next_step_after_read(
    found: ChosenState | None, kept_turn: int, knows_head: bool, may_found: bool
) -> NextStep:
    """Return what follows a reading that found this.

    `kept_turn` is the turn of the head on this member's disk at its start, 0 for none.
    `knows_head`: others have said meanwhile that there is a head.
    """
    if found is not None:
        return NextStep.REPORT_LOSS if found.state.revision < kept_turn else NextStep.ADOPT
    if kept_turn:
        return NextStep.REPORT_LOSS
    # Others know of a head: it was decided meanwhile, or the voters' disks are lost. Where there is
    # none, voters found a tier, and others wait until they have.
    return NextStep.BOOTSTRAP if may_found and not knows_head else NextStep.RETRY
