"""What became of a proposal, also where others were chosen after it before its proposer knew.

The transition of an attempt that is made again finds its own version in the register only as long
as no other one has followed. After that the register would call a version stale that is in force.
"""

from __future__ import annotations

from dataclasses import dataclass

from .active_versions import ActiveVersions
from .effects import ProposalResult
from .messages import RegisterState, Version


@dataclass(frozen=True, slots=True)
class Proposal:
    """A version that this member proposes; its serial is assigned when it is chosen."""

    version: Version
    active_versions: ActiveVersions  # those of the version's kind that this member knows

    def outcome(
        self, result: ProposalResult, state: RegisterState, may_be_chosen: bool
    ) -> tuple[ProposalResult, Version | None]:
        """Return the final result, and the version that the proposal has become, if any.

        Args:
            result: The result of the last attempt.
            state: The state of the register that the last attempt returned.
            may_be_chosen: An earlier attempt was abandoned, and may have been chosen all the same.
        """
        for version in (state.active, state.pending, state.traffic_policy):
            if version is not None and version.change_id == self.version.change_id:
                return result, version
        if result is not ProposalResult.STALE:
            return result, None
        found = self.active_versions.find(self.version.change_id)
        if found is not None:
            return ProposalResult.ACTIVE, found
        if may_be_chosen and not self.active_versions.has_successor(self.version.base):
            return ProposalResult.UNKNOWN, None
        return result, None
