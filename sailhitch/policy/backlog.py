"""The backlog of held requests, and the budget of retries and hedged requests."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Final

from .request import Request

DRAIN_INTERVAL: Final = 10_000  # us between two looks for tokens
DRAIN_BATCH: Final = 8  # held requests tried at one look
HEDGE_AFTER: Final = 4.0  # of its class's usual latency a repeatable request waits for a hedge...
HEDGE_AFTER_MIN: Final = 20_000  # ...and at least so many us
HEDGE_QUEUE: Final = 0.5  # hedges are sent only while the typical queue is shorter than this
RETRIES_PER_REQUEST: Final = 0.15  # retries earned by each request
RETRY_BUDGET_MAX: Final = 10.0


class Backlog:
    """Held requests, those with the least time left first."""

    def __init__(self, live: dict[int, Request]) -> None:
        self.live = live
        self.heap: list[tuple[int, int, Request]] = []
        self.held = 0
        self.look_at = 0

    def hold(self, request: Request) -> None:
        """Add a request."""
        heapq.heappush(self.heap, (request.hold_until, request.id, request))
        self.held += 1

    def next_look(self, now: int) -> int:
        """Return when to look for tokens; 0 if a look is scheduled or nothing is held."""
        if self.look_at or not self.heap:
            return 0
        self.look_at = min(now + DRAIN_INTERVAL, max(now + 1, self.heap[0][0]))
        return self.look_at

    def drain(
        self,
        now: int,
        give_up: Callable[[int, Request], None],
        place: Callable[[int, Request], bool],
    ) -> None:
        """Place held requests as tokens return."""
        back: list[tuple[int, int, Request]] = []
        heap = self.heap
        while heap and len(back) < DRAIN_BATCH:
            entry = heapq.heappop(heap)
            request = entry[2]
            if request.id not in self.live:
                continue
            if now >= request.hold_until:
                give_up(now, request)
            elif not place(now, request):
                back.append(entry)
        for entry in back:
            heapq.heappush(heap, entry)
        self.held = len(heap)

    def empty(self) -> list[Request]:
        """Remove all requests; return those that are still open, in order."""
        held = sorted(self.heap)
        self.heap = []
        self.held = 0
        return [request for _, req, request in held if req in self.live]


class Retries:
    """The retry budget, and repeatable requests that may be hedged."""

    def __init__(self, live: dict[int, Request]) -> None:
        self.live = live
        self.budget = RETRY_BUDGET_MAX / 2
        self.waiting: list[tuple[int, int]] = []  # when a request has been silent for too long
        self.look_at = 0

    def earn(self) -> None:
        """Add a request's part to the budget."""
        self.budget = min(RETRY_BUDGET_MAX, self.budget + RETRIES_PER_REQUEST)

    def expect(self, now: int, request: Request, usual: float) -> None:
        """Note when a repeatable request's first attempt has been silent for too long."""
        at = now + max(HEDGE_AFTER_MIN, int(HEDGE_AFTER * usual))
        if at < request.hold_until:
            heapq.heappush(self.waiting, (at, request.id))

    def next_look(self) -> int:
        """Return when to look for silent attempts; 0 if a look is scheduled or none waits."""
        waiting = self.waiting
        while waiting and waiting[0][1] not in self.live:
            heapq.heappop(waiting)
        if not waiting or self.look_at:
            return 0
        self.look_at = waiting[0][0]
        return self.look_at

    def may_hedge(self, request: Request, usual_latency: float) -> bool:
        """Return whether a hedged request is paid for and its server has answered later ones."""
        return self.budget >= 1.0 and overtaken(request, usual_latency)

    def silent(self, now: int) -> list[Request]:
        """Return requests whose one attempt has been silent for too long."""
        self.look_at = 0
        waiting = self.waiting
        found = []
        while waiting and waiting[0][0] <= now:
            request = self.live.get(heapq.heappop(waiting)[1])
            if request is not None and request.open_attempts == 1 and request.attempts == 1:
                found.append(request)
        return found


def overtaken(request: Request, usual: float) -> bool:
    """Return whether its server has answered requests that were sent well after its attempt."""
    server = request.first_server
    sent = server.in_flight.get((request.id, 0)) if server is not None else None
    if server is None or sent is None or not usual:
        return False
    return server.answered_sent_at > sent + usual
