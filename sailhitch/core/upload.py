"""The body of a request that is streamed to a host. No I/O.

Tracks which part is buffered and whether it can be sent again, and applies flow control between the
source, which reads from the client, and the sink, which writes to the host.
"""

from __future__ import annotations

from typing import Final, Protocol

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

    def unsent_size(self) -> int:
        """Return how many bytes were not handed over to the system yet."""

    def is_writable(self) -> bool:
        """Return whether the system would take more bytes now, as the host has read some."""


Observation = tuple[Sink | None, int, int]
"""The sink, the body's size so far, and how many bytes the system has not taken."""

NOTHING_OBSERVED: Final[Observation] = (None, 0, 0)


class Upload:
    """One body; its start, which arrived before there was a sink, can be sent again."""

    __slots__ = (
        "_observed",
        "_pending",
        "_progress_at",
        "_reserved",
        "abandoned",
        "arrived_at",
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
        self.complete = False  # its last byte has been read
        self.arrived_at = 0  # when its last byte arrived, if that is known before it is read
        self.abandoned = False  # the request is over
        self.sink: Sink | None = None
        self._pending = bytearray()  # bytes of the current read
        self._reserved = 0
        self._observed = NOTHING_OBSERVED
        self._progress_at = 0  # when `observe_progress` last saw a change
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

    def observe_progress(self, now: int) -> None:
        """Record whether bytes have moved since the last call; called several times a second."""
        observed = self._observe()
        if observed != self._observed:
            self._observed = observed
            self._progress_at = now

    def _observe(self) -> Observation:
        unsent = self.sink.unsent_size() if self.sink is not None else 0
        return self.sink, self.size, unsent

    def silent_for(self, now: int) -> int:
        """Return for how long the sink is known to have taken nothing; 0 without a sink.

        What the host takes while this process is stalled makes the socket writable, and it remains
        so until this process writes again. So a stall counts like any other time, unless the
        socket is writable now.
        """
        sink = self.sink
        if sink is None or self._observe() != self._observed or sink.is_writable():
            return 0
        return now - self._progress_at

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
            self._observed = NOTHING_OBSERVED  # it holds the sink

    def close(self) -> None:
        """Discard the body, and bytes of it that still arrive, as the request is over."""
        if not self.abandoned:
            self.abandoned = True
            self.sink = None
            self._observed = NOTHING_OBSERVED
            self.start = None
            self._pending.clear()
            self._reserve(0)
            self.source.resume_reading()
