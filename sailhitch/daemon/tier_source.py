"""The tier as a source of states: what the gateways agree on, and what this one may do meanwhile.

The tier's state is a gateway's without its listeners, which are each process's own. What is pending
is met with what is active (`rules`), and the switch goes by that; `gate` and `may_write` hold back
what this process may not do as it stands, at the reading of a request and at the write to its node.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

from pydantic import ValidationError

from ..core.log import Log
from ..core.request_context import Attempt
from ..core.response import Response
from ..pages import Tree
from ..settings import Idempotency
from ..tier.effects import AppliedVersions, JobCompleted, ProposalResult
from ..tier.member import BootstrapVersion, Member, MemberStatus, TierConfig
from ..tier.messages import RegisterState, Version
from ..tier.wire import Keys
from .endpoint_registry import address_of
from .intake import come_back
from .plan import MovedError, PlanError, check_base, load_plan
from .rules import contradictions, meet
from .schema import MOST_MEMBERS, OperatorFile, TierMemberPart, TierPart, ZonesPart
from .source import StillPendingError, find
from .state import State, banned, from_file
from .state_applier import ApplyError, StateApplier, StateChange
from .state_tree import to_tree
from .store import AppliedState, HistoryRecord, Store
from .tier_link import TierLink, steady
from .version_states import VersionStates
from .zone_coordinator import ZoneCoordinator

NOT_IN_FORCE: Final = come_back(
    b"this gateway is not sure of the rules that hold; another one may be\n"
)
# S that a change may take to be decided before the operator is told so.
DECISION_TIMEOUT: Final = 10.0
LEAVE_TIMEOUT: Final = 1.0  # s that a drain gives to leaving
SWITCH_RETRY: Final = 0.2  # s until a switch that failed is tried again; doubles each time...
SWITCH_RETRY_MAX: Final = 5.0  # ...up to this


def _check_same(base: AppliedState, head: RegisterState) -> None:
    """Raises MovedError where something else is active than what was asked from, or is pending."""
    if head.active.serial != base.serial or head.pending is not None:
        pending = None if head.pending is None else head.pending.serial
        raise MovedError(base.serial, head.active.serial, pending)


def _serial_known(member: Member) -> int:
    """Return the serial of the version that a member knows to hold."""
    return 0 if member.chosen is None else member.chosen.state.active.serial


class TierStateSource:
    """The source of a daemon whose file has a `[tier]`."""

    def __init__(
        self,
        live: StateApplier,
        part: TierPart,
        keys: Keys,
        folder: Path,
        own: Store | None,
        log: Log,
        zones: ZonesPart | None = None,
    ) -> None:
        """`own` keeps what this daemon decided alone. Raises DiskError."""
        self.state_applier = live
        self.part = part
        self.own = own
        self.log = log
        name = live.gateway.name
        addresses = {m.name: address_of(m.address) for m in part.members}
        terms = TierConfig(name, tuple(part.voters), tuple(addresses), part.lease)
        self.link = TierLink(terms, addresses, keys, folder, self._on_apply, log.write)
        self.link.on_heartbeat = self._on_heartbeat
        self.listeners: Mapping[str, Any] = {}
        self.applied_event = asyncio.Event()  # set whenever the switch has gone on
        self._apply_task: asyncio.Task[None] | None = None
        self._next_versions: AppliedVersions | None = None
        self._applied_versions: AppliedVersions | None = None
        self._rules = 0  # counts switches after which older requests must not be sent as they were
        self._base = AppliedState(0, 0, "nobody", live.applied.state)
        self._member_status: MemberStatus | None = None
        self._states = VersionStates()
        self.stopped = False
        self.zone_coordinator = ZoneCoordinator(self, live, zones, live.gateway)

    @property
    def owner(self) -> str:
        return f"tier {self.part.name}"

    def base(self) -> AppliedState:
        return self._base

    def identity(self, state: State) -> str:
        return self._states.identity(state)

    # --- Starting and leaving

    async def start(self, made: OperatorFile) -> AppliedState:
        """Serve what may be served by what was known, and take part."""
        live = self.state_applier
        state = from_file(made)
        self.listeners = state["listeners"]
        last = None if live.store is None else live.store.last()
        founding = None
        if last is None:
            before = None if self.own is None else self.own.last()
            first = state if before is None else before.state
            serial = 1 if before is None else before.serial
            who = "first start" if before is None else before.applied_by
            founding = BootstrapVersion(to_tree({**first, "listeners": {}}), serial, who)
            born = dict.fromkeys(first["nodes"], 0) if before is None else before.new_since
            shown = {**first, "listeners": self.listeners}
            applied = await live.change(StateChange(shown, who, 0, born, persistent=False))
        else:
            shown = {**last.state, "listeners": self.listeners}
            self._start_from(last)
            out = self.zone_coordinator.inactive_nodes_at_start(shown)
            applied = await live.change(
                StateChange(
                    shown, last.applied_by, 0, last.new_since, persistent=False, inactive_nodes=out
                )
            )
        self._base = AppliedState(
            0, applied.applied_at, applied.applied_by, {**applied.state, "listeners": {}}
        )
        live.intake.gate = self._gate
        for pool in live.core.pools:
            pool.may_write = self._may_write
        await self.link.start(None if self.link.has_persisted_state else founding)
        return applied

    def _start_from(self, last: AppliedState) -> None:
        """Have the tier's version read by what differs from the state that was applied last."""
        store = self.state_applier.store
        root = None if store is None else store.root_of(last.state)
        if store is not None and root is not None:
            self._states.start_from(root, last.state, store.pages)

    async def leave(self) -> None:
        """Go from the tier, so that changes do not wait for a process that is not there."""
        self.stopped = True
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT):
                await self.link.run_job(Member.leave)
        except TimeoutError:
            self.log.write("tier: could not say that it leaves; changes wait for it")

    # --- What this process may do

    def _gate(self, effect: str) -> Response | None:
        """Asked when a request is read; what is asked at the write is `_may_write`."""
        return (
            None
            if effect == Idempotency.SAFE or self.link.member_status() is MemberStatus.ACTIVE
            else NOT_IN_FORCE
        )

    def _may_write(self, attempt: Attempt) -> bool:
        """Return whether the rules that hold at this moment allow what was chosen under others."""
        request = attempt.request
        pool = request.pool
        if pool is None or pool.maintenance.is_out(attempt.server):
            return False
        if request.request_class is None or request.request_class.idempotency == Idempotency.SAFE:
            return True
        return (
            request.rules_revision >= self._rules
            and self.link.member_status() is MemberStatus.ACTIVE
        )

    def _on_heartbeat(self) -> None:
        core = self.state_applier.core
        standing = self.link.member_status()
        self.zone_coordinator.on_heartbeat()
        core.ready = standing is MemberStatus.ACTIVE and not core.drain_since and not self.stopped
        if standing is not self._member_status:
            self._member_status = standing
            self.log.write(f"tier: {standing.value}: {standing.reason}")

    # --- The switch

    def _on_apply(self, acting: AppliedVersions) -> None:
        self._next_versions = acting
        if self._apply_task is None:
            self._apply_task = asyncio.get_running_loop().create_task(self._apply_pending())

    async def _apply_pending(self) -> None:
        """Go by what was asked for last; again where that fails, until there is something newer.

        The core asks for each turn once. A member whose disk fails in that moment would be
        behind, and refuse what may not be repeated, until the next change or a restart.
        """
        pause = SWITCH_RETRY
        try:
            while self._next_versions is not None:
                acting = self._next_versions
                self._next_versions = None
                if await self._apply(acting):
                    pause = SWITCH_RETRY
                    continue
                await asyncio.sleep(pause)
                pause = min(2 * pause, SWITCH_RETRY_MAX)
                self._next_versions = self._next_versions or acting
        finally:
            self._apply_task = None

    async def _apply(self, acting: AppliedVersions) -> bool:
        """Have the switch go by this, and say so once nothing goes by anything older.

        Returns whether it could be done.
        """
        last = self._applied_versions
        same = last is not None and last._replace(revision=acting.revision) == acting
        if not same:
            try:
                await self._switch(acting)
            except Exception as error:  # whatever it is, it must not look like a confirmation
                self.link.report_apply_failure(acting.revision, str(error))
                self.log.write_limited(
                    "switch", f"tier: turn {acting.revision} can't be acted by: {error}"
                )
                return False
        self._applied_versions = acting
        self.link.confirm_applied(acting.revision)
        self.applied_event.set()
        self.applied_event = asyncio.Event()
        return True

    async def _switch(self, acting: AppliedVersions) -> None:
        member = self.link.member
        assert member is not None
        contents = member.contents
        states = self._states
        active = await asyncio.to_thread(states.read, contents, acting.active.digest)
        version = acting.active
        also = None
        shown = active
        stamp = f"Tier-Version: {version.serial}"
        if acting.pending is not None:
            also = await asyncio.to_thread(states.read, contents, acting.pending.digest)
            shown = await asyncio.to_thread(meet, active, also)
            stamp += f", {acting.pending.serial}"
        more = any(self._differs(kind, shown, also) for kind in ("routes", "classes", "tenants"))
        rules = self._rules + more
        whole = {**shown, "listeners": self.listeners}
        posture = self.zone_coordinator.read(acting.traffic_policy)
        last = self._applied_versions
        news = last is None or (last.active, last.pending) != (acting.active, acting.pending)
        kept = news and acting.pending is None
        unused, renewed = self.zone_coordinator.orders(posture, shown)
        await self.state_applier.change(
            StateChange(
                whole,
                version.operator,
                version.serial,
                None,
                kept,
                f"{stamp}\r\n".encode(),
                also,
                rules,
                unused,
                renewed,
            )
        )
        states.keep_only({v.digest for v in (acting.active, acting.pending) if v is not None})
        self._rules = rules
        self.zone_coordinator.apply(acting.traffic_policy, posture)
        for pool in self.state_applier.core.pools:
            pool.may_write = self._may_write
        when = self.state_applier.applied.applied_at
        self._base = AppliedState(version.serial, when, version.operator, active)
        told = "" if acting.pending is None else f", met with pending {acting.pending.serial}"
        told += (
            "" if acting.traffic_policy is None else f", zones by {acting.traffic_policy.serial}"
        )
        self.log.write(f"tier: turn {acting.revision}: serial {version.serial}{told}")

    def _differs(self, kind: str, shown: State, also: State | None) -> bool:
        others = (
            [self.state_applier.applied.state]
            if also is None
            else [self.state_applier.applied.state, also]
        )
        # By identity first: a mapping that two states share is not gone through.
        return any(
            other[kind] is not shown[kind] and other[kind] != shown[kind] for other in others
        )

    # --- What operators ask for

    def history(self) -> list[HistoryRecord]:
        store = self.state_applier.store
        return [] if store is None else store.history()

    def at(self, serial: int) -> AppliedState:
        one = self._base if serial == self._base.serial else find(self.state_applier, serial)
        return AppliedState(
            one.serial,
            one.applied_at,
            one.applied_by,
            {**one.state, "listeners": {}},
            one.summary,
            one.new_since,
        )

    async def apply_plan(self, text: str, by: str) -> AppliedState:
        _, state = await asyncio.to_thread(self._read_plan, text)
        return await self._propose(state, by)

    def _read_plan(self, text: str) -> tuple[Any, State]:
        plan = load_plan(text)
        base = self._base
        if any(change.kind == "listeners" for change in plan.changes):
            raise PlanError("listeners are each gateway's own: change its file, and restart it")
        identity = self.identity(base.state)
        return plan, check_base(plan, self.owner, base.serial, base.state, identity)

    async def apply_file(self, made: OperatorFile, by: str) -> AppliedState:
        raise ApplyError("in a tier a file is not applied by SIGHUP: `sailhitch plan`, and `apply`")

    async def ban(self, node: str, ban: dict[str, Any] | None, by: str) -> AppliedState:
        return await self._propose(banned(self._base.state, node, ban), by)

    async def _propose(self, state: State, by: str) -> AppliedState:
        base = self._base
        state = {**state, "listeners": {}}
        if self.link.member_status() is not MemberStatus.ACTIVE:
            raise ApplyError(f"this gateway {self.link.member_status().value}; ask another one")
        if state == base.state:
            # What this member goes by may be over, and "nothing to do" be untrue.
            _check_same(base, (await self.wait_for_decision(Member.read)).state)
            return base
        waits = bool(await asyncio.to_thread(contradictions, base.state, state))
        tree = await asyncio.to_thread(self._tree, base.state, state)
        when = int(time.time() * 1e6)

        def ask(member: Member) -> int:
            try:
                return member.propose(tree, base.serial, waits, by, when)
            except ValueError:  # the base's pages were let go of: another version holds by now
                raise MovedError(base.serial, _serial_known(member)) from None

        done = await self.wait_for_decision(ask)
        head = done.state
        if done.result in (ProposalResult.STALE, ProposalResult.BUSY):
            _check_same(base, head)
        version = head.active if done.result is ProposalResult.ACTIVE else head.pending
        assert version is not None
        return await self._wait_for(version)

    def _tree(self, base: State, state: State) -> Tree:
        """Return what is proposed. Raises ApplyError for an object that no page takes."""
        member = self.link.member
        assert member is not None
        try:
            return self._states.tree(member.contents, base, state)
        except ValueError as error:
            raise ApplyError(f"the state can't be proposed: {error}") from None

    async def wait_for_decision(self, ask: Any) -> JobCompleted:
        """Have the core do a job, and wait until it is decided; raises ApplyError."""
        try:
            async with asyncio.timeout(DECISION_TIMEOUT):
                done = await self.link.run_job(ask)
        except TimeoutError:
            raise ApplyError(
                f"not decided within {DECISION_TIMEOUT:g} s, as no majority of the voters answers; "
                "it may still be: `sailhitch tier status` shows it"
            ) from None
        if done is None:
            raise ApplyError("this gateway has not heard what holds yet; try again")
        return done

    async def _wait_for(self, version: Version) -> AppliedState:
        """Until this process goes by it as active, or it is given up."""
        try:
            async with asyncio.timeout(self.part.agree_within / 1e6):
                while self._base.serial < version.serial:
                    await self.applied_event.wait()
        except TimeoutError:
            raise self._why_not_active_here(version.serial) from None
        if self._base.serial != version.serial:
            raise ApplyError(f"serial {version.serial} is not what holds; see `sailhitch history`")
        return self._base

    def _why_not_active_here(self, serial: int) -> ApplyError | StillPendingError:
        """What an operator is told of a decided version that this process does not go by in time.

        An operator who is told that an active version was withdrawn asks for it again.
        """
        member = self.link.member
        assert member is not None
        assert member.chosen is not None
        head = member.chosen.state
        if head.pending is not None and head.pending.serial == serial:
            return StillPendingError(serial, member.waiting_for())
        if head.active.serial < serial:
            return ApplyError(f"serial {serial} was withdrawn")
        told = "it" if head.active.serial == serial else f"serial {head.active.serial}"
        return ApplyError(
            f"serial {serial} is not pending any more: {told} is active, and this gateway does not "
            "go by that yet; do not ask again before `sailhitch tier status` and `sailhitch "
            "history` show what holds"
        )

    async def withdraw(self) -> dict[str, Any]:
        """Give up what is pending."""
        member = self.link.member
        pending = None if member is None or member.chosen is None else member.chosen.state.pending
        if pending is None:
            raise ApplyError("nothing is pending")
        done = await self.wait_for_decision(lambda m: m.withdraw(pending.serial))
        if done.result is not ProposalResult.ACTIVE:
            raise ApplyError(f"serial {pending.serial} is not pending any more")
        return {"ok": True, "withdrawn": pending.serial}

    async def evict(self, name: str) -> dict[str, Any]:
        """Have changes wait for a member no more; raises ApplyError where it was heard lately."""
        member = self.link.member
        if member is None:
            raise ApplyError("this gateway has not heard what holds yet; try again")
        why = member.why_not_evictable(name, self.part.agree_within, steady())
        if why:
            raise ApplyError(f"{name!r}: {why}")
        done = await self.wait_for_decision(lambda m: m.evict(name))
        if done.result is not ProposalResult.ACTIVE:
            raise ApplyError("the roster has changed meanwhile; look again")
        return {"ok": True, "gone": name}

    async def join(self, name: str, place: str) -> dict[str, Any]:
        """Have all know where a member is to be found; raises ApplyError.

        Refused of one that is there: two processes under one name would both stand back.
        """
        try:
            TierMemberPart(name=name, address=place)
        except ValidationError as error:
            first = error.errors()[0]
            raise ApplyError(f"tier.join: {first['loc'][0]}: {first['msg']}") from None
        member = self.link.member
        if member is None or not member.is_caught_up():
            raise ApplyError("this gateway has not heard what holds yet; try again")
        known = {*member.config.peers, *member.configuration.addresses}
        why = member.why_not_admitted(name)
        if why:
            raise ApplyError(f"{name!r}: {why}")
        if name not in known and len(known) >= MOST_MEMBERS:
            raise ApplyError(f"a tier has {MOST_MEMBERS} members at most")
        taken = {place: one for one, place in member.configuration.addresses.items()}
        taken |= {f"{host}:{port}": one for one, (host, port) in self.link.addresses.items()}
        if taken.get(place, name) != name:
            raise ApplyError(f"{place}: is where {taken[place]!r} is")
        done = await self.wait_for_decision(lambda m: m.admit(name, place))
        if done.result is not ProposalResult.ACTIVE:
            raise ApplyError("the roster has changed meanwhile; look again")
        return {"ok": True, "joins": name, "place": place}

    def status(self) -> dict[str, Any]:
        """Return what `tier status` shows."""
        member = self.link.member
        if member is None:
            return {"ok": True, "tier": self.part.name, "standing": "starting"}
        told = member.status(steady())
        return {
            "ok": True,
            "tier": self.part.name,
            **told,
            "silent": self.link.disk_is_failing,
            "datagrams": self.link.sent,
            "bytes": self.link.sent_bytes,
            "refused_datagrams": {**self.link.wire.refused, **self.link.unsent},
            "held_back": self.state_applier.intake.held_back,
        }
