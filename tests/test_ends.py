"""Start and shutdown of a process: early and late signals, and responses that are due."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import cast

import pytest
import uvloop

from sailhitch.core import drain as drain_times
from sailhitch.core.process import drain
from sailhitch.lab.ports import free_port
from sailhitch.net.config import parse_config
from sailhitch.net.listener import ACCEPT_BATCH, CLOSE_TIMEOUT
from tests.sockets import (
    TEST_TIMEOUT,
    DiscoveryServer,
    Server,
    Writer,
    config_value,
    dial,
    process,
    request,
    running_gateway,
)
from tests.virtual import eventually, play

# The real program, which sends itself a signal before its event loop exists.
EARLY_SIGNAL = """
import os, signal, sys
import sailhitch.__main__ as program
load = program.load_config
def load_and_signal(env):
    config = load(env)
    os.kill(os.getpid(), signal.SIGNAL)  # the file is read, the loop does not exist yet
    return config
program.load_config = load_and_signal
sys.exit(program.main([]))
"""


async def _run(code: str, name: str, path: Path, stop_at: bytes | None) -> tuple[int | None, bytes]:
    async with Server() as host, DiscoveryServer(("a", host.addr)) as registry:
        addr = f"127.0.0.1:{free_port()}"
        path.write_text(json.dumps(config_value(registry.addr, ("a", host.addr))))
        env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        env |= {"EDGE_CONFIG": str(path), "EDGE_NAME": "n0", "EDGE_LISTEN": addr}
        program = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            "-c",
            code.replace("SIGNAL", name),
            env=env,
            stderr=asyncio.subprocess.PIPE,
        )
        assert program.stderr is not None
        output = b""
        try:
            async with asyncio.timeout(TEST_TIMEOUT):
                while line := await program.stderr.readline():
                    output += line
                    if stop_at is not None and stop_at in line:
                        program.send_signal(signal.SIGTERM)
                await program.wait()
        finally:
            if program.returncode is None:
                program.kill()
        return program.returncode, output


def _run_under_signals(path: Path, signal_number: signal.Signals) -> int | None:
    """Stop the real program, and send signals from its last log line until it has ended."""
    port = free_port()
    path.write_text(json.dumps(config_value(f"127.0.0.1:{port}")))
    env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
    env |= {"EDGE_CONFIG": str(path), "EDGE_NAME": "n0", "EDGE_LISTEN": f"127.0.0.1:{free_port()}"}
    with subprocess.Popen(
        [sys.executable, "-B", "-m", "sailhitch"], env=env, stderr=subprocess.PIPE
    ) as program:
        assert program.stderr is not None
        for line in program.stderr:
            if b" ready" in line:
                program.terminate()
            if b"drained" in line:
                break
        deadline = time.monotonic() + TEST_TIMEOUT
        while program.poll() is None and time.monotonic() < deadline:
            program.send_signal(signal_number)
        program.kill()
        return program.returncode


@pytest.mark.parametrize("name", ["SIGHUP", "SIGTERM"])
def test_a_signal_to_an_ending_process_does_not_kill_it(name: str, tmp_path: Path) -> None:
    """Also when the interpreter has removed its signal handlers already."""
    assert _run_under_signals(tmp_path / "config.json", signal.Signals[name]) == 0


@pytest.mark.parametrize("name", ["SIGTERM", "SIGINT"])
def test_a_termination_signal_before_the_loop_runs_starts_a_drain(
    name: str, tmp_path: Path
) -> None:
    code, output = asyncio.run(_run(EARLY_SIGNAL, name, tmp_path / "config.json", None))
    assert code == 0, output
    assert b"drained" in output


def test_a_reload_signal_before_the_loop_runs_is_handled(tmp_path: Path) -> None:
    code, output = asyncio.run(
        _run(EARLY_SIGNAL, "SIGHUP", tmp_path / "config.json", b"SIGHUP: new")
    )
    assert code == 0, output


LONG_DEADLINES = {
    "classes": [
        {
            "name": name,
            "importance": 1.0,
            "goalTime": 9_000_000,
            "deadline": 10_000_000,
            "repeat": repeat,
        }
        for name, repeat in (("pure-all", "pure"), ("side_effect-all", "side_effect"))
    ]
}


@pytest.mark.parametrize("sent", [True, False])
@pytest.mark.parametrize("body", [None, b"pay"])
def test_open_requests_are_answered_before_the_process_ends(sent: bool, body: bytes | None) -> None:
    """Their deadlines exceed the drain time; they are at a silent host, or wait for one."""

    async def hang(message: bytes, writer: Writer) -> None:
        await asyncio.Event().wait()

    async def story() -> None:
        loop = asyncio.get_running_loop()
        async with Server(hang) as host:
            hosts = [("a", host.addr)] if sent else []
            async with running_gateway(*hosts, settings=LONG_DEADLINES) as gateway:
                client = await gateway.client()
                client.send(request("r1", body, wait_ms=10_000))
                await eventually(
                    lambda: len(gateway.core.open_requests) == 1 and len(host.seen) == sent
                )
                started = loop.time()
                ending = asyncio.create_task(drain(gateway.core, lambda: None))
                status, _ = await client.answer()
                assert status == (503 if not sent else 504 if body else status)
                assert loop.time() - started < 3.7  # SIGKILL comes no sooner (PROTOCOL)
                await ending
                assert loop.time() - started < 3.7
                assert not gateway.core.open_requests

    play(story())


@pytest.mark.parametrize("body", [None, b"pay"])
def test_new_settings_during_a_drain_do_not_postpone_its_end(body: bytes | None) -> None:
    """They allow longer deadlines; requests under them are answered before SIGKILL, too."""

    async def hang(message: bytes, writer: Writer) -> None:
        await asyncio.Event().wait()

    async def story() -> None:
        loop = asyncio.get_running_loop()
        async with Server(hang) as host, running_gateway(("a", host.addr)) as gateway:
            client = await gateway.client()
            await eventually(lambda: len(gateway.core.clients) == 1)
            started, end = loop.time(), gateway.core.last_response_after()
            ending = asyncio.create_task(drain(gateway.core, lambda: None))
            await asyncio.sleep(0.1)
            value = config_value("127.0.0.1:9", ("a", host.addr), settings=LONG_DEADLINES)
            gateway.platform.reconfigure(parse_config(value, {}))
            assert gateway.core.last_response_after() >= end
            client.send(request("r1", body, wait_ms=10_000))
            assert (await client.answer())[0] in (503, 504)
            await ending
            assert loop.time() - started <= end / 1e6 + 0.1

    play(story())


@pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
@pytest.mark.parametrize("stalls", [(0.15,), (0.11, 0.1)])
@pytest.mark.parametrize("body", [None, b"pay", b"long" * 100_000])
def test_requests_that_are_due_in_a_stall_at_the_end_of_a_drain_are_answered(
    body: bytes | None,
    stalls: tuple[float, ...],
    new_loop: Callable[[], asyncio.AbstractEventLoop],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a process that ends before it looks at timers that a stall has delayed."""
    monkeypatch.setattr(drain_times, "MAX_RESPONSE_WAIT", 300_000)

    async def hang(message: bytes, writer: Writer) -> None:
        await asyncio.Event().wait()

    async def story() -> None:
        async with Server(hang) as host, running_gateway(("a", host.addr)) as gateway:
            core = gateway.core
            client = await gateway.client()
            ending = asyncio.create_task(drain(core, lambda: None))
            client.send(request("r1", body, wait_ms=3000))
            await client.writer.drain()
            await asyncio.sleep(0.1)
            for stall in stalls:  # the first begins just before the request is due
                await asyncio.sleep((core.drain_until - 10_000 - core.clock()) / 1e6)
                time.sleep(stall)
            await ending
            core.stop()
            assert (await client.answer())[0] in (503, 504)

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(story())


