"""Members of a tier in the model: the daemon's cores, and rules that are sets of permitted acts.

A version's content is a tree of pages that holds the acts that it permits, and a weight that
contradicts nothing. Each process does what it is free to do, many times a second; `truth` looks at
every one of them.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Mapping
from functools import partial
from typing import Any

import msgspec

from ..tier.content_store import root_of, tree_digest
from ..tier.effects import AppliedVersions, ApplyVersions, JobCompleted, LogEvent, Persist, Send
from ..tier.member import BootstrapVersion, Member, MemberStatus, TierConfig
from ..tier.messages import Message, Version
from ..tier.register import VOTE_KEY
from ..zones.controller import ZoneController, ZoneTerms, all_inactive_nodes
from ..zones.traffic_policy import EMPTY_POLICY, TrafficPolicy, decode
from .contents import DEFAULT, Contents, is_on_disk, permitted
from .invariants import InvariantChecker, InvariantViolationError, WriteEvent
from .kernel import Kernel
from .network import Network
from .process import Process

ACTS = 6  # different acts that rules permit or forbid
EVERY = 20_000  # us between two acts of a process
WATCH = 50_000  # us between two looks at who is out of reach
MOST_LOSS = 0.3  # of datagrams: above it members may take each other for dead
SWITCH = (500, 40_000)  # us that going by other rules takes


class TierProcess(Process):
    """A member with a disk and a clock, and what it does."""

    def __init__(self, world: World, name: str, rate: float) -> None:
        super().__init__(world.kernel, name, rate)
        self.world = world
        self.member: Member | None = None
        self.view: AppliedVersions | None = None  # what it goes by
        self.allowed: frozenset[int] = frozenset()
        self.log: list[tuple[int, str]] = []
        self.changes: dict[int, str] = {}  # by job
        self.ended: dict[int, JobCompleted] = {}  # by job
        self.controller: ZoneController | None = None
        self.unused: frozenset[str] = frozenset()
        self._switched_at = 0
        self._draw = random.Random(world.kernel.seed * 1009 + len(world.processes))

    def start(self) -> None:
        """Start, or start anew, from what is on the disk."""
        self.begin()
        world = self.world
        rng = random.Random(int(self._rng.integers(1 << 62)))
        boot = int(self._rng.integers(1, 1 << 48))
        founding = BootstrapVersion(world.founding, 1, "model")
        self.view = None
        self.changes = {}
        self.ended = {}
        self.member = Member(
            world.terms(self.name), boot, dict(self.disk.now), rng, self.clock(), founding
        )
        self._switched_at = 0
        self.controller = None
        if world.zones:
            terms = ZoneTerms(1, world.step, world.place_of(self.name), world.act)
            self.controller = ZoneController(terms, rng)
            self.controller.apply(0, EMPTY_POLICY, {"all": world.zones}, self.clock())
        self.unused = frozenset()
        self._take()
        self._tick()
        self.kernel.after(int(self._rng.integers(EVERY)), self.guarded(self._act))

    def _take(self) -> None:
        assert self.member is not None
        self.take(self.member.take_effects())

    def _tick(self) -> None:
        assert self.member is not None
        self.member.on_tick(self.clock())
        self._steer()
        self._take()
        for name in self.member.prober.dead_members():
            self.world.check_dead(self.name, name)
        self.kernel.after(self.world.beat, self.guarded(self._tick))

    def _steer(self) -> None:
        controller = self.controller
        member = self.member
        now = self.clock()
        if controller is None or member is None or not controller.due(now):
            return
        member.metadata, news = controller.report(now)
        if news:
            member.gossip_soon(now)
        found = controller.look(now, controller.on_reports(member.metadata_by_member(now)))
        if found is not None and member.member_status(now) is MemberStatus.ACTIVE:
            self.pose_zones(found[0])

    def hear(self, sender: str, message: Message) -> None:
        """A datagram has come."""
        if self.up and not self.paused:  # as `guarded` would do it, for most of what happens here
            self._heard(sender, message)
        else:
            self.guarded(lambda: self._heard(sender, message))()

    def _heard(self, sender: str, message: Message) -> None:
        assert self.member is not None
        self.member.on_message(sender, message, self.clock())
        self._take()

    def _act(self) -> None:
        """Do something, if the rules that it goes by allow it at this moment."""
        assert self.member is not None
        act = self._draw.randrange(self.world.acts)
        free = self.view is not None and act in self.allowed
        free = free and str(act) not in self.unused
        if free and self.member.member_status(self.clock()) is MemberStatus.ACTIVE:
            assert self.view is not None
            zone = self.world.zones.get(str(act))
            if self.controller is not None and zone is not None:
                self.controller.record(str(act), zone in self.world.frozen, False, self.clock())
            self.world.checker.on_write(
                WriteEvent(self.kernel.now, self.name, act, self.view.revision)
            )
        self.kernel.after(self.world.every, self.guarded(self._act))

    # --- Effects

    def happen(self, effect: Send | ApplyVersions | JobCompleted | LogEvent) -> Any:
        world = self.world
        if isinstance(effect, Send):
            world.network.send(self.name, effect.to, effect.message)
        elif isinstance(effect, ApplyVersions):
            world.checker.on_apply_requested(self.name, effect.versions)
            delay = int(self._rng.integers(*SWITCH))
            self._switched_at = max(self._switched_at, self.kernel.now) + delay
            self.kernel.at(self._switched_at, self.guarded(lambda: self._switch(effect.versions)))
        elif isinstance(effect, JobCompleted):
            if effect.job in self.changes:
                world.checker.on_result(self.name, effect, self.changes[effect.job])
            self.ended[effect.job] = effect
            self.log.append((self.kernel.now, f"job {effect.job} {effect.result.value}"))
        else:
            self.log.append((self.kernel.now, f"{effect.event} {effect.fields}"))

    def _switch(self, acting: AppliedVersions) -> None:
        assert self.member is not None
        self.view = acting
        self.allowed = self._read(acting.active)
        if acting.pending is not None:
            self.allowed &= self._read(acting.pending)
        if self.controller is not None and acting.traffic_policy is not None:
            posture = decode(self.member.contents.read(acting.traffic_policy.digest))
            nodes = {"all": self.world.zones}
            self.controller.apply(acting.traffic_policy.serial, posture, nodes, self.clock())
            self.unused = all_inactive_nodes(posture, nodes)
        self.world.checker.on_applied(self.kernel.now, acting)
        self.member.confirm_applied(acting.revision, self.clock())
        self._take()

    def _read(self, version: Version) -> frozenset[int]:
        """Return what a version permits, from the pages that this member has."""
        assert self.member is not None
        root = root_of(version.digest)
        assert root is not None
        try:
            found = permitted(self.member.contents, root)
        except KeyError as error:
            raise InvariantViolationError(
                f"1: {self.name} acts by {version} without its page {error}"
            ) from None
        assert found == self.world.permitted(version.digest), version
        return found

    def written(self, keep: Persist) -> None:
        super().written(keep)
        vote = keep.items.get(VOTE_KEY)
        if vote is not None:
            has = partial(is_on_disk, self.disk.now)
            self.world.checker.on_vote(self.name, vote, has)

    # --- What operators ask for

    def propose(self, flip: int, weight: int) -> None:
        """Permit an act that is forbidden, or forbid one that is not (`flip` below 0: neither)."""
        if not self.up or self.paused or self.member is None or self.member.chosen is None:
            return
        active = self.member.chosen.state.active
        if active.digest not in self.world.permits:
            return
        old = self.world.permitted(active.digest)
        new = old ^ {flip} if 0 <= flip < ACTS else old
        self.offer(active, frozenset(new), weight)

    def offer(self, base: Version, new: frozenset[int], weight: int) -> int:
        """Offer a version that permits these acts, made from `base`; the number of the job."""
        assert self.member is not None
        contents, store = self.world.contents, self.member.contents
        made = contents.tree(new, weight)
        old = self.world.permitted(base.digest)
        root = None
        if store.has(base.digest):
            root = root_of(base.digest)
        if root is not None:
            changed = contents.updated(store, root, old, new, weight)
            assert changed.root == made.root, "the same entries have two roots"
            made = changed
        self.world.permits[tree_digest(made.root)] = new
        waits = new != old
        return self._asked(self.member.propose(made, base.serial, waits, "model", 0))

    def _asked(self, job: int) -> int:
        """A change is under way; the truth knows it by what the core calls it."""
        assert self.member is not None
        self.changes[job] = f"{self.name}-{self.member.boot:x}-{job - 1}"
        self._take()
        return job

    def propose_traffic_policy(self, weight: int) -> None:
        """Propose another posture; it permits and forbids nothing."""
        if not self.up or self.paused or self.member is None or self.view is None:
            return
        held = self.view.traffic_policy
        made = msgspec.json.encode({"weight": weight})
        self._asked(
            self.member.propose_traffic_policy(made, 0 if held is None else held.serial, "model", 0)
        )

    def pose_zones(self, posture: TrafficPolicy) -> int:
        """Propose this about zones; the number of the job."""
        assert self.member is not None
        assert self.controller is not None
        return self._asked(
            self.member.propose_traffic_policy(posture.encode(), self.controller.serial, "model", 0)
        )

    def ask(self, what: Callable[[Member], int | None]) -> int | None:
        """Have the core do a job; its number, or None where it can't now."""
        assert self.member is not None
        job = what(self.member)
        self._take()
        return job

    def says_gone(self, name: str, quiet: int) -> bool:
        """Have another struck off by an operator; whether it is in the roster and may be.

        `quiet` is for how long it must have given no sign of life, in microseconds.
        """
        assert self.member is not None
        if not self.member.is_caught_up() or name not in self.member.configuration.members:
            return False
        if self.member.why_not_evictable(name, quiet, self.clock()):
            return False
        self.ask(lambda member: member.evict(name))
        return True

    def withdraw(self) -> None:
        """Give up what is pending."""
        if self.up and not self.paused and self.member is not None and self.member.chosen:
            pending = self.member.chosen.state.pending
            if pending is not None:
                self.member.withdraw(pending.serial)
                self._take()


