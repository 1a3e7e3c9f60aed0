"""A modelled member of a tier: the daemon's core, and the writes that the applied versions permit.

A version's content is a tree of pages with the acts that it permits, and a weight that contradicts
no other version. Many times a second each process tries a random act and performs it if it is
permitted; `invariants` checks each of these writes.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Final

import msgspec

from ..tier.content_store import root_of, tree_digest
from ..tier.effects import AppliedVersions, ApplyVersions, JobCompleted, LogEvent, Persist, Send
from ..tier.member import BootstrapVersion, Member, MemberStatus
from ..tier.messages import Message, Version
from ..tier.register import VOTE_KEY
from ..zones.controller import ZoneController, ZoneSettings, inactive_nodes_by_pool
from ..zones.traffic_policy import EMPTY_POLICY, TrafficPolicy, decode
from .contents import is_on_disk, permitted
from .invariants import InvariantViolationError, WriteEvent
from .process import Process

if TYPE_CHECKING:
    from .tier import World

ACT_COUNT: Final = 6  # number of acts, each permitted or forbidden by a version
WRITE_INTERVAL: Final = 20_000  # us between two writes of a process
APPLY_DURATION_RANGE = (500, 40_000)  # us


class TierProcess(Process):
    """A process that runs a member's core and makes writes."""

    def __init__(self, world: World, name: str, rate: float) -> None:
        super().__init__(world.kernel, name, rate)
        self.world = world
        self.member: Member | None = None
        self.applied_versions: AppliedVersions | None = None
        self.permitted_acts: frozenset[int] = frozenset()
        self.log: list[tuple[int, str]] = []
        self.change_ids: dict[int, str] = {}  # by job
        self.completed_jobs: dict[int, JobCompleted] = {}  # by job
        self.controller: ZoneController | None = None
        self.inactive_nodes: frozenset[str] = frozenset()
        self._apply_completes_at = 0
        self._act_rng = random.Random(world.kernel.seed * 1009 + len(world.processes))

    def start(self) -> None:
        """Start or restart the member from its disk."""
        self.begin()
        world = self.world
        rng = random.Random(int(self._rng.integers(1 << 62)))
        boot = int(self._rng.integers(1, 1 << 48))
        bootstrap = BootstrapVersion(world.bootstrap_tree, 1, "model")
        self.applied_versions = None
        self.change_ids = {}
        self.completed_jobs = {}
        self.member = Member(
            world.config_of(self.name), boot, dict(self.disk.synced), rng, self.clock(), bootstrap
        )
        self._apply_completes_at = 0
        self.controller = None
        if world.zones:
            terms = ZoneSettings(1, world.step, world.zone_of(self.name), world.act)
            self.controller = ZoneController(terms, rng)
            self.controller.apply(0, EMPTY_POLICY, {"all": world.zones}, self.clock())
        self.inactive_nodes = frozenset()
        self._process_effects()
        self._tick()
        self.kernel.after(int(self._rng.integers(WRITE_INTERVAL)), self.guarded(self._try_write))

    def _process_effects(self) -> None:
        assert self.member is not None
        self.enqueue(self.member.take_effects())

    def _tick(self) -> None:
        assert self.member is not None
        self.member.on_tick(self.clock())
        self._run_zone_controller()
        self._process_effects()
        for name in self.member.prober.dead_members():
            self.world.check_declared_dead(self.name, name)
        self.kernel.after(self.world.heartbeat_interval, self.guarded(self._tick))

    def _run_zone_controller(self) -> None:
        controller = self.controller
        member = self.member
        now = self.clock()
        if controller is None or member is None or not controller.is_due(now):
            return
        member.metadata, has_changed = controller.report(now)
        if has_changed:
            member.gossip_soon(now)
        proposal = controller.next_proposal(
            now, controller.on_reports(member.metadata_by_member(now))
        )
        if proposal is not None and member.member_status(now) is MemberStatus.ACTIVE:
            self.propose_zone_policy(proposal[0])

    def receive(self, sender: str, message: Message) -> None:
        """Receive a datagram."""
        if self.up and not self.paused:  # shortcut for `guarded` in the hot path
            self._on_message(sender, message)
        else:
            self.guarded(lambda: self._on_message(sender, message))()

    def _on_message(self, sender: str, message: Message) -> None:
        assert self.member is not None
        self.member.on_message(sender, message, self.clock())
        self._process_effects()

    def _try_write(self) -> None:
        """Perform a random act if the applied versions permit it now."""
        assert self.member is not None
        act = self._act_rng.randrange(self.world.acts)
        is_permitted = self.applied_versions is not None and act in self.permitted_acts
        is_permitted = is_permitted and str(act) not in self.inactive_nodes
        if is_permitted and self.member.member_status(self.clock()) is MemberStatus.ACTIVE:
            assert self.applied_versions is not None
            zone = self.world.zones.get(str(act))
            if self.controller is not None and zone is not None:
                self.controller.record(
                    str(act), zone in self.world.failed_zones, False, self.clock()
                )
            self.world.checker.on_write(
                WriteEvent(self.kernel.now, self.name, act, self.applied_versions.revision)
            )
        self.kernel.after(self.world.write_interval, self.guarded(self._try_write))

    # --- Effects

    def perform(self, effect: Send | ApplyVersions | JobCompleted | LogEvent) -> None:
        """Perform an effect of the core other than a write to the disk."""
        world = self.world
        if isinstance(effect, Send):
            world.network.send(self.name, effect.to, effect.message)
        elif isinstance(effect, ApplyVersions):
            world.checker.on_apply_requested(self.name, effect.versions)
            delay = int(self._rng.integers(*APPLY_DURATION_RANGE))
            self._apply_completes_at = max(self._apply_completes_at, self.kernel.now) + delay
            self.kernel.at(
                self._apply_completes_at, self.guarded(lambda: self._apply(effect.versions))
            )
        elif isinstance(effect, JobCompleted):
            if effect.job in self.change_ids:
                world.checker.on_result(self.name, effect, self.change_ids[effect.job])
            self.completed_jobs[effect.job] = effect
            self.log.append((self.kernel.now, f"job {effect.job} {effect.result.value}"))
        else:
            self.log.append((self.kernel.now, f"{effect.event} {effect.fields}"))

    def _apply(self, versions: AppliedVersions) -> None:
        assert self.member is not None
        self.applied_versions = versions
        self.permitted_acts = self._read_permitted(versions.active)
        if versions.pending is not None:
            self.permitted_acts &= self._read_permitted(versions.pending)
        if self.controller is not None and versions.traffic_policy is not None:
            policy = decode(self.member.contents.read(versions.traffic_policy.digest))
            nodes = {"all": self.world.zones}
            self.controller.apply(versions.traffic_policy.serial, policy, nodes, self.clock())
            self.inactive_nodes = inactive_nodes_by_pool(policy, nodes)
        self.world.checker.on_applied(self.kernel.now, versions)
        self.member.confirm_applied(versions.revision, self.clock())
        self._process_effects()

    def _read_permitted(self, version: Version) -> frozenset[int]:
        """Return the acts that a version permits, read from this member's pages."""
        assert self.member is not None
        root = root_of(version.digest)
        assert root is not None
        try:
            acts = permitted(self.member.contents, root)
        except KeyError as error:
            raise InvariantViolationError(
                f"1: {self.name} applies {version} without its page {error}"
            ) from None
        assert acts == self.world.permitted(version.digest), version
        return acts

    def on_synced(self, persist: Persist) -> None:
        """Record a completed sync, and check the vote in it."""
        super().on_synced(persist)
        vote = persist.items.get(VOTE_KEY)
        if vote is not None:
            has = partial(is_on_disk, self.disk.synced)
            self.world.checker.on_vote(self.name, vote, has)

    # --- Operators' requests

    def propose(self, flip: int, weight: int) -> None:
        """Propose to flip whether an act is permitted; `flip` < 0 only changes the weight."""
        if not self.up or self.paused or self.member is None or self.member.chosen is None:
            return
        active = self.member.chosen.state.active
        if active.digest not in self.world.acts_by_digest:
            return
        old = self.world.permitted(active.digest)
        new = old ^ {flip} if 0 <= flip < ACT_COUNT else old
        self.propose_version(active, frozenset(new), weight)

    def propose_version(self, base: Version, new: frozenset[int], weight: int) -> int:
        """Propose a version made from `base` that permits these acts; return the job's number."""
        assert self.member is not None
        contents = self.world.contents
        store = self.member.contents
        tree = contents.tree(new, weight)
        old = self.world.permitted(base.digest)
        root = None
        if store.has(base.digest):
            root = root_of(base.digest)
        if root is not None:
            changed = contents.updated(store, root, old, new, weight)
            assert changed.root == tree.root, (
                "the updated tree differs from the one built from the same entries"
            )
            tree = changed
        self.world.acts_by_digest[tree_digest(tree.root)] = new
        waits = new != old
        return self._record_change(self.member.propose(tree, base.serial, waits, "model", 0))

    def _record_change(self, job: int) -> int:
        """Record the id that the core gave to a job's change, for the checker; return the job."""
        assert self.member is not None
        self.change_ids[job] = f"{self.name}-{self.member.boot:x}-{job - 1}"
        self._process_effects()
        return job

    def propose_traffic_policy(self, weight: int) -> None:
        """Propose another traffic policy, which neither permits nor forbids an act."""
        if not self.up or self.paused or self.member is None or self.applied_versions is None:
            return
        current = self.applied_versions.traffic_policy
        content = msgspec.json.encode({"weight": weight})
        self._record_change(
            self.member.propose_traffic_policy(
                content, 0 if current is None else current.serial, "model", 0
            )
        )

    def propose_zone_policy(self, policy: TrafficPolicy) -> int:
        """Propose a traffic policy for the zones; return the job's number."""
        assert self.member is not None
        assert self.controller is not None
        return self._record_change(
            self.member.propose_traffic_policy(policy.encode(), self.controller.serial, "model", 0)
        )

    def begin_job(self, begin: Callable[[Member], int | None]) -> int | None:
        """Have the core begin a job; return its number, or None if it can't begin one now."""
        assert self.member is not None
        job = begin(self.member)
        self._process_effects()
        return job

    def evict_if_allowed(self, name: str, min_silence: int) -> bool:
        """Evict a member as an operator, if it is configured and evictable; return whether it was.

        `min_silence` is how long it must have been silent, in microseconds.
        """
        assert self.member is not None
        if not self.member.is_caught_up() or name not in self.member.configuration.members:
            return False
        if self.member.why_not_evictable(name, min_silence, self.clock()):
            return False
        self.begin_job(lambda member: member.evict(name))
        return True

    def withdraw(self) -> None:
        """Withdraw the pending version."""
        if self.up and not self.paused and self.member is not None and self.member.chosen:
            pending = self.member.chosen.state.pending
            if pending is not None:
                self.member.withdraw(pending.serial)
                self._process_effects()
