"""A member's view of the register: the startup read, the chosen state, and its configuration."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Final

import msgspec

from .active_versions import ActiveVersions
from .config import BootstrapVersion
from .configuration import (
    EMPTY_CONFIGURATION,
    Configuration,
    ConfigurationIndex,
    decode_configuration,
)
from .effects import AppliedVersions, ApplyVersions, ProposalResult
from .messages import ChosenState, RegisterState, Version
from .parts import MemberParts
from .proposer import Job
from .startup_read import NextStep, next_step_after_read
from .transitions import bootstrap

CHOSEN_KEY: Final = "known"  # the key on disk of the latest chosen state
LEFT_KEY: Final = "left"  # the key on disk of a mark that this member may have left
READ_RETRY_INTERVAL: Final = 500_000  # us between two reads of a register that was empty

AdoptionListener = Callable[[], None]
"""Called when a later state is adopted, before it is applied."""


class RegisterView:
    """The latest chosen state that this member knows, and what it has asked its process to apply.

    A state is applied only once this member has its contents and has read the register since its
    start.
    """

    def __init__(
        self,
        parts: MemberParts,
        persisted: Mapping[str, bytes],
        bootstrap_version: BootstrapVersion | None,
        on_adopted: AdoptionListener,
    ) -> None:
        self._parts = parts
        self._config = parts.config
        self._outbox = parts.outbox
        self._exchange = parts.exchange
        self._voter = parts.voter
        self._bootstrap_version = bootstrap_version
        self._on_adopted = on_adopted
        self.active_versions = ActiveVersions()
        self.traffic_policies = ActiveVersions()
        self.chosen: ChosenState | None = None
        if CHOSEN_KEY in persisted:
            self.chosen = msgspec.msgpack.decode(persisted[CHOSEN_KEY], type=ChosenState)
        self._persisted_revision = self.revision
        self._may_have_left = LEFT_KEY in persisted
        self.has_read_register = False
        self.register_regressed = False
        self.has_left = False
        self.fault = ""  # why the process can't apply the latest versions
        self.applying: AppliedVersions | None = None  # what the process was last asked to apply
        self.joined_revision = 0  # the revision at which it became a member, or 0
        self.index = ConfigurationIndex(EMPTY_CONFIGURATION)  # as of the revision caught up with
        self._configuration_digest = ""
        self._caught_up_revision = 0
        self._retry_read = False
        self._retry_read_at = 0

    @property
    def revision(self) -> int:
        """Return the revision of the chosen state, 0 for none."""
        return 0 if self.chosen is None else self.chosen.state.revision

    @property
    def configuration(self) -> Configuration:
        """Return the configuration of the latest state whose contents this member has."""
        return self.index.configuration

    @property
    def knows_configuration(self) -> bool:
        """Return whether a chosen configuration was loaded since the start; before, it is empty."""
        return bool(self._configuration_digest)

    def is_caught_up(self) -> bool:
        """Return whether this member has all contents of the chosen state.

        A new configuration must not be made from that of an older revision, or from the empty one.
        """
        return self.chosen is not None and self._caught_up_revision == self.chosen.state.revision

    def report_apply_failure(self, revision: int, reason: str) -> None:
        """Record that the process can't apply that revision; it stays at an older one."""
        if self.applying is not None and self.applying.revision == revision:
            self.fault = reason or "unknown"

    # --- The startup read

    def begin_startup_read(self) -> None:
        """Read the register for the first time.

        A leave of an earlier incarnation may still be in progress. If it were chosen after this
        incarnation has read that it is a member, no change would wait for it. The mark on this
        member's own disk is not enough to detect that, because the disk may be outdated or empty
        by now: voters report unfinished rounds too. But voters of an earlier version of the program
        don't, so the mark is checked as well.
        """
        self._add_startup_read(with_ballot=self._may_have_left)

    def retry_startup_read(self, now: int) -> None:
        """Read the register again, if it was empty and the interval has passed."""
        if self._retry_read and now >= self._retry_read_at:
            self._retry_read = False
            self._retry_read_at = now + READ_RETRY_INTERVAL
            self._add_startup_read(with_ballot=False)

    def _add_startup_read(self, with_ballot: bool) -> None:
        job = Job(None, self._on_startup_read, final=True, with_ballot=with_ballot)
        self._parts.proposer.add(job)

    def _on_startup_read(self, chosen: ChosenState | None, result: ProposalResult) -> None:
        may_bootstrap = self._bootstrap_version is not None and self._voter is not None
        step = next_step_after_read(
            chosen, self._persisted_revision, self.chosen is not None, may_bootstrap
        )
        if step is NextStep.REPORT_LOSS:
            self._report_register_regression(None if chosen is None else chosen.state)
        elif step is NextStep.RETRY:
            self._retry_read = True
        elif step is NextStep.BOOTSTRAP:
            self._bootstrap_tier()
        if chosen is not None:
            self.has_read_register = True
            if not self.has_left:  # otherwise a leave of this incarnation is queued after this read
                self._outbox.persist({LEFT_KEY: None})
            self.adopt_from_voters(chosen, result)
            self.apply_chosen()

    def _bootstrap_tier(self) -> None:
        first = self._bootstrap_version
        assert first is not None
        name = self._config.name
        digest = self._exchange.add_for_job(first.content)
        configuration = Configuration(self._config.peers, ())
        configuration_digest = self._exchange.add_for_job(configuration.encode())
        change_id = f"{name}-{self._parts.boot:x}-founding"
        version = Version(first.serial, 0, digest, name, first.operator, 0, change_id)
        change = bootstrap(version, configuration_digest)
        self._parts.proposer.add(Job(change, self._on_startup_read))

    def _report_register_regression(self, state: RegisterState | None) -> None:
        """Report that the voters lost a chosen state: more than a minority of disks are lost."""
        self.register_regressed = True
        read_revision = 0 if state is None else state.revision
        fields: dict[str, object] = {"known": self.revision, "read": read_revision}
        self._outbox.log_event("register regressed", fields)

    # --- The chosen state

    def adopt_from_voters(self, chosen: ChosenState | None, result: ProposalResult) -> None:
        """Adopt the state that a read or a round of this member has returned."""
        if chosen is not None:
            self.adopt_chosen(chosen, self._parts.rng.choice(self._config.voters))

    def adopt_chosen(self, chosen: ChosenState, source: str) -> None:
        """Adopt a chosen state if it is later, and fetch its contents from `source` first.

        Any member's message is trusted here, as messages are authenticated with the tier's key.
        """
        self.active_versions.record(chosen.state.active)
        if chosen.state.traffic_policy is not None:
            self.traffic_policies.record(chosen.state.traffic_policy)
        current = self.chosen
        if current is not None and chosen.state.revision <= current.state.revision:
            is_same_revision = chosen.state.revision == current.state.revision
            if is_same_revision and chosen.state != current.state:
                self._report_register_regression(chosen.state)
            return
        self.chosen = chosen
        self._outbox.persist({CHOSEN_KEY: msgspec.msgpack.encode(chosen)})
        self._on_adopted()
        self._exchange.fetch_latest(chosen.state, self._accepted_state(), source)
        self.apply_chosen()

    def apply_chosen(self) -> None:
        """Have the process apply the chosen state, or fetch the contents that it lacks.

        Nothing is applied before the register was read since the start.
        """
        chosen = self.chosen
        if chosen is None:
            return
        state = chosen.state
        if not self._exchange.has(state):
            self._exchange.fetch(state, self._parts.rng.choice(self._config.voters))
            return
        if self._voter is not None:
            self._voter.learn(chosen)
        self._load_configuration(state.configuration_digest)
        self._caught_up_revision = state.revision
        self._update_joined_revision(state.revision)
        self.release_unreferenced()
        is_requested = self.applying is not None and self.applying.revision >= state.revision
        if is_requested or not self.has_read_register:
            return
        self.applying = AppliedVersions(
            state.revision, state.active, state.pending, state.traffic_policy
        )
        self._exchange.retain_for_apply(state)
        self._outbox.effects.append(ApplyVersions(self.applying))

    def _load_configuration(self, digest: str) -> None:
        if digest == self._configuration_digest:
            return
        self._configuration_digest = digest
        content = self._exchange.store.read(digest)
        self.index = ConfigurationIndex(decode_configuration(content))
        peers = self._config.peers
        added = [name for name in self.configuration.addresses if name not in peers]
        self._parts.gossip.others = [name for name in (*peers, *added) if name != self._config.name]

    def _update_joined_revision(self, revision: int) -> None:
        if self._config.name not in self.index.members:
            self.joined_revision = 0
        elif self.has_read_register:
            self.joined_revision = self.joined_revision or revision

    def _accepted_state(self) -> RegisterState | None:
        """Return the state that this member has voted for."""
        accepted = None if self._voter is None else self._voter.accepted_state()
        return None if accepted is None else accepted.state

    def release_unreferenced(self) -> None:
        """Release the contents that no member can request any more."""
        assert self.chosen is not None
        self._exchange.retain_only(self.chosen.state, self._accepted_state())
