"""Counters of decisions. They are written to the log; no decision depends on them."""

from __future__ import annotations

from typing import Final

# Requests that were rejected or failed, by reason.
REASONS: Final = (
    "shed",  # load shedding
    "spent",  # the retry budget is used up
    "unplaced",  # no server was available, and it was too late to hold the request
    "expired",  # held, but no server was available in time
    "timed_out",  # too late for another attempt
    "capped",  # the maximum number of attempts is reached
    "may_have_run",  # unsafe to repeat
    "retired",  # the pool was removed
)
EVENTS: Final = (
    "retries",
    "hedges",
    "cuts",  # of the fleet's rate
    "rests",  # cooldowns of servers after a rejection
    "shuns",  # ejections of servers
    "cold",  # requests sent to servers in slow start
)


def new_counters() -> dict[str, int]:
    """Return all counters at zero, in the order in which they are logged."""
    return dict.fromkeys((*REASONS, *EVENTS), 0)
