"""A daemon with a pending change: requests rejected when they are read or written to a node."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import pytest
import uvloop

from sailhitch.core.request_context import Attempt
from sailhitch.daemon.rules import intersect_states
from sailhitch.daemon.state import State, from_file
from sailhitch.daemon.state_applier import StateChange
from sailhitch.daemon.tier_link import LinkError, TierLink
from sailhitch.lab.message import build
from sailhitch.lab.node import Node
from sailhitch.lab.ports import free_port
from sailhitch.settings import Idempotency
from sailhitch.tier.member import TierConfig
from sailhitch.tier.wire import Keys
from tests.daemons import ROUTES, InProcessDaemon, checked_file, file_value, in_process_daemon, pool
from tests.sockets import TEST_TIMEOUT, Client, read_message, until

Routes = list[dict[str, Any]]


@contextlib.asynccontextmanager
async def pending(
    tmp_path: Path, routes: Routes
) -> AsyncIterator[tuple[InProcessDaemon, Node, Node]]:
    """Yield a daemon whose rules are combined with pending ones that have other routes.

    Also yields a node of each pool.
    """
    async with Node() as a, Node(compares=True) as b:
        value = file_value([pool("p", {"a": a}), pool("q", {"b": b})], free_port())
        async with in_process_daemon(tmp_path, value) as it:
            also = from_file(checked_file({**value, "routes": routes}))
            await apply(
                it,
                intersect_states(it.live.applied.state, also),
                also,
                b"Tier-Version: 1, 2\r\n",
                1,
            )
            yield it, a, b


async def apply(
    it: InProcessDaemon, state: State, also: State | None, stamp: bytes, rules: int
) -> None:
    serial = it.live.applied.serial
    await it.live.change(StateChange(state, "t", serial, None, False, stamp, also, rules))


def routed(**pools: dict[str, float]) -> Routes:
    """Return the file's routes, with other pools for some."""
    return [{**route, "pools": pools.get(route["name"], {"p": 1.0})} for route in ROUTES]


async def ask(client: Client, method: str, path: str, key: str = "", name: str = "r") -> bytes:
    fields = [("Req-Id", name)] + ([("Idempotency-Key", key)] if key else [])
    client.send(build(method, path, fields, b"x" if method == "POST" else b""))
    async with asyncio.timeout(TEST_TIMEOUT):
        return bytes(await read_message(client.reader))


