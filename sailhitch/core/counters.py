"""Counters of the process, for the periodic statistics in the log."""

from __future__ import annotations


class Counters:
    """Events counted since the process started."""

    __slots__ = (
        "bad_lists",
        "bad_requests",
        "crowded",
        "cut",
        "disconnected",
        "failed",
        "faults",
        "malformed",
        "overdue",
        "panics",
        "refused",
        "requests",
        "served",
        "shed",
        "statuses",
    )

    def __init__(self) -> None:
        self.requests = 0
        self.served = 0
        self.refused = 0
        self.failed = 0
        self.disconnected = 0
        self.bad_requests = 0
        self.malformed = 0
        self.bad_lists = 0
        self.panics = 0  # exceptions from the decision module
        self.overdue = 0
        self.shed = 0
        self.crowded = 0
        self.faults = 0
        self.cut = 0
        self.statuses: dict[str, int] = {}  # outcomes of attempts
