"""The commands of operators: proposals, reads, and changes of the configuration."""

from __future__ import annotations

from ..pages import Tree
from .configuration import Configuration
from .configuration_changes import with_address, with_evicted, without_member
from .effects import JobCompleted, ProposalResult
from .messages import ChosenState, Version
from .operator_checks import why_not_admitted, why_not_evictable
from .parts import MemberParts
from .proposal import Proposal
from .proposer import Job
from .register_view import LEFT_KEY, RegisterView
from .transitions import (
    StateChange,
    change_configuration,
    propose_traffic_policy,
    propose_version,
    withdraw,
)


class OperatorCommands:
    """Turns commands into jobs. A job's number comes back in a `JobCompleted` effect."""

    def __init__(self, parts: MemberParts, register: RegisterView, started_at: int) -> None:
        self._parts = parts
        self._name = parts.config.name
        self._exchange = parts.exchange
        self._outbox = parts.outbox
        self._register = register
        self._started_at = started_at
        self._job_count = 0

    def propose(
        self, content: bytes | Tree, base: int, needs_confirmation: bool, operator: str, when: int
    ) -> int:
        """Propose a version made from the active one of serial `base`; return the job's number.

        Args:
            content: The new state. A tree has at least the pages that this member lacks.
            base: The serial of the version that it was made from.
            needs_confirmation: It contradicts its base, so all members have to confirm it first.
            operator: The operator who proposes it, for display.
            when: The time of day in microseconds, for display.

        Raises:
            ValueError: A tree lacks pages that this member lacks too.
        """
        version = self._version(content, base, operator, when)
        proposal = Proposal(version, self._register.active_versions)
        return self._add_job(propose_version(version, needs_confirmation), version.digest, proposal)

    def propose_traffic_policy(self, content: bytes, base: int, operator: str, when: int) -> int:
        """Propose a traffic policy made from that of serial `base`; return the job's number."""
        version = self._version(content, base, operator, when)
        proposal = Proposal(version, self._register.traffic_policies)
        return self._add_job(propose_traffic_policy(version), version.digest, proposal)

    def _version(self, content: bytes | Tree, base: int, operator: str, when: int) -> Version:
        """Return a version to propose, whose serial is assigned later."""
        digest = self._exchange.add_for_job(content)
        change_id = f"{self._name}-{self._parts.boot:x}-{self._job_count}"
        return Version(0, base, digest, self._name, operator, when, change_id)

    def read(self) -> int:
        """Read the register from a majority of voters; return the job's number."""
        return self._add_job(None, None)

    def withdraw(self, serial: int) -> int:
        """Withdraw a pending version; return the job's number."""
        return self._add_job(withdraw(serial), None)

    def why_not_evictable(self, name: str, min_silence: int, now: int) -> str:
        """Return why a member must not be evicted; an empty text permits it.

        It must have given no heartbeat for at least `min_silence` microseconds.
        """
        parts = self._parts
        # Without a record since this member started, the last heartbeat may have come just before.
        age = now - parts.membership.updated_at.get(name, self._started_at)
        may_act = parts.lease is None and name not in parts.prober.dead_members()
        is_member = name in self._register.index.members
        return why_not_evictable(is_member, name == self._name, age, min_silence, may_act)

    def evict(self, name: str) -> int | None:
        """Evict a member, so that changes no longer wait for it.

        Where there are leases, it is granted none from now on, and changes wait until its last one
        has expired. Without leases, the operator is trusted to have ended its process.

        Returns:
            The job's number, or None where this member has to catch up first.
        """
        if not self._register.is_caught_up():
            return None
        has_leases = self._parts.lease is not None
        return self._propose_configuration(
            with_evicted(self._register.configuration, name, has_leases)
        )

    def why_not_admitted(self, name: str) -> str:
        """Return why a member must not be given an address; an empty text permits it."""
        is_member = name in self._register.index.members
        return why_not_admitted(is_member, name in self._parts.prober.dead_members())

    def admit(self, name: str, address: str) -> int | None:
        """Set a member's address (`host:port`), overriding the operator files; it joins by itself.

        Returns:
            The job's number, or None where this member has to catch up first.
        """
        if not self._register.is_caught_up():
            return None
        return self._propose_configuration(
            with_address(self._register.configuration, name, address)
        )

    def leave(self) -> int | None:
        """Leave the tier: from now on this member acts on nothing, and no change waits for it.

        Returns:
            The job's number, or None where this member has to catch up first.
        """
        self._register.has_left = True
        if not self._register.is_caught_up():
            return None
        self._outbox.persist({LEFT_KEY: b"1"})
        return self._propose_configuration(without_member(self._register.configuration, self._name))

    def _propose_configuration(self, configuration: Configuration) -> int:
        chosen = self._register.chosen
        assert chosen is not None
        digest = self._exchange.add_for_job(configuration.encode())
        change = change_configuration(chosen.state.configuration_digest, digest)
        return self._add_job(change, digest)

    def _add_job(
        self, change: StateChange | None, digest: str | None, proposal: Proposal | None = None
    ) -> int:
        """Queue a job; `digest` is that of a content to be offered until the job ends."""
        self._job_count += 1
        number = self._job_count

        def on_completed(chosen: ChosenState | None, result: ProposalResult) -> None:
            if digest is not None:
                self._exchange.release_from_job(digest)
            if chosen is not None:
                self._register.adopt_chosen(chosen, self._name)
                version = None
                if proposal is not None:
                    result, version = proposal.outcome(result, chosen.state, job.may_be_chosen)
                self._outbox.effects.append(JobCompleted(number, result, chosen.state, version))

        job = Job(change, on_completed)
        self._parts.proposer.add(job)
        return number
