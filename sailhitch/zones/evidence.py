"""What requests came to in a zone since a step of its way back, and the sum over all gateways.

Each gateway counts its own attempts and says the counts with its sign of life (`Word`). The one
whose attempts failed most is left out of the sum where three or more say something, so that one
gateway that is sick, cut off or lying moves nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import msgspec

from .health_tracker import ZoneObservation
from .rollout import StepOutcomes
from .traffic_policy import TrafficPolicy

MAX_ZONES: Final = 16  # zones in a word
MAX_REPORT_BYTES: Final = 400  # bytes of a word


class ZoneHealthReport(msgspec.Struct, frozen=True, array_like=True):
    """One gateway's counts by zone: the step that they belong to, ended, failed.

    Beside them where it is, and what it sees of each zone: nodes known, failing, full.
    """

    counts: dict[str, tuple[int, int, int]]
    zone: str = ""
    observations: dict[str, ZoneObservation] = {}


class OutcomeCounts:
    """One gateway's own counts."""

    def __init__(self) -> None:
        self._zones: dict[str, list[int]] = {}

    def apply(self, posture: TrafficPolicy) -> None:
        """A posture holds; a step that is new begins with nothing."""
        self._zones = {
            name: self._zones[name]
            if name in self._zones and self._zones[name][0] == order.step
            else [order.step, 0, 0]
            for name, order in posture.zones.items()
        }

    def record(self, zone: str, failed: bool) -> None:
        """An attempt in a zone has its outcome."""
        counts = self._zones.get(zone)
        if counts is not None:
            counts[1] += 1
            counts[2] += failed

    def counts(self) -> dict[str, tuple[int, int, int]]:
        """Return what to say of steps."""
        return {
            name: (step, ended, failed)
            for name, (step, ended, failed) in sorted(self._zones.items())[:MAX_ZONES]
            if ended
        }


def encode(word: ZoneHealthReport) -> bytes:
    """A word as it is said; empty where there is nothing to say.

    Sights that fit no more are left out, those that fail least before others: a datagram of gossip
    has twelve words.
    """
    if not word.counts and not word.observations:
        return b""
    sights = sorted(word.observations.items(), key=lambda item: -item[1].failed)
    while True:
        said = msgspec.msgpack.encode(msgspec.structs.replace(word, observations=dict(sights)))
        if len(said) <= MAX_REPORT_BYTES or not sights:
            return said
        sights.pop()


def decode(word: bytes) -> ZoneHealthReport | None:
    """Return a gateway's word; None where it says nothing that can be read."""
    if not 0 < len(word) <= MAX_REPORT_BYTES:
        return None
    try:
        made = msgspec.msgpack.decode(word, type=ZoneHealthReport)
    except msgspec.DecodeError:
        return None
    good = all(0 <= failed <= ended for _, ended, failed in made.counts.values())
    seen = all(
        one.known > 0
        and 0 <= one.failed <= one.known
        and 0 <= one.full <= one.known
        and one.age >= 0
        for one in made.observations.values()
    )
    return made if good and seen else None


def aggregate(words: Iterable[ZoneHealthReport], zone: str, step: int) -> StepOutcomes:
    """Return the sum for a step of a zone's way back."""
    found = [word.counts[zone] for word in words if zone in word.counts]
    said = [(ended, failed) for its, ended, failed in found if its == step and ended]
    if len(said) >= 3:
        said.remove(max(said, key=lambda counts: (counts[1] / counts[0], counts[1])))
    return StepOutcomes(sum(ended for ended, _ in said), sum(failed for _, failed in said))