def test_requests_that_both_rules_route_alike_are_served_and_others_are_told_to_retry(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        routes = routed(payouts={"q": 1.0}, rest={"q": 1.0}, filings={"p": 1.0, "q": 1.0})
        async with pending(tmp_path, routes) as (it, a, b):
            client = await it.client()
            refused = await ask(client, "POST", "/payouts/1")
            assert refused.startswith(b"HTTP/1.1 503")
            assert b"Retry-After: 1" in refused
            assert b"under way" in refused
            assert a.seen == b.seen == 0
            # Safe under both: the active rules route it.
            assert (await ask(client, "GET", "/x")).startswith(b"HTTP/1.1 200")
            assert a.seen == 1
            # Keyed: served if both rules send this key to the same pool.
            ends = [await ask(client, "POST", "/claims", f"k{i}", f"f{i}") for i in range(40)]
            went = [end.startswith(b"HTTP/1.1 200") for end in ends]
            assert 5 < sum(went) < 35
            assert a.seen == 1 + sum(went)
            assert b.seen == 0
            assert it.live.intake.held_back == 1 + 40 - sum(went)
            assert {effect.version for effect in a.log} == {b"1, 2"}
            # Once the change is active, all requests are routed by it.
            await apply(it, it.live.applied.state, None, b"Tier-Version: 2\r\n", 2)
            assert (await ask(client, "POST", "/payouts/1", name="p2")).startswith(b"HTTP/1.1 200")

    asyncio.run(work())


def test_a_request_whose_class_the_pending_rules_change_is_rejected(tmp_path: Path) -> None:
    """The GET is safe under the active rules, and of an unsafe class under the pending ones."""

    async def work() -> None:
        routes = [{**route, "pools": {"p": 1.0}} for route in ROUTES]
        routes[2] = {**routes[2], "class": "payout"}
        async with pending(tmp_path, routes) as (it, a, _):
            client = await it.client()
            assert (await ask(client, "GET", "/x")).startswith(b"HTTP/1.1 503")
            assert a.seen == 0

    asyncio.run(work())


def test_an_attempt_that_the_rules_forbid_at_the_write_is_not_written(tmp_path: Path) -> None:
    """An attempt that waits for a connection when the rules change must not be executed."""

    async def work() -> None:
        async with pending(tmp_path, routed()) as (it, a, _):
            asked: list[str] = []

            def may_write(attempt: Attempt) -> bool:
                assert attempt.request.request_class is not None
                asked.append(attempt.request.request_class.idempotency)
                return (
                    attempt.request.request_class.idempotency == Idempotency.SAFE
                    and attempt.request.rules_revision == 1
                )

            it.live.pools["p"].may_write = may_write
            client = await it.client()
            answer = await ask(client, "POST", "/payouts/1")
            assert answer.startswith((b"HTTP/1.1 503", b"HTTP/1.1 502", b"HTTP/1.1 504"))
            assert a.seen == 0
            assert Idempotency.UNSAFE in asked
            assert (await ask(client, "GET", "/x", name="g")).startswith(b"HTTP/1.1 200")
            assert a.seen == 1

    asyncio.run(work())


def test_a_node_that_compares_versions_rejects_requests_of_older_rules(tmp_path: Path) -> None:
    async def work() -> None:
        async with pending(tmp_path, routed()) as (it, _, b):
            value = file_value([pool("q", {"b": b})], it.port)
            state = {**from_file(checked_file(value)), "bans": {}}
            for stamp, status in ((b"7", 200), (b"6, 7", 200), (b"6", 503), (b"8", 200)):
                await apply(it, state, None, b"Tier-Version: %s\r\n" % stamp, 1)
                client = await it.client()
                answer = await ask(client, "POST", "/payouts/1", name=f"n{stamp.decode()}"[:3])
                got = int(answer.split(b" ")[1])
                assert (got == 200) == (status == 200), (stamp, answer)
            assert b.newest == 8
            assert len(b.outdated) >= 1

    asyncio.run(work())


@pytest.mark.parametrize("loop", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_datagrams_that_the_system_does_not_send_count_as_lost_and_are_logged(
    tmp_path: Path, loop: Callable[[], asyncio.AbstractEventLoop]
) -> None:
    """Sends to the broadcast address, which needs a socket option (socket(7))."""

    async def work() -> None:
        names, lines = ("g1", "g2", "g3"), list[str]()
        addresses = {
            "g1": ("127.0.0.1", free_port(socket.SOCK_DGRAM)),
            "g2": ("255.255.255.255", 9),
            "g3": ("127.0.0.1", free_port(socket.SOCK_DGRAM)),
        }
        link = TierLink(
            TierConfig("g1", names, names),
            addresses,
            Keys(1, {1: b"k" * 32}),
            tmp_path,
            lambda a: None,
            lines.append,
        )
        await link.start(None)
        await until(lambda: any("EACCES=" in one for one in lines))
        assert link.member is not None
        membership = link.member.membership
        before = membership.own_record.heartbeat
        await until(lambda: membership.own_record.heartbeat > before + 1)
        link.close()

    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(work())


def test_a_port_in_use_is_reported_with_its_field(tmp_path: Path) -> None:
    async def work() -> None:
        def link(name: str) -> TierLink:
            config = TierConfig("g1", ("g1",), ("g1",))
            keys, addresses = Keys(1, {1: b"k" * 32}), {"g1": ("127.0.0.1", port)}
            return TierLink(
                config, addresses, keys, tmp_path / name, lambda a: None, lambda t: None
            )

        port = free_port()
        one, other = link("a"), link("b")
        await one.start(None)
        with pytest.raises(LinkError, match=rf"tier.members: 127.0.0.1:{port}: .*in use"):
            await other.start(None)
        one.close()
        other.close()

    asyncio.run(work())
