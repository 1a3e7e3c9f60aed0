"""Who has confirmed a head, and whom it still waits for.

A member is waited for until it has confirmed, or until a majority of voters report that no lease of
it holds and that it is granted none for anything older.
"""

from __future__ import annotations

from .lapse_reports import LapseReport, LapseReports, encode_lapses
from .lease import Grants
from .membership import MembershipTable
from .messages import Head
from .register import majority
from .roster import RosterIndex


class Confirmations:
    """Joins the members' records with the voters' reports."""

    def __init__(self, membership: MembershipTable, voters: int) -> None:
        self._membership = membership
        self._reports = LapseReports(majority(voters))
        self.own = 0  # the turn that this member has confirmed
        self._own_report: LapseReport | None = None

    def record(self, voter: str, report: LapseReport) -> None:
        """Take in a voter's report."""
        self._reports.record(voter, report)

    def has_confirmed(self, name: str, head: Head) -> bool:
        """Whether a member applies nothing that the head's rules contradict."""
        record = self._membership.records.get(name)
        turn = 0 if record is None else record.confirmed
        if name == self._membership.name:
            turn = max(turn, self.own)
        return turn >= head.floor

    def is_lapsed(self, name: str, index: RosterIndex, head: Head) -> bool:
        """Whether a majority of voters report that no lease of this member holds."""
        return self._reports.is_lapsed(index.positions[name], head.turn)

    def waiting_for(self, index: RosterIndex, head: Head) -> list[str]:
        """Members that the head waits for; `index` is of its roster."""
        inside = index.inside
        return [
            name
            for name in index.names
            if not (name in inside and self.has_confirmed(name, head))
            and not self.is_lapsed(name, index, head)
        ]

    # --- A voter's own report

    def make_report(self, index: RosterIndex, head: Head, grants: Grants, now: int) -> None:
        """Report members for which no lease of this voter holds nor will by an older head.

        It stays true for as long as the head does: none of them is granted a lease before it has
        confirmed, and then nobody waits for it anyway.
        """
        lapsed = (
            position for position, name in enumerate(index.names)
            if (name in index.out or not self.has_confirmed(name, head))
            and grants.lapsed(name, now)
        )  # fmt: skip
        self._own_report = head.turn, encode_lapses(len(index.names), lapsed)
        self.record(self._membership.name, self._own_report)

    def drop_report(self) -> None:
        """This voter can't tell any more."""
        self._own_report = None

    def report(self, head: Head | None) -> LapseReport | None:
        """The own report, if it is of this head."""
        own = self._own_report
        return own if own is not None and head is not None and own[0] == head.turn else None