class EndlessQueue:
    """A listening socket whose clients come back as fast as they are rejected."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.accepted = 0

    def accept(self) -> tuple[socket.socket, tuple[str, int]]:
        self.accepted += 1
        mine, theirs = socket.socketpair()
        theirs.close()
        return mine, ("127.0.0.1", self.accepted)

    def fileno(self) -> int:
        return self.sock.fileno()

    def close(self) -> None:
        self.sock.close()


# Guards against: a stall of the event loop at the end of a process, for as long as a crowd comes
# back, in which open requests get no answer (found with report 365795).
def test_closing_listener_does_not_stall_the_loop_while_clients_come_back() -> None:
    async def run() -> None:
        async with running_gateway(limits={"sockets": 64}) as gateway:
            queue = EndlessQueue(gateway.listener.sock)
            gateway.listener.sock = cast(socket.socket, queue)
            began = time.monotonic()
            gateway.listener.close()
            most = queue.accepted
            while queue.fileno() >= 0:
                before = queue.accepted
                await asyncio.sleep(0)
                most = max(most, queue.accepted - before)
            assert most <= ACCEPT_BATCH
            assert time.monotonic() - began < 2 * CLOSE_TIMEOUT / 1e6
            assert not gateway.core.draining_listeners

    asyncio.run(run())


# Guards against: a process in a stall that takes SIGTERM late, and is killed at the end of a drain
# that it has timed from then (report 365795; soak 8613).
def test_drain_is_timed_from_when_the_signal_may_have_come(tmp_path: Path) -> None:
    stall, kill_after = 0.4, 3.7  # s; the longest deadline counts 3 s, SIGKILL comes 0.7 s later

    async def run() -> float:
        async with contextlib.AsyncExitStack() as stack:
            host = await stack.enter_async_context(Server())
            registry = await stack.enter_async_context(DiscoveryServer(("a", host.addr)))
            value = config_value(registry.addr, ("a", host.addr))
            program, addr = await stack.enter_async_context(process(tmp_path / "c.json", value))
            clients = [await dial(addr) for _ in range(3)]
            assert (await clients[0].ask(request("first")))[0] == 200
            program.send_signal(signal.SIGSTOP)
            began = time.monotonic()
            program.send_signal(signal.SIGTERM)
            await asyncio.sleep(stall)
            program.send_signal(signal.SIGCONT)
            ending = asyncio.create_task(program.wait())
            # Bodies that don't end, for which the process waits as long as it can.
            for number, client in enumerate(clients[1:]):
                client.send(request(f"slow-{number}", bytes(2_000_000))[:60_000])
            while not ending.done():
                assert time.monotonic() - began < 2 * kill_after
                await asyncio.wait([ending], timeout=0.05)
                for client in clients[1:]:
                    client.send(bytes(5_000))
            for client in clients:
                client.writer.close()
            assert ending.result() == 0
            return time.monotonic() - began

    assert asyncio.run(run()) < kill_after
