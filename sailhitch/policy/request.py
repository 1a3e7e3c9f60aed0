"""A request that is owed an answer, and the rule on effects, in one place."""

from __future__ import annotations

from ..settings import KEYED, SAFE, Limits, RequestClass
from .server import Server

WINDOW_MARGIN = 0.9  # a key's repeat window is used up to this share, for what the way takes


class Request:
    """A request this gateway owes an answer for."""

    __slots__ = (
        "arrived", "at", "attempts", "cls", "coin", "filling", "first", "group",
        "group_until", "hold_until", "id", "judged", "key", "may_have_run", "out", "rank",
        "streaming", "useless", "work",
    )  # fmt: skip

    def __init__(
        self, now: int, req: int, cls: RequestClass, deadline: int, work: int, key: int | None
    ) -> None:
        self.id, self.cls, self.work, self.key = req, cls, work, key
        self.at = 0  # the class's place in the settings
        self.first: Server | None = None  # where its first attempt went
        self.arrived = now
        self.attempts = self.out = 0
        self.may_have_run = self.streaming = self.filling = self.judged = False
        self.group: Server | None = None  # whose group may get a repeat of a keyed request
        self.group_until = 0
        self.hold_until = deadline
        self.useless = 0  # when its answer is worth nothing, if before its client gives up
        self.coin = 0.0
        self.rank = 0  # how many candidates, the first ones, may have met its key

    def may_send(self, now: int, server: Server, limits: Limits) -> bool:
        """Whether an attempt at this server keeps the rule on effects."""
        if self.attempts >= limits.max_attempts or (self.out and not limits.may_duplicate):
            return False
        if not (self.may_have_run or self.out) or self.cls.effect == SAFE:
            return True
        first, group = self.group, self.cls.group
        if self.cls.effect != KEYED or first is None or now >= self.group_until:
            return False
        return (
            group == "all"
            or (group == "zone" and server.zone == first.zone)
            or (group == "cell" and server.cell == first.cell)
        )

    def ran(self, server: Server | None, sent: int | None) -> None:
        """Note that an attempt may have run: from its sending the window of its group counts."""
        if not self.may_have_run:
            self.may_have_run = True
            if server is not None and sent is not None:
                self.group = server
                self.group_until = sent + int(self.cls.window * WINDOW_MARGIN)

    def harmless(self) -> bool:
        """Whether a refusal is true.

        Danger: it tells the client that a repeat is harmless, which it is not where an attempt may
        have run, unless the class is safe or every server drops the repeat.
        """
        return (
            (not self.may_have_run and not self.out)
            or self.cls.effect == SAFE
            or (self.cls.effect == KEYED and self.cls.group == "all")
        )
