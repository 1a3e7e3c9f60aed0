"""What is wrong with a zone, by what all gateways see of it: pure functions of their sights.

A gateway's share of failed nodes in a zone is one voice, weighed by the nodes that it knows of, and
with no more than `MOST_VOICE` of all: what counts at a place is the weighted median of its voices,
so that less than half of them, sick or lying, move nothing. A gateway that sees all zones fail
where others see them well is sick itself, and has no voice.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from enum import Enum
from typing import Final, NamedTuple

from .health_tracker import ZoneObservation

GONE: Final = 0.8  # of its nodes failed last: one of a few that still answers saves no zone
GRAY: Final = 0.2  # the operators' "a fifth lost"
WELL: Final = 0.1
FULL: Final = 0.5  # of its nodes turned away last for being full
LEAST: Final = 2  # nodes that a voice must know of, or all of a zone that has fewer
MOST_VOICE: Final = 1 / 3
LATELY: Final = 2  # s
VOICES: Final = 2  # gateways that must speak of a zone, where there are so many


class Kind(Enum):
    """What a zone is taken for."""

    WELL = "well"
    GONE = "gone"
    CUT = "cut off from some places"
    GRAY = "gray"
    FULL = "overloaded"
    EVERYWHERE = "all zones fail: it is the site, or the gateways"
    UNKNOWN = "unknown"


class Report(NamedTuple):
    """What one gateway says."""

    name: str
    place: str  # the zone that it is in
    sights: Mapping[str, ZoneObservation]


class Finding(NamedTuple):
    """A zone's diagnosis, how sure it is (the part of the voices that agrees), and by what."""

    kind: Kind
    sure: float
    told: str


def sick(reports: Sequence[Report], sizes: Mapping[str, int]) -> list[str]:
    """Gateways that see what no other sees: each zone that they know of failing."""
    if len(reports) < 3:
        return []
    found = []
    for one in reports:
        seen = [zone for zone in one.sights if _can_tell(one, zone, sizes)]
        if len(seen) < min(2, len(sizes)) or not all(_share(one, zone) >= GRAY for zone in seen):
            continue
        if sum(_share(one, zone) for zone in seen) / len(seen) < GONE / 2:
            continue
        others = [other for other in reports if other is not one]
        if all(_voices(others, zone, sizes) <= WELL for zone in seen):
            found.append(one.name)
    return found


def diagnose(reports: Sequence[Report], sizes: Mapping[str, int]) -> dict[str, Finding]:
    """Return what each zone is taken for; `sizes` has the number of nodes of each."""
    out = set(sick(reports, sizes))
    heard = [one for one in reports if one.name not in out]
    need = max(1, min(VOICES, len(reports)))
    found = {zone: _zone(heard, zone, sizes, need) for zone in sizes}
    bad = [zone for zone, one in found.items() if one.kind in (Kind.GONE, Kind.GRAY, Kind.CUT)]
    known = [zone for zone, one in found.items() if one.kind is not Kind.UNKNOWN]
    if len(known) > 1 and len(bad) == len(known):
        for zone in bad:
            found[zone] = found[zone]._replace(kind=Kind.EVERYWHERE)
    return found


def _zone(reports: Sequence[Report], zone: str, sizes: Mapping[str, int], need: int) -> Finding:
    able = _witnesses([one for one in reports if _can_tell(one, zone, sizes)], zone)
    if len(able) < need:
        return Finding(Kind.UNKNOWN, 0.0, f"{len(able)} of {need} gateways can tell")
    full = _median([(one.sights[zone].full / one.sights[zone].known, 1) for one in able])
    if full >= FULL:
        return Finding(Kind.FULL, 1.0, f"{full:.0%} of its nodes turned away last")
    by_place: dict[str, list[Report]] = {}
    for one in able:
        by_place.setdefault(one.place, []).append(one)
    shares = {place: _voices(said, zone, sizes) for place, said in by_place.items()}
    told = ", ".join(
        f"{share:.0%} of its nodes fail from {place or 'here'} ({len(by_place[place])} gateways)"
        for place, share in sorted(shares.items())
    )
    gone = sorted(place for place, share in shares.items() if share >= GONE)
    if gone and len(gone) == len(shares):
        return Finding(Kind.GONE, _sure(able, zone, GONE), told)
    if gone and any(share <= WELL for share in shares.values()):
        return Finding(Kind.CUT, _sure(by_place[gone[0]], zone, GONE), told)
    if any(share >= GRAY for share in shares.values()):
        return Finding(Kind.GRAY, _sure(able, zone, GRAY), told)
    return Finding(Kind.WELL, 1 - _sure(able, zone, GRAY), told)


def _witnesses(able: list[Report], zone: str) -> list[Report]:
    """Without those who see it otherwise and have not asked lately, if most see it gone.

    What they saw well, or as one bad node of several, may be older than the zone's end, and the
    decision module keeps them away from it. Only then. Where little is asked, as at night,
    most have not asked lately, and the few that happened to meet its bad nodes would speak for all.
    """
    if 2 * sum(_share(one, zone) >= GONE for one in able) <= len(able):
        return able
    return [one for one in able if _share(one, zone) >= GONE or one.sights[zone].age <= LATELY]


def _can_tell(one: Report, zone: str, sizes: Mapping[str, int]) -> bool:
    sight = one.sights.get(zone)
    return sight is not None and sight.known >= min(LEAST, sizes.get(zone, LEAST))


def _share(one: Report, zone: str) -> float:
    sight = one.sights[zone]
    return sight.failed / sight.known


def _voices(reports: Iterable[Report], zone: str, sizes: Mapping[str, int]) -> float:
    """Return the weighted median of what they see of a zone; 0 where nobody can tell."""
    size = sizes.get(zone, 1)  # nobody knows of more nodes than there are
    return _median(
        [
            (_share(one, zone), min(one.sights[zone].known, size))
            for one in reports
            if _can_tell(one, zone, sizes)
        ]
    )


def _median(said: list[tuple[float, int]]) -> float:
    """By weight, of which none counts for more than its share of all; 0 of nothing."""
    most = max(1.0, MOST_VOICE * sum(weight for _, weight in said))
    capped = [(share, min(weight, most)) for share, weight in sorted(said)]
    half = sum(weight for _, weight in capped) / 2
    so_far = 0.0
    for share, weight in capped:
        so_far += weight
        if so_far >= half:
            return share
    return 0.0


def _sure(reports: Sequence[Report], zone: str, least: float) -> float:
    return sum(_share(one, zone) >= least for one in reports) / len(reports)
