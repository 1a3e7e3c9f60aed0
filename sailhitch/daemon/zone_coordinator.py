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
from typing import Any, Final

from ..core.pool import Pool
from ..policy_interface import AttemptOutcome
from ..tier.effects import ProposalResult
from ..tier.member import MemberStatus
from ..tier.messages import Version
from ..zones import rollout
from ..zones.controller import (
    ReceivedReports,
    ZoneController,
    ZoneTerms,
    all_inactive_nodes,
    all_retried_nodes,
)
from ..zones.diagnosis import Kind
from ..zones.traffic_policy import EMPTY_POLICY, TrafficPolicy, TrafficPolicyError, decode
from .schema import GatewayPart, ZonesPart
from .state import State
from .state_applier import ApplyError, StateApplier
from .tier_decisions import wait_for_decision
from .tier_link import TierLink, steady

NAMED: Final = 8  # members that are named where more have not gone along


class ZoneCoordinator:
    """What a daemon in a tier does about zones. Without `[zones]` it goes along, and no more."""

    def __init__(
        self,
        link: TierLink,
        state_applier: StateApplier,
        part: ZonesPart | None,
        gateway: GatewayPart,
        agree_within: int,
    ) -> None:
        """Create the coordinator; an operator's order is waited for up to `agree_within` us."""
        self.link = link
        self.state_applier = state_applier
        self.agree_within = agree_within
        self.part = part
        part = part or ZonesPart(mode="off")
        self.mode = part.mode
        step = 2 * gateway.cold_time if part.step is None else part.step
        terms = ZoneTerms(part.max_out, step, gateway.zone, part.mode == "act", part.leaves_an_hour)
        self.controller = ZoneController(terms, random.Random(secrets.randbits(64)))
        self._kinds: dict[str, Kind] = {}  # as last told
        self._proposing: asyncio.Task[None] | None = None
        self._keys: dict[tuple[str, str], str] = {}  # `pool/id` by pool and module's name

    # --- The switch

    def read(self, version: Version | None) -> TrafficPolicy:
        """Return the posture of a version; raises ApplyError where it can't be read."""
        if version is None:
            return EMPTY_POLICY
        member = self.link.member
        assert member is not None
        try:
            return decode(member.contents.read(version.digest))
        except TrafficPolicyError as error:
            raise ApplyError(str(error)) from None

    def inactive_nodes_at_start(self, state: State) -> frozenset[str]:
        """Nodes that got nothing new by what this gateway last knew, until it has heard."""
        content = self.link.persisted_traffic_policy()
        try:
            return frozenset() if content is None else self.orders(decode(content), state)[0]
        except TrafficPolicyError as error:
            self.state_applier.core.logger.write(
                f"zones: not gone by until the tier is heard: {error}"
            )
            return frozenset()

    def orders(self, posture: TrafficPolicy, state: State) -> tuple[frozenset[str], frozenset[str]]:
        """Nodes, as `pool/id`, that get nothing new, and those to be tried as if just started."""
        if not posture.zones:
            return frozenset(), frozenset()
        nodes = _by_pool(state)
        return all_inactive_nodes(posture, nodes), all_retried_nodes(
            self.controller.traffic_policy, posture, nodes
        )

    def apply(self, version: Version | None, posture: TrafficPolicy) -> None:
        """The switch is done."""
        state = self.state_applier.applied.state
        places = self.state_applier.endpoints.nodes
        serial = 0 if version is None else version.serial
        self.controller.apply(serial, posture, _by_pool(state), steady())
        if self.mode == "off":
            return
        self._keys = {
            (key.partition("/")[0], places[key].name): key
            for key in state["nodes"]
            if key in places
        }
        for pool in self.state_applier.core.pools:
            pool.on_outcome = self._watch(pool)

    def _watch(self, pool: Pool) -> Callable[[str, str], None]:
        keys = self._keys
        saw = self.controller.record
        name = pool.name

        def seen(server: str, status: str) -> None:
            key = keys.get((name, server))
            if key is not None:
                saw(
                    key,
                    status not in (AttemptOutcome.OK, AttemptOutcome.BUSY),
                    status == AttemptOutcome.BUSY,
                    steady(),
                )

        return seen

    # --- The way back

    def on_heartbeat(self) -> None:
        """Some ten times a second: say what was counted, and propose what is due."""
        member = self.link.member
        if member is None:
            return
        now = steady()
        if self.mode == "off" or not self.controller.due(now):
            return
        member.metadata, news = self.controller.report(now)
        if news:
            member.gossip_soon(now)
        heard = self.controller.on_reports(member.metadata_by_member(now))
        self._tell(heard)
        if self._proposing is not None or self.link.member_status() is not MemberStatus.ACTIVE:
            return
        found = self.controller.look(now, heard)
        if found is not None:
            posture, why = found
            self.state_applier.core.logger.write(f"zones: {why}; proposes the next step")
            self._proposing = asyncio.get_running_loop().create_task(self._propose(posture, why))

    def _tell(self, heard: ReceivedReports) -> None:
        """Say what the fleet takes each zone for, when that changes."""
        for zone, one in heard.found.items():
            before = self._kinds.get(zone, Kind.UNKNOWN)
            if one.kind is before or {one.kind, before} <= {Kind.WELL, Kind.UNKNOWN}:
                continue
            self._kinds[zone] = one.kind
            self.state_applier.core.logger.write_limited(
                f"zone {zone} {one.kind.value}",
                f"zones: {zone} is taken for: {one.kind.value} ({one.sure:.0%} agree): {one.told}",
            )

    async def _propose(self, posture: TrafficPolicy, why: str) -> None:
        try:
            await self._propose_traffic_policy(posture, f"{rollout.AUTOMATION}: {why}")
        except ApplyError as error:
            self.state_applier.core.logger.write(f"zones: not proposed: {error}")
        finally:
            self._proposing = None

    async def _propose_traffic_policy(self, posture: TrafficPolicy, by: str) -> Version:
        """Have the tier go by a posture; raises ApplyError."""
        base = self.controller.serial
        when = int(time.time() * 1e6)
        done = await wait_for_decision(
            self.link, lambda m: m.propose_traffic_policy(posture.encode(), base, by, when)
        )
        if done.result is not ProposalResult.ACTIVE or done.state.traffic_policy is None:
            raise ApplyError("another order about zones came first; look again")
        return done.state.traffic_policy

    # --- What operators ask for

    async def admin_request(self, request: Mapping[str, Any], by: str) -> dict[str, Any]:
        """`zones status|leave|return|hold|release`; raises ApplyError."""
        act = str(request.get("act"))
        zone = str(request.get("zone", ""))
        why = str(request.get("why") or "")
        step = request.get("step")
        if act == "status":
            return self.status()
        if self.part is None:
            raise ApplyError("this gateway's file has no [zones]")
        standing = self.link.member_status()
        if standing is not MemberStatus.ACTIVE:
            raise ApplyError(f"this gateway {standing.value}; ask another one")
        try:
            wanted = self.controller.operator_request(
                act, zone, why, by, step if isinstance(step, int) else None
            )
        except TrafficPolicyError as error:
            raise ApplyError(str(error)) from None
        if request.get("dry_run"):
            return {"ok": True, "dry_run": True, "pools": self._carried(wanted)}
        version = await self._propose_traffic_policy(wanted, by)
        late = await self._gone_along(version)
        told: dict[str, Any] = {"ok": True, "serial": version.serial}
        return {**told, "waiting_for": late, "pending": True} if late else told

    def _carried(self, wanted: TrafficPolicy) -> dict[str, dict[str, Any]]:
        """Return what the nodes of each pool would have to carry."""
        bans = self.state_applier.applied.state["bans"].keys()
        pools = self.controller.nodes
        found = {}
        out = all_inactive_nodes(wanted, pools) | bans
        was = all_inactive_nodes(self.controller.traffic_policy, pools) | bans
        for pool, nodes in pools.items():
            now = len(nodes.keys() - out)
            before = len(nodes.keys() - was)
            found[pool] = {
                "nodes": len(nodes),
                "in_use": now,
                "before": before,
                "each_carries": round(before / now, 3) if now else None,
            }
        return found

    async def _gone_along(self, version: Version) -> list[str]:
        """Wait until all members that are there go by a posture; those that do not in time."""
        member = self.link.member
        late = [self.state_applier.gateway.name]
        assert member is not None
        try:
            async with asyncio.timeout(self.agree_within / 1e6):
                while self.controller.serial < version.serial or (late := member.members_behind()):
                    await asyncio.sleep(0.02)
        except TimeoutError:
            return late[:NAMED]
        return []

    def status(self) -> dict[str, Any]:
        """Return what `zones status` shows."""
        member = self.link.member
        now = steady()
        words = {} if member is None else member.metadata_by_member(now)
        return {
            "ok": True,
            "mode": self.mode,
            **self.controller.status(now, self.controller.on_reports(words)),
        }


def _by_pool(state: State) -> dict[str, dict[str, str]]:
    """Return the zone of each node, `pool/id`, by pool."""
    found: dict[str, dict[str, str]] = {}
    for key, node in state["nodes"].items():
        found.setdefault(key.partition("/")[0], {})[key] = node["zone"]
    return found
