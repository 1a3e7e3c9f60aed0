"""Plays the lab's scenarios in the fleet model: the same steps and tier members, no processes.

Nodes and routes become actions that a version permits: action `i` is sending to node `i`, two more
are paying out at the first pool and at the spare one. `modelled_commands` has the operators'
commands, and `model_comparison` compares a play by processes with plays in the model.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

from ..daemon.schema import read_duration
from ..daemon.tier_link import HEARTBEAT_INTERVAL
from ..daemon.tier_source import LEAVE_TIMEOUT
from ..model.invariants import InvariantViolationError
from ..model.tier import TierProcess, World
from ..tier.member import Member
from .judge import CommandResult
from .modelled_commands import ModelledCommands, is_active
from .scenario import Scenario, ScenarioStep
from .tier import COMMANDS

S: Final = 1_000_000
POLL_INTERVAL: Final = S // 50  # us of virtual time
WAIT_TIMEOUT: Final = 60 * S  # us that a step waits for its condition


@dataclass
class ModelPlay:
    """The result of a play in the model."""

    command_results: list[CommandResult] = field(default_factory=list)
    broken: str = ""


class Player:
    """Plays one scenario with one seed."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.nodes = scenario.nodes
        lease = None if scenario.lease is None else read_duration(scenario.lease)
        self.within = read_duration(scenario.agree_within)
        # At first all nodes may be sent to, and payouts go to the first pool.
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
        self.commands = ModelledCommands(self.world, self.nodes, self.within)

    def _zones(self) -> dict[str, str]:
        zone_of = self.scenario.zone_of
        nodes = range(self.nodes)
        return {str(i): zone_of(f"n{i + 1}") for i in nodes} if self.scenario.zones else {}

    def play(self) -> ModelPlay:
        """Play all steps, with the model's invariant checks."""
        play = ModelPlay()
        try:
            self._play()
        except InvariantViolationError as error:
            play.broken = str(error)
        for command in self.commands.pending:
            command_result = CommandResult(
                command.step,
                command.process.name,
                command.asked / S,
                command.ended / S,
                command.end or "refused",
                "",
            )
            play.command_results.append(command_result)
        return play

    def _play(self) -> None:
        world = self.world
        world.start()
        first = [name for name in world.names if name not in self.scenario.late]
        self._wait_until(lambda: all(self._is_active(name) for name in first), "all members are in")
        began = world.kernel.now
        for step in self.scenario.steps:
            self._run_until(began + int(step.at * S))
            self._do(step)
        self._run_until(began + int(self.scenario.seconds * S))
        self._wait_until(self.commands.have_ended, "all commands end")

    def _run_until(self, until: int) -> None:
        while self.world.kernel.now < until:
            self.world.kernel.run(min(until, self.world.kernel.now + POLL_INTERVAL))
            self.commands.update()

    def _wait_until(self, condition: Callable[[], bool], what: str) -> None:
        limit = self.world.kernel.now + WAIT_TIMEOUT
        while not condition():
            if self.world.kernel.now >= limit:
                raise InvariantViolationError(f"4: timed out after {WAIT_TIMEOUT // S} s: {what}")
            self._run_until(self.world.kernel.now + POLL_INTERVAL)

    # --- Conditions

    def _member(self, name: str) -> Member:
        member = self.world.processes[name].member
        assert member is not None
        return member

    def _is_active(self, name: str) -> bool:
        return is_active(self.world.processes[name])

    def _agree(self, names: Sequence[str]) -> bool:
        running = [name for name in names if self.world.processes[name].up]
        chosen_states = [self._member(name).chosen for name in running]
        turns = {0 if known is None else known.state.revision for known in chosen_states}
        settled = all(known is not None and known.state.pending is None for known in chosen_states)
        confirmed = all(self._member(name).confirmed_revision in turns for name in running)
        voters = [voter for name in running if (voter := self._member(name).voter) is not None]
        is_agreed = (
            settled and confirmed and len(turns) == 1 and all(voter.is_voting for voter in voters)
        )
        return is_agreed and all(self._is_active(name) for name in running)

    def _is_back(self, step: ScenarioStep) -> bool:
        controllers = [self.world.processes[name].controller for name in step.who]
        return all(
            controller is not None and step.node not in controller.traffic_policy.zones
            for controller in controllers
        )

    def _is_left(self, step: ScenarioStep) -> bool:
        controllers = [self.world.processes[name].controller for name in step.who]
        orders = [None if h is None else h.traffic_policy.zones.get(step.node) for h in controllers]
        return all(order is not None and not order.share for order in orders)

    # --- Steps

    def _do(self, step: ScenarioStep) -> None:
        network = self.world.network
        names = step.who or list(self.world.names)
        if step.do in COMMANDS:
            for name in step.who:
                self.commands.send(step, self.world.processes[name])
        elif step.do == "await":
            self._wait_until(self.commands.have_ended, "all commands end")
        elif step.do == "agree":
            self._wait_until(lambda: self._agree(names), "all agree")
        elif step.do == "dead":
            self._wait_until(
                lambda: all(
                    set(step.to) <= set(self._member(name).prober.dead_members())
                    for name in step.who
                ),
                f"{', '.join(step.to)} declared dead",
            )
        elif step.do == "back":
            self._wait_until(lambda: self._is_back(step), f"{step.node} is back")
        elif step.do == "left":
            began = self.world.kernel.now
            self._wait_until(lambda: self._is_left(step), f"{step.node} is left")
            if self.world.kernel.now - began > step.value * S:
                raise InvariantViolationError(f"6: {step.node} is left too late")
        elif step.do in ("freeze", "thaw"):
            frozen = self.world.failed_zones
            (frozen.add if step.do == "freeze" else frozen.discard)(step.node)
        elif step.do in ("cut", "heal"):
            self._set_cuts(step)
        elif step.do in ("loss", "garble"):  # a corrupted datagram fails authentication: it is lost
            network.loss = 1 - (1 - network.loss) * (1 - step.value)
        elif step.do in ("double", "replay"):
            network.duplication = max(network.duplication, step.value)
        elif step.do == "delay":
            network.jitter = int(step.value * S)
        else:
            for name in step.who:
                self._fault(step, self.world.processes[name])

    def _set_cuts(self, step: ScenarioStep) -> None:
        cuts = self.world.network.cuts
        names = self.world.names
        links = {(a, b) for a in step.who for b in step.to or names}
        if step.do == "cut":
            cuts |= links
        elif step.who:
            cuts -= links
        else:
            cuts.clear()

    def _fault(self, step: ScenarioStep, process: TierProcess) -> None:
        disk = process.disk
        if step.do == "pause":
            process.pause()
        elif step.do == "wake":
            process.resume()
        elif step.do == "kill":
            process.kill()
        elif step.do == "stop":
            process.begin_job(Member.leave)
            self._run_until(self.world.kernel.now + int(LEAVE_TIMEOUT * S))
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


def play_modelled(scenario: Scenario, seeds: Sequence[int]) -> list[ModelPlay]:
    """Play the scenario in the model, once with each seed."""
    return [Player(scenario, seed).play() for seed in seeds]
