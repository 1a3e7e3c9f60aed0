"""What a member does after the register read at its start."""

from __future__ import annotations

from enum import Enum, auto

from .messages import ChosenState


class NextStep(Enum):
    """What follows a read of the register."""

    ADOPT = auto()  # the state that was read is the current one
    REPORT_LOSS = auto()  # the voters have lost a state that was chosen
    RETRY = auto()
    BOOTSTRAP = auto()  # there is no tier yet


def next_step_after_read(
    read_state: ChosenState | None, persisted_revision: int, knows_state: bool, may_bootstrap: bool
) -> NextStep:
    """Return what follows a read.

    Args:
        read_state: The result of the read; None where the register is empty.
        persisted_revision: The revision on this member's disk at its start, 0 for none.
        knows_state: A chosen state is known, from disk or from gossip.
        may_bootstrap: This member is a voter with a first version to propose.
    """
    if read_state is not None:
        is_older = read_state.state.revision < persisted_revision
        return NextStep.REPORT_LOSS if is_older else NextStep.ADOPT
    if persisted_revision:
        return NextStep.REPORT_LOSS
    # The register was empty. If gossip has brought a state, that was chosen after the read, or the
    # voters' disks are lost. Otherwise voters bootstrap the tier, and other members wait for them.
    return NextStep.BOOTSTRAP if may_bootstrap and not knows_state else NextStep.RETRY
