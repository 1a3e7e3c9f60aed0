"""Zones in the daemon: operators' words, the way back step by step, and what nodes they come to.

The posture is a record of the tier, beside its line of versions. This daemon goes by it with the
switch (`tiered`); what it proposes and says is decided by `zones/controller.py`.
"""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, Final

from ..core.pool import Pool
from ..interface import BUSY, OK
from ..tier.effects import End
from ..tier.member import MemberStatus
from ..tier.messages import Version
from ..zones import rollout
from ..zones.controller import Heard, ZoneController, ZoneTerms, all_renewed, all_unused
from ..zones.diagnosis import Kind
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
        part = part or ZonesPart(mode="off")
        self.mode = part.mode
        step = 2 * gateway.cold_time if part.step is None else part.step
        terms = ZoneTerms(part.max_out, step, gateway.zone, part.mode == "act", part.leaves_an_hour)
        self.controller = ZoneController(terms, random.Random(secrets.randbits(64)))
        self._kinds: dict[str, Kind] = {}  # as last told
        self._proposing: asyncio.Task[None] | None = None
        self._keys: dict[tuple[str, str], str] = {}  # `pool/id` by pool and module's name

    # --- The switch

    def read(self, version: Version | None) -> Posture:
        """The posture of a version; raises ApplyError where it can't be read."""
        if version is None:
            return NOTHING
        member = self.tiered.link.member
        assert member is not None
        try:
            return read(member.contents.read(version.digest))
        except PostureError as error:
            raise ApplyError(str(error)) from None

    def unused_at_start(self, state: State) -> frozenset[str]:
        """Nodes that got nothing new by what this gateway last knew, until it has heard."""
        content = self.tiered.link.kept_posture()
        try:
            return frozenset() if content is None else self.orders(read(content), state)[0]
        except PostureError as error:
            self.live.core.logger.say(f"zones: not gone by until the tier is heard: {error}")
            return frozenset()

    def orders(self, posture: Posture, state: State) -> tuple[frozenset[str], frozenset[str]]:
        """Nodes, as `pool/id`, that get nothing new, and those to be tried as if just started."""
        if not posture.zones:
            return frozenset(), frozenset()
        nodes = _by_pool(state)
        return all_unused(posture, nodes), all_renewed(self.controller.posture, posture, nodes)

    def goes_by(self, version: Version | None, posture: Posture) -> None:
        """The switch is done."""
        state, places = self.live.applied.state, self.live.places.nodes
        serial = 0 if version is None else version.serial
        self.controller.goes_by(serial, posture, _by_pool(state), steady())
        if self.mode == "off":
            return
        self._keys = {
            (key.partition("/")[0], places[key].name): key
            for key in state["nodes"]
            if key in places
        }
        for pool in self.live.core.pools:
            pool.seen = self._watch(pool)

    def _watch(self, pool: Pool) -> Callable[[str, str], None]:
        keys, saw, name = self._keys, self.controller.saw, pool.name

        def seen(server: str, status: str) -> None:
            key = keys.get((name, server))
            if key is not None:
                saw(key, status not in (OK, BUSY), status == BUSY, steady())

        return seen

    # --- The way back

    def beat(self) -> None:
        """Some ten times a second: say what was counted, and propose what is due."""
        member = self.tiered.link.member
        if member is None:
            return
        now = steady()
        if self.mode == "off" or not self.controller.due(now):
            return
        member.word, news = self.controller.word(now)
        if news:
            member.hurry(now)
        heard = self.controller.hear(member.words(now))
        self._tell(heard)
        if self._proposing is not None or self.tiered.link.standing() is not MemberStatus.IN:
            return
        found = self.controller.look(now, heard)
        if found is not None:
            posture, why = found
            self.live.core.logger.say(f"zones: {why}; proposes the next step")
            self._proposing = asyncio.get_running_loop().create_task(self._propose(posture, why))

    def _tell(self, heard: Heard) -> None:
        """Say what the fleet takes each zone for, when that changes."""
        for zone, one in heard.found.items():
            before = self._kinds.get(zone, Kind.UNKNOWN)
            if one.kind is before or {one.kind, before} <= {Kind.WELL, Kind.UNKNOWN}:
                continue
            self._kinds[zone] = one.kind
            self.live.core.logger.often(
                f"zone {zone} {one.kind.value}",
                f"zones: {zone} is taken for: {one.kind.value} ({one.sure:.0%} agree): {one.told}",
            )

    async def _propose(self, posture: Posture, why: str) -> None:
        try:
            await self._pose(posture, f"{rollout.AUTOMATION}: {why}")
        except ApplyError as error:
            self.live.core.logger.say(f"zones: not proposed: {error}")
        finally:
            self._proposing = None

    async def _pose(self, posture: Posture, by: str) -> Version:
        """Have the tier go by a posture; raises ApplyError."""
        base, when = self.controller.serial, int(time.time() * 1e6)
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
        if standing is not MemberStatus.IN:
            raise ApplyError(f"this gateway {standing.value}; ask another one")
        try:
            wanted = self.controller.asked(
                act, zone, why, by, step if isinstance(step, int) else None
            )
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
        bans, pools, found = self.live.applied.state["bans"].keys(), self.controller.nodes, {}
        out, was = (
            all_unused(wanted, pools) | bans,
            all_unused(self.controller.posture, pools) | bans,
        )
        for pool, nodes in pools.items():
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
                while self.controller.serial < version.serial or (late := member.lagging()):
                    await asyncio.sleep(0.02)
        except TimeoutError:
            return late[:NAMED]
        return []

    def status(self) -> dict[str, Any]:
        """What `zones status` shows."""
        member, now = self.tiered.link.member, steady()
        words = {} if member is None else member.words(now)
        return {
            "ok": True,
            "mode": self.mode,
            **self.controller.status(now, self.controller.hear(words)),
        }


def _by_pool(state: State) -> dict[str, dict[str, str]]:
    """The zone of each node, `pool/id`, by pool."""
    found: dict[str, dict[str, str]] = {}
    for key, node in state["nodes"].items():
        found.setdefault(key.partition("/")[0], {})[key] = node["zone"]
    return found
