"""One gateway's part in leaving zones and returning to them: what it goes by, says and proposes.

The same core runs in the daemon and in the fleet model. What the tier has decided comes in by
`goes_by`, outcomes of this gateway's own requests by `saw`, others' words by `look`; proposals go
out as postures, for the tier to decide.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Final

from . import course, evidence
from .posture import NOTHING, Posture, PostureError, ZoneOrder, check, renewed, unused

LOOK: Final = 200_000  # us between two looks at the way back
SPREAD: Final = 1_000_000  # us over which members' proposals of one step are spread
MOST_WHY: Final = 200  # letters of an operator's reason

Nodes = Mapping[str, Mapping[str, str]]  # by pool: the zone of each node


@dataclass(frozen=True, slots=True)
class ZoneTerms:
    """What a gateway is told of zones at its start. Times in microseconds."""

    max_out: int
    step: int  # for which a step of the way back lasts, at least


class Helm:
    """A gateway's posture, counts and next proposal."""

    def __init__(self, terms: ZoneTerms, rng: random.Random) -> None:
        self.terms, self.rng = terms, rng
        self.serial = 0
        self.posture = NOTHING
        self.tally = evidence.Tally()
        self._look_at = 0
        self._began: dict[str, tuple[int, int, int]] = {}  # step, round, when

    # --- What happens

    def goes_by(self, serial: int, posture: Posture, now: int) -> None:
        """This gateway goes by this from here on."""
        if serial == self.serial:
            return
        self.serial, self.posture = serial, posture
        began = {}
        for zone, order in posture.zones.items():
            at = (order.step, order.round)
            old = self._began.get(zone)
            # Each gateway waits for a while of its own beyond each step, so that few propose it.
            first = (*at, now + self.rng.randrange(SPREAD))
            began[zone] = old if old is not None and old[:2] == at else first
        self._began = began
        self.tally.goes_by(posture)

    def saw(self, zone: str, failed: bool) -> None:
        """A request to a node of a zone has ended."""
        self.tally.saw(zone, failed)

    def word(self) -> bytes:
        """What to say to the others."""
        return self.tally.word()

    def look(self, now: int, words: Iterable[bytes]) -> tuple[Posture, str] | None:
        """The posture to propose now, and why, by what all have said (this gateway's word too)."""
        if self.posture.held or not self.posture.zones or now < self._look_at:
            return None
        self._look_at = now + LOOK
        said = read_words(words)
        for zone, order in self.posture.zones.items():
            since = evidence.fleet(said, zone, order.step)
            found = course.judge(order, self.age(zone, now), since)
            if found is not None:
                return self.posture.with_zone(zone, found[0]), f"{zone}: {found[1]}"
        return None

    def age(self, zone: str, now: int) -> int:
        """For how long it has gone by a zone's step and round, less its own while."""
        return max(0, now - self._began[zone][2]) if zone in self._began else 0

    # --- What operators ask for

    def asked(
        self, act: str, zone: str, why: str, by: str, step: int | None, nodes: Nodes
    ) -> Posture:
        """The posture that an operator's word comes to; raises PostureError."""
        wanted = self._wanted(act, zone, why[:MOST_WHY], by, step)
        check(wanted, {z for pool in nodes.values() for z in pool.values()}, self.terms.max_out)
        for pool, here in nodes.items():
            if here and len(unused(wanted, here)) == len(here):
                raise PostureError(f"pool {pool!r} has no nodes outside of zone {zone!r}")
        if wanted == self.posture:
            raise PostureError("nothing to do: that is what holds; see `sailhitch zones status`")
        return wanted

    def _wanted(self, act: str, zone: str, why: str, by: str, step: int | None) -> Posture:
        order = self.posture.zones.get(zone)
        if act == "hold":
            return Posture(self.posture.zones, why or f"by {by}")
        if act == "release":
            return Posture(self.posture.zones, "")
        if act == "leave":
            return self.posture.with_zone(zone, course.leave(by, why))
        if act != "return":
            raise PostureError(f"act: not known: {act[:40]!r}")
        if order is None:
            raise PostureError(f"zone {zone!r} was not left; see `sailhitch zones status`")
        dwell = max(self.terms.step, step or 0)
        return self.posture.with_zone(zone, course.begin(order, dwell, by, why))

    def status(self, now: int, words: Iterable[bytes], zones: Mapping[str, int]) -> dict[str, Any]:
        """What `zones status` shows; `zones` has the number of nodes of each."""
        said, told = read_words(words), {}
        for name, count in sorted(zones.items()):
            order: ZoneOrder | None = self.posture.zones.get(name)
            if order is None:
                told[name] = {"nodes": count, "share": 1.0, "phase": "in use"}
                continue
            since = evidence.fleet(said, name, order.step)
            told[name] = {
                "nodes": count, "share": order.share, "phase": order.phase, "by": order.by,
                "why": order.why, "relapses": order.relapses, "ended": since.ended,
                "failed": since.failed,
                "waits_for": course.waits_for(order, self.age(name, now)),
            }  # fmt: skip
        return {"serial": self.serial, "held": self.posture.held, "zones": told}


def read_words(words: Iterable[bytes]) -> list[evidence.Word]:
    """Those that can be read."""
    return [made for word in words if (made := evidence.read(word)) is not None]


def all_renewed(old: Posture, new: Posture, nodes: Nodes) -> frozenset[str]:
    """Nodes in use that are to be tried as if they had just started."""
    zones = set(renewed(old, new))
    if not zones:
        return frozenset()
    here = {name for pool in nodes.values() for name, zone in pool.items() if zone in zones}
    return frozenset(here) - all_unused(new, nodes)


def all_unused(posture: Posture, nodes: Nodes) -> frozenset[str]:
    """Nodes that get nothing new. Each pool by itself: a share of a zone is one in every pool."""
    if not posture.zones:
        return frozenset()
    return frozenset().union(*(unused(posture, here) for here in nodes.values()))
