"""Zones in the daemon: operators' words, the way back step by step, and what nodes they come to.

The posture is a record of the tier, beside its line of versions. This daemon goes by it with the
switch (`tiered`); what it proposes and says is decided by `zones/helm.py`.
"""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections import Counter
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, Final

from ..core.pool import Pool
from ..interface import BUSY, OK
from ..tier.forms import End, Version
from ..tier.member import Standing
from ..zones.helm import Helm, ZoneTerms, all_renewed, all_unused
from ..zones.posture import NOTHING, Posture, PostureError, read
from .link import steady
from .live import ApplyError, Live
from .schema import GatewayPart, ZonesPart
from .state import State

if TYPE_CHECKING:
    from .tiered import Tiered

NAMED: Final = 8  # members that are named where more have not gone along


class Zoned:
    """What a daemon in a tier does about zones. Without `[zones]` it goes along, and no more."""

    def __init__(
        self, tiered: Tiered, live: Live, part: ZonesPart | None, gateway: GatewayPart
    ) -> None:
        self.tiered, self.live, self.part = tiered, live, part
        part = part or ZonesPart()
        step = 2 * gateway.cold_time if part.step is None else part.step
        self.helm = Helm(ZoneTerms(part.max_out, step), random.Random(secrets.randbits(64)))
        self._proposing: asyncio.Task[None] | None = None
        self._zone_of: dict[tuple[str, str], str] = {}  # by pool and the module's name of a node

    # --- The switch

    def read(self, version: Version | None) -> Posture:
        """The posture of a version; raises ApplyError where it can't be read."""
        if version is None:
            return NOTHING
        member = self.tiered.link.member
        assert member is not None
        try:
            return read(member.library.read(version.digest))
        except PostureError as error:
            raise ApplyError(str(error)) from None

    def unused_at_start(self, state: State) -> frozenset[str]:
        """Nodes that got nothing new by what this gateway last knew, until it has heard."""
        content = self.tiered.link.kept_posture()
        try:
            return frozenset() if content is None else self.unused(read(content), state)
        except PostureError as error:
            self.live.core.logger.say(f"zones: not gone by until the tier is heard: {error}")
            return frozenset()

    def unused(self, posture: Posture, state: State) -> frozenset[str]:
        """Nodes, as `pool/id`, that get nothing new."""
        return all_unused(posture, _by_pool(state))

    def renewed(self, posture: Posture, state: State) -> frozenset[str]:
        """Nodes, as `pool/id`, that are tried as if they had just started."""
        return all_renewed(self.helm.posture, posture, _by_pool(state))

    def goes_by(self, version: Version | None, posture: Posture) -> None:
        """The switch is done."""
        self.helm.goes_by(0 if version is None else version.serial, posture, steady())
        nodes = self.live.places.nodes
        self._zone_of = {
            (key.partition("/")[0], nodes[key].name): node["zone"]
            for key, node in self.live.applied.state["nodes"].items()
            if key in nodes
        }
        for pool in self.live.core.pools:
            pool.seen = self._watch(pool) if posture.zones else None

    def _watch(self, pool: Pool) -> Callable[[str, str], None]:
        def seen(server: str, status: str) -> None:
            zone = self._zone_of.get((pool.name, server))
            if zone is not None and status != BUSY:  # one that is full is not one that fails
                self.helm.saw(zone, status != OK)

        return seen

    # --- The way back

    def beat(self) -> None:
        """Some ten times a second: say what was counted, and propose what is due."""
        member = self.tiered.link.member
        if member is None:
            return
        member.word = self.helm.word()
        if self.part is None or self._proposing is not None:
            return
        if self.tiered.link.standing() is not Standing.IN:
            return
        found = self.helm.look(steady(), self._words())
        if found is not None:
            posture, why = found
            self.live.core.logger.say(f"zones: {why}; proposes the next step")
            self._proposing = asyncio.get_running_loop().create_task(self._propose(posture, why))

    def _words(self) -> list[bytes]:
        member = self.tiered.link.member
        return [] if member is None else [row.word for row in member.crew.rows.values()]

    async def _propose(self, posture: Posture, why: str) -> None:
        try:
            await self._pose(posture, f"the way back: {why}")
        except ApplyError as error:
            self.live.core.logger.say(f"zones: not proposed: {error}")
        finally:
            self._proposing = None

    async def _pose(self, posture: Posture, by: str) -> Version:
        """Have the tier go by a posture; raises ApplyError."""
        base, when = self.helm.serial, int(time.time() * 1e6)
        done = await self.tiered.decided(lambda m: m.pose(posture.content(), base, by, when))
        if done.end is not End.ACTIVE or done.head.posture is None:
            raise ApplyError("another order about zones came first; look again")
        return done.head.posture

    # --- What operators ask for

    async def ask(self, request: Mapping[str, Any], by: str) -> dict[str, Any]:
        """`zones status|leave|return|hold|release`; raises ApplyError."""
        act, zone = str(request.get("act")), str(request.get("zone", ""))
        why, step = str(request.get("why") or ""), request.get("step")
        if act == "status":
            return self.status()
        if self.part is None:
            raise ApplyError("this gateway's file has no [zones]")
        standing = self.tiered.link.standing()
        if standing is not Standing.IN:
            raise ApplyError(f"this gateway {standing.value}; ask another one")
        nodes = _by_pool(self.live.applied.state)
        try:
            step = step if isinstance(step, int) else None
            wanted = self.helm.asked(act, zone, why, by, step, nodes)
        except PostureError as error:
            raise ApplyError(str(error)) from None
        if request.get("dry_run"):
            return {"ok": True, "dry_run": True, "pools": self._carried(wanted)}
        version = await self._pose(wanted, by)
        late = await self._gone_along(version)
        told: dict[str, Any] = {"ok": True, "serial": version.serial}
        return {**told, "waiting_for": late, "pending": True} if late else told

    def _carried(self, wanted: Posture) -> dict[str, dict[str, Any]]:
        """What the nodes of each pool would have to carry."""
        state, found = self.live.applied.state, {}
        out = self.unused(wanted, state) | state["bans"].keys()
        was = self.unused(self.helm.posture, state) | state["bans"].keys()
        for pool, nodes in _by_pool(state).items():
            now, before = len(nodes.keys() - out), len(nodes.keys() - was)
            found[pool] = {
                "nodes": len(nodes), "in_use": now, "before": before,
                "each_carries": round(before / now, 3) if now else None,
            }  # fmt: skip
        return found

    async def _gone_along(self, version: Version) -> list[str]:
        """Wait until all members that are there go by a posture; those that do not in time."""
        member, late = self.tiered.link.member, [self.live.gateway.name]
        assert member is not None
        try:
            async with asyncio.timeout(self.tiered.part.agree_within / 1e6):
                while self.helm.serial < version.serial or (late := member.lagging()):
                    await asyncio.sleep(0.02)
        except TimeoutError:
            return late[:NAMED]
        return []

    def status(self) -> dict[str, Any]:
        """What `zones status` shows."""
        state = self.live.applied.state
        zones = Counter(node["zone"] for node in state["nodes"].values())
        told = self.helm.status(steady(), self._words(), zones)
        out = self.unused(self.helm.posture, state)
        for key, node in state["nodes"].items():
            one = told["zones"][node["zone"]]
            one["in_use"] = one.get("in_use", 0) + (key not in out)
        return {"ok": True, **told}


def _by_pool(state: State) -> dict[str, dict[str, str]]:
    """The zone of each node, `pool/id`, by pool."""
    found: dict[str, dict[str, str]] = {}
    for key, node in state["nodes"].items():
        found.setdefault(key.partition("/")[0], {})[key] = node["zone"]
    return found
