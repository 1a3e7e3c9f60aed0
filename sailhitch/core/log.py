"""Log for operators: lines on standard error, at a bounded rate."""

from __future__ import annotations

import select
import sys
import time
from typing import Final, TextIO

INTERVAL_PER_KEY: Final = 5.0  # s between two lines with the same key
MAX_LINES_PER_SECOND: Final = 40  # over all keys
MAX_KEYS: Final = 512
MAX_LINE_BYTES: Final = select.PIPE_BUF  # a pipe that polls writable accepts this many


class Log:
    """Writes lines to standard error, at a bounded rate.

    A peer may cause the same event a thousand times a second, which must not cost a line each time.
    Omitted lines are counted, and the count is written with the next line of the same key.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._by_key: dict[
            str, tuple[float, int]
        ] = {}  # time of the last line, lines omitted since
        self._second = 0
        self._lines = 0  # in that second
        self._lost = 0  # lines that standard error did not accept

    def write(self, text: str) -> None:
        """Write a line about a rare event."""
        now = time.time()
        if int(now) != self._second:
            self._second = int(now)
            self._lines = 0
        self._lines += 1
        if self._lines > MAX_LINES_PER_SECOND:
            return
        stamp = time.strftime("%H:%M:%S", time.gmtime(now)) + f".{int(now % 1 * 1000):03d}"
        try:
            if not _has_room(sys.stderr):
                self._lost += 1
                return
            if self._lost:
                text = f"{text} ({self._lost} lines were lost before)"
                self._lost = 0
            sys.stderr.write(_line(f"{stamp} {self._name} {text}"))
            sys.stderr.flush()
        except (OSError, ValueError):
            return  # the log has no reader; the gateway continues

    def write_limited(self, key: str, text: str) -> None:
        """Write a line about an event that may be frequent; the rate is limited by key."""
        now = time.monotonic()
        last, omitted = self._by_key.get(key, (-INTERVAL_PER_KEY, 0))
        if now - last < INTERVAL_PER_KEY:
            self._by_key[key] = (last, omitted + 1)
            return
        if len(self._by_key) >= MAX_KEYS:
            self._by_key.clear()
        self._by_key[key] = (now, 0)
        self.write(f"{text} ({omitted} similar lines omitted)" if omitted else text)


def origin_of(error: Exception) -> str:
    """Return the function and line that raised an exception."""
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    return "line 0" if trace is None else f"{trace.tb_frame.f_code.co_name} line {trace.tb_lineno}"


def _line(text: str) -> str:
    """Return a text as one line, truncated if it is too long.

    The limit counts bytes, and includes the newline, which must not be cut off.
    """
    encoded = text.encode(errors="backslashreplace")
    if len(encoded) >= MAX_LINE_BYTES:
        text = encoded[: MAX_LINE_BYTES - 1].decode(errors="ignore")
    return text + "\n"


def _has_room(stream: TextIO) -> bool:
    """Return whether a line can be written without waiting.

    A write to a full pipe, whose reader has stopped, would block the event loop and every request.
    A pipe polls writable if PIPE_BUF bytes fit in; a file always does (poll(2)).
    """
    try:
        descriptor = stream.fileno()
    except (OSError, ValueError):
        return True  # without a descriptor, as in tests
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return bool(poll.poll(0))
