"""Distorted HTTP/1.1 messages, made from the grammar: each element of a message, in each fault.

An element is what a message repeats until an end: the bytes of a field, the fields of a head, the
chunks of a body (RFC 9112). A fault says how often it is repeated, how fast, and whether its end
comes. A stream is what a peer sends for one element in one fault.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

CHUNKED = b"Transfer-Encoding: chunked\r\n"
LAST_CHUNK = b"0\r\n\r\n"
LONG = 2_000_000  # bytes of a body whose length is given


class Fault(StrEnum):
    """How an element is distorted."""

    NEVER_ENDS = "never-ends"  # goes on at high speed, and its end does not come
    TRICKLES = "trickles"  # goes on in small pieces, and its end does not come
    ENDS_LATE = "ends-late"  # goes on for seconds, then ends
    TOO_LONG = "too-long"  # is very long, comes at once and ends
    STOPS = "stops"  # comes in part, and nothing follows


class Rhythm(NamedTuple):
    """How the repeated part of an element is sent."""

    piece: int  # bytes at a time
    pieces: int
    pause: float  # s after each
    ends: bool


ENDLESS = 1 << 40  # pieces
RHYTHMS = {
    Fault.NEVER_ENDS: Rhythm(8192, ENDLESS, 0.01, False),
    Fault.TRICKLES: Rhythm(40, ENDLESS, 0.05, False),
    Fault.ENDS_LATE: Rhythm(1400, 50, 0.05, True),
    Fault.TOO_LONG: Rhythm(300_000, 1, 0.0, True),
    Fault.STOPS: Rhythm(30_000, 1, 0.0, False),
}


class Element(NamedTuple):
    """An element: what precedes it in its message, what is repeated, and its end."""

    before: bytes
    unit: bytes
    after: bytes


def _in_chunked(before: bytes, unit: bytes, after: bytes) -> Element:
    return Element(b"{chunked}" + before, unit, after)


# In `before`, `{head}` stands for the lines of a sound request's head without its last empty line,
# `{chunked}` for such a head and the start of a chunked body.
REQUEST_ELEMENTS = {
    "method": Element(b"", b"G", b" / HTTP/1.1\r\nHost: h\r\n\r\n"),
    "target": Element(b"GET /", b"a", b" HTTP/1.1\r\nHost: h\r\n\r\n"),
    "version": Element(b"GET / HTTP/1.", b"1", b"\r\nHost: h\r\n\r\n"),
    "empty-lines": Element(b"", b"\r\n", b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
    "field-name": Element(b"{head}", b"a", b": v\r\n\r\n"),
    "field-value": Element(b"{head}A: ", b"v", b"\r\n\r\n"),
    "field-space": Element(b"{head}A:", b" ", b"v\r\n\r\n"),
    "fields": Element(b"{head}", b"a:\r\n", b"\r\n"),
    "long-fields": Element(b"{head}", b"A: " + b"v" * 200 + b"\r\n", b"\r\n"),
    "length-body": Element(b"{head}Content-Length: %d\r\n\r\n" % LONG, b"x", b""),
    "short-body": Element(b"{head}Content-Length: 60000\r\n\r\n", b"x", b""),
    "chunk-size": _in_chunked(b"", b"0", b"1\r\nx\r\n" + LAST_CHUNK),
    "chunk-extension": _in_chunked(b"1;", b"e", b"\r\nx\r\n" + LAST_CHUNK),
    "quoted-extension": _in_chunked(b'1;e="', b"e", b'"\r\nx\r\n' + LAST_CHUNK),
    "extended-chunks": _in_chunked(b"", b"1;" + b"e" * 300 + b"\r\nx\r\n", LAST_CHUNK),
    "short-chunks": _in_chunked(b"", b"1\r\nx\r\n", LAST_CHUNK),
    "trailer-name": _in_chunked(b"1\r\nx\r\n0\r\n", b"a", b": v\r\n\r\n"),
    "trailer-value": _in_chunked(b"1\r\nx\r\n0\r\nA: ", b"v", b"\r\n\r\n"),
    "trailer-space": _in_chunked(b"1\r\nx\r\n0\r\nA:", b" ", b"v\r\n\r\n"),
    "trailers": _in_chunked(b"1\r\nx\r\n0\r\n", b"a:\r\n", b"\r\n"),
    "long-trailer": _in_chunked(b"11170\r\n" + b"x" * 0x11170 + b"\r\n0\r\nA: ", b"v", b"\r\n\r\n"),
    "requests": Element(b"", b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n", b""),
}

# In `before`, `{body}` stands for the start of a sound answer's body.
_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED_ANSWER = _OK + CHUNKED + b"\r\n"
ANSWER_ELEMENTS = {
    "reason": Element(b"HTTP/1.1 200 ", b"k", b"\r\nContent-Length: 0\r\n\r\n"),
    "field-name": Element(_OK, b"a", b": v\r\nContent-Length: 0\r\n\r\n"),
    "field-value": Element(_OK + b"A: ", b"v", b"\r\nContent-Length: 0\r\n\r\n"),
    "fields": Element(_OK, b"a:\r\n", b"Content-Length: 0\r\n\r\n"),
    "long-fields": Element(_OK, b"A: " + b"v" * 200 + b"\r\n", b"Content-Length: 0\r\n\r\n"),
    "interim-answers": Element(
        b"", b"HTTP/1.1 103 Early\r\nA: b\r\n\r\n", _OK + b"Content-Length: 0\r\n\r\n"
    ),
    "interim-value": Element(
        b"HTTP/1.1 103 Early\r\nA: ", b"v", b"\r\n\r\n" + _OK + b"Content-Length: 0\r\n\r\n"
    ),
    "length-body": Element(_OK + b"Content-Length: %d\r\n\r\n" % LONG, b"x", b""),
    "body-to-close": Element(_OK + b"\r\n", b"x", b""),
    "chunk-size": Element(_CHUNKED_ANSWER, b"0", b"1\r\nx\r\n" + LAST_CHUNK),
    "chunk-extension": Element(_CHUNKED_ANSWER + b"1;", b"e", b"\r\nx\r\n" + LAST_CHUNK),
    "short-chunks": Element(_CHUNKED_ANSWER, b"1\r\nx\r\n", LAST_CHUNK),
    "trailer-name": Element(_CHUNKED_ANSWER + b"1\r\nx\r\n0\r\n", b"a", b": v\r\n\r\n"),
    "trailer-value": Element(_CHUNKED_ANSWER + b"1\r\nx\r\n0\r\nA: ", b"v", b"\r\n\r\n"),
    "trailers": Element(_CHUNKED_ANSWER + b"1\r\nx\r\n0\r\n", b"a:\r\n", b"\r\n"),
    "after-answer": Element(_OK + b"Content-Length: 2\r\n\r\nok", b"x", b""),
    "error-body": Element(b"HTTP/1.1 500 No\r\nContent-Length: %d\r\n\r\n" % LONG, b"x", b""),
}


@dataclass(frozen=True, slots=True)
class Stream:
    """What a peer sends for one element in one fault."""

    element: Element
    fault: Fault

    def pieces(self, head: bytes = b"") -> Iterator[tuple[bytes, float]]:
        """Yield what is sent, with the pause after it; `head` are lines of a sound request."""
        before, unit, after = self.element
        before = before.replace(b"{head}", head)
        before = before.replace(b"{chunked}", head + CHUNKED + b"\r\n")
        rhythm = RHYTHMS[self.fault]
        piece = unit * max(1, rhythm.piece // len(unit))
        yield before, 0.0
        for _ in range(rhythm.pieces):
            yield piece, rhythm.pause
        if rhythm.ends:
            yield after, 0.0


REQUEST_STREAMS = [(name, fault) for name in REQUEST_ELEMENTS for fault in Fault]
ANSWER_STREAMS = [(name, fault) for name in ANSWER_ELEMENTS for fault in Fault]


def request_stream(name: str, fault: Fault) -> Stream:
    """Return what a client sends."""
    return Stream(REQUEST_ELEMENTS[name], fault)


def answer_stream(number: int) -> Stream:
    """Return what a host sends, by its number among ANSWER_STREAMS."""
    name, fault = ANSWER_STREAMS[number]
    return Stream(ANSWER_ELEMENTS[name], fault)


class Choice(NamedTuple):
    """What one client of a crowd plays: a stream of its own, or one of its host."""

    request: Stream | None
    answer_number: int = 0  # among ANSWER_STREAMS, if `request` is None
    lead: bytes = b""  # sent before the stream


LEADS = (b"", b"", b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n", b"{open}")
HOST_SHARE = 0.3  # of the clients play a stream of their host


def draw(rng: random.Random) -> Choice:
    """Draw what a client plays; a lead of `{open}` stands for a request that stays open."""
    if rng.random() < HOST_SHARE:
        return Choice(None, rng.randrange(len(ANSWER_STREAMS)))
    name, fault = rng.choice(REQUEST_STREAMS)
    return Choice(request_stream(name, fault), lead=rng.choice(LEADS))
