"""Classes of requests by number, through changes of the settings. No I/O.

The module knows a class by its place in a list. A request knows its class by itself: as it was when
the request's head came, whatever the settings say since.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from ..settings import RequestClass

REMEMBERED: Final = 60_000_000  # us that a class which has gone is kept; longer than any request
MOST: Final = 256  # of them; those that went first are forgotten first


class Kinds:
    """The classes that hold, and behind them those that requests under way may have."""

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        self.current: tuple[RequestClass, ...] = tuple(classes)
        self.past: list[tuple[int, RequestClass]] = []  # until when, oldest first
        self._number()

    def _number(self) -> None:
        past = [kind for _, kind in self.past]
        # By identity: to hash a class takes longer than all else that is done with it.
        self._numbers = {id(kind): i for i, kind in enumerate((*self.current, *past))}

    def number(self, kind: RequestClass) -> int | None:
        """Its place in the module's list; None where it is long forgotten."""
        return self._numbers.get(id(kind))

    def turn(
        self, now: int, classes: Sequence[RequestClass], also: Sequence[RequestClass] = ()
    ) -> tuple[RequestClass, ...]:
        """Other classes hold now; the list for the module: those, then the ones that went."""
        until = now + REMEMBERED
        left = [(at, kind) for at, kind in self.past if at > now]
        gone = [(until, kind) for kind in (*self.current, *also)]
        self.past = [*left, *gone][-MOST:]
        self.current = tuple(classes)
        self._number()
        return (*self.current, *[kind for _, kind in self.past])
