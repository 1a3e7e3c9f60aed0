"""The client of the admin socket: sends one request to a running gateway, returns its reply."""

from __future__ import annotations

import json
import socket
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

REPLY_TIMEOUT: Final = 60.0  # s


class AdminError(Exception):
    """The socket can't be used, or no gateway replies; the text says why."""


def ask(
    path: str | Path, request: Mapping[str, Any], timeout: float = REPLY_TIMEOUT
) -> dict[str, Any]:
    """Send one request to a running gateway and return its reply; raises AdminError."""
    try:
        reply = _exchange(path, request, timeout)
    except TimeoutError:
        raise AdminError(f"{path}: no reply within {timeout:g} s") from None
    except OSError as error:
        raise AdminError(
            f"{path}: {error.strerror or error}; is the gateway running, and is that its `admin`?"
        ) from None
    except ValueError:
        raise AdminError(f"{path}: the reply is incomplete") from None
    if not isinstance(reply, dict):
        raise AdminError(f"{path}: the reply is not a JSON object")
    return reply


def _exchange(path: str | Path, request: Mapping[str, Any], timeout: float) -> Any:
    """Send one line of JSON and return the decoded reply; raises OSError or ValueError."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(timeout)
        sock.connect(str(path))
        sock.sendall(json.dumps(request).encode() + b"\n")
        with sock.makefile("rb") as file:
            return json.loads(file.readline())
