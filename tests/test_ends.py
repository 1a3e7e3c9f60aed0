"""The first and the last moments of a process: signals at the wrong instant, and what is owed."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from sailhitch.core.process import drain
from sailhitch.lab.ports import free_port
from sailhitch.net.config import parse_config
from tests.sockets import PATIENCE, Registry, Server, Writer, config_value, gate, request
from tests.virtual import eventually, play

# The real program, with a signal to itself before it has a loop.
EARLY = """
import os, signal, sys
import sailhitch.__main__ as program
load = program.load_config
def first(env):
    config = load(env)
    os.kill(os.getpid(), signal.SIGNAL)  # it has read its file, and has no loop yet
    return config
program.load_config = first
sys.exit(program.main([]))
"""


async def _run(text: str, name: str, path: Path, stop_at: bytes | None) -> tuple[int | None, bytes]:
    async with Server() as host, Registry(("a", host.addr)) as registry:
        addr = f"127.0.0.1:{free_port()}"
        path.write_text(json.dumps(config_value(registry.addr, ("a", host.addr))))
        env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        env |= {"EDGE_CONFIG": str(path), "EDGE_NAME": "n0", "EDGE_LISTEN": addr}
        program = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            "-c",
            text.replace("SIGNAL", name),
            env=env,
            stderr=asyncio.subprocess.PIPE,
        )
        assert program.stderr is not None
        said = b""
        try:
            async with asyncio.timeout(PATIENCE):
                while line := await program.stderr.readline():
                    said += line
                    if stop_at is not None and stop_at in line:
                        program.send_signal(signal.SIGTERM)
                await program.wait()
        finally:
            if program.returncode is None:
                program.kill()
        return program.returncode, said


def _storm(path: Path, number: signal.Signals) -> int | None:
    """The real program's end, with signals on it from its last line up to its last moment."""
    host = free_port()
    path.write_text(json.dumps(config_value(f"127.0.0.1:{host}")))
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
        until = time.monotonic() + PATIENCE
        while program.poll() is None and time.monotonic() < until:
            program.send_signal(number)
        program.kill()
        return program.returncode


@pytest.mark.parametrize("name", ["SIGHUP", "SIGTERM"])
def test_a_signal_to_a_process_that_is_over_does_not_kill_it(name: str, tmp_path: Path) -> None:
    """Not even when the interpreter has given its handlers back."""
    assert _storm(tmp_path / "config.json", signal.Signals[name]) == 0


@pytest.mark.parametrize("name", ["SIGTERM", "SIGINT"])
def test_an_end_that_is_asked_for_before_the_loop_runs_is_a_drain(
    name: str, tmp_path: Path
) -> None:
    code, said = asyncio.run(_run(EARLY, name, tmp_path / "config.json", None))
    assert code == 0, said
    assert b"drained" in said


def test_a_new_file_that_is_told_before_the_loop_runs_is_read(tmp_path: Path) -> None:
    code, said = asyncio.run(_run(EARLY, "SIGHUP", tmp_path / "config.json", b"SIGHUP: new"))
    assert code == 0, said


LONG = {
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
def test_what_was_taken_before_the_end_is_answered_before_it(
    sent: bool, body: bytes | None
) -> None:
    """With more time than the process has: at a host that hangs, or held for want of one."""

    async def hang(message: bytes, writer: Writer) -> None:
        await asyncio.Event().wait()

    async def story() -> None:
        loop = asyncio.get_running_loop()
        async with Server(hang) as host:
            hosts = [("a", host.addr)] if sent else []
            async with gate(*hosts, settings=LONG) as it:
                client = await it.client()
                client.send(request("r1", body, wait_ms=10_000))
                await eventually(lambda: len(it.core.open_requests) == 1 and len(host.seen) == sent)
                begun = loop.time()
                ending = asyncio.create_task(drain(it.core, lambda: None))
                status, _ = await client.answer()
                assert status == (503 if not sent else 504 if body else status)
                assert loop.time() - begun < 3.7  # SIGKILL comes no sooner (PROTOCOL)
                await ending
                assert loop.time() - begun < 3.7
                assert not it.core.open_requests

    play(story())


@pytest.mark.parametrize("body", [None, b"pay"])
def test_settings_that_come_while_it_drains_do_not_move_its_end(body: bytes | None) -> None:
    """They allow more time, and requests that come by them are answered before SIGKILL too."""

    async def hang(message: bytes, writer: Writer) -> None:
        await asyncio.Event().wait()

    async def story() -> None:
        loop = asyncio.get_running_loop()
        async with Server(hang) as host, gate(("a", host.addr)) as it:
            client = await it.client()
            await eventually(lambda: len(it.core.clients) == 1)
            begun, end = loop.time(), it.core.last_response_after()
            ending = asyncio.create_task(drain(it.core, lambda: None))
            await asyncio.sleep(0.1)
            value = config_value("127.0.0.1:9", ("a", host.addr), settings=LONG)
            it.platform.reconfigure(parse_config(value, {}))
            assert it.core.last_response_after() >= end
            client.send(request("r1", body, wait_ms=10_000))
            assert (await client.answer())[0] in (503, 504)
            await ending
            assert loop.time() - begun <= end / 1e6 + 0.1

    play(story())
