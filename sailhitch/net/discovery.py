"""The watch on discovery: one connection, one call after the other, lists in their order."""

from __future__ import annotations

import asyncio
import contextlib
import json
import select
from typing import Final, NamedTuple, cast

from ..core.pool import Pool
from ..core.terms import Address
from ..settings import Settings
from .backoff import Backoff
from .config import Config, parse_roster
from .http import WHOLE, AnswerReader, MalformedError
from .socket_poll import has_event
from .system_errors import (
    LOCAL_CONNECT_ERRORS,
    RETRY_PAUSE,
    Shortage,
    free_if_lasting,
)

PATH: Final = "/registry/instances"
# A change counts as told so long after discovery had it and could be reached (s), whatever calls
# failed before, and so does what a watch misses that fell silent.
TOLD: Final = 6.0
SPARE: Final = 0.2  # s of that for the CPU
CONNECT_ASKED: Final = 0.5  # s for a connection where discovery is one service for all...
PATIENCE_ASKED: Final = 1.7  # ...and for an answer, a whole list too
# Latest start of the next call (s after the start of one that fails): connecting for it and its
# answer have to fit into what is left.
NEXT_CALL: Final = TOLD - SPARE - CONNECT_ASKED - PATIENCE_ASKED
WAIT_ASKED: Final = NEXT_CALL - PATIENCE_ASKED  # s that a watch waits there
WAIT_PUSHED: Final = 0.4  # the most where the agent is on this machine
PATIENCE_PUSHED: Final = 0.3
# Parts of the grace of the rule on drains that a call to the agent may wait, and then be silent,
# and that a pause may take. What is left is for the next call and for the CPU.
WAITING, SILENT, PAUSING = 0.3, 0.25, 0.15
SHORTEST: Final = 0.1  # s; by a shorter grace a gateway would do nothing but ask
SOON: Final = 0.02  # between two calls where an answer came at once and had no news
AGAIN: Final = 0.05  # shortest pause after a failed call to the agent...
AGAIN_MOST: Final = 0.3  # ...and the longest, with few gateways
AGAIN_ASKED: Final = 0.25  # the same where discovery is one service for all
AGAIN_MOST_ASKED: Final = 1.0
CALLS: Final = 100.0  # failing calls a second that all gateways together may make
MAX_ANSWER: Final = 2 << 20  # some ten thousand hosts; more would be a threat to memory


class Times(NamedTuple):
    """How long a call and a pause may take, in seconds."""

    wait: float  # a watch waits so long for news
    connect: float  # a connection may take so long to come up
    call: float  # from its first packet to its last, a call may take so long; its wait included
    whole: float  # ...and one for the whole list, which has nothing to wait for
    again: float  # the shortest pause after a failed call, with few failures before
    again_most: float  # the longest, with few gateways
    pause: float  # the longest, with any number of them
    next_call: float  # ...and so long after that call's start the next one begins at the latest


def times(settings: Settings) -> Times:
    """By who is asked, and by the grace of the rule on drains.

    Danger: what the agent has counts as told, also while nobody asks it. It may come back right
    after a call was sent to it that it never answers, be it the first of a new process; that call,
    connecting for it, the pause and the next call all have to fit into the grace.
    """
    if settings.must_ask:
        return Times(
            wait=WAIT_ASKED,
            connect=CONNECT_ASKED,
            call=NEXT_CALL,
            whole=CONNECT_ASKED + PATIENCE_ASKED,
            again=AGAIN_ASKED,
            again_most=AGAIN_MOST_ASKED,
            pause=NEXT_CALL,
            next_call=NEXT_CALL,
        )
    grace = max(SHORTEST, settings.rules.drain_grace / 1e6)
    wait = min(WAIT_PUSHED, WAITING * grace)
    call = wait + min(PATIENCE_PUSHED, SILENT * grace)
    return Times(
        wait=wait,
        connect=call,
        call=call,
        whole=call,
        again=AGAIN,
        again_most=AGAIN_MOST,
        pause=PAUSING * grace,
        next_call=grace,
    )


class CallError(Exception):
    """A call brought no list; the text says why.

    `spoilt` if an answer had begun: what it was about to say is not known.
    """

    def __init__(self, why: str, spoilt: bool = False) -> None:
        super().__init__(why)
        self.spoilt = spoilt


class SilentError(CallError):
    """A watch on a connection that had been answered before has fallen silent."""


