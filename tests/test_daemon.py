"""Plain HTTP clients through the daemon: routes, classes, effects, and any kind of node."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import Any

import pytest

from sailhitch.lab.node import Fault, Node
from sailhitch.lab.ports import free_port
from tests.daemons import InProcessDaemon, file_value, in_process_daemon, pool
from tests.sockets import Server, Writer, answer

Scenario = Callable[[InProcessDaemon], Awaitable[None]]


def get(path: str = "/x", fields: str = "", method: str = "GET") -> bytes:
    return f"{method} {path} HTTP/1.1\r\nHost: h\r\n{fields}\r\n".encode()


def post(
    path: str = "/payouts", fields: str = "", body: bytes = b"b", method: str = "POST"
) -> bytes:
    size = f"Content-Length: {len(body)}\r\n"
    return f"{method} {path} HTTP/1.1\r\nHost: h\r\n{size}{fields}\r\n".encode() + body


def play(
    tmp_path: Path,
    act: Scenario,
    handler: Any = None,
    host: Server | None = None,
    gateway: Mapping[str, Any] = {},
    **changes: Any,
) -> Server:
    """Run `act` against a daemon with one host; return the host, with the requests it received."""
    server = host or Server(handler)

    async def run() -> None:
        async with server:
            value = file_value([pool("p", {"a": server.addr})], free_port(), gateway, **changes)
            async with in_process_daemon(tmp_path, value) as it:
                await act(it)

    asyncio.run(run())
    return server


def test_plain_requests_get_an_id_a_class_and_a_deadline(tmp_path: Path) -> None:
    async def act(it: InProcessDaemon) -> None:
        client = await it.client()
        assert await client.ask(get()) == (200, b"served")
        assert await client.ask(post()) == (200, b"served")
        assert await client.ask(post("/claims", "Idempotency-Key: k1\r\n")) == (200, b"served")

    first, second, third = play(tmp_path, act).seen
    assert first.startswith(b"GET /x HTTP/1.1\r\n")
    assert b"\r\nReq-Kind: page\r\n" in first
    assert 500 < _deadline(first) <= 3000
    assert first.count(b"Req-Id: ") == 1
    assert b"\r\nReq-Kind: payout\r\n" in second
    assert second.endswith(b"\r\n\r\nb")
    assert b"\r\nReq-Kind: filing\r\n" in third
    assert b"\r\nIdempotency-Key: k1\r\n" in third
    names = {
        line for seen in (first, second, third) for line in seen.split(b"\r\n") if b"Req-Id" in line
    }
    assert len(names) == 3


def test_a_client_may_set_its_id_and_deadline_but_not_its_class(tmp_path: Path) -> None:
    async def act(it: InProcessDaemon) -> None:
        client = await it.client()
        fields = "Req-Id: mine\r\nReq-Kind: page\r\nReq-Deadline-Ms: 500\r\n"
        assert (await client.ask(post(fields=fields)))[0] == 200
        assert (await client.ask(post(fields="Req-Deadline-Ms: 99999\r\n")))[0] == 200

    first, second = play(tmp_path, act).seen
    assert b"\r\nReq-Id: mine\r\n" in first
    assert b"\r\nReq-Kind: payout\r\n" in first
    assert b"Req-Kind: page" not in first
    assert 0 < _deadline(first) <= 500
    assert 500 < _deadline(second) <= 3000


def _deadline(seen: bytes) -> int:
    return int(seen.partition(b"Req-Deadline-Ms: ")[2].partition(b"\r")[0])


@pytest.mark.parametrize(
    ("data", "attempts"),
    [
        (get(), 3),
        (get(method="HEAD"), 3),
        (post("/x", method="DELETE"), 1),
        (post("/x"), 1),
        (post("/x", "Idempotency-Key: k\r\n"), 3),
        (get("/payouts"), 1),
        (post("/payouts", "Idempotency-Key: k\r\n"), 1),
        (post("/payouts", "Req-Kind: page\r\n"), 1),
        (post("/claims", "Idempotency-Key: k\r\n"), 3),
        (post("/claims"), 1),
    ],
)
def test_a_request_that_may_have_run_is_retried_only_if_the_file_allows_it(
    data: bytes, attempts: int, tmp_path: Path
) -> None:
    async def reset(_: bytes, writer: Writer) -> None:
        writer.transport.abort()

    async def act(it: InProcessDaemon) -> None:
        client = await it.client()
        client.send(data)
        head = await client.reader.readuntil(b"\r\n\r\n")
        status = int(head.split(b" ")[1])
        assert status in ((502, 503) if attempts > 1 else (502,))

    changes: dict[str, Any] = {
        "classes": [
            {"name": "page", "aim": "1s", "deadline": "3s", "dedup": "pool"},
            {"name": "payout", "effect": "unsafe", "aim": "2s", "deadline": "3s"},
            {"name": "filing", "effect": "keyed", "aim": "2s", "deadline": "3s", "dedup": "pool"},
        ]
    }
    assert len(play(tmp_path, act, reset, **changes).seen) == attempts


def test_head_gets_the_same_head_as_get(tmp_path: Path) -> None:
    async def act(it: InProcessDaemon) -> None:
        client = await it.client()
        client.send(get(method="HEAD") + get())
        head = await client.reader.readuntil(b"\r\n\r\n")
        assert b"\r\nContent-Length: 6\r\n" in head
        assert await client.answer() == (200, b"served")

    assert [seen.split(b" ")[0] for seen in play(tmp_path, act).seen] == [b"GET", b"GET"]


@pytest.mark.parametrize(
    ("status", "expected"), [(201, 201), (301, 301), (404, 404), (422, 422), (500, 500), (503, 502)]
)
def test_a_nodes_response_is_passed_to_the_client_except_for_a_503(
    status: int, expected: int, tmp_path: Path
) -> None:
    async def reply(_: bytes, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 %d Some\r\nContent-Length: 3\r\n\r\nwhy" % status)

    async def act(it: InProcessDaemon) -> None:
        client = await it.client()
        got = await client.ask(post())
        assert got == (expected, b"why" if expected == status else b"")
        assert (await client.ask(post()))[0] == expected

    assert len(play(tmp_path, act, reply).seen) == 2


def test_a_request_without_a_route_gets_a_404_and_keeps_the_connection(tmp_path: Path) -> None:
    async def act(it: InProcessDaemon) -> None:
        client = await it.client()
        assert await client.ask(post("/other")) == (404, b"no route matches\n")
        assert (await client.ask(get("/a")))[0] == 200
        assert (await client.ask(get("/health/ready")))[0] == 200

    routes = [{"name": "a", "match": {"path_prefix": "/a"}, "class": "page", "pools": {"p": 1.0}}]
    play(tmp_path, act, routes=routes)


@pytest.mark.parametrize(
    "data",
    [
        get("/a/../b"),
        get("/a%2fb"),
        get("/a", "Content-Length: 1\r\n") + b"b",
        post(fields="Idempotency-Key: \r\n"),
        post(fields=f"Idempotency-Key: {'k' * 300}\r\n"),
        get("/a", "Req-Id: a b\r\n"),
        get("/a", "Req-Deadline-Ms: soon\r\n"),
        get("/a", "Req-Owner: a\r\nReq-Owner: b\r\n"),
    ],
)
def test_a_malformed_request_reaches_no_node(data: bytes, tmp_path: Path) -> None:
    async def act(it: InProcessDaemon) -> None:
        client = await it.client()
        assert (await client.ask(data))[0] == 400

    assert play(tmp_path, act).seen == []


def test_a_request_that_a_node_declined_is_retried(tmp_path: Path) -> None:
    async def run() -> None:
        faults = iter([Fault.REFUSE])
        async with Node(reports=True, script=lambda name: next(faults, None)) as node:
            value = file_value([pool("p", {"a": node})], free_port())
            async with in_process_daemon(tmp_path, value) as it:
                client = await it.client()
                # A declined request did not run, so even an unsafe one is retried.
                assert (await client.ask(post()))[0] == 200
                assert node.seen == 2
                assert sum(node.effects.values()) == 1

    asyncio.run(run())


def test_responses_without_a_body_are_passed_on(tmp_path: Path) -> None:
    async def reply(_: bytes, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")

    async def act(it: InProcessDaemon) -> None:
        client = await it.client()
        assert await client.ask(post()) == (204, b"")
        assert await client.ask(post()) == (204, b"")

    play(tmp_path, act, reply)


def test_a_key_keeps_its_pool_when_the_split_changes(tmp_path: Path) -> None:
    async def run() -> None:
        async with Node() as old, Node() as new:
            pools = [pool("claims", {"a": old}), pool("next", {"b": new})]

            def value(new_share: float) -> dict[str, Any]:
                split = {"claims": 1.0 - new_share, "next": new_share}
                routes = [{"name": "all", "class": "filing", "pools": split}]
                return file_value(pools, port, routes=routes)

            port = free_port()
            async with in_process_daemon(tmp_path, value(0.05)) as it:
                client = await it.client()

                async def ask(key: int) -> None:
                    assert (await client.ask(post("/c", f"Idempotency-Key: k{key}\r\n")))[0] == 200

                for key in range(100):
                    await ask(key)
                first_seen = new.seen
                assert 0 < first_seen < 20
                await it.plan_and_apply(value(0.5))
                for key in range(100):
                    await ask(key)
                assert new.seen == 2 * first_seen  # a retry goes to the pool of the first attempt
                for key in range(100, 200):
                    await ask(key)
                assert 30 < new.seen - 2 * first_seen < 70

    asyncio.run(run())


def test_a_large_response_body_is_passed_on_complete(tmp_path: Path) -> None:
    async def reply(_: bytes, writer: Writer) -> None:
        writer.write(answer(b"x" * 300_000))

    async def act(it: InProcessDaemon) -> None:
        client = await it.client()
        assert await client.ask(get()) == (200, b"x" * 300_000)

    play(tmp_path, act, reply)
