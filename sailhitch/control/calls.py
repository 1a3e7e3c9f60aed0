"""What a call to the operators' door says, and the answer it gets. No I/O.

One call to a connection, in HTTP/1.1 (RFC 9112). A 2xx means yes; 4xx and 5xx mean no.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import Final, NamedTuple, Protocol
from urllib.parse import parse_qsl, urlsplit

import httptools

MAX_CALL: Final = 8 * 1024  # head and body; a call has little to say
STATUS, ENTER, EXIT = "/status", "/maintenance/enter", "/maintenance/exit"
METHODS: Final = {STATUS: ("GET", "HEAD"), ENTER: ("POST",), EXIT: ("POST",)}


class Acts(Protocol):
    """What a call can ask for."""

    def serving(self) -> bool:
        """Whether this process can serve."""

    def enter(self, target: str) -> bool:
        """Take a host out; False for an id that was never listed."""

    def leave(self, target: str) -> bool:
        """Put a host back; False for an id that was never listed."""


class Reply(NamedTuple):
    """An answer, as staff read it."""

    status: int
    text: str
    fields: tuple[tuple[str, str], ...] = ()

    def wire(self, bare: bool = False) -> bytes:
        """The answer as bytes; it ends its connection. `bare` leaves the body out (HEAD)."""
        body = f"{self.text}\n".encode()
        lines = [f"HTTP/1.1 {self.status} {HTTPStatus(self.status).phrase}"]
        lines += [f"{name}: {value}" for name, value in self.fields]
        lines += ["Content-Type: text/plain", f"Content-Length: {len(body)}", "Connection: close"]
        head = "\r\n".join([*lines, "", ""]).encode()
        return head if bare else head + body


class Call:
    """Reads one call. `reply` is set once there is something to answer."""

    def __init__(self, acts: Acts) -> None:
        self.acts = acts
        self.reply: Reply | None = None
        self.method = ""
        self._url = b""
        self._got = 0
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> Reply | None:
        """Take in bytes; the answer once the call is whole or can't become one."""
        if self.reply is not None:
            return self.reply
        self._got += len(data)
        if self._got > MAX_CALL:
            self.reply = Reply(413, f"a call has at most {MAX_CALL} bytes")
            return self.reply
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.reply = self.reply or Reply(400, "no other protocol is spoken here")
        except httptools.HttpParserError as error:
            self.reply = self.reply or Reply(400, f"unreadable: {error}")
        return self.reply

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_headers_complete(self) -> None:
        self.method = self._parser.get_method().decode("latin-1")

    def on_message_complete(self) -> None:
        if self.reply is None:
            self.reply = self._decide()

    def _decide(self) -> Reply:
        try:
            parts = urlsplit(self._url.decode("ascii"))
            query = parse_qsl(parts.query, keep_blank_values=True, errors="strict")
        except ValueError:
            return Reply(400, "the address is not readable")
        methods = METHODS.get(parts.path)
        if methods is None:
            return Reply(404, "no such call; there are " + ", ".join(METHODS))
        if self.method not in methods:
            wanted = ", ".join(methods)
            return Reply(405, f"{parts.path} takes {wanted}", (("Allow", wanted),))
        if parts.path == STATUS:
            return Reply(200, "serving") if self.acts.serving() else Reply(503, "not serving")
        targets = [value for name, value in query if name == "target"]
        if len(targets) != 1 or not targets[0]:
            return Reply(400, f"{parts.path} wants one target=ID, the id that discovery gives")
        return self._maintain(parts.path, targets[0])

    def _maintain(self, path: str, target: str) -> Reply:
        known = self.acts.enter(target) if path == ENTER else self.acts.leave(target)
        if not known:
            return Reply(404, "no host of that id was ever listed")
        return Reply(200, "out for maintenance" if path == ENTER else "in use")
