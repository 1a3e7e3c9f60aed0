"""A modelled network, which loses, delays, duplicates and reorders datagrams."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .kernel import Kernel

Deliver = Callable[[str, str, Any], None]  # sender, receiver, message


class Network:
    """The links between all members.

    The rates of loss and duplication apply to all links, a cut to one direction of one link. Times
    are in microseconds.
    """

    def __init__(self, kernel: Kernel, deliver: Deliver) -> None:
        self.kernel = kernel
        self.deliver = deliver
        self.loss = 0.0
        self.duplication = 0.0
        self.delay = 300
        self.jitter = 500
        self.cuts: set[tuple[str, str]] = set()
        self.sent = 0
        self.arrived = 0
        self._rng = kernel.stream("network")
        self._draws: list[float] = []

    def _next_draw(self) -> float:
        if not self._draws:  # in batches: single draws would dominate the cost of a datagram
            self._draws = self._rng.random(4096).tolist()
        return self._draws.pop()

    def send(self, sender: str, to: str, message: Any) -> None:
        """Send a datagram, which arrives after a random delay, twice, or never."""
        self.sent += 1
        copies = 2 if self.duplication and self._next_draw() < self.duplication else 1
        for _ in range(copies):
            if self.loss and self._next_draw() < self.loss:
                continue
            # A long tail: one in twenty has ten times the jitter, so that later ones overtake it.
            slow = 10 if self._next_draw() < 0.05 else 1
            delay = int(self.delay + self.jitter * slow * self._next_draw())
            self.kernel.after(delay, self._arrive, sender, to, message)

    def _arrive(self, sender: str, to: str, message: Any) -> None:
        if (sender, to) not in self.cuts:
            self.arrived += 1
            self.deliver(sender, to, message)
