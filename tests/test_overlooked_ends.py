"""Brief shortages at startup, a log pipe that nobody reads, and a response cut for a descriptor."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import signal
import socket
import sys
import threading
from pathlib import Path

import pytest

from sailhitch.core.log import Log
from sailhitch.front import Reason, State
from sailhitch.front.eviction import REJECTED_LINGER
from sailhitch.handover import link
from sailhitch.handover.files import HandoverFiles
from sailhitch.handover.takeover import Takeover
from sailhitch.lab.ports import free_port
from sailhitch.net import listener
from tests.failing_calls import FailingCall
from tests.generations import supervisor_with_hosts, wait_for_log
from tests.sockets import (
    TEST_TIMEOUT,
    DiscoveryServer,
    Server,
    Writer,
    config_value,
    request,
    running_gateway,
    until,
)

# Runs the real program; creating its first sockets fails for lack of descriptors or buffers.
SHORT_START = """
import errno, socket, sys
from tests.failing_calls import FailingCall, ModuleProxy
import sailhitch.net.listener as listener
call = FailingCall(socket.socket, [errno.ENFILE, errno.ENOBUFS, errno.ENFILE])
listener.socket = ModuleProxy(socket, "socket", call)
from sailhitch.__main__ import main
sys.exit(main([]))
"""


def test_a_start_waits_for_a_system_that_has_no_socket_for_a_moment(tmp_path: Path) -> None:
    async def play() -> None:
        async with Server() as host, DiscoveryServer(("a", host.addr)) as registry:
            path = tmp_path / "config.json"
            path.write_text(json.dumps(config_value(registry.addr, ("a", host.addr))))
            env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
            env |= {"EDGE_CONFIG": str(path), "EDGE_LISTEN": f"127.0.0.1:{free_port()}"}
            program = await asyncio.create_subprocess_exec(
                sys.executable, "-B", "-c", SHORT_START, env=env, stderr=asyncio.subprocess.PIPE
            )
            assert program.stderr is not None
            output = b""
            async with asyncio.timeout(TEST_TIMEOUT):
                while line := await program.stderr.readline():
                    output += line
                    if line.rstrip().endswith(b" ready"):
                        program.send_signal(signal.SIGTERM)
                assert await program.wait() == 0, output.decode()

    asyncio.run(play())


def test_a_log_that_nobody_reads_holds_nobody_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """The pipe is full, as after a log collector has stopped reading."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    filled = 0
    try:
        while True:
            filled += os.write(writer, b"x" * 4096)
    except BlockingIOError:
        os.set_blocking(writer, True)
    with os.fdopen(writer, "w") as stream:
        monkeypatch.setattr(sys, "stderr", stream)
        log = Log("n0")
        writing = threading.Thread(target=log.write, args=("a line",), daemon=True)
        writing.start()
        writing.join(2.0)
        blocked = writing.is_alive()
        while filled > 0:
            filled -= len(os.read(reader, min(filled, 65536)))
        writing.join(TEST_TIMEOUT)
        log.write("another line")
        stream.flush()
        log_text = os.read(reader, 65536).decode()
    os.close(reader)
    assert not blocked
    assert "another line" in log_text
    assert "a line\n" not in log_text.replace("another line", "")
    assert "1 lines were lost" in log_text


def test_an_answer_that_its_client_still_reads_is_not_cut_for_a_descriptor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The last response of its connection, which the host has sent completely."""
    monkeypatch.setattr(listener, "SEND_BUFFER", 4096)
    size = 512 * 1024

    async def long(message: bytes, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        writer.write(b"x" * size)

    async def play() -> None:
        loop = asyncio.get_running_loop()
        async with Server(long) as host, running_gateway(("a", host.addr)) as it:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            host_name, _, port = it.addr.rpartition(":")
            sock.connect((host_name, int(port)))
            sock.setblocking(False)
            await loop.sock_sendall(sock, request("r1", fields=b"Connection: close\r\n"))
            await until(lambda: bool(it.clients()))
            (client,) = it.clients()
            got = 0
            async with asyncio.timeout(TEST_TIMEOUT):
                while client.slot.state != State.CLOSING:
                    got += len(await loop.sock_recv(sock, 1024))
            transport = client.transport
            assert transport is not None
            assert transport.get_write_buffer_size() > 0
            since = it.core.clock()
            await until(lambda: it.core.clock() - since > 2 * REJECTED_LINGER)
            it.core.on_descriptors_exhausted()
            async with asyncio.timeout(TEST_TIMEOUT):
                try:
                    while data := await loop.sock_recv(sock, 65536):
                        got += len(data)
                except ConnectionResetError:
                    got = 0
            assert got > size
            assert it.core.admission.counters.closed[Reason.ROOM] == 0
            sock.close()

    asyncio.run(play())


@pytest.mark.parametrize("number", [errno.ENFILE, errno.EAGAIN], ids=errno.errorcode.get)
def test_a_predecessor_is_found_despite_a_brief_shortage_of_resources(
    number: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """No socket can be created, or the predecessor's backlog is full."""

    async def play() -> None:
        async with supervisor_with_hosts(tmp_path, a=Server()) as it:
            first = await it.ready()
            assert await first.enter_maintenance("a") == 200
            await wait_for_log(first, "out for maintenance")
            value = json.loads(it.path.read_text())
            async with running_gateway(discovery=value["discovery"]) as other:
                failing = FailingCall(link._socket, [number, number])
                monkeypatch.setattr(link, "_socket", failing)
                files = HandoverFiles(str(tmp_path), "n0")
                second = Takeover(other.platform, other.listener, files)
                await second.inherit()
                assert failing.failures == 2
                assert second.inherited
                assert other.pool.maintenance.is_out("a")
                second.close()

    asyncio.run(play())
