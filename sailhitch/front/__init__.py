"""Admission control of client connections: which to keep, and for how long, under pressure.

No I/O. A front (HTTP/1.1 today) reports the events of its connections to `ConnectionAdmission`, and
carries out its decisions; `docs/design/front-door.md` has the reasons.
"""

from .connection_admission import ConnectionAdmission
from .groups import Group, Groups
from .slots import ConnectionBudget, ConnectionSlot, Reason, State, Verdict
from .survival import Kind, LifeTables

__all__ = [
    "ConnectionAdmission",
    "ConnectionBudget",
    "ConnectionSlot",
    "Group",
    "Groups",
    "Kind",
    "LifeTables",
    "Reason",
    "State",
    "Verdict",
]
