"""Number request classes consistently across changes of the settings. No I/O.

The decision module knows a class by its index in a list. A request keeps its class as it was when
the request's head arrived, whatever the settings say since; so removed classes keep a number for
a while.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from ..settings import RequestClass

RETENTION: Final = 60_000_000  # us that a removed class is kept; longer than any request lives
MAX_RETAINED: Final = 256  # removed classes; those removed first are dropped first


class RequestClasses:
    """The current classes, followed by removed ones that open requests may have."""

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        self.current: tuple[RequestClass, ...] = tuple(classes)
        self.past: list[tuple[int, RequestClass]] = []  # with the time (us) they are kept until
        self._number()

    def _number(self) -> None:
        past = [request_class for _, request_class in self.past]
        # By identity: hashing a class would take longer than everything else here.
        self._numbers = {id(cls): i for i, cls in enumerate((*self.current, *past))}

    def number(self, request_class: RequestClass) -> int | None:
        """Return the index in the module's list; None for a class that was dropped."""
        return self._numbers.get(id(request_class))

    def replace(
        self, now: int, classes: Sequence[RequestClass], also: Sequence[RequestClass] = ()
    ) -> tuple[RequestClass, ...]:
        """Set the current classes; return the module's list, with removed ones at its end.

        `also` are classes that requests may have besides, and are kept as removed ones are.
        """
        until = now + RETENTION
        retained = [(at, request_class) for at, request_class in self.past if at > now]
        removed = [(until, request_class) for request_class in (*self.current, *also)]
        self.past = [*retained, *removed][-MAX_RETAINED:]
        self.current = tuple(classes)
        self._number()
        return (*self.current, *[request_class for _, request_class in self.past])