class MovedError(Exception):
    """Discovery has a new address; the call at the old one counts for nothing."""


class Call(AnswerReader, asyncio.Protocol):
    """A connection to discovery."""

    __slots__ = ("body", "done", "heard", "transport")

    def __init__(self) -> None:
        super().__init__()
        self.transport: asyncio.Transport | None = None
        self.done: asyncio.Future[None] | None = None
        self.body = bytearray()
        self.heard = False  # something has come since it was asked

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, target: str, address: Address, done: asyncio.Future[None]) -> None:
        assert self.transport is not None
        self.expect()
        self.body = bytearray()
        self.heard = False
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
        self.heard = True
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
            done.set_exception(CallError(why, self.begun()))
        self.close()

    def begun(self) -> bool:
        """Whether something of a list has come, or of what is none."""
        return self.heard and self.status in (0, 200)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def unread(self) -> bool:
        """Whether something has come that the loop has not read."""
        sock = None if self.transport is None else self.transport.get_extra_info("socket")
        return sock is not None and sock.fileno() >= 0 and has_event(sock.fileno(), select.POLLIN)

    def usable(self) -> bool:
        return self.keep and self.transport is not None and not self.transport.is_closing()


class Discovery:
    """Keeps the watch and tells the gateway what came."""

    def __init__(self, pool: Pool, config: Config) -> None:
        self.pool, self.core = pool, pool.core
        self.wire = config.wire
        self.address = config.discovery
        self.version = config.known.version
        self.settled = asyncio.Event()  # the first call has had its answer, or has failed
        self._wanted = asyncio.Event()
        self._moved = asyncio.Event()
        self._call: Call | None = None
        self._answer: asyncio.Future[None] | None = None  # of the call that is out
        self._seed = config.seed
        self._shortage = Shortage()
        self._adopt(config.settings)
        # The next call asks for the whole list. Where discovery is shared, a watch from the known
        # list on costs it least.
        self._whole = not self.asked
        pool.watch_wanted = self.want
        pool.news_waits = self.waits

    def _adopt(self, settings: Settings) -> None:
        self.asked, self.times = settings.must_ask, times(settings)
        self._backoff = Backoff(self.times.again, self.times.again_most, self._seed)
        self._backoff.limit(settings.gateways, CALLS, self.times.pause)

    def want(self, on: bool) -> None:
        """The module asks for a watch, where discovery must be asked, or ends it."""
        if on:
            self._wanted.set()
        else:
            self._wanted.clear()

    def waits(self) -> bool:
        """Whether an answer has come, or a call's end, that the module has not been told of."""
        if self._answer is not None and self._answer.done():
            return True
        return self._call is not None and self._call.unread()

    def inherit(self, version: int) -> None:
        """Another process of this gateway has told its list; the watch goes on from there.

        Guards against news between its list and this process's first call: what discovery told the
        gateway counts as told to this process moments after its start, so it asks at once.
        """
        self.version = version
        self.settled.set()
        self._wanted.set()

    def reconfigure(self, config: Config) -> None:
        """Read lists in the terms of another configuration, from where it says, in its rhythm."""
        before, self.wire = self.wire, config.wire
        if (before.zones, before.kinds) != (self.wire.zones, self.wire.kinds):
            self._whole = True  # what is listed was read by other names
        if config.settings.must_ask and not self.asked:
            self._wanted.set()  # until now nobody had to say so
        self._adopt(config.settings)
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
        self.pool.list_held_at = 0  # what the other service had is no word of this one's
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
                await self._pause(min(self.times.pause, AGAIN_MOST))

    async def _first_wanted(self) -> None:
        """Wait until the module wants a watch, and no longer than news may wait for one.

        Danger: the module spreads the first calls of a fleet over a part of the settings' time to
        ask, which may be longer.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.times.next_call):
                await self._wanted.wait()
        self._wanted.set()

    async def _watch(self) -> None:
        again = False  # a watch that fell silent is opened anew at once, but only once
        while True:
            if self.asked:
                await self._first_wanted()
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
                if isinstance(error, CallError) and error.spoilt:
                    # Danger: what it would have said is not known, and may not be said again.
                    self._whole = True
                self.settled.set()
                self.core.counters.bad_lists += 1
                why = str(error) or type(error).__name__
                self.core.logger.often("discovery", f"discovery: call failed: {why[:120]}")
                if isinstance(error, SilentError) and not again:
                    # What it misses is about to count as told, or does so already.
                    again = True
                    continue
                if self.asked:
                    self.pool.list_failed()
                await self._pause(self._until_next(started))
                continue
            again = False
            self._backoff.reset()
            self.settled.set()
            idle = not news and self.version == version
            if idle and self.core.clock() - started < 50_000:
                await self._pause(SOON)

    def _until_next(self, started: int) -> float:
        """How long to wait after a call that failed, by when it began.

        Danger: news that has come to discovery since then is not heard before the next call's
        answer, and counts as told however many calls fail. The module's own back-off, which the
        simulator goes by, knows nothing of connections and of how long a call was out.
        """
        left = self.times.next_call - (self.core.clock() - started) / 1e6
        return max(0.0, min(self._backoff.pause(), left))

    async def _pause(self, seconds: float) -> None:
        """Wait between two calls, unless discovery moves."""
        self._moved.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._moved.wait()

    async def _once(self, address: Address) -> bool:
        """One call; whether it brought entries."""
        rhythm, loop, target = self.times, self.core.loop, PATH
        whole, self._whole = self._whole, False
        if not whole:
            target += f"?after={self.version}&wait_ms={int(rhythm.wait * 1000)}"
        limit = loop.time() + (rhythm.whole if whole else rhythm.call)
        try:
            return await self._ask(target, address, limit, whole)
        except BaseException:
            self._whole = self._whole or whole  # it is still to be asked for
            raise

    async def _ask(self, target: str, address: Address, limit: float, whole: bool) -> bool:
        loop, call = self.core.loop, self._call
        watched = call is not None and call.usable()
        if call is None or not watched:
            self._drop()
            call = await self._connect(address, min(limit, loop.time() + self.times.connect))
            if self.address != address:
                call.close()
                raise MovedError
            self._call = call
        done: asyncio.Future[None] = loop.create_future()
        self._answer = done
        call.ask(target, address, done)
        try:
            await asyncio.wait((done,), timeout=limit - loop.time())
            if not done.done():
                # Danger: a loop that was held up lets timers speak before sockets. One turn of it
                # reads what has come.
                await asyncio.sleep(0.001)
        finally:
            self._answer = None  # up to the module nothing is waited for any more
        if not done.done():
            done.cancel()
            error = SilentError if watched else CallError
            raise error("no answer in time", call.begun())
        done.result()
        if self.address != address:
            raise MovedError
        if call.status != 200:
            raise CallError(f"status {call.status}")
        try:
            roster = parse_roster(json.loads(bytes(call.body)), self.wire)
        except (ValueError, RecursionError) as error:
            raise CallError(f"malformed list: {error}", spoilt=True) from None
        if whole and not roster.full:
            raise CallError("changes instead of the whole list")
        if not whole and roster.version < self.version:
            # Danger: it is older than what has been said, and would undo a drain.
            raise CallError(f"version {roster.version} after {self.version}", spoilt=True)
        # Danger: changes that can't be read leave a hole in the list that no later change fills: a
        # drain would be missed. The whole list fills it.
        self._whole = self._whole or (not roster.full and roster.bad > 0)
        self.version = roster.version
        if roster.bad:
            self.core.counters.bad_lists += 1
            self.core.logger.often("entries", f"discovery: {roster.bad} entries out of form")
        if roster.full or roster.entries or self.asked:
            self.pool.list_news(roster)
        self.pool.list_held_at = self.core.clock()
        return bool(roster.entries)

    async def _connect(self, address: Address, limit: float) -> Call:
        """A new connection; raises OSError or TimeoutError.

        Guards against clients that have taken every descriptor while discovery was down, and rest:
        without one of theirs the watch would never come back, and drains never be heard of.
        """
        loop = self.core.loop
        while True:
            try:
                async with asyncio.timeout_at(limit):
                    _, call = await loop.create_connection(Call, *address)
            except OSError as error:
                self._connect_failed(error)
                if error.errno not in LOCAL_CONNECT_ERRORS or loop.time() + RETRY_PAUSE >= limit:
                    raise
            else:
                self._shortage.ended()
                return call
            await asyncio.sleep(RETRY_PAUSE)

    def _connect_failed(self, error: OSError) -> None:
        """Free descriptors where the system has had none for a while; the next try finds them."""
        free_if_lasting(self.core, self._shortage, error.errno or 0)

    def _drop(self) -> None:
        if self._call is not None:
            self._call.close()
            self._call = None
