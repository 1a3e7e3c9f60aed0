"""What a server is known by at this gateway."""

from __future__ import annotations

import hashlib
import math

from ..interface import Listed, Report
from .rate import CubicRate

BURST = 2.0  # tokens a server can save up: a trickle is not smooth


def queue_of(report: Report) -> float | None:
    """The requests that wait at a server, or that it holds where it tells no more."""
    return report.inflight if report.queue is None else report.queue


class Server:
    """One server as this gateway sees it."""

    __slots__ = (
        "boot", "cell", "errors", "failures", "filling", "flight", "hash", "kind", "leave",
        "listed_boot", "name",
        "outstanding", "q_bar", "r_bar", "rate", "rest_until", "seen", "sent_seen", "service",
        "shun_until", "state", "strikes", "t_token", "tokens", "weight", "zone",
    )  # fmt: skip

    def __init__(self, listed: Listed, leave: float, now: int, clock_ahead: int = 0) -> None:
        self.name = listed.server
        self.leave = leave  # it gets its slice alone until this multiple of the cold time
        digest = hashlib.blake2b(listed.server.encode(), digest_size=8).digest()
        self.hash = int.from_bytes(digest, "big")
        self.flight: dict[tuple[int, int], int] = {}  # attempts out, oldest first, when sent
        self.filling: set[tuple[int, int]] = set()  # attempts whose body still comes
        self.outstanding = 0
        self.listed_boot = -1
        self.list_as(listed, now, clock_ahead)
        self.forget()

    def list_as(self, listed: Listed, now: int, clock_ahead: int = 0) -> None:
        """Take what the list says of it from now on.

        `clock_ahead` is by how much this machine's wall clock is ahead of hosts', as far as known.

        Danger: its time of start is another machine's wall clock. Where that seems to lie ahead,
        as after a step of either clock, it counts as started now, once: it would be cold until
        then, for an hour perhaps.
        """
        if listed.boot != self.listed_boot:
            self.listed_boot = listed.boot
            self.boot = min(listed.boot + clock_ahead, now) if listed.boot else 0
        self.weight = listed.weight if listed.weight > 0 else 1.0
        self.zone, self.cell, self.kind = listed.zone, listed.cell, listed.kind
        self.state = listed.state

    def forget(self) -> None:
        """Start from nothing known: scored by the fleet's typical figures until it answers."""
        self.q_bar = self.service = self.r_bar = 0.0
        self.seen = 0  # when it last answered; 0 is never
        self.rate = CubicRate()
        self.tokens, self.t_token = BURST, 0
        self.failures, self.shun_until, self.rest_until = 0, 0, 0
        self.sent_seen = 0  # when the latest of its answered attempts was sent
        self.strikes, self.errors = 0, 0.0  # failures in a row, and their share of late

    def able(self, now: int) -> bool:
        """Whether it takes requests, as far as is known: neither full nor failing."""
        return not self.failures and self.rest_until <= now

    def alive(self) -> bool:
        """Whether it does anything, as far as is known."""
        return not self.failures

    def sent(self, now: int, req: int, attempt: int, filling: bool) -> None:
        """An attempt goes out; one whose body still comes is nothing to do for the server yet."""
        if filling:
            self.filling.add((req, attempt))
        else:
            self.flight[req, attempt] = now
            self.outstanding += 1

    def whole(self, now: int, req: int) -> None:
        """The last byte of a request's body has gone out."""
        for key in [k for k in self.filling if k[0] == req]:
            self.filling.discard(key)
            self.sent(now, *key, filling=False)

    def landed(self, req: int, attempt: int) -> int | None:
        """An attempt is out no more; when it was sent, where the server had all of it."""
        self.filling.discard((req, attempt))
        sent = self.flight.pop((req, attempt), None)
        if sent is not None:
            self.outstanding -= 1
        return sent

    def token(self, now: int) -> bool:
        """Grow the rate along the cubic, accrue tokens since the last look, tell if one is left."""
        if self.rate.srate == math.inf:
            return True
        srate = self.rate.grow(now)
        self.tokens = min(BURST, self.tokens + srate * (now - self.t_token) * 1e-6)
        self.t_token = now
        return self.tokens >= 1.0

    def spend(self) -> None:
        """A request takes its token, where there is a limit."""
        if self.rate.srate != math.inf:
            self.tokens -= 1.0
