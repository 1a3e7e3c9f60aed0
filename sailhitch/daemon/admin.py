"""The admin socket: a Unix socket, mode 0600, one request and one answer a connection.

Both are one line of JSON: `{"op": "state" | "history" | "apply" | "ban" | "hosts", ...}` and back
`{"ok": true, ...}` or `{"ok": false, "code": ..., "error": ...}`. Who may speak is who may run the
process: its own user and root, by the kernel's word (SO_PEERCRED), whatever the file's mode has
become.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import pwd
import socket
import stat
import struct
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from ..core.endpoints import EndpointAddress
from ..core.pool import Pool
from .plan import MovedError, PlanError
from .source import StateSource, StillPendingError
from .state_applier import ApplyError, StateApplier
from .store import AppliedState, HistoryRecord, StoreError

if TYPE_CHECKING:
    from .tier_source import TierStateSource

MOST: Final = 32 << 20  # bytes of a request; a plan for ten thousand nodes takes three
PATIENCE: Final = 10.0  # s for a request to come whole, and for its answer to be taken
CLIENTS: Final = 8  # at a time
MOVED = "moved"
PLAN = "plan"
FAILED = "failed"
BAD = "bad"


class AdminError(Exception):
    """The socket can't be had, or nobody answers; the text says what to do."""


class Admin:
    """Serves the admin socket."""

    def __init__(
        self,
        live: StateApplier,
        source: StateSource,
        path: Path,
        tier: TierStateSource | None = None,
    ) -> None:
        self.live = live
        self.source = source
        self.path = path
        self.tier = tier
        self.clients = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen; raises AdminError. A socket that nobody serves any more is taken over."""
        _clear(self.path)
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        # A socket made with another mode and changed after that is open for a moment.
        before = os.umask(0o177)
        try:
            sock.bind(str(self.path))
        except OSError as error:
            sock.close()
            raise AdminError(f"admin: {self.path}: {error.strerror}") from None
        finally:
            os.umask(before)
        self._server = await asyncio.start_unix_server(self._serve, sock=sock, limit=1 << 16)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
            with contextlib.suppress(OSError):
                self.path.unlink()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.clients += 1
        try:
            async with asyncio.timeout(PATIENCE):
                request = await self._read(reader, writer)
            # Not within the time limit: an apply that has begun is carried to its end.
            answer = await self._answer(request, writer)
            writer.write(json.dumps(answer).encode() + b"\n")
            async with asyncio.timeout(PATIENCE):
                await writer.drain()
        except _RefusedError as error:
            with contextlib.suppress(OSError, TimeoutError):
                writer.write(json.dumps(_error(BAD, str(error))).encode() + b"\n")
                async with asyncio.timeout(1.0):
                    await writer.drain()
        except (OSError, TimeoutError):
            pass  # it has gone, or never got on with it
        finally:
            self.clients -= 1
            writer.close()

    async def _read(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> dict[str, Any]:
        if self.clients > CLIENTS:
            raise _RefusedError("too many admin clients at a time; try again")
        uid = peer_uid(writer.get_extra_info("socket"))
        if uid not in (os.getuid(), 0):
            raise _RefusedError(f"user {uid} may not; ask as user {os.getuid()} or root")
        data = bytearray()
        while not data.endswith(b"\n"):
            piece = await reader.read(1 << 16)
            data += piece
            if len(data) > MOST:
                raise _RefusedError(f"request larger than {MOST >> 20} MiB")
            if not piece:
                raise _RefusedError("request cut short")
        try:
            value = json.loads(data)
        except (ValueError, RecursionError):
            raise _RefusedError("request is not JSON") from None
        if not isinstance(value, dict):
            raise _RefusedError("request is not an object")
        return value

    async def _answer(
        self, request: dict[str, Any], writer: asyncio.StreamWriter
    ) -> dict[str, Any]:
        op = request.get("op")
        if op == "state":
            return await self._state(request.get("serial"))
        if op == "history":
            return {"ok": True, "history": await self._since(0)}
        if op == "hosts":
            return {"ok": True, "pools": hosts(self.live)}
        if op == "apply":
            by = _user(peer_uid(writer.get_extra_info("socket")))
            # A client that goes away must not take an apply with it half-way.
            plan = str(request.get("plan", ""))
            return await asyncio.shield(self._decide(lambda: self.source.apply_plan(plan, by)))
        if op == "ban":
            by = _user(peer_uid(writer.get_extra_info("socket")))
            return await asyncio.shield(self._ban(request, by))
        if op == "tier":
            return await asyncio.shield(self._tier(request))
        if op == "zones":
            by = _user(peer_uid(writer.get_extra_info("socket")))
            return await asyncio.shield(self._zones(request, by))
        return _error(BAD, f"op: not known: {str(op)[:40]!r}")

    async def _tier(self, request: dict[str, Any]) -> dict[str, Any]:
        tier = self.tier
        act = request.get("act")
        if tier is None:
            return _error(FAILED, "this gateway is of no tier: its file has no [tier]")
        try:
            if act == "status":
                return tier.status()
            if act == "withdraw":
                return await tier.withdraw()
            if act == "gone":
                return await tier.evict(str(request.get("name", "")))
            if act == "join":
                return await tier.join(str(request.get("name", "")), str(request.get("place", "")))
        except ApplyError as error:
            return _error(FAILED, str(error))
        return _error(BAD, f"act: not known: {str(act)[:40]!r}")

    async def _zones(self, request: dict[str, Any], by: str) -> dict[str, Any]:
        if self.tier is None:
            return _error(FAILED, "this gateway is of no tier: its file has no [tier]")
        try:
            return await self.tier.zone_coordinator.admin_request(request, by)
        except ApplyError as error:
            return _error(FAILED, str(error))

    async def _state(self, serial: Any) -> dict[str, Any]:
        one = self.source.base()
        try:
            if serial is not None:
                one = await asyncio.to_thread(self.source.at, int(serial))
        except (StoreError, ValueError) as error:
            return _error(FAILED, str(error))
        told = {"ok": True, "gateway": self.source.owner, **_told(one), "state": one.state}
        if serial is None:
            told["identity"] = await asyncio.to_thread(self.source.identity, one.state)
        # In a tier listeners are no part of what is planned.
        return told if self.tier is None else {**told, "tier": self.tier.part.name}

    async def _ban(self, request: dict[str, Any], by: str) -> dict[str, Any]:
        node = str(request.get("node", ""))
        live = self.source.base().state
        out = bool(request.get("out"))
        if out and node not in live["nodes"]:
            return _error(FAILED, f"{node!r}: no such node; `sailhitch hosts` has them, pool/id")
        if not out and node not in live["bans"]:
            return _error(FAILED, f"{node!r}: is not banned; `sailhitch maintenance list` has them")
        ban = {"by": by, "when": self.live.core.clock(), "why": str(request.get("why", ""))[:200]}
        return await self._decide(lambda: self.source.ban(node, ban if out else None, by))

    async def _decide(self, work: Callable[[], Awaitable[AppliedState]]) -> dict[str, Any]:
        try:
            applied = await work()
        except MovedError as error:
            return {**_error(MOVED, str(error)), "moved": await self._since(error.since)}
        except StillPendingError as error:
            return {
                "ok": True,
                "pending": True,
                "serial": error.serial,
                "waiting_for": error.waiting_for,
                "error": str(error),
            }
        except PlanError as error:
            return _error(PLAN, str(error))
        except ApplyError as error:
            return _error(FAILED, str(error))
        return {"ok": True, **_told(applied)}

    async def _since(self, serial: int) -> list[dict[str, Any]]:
        """Return what has been applied after that serial; from disk, so in a thread."""
        past = await asyncio.to_thread(self.source.history)
        return [_told(one) for one in past if one.serial > serial]


class _RefusedError(Exception):
    """A client that is not served; the text says why."""


def _error(code: str, text: str) -> dict[str, Any]:
    return {"ok": False, "code": code, "error": text}


def _told(one: AppliedState | HistoryRecord) -> dict[str, Any]:
    return {
        "serial": one.serial,
        "when": one.applied_at,
        "by": one.applied_by,
        "summary": one.summary,
    }


def hosts(live: StateApplier) -> dict[str, list[dict[str, Any]]]:
    """Return all nodes as they are at this moment, by pool; those that leave too."""
    found: dict[str, list[dict[str, Any]]] = {}
    for pool in live.core.pools:
        found.setdefault(pool.name, []).extend(
            _host(pool, name, entry) for name, entry in pool.endpoints.items()
        )
    return found


def _host(pool: Pool, name: str, entry: EndpointAddress) -> dict[str, Any]:
    server = pool.policy.endpoint_table.servers.get(name)
    return {
        "node": name,
        "address": f"{entry.address[0]}:{entry.address[1]}",
        "state": entry.endpoint.state,
        "weight": entry.endpoint.weight,
        "failing": name in pool.failing,
        "outstanding": 0 if server is None else server.outstanding,
    }


def peer_uid(sock: Any) -> int:
    """The user at the other end of a Unix socket, by the kernel's word (unix(7), SO_PEERCRED)."""
    data = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    return int(struct.unpack("3i", data)[1])


