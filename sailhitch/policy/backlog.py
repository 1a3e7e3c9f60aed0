"""Requests that wait for a token, and what further attempts may cost."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from .request import Request

HOLD_STEP = 10_000  # how often the backlog looks for tokens
DRAIN_BATCH = 8  # held requests tried at one look
HEDGE_AFTER = 4.0  # a repeatable request silent for this multiple of its class's latency goes twice
HEDGE_MIN = 20_000
HEDGE_QUEUE = 0.5  # ...where the typical server reports a shorter queue than this: there is room
RETRY_SHARE = 0.15  # further attempts earned by a request, for those that may cost server work
RETRY_BANK = 10.0


class Backlog:
    """Held requests, those with the least time left first."""

    def __init__(self, live: dict[int, Request]) -> None:
        self.live = live
        self.heap: list[tuple[int, int, Request]] = []
        self.held = self.look_at = 0

    def hold(self, request: Request) -> None:
        heapq.heappush(self.heap, (request.hold_until, request.id, request))
        self.held += 1

    def next_look(self, now: int) -> int:
        """When to look at them, if that is not arranged yet; 0 if it is or none is held."""
        if self.look_at or not self.heap:
            return 0
        self.look_at = min(now + HOLD_STEP, max(now + 1, self.heap[0][0]))
        return self.look_at

    def drain(self, now: int, give_up: Callable[[int, Request], None],
              place: Callable[[int, Request], bool]) -> None:  # fmt: skip
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
        """All that are held and owed, in their order; none is held from now on."""
        held, self.heap, self.held = sorted(self.heap), [], 0
        return [request for _, req, request in held if req in self.live]


class Retries:
    """The bank that further attempts are paid from, and requests that may go a second time."""

    def __init__(self, live: dict[int, Request]) -> None:
        self.live = live
        self.bank = RETRY_BANK / 2
        self.waiting: list[tuple[int, int]] = []  # when a request has been silent for too long
        self.look_at = 0

    def earn(self) -> None:
        self.bank = min(RETRY_BANK, self.bank + RETRY_SHARE)

    def expect(self, now: int, request: Request, usual: float) -> None:
        """Note when a repeatable request's first attempt has been silent for too long."""
        at = now + max(HEDGE_MIN, int(HEDGE_AFTER * usual))
        if at < request.hold_until:
            heapq.heappush(self.waiting, (at, request.id))

    def next_look(self) -> int:
        """When to look at them, if that is not arranged yet; 0 if it is or none waits."""
        waiting = self.waiting
        while waiting and waiting[0][1] not in self.live:
            heapq.heappop(waiting)
        if not waiting or self.look_at:
            return 0
        self.look_at = waiting[0][0]
        return self.look_at

    def silent(self, now: int) -> list[Request]:
        """Those whose one attempt has been silent for too long by now."""
        self.look_at = 0
        waiting, found = self.waiting, []
        while waiting and waiting[0][0] <= now:
            request = self.live.get(heapq.heappop(waiting)[1])
            if request is not None and request.out == 1 and request.attempts == 1:
                found.append(request)
        return found


def overtaken(request: Request, usual: float) -> bool:
    """Whether the server of its one attempt has answered what was sent well after it."""
    server = request.first
    sent = server.flight.get((request.id, 0)) if server is not None else None
    if server is None or sent is None or not usual:
        return False
    return server.sent_seen > sent + usual
