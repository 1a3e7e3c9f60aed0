"""The admin socket: a Unix socket, mode 0600, with one request and one reply per connection.

Both are one line of JSON. A request is `{"op": "state" | "history" | "apply" | "ban" | "hosts" |
"tier" | "zones", ...}`; a reply is `{"ok": true, ...}` or `{"ok": false, "code": ..., "error":
...}`. Only the process's own user and root may use the socket. The kernel reports the client's user
(SO_PEERCRED), so this holds even if the file's mode is changed.

`admin_requests` executes requests, `admin_replies` defines the replies, `admin_client` is the
client.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import socket
import stat
import struct
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from .admin_client import AdminError, ask
from .admin_replies import BAD, FAILED, MOVED, AdminReply, error_reply
from .admin_requests import AdminRequests
from .source import StateSource
from .state_applier import StateApplier

if TYPE_CHECKING:
    from .tier_source import TierStateSource

__all__ = ["MOVED", "AdminError", "AdminServer", "ask"]

MAX_REQUEST_BYTES: Final = 32 << 20  # a plan for 10,000 nodes takes 3 MiB
CLIENT_TIMEOUT: Final = 10.0  # s to receive a whole request, and to send its reply
ERROR_REPLY_TIMEOUT: Final = 1.0  # s to send an error to a rejected client
PROBE_TIMEOUT: Final = 1.0  # s to connect to an existing socket at startup
MAX_CLIENTS: Final = 8
CHUNK_BYTES: Final = 1 << 16


class AdminServer:
    """Serves the admin socket."""

    def __init__(
        self,
        state_applier: StateApplier,
        source: StateSource,
        path: Path,
        tier: TierStateSource | None = None,
    ) -> None:
        self.path = path
        self.clients = 0
        self._received = 0  # bytes of requests that are being received
        self._core = state_applier.core
        self._requests = AdminRequests(state_applier, source, tier)
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen; raises AdminError. Replaces a socket that no process serves."""
        _remove_stale_socket(self.path)
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        # Set before bind: with a chmod after it, other users could connect in between.
        previous_umask = os.umask(0o177)
        try:
            sock.bind(str(self.path))
        except OSError as error:
            sock.close()
            raise AdminError(f"admin: {self.path}: {error.strerror}") from None
        finally:
            os.umask(previous_umask)
        self._server = await asyncio.start_unix_server(self._serve, sock=sock, limit=CHUNK_BYTES)

    def close(self) -> None:
        """Stop listening and remove the socket."""
        if self._server is not None:
            self._server.close()
            with contextlib.suppress(OSError):
                self.path.unlink()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.clients += 1
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT):
                uid = self._authorize(writer)
                request = await self._read_request(reader)
            # Outside the timeout: an apply that has begun must not be interrupted.
            reply = await self._execute(request, uid)
            await _send(writer, reply, CLIENT_TIMEOUT)
        except _RefusedError as error:
            with contextlib.suppress(OSError, TimeoutError):
                await _send(writer, error_reply(BAD, str(error)), ERROR_REPLY_TIMEOUT)
        except (OSError, TimeoutError):
            pass  # the client disconnected or was too slow
        finally:
            self.clients -= 1
            writer.close()

    async def _read_request(self, reader: asyncio.StreamReader) -> dict[str, Any]:
        """Read one line and return the request in it; raises _RefusedError.

        All that are being received together are limited as one is.
        """
        data = bytearray()
        try:
            while not data.endswith(b"\n"):
                chunk = await reader.read(CHUNK_BYTES)
                data += chunk
                self._received += len(chunk)
                if self._received > MAX_REQUEST_BYTES:
                    raise _RefusedError(f"requests larger than {MAX_REQUEST_BYTES >> 20} MiB")
                if not chunk:
                    raise _RefusedError("request is incomplete")
        finally:
            self._received -= len(data)
        return _parse_request(data)

    async def _execute(self, request: dict[str, Any], uid: int) -> AdminReply:
        """Return the reply to a request, also if its execution raises an unexpected exception."""
        try:
            return await self._requests.execute(request, uid)
        except Exception as error:
            self._core.fault("an admin request", error)
            return error_reply(FAILED, f"unexpected error, see the log: {error!r:.100}")

    def _authorize(self, writer: asyncio.StreamWriter) -> int:
        """Return the client's user id; raises _RefusedError if the client must be rejected."""
        if self.clients > MAX_CLIENTS:
            raise _RefusedError("too many admin clients at once; try again")
        uid = peer_uid(writer.get_extra_info("socket"))
        if uid not in (os.getuid(), 0):
            raise _RefusedError(
                f"user {uid} is not permitted; connect as user {os.getuid()} or root"
            )
        return uid


class _RefusedError(Exception):
    """A client is rejected; the text says why."""


def _parse_request(data: bytearray) -> dict[str, Any]:
    """Return the request in a line; raises _RefusedError."""
    try:
        value = json.loads(data)
    except (ValueError, RecursionError):
        raise _RefusedError("request is not JSON") from None
    if not isinstance(value, dict):
        raise _RefusedError("request is not an object")
    return value


async def _send(writer: asyncio.StreamWriter, reply: AdminReply, timeout: float) -> None:
    writer.write(json.dumps(reply).encode() + b"\n")
    async with asyncio.timeout(timeout):
        await writer.drain()


def peer_uid(sock: socket.socket) -> int:
    """Return the user id of a Unix socket's peer (unix(7), SO_PEERCRED)."""
    credentials = struct.Struct("3i")  # process, user, group
    data = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, credentials.size)
    _, uid, _ = credentials.unpack(data)
    return int(uid)


def _remove_stale_socket(path: Path) -> None:
    """Remove a socket that no process serves; raises AdminError for anything else there."""
    try:
        mode = path.lstat().st_mode
    except FileNotFoundError:
        return
    except OSError as error:
        raise AdminError(f"admin: {path}: {error.strerror}") from None
    if not stat.S_ISSOCK(mode):
        raise AdminError(
            f"admin: {path}: exists and is not a socket; remove it or choose another path"
        )
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        probe.settimeout(PROBE_TIMEOUT)
        try:
            probe.connect(str(path))
        except OSError as error:
            if error.errno != errno.ECONNREFUSED:
                raise AdminError(f"admin: {path}: {error.strerror or error}") from None
            path.unlink(missing_ok=True)
            return
    raise AdminError(f"admin: {path}: another gateway is using it")
