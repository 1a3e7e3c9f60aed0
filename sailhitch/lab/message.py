"""Encodes requests as clients send them."""

from __future__ import annotations

from collections.abc import Iterable

HOST = "service.internal"


def build(
    method: str, path: str, fields: Iterable[tuple[str, object]] = (), body: bytes = b""
) -> bytes:
    """Return a request, with a Content-Length if it has a body or is a POST."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in fields]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def platform(
    name: str, kind: str, wait_ms: int, body: bytes | None = None, owner: str = "", key: str = ""
) -> bytes:
    """Return a request with the platform's header fields; a GET if `body` is None."""
    fields: list[tuple[str, object]] = [
        ("Req-Id", name),
        ("Req-Kind", kind),
        ("Req-Deadline-Ms", wait_ms),
    ]
    if owner:
        fields.append(("Req-Owner", owner))
    if key:
        fields.append(("Idempotency-Key", key))
    return build("GET" if body is None else "POST", "/api", fields, body or b"")
