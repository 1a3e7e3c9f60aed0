"""Operators' commands in the fleet model: sent to a member, and finished by the daemon's rules."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from ..daemon.tier_source import DECISION_TIMEOUT
from ..model.tier import TierProcess, World
from ..tier.effects import JobCompleted, ProposalResult
from ..tier.member import Member, MemberStatus
from ..tier.messages import Version
from ..zones.traffic_policy import TrafficPolicyError
from .scenario import ScenarioStep
from .tier import ZONES

S: Final = 1_000_000


@dataclass
class PendingCommand:
    """An operator's command at one gateway, and its result once it has one."""

    step: ScenarioStep
    process: TierProcess
    asked: int
    incarnation: int
    job: int | None = None
    version: Version | None = None
    since: int = 0  # when the version was decided
    end: str = ""
    ended: int = 0


class ModelledCommands:
    """The commands of a play."""

    def __init__(self, world: World, nodes: int, within: int) -> None:
        """Send no command yet.

        Args:
            world: The tier in the model.
            nodes: How many nodes there are; the two actions after theirs pay out at the pools.
            within: The microseconds for which a command waits for a decided version.
        """
        self.world = world
        self.nodes = nodes
        self.within = within
        self.pending: list[PendingCommand] = []

    def have_ended(self) -> bool:
        """Return whether all commands have a result."""
        return all(command.end for command in self.pending)

    def send(self, step: ScenarioStep, process: TierProcess) -> None:
        """Send a step's command to a gateway."""
        command = PendingCommand(step, process, self.world.kernel.now, process.incarnation)
        self.pending.append(command)
        member = process.member
        if not process.up or process.paused or member is None or process.applied_versions is None:
            self._finish_command(command, "refused")
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
                self._finish_command(command, "refused")
                return
            command.job = process.begin_job(
                lambda m: m.evict(name) if gone else m.admit(name, "h:1")
            )
        elif step.do in ZONES:
            command.job = self._send_zone_command(step, process)
        elif step.do == "withdraw":
            pending = None if member.chosen is None else member.chosen.state.pending
            command.job = (
                None if pending is None else process.begin_job(lambda m: m.withdraw(pending.serial))
            )
        elif is_active(process):
            self._propose(command)
        if command.job is None:
            self._finish_command(command, "refused")

    def _propose(self, command: PendingCommand) -> None:
        """Propose a version made from the one that the process has applied."""
        process = command.process
        assert process.applied_versions is not None
        base = process.applied_versions.active
        old = self.world.permitted(base.digest)
        new, weight = self._desired_actions(command.step, old)
        if new == old and not weight:
            command.job = process.begin_job(Member.read)
            command.version = base
        else:
            command.job = process.propose_version(base, new, weight)
            command.version = None

    def _repeat_on_latest(self, command: PendingCommand, active: Version) -> None:
        """Repeat a ban, which is made from no version, once the process has applied a newer one."""
        applied = command.process.applied_versions
        if self.world.kernel.now - command.asked >= self.within:
            self._finish_command(command, "stale")
        elif applied is not None and applied.active.serial >= active.serial:
            self._propose(command)

    def _send_zone_command(self, step: ScenarioStep, process: TierProcess) -> int | None:
        controller = process.controller
        assert controller is not None
        if not is_active(process):
            return None
        try:
            policy = controller.operator_request(step.do, step.node, "lab", "model", None)
        except TrafficPolicyError:
            return None
        return process.propose_zone_policy(policy)

    def _desired_actions(
        self, step: ScenarioStep, old: frozenset[int]
    ) -> tuple[frozenset[int], int]:
        here = self.nodes
        spare = self.nodes + 1
        if step.do == "reroute":
            return (old - {here, spare}) | {spare if step.value else here}, 0
        if step.do == "weigh":
            return old, 1 + len(self.pending)
        act = int(step.node[1:]) - 1
        return (old | {act} if step.do == "unban" else old - {act}), 0

    def update(self) -> None:
        """Update all commands that have no result yet."""
        for command in self.pending:
            if not command.end:
                self._update_command(command)

    def _update_command(self, command: PendingCommand) -> None:
        process = command.process
        if not process.up or process.incarnation != command.incarnation:
            self._finish_command(command, "refused")  # the operator's connection was lost
        elif command.since:
            self._await_application(command)
        else:
            assert command.job is not None
            done = process.completed_jobs.get(command.job)
            if done is not None:
                self._on_completed(command, done)
            elif self.world.kernel.now - command.asked >= DECISION_TIMEOUT * S:
                self._finish_command(command, "refused")

    def _await_application(self, command: PendingCommand) -> None:
        """Finish a command whose version is decided once the process has applied it, or later."""
        process = command.process
        assert process.member is not None
        assert command.version is not None
        applied = process.applied_versions
        if applied is not None and applied.active.serial >= command.version.serial:
            was_active = process.member.was_active(command.version.serial)
            self._finish_command(command, "active" if was_active else "refused")
        elif self.world.kernel.now - command.since >= self.within:
            self._finish_command(command, "pending")

    def _on_completed(self, command: PendingCommand, done: JobCompleted) -> None:
        if command.step.do in ZONES:
            self._await_confirmations(command, done)
        elif command.step.do in ("withdraw", "gone", "join"):
            is_done = done.result is ProposalResult.ACTIVE
            self._finish_command(command, "active" if is_done else "refused")
        elif command.version is not None:
            # There was nothing to change, if the base is still the latest version.
            head = done.state
            if head.active.serial == command.version.serial and head.pending is None:
                self._finish_command(command, "active")
            else:
                self._on_stale(command, done)
        elif done.result is ProposalResult.UNKNOWN:
            self._finish_command(command, "refused")
        elif done.version is None:
            self._on_stale(command, done)
        else:
            command.version = done.version
            command.since = self.world.kernel.now

    def _await_confirmations(self, command: PendingCommand, done: JobCompleted) -> None:
        """Finish an order about zones once all live members have applied it."""
        member = command.process.member
        if done.result is not ProposalResult.ACTIVE:
            self._finish_command(command, "refused")
        elif member is not None and _all_confirmed(member, done.state.revision):
            self._finish_command(command, "active")
        elif self.world.kernel.now - command.asked >= self.within:
            self._finish_command(command, "pending")

    def _on_stale(self, command: PendingCommand, done: JobCompleted) -> None:
        """Refuse a command whose base is not active, or repeat it if it was made from none."""
        if command.step.do in ("ban", "unban") and done.state.pending is None:
            self._repeat_on_latest(command, done.state.active)
        else:
            self._finish_command(command, "stale")

    def _finish_command(self, command: PendingCommand, end: str) -> None:
        command.end = end
        command.ended = self.world.kernel.now


def is_active(process: TierProcess) -> bool:
    """Return whether a process runs and its member may act."""
    if process.member is None or not process.up:
        return False
    return process.member.member_status(process.clock()) is MemberStatus.ACTIVE


def _all_confirmed(member: Member, revision: int) -> bool:
    return member.confirmed_revision >= revision and not member.members_behind()
