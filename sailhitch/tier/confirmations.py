"""Which members have confirmed a state, and which ones it still waits for.

A state waits for a member until the member has confirmed it, or until a majority of voters report
that it has no valid lease and that they grant it none for any older state.
"""

from __future__ import annotations

from .configuration import ConfigurationIndex
from .lease import GrantTable
from .lease_expiry_reports import LeaseExpiryReport, LeaseExpiryReports, encode_expired_leases
from .membership import MembershipTable
from .messages import RegisterState
from .register import majority


class Confirmations:
    """Combines the members' records with the voters' reports of expired leases."""

    def __init__(self, membership: MembershipTable, voter_count: int) -> None:
        self._membership = membership
        self._reports = LeaseExpiryReports(majority(voter_count))
        self.own_revision = 0  # the revision that this member has confirmed
        self._own_report: LeaseExpiryReport | None = None

    def record(self, voter: str, report: LeaseExpiryReport) -> None:
        """Record a voter's report."""
        self._reports.record(voter, report)

    def has_confirmed(self, name: str, state: RegisterState) -> bool:
        """Return whether a member applies nothing that the state's rules contradict."""
        record = self._membership.records.get(name)
        revision = 0 if record is None else record.confirmed_revision
        if name == self._membership.name:
            revision = max(revision, self.own_revision)
        return revision >= state.required_revision

    def is_lease_expired(self, name: str, index: ConfigurationIndex, state: RegisterState) -> bool:
        """Return whether a majority of voters report that this member has no valid lease."""
        return self._reports.is_expired(index.positions[name], state.revision)

    def waiting_for(self, index: ConfigurationIndex, state: RegisterState) -> list[str]:
        """Return the members that the state waits for; `index` is of its configuration."""
        members = index.members
        return [
            name
            for name in index.names
            if not (name in members and self.has_confirmed(name, state))
            and not self.is_lease_expired(name, index, state)
        ]

    # --- A voter's own report

    def make_report(
        self, index: ConfigurationIndex, state: RegisterState, grants: GrantTable, now: int
    ) -> None:
        """Report the members without a valid lease from this voter, at this state.

        The report stays true as long as the state is current: such a member is granted no lease
        before it has confirmed the state, and after that nothing waits for it.
        """
        expired = (
            position
            for position, name in enumerate(index.names)
            if (name in index.evicted or not self.has_confirmed(name, state))
            and grants.has_expired(name, now)
        )
        self._own_report = state.revision, encode_expired_leases(len(index.names), expired)
        self.record(self._membership.name, self._own_report)

    def drop_report(self) -> None:
        """Drop the own report, which may no longer be true."""
        self._own_report = None

    def report(self, state: RegisterState | None) -> LeaseExpiryReport | None:
        """Return the own report, if it is of this state."""
        own = self._own_report
        return own if own is not None and state is not None and own[0] == state.revision else None
