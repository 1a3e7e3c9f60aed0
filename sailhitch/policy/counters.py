"""Counters of decisions, for the log alone: no decision depends on them."""

from __future__ import annotations

from typing import Final

# Rejections and failures by their reason.
REASONS: Final = (
    "shed",
    "spent",
    "unplaced",
    "expired",
    "timed_out",
    "capped",
    "may_have_run",
    "retired",
)
EVENTS: Final = ("retries", "hedges", "cuts", "rests", "shuns", "cold")


def new_counters() -> dict[str, int]:
    """Return all counters at zero, by name, in the order of the log line."""
    return dict.fromkeys((*REASONS, *EVENTS), 0)
