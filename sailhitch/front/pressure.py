"""How scarce request slots, descriptors and memory are. Times are microseconds."""

from __future__ import annotations

from typing import Final

from .slots import ConnectionBudget

LOW_PRESSURE: Final = 0.55  # up to which connections are kept as long as they may be
HIGH_PRESSURE: Final = 0.8  # from which on the limits are at their shortest
DESCRIPTOR_LIMIT_HOLD: Final = 10_000_000  # us for which a limit that was hit is assumed to hold
MIN_DESCRIPTORS: Final = 8


class ResourcePressure:
    """The shares of a budget that are in use, and a lower limit on descriptors that was hit."""

    def __init__(self, budget: ConnectionBudget) -> None:
        self.budget = budget
        self.other_descriptors = 0  # that are not clients'
        self.memory = 0.0  # share in use
        self.factor = 0.0  # of whatever is scarcest: 0 up to LOW_PRESSURE, 1 from HIGH_PRESSURE
        self.peak = 0.0  # of the share in use, since it was last reset
        self._hit_limit = 0
        self._hit_limit_until = 0

    def descriptor_limit(self, now: int) -> int:
        """Return the limit on descriptors: the configured one, or a lower one hit of late."""
        configured = self.budget.descriptors
        return min(configured, self._hit_limit) if self._hit_limit_until > now else configured

    def on_descriptors_exhausted(self, now: int, usable: int) -> None:
        """Lower the limit on descriptors, as the system has none left, whatever is configured.

        Covers descriptors that are not counted here. The limit holds for DESCRIPTOR_LIMIT_HOLD
        only, as what held them may be closed by then.
        """
        self._hit_limit = max(MIN_DESCRIPTORS, usable)
        self._hit_limit_until = now + DESCRIPTOR_LIMIT_HOLD

    def is_full(self, now: int, held: int, others: int) -> bool:
        """Return whether one more client would exceed the clients' share or the total."""
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
        whole = (held + self.other_descriptors) / max(1, limit)
        # Connections to hosts alone must not put pressure on the clients' reserved share.
        whole = min(whole, held / max(1.0, self.budget.min_client_share * limit))
        return max(self.slot_share(used), clients, whole, self.memory)

    def update(self, now: int, held: int, used: int) -> None:
        """Set the factor by what is in use now."""
        share = self.share(now, held, used)
        self.peak = max(self.peak, share)
        self.factor = _factor(share)


def _factor(share: float) -> float:
    return min(1.0, max(0.0, (share - LOW_PRESSURE) / (HIGH_PRESSURE - LOW_PRESSURE)))
