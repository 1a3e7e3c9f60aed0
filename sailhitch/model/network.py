"""Datagrams between processes: lost, late, doubled, out of order, cut one way or both."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .kernel import Kernel

Deliver = Callable[[str, str, Any], None]  # sender, addressee, message


class Network:
    """Rates are of all links alike; cuts are of a link in one direction. Times in microseconds."""

    def __init__(self, kernel: Kernel, deliver: Deliver) -> None:
        self.kernel = kernel
        self.deliver = deliver
        self.loss = self.doubled = 0.0
        self.delay = 300
        self.jitter = 500
        self.cuts: set[tuple[str, str]] = set()
        self.sent = self.arrived = 0
        self._rng = kernel.stream("network")
        self._draws: list[float] = []

    def _draw(self) -> float:
        if not self._draws:  # one at a time they cost more than all else that a datagram does
            self._draws = self._rng.random(4096).tolist()
        return self._draws.pop()

    def send(self, sender: str, to: str, message: Any) -> None:
        """A datagram leaves."""
        self.sent += 1
        copies = 2 if self.doubled and self._draw() < self.doubled else 1
        for _ in range(copies):
            if self.loss and self._draw() < self.loss:
                continue
            # A long tail: one in twenty takes ten times as long, so that later ones pass it.
            slow = 10 if self._draw() < 0.05 else 1
            delay = int(self.delay + self.jitter * slow * self._draw())
            self.kernel.after(delay, self._arrive, sender, to, message)

    def _arrive(self, sender: str, to: str, message: Any) -> None:
        if (sender, to) not in self.cuts:
            self.arrived += 1
            self.deliver(sender, to, message)
