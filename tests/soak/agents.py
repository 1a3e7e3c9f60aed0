"""Discovery: one list, and an agent for each gateway that has what the list has (PROTOCOL)."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from tests.soak.records import Records
from tests.sockets import Reader, Writer, answer, read_message


class Catalogue:
    """The list, its versions, and whether agents can be told of it."""

    def __init__(self, records: Records) -> None:
        self.records = records
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self._changed: dict[str, int] = {}  # version of each entry's last change
        self._news = asyncio.Event()
        self._reachable = asyncio.Event()
        self._reachable.set()

    def change(self, entry: dict[str, Any]) -> None:
        """Have an entry in the list."""
        self.version += 1
        self.entries[entry["id"]] = entry
        self._changed[entry["id"]] = self.version
        self._wake()

    def _wake(self) -> None:
        news, self._news = self._news, asyncio.Event()
        news.set()

    def since(self, version: int) -> dict[str, Any]:
        """What an agent answers a watch."""
        new = [e for name, e in self.entries.items() if self._changed[name] > version]
        return {"version": self.version, "full": False, "servers": new}

    def whole(self) -> dict[str, Any]:
        """The whole list, without what has left."""
        there = [entry for entry in self.entries.values() if entry["state"] != "left"]
        return {"version": self.version, "full": True, "servers": there}

    async def outage(self, seconds: float) -> None:
        """Agents say nothing for a while."""
        begun = time.monotonic()
        self._reachable.clear()
        await asyncio.sleep(seconds)
        self.records.outages.append((begun, time.monotonic()))
        self._reachable.set()
        self._wake()

    async def wait(self, version: int, seconds: float) -> None:
        """Until there is something newer, or so long has passed; and until agents can speak."""
        news = self._news
        if version >= self.version:
            try:
                async with asyncio.timeout(seconds):
                    await news.wait()
            except TimeoutError:
                pass
        await self._reachable.wait()


class Agent:
    """A gateway's agent. A gateway may be moved to another one by a reload."""

    def __init__(self, catalogue: Catalogue) -> None:
        self.catalogue = catalogue
        self.addr = ""
        self._server: asyncio.Server | None = None
        self._writers: set[Writer] = set()

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.addr = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def reset(self) -> None:
        """Break the watch."""
        for writer in self._writers:
            writer.transport.abort()

    def stop(self) -> None:
        """End at once."""
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
