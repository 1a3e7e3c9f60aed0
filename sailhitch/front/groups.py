"""Groups of connections: sources and tenants, their requests, and their shares.

Memory is bounded: a group without slots is evicted when there are too many, the longest unseen
first. All times are microseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

MOST_GROUPS: Final = 2048
PRIOR: Final = 8.0  # slots that a group of no record is taken to have used well
VIOLATOR_STANDING: Final = 0.25  # a group of less standing than this is one that has misbehaved
MIN_SHARE: Final = 0.5  # of an even share, which is anybody's however little it brings


class Group:
    """A source or a tenant. `standing` (0 to 1) and `quota` are as of the last refresh."""

    __slots__ = (
        "idle",
        "name",
        "quota",
        "request_count",
        "slots",
        "standing",
        "unproven",
        "wasted_slots",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.slots = 0  # connections
        self.unproven = 0  # of them, those that have not brought a whole request yet
        self.idle = 0  # of them, those that have and wait with none open
        self.request_count = 0.0  # requests, of late
        self.wasted_slots = 0.0  # slots that ended in misuse, of late
        self.standing = 1.0
        self.quota = 1.0  # of what there is of a scarce thing, this part at least

    def judge(self) -> None:
        """Work out the standing: a few bad ones among many good do not count, all bad do.

        Guards against sources that come back after each close, by what they did and not by how
        they look. Many honest clients may share one address (a front, a mobile carrier).
        Their requests outweigh what a few spoil.
        """
        good = self.request_count + PRIOR
        self.standing = good / (good + self.wasted_slots)


class Groups:
    """The groups of one sort."""

    def __init__(self, most: int = MOST_GROUPS) -> None:
        self.most = most
        self.known: OrderedDict[str, Group] = OrderedDict()

    def get(self, name: str) -> Group:
        """Return the group of this name; a new one may evict the least recently seen idle one."""
        group = self.known.get(name)
        if group is not None:
            self.known.move_to_end(name)
            return group
        if len(self.known) >= self.most:
            self._forget_one()
        group = self.known[name] = Group(name)
        return group

    def _forget_one(self) -> None:
        for name, group in self.known.items():
            if not group.slots:
                del self.known[name]
                return
        # All hold slots: as many as there are descriptors, which bounds this table too.

    def refresh(self, keep: float) -> None:
        """Judge all groups, share out by what each brings, and let old deeds count less."""
        active = [g for g in self.known.values() if g.slots or g.request_count > 0.5]
        total = sum(g.request_count for g in active)
        even = MIN_SHARE / max(1, len(active))
        for group in active:
            group.judge()
            part = group.request_count / total if total > 0.5 else 1.0 / len(active)
            group.quota = max(part, even)
        for name, group in list(self.known.items()):
            group.request_count *= keep
            group.wasted_slots *= keep
            if not group.slots and group.request_count < 0.05 and group.wasted_slots < 0.05:
                del self.known[name]


def source_of(address: str) -> str:
    """Who an address stands for: itself, or the /64 that one subscriber is given (RFC 6177)."""
    if ":" not in address:
        return address
    head, gap, tail = address.partition("%")[0].partition("::")
    left = [part for part in head.split(":") if part]
    if gap:
        right = [part for part in tail.split(":") if part]
        left += ["0"] * max(0, 8 - len(left) - len(right)) + right
    return ":".join(part.lstrip("0") or "0" for part in left[:4]) + "::/64"
