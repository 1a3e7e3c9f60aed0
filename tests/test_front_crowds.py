"""Crowds at the real listener, over loopback: who is inside goes on being served."""

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
    PATIENCE,
    Gate,
    Registry,
    Server,
    Writer,
    config_value,
    dial,
    fill,
    gate,
    process,
    request,
    until,
)

SAFE = "pure-all"


@pytest.fixture(autouse=True)
def _enough_descriptors() -> None:
    """Both ends of each connection are in this process, and none of them may run out here."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(most, 16_384), most))


RATE, COUNT = 120.0, 300  # honest requests: so many a second, and in all


class Scene:
    """A gateway, a node, a front that keeps to its third of the descriptors, and a crowd."""

    def __init__(self, it: Gate, node: Node, crowd: Crowd, sockets: int) -> None:
        self.it, self.node, self.crowd = it, node, crowd
        self.front = Front(it.addr, sockets // 3, SAFE)
        self.honest = Tally()

    async def serve_honest(self, rate: float = RATE, count: int = COUNT) -> None:
        await self.crowd.honest(self.front, self.honest, rate, count)

    def check(self, share: float = 0.97) -> None:
        """The honest are served, nobody is answered twice, and the budget holds."""
        core = self.it.core
        assert self.honest.share >= share, (self.honest.ends, core.admission.summary())
        assert self.honest.answered_twice == 0
        assert all(count == 1 for count in self.node.effects.values())
        assert core.counters.panics == core.counters.faults == 0
        assert core.admission.held == len(core.clients) + len(core.arriving)
        assert core.admission.held + self.it.hosts.size() <= self.it.platform.config.descriptors


def play(act: Callable[[Scene], Awaitable[None]], sockets: int = 256, delay: float = 0.01) -> None:
    async def run() -> None:
        async with (
            Node(delay) as node,
            gate(("a", node.addr), limits={"sockets": sockets}) as it,
            Crowd(it.addr) as crowd,
        ):
            await act(Scene(it, node, crowd, sockets))

    asyncio.run(run())


def beside(scene: Scene, work: Coroutine[Any, Any, None]) -> None:
    scene.crowd.start(work)


# --- Those that hold places


@pytest.mark.parametrize("sockets", [256, 384, 1024])
@pytest.mark.parametrize("count", [50, 500])
def test_honest_requests_are_served_beside_hoarders(sockets: int, count: int) -> None:
    async def act(scene: Scene) -> None:
        hoard = Tally()
        beside(scene, scene.crowd.hoarders(scene.front, hoard, count / 2.5, count))
        await scene.serve_honest()
        scene.check()
        assert hoard.ends[SERVED] > 0.9 * hoard.asked
        assert scene.it.core.admission.used <= sockets // 3

    play(act, sockets)


def test_who_comes_back_keeps_a_place_that_a_hoarder_loses() -> None:
    async def act(scene: Scene) -> None:
        hoard, again = Tally(), Tally()
        back = [
            asyncio.ensure_future(scene.crowd.returner(scene.front, again, 0.1, 30))
            for _ in range(20)
        ]
        beside(scene, scene.crowd.hoarders(scene.front, hoard, 100, 400))
        await asyncio.gather(*back)
        assert again.ends == {SERVED: 600}
        assert scene.it.core.admission.counters.closed[Reason.SEAT] > 100
        # 20 connections would do; some are lost before it is seen who comes back.
        assert scene.front.dialled - hoard.asked < 120

    play(act)


def test_with_slow_hosts_the_idle_are_not_what_is_scarce() -> None:
    async def act(scene: Scene) -> None:
        again = Tally()
        back = [
            asyncio.ensure_future(scene.crowd.returner(scene.front, again, 0.03, 30))
            for _ in range(10)
        ]
        await until(lambda: again.asked > 100)
        scene.node.delay = 0.4
        await asyncio.gather(*back, scene.serve_honest(60, 120))
        scene.check()
        assert again.ends == {SERVED: 300}
        assert scene.front.dialled < 60

    play(act)


def test_a_third_of_the_descriptors_held_by_requests_out_keeps_nobody_from_an_answer() -> None:
    async def act(scene: Scene) -> None:
        scene.node.delay = 1.0
        out = Tally()
        held = [asyncio.ensure_future(scene.front.ask(out)) for _ in range(80)]
        await until(lambda: len(scene.node.effects) >= 80)
        beside(scene, scene.crowd.silent(300, 600))
        await asyncio.gather(*held)
        assert out.ends == {SERVED: 80}
        scene.node.delay = 0.01
        await scene.serve_honest()
        scene.check()

    play(act)


def test_what_waited_for_a_cpu_makes_up_for_it_in_no_burst(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a crowd that asks at many times its rate after a wait for a CPU."""
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
def test_a_crowd_that_connects_and_says_nothing(rate: int) -> None:
    async def act(scene: Scene) -> None:
        beside(scene, scene.crowd.silent(rate, min(3 * rate, 3000)))
        await scene.serve_honest()
        scene.check(0.95)

    play(act)


