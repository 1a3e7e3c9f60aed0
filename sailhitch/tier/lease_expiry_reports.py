"""Voters' reports of expired leases, and whether a majority reports a member's lease expired.

A report has a bit for each name of a configuration, in order, and is of one register revision.
"""

from __future__ import annotations

from collections.abc import Iterable

# The revision, and a bit for each position in its configuration; on the wire a two-element array.
LeaseExpiryReport = tuple[int, bytes]


def encode_expired_leases(size: int, positions: Iterable[int]) -> bytes:
    """Return a report's bits: those at `positions` of a configuration of `size` names are set."""
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
        """Record a voter's report in place of its earlier one."""
        self._by_voter[voter] = report

    def is_expired(self, position: int, revision: int) -> bool:
        """Return whether a majority of voters report, at that revision, that the lease expired."""
        byte_index = position // 8
        mask = 1 << position % 8
        count = 0
        for reported_revision, bits in self._by_voter.values():
            is_current = reported_revision == revision
            if is_current and byte_index < len(bits) and bits[byte_index] & mask:
                count += 1
        return count >= self._majority
