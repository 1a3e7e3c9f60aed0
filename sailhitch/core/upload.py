"""The body of a request that is streamed to a host. No I/O.

Tracks which part is buffered and whether it can be sent again, and applies flow control between the
source, which reads from the client, and the sink, which writes to the host.
"""

from __future__ import annotations

from typing import Protocol

from .budget import Budget


class Source(Protocol):
    """Where the body comes from: a front's connection."""

    def pause_reading(self) -> None:
        """Stop reading for now."""

    def resume_reading(self) -> None:
        """Continue reading."""


class Sink(Protocol):
    """Where the body goes: a connection to a host."""

    def send_body(self, data: bytes, last: bool) -> None:
        """Send more bytes, or only the end; call `Upload.on_written` once all is written."""


class Upload:
    """One body; its start, which arrived before there was a sink, can be sent again."""

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
        self.chunked = chunked  # its length is unknown until its end
        self.start: bytearray | None = bytearray(start)  # None once it is released
        self.size = len(start)
        self.complete = False  # its last byte has arrived
        self.abandoned = False  # the request is over
        self.sink: Sink | None = None
        self._pending = bytearray()  # bytes of the current read
        self._reserved = 0
        self._reserve(len(start))

    def _reserve(self, size: int) -> None:
        self.budget.streamed += size - self._reserved
        self._reserved = size

    def replayable(self) -> bool:
        """Return whether an attempt can still send it from its first byte."""
        return self.start is not None and not self.abandoned

    def add(self, data: bytes) -> None:
        """Add bytes that have arrived; `flush` follows at the end of each read."""
        self.size += len(data)
        if not self.abandoned:
            self._pending += data

    def flush(self) -> None:
        """Pass the bytes of a read to the sink; without one, buffer them."""
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
            self.sink.send_body(data, self.complete)

    def open(self, sink: Sink) -> tuple[bytes, bool]:
        """Attach an attempt's sink; return the start, and whether it is the complete body.

        Allowed only while `replayable`.
        """
        assert self.start is not None
        self.sink = sink
        return bytes(self.start), self.complete

    def on_written(self, sink: Sink) -> None:
        """Resume reading, as the sink has written everything."""
        if self.sink is sink and not self.abandoned and not self.complete:
            self.source.resume_reading()

    def detach(self, sink: Sink) -> None:
        """Detach the sink of an attempt that is over."""
        if self.sink is sink:
            self.sink = None

    def close(self) -> None:
        """Discard the body, and bytes of it that still arrive, as the request is over."""
        if not self.abandoned:
            self.abandoned = True
            self.sink = None
            self.start = None
            self._pending.clear()
            self._reserve(0)
            self.source.resume_reading()
