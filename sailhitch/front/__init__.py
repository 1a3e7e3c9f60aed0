"""The front door: who may hold a client's connection, and for how long, when there are too few.

Sans-IO. A front (HTTP/1.1 today) tells the `Door` what its connections do and carries out what it
decides; `docs/design/front-door.md` has the reasons.
"""

from .door import Door, Place, Reason, Sizes, State, Verdict
from .groups import Group, Groups
from .life import Kind, LifeTables

__all__ = [
    "Door",
    "Group",
    "Groups",
    "Kind",
    "LifeTables",
    "Place",
    "Reason",
    "Sizes",
    "State",
    "Verdict",
]
