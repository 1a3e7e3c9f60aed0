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

from ..core.exchange import Attempt
from ..core.log import Log
from ..core.terms import Answer
from ..pages import Tree
from ..settings import SAFE
from ..tier.effects import Acting, Done, End
from ..tier.member import Founding, Member, MemberStatus, TierConfig
from ..tier.messages import Head, Version
from ..tier.wire import Keys
from .intake import come_back
from .link import Link, steady
from .live import ApplyError, Decided, Live
from .places import address_of
from .plan import MovedError, PlanError, check_base, load_plan
from .rules import contradictions, meet
from .schema import MOST_MEMBERS, OperatorFile, TierMemberPart, TierPart, ZonesPart
from .source import StillPendingError, find
from .state import State, banned, from_file
from .state_tree import to_tree
from .store import Applied, Record, Store
from .version_states import VersionStates
from .zoned import Zoned

OUT: Final = come_back(b"this gateway is not sure of the rules that hold; another one may be\n")
ASKED: Final = 10.0  # s that a change may take to be decided before the operator is told so
LEAVING: Final = 1.0  # s that a drain gives to leaving
SWITCH_RETRY: Final = 0.2  # s until a switch that failed is tried again; doubles each time...
SWITCH_RETRY_MAX: Final = 5.0  # ...up to this


def _check_same(base: Applied, head: Head) -> None:
    """Raises MovedError where something else is active than what was asked from, or is pending."""
    if head.active.serial != base.serial or head.pending is not None:
        pending = None if head.pending is None else head.pending.serial
        raise MovedError(base.serial, head.active.serial, pending)


def _serial_known(member: Member) -> int:
    """The serial of the version that a member knows to hold."""
    return 0 if member.known is None else member.known.head.active.serial


