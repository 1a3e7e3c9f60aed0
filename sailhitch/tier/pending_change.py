"""The progress of a pending version: whom it waits for, and its activation."""

from __future__ import annotations

from .activation import Activation
from .effects import ProposalResult
from .messages import ChosenState
from .parts import MemberParts
from .proposer import Job
from .register_view import RegisterView
from .round_recovery import RoundRecovery
from .transitions import activate, read


class PendingChange:
    """Reports expired leases, activates a confirmed version, and completes abandoned rounds."""

    def __init__(self, parts: MemberParts, register: RegisterView) -> None:
        self._name = parts.config.name
        self._voter = parts.voter
        self._proposer = parts.proposer
        self._confirmations = parts.confirmations
        self._register = register
        self._activation = Activation(parts.rng)
        self._recovery = RoundRecovery(parts.rng)

    def on_adopted(self) -> None:
        """Restart the delay of the activation, because the state has changed."""
        self._activation.restart()

    def waiting_for(self) -> list[str]:
        """Return the members that the pending version waits for."""
        chosen = self._register.chosen
        if chosen is None or chosen.state.pending is None or not self._register.is_caught_up():
            return []
        return self._confirmations.waiting_for(self._register.index, chosen.state)

    def is_lease_expired(self, name: str) -> bool:
        """Return whether a majority of voters report that a member has no valid lease."""
        chosen = self._register.chosen
        assert chosen is not None
        return self._confirmations.is_lease_expired(name, self._register.index, chosen.state)

    def report_expired_leases(self, now: int) -> None:
        """Renew this voter's own report of expired leases, or drop it."""
        voter = self._voter
        chosen = self._register.chosen
        self._confirmations.drop_report()
        if voter is None or voter.grants is None or chosen is None:
            return
        if self._register.has_read_register and voter.is_voting and self._register.is_caught_up():
            self._confirmations.make_report(self._register.index, chosen.state, voter.grants, now)

    def activate(self, now: int) -> None:
        """Propose to activate a pending version that no longer waits for any member."""
        register = self._register
        chosen = register.chosen
        if chosen is None or chosen.state.pending is None or self._activation.in_progress:
            return
        if not register.has_read_register or not register.is_caught_up() or self.waiting_for():
            self._activation.restart()
            return
        pending = chosen.state.pending
        if self._activation.is_due(now, pending.proposer == self._name):
            self._activation.in_progress = True
            self._proposer.add(Job(activate(pending.serial), self._on_activated))

    def _on_activated(self, chosen: ChosenState | None, result: ProposalResult) -> None:
        self._activation.in_progress = False
        self._register.adopt_from_voters(chosen, result)

    def recover_round(self, now: int) -> None:
        """Complete a round in which this voter has accepted, if no outcome becomes known."""
        voter = self._voter
        if voter is None or not voter.is_voting or self._proposer.jobs:
            return  # a job of this member finds an accepted state anyway
        if self._recovery.is_due(now, voter.accepted_state(), self._register.chosen):
            self._proposer.add(Job(read, self._register.adopt_from_voters))
