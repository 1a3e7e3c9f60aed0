"""The backlog of held requests, the retry budget, and the choice of requests to hedge."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Final

from .request import Request

DRAIN_INTERVAL: Final = 10_000  # us between two attempts to drain the backlog
DRAIN_BATCH: Final = 8  # requests that may fail to be placed before a drain stops
# A repeatable request may be hedged after this multiple of its class's usual latency.
HEDGE_LATENCY_MULTIPLE: Final = 4.0
HEDGE_DELAY_MIN: Final = 20_000  # us; lower bound of that delay
HEDGE_MAX_QUEUE: Final = 0.5  # no hedges while the typical queue length is at or above this
RETRIES_PER_REQUEST: Final = 0.15  # what each request adds to the retry budget
RETRY_BUDGET_MAX: Final = 10.0


class Backlog:
    """A priority queue of held requests, ordered by the time until which they may be held."""

    def __init__(self, open_requests: dict[int, Request]) -> None:
        self.open_requests = open_requests
        self.heap: list[tuple[int, int, Request]] = []
        self.held = 0
        self.next_check_at = 0

    def hold(self, request: Request) -> None:
        """Add a request."""
        heapq.heappush(self.heap, (request.hold_until, request.id, request))
        self.held += 1

    def schedule_check(self, now: int) -> int:
        """Return the time of the next drain; 0 if one is scheduled or nothing is held."""
        if self.next_check_at or not self.heap:
            return 0
        self.next_check_at = min(now + DRAIN_INTERVAL, max(now + 1, self.heap[0][0]))
        return self.next_check_at

    def drain(
        self,
        now: int,
        give_up: Callable[[int, Request], None],
        place: Callable[[int, Request], bool],
    ) -> None:
        """Send held requests for which a server has a token, and give up on expired ones."""
        not_placed: list[tuple[int, int, Request]] = []
        heap = self.heap
        while heap and len(not_placed) < DRAIN_BATCH:
            entry = heapq.heappop(heap)
            request = entry[2]
            if request.id not in self.open_requests:
                continue
            if now >= request.hold_until:
                give_up(now, request)
            elif not place(now, request):
                not_placed.append(entry)
        for entry in not_placed:
            heapq.heappush(heap, entry)
        self.held = len(heap)

    def remove_all(self) -> list[Request]:
        """Remove all requests; return those that are still open, earliest expiry first."""
        held = sorted(self.heap)
        self.heap = []
        self.held = 0
        return [request for _, req, request in held if req in self.open_requests]


class Retries:
    """The retry budget, and the times at which repeatable requests may be hedged."""

    def __init__(self, open_requests: dict[int, Request]) -> None:
        self.open_requests = open_requests
        self.budget = RETRY_BUDGET_MAX / 2
        self.hedge_times: list[tuple[int, int]] = []  # heap of (time, request id)
        self.next_check_at = 0

    def on_request(self) -> None:
        """Add a new request's contribution to the retry budget."""
        self.budget = min(RETRY_BUDGET_MAX, self.budget + RETRIES_PER_REQUEST)

    def schedule_hedge(self, now: int, request: Request, usual_latency: float) -> None:
        """Schedule when to hedge a repeatable request if its first attempt has no response."""
        at = now + max(HEDGE_DELAY_MIN, int(HEDGE_LATENCY_MULTIPLE * usual_latency))
        if at < request.hold_until:
            heapq.heappush(self.hedge_times, (at, request.id))

    def schedule_check(self) -> int:
        """Return when to look for requests to hedge; 0 if that is scheduled or there are none."""
        times = self.hedge_times
        while times and times[0][1] not in self.open_requests:
            heapq.heappop(times)
        if not times or self.next_check_at:
            return 0
        self.next_check_at = times[0][0]
        return self.next_check_at

    def may_hedge(self, request: Request, usual_latency: float) -> bool:
        """Return whether the budget allows a hedge and the server has answered later requests."""
        return self.budget >= 1.0 and has_answered_later(request, usual_latency)

    def pop_unanswered(self, now: int) -> list[Request]:
        """Remove due entries; return those requests whose only attempt has no response yet."""
        self.next_check_at = 0
        times = self.hedge_times
        found = []
        while times and times[0][0] <= now:
            request = self.open_requests.get(heapq.heappop(times)[1])
            if request is not None and request.open_attempts == 1 and request.attempts == 1:
                found.append(request)
        return found


def has_answered_later(request: Request, usual_latency: float) -> bool:
    """Return whether its server has answered requests sent well after the first attempt."""
    server = request.first_server
    sent = server.in_flight.get((request.id, 0)) if server is not None else None
    if server is None or sent is None or not usual_latency:
        return False
    return server.answered_sent_at > sent + usual_latency