def _user(uid: int) -> str:
    try:
        return pwd.getpwuid(uid).pw_name
    except KeyError:
        return f"user {uid}"


def _clear(path: Path) -> None:
    """Remove a socket that nobody serves; raises AdminError for anything else that is there."""
    try:
        mode = path.lstat().st_mode
    except FileNotFoundError:
        return
    except OSError as error:
        raise AdminError(f"admin: {path}: {error.strerror}") from None
    if not stat.S_ISSOCK(mode):
        raise AdminError(f"admin: {path}: is there and no socket; remove it or name another")
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        probe.settimeout(1.0)
        try:
            probe.connect(str(path))
        except OSError as error:
            if error.errno != errno.ECONNREFUSED:
                raise AdminError(f"admin: {path}: {error.strerror or error}") from None
            path.unlink(missing_ok=True)
            return
    raise AdminError(f"admin: {path}: another gateway serves it")


# --- The other end


def ask(path: str | Path, request: Mapping[str, Any], patience: float = 60.0) -> dict[str, Any]:
    """One request to a running gateway, and its answer; raises AdminError."""
    try:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
            sock.settimeout(patience)
            sock.connect(str(path))
            sock.sendall(json.dumps(request).encode() + b"\n")
            with sock.makefile("rb") as file:
                answer = json.loads(file.readline())
    except TimeoutError:
        raise AdminError(f"{path}: no answer within {patience:g} s") from None
    except OSError as error:
        raise AdminError(
            f"{path}: {error.strerror or error}; is the gateway running, and is that its `admin`?"
        ) from None
    except ValueError:
        raise AdminError(f"{path}: the answer was cut short") from None
    if not isinstance(answer, dict):
        raise AdminError(f"{path}: the answer is no object")
    return answer
