"""The tier as a source of states: the states that the gateways have agreed on.

The tier's state has no listeners: each process has its own. The versions that the tier chooses are
applied by `VersionApplier`. Two checks reject what this process may not do in its current status:
one when a request is read, one when it is written to its node.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path
from typing import Any, Final

from ..core.log import Log
from ..core.request_context import Attempt
from ..core.response import Response
from ..settings import Idempotency
from ..tier.effects import AppliedVersions
from ..tier.member import BootstrapVersion, Member, MemberStatus, TierConfig
from ..tier.wire import Keys
from .catch_up import CatchUp
from .endpoint_registry import address_of
from .intake import retry_soon_response
from .plan import Plan, PlanError, compute_plan_result, load_plan
from .schema import OperatorFile, TierSection, ZonesSection
from .source import checked_node_ban, find_applied
from .state import State, from_file
from .state_applier import ApplyError, StateApplier, StateChange
from .state_tree import to_tree
from .store import AppliedState, HistoryRecord, Store
from .tier_changes import TierChanges
from .tier_commands import TierCommands
from .tier_decisions import DECISION_TIMEOUT
from .tier_link import TierLink
from .version_applier import PoolGates, VersionApplier
from .version_states import VersionStates
from .zone_coordinator import ZoneCoordinator

__all__ = ["DECISION_TIMEOUT", "LEAVE_TIMEOUT", "RULES_UNCERTAIN", "TierStateSource"]

RULES_UNCERTAIN: Final = retry_soon_response(
    b"this gateway is not sure of the rules that hold; another one may be\n"
)
LEAVE_TIMEOUT: Final = 1.0  # s that a drain waits for leaving the tier


class TierStateSource:
    """The source of a daemon whose file has a `[tier]`."""

    def __init__(
        self,
        state_applier: StateApplier,
        part: TierSection,
        keys: Keys,
        folder: Path,
        own_store: Store | None,
        log: Log,
        zones: ZonesSection | None = None,
    ) -> None:
        """Open the member's disk.

        Args:
            state_applier: Applies states to this process.
            part: The file's `[tier]`.
            keys: Keys of the tier's datagrams.
            folder: The directory of the member's disk.
            own_store: The states that this daemon decided alone, before it had a tier.
            log: The process's log.
            zones: The file's `[zones]`.

        Raises:
            DiskError: The disk can't be opened or read.
        """
        self.state_applier = state_applier
        self.part = part
        self.own_store = own_store
        self.log = log
        name = state_applier.gateway.name
        addresses = {m.name: address_of(m.address) for m in part.members}
        config = TierConfig(name, tuple(part.voters), tuple(addresses), part.lease)
        self.link = TierLink(
            config, addresses, keys, folder, self._on_apply, log.write, self._on_heartbeat
        )
        self.stopped = False
        catch_up = CatchUp(self.link, state_applier.core, log)
        self.link.on_stall = catch_up.is_needed
        self._member_status: MemberStatus | None = None
        self._states = VersionStates()
        self.zone_coordinator = ZoneCoordinator(
            self.link, state_applier, zones, state_applier.gateway, part.agree_within
        )
        gates = PoolGates(self._may_write, catch_up.is_needed)
        self.version_applier = VersionApplier(
            self.link, state_applier, self._states, self.zone_coordinator, gates, log
        )
        self.changes = TierChanges(part, self.version_applier, self._states)
        self.commands = TierCommands(part, self.link, state_applier.intake)

    @property
    def owner(self) -> str:
        """The tier's name, as it appears in plans."""
        return f"tier {self.part.name}"

    def base(self) -> AppliedState:
        """Return the active version that this process has applied."""
        return self.version_applier.base

    def identity(self, state: State) -> str:
        """Return a state's identity in plans."""
        return self._states.identity(state)

    # --- Starting and leaving

    async def start(self, file: OperatorFile) -> AppliedState:
        """Apply the last known state, restricted to what is allowed, and join the tier."""
        file_state = from_file(file)
        listeners = file_state["listeners"]
        self.version_applier.listeners = listeners
        store = self.state_applier.store
        last = None if store is None else store.last()
        bootstrap = None
        if last is None:
            bootstrap, change = self._first_start(file_state)
        else:
            change = self._restart(last, {**last.state, "listeners": listeners})
        applied = await self.state_applier.change(change)
        self.version_applier.base = AppliedState(
            0, applied.applied_at, applied.applied_by, {**applied.state, "listeners": {}}
        )
        self.state_applier.intake.gate = self._gate
        self.version_applier.install_gates()
        await self.link.start(None if self.link.has_persisted_state else bootstrap)
        return applied

    def _first_start(self, file_state: State) -> tuple[BootstrapVersion, StateChange]:
        """Return the version to bootstrap a new tier with, and the change to its state.

        The state is the last one that this daemon decided alone, or else the file's.
        """
        state = file_state
        serial = 1
        operator = "first start"
        new_since = dict.fromkeys(state["nodes"], 0)
        before = None if self.own_store is None else self.own_store.last()
        if before is not None:
            state = before.state
            serial = before.serial
            operator = before.applied_by
            new_since = dict(before.new_since)
        bootstrap = BootstrapVersion(to_tree({**state, "listeners": {}}), serial, operator)
        start_state = {**state, "listeners": file_state["listeners"]}
        return bootstrap, StateChange(start_state, operator, 0, new_since, persistent=False)

    def _restart(self, last: AppliedState, start_state: State) -> StateChange:
        """Return the change to the state that was applied last."""
        store = self.state_applier.store
        root = None if store is None else store.root_of(last.state)
        if store is not None and root is not None:
            self._states.start_from(root, last.state, store.pages)
        return StateChange(
            start_state,
            last.applied_by,
            0,
            last.new_since,
            persistent=False,
            inactive_nodes=self.zone_coordinator.inactive_nodes_at_start(start_state),
        )

    async def leave(self) -> None:
        """Leave the tier, so that changes do not wait for a process that has ended."""
        self.stopped = True
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT):
                await self.link.run_job(Member.leave)
        except TimeoutError:
            self.log.write("tier: leaving was not confirmed in time; changes wait for this member")

    # --- Checks of requests

    def _gate(self, effect: str) -> Response | None:
        """Return the response that rejects a request when it is read, or None to admit it."""
        if effect == Idempotency.SAFE or self.link.member_status() is MemberStatus.ACTIVE:
            return None
        return RULES_UNCERTAIN

    def _may_write(self, attempt: Attempt) -> bool:
        """Return whether the current rules allow an attempt that was chosen under earlier ones."""
        request = attempt.request
        pool = request.pool
        if pool is None or pool.maintenance.is_out(attempt.server):
            return False
        if request.request_class is None or request.request_class.idempotency == Idempotency.SAFE:
            return True
        return (
            request.rules_revision >= self.version_applier.rules_revision
            and self.link.member_status() is MemberStatus.ACTIVE
        )

    def _on_apply(self, versions: AppliedVersions) -> None:
        self.version_applier.on_apply(versions)

    def _on_heartbeat(self) -> None:
        core = self.state_applier.core
        status = self.link.member_status()
        try:
            self.zone_coordinator.on_heartbeat()
        except Exception as error:
            core.fault("the zones' heartbeat", error)
        core.ready = status is MemberStatus.ACTIVE and not core.drain_since and not self.stopped
        if status is not self._member_status:
            self._member_status = status
            self.log.write(f"tier: {status.value}: {status.reason}")

    # --- Operators' requests

    def history(self) -> list[HistoryRecord]:
        """Return the versions that were active, oldest first."""
        store = self.state_applier.store
        return [] if store is None else store.history()

    def at(self, serial: int) -> AppliedState:
        """Return the version of a serial, without listeners; raises StoreError."""
        base = self.base()
        applied = base if serial == base.serial else find_applied(self.state_applier, serial)
        return replace(applied, state={**applied.state, "listeners": {}})

    async def apply_plan(self, text: str, by: str) -> AppliedState:
        """Propose exactly what a plan says; raises PlanError, StaleBaseError or ApplyError."""
        plan = await asyncio.to_thread(_load_plan, text)
        # One base, for the check and for the proposal: another version may become active between.
        base = await self.changes.base_for(plan.serial)
        state = await asyncio.to_thread(self._plan_result, plan, base)
        return await self.changes.propose(base, state, by)

    def _plan_result(self, plan: Plan, base: AppliedState) -> State:
        identity = self.identity(base.state)
        return compute_plan_result(plan, self.owner, base.serial, base.state, identity)

    async def apply_file(self, file: OperatorFile, by: str) -> AppliedState:
        """Raise ApplyError: a tier's state does not come from one gateway's file."""
        raise ApplyError(
            "in a tier SIGHUP does not apply the file: use `sailhitch plan` and `sailhitch apply`"
        )

    async def ban(self, node: str, ban: dict[str, Any] | None, by: str) -> AppliedState:
        """Propose to ban a node, or (None) to lift its ban; raises as `apply_plan` does."""
        return await self.changes.propose_on_latest(
            lambda state: checked_node_ban(state, node, ban), by
        )

    async def withdraw(self, serial: int | None) -> dict[str, Any]:
        """Withdraw the pending version, of this serial; raises as `TierCommands.withdraw` does."""
        return await self.commands.withdraw(serial)

    async def evict(self, name: str) -> dict[str, Any]:
        """Stop changes from waiting for a member; raises ApplyError."""
        return await self.commands.evict(name)

    async def join(self, name: str, address: str) -> dict[str, Any]:
        """Add a member to the configuration; raises ApplyError."""
        return await self.commands.join(name, address)

    def status(self, serial: int | None = None) -> dict[str, Any]:
        """Return the reply to `tier status`; with a serial, also whether that was active."""
        return self.commands.status(serial)


def _load_plan(text: str) -> Plan:
    """Parse a plan for a tier; raises PlanError."""
    plan = load_plan(text)
    if any(change.kind == "listeners" for change in plan.changes):
        raise PlanError("listeners are each gateway's own: change its file, and restart it")
    return plan
