"""The rules on requests as invariants: asked in one place each, and every violation is counted.

Everything that decides by these rules does so earlier. What is found here is a fault of the
program: it is not done, it is logged with the request's id, and `violations` of the periodic line
counts it.
"""

from __future__ import annotations

from enum import Enum

from ..settings import KEYED, SAFE, UNSAFE
from .exchange import Attempt, Exchange
from .log import Log


class Violation(Enum):
    """An invariant that would have been broken."""

    SENT_UNOWED = "sent for a request that nobody is owed an answer to"
    SENT_LATE = "sent after its time"
    SENT_UNLISTED = "sent to a host that the list does not have as ready"
    REPEATED = "sent again though it may have run, and may not run twice"
    ANSWERED_TWICE = "answered a second time"
    REFUSED_AFTER_RUN = "refused as harmless though it may have run"
    CLOSED_OWING = "its connection was closed with no answer"


class Invariants:
    """Checks, and counts what would have broken."""

    def __init__(self, log: Log) -> None:
        self._log = log
        self.counts = dict.fromkeys(Violation, 0)

    @property
    def total(self) -> int:
        """Return the number of violations so far."""
        return sum(self.counts.values())

    def found(self, violation: Violation, exchange: Exchange, more: str = "") -> Violation:
        """Record a violation."""
        self.counts[violation] += 1
        name = exchange.name.decode("latin-1")
        text = f"violation: request {name}: {violation.value}{more}"
        self._log.often(f"violation {violation.name}", text)
        return violation

    def before_send(
        self, attempt: Attempt, now: int, ready: bool, remembered: bool
    ) -> Violation | None:
        """Return what speaks against writing an attempt's first byte now, if anything.

        `ready`: the list has its host as ready. `remembered`: hosts still know a repeat of it as
        one.
        """
        exchange = attempt.exchange
        violation = None
        if exchange.closed:
            violation = Violation.SENT_UNOWED
        elif now >= attempt.ends:
            violation = Violation.SENT_LATE
        elif not ready:
            violation = Violation.SENT_UNLISTED
        elif _repeats(attempt) and not remembered:
            violation = Violation.REPEATED
        if violation is not None:
            self.found(violation, exchange, f" (attempt {attempt.n} at {attempt.server})")
        return violation

    def before_refusal(self, exchange: Exchange) -> bool:
        """Return whether a refusal, which promises that a repeat is harmless, is true."""
        kind = exchange.kind
        if kind is None or kind.effect != UNSAFE or not exchange.ran_at:
            return True
        self.found(Violation.REFUSED_AFTER_RUN, exchange)
        return False

    def told(self) -> str:
        """Return the violations by kind, for the log; empty if there are none."""
        return " ".join(f"{v.name.lower()}={count}" for v, count in self.counts.items() if count)


def _repeats(attempt: Attempt) -> bool:
    """Return whether an attempt could make an effect happen a second time."""
    exchange = attempt.exchange
    kind = exchange.kind
    if kind is None or kind.effect == SAFE:
        return False
    if kind.effect == KEYED:
        return bool(exchange.ran_at)
    others = [one for one in exchange.out if one is not attempt and one.conn is not None]
    return bool(exchange.ran_at or others)
