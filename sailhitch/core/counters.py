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
        self.refused = 0  # requests rejected by the decision module
        self.failed = 0
        self.disconnected = 0  # requests whose client disconnected
        self.bad_requests = 0
        self.malformed = 0  # responses of hosts that could not be parsed
        self.bad_lists = 0  # endpoint lists that could not be used
        self.panics = 0  # exceptions from the decision module
        self.overdue = 0  # requests without a decision at their deadline
        self.shed = 0  # requests rejected for the limit on open requests
        self.crowded = 0  # connections rejected by admission control
        self.faults = 0  # other unexpected exceptions
        self.cut = 0  # streamed responses that were aborted
        self.statuses: dict[str, int] = {}  # outcomes of attempts
