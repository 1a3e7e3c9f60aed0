"""Voters' reports of whose lease has lapsed, and how many voters report it of a member.

A report is a bit for each name of the roster, in order, and is about one turn of the register.
"""

from __future__ import annotations

from collections.abc import Iterable

LeaseExpiryReport = tuple[int, bytes]  # the turn, and a bit by each position in its roster


def encode_expired_leases(size: int, positions: Iterable[int]) -> bytes:
    """Return the bits of a report: those at `positions` of a roster of `size` names are set."""
    bits = bytearray((size + 7) // 8)
    for position in positions:
        bits[position // 8] |= 1 << position % 8
    return bytes(bits)


class LeaseExpiryReports:
    """The latest report of each voter."""

    def __init__(self, majority: int) -> None:
        self._majority = majority
        self._by_voter: dict[str, LeaseExpiryReport] = {}

    def record(self, voter: str, report: LeaseExpiryReport) -> None:
        """Take in a voter's report, in place of its earlier one."""
        self._by_voter[voter] = report

    def is_expired(self, position: int, turn: int) -> bool:
        """Whether a majority of voters report of that turn that the lease of a member lapsed."""
        at = position // 8
        mask = 1 << position % 8
        count = 0
        for reported_turn, bits in self._by_voter.values():
            if reported_turn == turn and at < len(bits) and bits[at] & mask:
                count += 1
        return count >= self._majority