@pytest.mark.parametrize("first", [b"", b"GET / HTTP/1.1\r\n\r\n"])
def test_those_that_come_back_as_soon_as_they_are_closed(first: bytes) -> None:
    async def act(scene: Scene) -> None:
        for _ in range(60):
            beside(scene, scene.crowd.come_back("127.0.0.66", first))
        await scene.serve_honest()
        scene.check(0.95)
        mine = scene.it.core.admission.sources.get("127.0.0.66")
        await until(lambda: mine.standing < 0.5)
        assert scene.it.core.admission.sources.get("127.0.0.1").standing > 0.9

    play(act)


def test_trickled_heads_and_bodies_have_an_end() -> None:
    async def act(scene: Scene) -> None:
        whole = platform("slow", "side_effect-all", 3000, b"b" * 3000)
        body = whole.index(b"\r\n\r\n") + 100
        for i in range(100):
            data = whole if i % 2 else whole[:body]
            beside(scene, scene.crowd.trickle(data, 0.05, f"127.0.0.{70 + i % 5}"))
        await scene.serve_honest()
        scene.check()
        await until(lambda: scene.crowd.closed["trickle"] == 100)
        assert scene.it.core.admission.counters.closed[Reason.SLOW] > 0
        assert scene.node.effects[b"slow"] == 0

    play(act)


