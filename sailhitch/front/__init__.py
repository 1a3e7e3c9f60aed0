"""Admission control of client connections: which are kept, and for how long, when few are free.

Sans-IO. A front (HTTP/1.1 today) reports to `ConnectionAdmission` what its connections do, and
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
