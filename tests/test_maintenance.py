"""Hosts that staff take out: out until they say otherwise, and cold when they come back."""

from __future__ import annotations

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from sailhitch.core.maintenance import MAX_KNOWN_NAMES, Maintenance, MaintenanceResult
from sailhitch.policy_interface import (
    Endpoint,
    EndpointState,
    WatchEventKind,
)
from tests.sockets import Server, request, running_gateway

S = 1_000_000
STEPS = st.lists(
    st.one_of(
        st.tuples(st.sampled_from(("enter", "leave")), st.just(0)),
        st.tuples(
            st.sampled_from((EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE)),
            st.integers(0, 40),
        ),
    ),
    max_size=40,
)


def listed(state: EndpointState = EndpointState.READY, boot: int = 0, name: str = "a") -> Endpoint:
    return Endpoint(name, 1.0, 0, 0, state, boot, 0)


@given(STEPS)
def test_a_ban_holds_whatever_the_list_says_until_one_call_ends_it(
    steps: list[tuple[str, int]],
) -> None:
    it = Maintenance()
    it.add_names(("a",))
    out = False
    since = left = 0
    for now, (what, boot) in enumerate(steps, 1):
        if what == "enter":
            assert it.enter("a", now * S) == (
                MaintenanceResult.ALREADY if out else MaintenanceResult.CHANGED
            )
            since, out = (since if out else now * S), True
        elif what == "leave":
            assert it.leave("a", now * S) == (
                MaintenanceResult.CHANGED if out else MaintenanceResult.ALREADY
            )
            left, out = (now * S if out else left), False
        elif what == EndpointState.GONE:
            it.forget("a")
            left = 0
        else:
            told = it.apply_to(listed(EndpointState(what), boot * S))
            assert told.state == (EndpointState.DRAINING if out else what)
            if not out and left:
                # It counts as started no earlier than staff let it go for.
                assert told.started_at >= since
                left = left if boot * S < since else 0
        assert it.is_out("a") == out


def test_only_what_was_ever_listed_is_known_and_that_is_bounded() -> None:
    it = Maintenance()
    assert it.enter("a", S) is MaintenanceResult.UNKNOWN
    assert it.leave("a", S) is MaintenanceResult.UNKNOWN
    it.add_names(("a",))
    it.enter("a", S)
    it.add_names(f"n{i}" for i in range(MAX_KNOWN_NAMES))
    assert len(it.known_names) == MAX_KNOWN_NAMES
    assert it.knows("a")  # for as long as it is out
    assert it.leave("a", S) is MaintenanceResult.CHANGED
    assert not it.knows("a")


def test_a_host_that_is_out_gets_nothing_and_comes_back_cold() -> None:
    async def play() -> None:
        async with (
            Server() as first,
            Server() as second,
            running_gateway(("a", first.addr), ("b", second.addr)) as it,
        ):
            client = await it.client()
            it.pool.enter_maintenance("a")
            before = len(first.seen)
            for i in range(20):
                assert (await client.ask(request(f"r{i}")))[0] == 200
            assert len(first.seen) == before
            assert it.pool.policy.endpoint_table.servers["a"].state == EndpointState.DRAINING
            # What the list says of it changes nothing.
            it.pool.apply_update(it.platform.config.known_endpoints, WatchEventKind.SNAPSHOT)
            assert it.pool.policy.endpoint_table.servers["a"].state == EndpointState.DRAINING
            it.pool.leave_maintenance("a")
            server = it.pool.policy.endpoint_table.servers["a"]
            assert server in it.pool.policy.endpoint_table.slow_start.servers
            for i in range(200):
                assert (await client.ask(request(f"s{i}")))[0] == 200
            assert len(first.seen) > before
            assert it.core.counters.panics == 0

    asyncio.run(play())
