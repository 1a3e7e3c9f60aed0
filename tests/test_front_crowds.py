"""Admission control under load, over loopback: honest clients are served beside misuse."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import resource
import signal
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from sailhitch.front import Reason
from sailhitch.lab import run_time
from sailhitch.lab.crowd import LOST, NO_SEAT, SERVED, Crowd, Front, Tally
from sailhitch.lab.message import platform
from sailhitch.lab.node import Node
from sailhitch.net import downstream, response_writer
from sailhitch.net.config import parse_config
from tests.sockets import (
    TEST_TIMEOUT,
    DiscoveryServer,
    RunningGateway,
    Server,
    Writer,
    config_value,
    dial,
    process,
    request,
    running_gateway,
    start_requests,
    until,
)

SAFE = "pure-all"


@pytest.fixture(autouse=True)
def _enough_descriptors() -> None:
    """Raise the descriptor limit, as both ends of each connection are in this process."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(most, 16_384), most))


RATE, COUNT = 120.0, 300  # honest requests per second and in total


class LoadSetup:
    """A gateway, a node, a crowd, and a front that uses a third of the descriptors."""

    def __init__(self, gateway: RunningGateway, node: Node, crowd: Crowd, sockets: int) -> None:
        self.gateway, self.node, self.crowd = gateway, node, crowd
        self.front = Front(gateway.addr, sockets // 3, SAFE)
        self.honest = Tally()

    async def send_honest_requests(self, rate: float = RATE, count: int = COUNT) -> None:
        await self.crowd.honest(self.front, self.honest, rate, count)

    def check(self, share: float = 0.97) -> None:
        """Check that honest requests are served, each once, within the budget."""
        core = self.gateway.core
        assert self.honest.share >= share, (self.honest.ends, core.admission.summary())
        assert self.honest.answered_twice == 0
        assert all(count == 1 for count in self.node.effects.values())
        assert core.counters.panics == core.counters.faults == 0
        assert core.admission.client_descriptors == len(core.clients) + len(core.arriving)
        assert (
            core.admission.client_descriptors + self.gateway.hosts.size()
            <= self.gateway.platform.config.descriptors
        )


def run_scenario(
    scenario: Callable[[LoadSetup], Awaitable[None]], sockets: int = 256, delay: float = 0.01
) -> None:
    async def run() -> None:
        async with (
            Node(delay) as node,
            running_gateway(("a", node.addr), limits={"sockets": sockets}) as gateway,
            Crowd(gateway.addr) as crowd,
        ):
            await scenario(LoadSetup(gateway, node, crowd, sockets))

    asyncio.run(run())


def run_beside(setup: LoadSetup, work: Coroutine[Any, Any, None]) -> None:
    setup.crowd.start(work)


# --- Clients that hold slots


@pytest.mark.parametrize("sockets", [256, 384, 1024])
@pytest.mark.parametrize("count", [50, 500])
def test_honest_requests_are_served_beside_hoarders(sockets: int, count: int) -> None:
    async def scenario(setup: LoadSetup) -> None:
        hoarder_tally = Tally()
        run_beside(setup, setup.crowd.hoarders(setup.front, hoarder_tally, count / 2.5, count))
        await setup.send_honest_requests()
        setup.check()
        assert hoarder_tally.ends[SERVED] > 0.9 * hoarder_tally.asked
        assert setup.gateway.core.admission.used_slots <= sockets // 3

    run_scenario(scenario, sockets)


def test_returning_clients_keep_slots_that_hoarders_lose() -> None:
    async def scenario(setup: LoadSetup) -> None:
        hoarder_tally, returning_tally = Tally(), Tally()
        returning = [
            asyncio.ensure_future(setup.crowd.returner(setup.front, returning_tally, 0.1, 30))
            for _ in range(20)
        ]
        run_beside(setup, setup.crowd.hoarders(setup.front, hoarder_tally, 100, 400))
        await asyncio.gather(*returning)
        assert returning_tally.ends == {SERVED: 600}
        assert setup.gateway.core.admission.counters.closed[Reason.SEAT] > 100
        # 20 connections would suffice; some are closed before the returning clients are known.
        assert setup.front.dialled - hoarder_tally.asked < 120

    run_scenario(scenario)


def test_idle_connections_are_kept_when_slow_hosts_fill_the_slots() -> None:
    async def scenario(setup: LoadSetup) -> None:
        returning_tally = Tally()
        returning = [
            asyncio.ensure_future(setup.crowd.returner(setup.front, returning_tally, 0.03, 30))
            for _ in range(10)
        ]
        await until(lambda: returning_tally.asked > 100)
        setup.node.delay = 0.4
        await asyncio.gather(*returning, setup.send_honest_requests(60, 120))
        setup.check()
        assert returning_tally.ends == {SERVED: 300}
        assert setup.front.dialled < 60

    run_scenario(scenario)


def test_open_requests_on_a_third_of_the_descriptors_are_all_answered() -> None:
    async def scenario(setup: LoadSetup) -> None:
        setup.node.delay = 1.0
        tally = Tally()
        held = [asyncio.ensure_future(setup.front.ask(tally)) for _ in range(80)]
        await until(lambda: len(setup.node.effects) >= 80)
        run_beside(setup, setup.crowd.silent(300, 600))
        await asyncio.gather(*held)
        assert tally.ends == {SERVED: 80}
        setup.node.delay = 0.01
        await setup.send_honest_requests()
        setup.check()

    run_scenario(scenario)


def test_load_delayed_by_a_busy_cpu_is_not_made_up_in_a_burst(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After waiting for a CPU, a crowd must not send at many times its rate."""
    rate, count, waited, begun = 200.0, 40, [0.0], list[float]()
    monkeypatch.setattr(run_time, "run_delay", lambda: waited[0])

    async def one() -> None:
        begun.append(run_time.run_time())
        if len(begun) == 10:
            time.sleep(0.3)
            waited[0] = 0.3

    started = run_time.run_time()
    asyncio.run(Crowd("").steady(rate, count, one))
    early = [at - started - i / rate for i, at in enumerate(begun)]
    assert len(begun) == count
    assert min(early) >= 0


# --- Misuse


@pytest.mark.parametrize("rate", [50, 2000])
def test_honest_requests_are_served_beside_silent_connections(rate: int) -> None:
    async def scenario(setup: LoadSetup) -> None:
        run_beside(setup, setup.crowd.silent(rate, min(3 * rate, 3000)))
        await setup.send_honest_requests()
        setup.check(0.95)

    run_scenario(scenario)


@pytest.mark.parametrize("first", [b"", b"GET / HTTP/1.1\r\n\r\n"])
def test_honest_requests_are_served_beside_reconnecting_clients(first: bytes) -> None:
    async def scenario(setup: LoadSetup) -> None:
        for _ in range(60):
            run_beside(setup, setup.crowd.come_back("127.0.0.66", first))
        await setup.send_honest_requests()
        setup.check(0.95)
        mine = setup.gateway.core.admission.sources.get("127.0.0.66")
        await until(lambda: mine.reputation < 0.5)
        assert setup.gateway.core.admission.sources.get("127.0.0.1").reputation > 0.9

    run_scenario(scenario)


def test_trickled_heads_and_bodies_time_out() -> None:
    async def scenario(setup: LoadSetup) -> None:
        running_program = platform("slow", "side_effect-all", 3000, b"b" * 3000)
        body = running_program.index(b"\r\n\r\n") + 100
        for i in range(100):
            data = running_program if i % 2 else running_program[:body]
            run_beside(setup, setup.crowd.trickle(data, 0.05, f"127.0.0.{70 + i % 5}"))
        await setup.send_honest_requests()
        setup.check()
        await until(lambda: setup.crowd.closed["trickle"] == 100)
        assert setup.gateway.core.admission.counters.closed[Reason.SLOW] > 0
        assert setup.node.effects[b"slow"] == 0

    run_scenario(scenario)


def test_responses_read_a_byte_a_second_release_memory_and_slots(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(response_writer, "READ_GRACE", 1_000_000)

    async def scenario(setup: LoadSetup) -> None:
        setup.node.size = 1_500_000
        for i in range(12):
            run_beside(setup, setup.crowd.slow_reader(platform(f"s{i}", SAFE, 3000)))
        admission = setup.gateway.core.admission
        await until(lambda: setup.gateway.core.budget.streamed > 1_000_000)
        setup.node.size = 32
        await setup.send_honest_requests()
        setup.check()
        await until(lambda: admission.counters.closed[Reason.UNREAD] >= 5)
        await until(lambda: setup.gateway.core.budget.streamed == 0)

    run_scenario(scenario)


def test_pipelined_requests_are_all_answered_under_pressure() -> None:
    async def scenario(setup: LoadSetup) -> None:
        run_beside(setup, setup.crowd.hoarders(setup.front, Tally(), 200, 600))
        await until(lambda: setup.gateway.core.admission.pressure_factor > 0)
        for turn in range(20):
            client = await setup.gateway.client()
            client.send(b"".join(request(f"p{turn}-{i}") for i in range(4)))
            for _ in range(4):
                assert (await client.answer())[0] == 200
            client.writer.close()
        setup.check(0)

    run_scenario(scenario)


def test_an_eviction_that_crosses_a_request_loses_nothing() -> None:
    async def scenario(setup: LoadSetup) -> None:
        client = await setup.gateway.client()
        assert (await client.ask(request("c0")))[0] == 200
        (held,) = setup.gateway.clients()
        client.send(request("c1"))
        sock = held.sock
        while True:  # until the kernel has the request; the event loop doesn't run
            try:
                if sock.recv(1, socket.MSG_PEEK):
                    break
            except BlockingIOError:
                pass
        assert setup.gateway.core.release([held.slot], Reason.ROOM) == 0
        assert (await client.answer())[0] == 200

    run_scenario(scenario)


def test_a_new_connection_is_counted_once_at_every_step(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(setup: LoadSetup) -> None:
        core, real, counts = setup.gateway.core, downstream.Downstream.connection_made, []

        def connection_counts() -> tuple[int, int]:
            return core.admission.client_descriptors, len(core.clients) + len(core.arriving)

        def connection_made(self: downstream.Downstream, transport: asyncio.BaseTransport) -> None:
            counts.append(connection_counts())  # accepted
            real(self, transport)
            counts.append(connection_counts())  # a client now, before the accept task has ended

        monkeypatch.setattr(downstream.Downstream, "connection_made", connection_made)
        clients = []
        for turn in range(2):
            clients.append(await setup.gateway.client())
            assert (await clients[turn].ask(request(f"in{turn}")))[0] == 200
            counts.append(connection_counts())
        assert counts == [(1, 1)] * 3 + [(2, 2)] * 3

    run_scenario(scenario)


# --- Limits that change or differ from the configured ones


def test_lowering_limits_below_current_use_loses_no_request() -> None:
    async def scenario(setup: LoadSetup) -> None:
        setup.node.delay = 0.5
        tally = Tally()
        held = [asyncio.ensure_future(setup.front.ask(tally)) for _ in range(40)]
        await until(lambda: len(setup.node.effects) >= 40)
        run_beside(setup, setup.crowd.silent(1000, 80))
        await until(lambda: setup.gateway.core.admission.client_descriptors >= 110)
        value = config_value("127.0.0.1:9", ("a", setup.node.addr), limits={"sockets": 128})
        setup.gateway.platform.reconfigure(parse_config(value, {}))
        await asyncio.gather(*held)
        assert tally.ends == {SERVED: 40}
        setup.front.seats = 42
        setup.node.delay = 0.01
        await setup.send_honest_requests()
        setup.check()
        assert setup.gateway.core.admission.client_descriptors + setup.gateway.hosts.size() <= 128

    run_scenario(scenario)


def test_a_system_without_descriptors_costs_the_least_valuable_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(setup: LoadSetup) -> None:
        run_beside(setup, setup.crowd.silent(1000, 60))
        await until(lambda: setup.gateway.core.admission.client_descriptors >= 60)
        real, refused = socket.socket.accept, 0

        def accept(self: socket.socket) -> tuple[socket.socket, Any]:
            nonlocal refused
            ours = self.getsockname()[1] == int(setup.gateway.addr.rpartition(":")[2])
            if (
                ours
                and setup.gateway.core.admission.client_descriptors + setup.gateway.hosts.size()
                >= 50
            ):
                refused += 1
                raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
            return real(self)

        monkeypatch.setattr(socket.socket, "accept", accept)
        await setup.send_honest_requests()
        setup.check()
        assert refused > 0

    run_scenario(scenario)


def test_a_missing_descriptor_is_not_a_failure_of_the_host(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(setup: LoadSetup) -> None:
        def raise_emfile(*_: Any) -> socket.socket:
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))

        client = await setup.gateway.client()
        with monkeypatch.context() as patch:
            patch.setattr(socket, "socket", raise_emfile)
            assert (await client.ask(request("x1")))[0] in (502, 503)
        assert setup.gateway.hosts.connecting == 0
        assert (await client.ask(request("x2")))[0] == 200
        setup.check(0)

    run_scenario(scenario)


def test_the_time_of_day_may_jump(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(setup: LoadSetup) -> None:
        client = await setup.gateway.client()
        assert (await client.ask(request("t0")))[0] == 200
        real = time.time
        for jump in (-7200.0, 7200.0):
            monkeypatch.setattr(time, "time", lambda jump=jump: real() + jump)
            await setup.send_honest_requests(200, 60)
            assert (await client.ask(request(f"t{jump}")))[0] == 200
        setup.check()

    run_scenario(scenario)


# --- Exceptions in timers


@pytest.mark.parametrize("part", ["admission", "hosts", "clients", "statistics", "all"])
def test_an_exception_in_a_periodic_task_leaves_deadlines_kept(
    part: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def silent(_: bytes, writer: Writer) -> None:
        await asyncio.sleep(TEST_TIMEOUT)

    def broken(*_: Any, **__: Any) -> None:
        raise ZeroDivisionError("a bug")

    async def run() -> None:
        async with Server(silent) as host, running_gateway(("a", host.addr)) as gateway:
            core = gateway.core
            client = await gateway.client()
            core.periodic.statistics_at = 0
            if part in ("admission", "all"):
                monkeypatch.setattr(core.admission, "update_pressure", broken)
            if part in ("hosts", "all"):
                monkeypatch.setattr(gateway.hosts, "sweep", broken)
            if part in ("clients", "all"):
                monkeypatch.setattr(type(next(iter(core.clients))), "sweep", broken)
            if part in ("statistics", "all"):
                monkeypatch.setattr(core.admission, "summary", broken)
            await until(lambda: core.counters.faults > 0)
            for i in range(3):
                assert (await client.ask(request(f"d{i}", wait_ms=300)))[0] in (502, 503, 504)
            assert core.counters.overdue == 0

    asyncio.run(run())


def test_a_timer_that_raises_stops_no_other_and_its_client_gets_a_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def silent(_: bytes, writer: Writer) -> None:
        await asyncio.sleep(TEST_TIMEOUT)

    async def run() -> None:
        async with Server(silent) as host, running_gateway(("a", host.addr)) as gateway:
            core = gateway.core
            first, second = await gateway.client(), await gateway.client()
            real, failed_contexts = core.check_timeouts, []

            def check_timeouts(request_context: Any, now: int) -> None:
                if request_context.name == b"bad":
                    failed_contexts.append(request_context)
                    raise KeyError("a bug")
                real(request_context, now)

            monkeypatch.setattr(core, "check_timeouts", check_timeouts)
            first.send(request("bad", wait_ms=300))
            second.send(request("good", wait_ms=400))
            assert (await first.answer())[0] in (502, 504)
            assert (await second.answer())[0] in (502, 503, 504)
            assert failed_contexts

    asyncio.run(run())


def test_an_exception_from_an_endpoint_update_does_not_end_the_watch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        async with (
            Server() as host,
            DiscoveryServer(("a", host.addr)) as registry,
            running_gateway(discovery=registry.addr) as gateway,
        ):
            real = gateway.pool.on_endpoint_update
            broken: list[Any] = []

            def on_update(update: Any) -> None:
                if not broken:
                    broken.append(update)
                    raise IndexError("a bug")
                real(update)

            monkeypatch.setattr(gateway.pool, "on_endpoint_update", on_update)
            registry.version = 5
            await until(lambda: "a" in gateway.hosts.hosts)
            assert broken

    asyncio.run(run())


# --- The real program


@contextlib.asynccontextmanager
async def running_program(
    folder: Path, delay: float
) -> AsyncIterator[tuple[Node, Path, asyncio.subprocess.Process, Crowd, Front]]:
    """Run the real program with a node behind it, and a crowd and a front before it."""
    path = folder / "c.json"
    async with Node(delay) as node, DiscoveryServer(("a", node.addr)) as registry:
        value = config_value(registry.addr, ("a", node.addr))
        async with process(path, value) as (program, addr), Crowd(addr) as crowd:
            yield node, path, program, crowd, Front(addr, 85, SAFE)


def test_sigterm_under_load_answers_all_accepted_requests(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_program(tmp_path, 0.2) as (node, _, program, crowd, front):
            hoarder_tally, tally = Tally(), Tally()
            crowd.start(crowd.silent(300, 200))
            await crowd.hoarders(front, hoarder_tally, 200, 100)
            asking = [asyncio.ensure_future(front.ask(tally)) for _ in range(40)]
            await until(lambda: len(node.effects) >= 120)
            program.send_signal(signal.SIGTERM)
            await asyncio.gather(*asking)
            # Open connections are served on, as other gateways may be restarting too.
            await crowd.honest(front, tally, 100, 20)
            assert tally.ends[SERVED] == tally.asked - tally.ends[NO_SEAT]
            assert tally.ends[LOST] == 0
            async with asyncio.timeout(TEST_TIMEOUT):
                assert await program.wait() == 0

    asyncio.run(run())


def test_a_reload_under_load_loses_no_connection(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_program(tmp_path, 0.02) as (_, path, program, crowd, front):
            tally, returning_tally = Tally(), Tally()
            crowd.start(crowd.silent(200, 300))
            returning = [
                asyncio.ensure_future(crowd.returner(front, returning_tally, 0.05, 30))
                for _ in range(10)
            ]
            asking = asyncio.ensure_future(crowd.honest(front, tally, 100, 200))
            for memory in (64, 80, 96):
                fresh = json.loads(path.read_text())
                fresh["limits"]["memory_mb"] = memory
                path.write_text(json.dumps(fresh))
                program.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.4)
            await asyncio.gather(asking, *returning)
            assert tally.ends == {SERVED: 200}
            assert returning_tally.ends == {SERVED: 300}
            assert front.dialled < 60
            assert program.returncode is None

    asyncio.run(run())


def test_a_rejected_connection_gets_one_503_without_a_guessed_retry_after() -> None:
    async def silent(_: bytes, writer: Writer) -> None:
        await asyncio.sleep(TEST_TIMEOUT)

    async def run() -> None:
        async with (
            Server(silent) as host,
            running_gateway(("a", host.addr), limits={"sockets": 64}) as gateway,
        ):
            _held = await start_requests(gateway, 30)
            await until(lambda: gateway.core.counters.crowded > 0)
            last = await gateway.client()
            got = await last.read_to_end()
            assert got.startswith(b"HTTP/1.1 503 ")
            # With all slots busy it is unknown when one is free, so there is no Retry-After.
            assert b"Retry-After" not in got
            assert (await (await dial(gateway.addr)).read_to_end()).count(b"HTTP/1.1") == 1

    asyncio.run(run())