class World:
    """A tier of so many members, of which the first `voters` vote."""

    def __init__(
        self,
        seed: int,
        members: int = 5,
        voters: int = 3,
        lease: int | None = None,
        beat: int = 200_000,
        every: int = EVERY,
        late: Collection[str] = (),
        first: Collection[int] = range(0, ACTS, 2),
        acts: int = ACTS,
        zones: Mapping[str, str] | None = None,
        step: int = 1_000_000,
        act: bool = False,
        contents: Contents = DEFAULT,
    ) -> None:
        """`beat` and `every` in microseconds: of the members' cores, and between two acts.

        Those in `late` are in no other's file, and are started by whoever plays. Of `acts`
        different ones the tier's first version permits those in `first`. `zones` has the zone of
        each act, by its number as a text, that is sending to a node; `step` is of a way back,
        `act` whether members leave what the fleet takes for gone.
        """
        self.kernel = Kernel(seed)
        self.network = Network(self.kernel, self._deliver)
        self.names = tuple(f"g{i + 1}" for i in range(members))
        self.voters = self.names[:voters]
        self.lease = lease
        self.beat = beat
        self.every = every
        self.late = frozenset(late)
        self.zones = dict(zones or {})
        self.step = step
        self.act = act
        self.frozen: set[str] = set()  # zones whose nodes answer nothing
        self._trouble = dict.fromkeys(self.names, 0)  # when each last was out of others' reach
        self.first = frozenset(first)
        self.acts = acts
        self.contents = contents
        self.founding = contents.tree(self.first, 0)
        # What each version permits, by its digest.
        self.permits = {tree_digest(self.founding.root): self.first}
        self.checker = InvariantChecker(
            self.voters, lambda digest, act: act in self.permitted(digest)
        )
        self.processes: dict[str, TierProcess] = {}
        rates = self.kernel.stream("rates").uniform(0.99, 1.01, members)
        for name, rate in zip(self.names, rates, strict=True):
            self.processes[name] = TierProcess(self, name, float(rate))

    def terms(self, name: str) -> TierConfig:
        peers = tuple(one for one in self.names if one == name or one not in self.late)
        return TierConfig(name, self.voters, peers, self.lease)

    def place_of(self, name: str) -> str:
        """Return the zone that a member is in: of those that there are, by turns."""
        zones = sorted(set(self.zones.values()))
        return zones[self.names.index(name) % len(zones)]

    def permitted(self, digest: str) -> frozenset[int]:
        """Return what a version permits."""
        return self.permits[digest]

    def _deliver(self, sender: str, to: str, message: Any) -> None:
        self.processes[to].hear(sender, message)

    def start(self) -> None:
        """All start, within half a second and in any order."""
        self._watch()
        for name, process in self.processes.items():
            delay = int(self.kernel.stream(f"start {name}").integers(500_000))
            if name not in self.late:
                self.kernel.after(delay, process.start)

    def _watch(self) -> None:
        """Note who can't be expected to hear or to be heard."""
        now = self.kernel.now
        network = self.network
        for name, process in self.processes.items():
            out = not process.up or process.paused or process.disk_is_failing
            if out or network.loss > MOST_LOSS:
                self._trouble[name] = now
        for link in network.cuts:
            for name in link:
                self._trouble[name] = now
        self.kernel.after(WATCH, self._watch)

    def check_dead(self, by: str, name: str) -> None:
        """Promise 5: `by` takes another for dead."""
        since = max(self._trouble[by], self._trouble[name])
        self.checker.on_declared_dead(self.kernel.now, by, name, since)

    def check_known(self) -> None:
        """Promise 4: all that are up know what was decided."""
        heads = {p.name: p.member.chosen for p in self.processes.values() if p.up and p.member}
        self.checker.check_known(
            {name: 0 if known is None else known.state.revision for name, known in heads.items()}
        )

    def check_end(self) -> None:
        """Promises 4 and 5, of those that are up."""
        self.check_settled()
        self.check_who_is_there()

    def check_settled(self) -> None:
        """Promise 4, of those that are up."""
        self.check_known()
        up = [p for p in self.processes.values() if p.up and p.member is not None]
        self.checker.check_ended(
            {p.name: p.member.member_status(p.clock()) for p in up if p.member is not None},
            {p.name: 0 if p.view is None else p.view.revision for p in up},
        )

    def check_who_is_there(self) -> None:
        """Promise 5: all that are up take for dead those alone that are not."""
        up = [p for p in self.processes.values() if p.up and p.member is not None]
        for process in up:
            assert process.member is not None
            self.checker.check_liveness(
                process.name,
                set(process.member.prober.dead_members()),
                {p.name for p in up},
                self.names,
            )
