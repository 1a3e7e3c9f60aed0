"""A request that has no final response yet, and the rules on sending it more than once."""

from __future__ import annotations

from typing import Final

from ..settings import Idempotency, Limits, RequestClass
from .server import Server

ATTEMPT_TIME_MULTIPLE: Final = 1.5  # attempts are abandoned after this multiple of the useful time
# Share of the idempotency window that is used: requests take time to reach the server.
WINDOW_MARGIN: Final = 0.9


class Request:
    """A request that this gateway has yet to answer."""

    __slots__ = (
        "affinity_count",
        "arrived_at",
        "attempts",
        "attempts_end_at",
        "class_index",
        "first_server",
        "follows_stall",
        "hold_until",
        "id",
        "is_uploading",
        "key",
        "latency_recorded",
        "may_have_run",
        "open_attempts",
        "ran_on",
        "repeatable_until",
        "request_class",
        "selection_draw",
        "stalled_before",
        "streaming",
        "work",
    )

    def __init__(
        self, now: int, req: int, cls: RequestClass, deadline: int, work: int, key: int | None
    ) -> None:
        self.id = req
        self.request_class = cls
        self.work = work
        self.key = key
        self.class_index = 0  # index of the class in the settings
        self.first_server: Server | None = None  # server of the first attempt
        self.arrived_at = now
        self.stalled_before = 0  # `Overload.stalled_time` when it arrived
        self.follows_stall = False  # it was read right after a stall, with all that came in it
        self.attempts = 0
        self.open_attempts = 0
        self.may_have_run = False
        self.streaming = False  # the response has begun
        self.is_uploading = False  # the request body is incomplete
        self.latency_recorded = False  # the class's latency was updated
        # The first server that may have run it. A keyed request may be repeated only at servers in
        # the same idempotency scope.
        self.ran_on: Server | None = None
        self.repeatable_until = 0  # end of the idempotency window, less a margin
        self.hold_until = deadline
        self.attempts_end_at = 0  # when attempts are abandoned; 0 means at the client's deadline
        self.selection_draw = 0.0  # random number that may select a server in slow start
        self.affinity_count = 0  # number of leading candidates that are replicas of its key

    def set_time_limits(self, now: int, deadline: int, usual_latency: int) -> None:
        """Set until when the request may be held, and when its attempts are abandoned.

        It is held only while it can still be served within its objective, or within its deadline if
        its class gives weight to late responses. An attempt whose response would come too late to
        be useful is abandoned, as it only keeps a server busy. Times in microseconds.
        """
        request_class = self.request_class
        useful_time = request_class.latency_objective
        useful_time += int(request_class.objective_per_work * self.work)
        if request_class.late_weight > 0:
            useful_time = max(useful_time, request_class.deadline)
        self.hold_until = min(deadline, now + useful_time - usual_latency)
        if now + ATTEMPT_TIME_MULTIPLE * useful_time < deadline:
            self.attempts_end_at = now + int(ATTEMPT_TIME_MULTIPLE * useful_time)

    def count_from(self, arrived: int, deadline: int) -> None:
        """Count its times from when its last byte arrived, as is known by now."""
        shift = arrived - self.arrived_at
        self.arrived_at = arrived
        self.hold_until = min(deadline, self.hold_until + shift)
        self.attempts_end_at += shift if self.attempts_end_at else 0

    def may_send(self, now: int, server: Server, limits: Limits) -> bool:
        """Return whether an attempt at this server is allowed and can't repeat an effect."""
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
        """Record that an attempt may have run; the idempotency window starts when it was sent."""
        if not self.may_have_run:
            self.may_have_run = True
            if server is not None and sent is not None:
                self.ran_on = server
                window = self.request_class.idempotency_window
                self.repeatable_until = sent + int(window * WINDOW_MARGIN)

    def may_be_rejected(self) -> bool:
        """Return whether the request may be answered with a rejection.

        A rejection tells the client that it can safely repeat the request. If an attempt may have
        run, that is true only if the class is safe, or if every server recognizes the repeat by its
        idempotency key.
        """
        return (
            (not self.may_have_run and not self.open_attempts)
            or self.request_class.idempotency == Idempotency.SAFE
            or (
                self.request_class.idempotency == Idempotency.KEYED
                and self.request_class.idempotency_scope == "all"
            )
        )
