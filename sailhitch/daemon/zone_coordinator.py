"""Zones in the daemon: operators' commands, stepwise recoveries, and the nodes that they affect.

The traffic policy is a record of the tier beside its versions. `VersionApplier` applies it as part
of its switch; `zones/controller.py` decides what to report and to propose.
"""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple

from ..core.pool import Pool
from ..policy_interface import AttemptOutcome
from ..tier.effects import ProposalResult
from ..tier.member import MemberStatus
from ..tier.messages import Version
from ..zones import rollout
from ..zones.controller import (
    PolicyProposal,
    ReceivedReports,
    ZoneController,
    ZoneSettings,
    all_retried_nodes,
    inactive_nodes_by_pool,
)
from ..zones.diagnosis import ZoneCondition
from ..zones.traffic_policy import EMPTY_POLICY, TrafficPolicy, TrafficPolicyError, decode
from .schema import GatewaySection, ZonesSection
from .state import State
from .state_applier import ApplyError, StateApplier
from .tier_decisions import check_active, wait_for_decision
from .tier_link import TierLink, steady

MAX_NAMED: Final = 8  # members listed in a reply as not having applied an order

_NORMAL_CONDITIONS: Final = {ZoneCondition.HEALTHY, ZoneCondition.UNKNOWN}

OutcomeCallback = Callable[[str, str], None]  # by server and outcome


class NodeOrders(NamedTuple):
    """Nodes, as `pool/id`, that are inactive, and those to retry as if they had just started."""

    inactive: frozenset[str]
    retried: frozenset[str]


