"""The body of a request that goes to a host while it still comes. No I/O.

Owns what of it is held, whether it can be sent again, and whose turn it is: the source's to bring
more or the sink's to take it.
"""

from __future__ import annotations

from typing import Protocol

from .budget import Budget


class Source(Protocol):
    """Where it comes from: a front's connection."""

    def pause_reading(self) -> None:
        """Read no more for now."""

    def resume_reading(self) -> None:
        """Read on."""


class Sink(Protocol):
    """Where it goes: a connection to a host."""

    def more(self, data: bytes, last: bool) -> None:
        """Some more, perhaps none but the end. Says `Upload.taken` once it has let go of it."""


class Upload:
    """One body. What has come before a sink is there is its start, and can be sent again."""

    __slots__ = (
        "_pending",
        "_reserved",
        "abandoned",
        "budget",
        "chunked",
        "complete",
        "sink",
        "size",
        "source",
        "start",
    )

    def __init__(
        self, source: Source, start: bytes | bytearray, chunked: bool, budget: Budget
    ) -> None:
        self.source = source
        self.budget = budget
        self.chunked = chunked  # its length is not known beforehand
        self.start: bytearray | None = bytearray(start)  # None: it is not held any more
        self.size = len(start)
        self.complete = False  # its last byte has come
        self.abandoned = False  # nobody wants it any more
        self.sink: Sink | None = None
        self._pending = bytearray()  # of the read that is being looked at
        self._reserved = 0
        self._reserve(len(start))

    def _reserve(self, size: int) -> None:
        self.budget.flows += size - self._reserved
        self._reserved = size

    def replayable(self) -> bool:
        """Return whether an attempt can still send it from its first byte on."""
        return self.start is not None and not self.abandoned

    def came(self, data: bytes) -> None:
        """Some of it has come; `flush` follows once all of a read has."""
        self.size += len(data)
        if not self.abandoned:
            self._pending += data

    def flush(self) -> None:
        """All of a read has come: hand it on, or keep it where it can't go yet."""
        if self.abandoned:
            return
        if self.sink is None:
            if self.start is not None:
                self.start += self._pending
                self._reserve(len(self.start))
                self._pending.clear()
            else:
                self._reserve(len(self._pending))
            self.source.pause_reading()
        elif self._pending or self.complete:
            data = bytes(self._pending)
            self._pending.clear()
            self.start = None
            self._reserve(len(data))
            self.source.pause_reading()
            self.sink.more(data, self.complete)

    def open(self, sink: Sink) -> tuple[bytes, bool]:
        """Return an attempt begins: the start, and whether that is all. Only while `replayable`."""
        assert self.start is not None
        self.sink = sink
        return bytes(self.start), self.complete

    def taken(self, sink: Sink) -> None:
        """The sink holds nothing any more; the source may bring more."""
        if self.sink is sink and not self.abandoned and not self.complete:
            self.source.resume_reading()

    def left(self, sink: Sink) -> None:
        """The attempt that took it is over."""
        if self.sink is sink:
            self.sink = None

    def close(self) -> None:
        """The request is over: what still comes is thrown away as it comes."""
        if not self.abandoned:
            self.abandoned = True
            self.sink = self.start = None
            self._pending.clear()
            self._reserve(0)
            self.source.resume_reading()
