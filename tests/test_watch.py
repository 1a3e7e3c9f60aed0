"""The watch on discovery: what is told is heard in time, whatever was under way."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
from collections.abc import Iterator
from typing import Any
from unittest import mock

import pytest

from sailhitch.net.config import parse_config
from sailhitch.net.discovery_call import Call
from sailhitch.net.discovery_timing import NOTIFY_WITHIN
from sailhitch.policy_interface import EndpointState
from tests.sockets import Registry, Server, Writer, answer, config_value, entry, gate, request
from tests.virtual import eventually, play


class Agent(Registry):
    """Holds news at once; silent for a while, it never answers what it was asked meanwhile."""

    def __init__(self, *hosts: tuple[str, str], delay: float = 0.0) -> None:
        super().__init__(*hosts)
        self.silent = False
        self.breaks = 0  # calls that were out at one are never answered
        self.delay = delay

    async def reply(self, message: bytes, writer: Writer) -> None:
        breaks, silent = self.breaks, self.silent
        target = message.split(b" ")[1]
        if f"after={self.version}&".encode() in target:
            await asyncio.sleep(int(target.partition(b"wait_ms=")[2]) / 1000)
        await asyncio.sleep(self.delay)
        if silent or self.silent or self.breaks > breaks:
            await asyncio.Event().wait()
        text = {"version": self.version, "full": True, "servers": self.entries}
        writer.write(answer(json.dumps(text).encode()))

    def drain(self, name: str, addr: str) -> None:
        self.entries = [entry(name, addr, "leaving")]
        self.version += 1


def _drained(it: Any) -> bool:
    return bool(it.pool.endpoints["a"].endpoint.state == EndpointState.DRAINING)


def rules(grace: int, **more: Any) -> dict[str, Any]:
    return {"balancers": 200, "rules": {"drainGrace": grace}} | more


@pytest.mark.parametrize("fresh", [True, False])
@pytest.mark.parametrize("grace", [200_000, 250_000, 1_000_000, 3_000_000])
@pytest.mark.parametrize("phase", range(6))
def test_an_agent_that_comes_back_is_heard_within_the_grace(
    fresh: bool, grace: int, phase: int
) -> None:
    """Whatever was asked of it last, by a process that has just started too."""

    async def story() -> None:
        loop = asyncio.get_running_loop()
        async with Agent(("a", "127.0.0.1:9")) as agent:
            if fresh:
                agent.silent = True
            async with gate(
                ("a", "127.0.0.1:9"), discovery=agent.addr, settings=rules(grace)
            ) as it:
                await asyncio.sleep(0.5)
                agent.silent = True
                # It comes back at any moment of a call and of the pause after it.
                await asyncio.sleep(4.0 + 0.31 * phase)
                agent.drain("a", "127.0.0.1:9")
                agent.silent = False
                back = loop.time()
                await eventually(lambda: _drained(it))
                assert loop.time() - back < grace / 1e6

    play(story())


@pytest.mark.parametrize("asked", [True, False])
@pytest.mark.parametrize("phase", range(6))
def test_a_watch_that_falls_silent_is_opened_anew_before_what_it_misses_counts_as_told(
    asked: bool, phase: int
) -> None:
    """Discovery is well, and only the watches that were open are broken."""
    more = {"discovery": "subscribe"} if asked else {}

    async def story() -> None:
        loop = asyncio.get_running_loop()
        async with (
            Agent(("a", "127.0.0.1:9"), delay=1.5 if asked else 0.0) as agent,
            gate(("a", "127.0.0.1:9"), discovery=agent.addr, settings=rules(250_000, **more)) as it,
        ):
            await eventually(it.discovery.settled.is_set)
            await asyncio.sleep(4.0 + 0.4 * phase)
            agent.breaks += 1  # those that are open now never get an answer
            agent.drain("a", "127.0.0.1:9")
            fell = loop.time()
            await eventually(lambda: _drained(it))
            assert loop.time() - fell < NOTIFY_WITHIN

    play(story())


FAILURES = ("refused", "lost", "reset", "turned away", "turned away late", "silent", "spoilt")
CONNECTING = 0.45  # s until a connection to discovery comes up
ANSWERING = 1.65  # s that it takes for a whole list


class Shared(Agent):
    """One discovery for all gateways, which fails in one way after the other while it is down."""

    def __init__(self, *hosts: tuple[str, str]) -> None:
        super().__init__(*hosts, delay=ANSWERING)
        self.failures: Iterator[str] | None = None
        self.failure = ""  # of the call that is being made

    def fail(self, failures: Iterator[str]) -> None:
        """It goes down: watches end."""
        self.failures = failures
        for writer in self.writers:
            writer.transport.abort()

    def come_back(self) -> None:
        """A call that is out gets no answer any more."""
        self.failures = None
        self.breaks += 1

    async def connect(self) -> None:
        """A connection to it is being opened."""
        self.failure = next(self.failures) if self.failures is not None else ""
        if self.failure == "refused":
            raise ConnectionRefusedError
        if self.failure == "lost":
            await asyncio.Event().wait()
        await asyncio.sleep(CONNECTING)

    async def reply(self, message: bytes, writer: Writer) -> None:
        failure = self.failure if self.failures is not None else ""
        if failure == "reset":
            writer.transport.abort()
        elif failure.startswith("turned away"):
            await asyncio.sleep(ANSWERING if "late" in failure else 0.0)
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        elif failure == "silent":
            await asyncio.Event().wait()
        elif failure == "spoilt":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{")
        else:
            await super().reply(message, writer)


@contextlib.contextmanager
def connecting(shared: Shared) -> Iterator[None]:
    """Connections to discovery come up when it says so, those to hosts at once."""
    loop = asyncio.get_running_loop()
    connect = loop.create_connection

    async def create_connection(factory: Any, *args: Any, **more: Any) -> Any:
        if factory is Call:
            await shared.connect()
        return await connect(factory, *args, **more)

    with mock.patch.object(loop, "create_connection", create_connection):
        yield


@pytest.mark.parametrize(
    ("gateways", "failures"),
    [*((200, (one,)) for one in FAILURES), (5, FAILURES), (200, FAILURES)],
)
@pytest.mark.parametrize("phase", range(3))
def test_a_shared_discovery_that_comes_back_is_heard_before_its_news_counts_as_told(
    gateways: int, failures: tuple[str, ...], phase: int
) -> None:
    """Whatever failed before: connecting, the calls and their pauses are as long as they may be."""

    async def story() -> None:
        loop = asyncio.get_running_loop()
        settings = rules(250_000, discovery="subscribe") | {"balancers": gateways}
        async with Shared(("a", "127.0.0.1:9")) as shared:
            with connecting(shared):
                async with gate(
                    ("a", "127.0.0.1:9"), discovery=shared.addr, settings=settings
                ) as it:
                    await eventually(lambda: it.discovery.version == 1)
                    shared.fail(itertools.cycle(failures))
                    await asyncio.sleep(12.0 + 0.83 * phase)
                    shared.drain("a", "127.0.0.1:9")
                    shared.come_back()
                    back = loop.time()
                    await eventually(lambda: _drained(it))
                    assert loop.time() - back < NOTIFY_WITHIN

    play(story())


def test_a_new_process_asks_a_shared_discovery_before_old_news_counts_as_told() -> None:
    """However long the settings let a fleet spread its first calls."""

    async def story() -> None:
        loop = asyncio.get_running_loop()
        settings = rules(250_000, discovery="subscribe")
        settings["rules"]["askWithin"] = 600_000_000
        async with Shared(("a", "127.0.0.1:9")) as shared:
            shared.drain("a", "127.0.0.1:9")
            with connecting(shared):
                async with gate(
                    ("a", "127.0.0.1:9"), discovery=shared.addr, settings=settings
                ) as it:
                    started = loop.time()
                    await eventually(lambda: _drained(it))
                    assert loop.time() - started < NOTIFY_WITHIN

    play(story())


@pytest.mark.parametrize("phase", range(3))
def test_a_drained_host_gets_nothing_new_once_a_shared_discovery_has_come_back(phase: int) -> None:
    """Clients go on all the while, and the list names another host."""

    async def story() -> None:
        loop = asyncio.get_running_loop()
        grace = 250_000
        sent: list[float] = []

        async def note(message: bytes, writer: Writer) -> None:
            sent.append(loop.time())
            writer.write(answer(b"served"))

        settings = rules(grace, discovery="subscribe")
        async with contextlib.AsyncExitStack() as stack:
            a = await stack.enter_async_context(Server(note))
            b = await stack.enter_async_context(Server())
            shared = await stack.enter_async_context(Shared(("a", a.addr), ("b", b.addr)))
            stack.enter_context(connecting(shared))
            it = await stack.enter_async_context(
                gate(("a", a.addr), ("b", b.addr), discovery=shared.addr, settings=settings)
            )
            await eventually(lambda: it.discovery.version == 1)
            shared.fail(itertools.repeat("lost"))
            await asyncio.sleep(12.0 + 1.1 * phase)
            shared.entries[0]["state"] = "leaving"
            shared.version += 1
            shared.come_back()
            back = loop.time()
            client = await it.client()
            for number in range(90):
                await client.ask(request(f"r{number}"))
                await asyncio.sleep(0.1)
            assert sent
            assert max(sent) - back < NOTIFY_WITHIN + grace / 1e6
            assert b.seen

    play(story())


@pytest.mark.parametrize(
    "raw",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{",  # and silence
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n{\r\n",
        answer(b'{"version": 9, "full": false, "servers": [{"id": "a", "state"'),
        answer(b'{"version": "9", "full": true, "servers": []}'),
        answer(b'{"version": 0, "full": false, "servers": []}'),
        answer(b'{"version": 0, "full": true, "servers": []}'),
        b"\x00\xff noise\r\n\r\n",
    ],
    ids=["cut", "endless", "truncated", "version", "older", "older whole", "noise"],
)
def test_a_list_that_is_none_changes_nothing_and_the_whole_list_is_asked_for(raw: bytes) -> None:
    async def story() -> None:
        async with (
            Registry(("a", "127.0.0.1:9"), version=5) as registry,
            gate(("a", "127.0.0.1:9"), discovery=registry.addr) as it,
        ):
            await eventually(lambda: it.discovery.version == 5)
            registry.raw = raw
            await eventually(lambda: registry.raw is None)
            asked = len(registry.seen)
            await eventually(lambda: it.core.counters.bad_lists > 0 and len(registry.seen) > asked)
            assert b"after" not in registry.seen[asked]
            assert list(it.pool.endpoints) == ["a"]
            assert it.discovery.version == 5

    play(story())


def test_an_indented_list_is_a_list() -> None:
    async def story() -> None:
        async with Registry(("a", "127.0.0.1:9")) as registry:
            registry.version, registry.entries = 7, [entry("b", "127.0.0.1:9")]
            text = {"version": 7, "full": True, "servers": registry.entries}
            registry.raw = answer(json.dumps(text, indent=4).encode())
            async with gate(("a", "127.0.0.1:9"), discovery=registry.addr) as it:
                await eventually(lambda: list(it.pool.endpoints) == ["b"])
                assert it.core.counters.bad_lists == 0

    play(story())


def test_new_settings_change_the_rhythm_and_who_says_when_to_ask() -> None:
    async def story() -> None:
        async with (
            Server() as host,
            Registry(("a", host.addr)) as registry,
            gate(("a", host.addr), discovery=registry.addr) as it,
        ):
            await eventually(lambda: it.discovery.version == 1)
            before = it.platform.config
            value = config_value(
                registry.addr,
                ("a", host.addr),
                settings=rules(200_000) | {"discovery": "subscribe"},
            )
            slow = it.discovery.times
            it.platform.reconfigure(parse_config(value, {}))
            assert it.discovery.is_shared
            asked = len(registry.seen)
            await eventually(lambda: len(registry.seen) > asked + 1)  # nobody had to say so
            value["settings"]["discovery"] = "automatic"
            it.platform.reconfigure(parse_config(value, {}))
            assert not it.discovery.is_shared
            assert it.discovery.times.call < slow.call
            assert before.settings.rules.drain_grace > 200_000

    play(story())


def test_zones_by_other_names_bring_the_whole_list_anew() -> None:
    """What is listed was read by the old ones, and nothing has changed for discovery."""

    async def story() -> None:
        async with (
            Registry(("a", "127.0.0.1:9")) as registry,
            gate(("a", "127.0.0.1:9"), discovery=registry.addr) as it,
        ):
            await eventually(lambda: it.discovery.version == 1)
            assert it.pool.endpoints["a"].endpoint.zone == 0
            value = config_value(registry.addr, settings={"zones": ["y", "z"]})
            value["settings"]["dcs"] = ["y", "z"]
            asked = len(registry.seen)
            it.platform.reconfigure(parse_config(value, {}))
            await eventually(lambda: it.pool.endpoints["a"].endpoint.zone == 1)
            assert any(b"after" not in one for one in registry.seen[asked:])

    play(story())
