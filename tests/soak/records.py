"""What happened in a play, as everybody notes it. Times are seconds of the monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Kind(Enum):
    """A request's class, and whether its effect may happen again."""

    PAGE = "pure-all"
    PAYOUT = "side_effect-all"
    FILING = "token-all"


class End(Enum):
    """How a request ended for its client."""

    OPEN = "open"
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"  # its client closed the connection first
    CLOSED = "closed"  # the gateway closed it, with no answer
    SILENT = "silent"  # no answer came in time
    UNCONNECTED = "unconnected"  # no connection came up


@dataclass(slots=True)
class Sent:
    """A request, as its client knows it."""

    name: str
    kind: Kind
    gateway: str
    life: int  # of the gateway: which of its processes was asked
    wait: float  # s that the client waits
    fresh: bool  # whether it was the first on its connection
    at: float = 0.0  # when its last byte was written
    ended: float = 0.0
    end: End = End.OPEN
    status: int = 0
    wrong: bool = False  # served with another request's answer


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that came whole to a node."""

    name: str
    node: str
    at: float
    wait: float  # s that the gateway says it waits
    held: float = 0.0  # s for which the way to the node may have held it back


@dataclass(slots=True)
class Life:
    """One process of a gateway."""

    started: float
    ready: float = 0.0
    stopped: float = 0.0  # told to end
    killed: float = 0.0
    ended: float = 0.0
    code: int | None = None
    pauses: list[tuple[float, float]] = field(default_factory=list)
    reloads: list[float] = field(default_factory=list)


@dataclass(slots=True)
class Drain:
    """A while in which a node wants nothing new."""

    node: str
    begun: float
    over: float = float("inf")


@dataclass(slots=True)
class Records:
    """All of a play."""

    sent: dict[str, Sent] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    effects: dict[str, int] = field(default_factory=dict)  # by request
    lives: dict[str, list[Life]] = field(default_factory=dict)  # by gateway
    drains: list[Drain] = field(default_factory=list)
    outages: list[tuple[float, float]] = field(default_factory=list)  # of discovery
    stalls: list[tuple[float, float]] = field(default_factory=list)  # of the soak's own process
    troubles: list[str] = field(default_factory=list)
    quiet: float = float("inf")  # from here on nothing goes wrong any more
