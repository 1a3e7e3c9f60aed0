"""How a member joins by itself: it proposes a configuration that has it as a member."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from .configuration_changes import with_joined
from .effects import ProposalResult
from .messages import ChosenState
from .parts import MemberParts
from .proposer import Job
from .register_view import RegisterView
from .transitions import change_configuration

RETRY_INTERVAL: Final = 1_000_000  # us between two attempts to join


class JoinSchedule:
    """Whether this member's own change of the configuration is in progress or due."""

    def __init__(self) -> None:
        self._in_progress = False
        self._next_at = 0

    def is_due(self, now: int) -> bool:
        """Return whether an attempt may begin."""
        return not self._in_progress and now >= self._next_at

    def begin(self, now: int) -> None:
        """Record that an attempt begins."""
        self._in_progress = True
        self._next_at = now + RETRY_INTERVAL

    def end(self) -> None:
        """Record that the attempt has ended, whatever its result."""
        self._in_progress = False


class Joining:
    """Adds this member to the configuration, and removes evicted ones with an expired lease."""

    def __init__(
        self,
        parts: MemberParts,
        register: RegisterView,
        is_lease_expired: Callable[[str], bool],
    ) -> None:
        self._name = parts.config.name
        self._exchange = parts.exchange
        self._proposer = parts.proposer
        self._register = register
        self._is_lease_expired = is_lease_expired
        self._schedule = JoinSchedule()

    def join(self, now: int) -> None:
        """Propose a configuration with this member if it is not in the current one.

        A member may act only once it is in the configuration.
        """
        register = self._register
        chosen = register.chosen
        if chosen is None or not register.has_read_register or not self._schedule.is_due(now):
            return
        if register.has_left or not register.is_caught_up():
            return
        configuration = with_joined(register.index, self._name, self._is_lease_expired)
        if configuration is None:
            return
        self._schedule.begin(now)
        digest = self._exchange.add_for_job(configuration.encode())

        def on_completed(chosen: ChosenState | None, result: ProposalResult) -> None:
            self._schedule.end()
            self._exchange.release_from_job(digest)
            register.adopt_from_voters(chosen, result)

        change = change_configuration(chosen.state.configuration_digest, digest)
        self._proposer.add(Job(change, on_completed))
