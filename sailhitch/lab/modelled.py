"""The scenarios of the lab in the fleet model: the same steps, the same cores, no processes.

Nodes and routes become acts that a version permits: act `i` is sending to node `i`, two more are
paying out at the first pool and at the spare one. What an operator's command would be told follows
from the core's answer by the daemon's rules. `compare` holds both plays against each other.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

from ..daemon.schema import read_duration
from ..daemon.tier_link import HEARTBEAT_INTERVAL
from ..daemon.tier_source import DECISION_TIMEOUT, LEAVE_TIMEOUT
from ..model.invariants import InvariantViolationError
from ..model.tier import TierProcess, World
from ..tier.effects import ProposalResult
from ..tier.member import Member, MemberStatus
from ..tier.messages import Version
from ..zones.traffic_policy import TrafficPolicyError
from .judge import Result, Told
from .scenario import Scenario, StepPart
from .tier import COMMANDS, ZONES

S: Final = 1_000_000
STEP: Final = S // 50  # us of virtual time between two looks
PATIENCE: Final = 60 * S  # us for what a step waits for


@dataclass
class _Command:
    """What an operator has asked for at one gateway, until he is told how it ended."""

    step: StepPart
    process: TierProcess
    asked: int
    life: int
    job: int | None = None
    version: Version | None = None
    since: int = 0  # when the version was decided
    end: str = ""
    ended: int = 0


@dataclass
class ModelPlay:
    """What a play in the model came to."""

    told: list[Told] = field(default_factory=list)
    broken: str = ""


class Player:
    """Plays one scenario by one seed."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.nodes = scenario.nodes
        lease = None if scenario.lease is None else read_duration(scenario.lease)
        self.within = read_duration(scenario.agree_within)
        # All nodes may be sent to, and payouts go to the first pool.
        self.world = World(
            seed,
            scenario.gateways,
            scenario.voters,
            lease,
            beat=int(HEARTBEAT_INTERVAL * S),
            late=scenario.late,
            first=range(self.nodes + 1),
            acts=self.nodes + 2,
            zones=self._zones(),
            step=read_duration(scenario.step),
            act=scenario.mode == "act",
        )
        self.commands: list[_Command] = []

    def _zones(self) -> dict[str, str]:
        zone_of = self.scenario.zone_of
        nodes = range(self.nodes)
        return {str(i): zone_of(f"n{i + 1}") for i in nodes} if self.scenario.zones else {}

    def play(self) -> ModelPlay:
        """Have everything happen, each look at the truth included."""
        play = ModelPlay()
        try:
            self._play()
        except InvariantViolationError as error:
            play.broken = str(error)
        for one in self.commands:
            told = Told(
                one.step, one.process.name, one.asked / S, one.ended / S, one.end or "refused", ""
            )
            play.told.append(told)
        return play

    def _play(self) -> None:
        world = self.world
        world.start()
        first = [name for name in world.names if name not in self.scenario.late]
        self._until(lambda: all(self._is_in(name) for name in first), "all members are in")
        began = world.kernel.now
        for step in self.scenario.steps:
            self._go_on(began + int(step.at * S))
            self._do(step)
        self._go_on(began + int(self.scenario.seconds * S))
        self._until(lambda: all(one.end for one in self.commands), "all commands end")

    def _go_on(self, until: int) -> None:
        while self.world.kernel.now < until:
            self.world.kernel.run(min(until, self.world.kernel.now + STEP))
            self._look()

    def _until(self, good: Callable[[], bool], what: str) -> None:
        limit = self.world.kernel.now + PATIENCE
        while not good():
            if self.world.kernel.now >= limit:
                raise InvariantViolationError(f"4: not within {PATIENCE // S} s: {what}")
            self._go_on(self.world.kernel.now + STEP)

    # --- Conditions

    def _member(self, name: str) -> Member:
        member = self.world.processes[name].member
        assert member is not None
        return member

    def _is_in(self, name: str) -> bool:
        process = self.world.processes[name]
        if process.member is None or not process.up:
            return False
        return process.member.member_status(process.clock()) is MemberStatus.ACTIVE

    def _agree(self, names: Sequence[str]) -> bool:
        running = [name for name in names if self.world.processes[name].up]
        heads = [self._member(name).chosen for name in running]
        turns = {0 if known is None else known.state.revision for known in heads}
        settled = all(known is not None and known.state.pending is None for known in heads)
        acted = all(self._member(name).confirmed_revision in turns for name in running)
        voters = [voter for name in running if (voter := self._member(name).voter) is not None]
        good = settled and acted and len(turns) == 1 and all(voter.is_voting for voter in voters)
        return good and all(self._is_in(name) for name in running)

    def _all_go_along(self, member: Member, turn: int) -> bool:
        return member.confirmed_revision >= turn and not member.members_behind()

    def _is_back(self, step: StepPart) -> bool:
        controllers = [self.world.processes[name].controller for name in step.who]
        return all(
            controller is not None and step.node not in controller.traffic_policy.zones
            for controller in controllers
        )

    def _is_left(self, step: StepPart) -> bool:
        controllers = [self.world.processes[name].controller for name in step.who]
        orders = [None if h is None else h.traffic_policy.zones.get(step.node) for h in controllers]
        return all(order is not None and not order.share for order in orders)

    # --- Steps

    def _do(self, step: StepPart) -> None:
        network = self.world.network
        names = step.who or list(self.world.names)
        if step.do in COMMANDS:
            for name in step.who:
                self._ask(step, self.world.processes[name])
        elif step.do == "await":
            self._until(lambda: all(one.end for one in self.commands), "all commands end")
        elif step.do == "agree":
            self._until(lambda: self._agree(names), "all agree")
        elif step.do == "dead":
            self._until(
                lambda: all(
                    set(step.to) <= set(self._member(name).prober.dead_members())
                    for name in step.who
                ),
                f"{', '.join(step.to)} told dead",
            )
        elif step.do == "back":
            self._until(lambda: self._is_back(step), f"{step.node} is back")
        elif step.do == "left":
            began = self.world.kernel.now
            self._until(lambda: self._is_left(step), f"{step.node} is left")
            if self.world.kernel.now - began > step.value * S:
                raise InvariantViolationError(f"6: {step.node} is left too late")
        elif step.do in ("freeze", "thaw"):
            frozen = self.world.failed_zones
            (frozen.add if step.do == "freeze" else frozen.discard)(step.node)
        elif step.do in ("cut", "heal"):
            self._cut(step)
        elif step.do in ("loss", "garble"):  # what is garbled is not opened: it is lost
            network.loss = 1 - (1 - network.loss) * (1 - step.value)
        elif step.do in ("double", "replay"):
            network.duplication = max(network.duplication, step.value)
        elif step.do == "delay":
            network.jitter = int(step.value * S)
        else:
            for name in step.who:
                self._fault(step, self.world.processes[name])

    def _cut(self, step: StepPart) -> None:
        cuts = self.world.network.cuts
        names = self.world.names
        links = {(a, b) for a in step.who for b in step.to or names}
        if step.do == "cut":
            cuts |= links
        elif step.who:
            cuts -= links
        else:
            cuts.clear()

    def _fault(self, step: StepPart, process: TierProcess) -> None:
        disk = process.disk
        if step.do == "pause":
            process.pause()
        elif step.do == "wake":
            process.resume()
        elif step.do == "kill":
            process.kill()
        elif step.do == "stop":
            process.begin_job(Member.leave)
            self._go_on(self.world.kernel.now + int(LEAVE_TIMEOUT * S))
            process.kill()
        elif step.do == "start":
            disk.full = False
            process.start()
        elif step.do == "copy_disk":
            disk.take_snapshot()
        elif step.do == "old_disk":
            disk.synced = dict(disk.snapshots[-1])
        elif step.do == "lost_disk":
            disk.erase()
        else:
            assert step.do == "full_disk", step.do
            disk.full = True

    # --- Commands

    def _ask(self, step: StepPart, process: TierProcess) -> None:
        one = _Command(step, process, self.world.kernel.now, process.incarnation)
        self.commands.append(one)
        member = process.member
        if not process.up or process.paused or member is None or process.applied_versions is None:
            self._end(one, "refused")
            return
        name = step.to[0] if step.do == "join" else step.node
        if step.do in ("gone", "join"):
            gone = step.do == "gone"
            why = (
                member.why_not_evictable(name, self.within, process.clock())
                if gone
                else (member.why_not_admitted(name))
            )
            if why:
                self._end(one, "refused")
                return
            one.job = process.begin_job(lambda m: m.evict(name) if gone else m.admit(name, "h:1"))
        elif step.do in ZONES:
            one.job = self._ask_zones(step, process)
        elif step.do == "withdraw":
            pending = None if member.chosen is None else member.chosen.state.pending
            one.job = (
                None if pending is None else process.begin_job(lambda m: m.withdraw(pending.serial))
            )
        elif self._is_in(process.name):
            base = process.applied_versions.active
            old = self.world.permitted(base.digest)
            new, weight = self._wanted(step, old)
            if new == old and not weight:
                one.job = process.begin_job(Member.read)
                one.version = base
            else:
                one.job = process.propose_version(base, new, weight)
        if one.job is None:
            self._end(one, "refused")

    def _ask_zones(self, step: StepPart, process: TierProcess) -> int | None:
        controller = process.controller
        assert controller is not None
        if not self._is_in(process.name):
            return None
        try:
            posture = controller.operator_request(step.do, step.node, "lab", "model", None)
        except TrafficPolicyError:
            return None
        return process.propose_zone_policy(posture)

    def _wanted(self, step: StepPart, old: frozenset[int]) -> tuple[frozenset[int], int]:
        here = self.nodes
        spare = self.nodes + 1
        if step.do == "reroute":
            return (old - {here, spare}) | {spare if step.value else here}, 0
        if step.do == "weigh":
            return old, 1 + len(self.commands)
        act = int(step.node[1:]) - 1
        return (old | {act} if step.do == "unban" else old - {act}), 0

    def _look(self) -> None:
        """Tell operators what has ended."""
        for one in self.commands:
            if not one.end:
                self._follow(one)

    def _follow(self, one: _Command) -> None:
        now = self.world.kernel.now
        process = one.process
        if not process.up or process.incarnation != one.life:
            self._end(one, "refused")  # whoever asked lost his connection
            return
        assert one.job is not None
        if one.since:
            assert one.version is not None
            if (
                process.applied_versions is not None
                and process.applied_versions.active.serial >= one.version.serial
            ):
                same = process.applied_versions.active.serial == one.version.serial
                self._end(one, "active" if same else "refused")
            elif now - one.since >= self.within:
                self._end(one, "pending")
            return
        done = process.completed_jobs.get(one.job)
        if done is None:
            if now - one.asked >= DECISION_TIMEOUT * S:
                self._end(one, "refused")
        elif one.step.do in ZONES:
            if done.result is not ProposalResult.ACTIVE:
                self._end(one, "refused")
            elif process.member is not None and self._all_go_along(
                process.member, done.state.revision
            ):
                self._end(one, "active")
            elif now - one.asked >= self.within:
                self._end(one, "pending")
        elif one.step.do in ("withdraw", "gone", "join"):
            self._end(one, "active" if done.result is ProposalResult.ACTIVE else "refused")
        elif one.version is not None:  # there was nothing to change, if that was the latest
            head = done.state
            same = head.active.serial == one.version.serial and head.pending is None
            self._end(one, "active" if same else "stale")
        elif done.result in (ProposalResult.STALE, ProposalResult.BUSY):
            self._end(one, "stale")
        else:
            one.version = (
                done.state.active if done.result is ProposalResult.ACTIVE else done.state.pending
            )
            one.since = now

    def _end(self, one: _Command, end: str) -> None:
        one.end = end
        one.ended = self.world.kernel.now


