"""Events of a run, recorded by all its parts. Times are seconds of the monotonic clock."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

LONG_ANSWER = "-long"  # ends the names of requests that nodes give a long answer to


class Kind(Enum):
    """The class of a request, which says whether its effect may be repeated."""

    PAGE = "pure-all"
    PAYOUT = "side_effect-all"
    FILING = "token-all"


class End(Enum):
    """How a request ended for its client."""

    OPEN = "open"
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"  # the client closed the connection first
    CLOSED = "closed"  # the gateway closed the connection without an answer
    CUT = "cut"  # the gateway broke off an answer that it had begun
    SILENT = "silent"  # no answer came in time
    UNCONNECTED = "unconnected"  # the connection could not be opened


@dataclass(slots=True)
class Sent:
    """A request as its client saw it."""

    name: str
    kind: Kind
    gateway: str
    process: int  # number of the gateway's process that got it, from 1
    wait: float  # s; the wait that the client states
    fresh: bool  # whether it was the first on its connection
    at: float = 0.0  # when its last byte was written
    ended: float = 0.0
    end: End = End.OPEN
    status: int = 0
    wrong: bool = False  # served with a body that was not made for this request
    answered: float = 0.0  # when the head of its answer had come
    body_size: int = 0  # bytes
    chunked: bool = False  # its body was sent in chunks


@dataclass(slots=True)
class Disturbance:
    """A time in which a node's connections were cut, or one at which they were reset."""

    begin: float
    end: float = math.inf


@dataclass(slots=True)
class LongAnswer:
    """An answer that a node gave in pieces."""

    name: str
    node: str
    begun: float  # when its first piece was written
    went_on: bool = False  # the connection was still open after the pause
    disturbances: list[Disturbance] = field(default_factory=list)  # of its node, at any time

    def was_disturbed(self, ended: float) -> bool:
        """Whether its node's connections were cut or reset before the answer's end."""
        return any(one.begin <= ended and one.end >= self.begun for one in self.disturbances)


@dataclass(frozen=True, slots=True)
class Arrival:
    """A complete request that reached a node."""

    name: str
    node: str
    at: float  # when its first byte had come
    wait: float  # s; the wait that the gateway states
    held: float = 0.0  # s by which the node's proxy may have delayed it


@dataclass(slots=True)
class ProcessRecord:
    """One process of a gateway."""

    started: float
    ready: float = 0.0
    stopped: float = 0.0  # when it got SIGTERM
    killed: float = 0.0
    ended: float = 0.0
    code: int | None = None
    exceeded_memory: int = 0  # bytes that it held when it had passed its limit
    pauses: list[tuple[float, float]] = field(default_factory=list)
    reloads: list[float] = field(default_factory=list)


@dataclass(slots=True)
class Drain:
    """A period in which a node takes no new requests."""

    node: str
    begun: float
    over: float = float("inf")


@dataclass(slots=True)
class Records:
    """All records of a run."""

    sent: dict[str, Sent] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    long_answers: list[LongAnswer] = field(default_factory=list)
    effects: dict[str, int] = field(default_factory=dict)  # by request
    processes: dict[str, list[ProcessRecord]] = field(default_factory=dict)  # by gateway
    drains: list[Drain] = field(default_factory=list)
    outages: list[tuple[float, float]] = field(default_factory=list)  # of discovery
    stalls: list[tuple[float, float]] = field(default_factory=list)  # of the soak's own process
    injected: list[str] = field(default_factory=list)
    quiet: float = float("inf")  # no faults are injected from here on
