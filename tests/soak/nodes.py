"""Nodes that record the requests they get and misbehave by mode; each behind a proxy."""

from __future__ import annotations

import random
import time
from enum import Enum, auto
from typing import Any

from sailhitch.lab.node import Fault, Memory, Node
from tests.soak.proxy import Proxy
from tests.soak.records import Arrival, Records

WORK = 0.01  # s that a request takes
WORKERS = 8  # requests in work at a time
COLD = 1.0  # s after its start for which a node is slower


class Mode(Enum):
    """How a node behaves."""

    HEALTHY = auto()
    HANGING = auto()  # executes requests and never answers
    RESETTING = auto()  # resets the connection, before or after the effect
    SPOILING = auto()  # sends an invalid answer, half of one, or an error
    FULL = auto()  # refuses requests


FAULTS = {
    Mode.HANGING: (Fault.SILENT,),
    Mode.RESETTING: (Fault.RESET_BEFORE, Fault.RESET_AFTER),
    Mode.SPOILING: (Fault.MALFORMED, Fault.TRUNCATED, Fault.ERROR),
    Mode.FULL: (Fault.REFUSE,),
}


class SoakNode(Node):
    """A lab node that records arrivals and effects."""

    def __init__(self, name: str, records: Records, memory: Memory, rng: random.Random) -> None:
        super().__init__(
            WORK, workers=WORKERS, cold=COLD, memory=memory, reports=True, script=self._fault
        )
        self.name, self.records, self.rng = name, records, rng
        self.mode = Mode.HEALTHY
        self.started_ms = 0  # wall clock, for discovery; 0 means long ago
        self.state = "active"
        self.proxy = Proxy()

    def _fault(self, name: bytes) -> Fault | None:
        kinds = FAULTS.get(self.mode)
        return None if kinds is None else self.rng.choice(kinds)

    def handle_request(self, connection: Any, name: bytes, key: bytes) -> None:
        now = time.monotonic()
        arrival = Arrival(
            name.decode(), self.name, now, connection.wait_ms / 1000, self.proxy.held(now)
        )
        self.records.arrivals.append(arrival)
        super().handle_request(connection, name, key)

    def _execute(self, connection: Any, name: bytes, key: bytes) -> None:
        before = len(self.log)
        super()._execute(connection, name, key)
        if len(self.log) > before:
            count = self.records.effects
            count[name.decode()] = count.get(name.decode(), 0) + 1

    def entry(self) -> dict[str, Any]:
        """Its entry in discovery."""
        return {
            "id": self.name,
            "addr": self.proxy.addr,
            "zone": "z",
            "kind": "k",
            "cell": 0,
            "state": self.state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }
