"""Groups of connections by source or tenant, with their requests and shares.

Memory is bounded: if there are too many groups, the least recently used one without slots is
evicted.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

MAX_GROUPS: Final = 2048
PRIOR_REQUESTS: Final = 8.0  # requests credited to a group without history
VIOLATOR_REPUTATION: Final = 0.25  # a group below this has misbehaved
MIN_SHARE: Final = 0.5  # of an even share, granted to any group however few its requests


class Group:
    """A source or a tenant. `reputation` (0 to 1) and `quota` are as of the last refresh."""

    __slots__ = (
        "idle",
        "name",
        "quota",
        "reputation",
        "request_count",
        "slots",
        "unproven",
        "wasted_slots",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.slots = 0  # connections
        self.unproven = 0  # connections without a complete request so far
        self.idle = 0  # connections between two requests
        self.request_count = 0.0  # decaying
        self.wasted_slots = 0.0  # slots that ended in misuse; decaying
        self.reputation = 1.0
        self.quota = 1.0  # guaranteed share of a scarce resource

    def update_reputation(self) -> None:
        """Compute the reputation: the share of requests among requests and wasted slots.

        Limits sources that reconnect after each close, by their behaviour. Many honest clients may
        share one address (a front, a mobile carrier); their requests outweigh a few misused slots.
        """
        good = self.request_count + PRIOR_REQUESTS
        self.reputation = good / (good + self.wasted_slots)


class Groups:
    """All sources, or all tenants, by name."""

    def __init__(self, max_groups: int = MAX_GROUPS) -> None:
        self.max_groups = max_groups
        self.by_name: OrderedDict[str, Group] = OrderedDict()

    def get(self, name: str) -> Group:
        """Return the group of this name; a new one may evict the least recently used one."""
        group = self.by_name.get(name)
        if group is not None:
            self.by_name.move_to_end(name)
            return group
        if len(self.by_name) >= self.max_groups:
            self._evict_one()
        group = self.by_name[name] = Group(name)
        return group

    def _evict_one(self) -> None:
        for name, group in self.by_name.items():
            if not group.slots:
                del self.by_name[name]
                return
        # All groups have slots, so the number of descriptors bounds this table too.

    def refresh(self, decay: float) -> None:
        """Update reputations and quotas, and decay the counts by the factor `decay`."""
        active = [g for g in self.by_name.values() if g.slots or g.request_count > 0.5]
        total = sum(g.request_count for g in active)
        min_quota = MIN_SHARE / max(1, len(active))
        for group in active:
            group.update_reputation()
            share = group.request_count / total if total > 0.5 else 1.0 / len(active)
            group.quota = max(share, min_quota)
        for name, group in list(self.by_name.items()):
            group.request_count *= decay
            group.wasted_slots *= decay
            if not group.slots and group.request_count < 0.05 and group.wasted_slots < 0.05:
                del self.by_name[name]


def source_of(address: str) -> str:
    """Return an address's source: itself, or the /64 that one subscriber has (RFC 6177)."""
    if ":" not in address:
        return address
    head, gap, tail = address.partition("%")[0].partition("::")
    left = [part for part in head.split(":") if part]
    if gap:
        right = [part for part in tail.split(":") if part]
        left += ["0"] * max(0, 8 - len(left) - len(right)) + right
    return ":".join(part.lstrip("0") or "0" for part in left[:4]) + "::/64"
