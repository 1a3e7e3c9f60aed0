"""The model's world: a tier of processes, its network, and the checks of the promises."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Final

from ..tier.config import TierConfig
from ..tier.content_store import tree_digest
from ..tier.member import Member
from ..tier.messages import Message
from .contents import DEFAULT_CONTENTS, Contents
from .invariants import InvariantChecker
from .kernel import Kernel
from .network import Network
from .tier_process import ACT_COUNT, WRITE_INTERVAL, TierProcess

__all__ = ["ACT_COUNT", "TierProcess", "World"]

REACHABILITY_CHECK_INTERVAL: Final = 50_000  # us
MAX_RELIABLE_LOSS: Final = 0.3  # of datagrams; above it, members may declare live ones dead


class World:
    """A tier of members, of which the first `voters` vote."""

    def __init__(
        self,
        seed: int,
        members: int = 5,
        voters: int = 3,
        lease: int | None = None,
        beat: int = 200_000,
        write_interval: int = WRITE_INTERVAL,
        late: Collection[str] = (),
        first: Collection[int] = range(0, ACT_COUNT, 2),
        acts: int = ACT_COUNT,
        zones: Mapping[str, str] | None = None,
        step: int = 1_000_000,
        act: bool = False,
        contents: Contents = DEFAULT_CONTENTS,
    ) -> None:
        """Create the processes.

        Args:
            seed: The seed of all random numbers.
            members: The number of members.
            voters: The number of members that vote.
            lease: The length of a member's lease in microseconds, if members hold one.
            beat: Microseconds between two ticks of a member's core.
            write_interval: Microseconds between two writes of a process.
            late: Members that are in no other's configuration file; the caller starts them.
            first: The acts that the first version permits.
            acts: The number of different acts.
            zones: The zone of each act that sends to a node, by the act's number as text.
            step: Microseconds that a step of a zone's recovery ramp takes.
            act: Whether members stop sending to a zone that the fleet considers down.
            contents: The builder of the versions' trees.
        """
        self.kernel = Kernel(seed)
        self.network = Network(self.kernel, self._deliver)
        self.names = tuple(f"g{i + 1}" for i in range(members))
        self.voters = self.names[:voters]
        self.lease = lease
        self.heartbeat_interval = beat
        self.write_interval = write_interval
        self.late_members = frozenset(late)
        self.zones = dict(zones or {})
        self.step = step
        self.act = act
        self.failed_zones: set[str] = set()  # zones whose nodes fail every request
        self._last_unreachable = dict.fromkeys(self.names, 0)  # time, by member
        self.initially_permitted = frozenset(first)
        self.acts = acts
        self.contents = contents
        self.bootstrap_tree = contents.tree(self.initially_permitted, 0)
        # What each version permits, by its digest.
        self.acts_by_digest = {tree_digest(self.bootstrap_tree.root): self.initially_permitted}
        self.checker = InvariantChecker(
            self.voters, lambda digest, act: act in self.permitted(digest)
        )
        self.processes: dict[str, TierProcess] = {}
        rates = self.kernel.stream("rates").uniform(0.99, 1.01, members)
        for name, rate in zip(self.names, rates, strict=True):
            self.processes[name] = TierProcess(self, name, float(rate))

    def config_of(self, name: str) -> TierConfig:
        """Return a member's configuration file."""
        peers = tuple(peer for peer in self.names if peer == name or peer not in self.late_members)
        return TierConfig(name, self.voters, peers, self.lease)

    def zone_of(self, name: str) -> str:
        """Return a member's zone; members are assigned to the zones in turn."""
        zones = sorted(set(self.zones.values()))
        return zones[self.names.index(name) % len(zones)]

    def permitted(self, digest: str) -> frozenset[int]:
        """Return the acts that a version permits."""
        return self.acts_by_digest[digest]

    def _deliver(self, sender: str, to: str, message: Message) -> None:
        self.processes[to].receive(sender, message)

    def start(self) -> None:
        """Start all processes but the late ones, within half a second and in random order."""
        self._track_reachability()
        for name, process in self.processes.items():
            delay = int(self.kernel.stream(f"start {name}").integers(500_000))
            if name not in self.late_members:
                self.kernel.after(delay, process.start)

    def _track_reachability(self) -> None:
        """Record which members can't be expected to communicate now."""
        now = self.kernel.now
        network = self.network
        for name, process in self.processes.items():
            unreachable = not process.up or process.paused or process.disk_is_failing
            if unreachable or network.loss > MAX_RELIABLE_LOSS:
                self._last_unreachable[name] = now
        for link in network.cuts:
            for name in link:
                self._last_unreachable[name] = now
        self.kernel.after(REACHABILITY_CHECK_INTERVAL, self._track_reachability)

    def check_declared_dead(self, observer: str, name: str) -> None:
        """Check promise 5 for a member that another has declared dead."""
        since = max(self._last_unreachable[observer], self._last_unreachable[name])
        self.checker.on_declared_dead(self.kernel.now, observer, name, since)

    def _live_members(self) -> dict[str, Member]:
        """Return the cores of the processes that are up, by name."""
        return {
            process.name: process.member
            for process in self.processes.values()
            if process.up and process.member is not None
        }

    def check_latest_known(self) -> None:
        """Check promise 4: all live members know the latest state."""
        self.checker.check_latest_known(
            {
                name: 0 if member.chosen is None else member.chosen.state.revision
                for name, member in self._live_members().items()
            }
        )

    def check_end(self) -> None:
        """Check promises 4 and 5 for all live members."""
        self.check_settled()
        self.check_liveness()

    def check_settled(self) -> None:
        """Check promise 4 for all live members."""
        self.check_latest_known()
        statuses = {}
        revisions = {}
        for name, member in self._live_members().items():
            process = self.processes[name]
            statuses[name] = member.member_status(process.clock())
            revisions[name] = (
                0 if process.applied_versions is None else process.applied_versions.revision
            )
        self.checker.check_ended(statuses, revisions)

    def check_liveness(self) -> None:
        """Check promise 5: all live members declare exactly the others dead."""
        live = self._live_members()
        for name, member in live.items():
            dead = set(member.prober.dead_members())
            self.checker.check_liveness(name, dead, set(live), self.names)
