"""Measures how scarce request slots, descriptors and memory are. Times are microseconds."""

from __future__ import annotations

from typing import Final

from .slots import ConnectionBudget

LOW_PRESSURE: Final = 0.55  # share in use up to which the time limits are longest
HIGH_PRESSURE: Final = 0.8  # share in use from which on they are shortest
DESCRIPTOR_LIMIT_HOLD: Final = 10_000_000  # us that an observed limit is assumed to hold
MIN_DESCRIPTORS: Final = 8


class ResourcePressure:
    """The used shares of a budget, with a lower limit on descriptors where one was observed."""

    def __init__(self, budget: ConnectionBudget) -> None:
        self.budget = budget
        self.other_descriptors = 0  # descriptors not held by clients
        self.memory = 0.0  # share of memory in use
        self.factor = 0.0  # by the scarcest resource: 0 up to LOW_PRESSURE, 1 from HIGH_PRESSURE
        self.peak = 0.0  # largest share in use since the last reset
        self._observed_limit = 0
        self._observed_limit_until = 0

    def descriptor_limit(self, now: int) -> int:
        """Return the limit on descriptors: the configured one, or a lower one observed recently."""
        configured = self.budget.descriptors
        return (
            min(configured, self._observed_limit)
            if self._observed_limit_until > now
            else configured
        )

    def on_descriptors_exhausted(self, now: int, usable: int) -> None:
        """Lower the limit on descriptors to `usable`, as the system has none left.

        Happens if descriptors are in use that are not counted here. They may be closed later, so
        the limit holds for DESCRIPTOR_LIMIT_HOLD only.
        """
        self._observed_limit = max(MIN_DESCRIPTORS, usable)
        self._observed_limit_until = now + DESCRIPTOR_LIMIT_HOLD

    def is_full(self, now: int, held: int, others: int) -> bool:
        """Return whether one more client would exceed the clients' share or the total limit.

        Clients hold `held` descriptors; `others` are in use otherwise.
        """
        return held >= self.budget.max_client_descriptors or held + others >= self.descriptor_limit(
            now
        )

    def slot_share(self, used: int) -> float:
        """Return the share of request slots in use."""
        return used / max(1, self.budget.request_slots)

    def slot_factor(self, used: int) -> float:
        """Return the pressure factor of request slots alone, 0 to 1."""
        return _factor(self.slot_share(used))

    def share(self, now: int, held: int, used: int) -> float:
        """Return the share in use of the scarcest resource; above 1 if overcommitted.

        Clients hold `held` descriptors and `used` request slots.
        """
        limit = self.descriptor_limit(now)
        clients = held / max(1.0, self.budget.max_client_descriptors)
        total = (held + self.other_descriptors) / max(1, limit)
        # Connections to hosts must not put pressure on clients within their reserved share.
        total = min(total, held / max(1.0, self.budget.min_client_share * limit))
        return max(self.slot_share(used), clients, total, self.memory)

    def update(self, now: int, held: int, used: int) -> None:
        """Update the factor and the peak."""
        share = self.share(now, held, used)
        self.peak = max(self.peak, share)
        self.factor = _factor(share)


def _factor(share: float) -> float:
    return min(1.0, max(0.0, (share - LOW_PRESSURE) / (HIGH_PRESSURE - LOW_PRESSURE)))
