"""Parses and executes requests to the operators' endpoint. No I/O.

HTTP/1.1 (RFC 9112), one request per connection. A request had an effect only if its status is 2xx.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import Final, NamedTuple, Protocol
from urllib.parse import parse_qsl, urlsplit

import httptools

MAX_REQUEST_BYTES: Final = 8 * 1024  # head and body
STATUS = "/status"
ENTER = "/maintenance/enter"
EXIT = "/maintenance/exit"
METHODS: Final = {STATUS: ("GET", "HEAD"), ENTER: ("POST",), EXIT: ("POST",)}


class OperatorActions(Protocol):
    """The actions that a request can execute."""

    def serving(self) -> bool:
        """Return whether this process can serve."""

    def enter(self, target: str) -> bool:
        """Take a host out; return False for an id that was never listed."""

    def leave(self, target: str) -> bool:
        """Put a host back; return False for an id that was never listed."""


class OperatorResponse(NamedTuple):
    """A plain-text response to an operator."""

    status: int
    text: str
    fields: tuple[tuple[str, str], ...] = ()

    def serialize(self, head_only: bool = False) -> bytes:
        """Return the response as bytes; `head_only` omits the body (HEAD)."""
        body = f"{self.text}\n".encode()
        lines = [f"HTTP/1.1 {self.status} {HTTPStatus(self.status).phrase}"]
        lines += [f"{name}: {value}" for name, value in self.fields]
        lines += ["Content-Type: text/plain", f"Content-Length: {len(body)}", "Connection: close"]
        head = "\r\n".join([*lines, "", ""]).encode()
        return head if head_only else head + body


class OperatorRequest:
    """Parses one request and executes it; `response` is set once there is one."""

    def __init__(self, actions: OperatorActions) -> None:
        self.actions = actions
        self.response: OperatorResponse | None = None
        self.method = ""
        self._url = b""
        self._received = 0
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> OperatorResponse | None:
        """Parse bytes; return the response once the request is complete or rejected."""
        if self.response is not None:
            return self.response
        self._received += len(data)
        if self._received > MAX_REQUEST_BYTES:
            self.response = OperatorResponse(413, f"a call has at most {MAX_REQUEST_BYTES} bytes")
            return self.response
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.response = self.response or OperatorResponse(
                400, "no other protocol is spoken here"
            )
        except httptools.HttpParserError as error:
            self.response = self.response or OperatorResponse(400, f"unreadable: {error}")
        return self.response

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target; called by the parser."""
        self._url += url

    def on_headers_complete(self) -> None:
        """Set the method; called by the parser."""
        self.method = self._parser.get_method().decode("latin-1")

    def on_message_complete(self) -> None:
        """Execute the request; called by the parser."""
        if self.response is None:
            self.response = self._execute()

    def _execute(self) -> OperatorResponse:
        try:
            parts = urlsplit(self._url.decode("ascii"))
            query = parse_qsl(parts.query, keep_blank_values=True, errors="strict")
        except ValueError:
            return OperatorResponse(400, "the address is not readable")
        methods = METHODS.get(parts.path)
        if methods is None:
            return OperatorResponse(404, "no such call; there are " + ", ".join(METHODS))
        if self.method not in methods:
            allowed = ", ".join(methods)
            return OperatorResponse(405, f"{parts.path} takes {allowed}", (("Allow", allowed),))
        if parts.path == STATUS:
            if self.actions.serving():
                return OperatorResponse(200, "serving")
            return OperatorResponse(503, "not serving")
        targets = [value for name, value in query if name == "target"]
        if len(targets) != 1 or not targets[0]:
            return OperatorResponse(
                400, f"{parts.path} wants one target=ID, the id that discovery gives"
            )
        return self._change_maintenance(parts.path, targets[0])

    def _change_maintenance(self, path: str, target: str) -> OperatorResponse:
        known = self.actions.enter(target) if path == ENTER else self.actions.leave(target)
        if not known:
            return OperatorResponse(404, "no host of that id was ever listed")
        return OperatorResponse(200, "out for maintenance" if path == ENTER else "in use")
