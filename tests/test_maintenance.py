"""Hosts in maintenance: out until an operator puts them back, and cold after that."""

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


def listed(
    state: EndpointState = EndpointState.READY, started_at: int = 0, name: str = "a"
) -> Endpoint:
    return Endpoint(name, 1.0, 0, 0, state, started_at, 0)


@given(STEPS)
def test_a_ban_overrides_the_list_until_one_leave_ends_it(
    steps: list[tuple[str, int]],
) -> None:
    maintenance = Maintenance()
    maintenance.add_names(("a",))
    in_maintenance = False
    since = left = 0
    for now, (what, started_at) in enumerate(steps, 1):
        if what == "enter":
            assert maintenance.enter("a", now * S) == (
                MaintenanceResult.ALREADY if in_maintenance else MaintenanceResult.CHANGED
            )
            since, in_maintenance = (since if in_maintenance else now * S), True
        elif what == "leave":
            assert maintenance.leave("a", now * S) == (
                MaintenanceResult.CHANGED if in_maintenance else MaintenanceResult.ALREADY
            )
            left, in_maintenance = (now * S if in_maintenance else left), False
        elif what == EndpointState.GONE:
            maintenance.forget("a")
            left = 0
        else:
            effective = maintenance.apply_to(listed(EndpointState(what), started_at * S))
            assert effective.state == (EndpointState.DRAINING if in_maintenance else what)
            if not in_maintenance and left:
                # It counts as started no earlier than its maintenance began.
                assert effective.started_at >= since
                left = left if started_at * S < since else 0
        assert maintenance.is_out("a") == in_maintenance


def test_only_hosts_ever_listed_are_known_up_to_a_limit() -> None:
    maintenance = Maintenance()
    assert maintenance.enter("a", S) is MaintenanceResult.UNKNOWN
    assert maintenance.leave("a", S) is MaintenanceResult.UNKNOWN
    maintenance.add_names(("a",))
    maintenance.enter("a", S)
    maintenance.add_names(f"n{i}" for i in range(MAX_KNOWN_NAMES))
    assert len(maintenance.known_names) == MAX_KNOWN_NAMES
    assert maintenance.knows("a")  # while it is in maintenance
    assert maintenance.leave("a", S) is MaintenanceResult.CHANGED
    assert not maintenance.knows("a")


def test_a_host_in_maintenance_gets_no_requests_and_returns_cold() -> None:
    async def run() -> None:
        async with (
            Server() as first,
            Server() as second,
            running_gateway(("a", first.addr), ("b", second.addr)) as gateway,
        ):
            client = await gateway.client()
            gateway.pool.enter_maintenance("a")
            before = len(first.seen)
            for i in range(20):
                assert (await client.ask(request(f"r{i}")))[0] == 200
            assert len(first.seen) == before
            assert gateway.pool.policy.endpoint_table.servers["a"].state == EndpointState.DRAINING
            # An update of the list doesn't end the maintenance.
            gateway.pool.apply_update(
                gateway.platform.config.known_endpoints, WatchEventKind.SNAPSHOT
            )
            assert gateway.pool.policy.endpoint_table.servers["a"].state == EndpointState.DRAINING
            gateway.pool.leave_maintenance("a")
            server = gateway.pool.policy.endpoint_table.servers["a"]
            assert server in gateway.pool.policy.endpoint_table.slow_start.servers
            for i in range(200):
                assert (await client.ask(request(f"s{i}")))[0] == 200
            assert len(first.seen) > before
            assert gateway.core.counters.panics == 0

    asyncio.run(run())
