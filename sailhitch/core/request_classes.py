"""Numbers request classes consistently across changes of the settings. No I/O.

The decision module identifies a class by its index in a list. A request keeps the class that the
settings gave it when its head arrived, so removed classes keep an index for a while.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from ..settings import RequestClass

RETENTION: Final = 60_000_000  # us that a removed class is kept; longer than any request takes
MAX_RETAINED: Final = 256  # removed classes; the oldest are dropped


class RequestClasses:
    """The current classes, followed by removed ones that open requests may still have."""

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        self.current: tuple[RequestClass, ...] = tuple(classes)
        self.past: list[
            tuple[int, RequestClass]
        ] = []  # removed, with the time (us) until which they are kept
        self._number()

    def _number(self) -> None:
        past = [request_class for _, request_class in self.past]
        # By identity, as hashing a class would dominate the cost of a lookup.
        self._numbers = {id(cls): i for i, cls in enumerate((*self.current, *past))}

    def number(self, request_class: RequestClass) -> int | None:
        """Return a class's index in the module's list; None if it was dropped."""
        return self._numbers.get(id(request_class))

    def replace(
        self,
        now: int,
        classes: Sequence[RequestClass],
        extra_classes: Sequence[RequestClass] = (),
    ) -> tuple[RequestClass, ...]:
        """Set the current classes; return the module's list, with removed ones at its end.

        `extra_classes` are classes that requests may have besides; they are kept like removed ones.
        """
        until = now + RETENTION
        retained = [(at, request_class) for at, request_class in self.past if at > now]
        removed = [(until, request_class) for request_class in (*self.current, *extra_classes)]
        self.past = [*retained, *removed][-MAX_RETAINED:]
        self.current = tuple(classes)
        self._number()
        return (*self.current, *[request_class for _, request_class in self.past])
