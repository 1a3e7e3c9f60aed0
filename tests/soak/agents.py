"""Discovery: one list of servers, served to each gateway by agents (PROTOCOL)."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from tests.soak.records import Records
from tests.sockets import Reader, Writer, answer, read_message


class Catalogue:
    """The list of servers, its versions, and whether agents can reach it."""

    def __init__(self, records: Records) -> None:
        self.records = records
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self._changed: dict[str, int] = {}  # version of each entry's last change
        self._change_event = asyncio.Event()
        self._reachable = asyncio.Event()
        self._reachable.set()

    def change(self, entry: dict[str, Any]) -> None:
        """Add or replace an entry."""
        self.version += 1
        self.entries[entry["id"]] = entry
        self._changed[entry["id"]] = self.version
        self._notify_watches()

    def _notify_watches(self) -> None:
        change_event, self._change_event = self._change_event, asyncio.Event()
        change_event.set()

    def since(self, version: int) -> dict[str, Any]:
        """The changes since a version, as a watch returns them."""
        new = [e for name, e in self.entries.items() if self._changed[name] > version]
        return {"version": self.version, "full": False, "servers": new}

    def whole(self) -> dict[str, Any]:
        """The whole list, without servers that have left."""
        present = [entry for entry in self.entries.values() if entry["state"] != "left"]
        return {"version": self.version, "full": True, "servers": present}

    async def outage(self, seconds: float) -> None:
        """Keep agents from answering for a while."""
        begun = time.monotonic()
        self._reachable.clear()
        await asyncio.sleep(seconds)
        self.records.outages.append((begun, time.monotonic()))
        self._reachable.set()
        self._notify_watches()

    async def wait(self, version: int, seconds: float) -> None:
        """Wait for a newer version or the time-out, then for the end of an outage."""
        change_event = self._change_event
        if version >= self.version:
            try:
                async with asyncio.timeout(seconds):
                    await change_event.wait()
            except TimeoutError:
                pass
        await self._reachable.wait()


class Agent:
    """A discovery agent. Each gateway has two and switches between them on a reload."""

    def __init__(self, catalogue: Catalogue) -> None:
        self.catalogue = catalogue
        self.addr = ""
        self._server: asyncio.Server | None = None
        self._writers: set[Writer] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.addr = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def reset(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()

    def stop(self) -> None:
        """Close the listener and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                target = (await read_message(reader)).split(b" ")[1].decode()
                writer.write(answer(json.dumps(await self._reply(target)).encode()))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _reply(self, target: str) -> dict[str, Any]:
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        if "after" not in query:
            await self.catalogue.wait(-1, 0.0)
            return self.catalogue.whole()
        after = int(query["after"])
        await self.catalogue.wait(after, int(query["wait_ms"]) / 1000)
        return self.catalogue.since(after)
