"""The watch on discovery: one call at a time on one connection, updates in order."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Final

from ..core.endpoints import Address, EndpointUpdate
from ..core.loop_wait import CONNECT_DELAY, wait_until_done
from ..core.pool import Pool
from ..settings import Settings
from .backoff import Backoff
from .config import Config, parse_endpoint_update
from .discovery_call import Call, CallError, SilentError
from .discovery_timing import BACKOFF_MAX, MAX_FAILING_CALLS, MIN_POLL_INTERVAL, call_times
from .system_errors import (
    LOCAL_CONNECT_ERRORS,
    RETRY_PAUSE,
    FailureTracker,
    free_if_persistent,
)

PATH: Final = "/registry/instances"
IMMEDIATE_RESPONSE: Final = 50_000  # us; a faster response came without waiting for an update


class AddressChangedError(Exception):
    """Discovery has a new address; the call to the old one is ignored."""


class Discovery:
    """Runs the watch and passes updates to the pool."""

    def __init__(self, pool: Pool, config: Config) -> None:
        self.pool = pool
        self.core = pool.core
        self.names = config.names
        self.address = config.discovery
        self.version = config.known_endpoints.version
        self.first_call_done = asyncio.Event()  # also set if that call failed
        self._watch_wanted = asyncio.Event()
        self._address_changed = asyncio.Event()
        self._call: Call | None = None
        self._response: asyncio.Future[None] | None = None  # to the open call
        self._seed = config.seed
        self._resource_failures = FailureTracker()
        self._apply_settings(config.settings)
        # Whether the next call asks for the full list. A shared discovery service has the least
        # work if gateways watch for changes to the list that they know.
        self._needs_snapshot = not self.is_shared
        pool.set_watch_wanted = self.set_wanted
        pool.has_unread_event = self.has_unread_event

    def _apply_settings(self, settings: Settings) -> None:
        self.is_shared = settings.needs_watch
        self.times = call_times(settings)
        self._backoff = Backoff(self.times.backoff_min, self.times.backoff_max, self._seed)
        self._backoff.limit(settings.gateway_count, MAX_FAILING_CALLS, self.times.pause)

    def set_wanted(self, on: bool) -> None:
        """Open or end the watch, if the decision module schedules it."""
        if on:
            self._watch_wanted.set()
        else:
            self._watch_wanted.clear()

    def has_unread_event(self) -> bool:
        """Return whether a response, or the end of a call, has not been processed yet."""
        if self._response is not None and self._response.done():
            return True
        return self._call is not None and self._call.has_unread_bytes()

    def inherit(self, version: int) -> None:
        """Continue from the list of the gateway's previous process.

        Changes that discovery sent to the gateway count as notified to this process moments after
        its start, so it asks at once for changes since that list.
        """
        self.version = version
        self.first_call_done.set()
        self._watch_wanted.set()

    def reconfigure(self, config: Config) -> None:
        """Use another configuration's names, address and times."""
        before = self.names
        self.names = config.names
        if (before.zones, before.kinds) != (self.names.zones, self.names.kinds):
            self._needs_snapshot = True  # the current list was parsed with other names
        if config.settings.needs_watch and not self.is_shared:
            self._watch_wanted.set()  # before, the watch did not wait for the decision module
        self._apply_settings(config.settings)
        self._change_address(config.discovery)

    def _change_address(self, address: Address) -> None:
        """Use another address from now on, and ask it for the full list at once.

        Versions of two services can't be compared, so the current one is not sent to it. An open
        call is aborted: its response could be older than what the new service sends.
        """
        if address == self.address:
            return
        self.address = address
        self._needs_snapshot = True
        self.pool.list_valid_at = 0  # it was confirmed by the old service
        self._close_call()
        # The decision module's backoff could last longer than the time after which updates of
        # the new service count as notified.
        self._watch_wanted.set()
        self._address_changed.set()

    async def run(self) -> None:
        """Watch for as long as the process lives, whatever error a list causes.

        Without the watch the process would use an old list forever, and never learn of a drain.
        """
        while True:
            try:
                await self._watch()
            except Exception as error:
                self.core.fault("the watch on discovery", error)
                self._close_call()
                self._needs_snapshot = True
                await self._pause(min(self.times.pause, BACKOFF_MAX))

    async def _wait_until_wanted(self) -> None:
        """Wait until the decision module wants a watch, but no longer than updates may be delayed.

        The module spreads the first calls of a fleet over a configured time, which may be longer.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.times.next_call):
                await self._watch_wanted.wait()
        self._watch_wanted.set()

    async def _watch(self) -> None:
        reopened = False  # a silent watch is reopened at once, but only once
        while True:
            if self.is_shared:
                await self._wait_until_wanted()
            started = self.core.clock()
            version = self.version
            address = self.address
            try:
                has_entries = await self._poll(address)
            except AddressChangedError:
                self._close_call()
                continue
            except (CallError, OSError, TimeoutError) as error:
                self._close_call()
                if self.address != address:
                    continue
                if isinstance(error, CallError) and error.partial:
                    # An update may have been lost, and is not sent again.
                    self._needs_snapshot = True
                self.first_call_done.set()
                self.core.counters.bad_lists += 1
                reason = str(error) or type(error).__name__
                self.core.logger.write_limited(
                    "discovery", f"discovery: call failed: {reason[:120]}"
                )
                if isinstance(error, SilentError) and not reopened:
                    # Updates that it misses are about to count as notified, or do already.
                    reopened = True
                    continue
                if self.is_shared:
                    self.pool.on_watch_failed()
                await self._pause(self._delay_before_next(started))
                continue
            reopened = False
            self._backoff.reset()
            self.first_call_done.set()
            idle = not has_entries and self.version == version
            if idle and self.core.clock() - started < IMMEDIATE_RESPONSE:
                await self._pause(MIN_POLL_INTERVAL)

    def _delay_before_next(self, started: int) -> float:
        """Return how long to wait after a failed call that began at `started`.

        Updates since then arrive with the next response, and count as notified however many calls
        fail. The decision module's own backoff does not consider connections, nor how long a call
        took.
        """
        time_left = self.times.next_call - (self.core.clock() - started) / 1e6
        return max(0.0, min(self._backoff.pause(), time_left))

    async def _pause(self, seconds: float) -> None:
        """Wait between two calls, unless the address of discovery changes."""
        self._address_changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._address_changed.wait()

    async def _poll(self, address: Address) -> bool:
        """Make one call; return whether its response had entries."""
        snapshot = self._needs_snapshot
        self._needs_snapshot = False
        target = PATH
        if not snapshot:
            target += f"?after={self.version}&wait_ms={int(self.times.wait * 1000)}"
        timeout = self.times.snapshot_call if snapshot else self.times.call
        limit = self.core.loop.time() + timeout
        try:
            call = await self._fetch(target, address, limit)
            with self.core.memory.baseline.own_growth():
                update = self._read_update(call, snapshot)
                self._apply_update(update)
        except BaseException:
            self._needs_snapshot = self._needs_snapshot or snapshot
            raise
        return bool(update.entries)

    async def _fetch(self, target: str, address: Address, limit: float) -> Call:
        """Return the call with its response; raises CallError, AddressChangedError or OSError."""
        loop = self.core.loop
        call = self._call
        reused = call is not None and call.is_usable()
        if call is None or not reused:
            self._close_call()
            call = await self._connect(address, min(limit, loop.time() + self.times.connect))
            if self.address != address:
                call.close()
                raise AddressChangedError
            self._call = call
        done: asyncio.Future[None] = loop.create_future()
        self._response = done
        call.send(target, address, done)
        try:
            await wait_until_done(done, limit - loop.time())
        finally:
            self._response = None  # no await from here until the pool has the update
        if not done.done():
            done.cancel()
            error = SilentError if reused else CallError
            raise error("no response in time", call.has_begun())
        done.result()
        if self.address != address:
            raise AddressChangedError
        return call

    def _read_update(self, call: Call, snapshot: bool) -> EndpointUpdate:
        """Parse the update in a response; raises CallError."""
        if call.status != 200:
            raise CallError(f"status {call.status}")
        try:
            update = parse_endpoint_update(json.loads(bytes(call.body)), self.names)
        except (ValueError, RecursionError) as error:
            raise CallError(f"malformed list: {error}", partial=True) from None
        if snapshot and not update.is_snapshot:
            raise CallError("got changes instead of the full list")
        if not snapshot and update.version < self.version:
            # Applying an older list would undo a drain.
            raise CallError(f"version {update.version} is older than {self.version}", partial=True)
        return update

    def _apply_update(self, update: EndpointUpdate) -> None:
        """Pass an update to the pool.

        Changes that can't be parsed are never sent again, so a drain could be missed. The next call
        therefore asks for the full list.
        """
        if not update.is_snapshot and update.invalid_count > 0:
            self._needs_snapshot = True
        self.version = update.version
        if update.invalid_count:
            self.core.counters.bad_lists += 1
            self.core.logger.write_limited(
                "entries", f"discovery: {update.invalid_count} malformed entries"
            )
        if update.is_snapshot or update.entries or self.is_shared:
            self.pool.on_endpoint_update(update)
        self.pool.list_valid_at = self.core.clock()

    async def _connect(self, address: Address, limit: float) -> Call:
        """Return a new connection; raises OSError or TimeoutError.

        Clients may have taken every descriptor while discovery was down. Unless one of their
        connections is closed, the watch can't be reopened, and this process never learns of a
        drain.
        """
        loop = self.core.loop
        while True:
            try:
                call = await self._connect_once(address, limit)
            except OSError as error:
                self._on_connect_failed(error)
                if error.errno not in LOCAL_CONNECT_ERRORS or loop.time() + RETRY_PAUSE >= limit:
                    raise
            else:
                self._resource_failures.on_success()
                return call
            await asyncio.sleep(RETRY_PAUSE)

    async def _connect_once(self, address: Address, limit: float) -> Call:
        """Return a new connection; raises OSError or TimeoutError."""
        loop = self.core.loop
        connecting = loop.create_task(loop.create_connection(Call, *address))
        try:
            if not await wait_until_done(connecting, limit - loop.time(), CONNECT_DELAY):
                raise TimeoutError
            _, call = connecting.result()
            return call
        finally:
            connecting.cancel()

    def _on_connect_failed(self, error: OSError) -> None:
        """Free descriptors for the next try if the system keeps running out of them."""
        free_if_persistent(self.core, self._resource_failures, error.errno or 0)

    def _close_call(self) -> None:
        if self._call is not None:
            self._call.close()
            self._call = None
