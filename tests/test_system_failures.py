"""System calls that fail for a moment do not fail requests, connections or hosts.

A gateway on loopback; the calls fail with scripted errors (see `failing_calls`).
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from typing import Any

import pytest

from sailhitch.core.process import drain
from sailhitch.front import Reason
from sailhitch.net import connector
from sailhitch.net.client_connection import HEAD
from tests.failing_calls import FailingCall, ModuleProxy
from tests.sockets import (
    Client,
    DiscoveryServer,
    RunningGateway,
    Server,
    open_socket,
    request,
    running_gateway,
    until,
)

QUEUED_CLIENTS = 20
RESOURCE_ERRORS = (errno.ENFILE, errno.ENOBUFS)
ROUTE_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH)


def fail_accept(
    gateway: RunningGateway, script: list[int], patch: pytest.MonkeyPatch
) -> FailingCall:
    """Have accepts of this gateway's listener fail by a script; others succeed."""
    accept = socket.socket.accept
    call = FailingCall(accept, script)

    def selected(sock: socket.socket) -> Any:
        return call(sock) if sock is gateway.listener.sock else accept(sock)

    patch.setattr(socket.socket, "accept", selected)
    return call


def fail_socket(script: list[int], patch: pytest.MonkeyPatch) -> FailingCall:
    """Have sockets for connections to hosts fail by a script."""
    call = FailingCall(socket.socket, script)
    patch.setattr(connector, "socket", ModuleProxy(socket, "socket", call))
    return call


def fail_connect(
    gateway: RunningGateway, host: Server, script: list[int], patch: pytest.MonkeyPatch
) -> FailingCall:
    """Have connects to this host fail by a script; others succeed."""
    connect = gateway.core.loop.sock_connect
    call = FailingCall(connect, script)

    async def selected(sock: socket.socket, address: Any) -> None:
        to_host = f"{address[0]}:{address[1]}" == host.addr
        await (call if to_host else connect)(sock, address)

    patch.setattr(gateway.core.loop, "sock_connect", selected)
    return call


def closed_for_room(gateway: RunningGateway) -> int:
    """Return how many client connections were closed to free descriptors."""
    return gateway.core.admission.counters.closed[Reason.ROOM]


def run_scenario(scenario: Callable[[RunningGateway, Server], Any], **changes: Any) -> None:
    async def run() -> None:
        async with Server() as host, running_gateway(("a", host.addr), **changes) as gateway:
            await scenario(gateway, host)

    asyncio.run(run())


def test_a_persistent_system_wide_shortage_does_not_lower_the_limit_of_this_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Found by the soak (seed 23): "accept failed: Too many open files in system" for over 250 ms.

    The process itself had few descriptors open, but its limit fell to 8 for ten seconds. 75 of 79
    connections were closed for room ("seats=3/85 ... room=75"), one of them as its request came.
    """

    async def scenario(gateway: RunningGateway, host: Server) -> None:
        before = gateway.core.admission.descriptors()
        fail_accept(gateway, [errno.ENFILE] * 10, monkeypatch)  # 50 ms each
        clients = [await gateway.client() for _ in range(QUEUED_CLIENTS)]
        for i, client in enumerate(clients):
            client.send(request(f"r{i}"))
        for client in clients:
            assert await client.answer() == (200, b"served")
        assert gateway.core.admission.descriptors() == before
        assert closed_for_room(gateway) == 0

    run_scenario(scenario)


async def queued_clients(gateway: RunningGateway) -> list[Client]:
    """Return clients that have sent a request and wait in the accept queue."""
    gateway.core.loop.remove_reader(gateway.listener.sock)
    clients = []
    for number in range(QUEUED_CLIENTS):
        sock = open_socket(gateway.addr)
        sock.sendall(request(f"queued{number}"))
        clients.append(Client(*await asyncio.open_connection(sock=sock)))
    return clients


async def status_of(client: Client) -> int | None:
    """Return the status of a client's response; None if its connection ends without one."""
    try:
        return (await client.answer())[0]
    except (OSError, asyncio.IncompleteReadError):
        return None


