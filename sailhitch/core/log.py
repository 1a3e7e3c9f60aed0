"""Log lines for on-call staff, on standard error, at a bounded rate."""

from __future__ import annotations

import select
import sys
import time
from typing import Final, TextIO

PER_KEY: Final = 5.0  # seconds between two lines about the same thing
BURST: Final = 40  # lines within a second, whatever they are about
KEYS: Final = 512
LONGEST: Final = select.PIPE_BUF  # bytes of a line; a pipe that polls writable takes so many


class Log:
    """Owns standard error. Whatever a peer can cause a thousand times a second must not
    cost a line each time; what is left out is counted and said with the next line of its kind.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._last: dict[str, tuple[float, int]] = {}
        self._second = 0
        self._lines = 0
        self._lost = 0  # lines that standard error did not take

    def write(self, text: str) -> None:
        """Write a line that comes seldom by itself."""
        now = time.time()
        if int(now) != self._second:
            self._second = int(now)
            self._lines = 0
        self._lines += 1
        if self._lines > BURST:
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
            return  # nobody reads the log; the gateway goes on

    def write_limited(self, key: str, text: str) -> None:
        """Write a line about something that may happen often: one in a while for each key."""
        now = time.monotonic()
        last, missed = self._last.get(key, (-PER_KEY, 0))
        if now - last < PER_KEY:
            self._last[key] = (last, missed + 1)
            return
        if len(self._last) >= KEYS:
            self._last.clear()
        self._last[key] = (now, 0)
        self.write(f"{text} ({missed} more like this before)" if missed else text)


def _line(text: str) -> str:
    """Return a text as one line, cut where it is too long.

    What is cut must be bytes and not characters, and must not be the end of the line: the
    next line would run into it.
    """
    encoded = text.encode(errors="backslashreplace")
    if len(encoded) >= LONGEST:
        text = encoded[: LONGEST - 1].decode(errors="ignore")
    return text + "\n"


def _has_room(stream: TextIO) -> bool:
    """Return whether a line can be written without waiting.

    Guards against a pipe whose reader has stopped: a write to a full one blocks the event loop, and
    every request with it. A pipe is writable if PIPE_BUF bytes fit in; a file always is (poll(2)).
    """
    try:
        descriptor = stream.fileno()
    except (OSError, ValueError):
        return True  # it is none of the system's
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return bool(poll.poll(0))