@dataclass
class Comparison:
    """A play by processes beside plays in the model; `differs` has a line for what is unlike."""

    lines: list[str] = field(default_factory=list)
    differs: list[str] = field(default_factory=list)


def play_modelled(scenario: Scenario, seeds: Sequence[int]) -> list[ModelPlay]:
    """Return the scenario in the model, once by each seed."""
    return [Player(scenario, seed).play() for seed in seeds]


def compare(result: Result, plays: Sequence[ModelPlay]) -> Comparison:
    """Each command's end and time beside those in the model, all of one and the same scenario.

    Where a race may end one way or the other, any end that some seed shows is like.
    """
    found = Comparison([f"{'command':<24} {'processes':>16} {'model':>24}"])
    found.differs += [f"in the model: {play.broken}" for play in plays if play.broken]
    steps = result.scenario.steps
    by_key = [_by_key(steps, play.told) for play in plays]
    for key, told in sorted(_by_key(steps, result.told).items()):
        modelled = [play[key] for play in by_key if key in play]
        ends = sorted({one.end for one in modelled})
        times = [one.ended - one.asked for one in modelled]
        what = f"{told.step.do} {told.step.node} at {told.by}"
        span = f"{min(times):.2f} to {max(times):.2f}s" if times else "-"
        took = f"{told.end} {told.ended - told.asked:.2f}s"
        found.lines.append(f"{what:<24} {took:>16} {' or '.join(ends):>9} {span:>16}")
        if told.end not in ends:
            found.differs.append(
                f"{what}: {told.end} by processes, {' or '.join(ends) or 'nothing'} in the model"
            )
    return found


def _by_key(steps: Sequence[StepPart], told: Sequence[Told]) -> dict[tuple[int, str], Told]:
    """Commands by the number of their step and the gateway asked."""
    numbers = {id(step): number for number, step in enumerate(steps)}
    return {(numbers[id(one.step)], one.by): one for one in told}
