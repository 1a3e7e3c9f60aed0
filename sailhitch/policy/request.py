"""A request that has no final response yet, and the rule against repeated effects."""

from __future__ import annotations

from typing import Final

from ..settings import Idempotency, Limits, RequestClass
from .server import Server

ATTEMPT_TIME_MULTIPLE: Final = 1.5  # of the time in which its response is useful
# The part of the idempotency window that is used, as requests take a while to arrive.
WINDOW_MARGIN: Final = 0.9


class Request:
    """A request that this gateway has to respond to."""

    __slots__ = (
        "arrived_at",
        "attempts",
        "class_index",
        "first_server",
        "hold_until",
        "id",
        "is_uploading",
        "judged",
        "key",
        "may_have_run",
        "open_attempts",
        "ran_on",
        "rank",
        "repeatable_until",
        "request_class",
        "selection_draw",
        "streaming",
        "work",
        "worthless_at",
    )

    def __init__(
        self, now: int, req: int, cls: RequestClass, deadline: int, work: int, key: int | None
    ) -> None:
        self.id = req
        self.request_class = cls
        self.work = work
        self.key = key
        self.class_index = 0  # the class's place in the settings
        self.first_server: Server | None = None  # where its first attempt went
        self.arrived_at = now
        self.attempts = 0
        self.open_attempts = 0
        self.may_have_run = False
        self.streaming = False  # the response has begun
        self.is_uploading = False  # its body is incomplete
        self.judged = False  # its latency has been learned from
        # The server that may have run it first, in whose scope a keyed request may be repeated.
        self.ran_on: Server | None = None
        self.repeatable_until = 0  # by the idempotency window
        self.hold_until = deadline
        self.worthless_at = 0  # if before the client's deadline; else 0
        self.selection_draw = 0.0
        self.rank = 0  # the first candidates, which have seen its key before

    def limit_wait(self, now: int, deadline: int, usual_latency: int) -> None:
        """Set until when the request may be held, and from when its answer is worth nothing.

        It is held only while it can still be served in time; a weight for late answers extends
        that. A worthless answer is not waited for, as it keeps a server busy. Times in
        microseconds.
        """
        request_class = self.request_class
        useful = request_class.latency_objective
        useful += int(request_class.objective_per_work * self.work)
        if request_class.late_weight > 0:
            useful = max(useful, request_class.deadline)
        self.hold_until = min(deadline, now + useful - usual_latency)
        if now + ATTEMPT_TIME_MULTIPLE * useful < deadline:
            self.worthless_at = now + int(ATTEMPT_TIME_MULTIPLE * useful)

    def may_send(self, now: int, server: Server, limits: Limits) -> bool:
        """Return whether an attempt at this server keeps the rule against repeated effects."""
        if self.attempts >= limits.max_attempts or (
            self.open_attempts and not limits.may_duplicate
        ):
            return False
        if (
            not (self.may_have_run or self.open_attempts)
            or self.request_class.idempotency == Idempotency.SAFE
        ):
            return True
        is_keyed = self.request_class.idempotency == Idempotency.KEYED
        first = self.ran_on
        if not is_keyed or first is None or now >= self.repeatable_until:
            return False
        scope = self.request_class.idempotency_scope
        return (
            scope == "all"
            or (scope == "zone" and server.zone == first.zone)
            or (scope == "cell" and server.cell == first.cell)
        )

    def on_may_have_run(self, server: Server | None, sent: int | None) -> None:
        """Record that an attempt may have run: the idempotency window counts from its sending."""
        if not self.may_have_run:
            self.may_have_run = True
            if server is not None and sent is not None:
                self.ran_on = server
                window = self.request_class.idempotency_window
                self.repeatable_until = sent + int(window * WINDOW_MARGIN)

    def may_be_rejected(self) -> bool:
        """Return whether a rejection would be true.

        It tells the client that a repeat is harmless. Where an attempt may have run, that holds
        only if the class is safe, or if every server recognizes the repeat by its key.
        """
        return (
            (not self.may_have_run and not self.open_attempts)
            or self.request_class.idempotency == Idempotency.SAFE
            or (
                self.request_class.idempotency == Idempotency.KEYED
                and self.request_class.idempotency_scope == "all"
            )
        )
