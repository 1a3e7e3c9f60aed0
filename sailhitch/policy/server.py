"""What this gateway knows of a server."""

from __future__ import annotations

import hashlib
import math
from typing import Final

from ..policy_interface import Endpoint, LoadReport
from .rate import CubicRate

FULL_QUEUE: Final = 0.5  # from this reported queue on a server that rejects requests is full
BURST: Final = 2.0  # tokens that are saved up, as few requests do not come evenly


def queue_of(report: LoadReport) -> float | None:
    """Return the requests that wait at a server, or all it has if it reports no queue."""
    return report.in_flight if report.queue_length is None else report.queue_length


def shows_full_queue(report: LoadReport | None) -> bool:
    """Return whether a server that rejected a request did so because its queue is full.

    One that rejects with no queue may be draining, which the endpoint list does not say yet.
    """
    return report is None or (queue_of(report) or 0.0) >= FULL_QUEUE


class Server:
    """One server as this gateway sees it."""

    __slots__ = (
        "answered_at",
        "answered_sent_at",
        "cell",
        "consecutive_failures",
        "cooldown_until",
        "ejected_until",
        "ejections",
        "error_ewma",
        "hash",
        "in_flight",
        "kind",
        "listed_started_at",
        "name",
        "outstanding",
        "queue_ewma",
        "rate",
        "response_time_ewma",
        "service_time_ewma",
        "slow_start_multiple",
        "started_at",
        "state",
        "tokens",
        "tokens_at",
        "uploading",
        "weight",
        "zone",
    )

    def __init__(
        self, endpoint: Endpoint, slow_start_multiple: float, now: int, clock_ahead: int = 0
    ) -> None:
        self.name = endpoint.name
        # Its slow start ends at this multiple of the slow start time.
        self.slow_start_multiple = slow_start_multiple
        digest = hashlib.blake2b(endpoint.name.encode(), digest_size=8).digest()
        self.hash = int.from_bytes(digest, "big")
        self.in_flight: dict[tuple[int, int], int] = {}  # when each attempt was sent, oldest first
        self.uploading: set[tuple[int, int]] = set()  # attempts whose request body is incomplete
        self.outstanding = 0
        self.listed_started_at = -1
        self.update(endpoint, now, clock_ahead)
        self.reset()

    def update(self, endpoint: Endpoint, now: int, clock_ahead: int = 0) -> None:
        """Take over what the endpoint list says.

        `clock_ahead` is by how many microseconds this machine's wall clock is ahead of servers', as
        far as known. A start that lies ahead, as after a step of either clock, counts as now:
        otherwise the server would be warming up until then, for an hour perhaps.
        """
        if endpoint.started_at != self.listed_started_at:
            self.listed_started_at = endpoint.started_at
            self.started_at = (
                min(endpoint.started_at + clock_ahead, now) if endpoint.started_at else 0
            )
        self.weight = endpoint.weight if endpoint.weight > 0 else 1.0
        self.zone = endpoint.zone
        self.cell = endpoint.cell
        self.kind = endpoint.kind
        self.state = endpoint.state

    def reset(self) -> None:
        """Forget everything learned: the fleet's typical values count until it answers."""
        self.queue_ewma = self.service_time_ewma = self.response_time_ewma = 0.0
        self.answered_at = 0  # when it last answered; 0 is never
        self.rate = CubicRate()
        self.tokens = BURST
        self.tokens_at = 0
        self.ejections = 0
        self.ejected_until = 0
        self.cooldown_until = 0
        self.answered_sent_at = 0  # when the latest of its answered attempts was sent
        self.consecutive_failures = 0
        self.error_ewma = 0.0  # share of attempts that failed

    def is_available(self, now: int) -> bool:
        """Return whether it is neither full nor failing, as far as known."""
        return not self.ejections and self.cooldown_until <= now

    def is_responding(self) -> bool:
        """Return whether it is not failing, as far as known."""
        return not self.ejections

    def on_sent(self, now: int, req: int, attempt: int, uploading: bool) -> None:
        """Record an attempt; while its request body is incomplete the server has no work."""
        if uploading:
            self.uploading.add((req, attempt))
        else:
            self.in_flight[req, attempt] = now
            self.outstanding += 1

    def on_body_complete(self, now: int, req: int) -> None:
        """Record that the last byte of a request's body was sent."""
        for key in [k for k in self.uploading if k[0] == req]:
            self.uploading.discard(key)
            self.on_sent(now, *key, uploading=False)

    def on_outcome(self, req: int, attempt: int) -> int | None:
        """Remove an attempt; return when it was sent, or None if its body was incomplete."""
        self.uploading.discard((req, attempt))
        sent = self.in_flight.pop((req, attempt), None)
        if sent is not None:
            self.outstanding -= 1
        return sent

    def refill_tokens(self, now: int) -> bool:
        """Grow the rate along the cubic and accrue tokens; return whether one is left."""
        if self.rate.send_rate == math.inf:
            return True
        send_rate = self.rate.grow(now)
        self.tokens = min(BURST, self.tokens + send_rate * (now - self.tokens_at) * 1e-6)
        self.tokens_at = now
        return self.tokens >= 1.0

    def take_token(self) -> None:
        """Take a token, if the rate is limited."""
        if self.rate.send_rate != math.inf:
            self.tokens -= 1.0