def test_answers_read_a_byte_a_second_hold_neither_memory_nor_places_for_long(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(response_writer, "READ_GRACE", 1_000_000)

    async def act(scene: Scene) -> None:
        scene.node.size = 1_500_000
        for i in range(12):
            beside(scene, scene.crowd.slow_reader(platform(f"s{i}", SAFE, 3000)))
        admission = scene.it.core.admission
        await until(lambda: scene.it.core.budget.streamed > 1_000_000)
        scene.node.size = 32
        await scene.serve_honest()
        scene.check()
        await until(lambda: admission.counters.closed[Reason.UNREAD] >= 5)
        await until(lambda: scene.it.core.budget.streamed == 0)

    play(act)


def test_requests_sent_ahead_are_all_answered_under_pressure() -> None:
    async def act(scene: Scene) -> None:
        beside(scene, scene.crowd.hoarders(scene.front, Tally(), 200, 600))
        await until(lambda: scene.it.core.admission.pressure_factor > 0)
        for turn in range(20):
            client = await scene.it.client()
            client.send(b"".join(request(f"p{turn}-{i}") for i in range(4)))
            for _ in range(4):
                assert (await client.answer())[0] == 200
            client.writer.close()
        scene.check(0)

    play(act)


def test_a_close_that_crosses_a_request_loses_nothing() -> None:
    async def act(scene: Scene) -> None:
        client = await scene.it.client()
        assert (await client.ask(request("c0")))[0] == 200
        (held,) = scene.it.clients()
        client.send(request("c1"))
        sock = held.sock
        while True:  # until the kernel has it; the loop gets no turn
            try:
                if sock.recv(1, socket.MSG_PEEK):
                    break
            except BlockingIOError:
                pass
        assert scene.it.core.release([held.slot], Reason.ROOM) == 0
        assert (await client.answer())[0] == 200

    play(act)


def test_a_client_that_comes_in_is_counted_once_at_every_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def act(scene: Scene) -> None:
        core, real, counts = scene.it.core, downstream.Downstream.connection_made, []

        def counted() -> tuple[int, int]:
            return core.admission.held, len(core.clients) + len(core.arriving)

        def made(self: downstream.Downstream, transport: asyncio.BaseTransport) -> None:
            counts.append(counted())  # it has been accepted
            real(self, transport)
            counts.append(counted())  # it is a client, and its accepting is not over yet

        monkeypatch.setattr(downstream.Downstream, "connection_made", made)
        clients = []
        for turn in range(2):
            clients.append(await scene.it.client())
            assert (await clients[turn].ask(request(f"in{turn}")))[0] == 200
            counts.append(counted())
        assert counts == [(1, 1)] * 3 + [(2, 2)] * 3

    play(act)


# --- Limits that change, and that are not what was told


def test_limits_lowered_under_what_is_open_lose_no_request() -> None:
    async def act(scene: Scene) -> None:
        scene.node.delay = 0.5
        out = Tally()
        held = [asyncio.ensure_future(scene.front.ask(out)) for _ in range(40)]
        await until(lambda: len(scene.node.effects) >= 40)
        beside(scene, scene.crowd.silent(1000, 80))
        await until(lambda: scene.it.core.admission.held >= 110)
        value = config_value("127.0.0.1:9", ("a", scene.node.addr), limits={"sockets": 128})
        scene.it.platform.reconfigure(parse_config(value, {}))
        await asyncio.gather(*held)
        assert out.ends == {SERVED: 40}
        scene.front.seats = 42
        scene.node.delay = 0.01
        await scene.serve_honest()
        scene.check()
        assert scene.it.core.admission.held + scene.it.hosts.size() <= 128

    play(act)


def test_a_system_without_descriptors_costs_the_least_worth(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def act(scene: Scene) -> None:
        beside(scene, scene.crowd.silent(1000, 60))
        await until(lambda: scene.it.core.admission.held >= 60)
        real, refused = socket.socket.accept, 0

        def accept(self: socket.socket) -> tuple[socket.socket, Any]:
            nonlocal refused
            ours = self.getsockname()[1] == int(scene.it.addr.rpartition(":")[2])
            if ours and scene.it.core.admission.held + scene.it.hosts.size() >= 50:
                refused += 1
                raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
            return real(self)

        monkeypatch.setattr(socket.socket, "accept", accept)
        await scene.serve_honest()
        scene.check()
        assert refused > 0

    play(act)


def test_no_descriptor_for_a_host_is_not_held_against_the_host(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def act(scene: Scene) -> None:
        def none(*_: Any) -> socket.socket:
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))

        client = await scene.it.client()
        with monkeypatch.context() as patch:
            patch.setattr(socket, "socket", none)
            assert (await client.ask(request("x1")))[0] in (502, 503)
        assert scene.it.hosts.connecting == 0
        assert (await client.ask(request("x2")))[0] == 200
        scene.check(0)

    play(act)


def test_the_time_of_day_may_jump(monkeypatch: pytest.MonkeyPatch) -> None:
    async def act(scene: Scene) -> None:
        client = await scene.it.client()
        assert (await client.ask(request("t0")))[0] == 200
        real = time.time
        for jump in (-7200.0, 7200.0):
            monkeypatch.setattr(time, "time", lambda jump=jump: real() + jump)
            await scene.serve_honest(200, 60)
            assert (await client.ask(request(f"t{jump}")))[0] == 200
        scene.check()

    play(act)


# --- Timers that can't die


@pytest.mark.parametrize("part", ["door", "hosts", "clients", "figures", "all"])
def test_an_exception_in_a_periodic_part_leaves_deadlines_kept(
    part: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def silent(_: bytes, writer: Writer) -> None:
        await asyncio.sleep(PATIENCE)

    def broken(*_: Any, **__: Any) -> None:
        raise ZeroDivisionError("a bug")

    async def run() -> None:
        async with Server(silent) as host, gate(("a", host.addr)) as it:
            core = it.core
            client = await it.client()
            core.periodic.statistics_at = 0
            if part in ("door", "all"):
                monkeypatch.setattr(core.admission, "update_pressure", broken)
            if part in ("hosts", "all"):
                monkeypatch.setattr(it.hosts, "sweep", broken)
            if part in ("clients", "all"):
                monkeypatch.setattr(type(next(iter(core.clients))), "sweep", broken)
            if part in ("figures", "all"):
                monkeypatch.setattr(core.admission, "summary", broken)
            await until(lambda: core.counters.faults > 0)
            for i in range(3):
                assert (await client.ask(request(f"d{i}", wait_ms=300)))[0] in (502, 503, 504)
            assert core.counters.overdue == 0

    asyncio.run(run())


def test_one_bad_entry_of_the_wheel_costs_that_entry_and_its_client_gets_an_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def silent(_: bytes, writer: Writer) -> None:
        await asyncio.sleep(PATIENCE)

    async def run() -> None:
        async with Server(silent) as host, gate(("a", host.addr)) as it:
            core = it.core
            first, second = await it.client(), await it.client()
            real, hit = core._check_timeouts, []

            def due(exchange: Any, now: int) -> None:
                if exchange.name == b"bad":
                    hit.append(exchange)
                    raise KeyError("a bug")
                real(exchange, now)

            monkeypatch.setattr(core, "_check_timeouts", due)
            first.send(request("bad", wait_ms=300))
            second.send(request("good", wait_ms=400))
            assert (await first.answer())[0] in (502, 504)
            assert (await second.answer())[0] in (502, 503, 504)
            assert hit

    asyncio.run(run())


def test_a_list_that_breaks_this_process_does_not_end_the_watch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        async with (
            Server() as host,
            Registry(("a", host.addr)) as registry,
            gate(discovery=registry.addr) as it,
        ):
            real = it.pool.on_endpoint_update
            broken: list[Any] = []

            def news(roster: Any) -> None:
                if not broken:
                    broken.append(roster)
                    raise IndexError("a bug")
                real(roster)

            monkeypatch.setattr(it.pool, "on_endpoint_update", news)
            registry.version = 5
            await until(lambda: "a" in it.hosts.hosts)
            assert broken

    asyncio.run(run())


# --- The whole program


@contextlib.asynccontextmanager
async def whole(
    folder: Path, delay: float
) -> AsyncIterator[tuple[Node, Path, asyncio.subprocess.Process, Crowd, Front]]:
    """The real program with its file, a node behind it, and a crowd and a front before it."""
    path = folder / "c.json"
    async with Node(delay) as node, Registry(("a", node.addr)) as registry:
        value = config_value(registry.addr, ("a", node.addr))
        async with process(path, value) as (program, addr), Crowd(addr) as crowd:
            yield node, path, program, crowd, Front(addr, 85, SAFE)


def test_sigterm_in_the_middle_of_a_crowd_answers_all_that_was_taken(tmp_path: Path) -> None:
    async def run() -> None:
        async with whole(tmp_path, 0.2) as (node, _, program, crowd, front):
            hoard, out = Tally(), Tally()
            crowd.start(crowd.silent(300, 200))
            await crowd.hoarders(front, hoard, 200, 100)
            asking = [asyncio.ensure_future(front.ask(out)) for _ in range(40)]
            await until(lambda: len(node.effects) >= 120)
            program.send_signal(signal.SIGTERM)
            await asyncio.gather(*asking)
            # Who is inside is served on while others may be restarting too.
            await crowd.honest(front, out, 100, 20)
            assert out.ends[SERVED] == out.asked - out.ends[NO_SEAT]
            assert out.ends[LOST] == 0
            async with asyncio.timeout(PATIENCE):
                assert await program.wait() == 0

    asyncio.run(run())


def test_a_reload_in_the_middle_of_a_crowd_loses_no_place(tmp_path: Path) -> None:
    async def run() -> None:
        async with whole(tmp_path, 0.02) as (_, path, program, crowd, front):
            out, again = Tally(), Tally()
            crowd.start(crowd.silent(200, 300))
            back = [
                asyncio.ensure_future(crowd.returner(front, again, 0.05, 30)) for _ in range(10)
            ]
            asking = asyncio.ensure_future(crowd.honest(front, out, 100, 200))
            for memory in (64, 80, 96):
                fresh = json.loads(path.read_text())
                fresh["limits"]["memory_mb"] = memory
                path.write_text(json.dumps(fresh))
                program.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.4)
            await asyncio.gather(asking, *back)
            assert out.ends == {SERVED: 200}
            assert again.ends == {SERVED: 300}
            assert front.dialled < 60
            assert program.returncode is None

    asyncio.run(run())


def test_who_is_turned_away_is_answered_at_once_with_a_time_that_is_true() -> None:
    async def silent(_: bytes, writer: Writer) -> None:
        await asyncio.sleep(PATIENCE)

    async def run() -> None:
        async with Server(silent) as host, gate(("a", host.addr), limits={"sockets": 64}) as it:
            _held = await fill(it, 30)
            await until(lambda: it.core.counters.crowded > 0)
            last = await it.client()
            got = await last.rest()
            assert got.startswith(b"HTTP/1.1 503 ")
            # With every place busy nobody knows when one is free, so no time is named.
            assert b"Retry-After" not in got
            assert (await (await dial(it.addr)).rest()).count(b"HTTP/1.1") == 1

    asyncio.run(run())