class Tiered:
    """The source of a daemon whose file has a `[tier]`."""

    def __init__(
        self, live: Live, part: TierPart, keys: Keys, folder: Path, own: Store | None, log: Log,
        zones: ZonesPart | None = None,
    ) -> None:  # fmt: skip
        """`own` keeps what this daemon decided alone. Raises DiskError."""
        self.live, self.part, self.own, self.log = live, part, own, log
        name = live.gateway.name
        addresses = {m.name: address_of(m.address) for m in part.members}
        terms = TierConfig(name, tuple(part.voters), tuple(addresses), part.lease)
        self.link = Link(terms, addresses, keys, folder, self._act, log.say)
        self.link.beaten = self._beaten
        self.listeners: Mapping[str, Any] = {}
        self.heard_from = asyncio.Event()  # set whenever the switch has gone on
        self._acting: asyncio.Task[None] | None = None
        self._next: Acting | None = None
        self._last: Acting | None = None
        self._rules = 0  # counts switches after which older requests must not be sent as they were
        self._base = Applied(0, 0, "nobody", live.applied.state)
        self._standing: MemberStatus | None = None
        self._states = VersionStates()
        self.stopped = False
        self.zoned = Zoned(self, live, zones, live.gateway)

    @property
    def owner(self) -> str:
        return f"tier {self.part.name}"

    def base(self) -> Applied:
        return self._base

    def identity(self, state: State) -> str:
        return self._states.identity(state)

    # --- Starting and leaving

    async def start(self, made: OperatorFile) -> Applied:
        """Serve what may be served by what was known, and take part."""
        live, state = self.live, from_file(made)
        self.listeners = state["listeners"]
        last = None if live.store is None else live.store.last()
        founding = None
        if last is None:
            before = None if self.own is None else self.own.last()
            first = state if before is None else before.state
            serial = 1 if before is None else before.serial
            who = "first start" if before is None else before.by
            founding = Founding(to_tree({**first, "listeners": {}}), serial, who)
            born = dict.fromkeys(first["nodes"], 0) if before is None else before.born
            shown = {**first, "listeners": self.listeners}
            applied = await live.change(Decided(shown, who, 0, born, kept=False))
        else:
            shown = {**last.state, "listeners": self.listeners}
            self._start_from(last)
            out = self.zoned.unused_at_start(shown)
            applied = await live.change(
                Decided(shown, last.by, 0, last.born, kept=False, unused=out)
            )
        self._base = Applied(0, applied.when, applied.by, {**applied.state, "listeners": {}})
        live.intake.gate = self._gate
        for pool in live.core.pools:
            pool.may_write = self._may_write
        await self.link.start(None if self.link.knows else founding)
        return applied

    def _start_from(self, last: Applied) -> None:
        """Have the tier's version read by what differs from the state that was applied last."""
        store = self.live.store
        root = None if store is None else store.root_of(last.state)
        if store is not None and root is not None:
            self._states.start_from(root, last.state, store.pages)

    async def leave(self) -> None:
        """Go from the tier, so that changes do not wait for a process that is not there."""
        self.stopped = True
        try:
            async with asyncio.timeout(LEAVING):
                await self.link.done(Member.leave)
        except TimeoutError:
            self.log.say("tier: could not say that it leaves; changes wait for it")

    # --- What this process may do

    def _gate(self, effect: str) -> Answer | None:
        """Danger: asked when a request is read; what is asked at the write is `_may_write`."""
        return None if effect == SAFE or self.link.standing() is MemberStatus.IN else OUT

    def _may_write(self, attempt: Attempt) -> bool:
        """Whether the rules that hold at this moment allow what was chosen under others."""
        exchange = attempt.exchange
        pool = exchange.pool
        if pool is None or pool.maintenance.is_out(attempt.server):
            return False
        if exchange.kind is None or exchange.kind.effect == SAFE:
            return True
        return exchange.rules >= self._rules and self.link.standing() is MemberStatus.IN

    def _beaten(self) -> None:
        core, standing = self.live.core, self.link.standing()
        self.zoned.beat()
        core.ready = standing is MemberStatus.IN and not core.drain_since and not self.stopped
        if standing is not self._standing:
            self._standing = standing
            self.log.say(f"tier: {standing.name.lower()}: {standing.value}")

    # --- The switch

    def _act(self, acting: Acting) -> None:
        self._next = acting
        if self._acting is None:
            self._acting = asyncio.get_running_loop().create_task(self._go_on())

    async def _go_on(self) -> None:
        """Go by what was asked for last; again where that fails, until there is something newer.

        Danger: the core asks for each turn once. A member whose disk fails in that moment would be
        behind, and refuse what may not be repeated, until the next change or a restart.
        """
        pause = SWITCH_RETRY
        try:
            while self._next is not None:
                acting, self._next = self._next, None
                if await self._go(acting):
                    pause = SWITCH_RETRY
                    continue
                await asyncio.sleep(pause)
                pause = min(2 * pause, SWITCH_RETRY_MAX)
                self._next = self._next or acting
        finally:
            self._acting = None

    async def _go(self, acting: Acting) -> bool:
        """Have the switch go by this, and say so once nothing goes by anything older.

        Returns whether it could be done.
        """
        last = self._last
        same = last is not None and last._replace(turn=acting.turn) == acting
        if not same:
            try:
                await self._switch(acting)
            except Exception as error:  # whatever it is, it must not look like a confirmation
                self.link.not_acted(acting.turn, str(error))
                self.log.often("switch", f"tier: turn {acting.turn} can't be acted by: {error}")
                return False
        self._last = acting
        self.link.acted(acting.turn)
        self.heard_from.set()
        self.heard_from = asyncio.Event()
        return True

    async def _switch(self, acting: Acting) -> None:
        member = self.link.member
        assert member is not None
        contents, states = member.contents, self._states
        active = await asyncio.to_thread(states.read, contents, acting.active.digest)
        version, also, shown = acting.active, None, active
        stamp = f"Tier-Version: {version.serial}"
        if acting.pending is not None:
            also = await asyncio.to_thread(states.read, contents, acting.pending.digest)
            shown = await asyncio.to_thread(meet, active, also)
            stamp += f", {acting.pending.serial}"
        more = any(self._differs(kind, shown, also) for kind in ("routes", "classes", "tenants"))
        rules = self._rules + more
        whole = {**shown, "listeners": self.listeners}
        posture, last = self.zoned.read(acting.posture), self._last
        news = last is None or (last.active, last.pending) != (acting.active, acting.pending)
        kept = news and acting.pending is None
        unused, renewed = self.zoned.orders(posture, shown)
        await self.live.change(
            Decided(
                whole, version.who, version.serial, None, kept, f"{stamp}\r\n".encode(), also,
                rules, unused, renewed,
            )
        )  # fmt: skip
        states.keep_only({v.digest for v in (acting.active, acting.pending) if v is not None})
        self._rules = rules
        self.zoned.goes_by(acting.posture, posture)
        for pool in self.live.core.pools:
            pool.may_write = self._may_write
        when = self.live.applied.when
        self._base = Applied(version.serial, when, version.who, active)
        told = "" if acting.pending is None else f", met with pending {acting.pending.serial}"
        told += "" if acting.posture is None else f", zones by {acting.posture.serial}"
        self.log.say(f"tier: turn {acting.turn}: serial {version.serial}{told}")

    def _differs(self, kind: str, shown: State, also: State | None) -> bool:
        others = [self.live.applied.state] if also is None else [self.live.applied.state, also]
        # By identity first: a mapping that two states share is not gone through.
        return any(
            other[kind] is not shown[kind] and other[kind] != shown[kind] for other in others
        )

    # --- What operators ask for

    def history(self) -> list[Record]:
        store = self.live.store
        return [] if store is None else store.history()

    def at(self, serial: int) -> Applied:
        one = self._base if serial == self._base.serial else find(self.live, serial)
        return Applied(
            one.serial, one.when, one.by, {**one.state, "listeners": {}}, one.summary, one.born
        )

    async def apply_plan(self, text: str, by: str) -> Applied:
        _, state = await asyncio.to_thread(self._read_plan, text)
        return await self._propose(state, by)

    def _read_plan(self, text: str) -> tuple[Any, State]:
        plan, base = load_plan(text), self._base
        if any(change.kind == "listeners" for change in plan.changes):
            raise PlanError("listeners are each gateway's own: change its file, and restart it")
        identity = self.identity(base.state)
        return plan, check_base(plan, self.owner, base.serial, base.state, identity)

    async def apply_file(self, made: OperatorFile, by: str) -> Applied:
        raise ApplyError("in a tier a file is not applied by SIGHUP: `sailhitch plan`, and `apply`")

    async def ban(self, node: str, ban: dict[str, Any] | None, by: str) -> Applied:
        return await self._propose(banned(self._base.state, node, ban), by)

    async def _propose(self, state: State, by: str) -> Applied:
        base = self._base
        state = {**state, "listeners": {}}
        if self.link.standing() is not MemberStatus.IN:
            raise ApplyError(f"this gateway {self.link.standing().value}; ask another one")
        if state == base.state:
            # Danger: what this member goes by may be over, and "nothing to do" be untrue.
            _check_same(base, (await self.decided(Member.read)).head)
            return base
        waits = bool(await asyncio.to_thread(contradictions, base.state, state))
        tree = await asyncio.to_thread(self._tree, base.state, state)
        when = int(time.time() * 1e6)

        def ask(member: Member) -> int:
            try:
                return member.propose(tree, base.serial, waits, by, when)
            except ValueError:  # the base's pages were let go of: another version holds by now
                raise MovedError(base.serial, _serial_known(member)) from None

        done = await self.decided(ask)
        head = done.head
        if done.end in (End.STALE, End.BUSY):
            _check_same(base, head)
        version = head.active if done.end is End.ACTIVE else head.pending
        assert version is not None
        return await self._wait_for(version)

    def _tree(self, base: State, state: State) -> Tree:
        """What is proposed. Raises ApplyError for an object that no page takes."""
        member = self.link.member
        assert member is not None
        try:
            return self._states.tree(member.contents, base, state)
        except ValueError as error:
            raise ApplyError(f"the state can't be proposed: {error}") from None

    async def decided(self, ask: Any) -> Done:
        """Have the core do a job, and wait until it is decided; raises ApplyError."""
        try:
            async with asyncio.timeout(ASKED):
                done = await self.link.done(ask)
        except TimeoutError:
            raise ApplyError(
                f"not decided within {ASKED:g} s, as no majority of the voters answers; it may "
                "still be: `sailhitch tier status` shows it"
            ) from None
        if done is None:
            raise ApplyError("this gateway has not heard what holds yet; try again")
        return done

    async def _wait_for(self, version: Version) -> Applied:
        """Until this process goes by it as active, or it is given up."""
        try:
            async with asyncio.timeout(self.part.agree_within / 1e6):
                while self._base.serial < version.serial:
                    await self.heard_from.wait()
        except TimeoutError:
            raise self._why_not_active_here(version.serial) from None
        if self._base.serial != version.serial:
            raise ApplyError(f"serial {version.serial} is not what holds; see `sailhitch history`")
        return self._base

    def _why_not_active_here(self, serial: int) -> ApplyError | StillPendingError:
        """What an operator is told of a decided version that this process does not go by in time.

        Danger: an operator who is told that an active version was withdrawn asks for it again.
        """
        member = self.link.member
        assert member is not None
        assert member.known is not None
        head = member.known.head
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
        pending = None if member is None or member.known is None else member.known.head.pending
        if pending is None:
            raise ApplyError("nothing is pending")
        done = await self.decided(lambda m: m.withdraw(pending.serial))
        if done.end is not End.ACTIVE:
            raise ApplyError(f"serial {pending.serial} is not pending any more")
        return {"ok": True, "withdrawn": pending.serial}

    async def gone(self, name: str) -> dict[str, Any]:
        """Have changes wait for a member no more; raises ApplyError where it was heard lately."""
        member = self.link.member
        if member is None:
            raise ApplyError("this gateway has not heard what holds yet; try again")
        why = member.why_not_gone(name, self.part.agree_within, steady())
        if why:
            raise ApplyError(f"{name!r}: {why}")
        done = await self.decided(lambda m: m.put_out(name))
        if done.end is not End.ACTIVE:
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
        if member is None or not member.settled():
            raise ApplyError("this gateway has not heard what holds yet; try again")
        known = {*member.config.peers, *member.roster.places}
        why = member.why_not_admitted(name)
        if why:
            raise ApplyError(f"{name!r}: {why}")
        if name not in known and len(known) >= MOST_MEMBERS:
            raise ApplyError(f"a tier has {MOST_MEMBERS} members at most")
        taken = {place: one for one, place in member.roster.places.items()}
        taken |= {f"{host}:{port}": one for one, (host, port) in self.link.addresses.items()}
        if taken.get(place, name) != name:
            raise ApplyError(f"{place}: is where {taken[place]!r} is")
        done = await self.decided(lambda m: m.admit(name, place))
        if done.end is not End.ACTIVE:
            raise ApplyError("the roster has changed meanwhile; look again")
        return {"ok": True, "joins": name, "place": place}

    def status(self) -> dict[str, Any]:
        """What `tier status` shows."""
        member = self.link.member
        if member is None:
            return {"ok": True, "tier": self.part.name, "standing": "starting"}
        told = member.status(steady())
        return {
            "ok": True, "tier": self.part.name, **told, "silent": self.link.mute,
            "datagrams": self.link.sent, "bytes": self.link.sent_bytes,
            "refused_datagrams": {**self.link.wire.refused, **self.link.unsent},
            "held_back": self.live.intake.held_back,
        }  # fmt: skip