class ZoneCoordinator:
    """Manages zones for a daemon. Without `[zones]` in the file it only applies orders."""

    def __init__(
        self,
        link: TierLink,
        state_applier: StateApplier,
        part: ZonesSection | None,
        gateway: GatewaySection,
        agree_within: int,
    ) -> None:
        """Create the coordinator; an operator waits up to `agree_within` us for an order."""
        self.link = link
        self.state_applier = state_applier
        self.agree_within = agree_within
        self.part = part
        part = part or ZonesSection(mode="off")
        self.mode = part.mode
        step = 2 * gateway.cold_time if part.step is None else part.step
        settings = ZoneSettings(
            part.max_out, step, gateway.zone, part.mode == "act", part.leaves_an_hour
        )
        self.controller = ZoneController(settings, random.Random(secrets.randbits(64)))
        self._conditions: dict[str, ZoneCondition] = {}  # as last logged
        self._proposal: asyncio.Task[None] | None = None
        self._keys: dict[tuple[str, str], str] = {}  # `pool/id`, by pool and name in the policy

    # --- With the switch

    def read(self, version: Version | None) -> TrafficPolicy:
        """Return the traffic policy of a version; raises ApplyError if it is invalid."""
        if version is None:
            return EMPTY_POLICY
        member = self.link.member
        assert member is not None
        try:
            return decode(member.contents.read(version.digest))
        except TrafficPolicyError as error:
            raise ApplyError(str(error)) from None

    def inactive_nodes_at_start(self, state: State) -> frozenset[str]:
        """Return the nodes that the last known policy makes inactive, until the tier is read."""
        content = self.link.persisted_traffic_policy()
        try:
            if content is None:
                return frozenset()
            return self.node_orders(decode(content), state).inactive
        except TrafficPolicyError as error:
            self.state_applier.core.logger.write(
                f"zones: last known traffic policy ignored until the tier is read: {error}"
            )
            return frozenset()

    def node_orders(self, traffic_policy: TrafficPolicy, state: State) -> NodeOrders:
        """Return the nodes of a state that a policy makes inactive or has retried."""
        if not traffic_policy.zones:
            return NodeOrders(frozenset(), frozenset())
        nodes = _by_pool(state)
        return NodeOrders(
            inactive_nodes_by_pool(traffic_policy, nodes),
            all_retried_nodes(self.controller.traffic_policy, traffic_policy, nodes),
        )

    def apply(self, version: Version | None, traffic_policy: TrafficPolicy) -> None:
        """After a switch, apply the traffic policy to the controller and observe the pools."""
        state = self.state_applier.applied.state
        instances = self.state_applier.endpoints.nodes
        serial = 0 if version is None else version.serial
        self.controller.apply(serial, traffic_policy, _by_pool(state), steady())
        if self.mode == "off":
            return
        self._keys = {
            (key.partition("/")[0], instances[key].name): key
            for key in state["nodes"]
            if key in instances
        }
        for pool in self.state_applier.core.pools:
            pool.on_outcome = self._outcome_callback(pool)

    def _outcome_callback(self, pool: Pool) -> OutcomeCallback:
        keys = self._keys
        record = self.controller.record
        pool_name = pool.name

        def on_outcome(server: str, outcome: str) -> None:
            key = keys.get((pool_name, server))
            if key is None:
                return
            is_full = outcome == AttemptOutcome.BUSY
            record(key, outcome != AttemptOutcome.OK and not is_full, is_full, steady())

        return on_outcome

    # --- Reports and proposals

    def on_heartbeat(self) -> None:
        """Report, and propose what is due, when the controller says so (a few times a second)."""
        member = self.link.member
        if member is None:
            return
        now = steady()
        if self.mode == "off" or not self.controller.is_due(now):
            return
        member.metadata, is_urgent = self.controller.report(now)
        if is_urgent:
            member.gossip_soon(now)
        received = self.controller.on_reports(member.metadata_by_member(now))
        self._log_findings(received)
        if self._proposal is not None or self.link.member_status() is not MemberStatus.ACTIVE:
            return
        base = self.controller.serial
        proposal = self.controller.next_proposal(now, received)
        if proposal is not None:
            self.state_applier.core.logger.write(
                f"zones: {proposal.reason}; proposing the next step"
            )
            self._proposal = asyncio.get_running_loop().create_task(self._propose(base, proposal))

    def _log_findings(self, received: ReceivedReports) -> None:
        """Log the diagnoses that have changed."""
        for zone, finding in received.findings.items():
            condition = finding.condition
            before = self._conditions.get(zone, ZoneCondition.UNKNOWN)
            if condition is before or {condition, before} <= _NORMAL_CONDITIONS:
                continue
            self._conditions[zone] = condition
            self.state_applier.core.logger.write_limited(
                f"zone {zone} {condition.value}",
                f"zones: {zone} is diagnosed as: {condition.value} "
                f"({finding.confidence:.0%} agree): {finding.description}",
            )

    async def _propose(self, base: int, proposal: PolicyProposal) -> None:
        by = f"{rollout.AUTOMATION}: {proposal.reason}"
        try:
            await self._propose_traffic_policy(base, proposal.traffic_policy, by)
        except ApplyError as error:
            self.state_applier.core.logger.write(f"zones: not proposed: {error}")
        finally:
            self._proposal = None

    async def _propose_traffic_policy(
        self, base: int, traffic_policy: TrafficPolicy, by: str
    ) -> Version:
        """Have the tier decide a traffic policy that was made from the one of serial `base`.

        Raises:
            ApplyError: It was not decided, or another one was decided first.
        """
        proposed_at = int(time.time() * 1e6)
        completed = await wait_for_decision(
            self.link,
            lambda m: m.propose_traffic_policy(traffic_policy.encode(), base, by, proposed_at),
        )
        if completed.result is ProposalResult.UNKNOWN:
            raise ApplyError(
                "other orders about zones are in force by now, and this one may have been before "
                "them: do not repeat it before `sailhitch zones status` shows what is"
            )
        if completed.version is None:
            raise ApplyError("another order about zones was decided first; check and try again")
        return completed.version

    # --- Operators' requests

    async def admin_request(self, request: Mapping[str, Any], by: str) -> dict[str, Any]:
        """Execute `zones status|leave|return|hold|release`; raises ApplyError."""
        act = str(request.get("act"))
        zone = str(request.get("zone", ""))
        why = str(request.get("why") or "")
        step = request.get("step")
        if act == "status":
            return self.status()
        if self.part is None:
            raise ApplyError("this gateway's file has no [zones]")
        check_active(self.link)
        base = self.controller.serial
        try:
            proposed = self.controller.operator_request(
                act, zone, why, by, step if isinstance(step, int) else None
            )
        except TrafficPolicyError as error:
            raise ApplyError(str(error)) from None
        if request.get("dry_run"):
            return {"ok": True, "dry_run": True, "pools": self._load_by_pool(proposed)}
        version = await self._propose_traffic_policy(base, proposed, by)
        late = await self._wait_until_applied(version)
        reply: dict[str, Any] = {"ok": True, "serial": version.serial}
        if late:
            reply |= {"waiting_for": late, "pending": True}
        return reply

    def _load_by_pool(self, proposed: TrafficPolicy) -> dict[str, dict[str, Any]]:
        """Return, for a dry run, the load factor of each pool's remaining active nodes."""
        bans = self.state_applier.applied.state["bans"].keys()
        pools = self.controller.nodes
        excluded = inactive_nodes_by_pool(proposed, pools) | bans
        excluded_before = inactive_nodes_by_pool(self.controller.traffic_policy, pools) | bans
        load = {}
        for pool, nodes in pools.items():
            active = len(nodes.keys() - excluded)
            active_before = len(nodes.keys() - excluded_before)
            load[pool] = {
                "nodes": len(nodes),
                "in_use": active,
                "before": active_before,
                "each_carries": round(active_before / active, 3) if active else None,
            }
        return load

    async def _wait_until_applied(self, version: Version) -> list[str]:
        """Wait until all live members have applied a policy; return those that have not in time."""
        member = self.link.member
        late = [self.state_applier.gateway.name]
        assert member is not None
        try:
            async with asyncio.timeout(self.agree_within / 1e6):
                while self.controller.serial < version.serial or (late := member.members_behind()):
                    await asyncio.sleep(0.02)
        except TimeoutError:
            return late[:MAX_NAMED]
        return []

    def status(self) -> dict[str, Any]:
        """Return the reply to `zones status`."""
        member = self.link.member
        now = steady()
        reports = {} if member is None else member.metadata_by_member(now)
        return {
            "ok": True,
            "mode": self.mode,
            **self.controller.status(now, self.controller.on_reports(reports)),
        }


def _by_pool(state: State) -> dict[str, dict[str, str]]:
    """Return the zone of each node, `pool/id`, by pool."""
    zones: dict[str, dict[str, str]] = {}
    for key, node in state["nodes"].items():
        zones.setdefault(key.partition("/")[0], {})[key] = node["zone"]
    return zones
