"""The operators' endpoint: parsing of requests, and that silent clients can't block it."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sailhitch.control.requests import MAX_REQUEST_BYTES, OperatorRequest
from sailhitch.control.server import MAX_CONNECTIONS, OperatorServer
from sailhitch.core.log import Log
from sailhitch.lab.ports import free_port
from tests.generations import call_operator
from tests.sockets import dial


class FakeActions:
    """Knows one host, and records the calls."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, str]] = []
        self.serves = True

    def serving(self) -> bool:
        return self.serves

    def enter(self, target: str) -> bool:
        self.calls.append(("enter", target))
        return target == "s/1 a"

    def leave(self, target: str) -> bool:
        self.calls.append(("leave", target))
        return target == "s/1 a"


@pytest.mark.parametrize(
    ("line", "status"),
    [
        ("GET /status", 200),
        ("HEAD /status", 200),
        ("POST /status", 405),
        ("POST /maintenance/enter?target=s%2F1+a", 200),
        ("POST /maintenance/exit?target=s%2F1%20a&by=us", 200),
        ("POST /maintenance/enter?target=unknown", 404),
        ("POST /maintenance/exit?target=unknown", 404),
        ("GET /maintenance/enter?target=s%2F1+a", 405),
        ("POST /maintenance/enter", 400),
        ("POST /maintenance/enter?target=", 400),
        ("POST /maintenance/enter?target=a&target=b", 400),
        ("POST /maintenance/enter?target=%ff", 400),
        ("POST /maintenance", 404),
        ("POST //[", 400),
        ("POST /" + "a" * MAX_REQUEST_BYTES, 413),
        ("nonsense", 400),
    ],
)
def test_each_request_has_its_status_however_it_is_split(line: str, status: int) -> None:
    data = f"{line} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n".encode()
    for step in (1, 7, len(data)):
        reader, reply = OperatorRequest(FakeActions()), None
        for at in range(0, len(data), step):
            reply = reply or reader.feed(data[at : at + step])
        assert reply is not None
        assert reply.status == status


@settings(max_examples=200)
@given(st.binary(max_size=300), st.integers(0, 3))
def test_arbitrary_bytes_are_parsed_or_rejected(noise: bytes, lines: int) -> None:
    start = b"POST /maintenance/enter?target=x HTTP/1.1\r\nContent-Length: 3\r\n"
    reply = OperatorRequest(FakeActions()).feed(start[: len(start) * lines // 3] + noise)
    assert reply is None or 200 <= reply.status < 600


def test_silent_clients_do_not_block_others() -> None:
    async def run() -> None:
        actions = FakeActions()
        server = OperatorServer(actions, Log("n0"))
        port = free_port()
        await server.listen(("127.0.0.1", port))
        addr = f"127.0.0.1:{port}"
        silent = [await dial(addr) for _ in range(4 * MAX_CONNECTIONS)]
        for one in silent[::2]:
            one.send(b"POST /maintenance/ent")
        for _ in range(30):
            assert await call_operator(addr, "/maintenance/enter?target=s%2F1%20a") == 200
        assert await call_operator(addr, "/status", "GET") == 200
        actions.serves = False
        assert await call_operator(addr, "/status", "GET") == 503
        assert len(server.pending) <= MAX_CONNECTIONS
        assert b" 408 " in await silent[0].read_to_end()
        server.close()

    asyncio.run(run())
