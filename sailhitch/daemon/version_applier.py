"""Applies the versions that the tier has chosen to this process, and confirms them to the member.

A pending version is combined with the active one (`rules`), and the combination is in force until
all members have applied it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final, NamedTuple

from ..core.interfaces import HasUnreadEvent, MayWrite
from ..core.log import Log
from ..tier.effects import AppliedVersions
from .rules import intersect_states
from .state import State
from .state_applier import StateApplier, StateChange
from .store import AppliedState
from .tier_link import TierLink
from .version_states import VersionStates
from .zone_coordinator import ZoneCoordinator

APPLY_RETRY: Final = 0.2  # s until a failed apply is retried; doubles with each failure...
APPLY_RETRY_MAX: Final = 5.0  # ...up to this
RULE_KINDS: Final = ("routes", "classes", "tenants")  # kinds that decide how a request is handled


class PoolGates(NamedTuple):
    """Checks that pools make before they write a request to a node."""

    may_write: MayWrite
    is_behind: HasUnreadEvent


@dataclass(frozen=True, slots=True)
class ResolvedVersions:
    """The states of chosen versions, without listeners."""

    active: State
    pending: State | None
    effective: State  # the active state, combined with the pending one if there is one


class VersionApplier:
    """Applies the latest versions that the member has requested, one switch at a time."""

    def __init__(
        self,
        link: TierLink,
        state_applier: StateApplier,
        states: VersionStates,
        zones: ZoneCoordinator,
        gates: PoolGates,
        log: Log,
    ) -> None:
        self.link = link
        self.state_applier = state_applier
        self.listeners: Mapping[str, Any] = {}  # of this process; versions have none
        self.base = AppliedState(0, 0, "nobody", state_applier.applied.state)
        self.applied_event = asyncio.Event()  # set and replaced after each apply
        # Counts switches after which requests read under older rules must not be sent any more.
        self.rules_revision = 0
        self._states = states
        self._zones = zones
        self._gates = gates
        self._log = log
        self._task: asyncio.Task[None] | None = None
        self._next_versions: AppliedVersions | None = None
        self._applied_versions: AppliedVersions | None = None

    def on_apply(self, versions: AppliedVersions) -> None:
        """Apply these versions, after the current switch if one is running."""
        self._next_versions = versions
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._apply_pending())

    def install_gates(self) -> None:
        """Have every pool make the checks before it writes a request to a node."""
        for pool in self.state_applier.core.pools:
            pool.may_write = self._gates.may_write
            pool.has_unread_event = self._gates.is_behind

    async def _apply_pending(self) -> None:
        """Apply the latest requested versions; retry a failure until there are newer ones.

        The member requests each revision once. Without the retry, a process whose disk fails at
        that moment would stay behind, and reject requests that are not idempotent, until the next
        change or a restart.
        """
        pause = APPLY_RETRY
        try:
            while self._next_versions is not None:
                versions = self._next_versions
                self._next_versions = None
                if await self._apply(versions):
                    pause = APPLY_RETRY
                    continue
                await asyncio.sleep(pause)
                pause = min(2 * pause, APPLY_RETRY_MAX)
                self._next_versions = self._next_versions or versions
        finally:
            self._task = None

    async def _apply(self, versions: AppliedVersions) -> bool:
        """Apply these versions, and confirm them once no older ones are in use.

        Returns:
            Whether they are applied.
        """
        last = self._applied_versions
        is_same = last is not None and last._replace(revision=versions.revision) == versions
        if not is_same:
            try:
                await self._switch(versions)
            except Exception as error:  # no kind of failure may count as a confirmation
                self.link.report_apply_failure(versions.revision, str(error))
                self._log.write_limited(
                    "switch", f"tier: turn {versions.revision} can't be applied: {error}"
                )
                return False
        self._applied_versions = versions
        self.link.confirm_applied(versions.revision)
        self.applied_event.set()
        self.applied_event = asyncio.Event()
        return True

    async def _switch(self, versions: AppliedVersions) -> None:
        version = versions.active
        resolved = await self._resolve(versions)
        rules_revision = self.rules_revision + self._changes_rules(resolved)
        traffic_policy = self._zones.read(versions.traffic_policy)
        nodes = self._zones.node_orders(traffic_policy, resolved.effective)
        await self.state_applier.change(
            StateChange(
                {**resolved.effective, "listeners": self.listeners},
                version.operator,
                version.serial,
                persistent=self._is_persistent(versions),
                stamp=_version_stamp(versions),
                overlapping_state=resolved.pending,
                rules_revision=rules_revision,
                inactive_nodes=nodes.inactive,
                retried_nodes=nodes.retried,
            )
        )
        applied = [v for v in (versions.active, versions.pending) if v is not None]
        self._states.keep_only({v.digest for v in applied})
        self.rules_revision = rules_revision
        self._zones.apply(versions.traffic_policy, traffic_policy)
        self.install_gates()
        applied_at = self.state_applier.applied.applied_at
        self.base = AppliedState(version.serial, applied_at, version.operator, resolved.active)
        self._log.write(_describe(versions))

    async def _resolve(self, versions: AppliedVersions) -> ResolvedVersions:
        """Read the versions' states, in threads because they may be large."""
        member = self.link.member
        assert member is not None
        contents = member.contents
        active = await asyncio.to_thread(self._states.read, contents, versions.active.digest)
        if versions.pending is None:
            return ResolvedVersions(active, None, active)
        pending = await asyncio.to_thread(self._states.read, contents, versions.pending.digest)
        effective = await asyncio.to_thread(intersect_states, active, pending)
        return ResolvedVersions(active, pending, effective)

    def _changes_rules(self, resolved: ResolvedVersions) -> bool:
        """Return whether requests that were read under the current rules may be affected."""
        others = [self.state_applier.applied.state]
        if resolved.pending is not None:
            others.append(resolved.pending)
        effective = resolved.effective
        # Identity first: a mapping that two states share is not compared item by item.
        return any(
            other[kind] is not effective[kind] and other[kind] != effective[kind]
            for kind in RULE_KINDS
            for other in others
        )

    def _is_persistent(self, versions: AppliedVersions) -> bool:
        """Return whether to write these versions to disk: only new ones with none pending."""
        last = self._applied_versions
        if versions.pending is not None:
            return False
        return last is None or (last.active, last.pending) != (versions.active, None)


def _version_stamp(versions: AppliedVersions) -> bytes:
    """Return the header field that attempts carry under these versions."""
    stamp = f"Tier-Version: {versions.active.serial}"
    if versions.pending is not None:
        stamp += f", {versions.pending.serial}"
    return f"{stamp}\r\n".encode()


def _describe(versions: AppliedVersions) -> str:
    """Return the log line of applied versions; `benchmarks/scale/processes.py` parses it."""
    line = f"tier: turn {versions.revision}: serial {versions.active.serial}"
    if versions.pending is not None:
        line += f", combined with pending {versions.pending.serial}"
    if versions.traffic_policy is not None:
        line += f", traffic policy {versions.traffic_policy.serial}"
    return line
