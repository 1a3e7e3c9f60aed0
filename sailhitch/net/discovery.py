"""The watch on discovery: one connection, one call after the other, lists in their order."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Final, cast

from ..core.pool import Pool
from ..core.terms import Address
from .backoff import Backoff
from .config import Config, parse_roster
from .http import WHOLE, AnswerReader, MalformedError

PATH: Final = "/registry/instances"
# What changes counts as told 6 s later at the latest, and 2 s after the wait of a call is over. A
# cut-off connection says nothing, so a call must have ended well before that.
WAIT_ASKED: Final = 3_500  # ms that a watch waits where discovery is one service for all
PATIENCE_ASKED: Final = 1.7  # s more for its answer
WAIT_PUSHED: Final = 400  # the agent is on this machine, and what it has counts as told at once
PATIENCE_PUSHED: Final = 0.3
CONNECT: Final = 0.5
SOON: Final = 0.02  # between two calls where an answer came at once and had no news
AGAIN: Final = 0.05  # shortest pause after a failed call to the agent...
AGAIN_MOST: Final = 0.3  # ...and the longest, with few gateways
CALLS: Final = 100.0  # failing calls a second that all gateways together may make
MAX_ANSWER: Final = 2 << 20  # some ten thousand hosts; more would be a threat to memory


def longest_pause(grace: int) -> float:
    """The longest pause after a failed call to the agent, in seconds, by the rule on drains.

    Danger: what the agent has counts as told, also while nobody asks it. It may come back right
    after a call was sent to it that it never answers; that call, the pause and the next call all
    have to fit into the grace (us). Half of what is left is for the next call and for the CPU.
    """
    left = grace / 1e6 - (WAIT_PUSHED / 1000 + PATIENCE_PUSHED)
    return max(AGAIN, left / 2)


class CallError(Exception):
    """A call brought no list; the text says why."""


class MovedError(Exception):
    """Discovery has a new address; the call at the old one counts for nothing."""


class Call(AnswerReader, asyncio.Protocol):
    """A connection to discovery."""

    __slots__ = ("body", "done", "transport")

    def __init__(self) -> None:
        super().__init__()
        self.transport: asyncio.Transport | None = None
        self.done: asyncio.Future[None] | None = None
        self.body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, target: str, address: Address, done: asyncio.Future[None]) -> None:
        assert self.transport is not None
        self.expect()
        self.body = bytearray()
        self.done = done
        host = f"{address[0]}:{address[1]}"
        self.transport.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())

    def head_read(self) -> None:
        """The status is looked at once the answer is whole."""

    def body_read(self, data: bytes) -> None:
        self.body += data
        if len(self.body) > MAX_ANSWER:
            raise MalformedError("answer too large")

    def data_received(self, data: bytes) -> None:
        if self.done is None:
            self.close()
            return
        try:
            self.feed(data)
        except MalformedError as error:
            self._fail(f"malformed answer: {error}")
            return
        if self.phase == WHOLE:
            self._finish()

    def eof_received(self) -> None:
        self.keep = False
        if self.done is not None and self.ended():
            self._finish()

    def connection_lost(self, exc: Exception | None) -> None:
        self.parser = None
        self._fail("connection broke")
        self.transport = None

    def _finish(self) -> None:
        done, self.done = self.done, None
        if done is not None and not done.done():
            done.set_result(None)

    def _fail(self, why: str) -> None:
        done, self.done = self.done, None
        if done is not None and not done.done():
            done.set_exception(CallError(why))
        self.close()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def usable(self) -> bool:
        return self.keep and self.transport is not None and not self.transport.is_closing()


class Discovery:
    """Keeps the watch and tells the gateway what came."""

    def __init__(self, pool: Pool, config: Config) -> None:
        self.pool, self.core = pool, pool.core
        self.wire = config.wire
        self.address = config.discovery
        self.asked = config.settings.must_ask
        self.version = config.known.version
        self.settled = asyncio.Event()  # the first call has had its answer, or has failed
        self._wanted = asyncio.Event()
        self._moved = asyncio.Event()
        self._call: Call | None = None
        self._backoff = Backoff(AGAIN, AGAIN_MOST, config.seed)
        grace = config.settings.rules.drain_grace
        self._backoff.limit(config.settings.gateways, CALLS, longest_pause(grace))
        self._whole = True  # the next call asks for the whole list
        pool.watch_wanted = self.want

    def want(self, on: bool) -> None:
        """The module asks for a watch, where discovery must be asked, or ends it."""
        if on:
            self._wanted.set()
        else:
            self._wanted.clear()

    def inherit(self, version: int) -> None:
        """Another process of this gateway has told its list; the watch goes on from there.

        Guards against news between its list and this process's first call: what discovery told the
        gateway counts as told to this process moments after its start, so it asks at once.
        """
        self.version = version
        self.settled.set()
        self._wanted.set()

    def reconfigure(self, config: Config) -> None:
        """Read lists in the terms of another configuration, from where it says."""
        self.wire = config.wire
        self._move(config.discovery)

    def _move(self, address: Address) -> None:
        """Discovery is at another address from now on: ask there at once, for the whole list.

        Versions of two services don't compare, so nothing of the old one's is kept. A call that is
        out is broken off; its answer could be older than what the new one says.
        """
        if address == self.address:
            return
        self.address = address
        self._whole = True
        self._drop()
        # Danger: waiting for the module's own time to ask again could outlast the time in which
        # the new service's news counts as told.
        self._wanted.set()
        self._moved.set()

    async def run(self) -> None:
        """Watch for as long as the process lives.

        Guards against whatever a list may do to this process: without the watch it would go on
        with an old list for ever, and never hear of a drain.
        """
        while True:
            try:
                await self._watch()
            except Exception as error:
                self.core.fault("the watch on discovery", error)
                self._drop()
                self._whole = True
                await self._pause(AGAIN_MOST)

    async def _watch(self) -> None:
        # Where discovery is shared, a watch from the known list on costs it least.
        self._whole = not self.asked
        while True:
            if self.asked:
                await self._wanted.wait()
            started = self.core.clock()
            version = self.version
            address = self.address
            try:
                news = await self._once(address)
            except MovedError:
                self._drop()
                continue
            except (CallError, OSError, TimeoutError) as error:
                self._drop()
                if self.address != address:
                    continue
                self.settled.set()
                self.core.counters.bad_lists += 1
                why = str(error) or type(error).__name__
                self.core.logger.often("discovery", f"discovery: call failed: {why[:120]}")
                if self.asked:
                    # When to ask again is the module's decision.
                    self._wanted.clear()
                    self.pool.list_failed()
                else:
                    await self._pause(self._backoff.pause())
                continue
            self._backoff.reset()
            self.settled.set()
            idle = not news and self.version == version
            if idle and self.core.clock() - started < 50_000:
                await self._pause(SOON)

    async def _pause(self, seconds: float) -> None:
        """Wait between two calls, unless discovery moves."""
        self._moved.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._moved.wait()

    async def _once(self, address: Address) -> bool:
        """One call; whether it brought entries."""
        wait, patience = (
            (WAIT_ASKED, PATIENCE_ASKED) if self.asked else (WAIT_PUSHED, PATIENCE_PUSHED)
        )
        target = PATH
        limit = patience + wait / 1000
        if self._whole:
            limit = PATIENCE_ASKED
        else:
            target += f"?after={self.version}&wait_ms={wait}"
        loop = self.core.loop
        call = self._call
        if call is None or not call.usable():
            self._drop()
            async with asyncio.timeout(CONNECT):
                _, call = await loop.create_connection(Call, *address)
            if self.address != address:
                call.close()
                raise MovedError
            self._call = call
        done: asyncio.Future[None] = loop.create_future()
        call.ask(target, address, done)
        async with asyncio.timeout(limit):
            await done
        if self.address != address:
            raise MovedError
        if call.status != 200:
            raise CallError(f"status {call.status}")
        try:
            roster = parse_roster(json.loads(bytes(call.body)), self.wire)
        except (ValueError, RecursionError) as error:
            raise CallError(f"malformed list: {error}") from None
        if self._whole and not roster.full:
            raise CallError("changes instead of the whole list")
        # Danger: changes that can't be read, or that count from an older version, leave a hole in
        # the list that no later change fills: a drain would be missed. The whole list fills it.
        self._whole = not roster.full and (roster.bad > 0 or roster.version < self.version)
        self.version = roster.version
        if roster.bad:
            self.core.counters.bad_lists += 1
            self.core.logger.often("entries", f"discovery: {roster.bad} entries out of form")
        if roster.full or roster.entries or self.asked:
            self.pool.list_news(roster)
        return bool(roster.entries)

    def _drop(self) -> None:
        if self._call is not None:
            self._call.close()
            self._call = None