@pytest.mark.parametrize("failures", [1, 5])
@pytest.mark.parametrize(
    "number",
    [errno.ECONNABORTED, errno.EPROTO, errno.EMFILE, *RESOURCE_ERRORS],
    ids=errno.errorcode.get,
)
def test_clients_queued_at_shutdown_are_answered_although_accepts_fail(
    number: int, failures: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(gateway: RunningGateway, host: Server) -> None:
        clients = await queued_clients(gateway)
        call = fail_accept(gateway, [0] + [number] * failures, monkeypatch)
        ending = asyncio.create_task(drain(gateway.core, gateway.listener.close))
        found = [await status_of(client) for client in clients]
        # EMFILE is the process's own limit: clients beyond it get a 503.
        assert set(found) <= ({200, 503} if number == errno.EMFILE else {200})
        assert call.failures == failures
        await ending
        assert gateway.listener.sock.fileno() < 0

    run_scenario(scenario)


def test_a_listener_closes_although_accepts_keep_failing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(gateway: RunningGateway, host: Server) -> None:
        fail_accept(gateway, [errno.ENFILE] * 100_000, monkeypatch)
        gateway.listener.close()
        assert gateway.listener.sock.fileno() >= 0
        gateway.listener.close()  # a second call has no effect
        await until(lambda: gateway.listener.sock.fileno() < 0)
        assert not gateway.core.draining_listeners

    run_scenario(scenario)


@pytest.mark.parametrize("number", [errno.ECONNABORTED, *RESOURCE_ERRORS], ids=errno.errorcode.get)
def test_accepts_that_fail_for_a_moment_close_nobody(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(gateway: RunningGateway, host: Server) -> None:
        idle_clients = [await gateway.client() for _ in range(24)]
        for i, client in enumerate(idle_clients):
            assert (await client.ask(request(f"a{i}")))[0] == 200
        most = gateway.core.admission.descriptors()
        call = fail_accept(gateway, [number, number], monkeypatch)
        for i in range(3):
            assert (await (await gateway.client()).ask(request(f"b{i}")))[0] == 200
        assert call.failures == 2
        assert closed_for_room(gateway) == 0
        assert gateway.core.admission.descriptors() == most
        for i, client in enumerate(idle_clients):
            assert (await client.ask(request(f"c{i}")))[0] == 200

    run_scenario(scenario)


async def all_busy(gateway: RunningGateway, count: int, kind: str) -> list[tuple[int, bytes]]:
    """Have `count` clients send a request at once, before any host connection is open."""
    clients = [await gateway.client() for _ in range(count)]
    body = b"pay" if kind == "post" else None
    for i, client in enumerate(clients):
        client.send(request(f"{kind}{i}", body))
    return [await client.answer() for client in clients]


@pytest.mark.parametrize("kind", ["get", "post"])
@pytest.mark.parametrize("number", RESOURCE_ERRORS, ids=errno.errorcode.get)
def test_sockets_that_fail_for_a_moment_cost_no_request_and_no_connection(
    number: int, kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(gateway: RunningGateway, host: Server) -> None:
        most = gateway.core.admission.descriptors()
        call = fail_socket([number, 0, 0, number, 0, number, number, 0, number], monkeypatch)
        answers = await all_busy(gateway, 24, kind)
        assert {status for status, _ in answers} == {200}
        assert call.failures == 5
        assert closed_for_room(gateway) == 0
        assert gateway.core.admission.descriptors() == most
        assert gateway.hosts.connecting == 0
        assert gateway.pool.policy.endpoint_table.servers["a"].ejected_until == 0

    run_scenario(scenario)


@pytest.mark.parametrize("kind", ["get", "post"])
@pytest.mark.parametrize("number", [*ROUTE_ERRORS, errno.ENOBUFS], ids=errno.errorcode.get)
def test_connects_that_fail_on_this_machine_are_not_held_against_hosts(
    number: int, kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(gateway: RunningGateway, host: Server) -> None:
        call = fail_connect(gateway, host, [number, 0, number, number], monkeypatch)
        answers = await all_busy(gateway, 8, kind)
        assert {status for status, _ in answers} == {200}
        assert call.failures == 3
        assert gateway.pool.policy.endpoint_table.servers["a"].ejected_until == 0
        assert set(gateway.core.counters.statuses) == {"ok"}
        assert gateway.hosts.connecting == 0
        assert closed_for_room(gateway) == 0

    run_scenario(scenario)


@pytest.mark.parametrize("number", ROUTE_ERRORS, ids=errno.errorcode.get)
def test_a_host_without_a_route_for_long_counts_as_unreachable(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its requests are retried elsewhere at first; once it is ejected, it is not tried any more."""

    async def run() -> None:
        async with (
            Server() as host,
            Server() as other,
            running_gateway(("a", host.addr), ("b", other.addr)) as gateway,
        ):
            failing_connect = fail_connect(gateway, host, [number] * 100_000, monkeypatch)
            client = await gateway.client()
            server = gateway.pool.policy.endpoint_table.servers["a"]
            count = 0
            while not server.ejected_until:
                count += 1
                assert count < 1000
                assert (await client.ask(request(f"r{count}")))[0] == 200
            tried = failing_connect.calls
            for i in range(30):
                assert (await client.ask(request(f"s{i}")))[0] == 200
            assert failing_connect.calls == tried
            assert not host.seen

    asyncio.run(run())


def test_a_request_is_refused_if_no_socket_can_be_opened_for_long(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It is refused as soon as the failure counts as persistent, long before its deadline."""

    async def scenario(gateway: RunningGateway, host: Server) -> None:
        fail_socket([errno.ENFILE] * 100_000, monkeypatch)
        client = await gateway.client()
        before = gateway.core.clock()
        assert (await client.ask(request("r1", b"pay", wait_ms=3000)))[0] == 503
        assert gateway.core.clock() - before < 1_000_000
        assert not host.seen
        assert gateway.pool.policy.endpoint_table.servers["a"].ejected_until == 0

    run_scenario(scenario)


@pytest.mark.parametrize("number", [*RESOURCE_ERRORS, *ROUTE_ERRORS], ids=errno.errorcode.get)
def test_a_watch_whose_connect_fails_for_a_moment_recovers_and_closes_no_connection(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        async with (
            Server() as host,
            DiscoveryServer(("a", host.addr)) as registry,
            running_gateway(("a", host.addr), discovery=registry.addr) as gateway,
        ):
            idle_clients = [await gateway.client() for _ in range(24)]
            for i, client in enumerate(idle_clients):
                assert (await client.ask(request(f"a{i}")))[0] == 200
            most = gateway.core.admission.descriptors()
            call = FailingCall(gateway.core.loop.create_connection, [number, number])
            monkeypatch.setattr(gateway.core.loop, "create_connection", call)
            for writer in registry.writers:
                writer.transport.abort()  # the watch is reopened
            failed = gateway.core.counters.bad_lists
            await until(lambda: call.failures == 2 and gateway.core.counters.bad_lists > failed)
            seen = len(registry.seen)
            await until(lambda: len(registry.seen) > seen)
            # One call failed with its connection; the failed connects failed no further call.
            assert gateway.core.counters.bad_lists == failed + 1
            assert closed_for_room(gateway) == 0
            assert gateway.core.admission.descriptors() == most

    asyncio.run(run())


def test_a_closing_listener_that_still_empties_its_queue_delays_shutdown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The process must not end between two tries to accept waiting clients."""

    async def scenario(gateway: RunningGateway, host: Server) -> None:
        fail_accept(gateway, [errno.ENFILE] * 3, monkeypatch)
        gateway.listener.close()
        assert gateway.core.close_idle_clients()
        await until(lambda: not gateway.core.close_idle_clients())
        assert gateway.listener.sock.fileno() < 0

    run_scenario(scenario)


def remaining_time(message: bytes) -> int:
    """Return the deadline (ms) that a host was sent."""
    return int(message.lower().partition(b"req-deadline-ms: ")[2].split(b"\r")[0])


@pytest.mark.parametrize("number", [errno.ENFILE, errno.EMFILE], ids=errno.errorcode.get)
def test_a_request_that_waited_for_a_failing_accept_is_sent_with_its_remaining_time(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its deadline counts from when it was sent, although nobody has read it."""
    wait, slack, waited = 1000, 150, 400

    async def scenario(gateway: RunningGateway, host: Server) -> None:
        call = fail_accept(gateway, [number] * 100_000, monkeypatch)
        client = await gateway.client()
        sent = gateway.core.clock()
        client.send(request("r1", wait_ms=wait))
        await until(lambda: gateway.core.clock() - sent >= waited * 1000)
        call.script.clear()
        assert await status_of(client) == 200
        assert remaining_time(host.seen[0]) <= wait - waited + slack
        # Once the queue was empty, a new client's deadline counts from its own last byte.
        other = await gateway.client()
        assert (await other.ask(request("r2", wait_ms=wait)))[0] == 200
        assert remaining_time(host.seen[1]) > wait - slack

    run_scenario(scenario)


def test_a_client_that_joins_a_queue_late_has_its_own_remaining_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against counting all of a backlog as arrived when it began."""
    wait, waited = 500, 800

    async def scenario(gateway: RunningGateway, host: Server) -> None:
        call = fail_accept(gateway, [errno.ENFILE] * 100_000, monkeypatch)
        since = gateway.core.clock()
        first = await gateway.client()
        first.send(request("first", wait_ms=wait))
        await until(lambda: gateway.core.clock() - since >= waited * 1000)
        last = await gateway.client()
        last.send(request("last", wait_ms=wait))
        await until(lambda: gateway.core.clock() - since >= (waited + 100) * 1000)
        call.script.clear()
        assert await status_of(last) == 200
        assert remaining_time(host.seen[0]) <= wait - 100 + 20
        assert await status_of(first) == 503
        assert len(host.seen) == 1

    run_scenario(scenario)


def test_a_request_completed_after_a_failing_accept_has_all_of_its_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Part of its head had waited; its deadline counts from its last byte."""
    wait = 1000

    async def scenario(gateway: RunningGateway, host: Server) -> None:
        call = fail_accept(gateway, [errno.ENFILE] * 100_000, monkeypatch)
        client = await gateway.client()
        since = gateway.core.clock()
        whole = request("r1", wait_ms=wait)
        client.send(whole[:30])
        await until(lambda: gateway.core.clock() - since >= 400_000)
        call.script.clear()
        await until(lambda: any(one.phase == HEAD for one in gateway.clients()))
        client.send(whole[30:])
        assert await status_of(client) == 200
        assert remaining_time(host.seen[0]) > wait - 150

    run_scenario(scenario)
