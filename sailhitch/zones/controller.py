"""One gateway's part in leaving zones and returning to them: what it goes by, says and proposes.

The same core runs in the daemon and in the fleet model. What the tier has decided comes in by
`goes_by`, outcomes of this gateway's own requests by `saw`, others' words by `look`; proposals go
out as postures, for the tier to decide.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final, NamedTuple

from . import evidence, rollout
from .diagnosis import Finding, Kind, Report, diagnose
from .health_tracker import ZoneHealth
from .posture import NOTHING, Posture, PostureError, check, renewed, unused

LOOK: Final = 200_000  # us between two looks at what all say
SPREAD: Final = 1_000_000  # us over which members' proposals of one step are spread
MOST_WHY: Final = 200  # letters of an operator's reason
GONE_FOR: Final = 500_000  # us for which a zone must be found gone before anybody proposes it
HOUR: Final = 3_600_000_000

Nodes = Mapping[str, Mapping[str, str]]  # by pool: the zone of each node
Words = Mapping[str, bytes]  # by the gateway that says them


class Heard(NamedTuple):
    """The words that can be read, and what each zone is taken for by them."""

    said: list[evidence.Word]
    found: dict[str, Finding]


@dataclass(frozen=True, slots=True)
class ZoneTerms:
    """What a gateway is told of zones at its start. Times in microseconds."""

    max_out: int
    step: int  # for which a step of the way back lasts, at least
    place: str = ""  # the zone that it is in
    act: bool = False  # whether it proposes to leave what the fleet takes for gone
    leaves_an_hour: int = 4  # so many at the most without an operator


class ZoneController:
    """A gateway's posture, counts and next proposal."""

    def __init__(self, terms: ZoneTerms, rng: random.Random) -> None:
        self.terms, self.rng = terms, rng
        self.serial = 0
        self.posture = NOTHING
        self.nodes: Nodes = {}
        self.outcome_counts, self.zone_health = evidence.OutcomeCounts(), ZoneHealth()
        self.zone_of: dict[str, str] = {}
        self._look_at = 0
        self._began: dict[str, tuple[int, int, int]] = {}  # step, round, when
        self._gone_since: dict[str, int] = {}
        self._failing: dict[str, int] = {}
        self._patience = GONE_FOR + rng.randrange(SPREAD // 2)
        self._leaves: deque[int] = deque()  # when zones were left without an operator

    # --- What happens

    def goes_by(self, serial: int, posture: Posture, nodes: Nodes, now: int) -> None:
        """This gateway goes by this from here on, with these nodes."""
        was, renewed_ = all_unused(self.posture, nodes), all_renewed(self.posture, posture, nodes)
        self.nodes = nodes
        self.zone_of = {name: zone for pool in nodes.values() for name, zone in pool.items()}
        self.zone_health.keep(self.zone_of)
        if serial == self.serial:
            return
        self.zone_health.forget((was - all_unused(posture, nodes)) | renewed_)
        for zone, order in posture.zones.items():
            if order.by == rollout.AUTOMATION and zone not in self.posture.zones:
                self._leaves.append(now)
        self.serial, self.posture = serial, posture
        began = {}
        for zone, order in posture.zones.items():
            at = (order.step, order.round)
            old = self._began.get(zone)
            # Each gateway waits for a while of its own beyond each step, so that few propose it.
            first = (*at, now + self.rng.randrange(SPREAD))
            began[zone] = old if old is not None and old[:2] == at else first
        self._began = began
        self.outcome_counts.goes_by(posture)

    def saw(self, node: str, failed: bool, full: bool, now: int) -> None:
        """A request to a node has ended; one that is full is not one that fails."""
        zone = self.zone_of.get(node)
        if zone is not None:
            self.zone_health.saw(node, failed, full, now)
            if not full:
                self.outcome_counts.saw(zone, failed)

    def word(self, now: int) -> tuple[bytes, bool]:
        """What to say to the others, and whether they wait for it: other nodes fail than before."""
        sights = self.zone_health.sights(self.zone_of, now)
        failing = {zone: one.failed for zone, one in sights.items() if one.failed}
        news, self._failing = failing != self._failing, failing
        word = evidence.Word(self.outcome_counts.counts(), self.terms.place, sights)
        return evidence.write(word), news

    # --- What the fleet sees

    def due(self, now: int) -> bool:
        """Whether it is time to look again at what all say, and to say something; then it has."""
        if now < self._look_at:
            return False
        self._look_at = now + LOOK
        return True

    def hear(self, words: Words) -> Heard:
        """What all say, this gateway too, read and made sense of once for all that asks for it."""
        read = {name: evidence.read(word) for name, word in words.items()}
        said = {name: made for name, made in read.items() if made is not None}
        reports = [Report(name, one.place, one.sights) for name, one in said.items()]
        return Heard(list(said.values()), diagnose(reports, Counter(self.zone_of.values())))

    def leaving(self, now: int, heard: Heard) -> tuple[Posture, str] | None:
        """The posture to propose where a zone is gone, and why.

        It is proposed once the finding has lasted for `GONE_FOR` and a while of this gateway's own.
        """
        found = heard.found
        gone = {zone for zone, one in found.items() if one.kind is Kind.GONE and one.sure > 0.5}
        gone -= self.posture.zones.keys()
        self._gone_since = {zone: self._gone_since.get(zone, now) for zone in gone}
        if not self.terms.act or self.posture.held:
            return None
        while self._leaves and now - self._leaves[0] > HOUR:
            self._leaves.popleft()
        if len(self._leaves) >= self.terms.leaves_an_hour:
            return None
        for zone, since in sorted(self._gone_since.items()):
            if now - since < self._patience:
                continue
            order = rollout.leave_for_now(self.terms.step, found[zone].told[:MOST_WHY])
            wanted = self.posture.with_zone(zone, order)
            try:
                self._check(wanted, zone)
            except PostureError:
                continue  # it stays what it was; `status` shows the finding
            return wanted, f"{zone} is gone: {found[zone].told}"
        return None

    def look(self, now: int, heard: Heard) -> tuple[Posture, str] | None:
        """The posture to propose now, and why."""
        gone = self.leaving(now, heard)
        if gone is not None or self.posture.held:
            return gone
        for zone, order in self.posture.zones.items():
            since = evidence.fleet(heard.said, zone, order.step)
            found = rollout.judge(order, self.age(zone, now), since)
            if found is not None:
                return self.posture.with_zone(zone, found[0]), f"{zone}: {found[1]}"
        return None

    def age(self, zone: str, now: int) -> int:
        """For how long it has gone by a zone's step and round, less its own while."""
        return max(0, now - self._began[zone][2]) if zone in self._began else 0

    # --- What operators ask for

    def asked(self, act: str, zone: str, why: str, by: str, step: int | None) -> Posture:
        """The posture that an operator's word comes to; raises PostureError."""
        wanted = self._wanted(act, zone, why[:MOST_WHY], by, step)
        self._check(wanted, zone)
        if wanted == self.posture:
            raise PostureError("nothing to do: that is what holds; see `sailhitch zones status`")
        return wanted

    def _check(self, wanted: Posture, zone: str) -> None:
        check(wanted, self.zone_of.values(), self.terms.max_out)
        for pool, here in self.nodes.items():
            if here and len(unused(wanted, here)) == len(here):
                raise PostureError(f"pool {pool!r} has no nodes outside of zone {zone!r}")

    def _wanted(self, act: str, zone: str, why: str, by: str, step: int | None) -> Posture:
        order = self.posture.zones.get(zone)
        if act == "hold":
            return Posture(self.posture.zones, why or f"by {by}")
        if act == "release":
            return Posture(self.posture.zones, "")
        if act == "leave":
            return self.posture.with_zone(zone, rollout.leave(by, why))
        if act != "return":
            raise PostureError(f"act: not known: {act[:40]!r}")
        if order is None:
            raise PostureError(f"zone {zone!r} was not left; see `sailhitch zones status`")
        dwell = max(self.terms.step, step or 0)
        return self.posture.with_zone(zone, rollout.begin(order, dwell, by, why))

    def status(self, now: int, heard: Heard) -> dict[str, Any]:
        """What `zones status` shows."""
        told, out = {}, all_unused(self.posture, self.nodes)
        for name, count in sorted(Counter(self.zone_of.values()).items()):
            order, finding = self.posture.zones.get(name), heard.found[name]
            used = sum(zone == name and node not in out for node, zone in self.zone_of.items())
            told[name] = {
                "nodes": count, "in_use": used, "share": 1.0, "phase": "in use",
                "finding": finding.kind.value, "sure": round(finding.sure, 3),
                "seen": finding.told,
            }  # fmt: skip
            if order is not None:
                since = evidence.fleet(heard.said, name, order.step)
                told[name] |= {
                    "share": order.share, "phase": order.phase, "by": order.by, "why": order.why,
                    "relapses": order.relapses, "ended": since.ended, "failed": since.failed,
                    "waits_for": rollout.waits_for(order, self.age(name, now)),
                }  # fmt: skip
        return {"serial": self.serial, "held": self.posture.held, "zones": told}


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
