"""Who has confirmed a head, and whom it still waits for.

A member is waited for until it has confirmed, or until a majority of voters report that no lease of
it holds and that it is granted none for anything older.
"""

from __future__ import annotations

from .configuration import ConfigurationIndex
from .lease import GrantTable
from .lease_expiry_reports import LeaseExpiryReport, LeaseExpiryReports, encode_expired_leases
from .membership import MembershipTable
from .messages import RegisterState
from .register import majority


class Confirmations:
    """Joins the members' records with the voters' reports."""

    def __init__(self, membership: MembershipTable, voters: int) -> None:
        self._membership = membership
        self._reports = LeaseExpiryReports(majority(voters))
        self.own_revision = 0  # the turn that this member has confirmed
        self._own_report: LeaseExpiryReport | None = None

    def record(self, voter: str, report: LeaseExpiryReport) -> None:
        """Take in a voter's report."""
        self._reports.record(voter, report)

    def has_confirmed(self, name: str, head: RegisterState) -> bool:
        """Return whether a member applies nothing that the head's rules contradict."""
        record = self._membership.records.get(name)
        turn = 0 if record is None else record.confirmed_revision
        if name == self._membership.name:
            turn = max(turn, self.own_revision)
        return turn >= head.required_revision

    def is_lease_expired(self, name: str, index: ConfigurationIndex, head: RegisterState) -> bool:
        """Return whether a majority of voters report that no lease of this member holds."""
        return self._reports.is_expired(index.positions[name], head.revision)

    def waiting_for(self, index: ConfigurationIndex, head: RegisterState) -> list[str]:
        """Members that the head waits for; `index` is of its roster."""
        inside = index.members
        return [
            name
            for name in index.names
            if not (name in inside and self.has_confirmed(name, head))
            and not self.is_lease_expired(name, index, head)
        ]

    # --- A voter's own report

    def make_report(
        self, index: ConfigurationIndex, head: RegisterState, grants: GrantTable, now: int
    ) -> None:
        """Report members for which no lease of this voter holds nor will by an older head.

        It stays true for as long as the head does: none of them is granted a lease before it has
        confirmed, and then nobody waits for it anyway.
        """
        lapsed = (
            position
            for position, name in enumerate(index.names)
            if (name in index.evicted or not self.has_confirmed(name, head))
            and grants.has_expired(name, now)
        )
        self._own_report = head.revision, encode_expired_leases(len(index.names), lapsed)
        self.record(self._membership.name, self._own_report)

    def drop_report(self) -> None:
        """This voter can't tell any more."""
        self._own_report = None

    def report(self, head: RegisterState | None) -> LeaseExpiryReport | None:
        """Return the own report, if it is of this head."""
        own = self._own_report
        return own if own is not None and head is not None and own[0] == head.revision else None
