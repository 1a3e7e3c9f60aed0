"""The state that this gateway keeps for a server."""

from __future__ import annotations

import math
from _blake2 import blake2b  # `hashlib` would load the algorithms of OpenSSL, too
from typing import Final

from ..policy_interface import Endpoint, LoadReport
from .rate import CubicRate

FULL_QUEUE: Final = 0.5  # reported queue length from which a rejection means a full queue
MAX_TOKENS: Final = 2.0  # above 1, as requests at a low rate arrive unevenly


def queue_of(report: LoadReport) -> float | None:
    """Return the reported queue length, or the requests in flight if none is reported."""
    return report.in_flight if report.queue_length is None else report.queue_length


def shows_full_queue(report: LoadReport | None) -> bool:
    """Return whether a server rejected a request because its queue is full.

    A server that rejects requests with an empty queue may be draining, which the endpoint list does
    not show yet.
    """
    return report is None or (queue_of(report) or 0.0) >= FULL_QUEUE


class Server:
    """A server, with what this gateway has measured of it and sent to it."""

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
        self, endpoint: Endpoint, slow_start_multiple: float, now: int, clock_offset: int = 0
    ) -> None:
        self.name = endpoint.name
        # How long its slow start lasts at this gateway, as a multiple of the slow start time.
        self.slow_start_multiple = slow_start_multiple
        digest = blake2b(endpoint.name.encode(), digest_size=8).digest()
        self.hash = int.from_bytes(digest, "big")
        self.in_flight: dict[tuple[int, int], int] = {}  # send times, oldest first
        self.uploading: set[tuple[int, int]] = set()  # attempts still sending their request body
        self.outstanding = 0
        self.listed_started_at = -1
        self.update(endpoint, now, clock_offset)
        self.reset()

    def update(self, endpoint: Endpoint, now: int, clock_offset: int = 0) -> None:
        """Apply an entry of the endpoint list.

        `clock_offset` is how many microseconds this machine's wall clock is known to be ahead of
        the servers' clocks. A start time in the future, as after a step of either clock, counts as
        now: otherwise the server would be in slow start until then, perhaps for an hour.
        """
        if endpoint.started_at != self.listed_started_at:
            self.listed_started_at = endpoint.started_at
            self.started_at = (
                min(endpoint.started_at + clock_offset, now) if endpoint.started_at else 0
            )
        self.weight = endpoint.weight if endpoint.weight > 0 else 1.0
        self.zone = endpoint.zone
        self.cell = endpoint.cell
        self.kind = endpoint.kind
        self.state = endpoint.state

    def reset(self) -> None:
        """Forget all measurements; until it answers, the fleet's typical values are used."""
        self.queue_ewma = self.service_time_ewma = self.response_time_ewma = 0.0
        self.answered_at = 0  # time of its last response; 0 means never
        self.rate = CubicRate()
        self.tokens = MAX_TOKENS
        self.tokens_at = 0
        self.ejections = 0
        self.ejected_until = 0
        self.cooldown_until = 0
        self.answered_sent_at = 0  # latest send time among its answered attempts
        self.consecutive_failures = 0
        self.error_ewma = 0.0  # EWMA of the share of attempts that failed

    def is_available(self, now: int) -> bool:
        """Return whether it is neither in cooldown nor failing, as far as known."""
        return not self.ejections and self.cooldown_until <= now

    def is_responding(self) -> bool:
        """Return whether it is not failing, as far as known."""
        return not self.ejections

    def on_sent(self, now: int, req: int, attempt: int, uploading: bool) -> None:
        """Record an attempt; it is not in flight until its request body is complete."""
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
        """Remove an attempt; return its send time, or None if its body was incomplete."""
        self.uploading.discard((req, attempt))
        sent = self.in_flight.pop((req, attempt), None)
        if sent is not None:
            self.outstanding -= 1
        return sent

    def refill_tokens(self, now: int) -> bool:
        """Update the send rate and add the tokens accrued; return whether one is available."""
        if self.rate.send_rate == math.inf:
            return True
        send_rate = self.rate.grow(now)
        self.tokens = min(MAX_TOKENS, self.tokens + send_rate * (now - self.tokens_at) * 1e-6)
        self.tokens_at = now
        return self.tokens >= 1.0

    def take_token(self) -> None:
        """Take a token, if the send rate is limited."""
        if self.rate.send_rate != math.inf:
            self.tokens -= 1.0
