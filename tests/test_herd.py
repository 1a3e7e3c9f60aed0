"""Retry delays of many gateways that start or fail at the same time."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sailhitch.core.endpoints import Address
from sailhitch.net.backoff import Backoff
from sailhitch.net.discovery_timing import BACKOFF_MAX, BACKOFF_MIN, MAX_FAILING_CALLS
from tests.sockets import (
    DiscoveryServer,
    Server,
    Writer,
    config_value,
    dial,
    process,
    request,
    running_gateway,
)


@given(st.integers(8, 48), st.integers(0, 1 << 60))
def test_callers_that_fail_together_do_not_come_back_together(callers: int, seed: int) -> None:
    all_callers = [Backoff(BACKOFF_MIN, BACKOFF_MAX, seed + i) for i in range(callers)]
    times = []
    for caller in all_callers:
        caller.limit(callers, MAX_FAILING_CALLS)
        now = 0.0
        while now < 10.0:
            now += caller.pause()
            times.append(now)
    later = [t for t in times if 2.0 <= t < 10.0]
    assert len(later) / 8.0 < 2.0 * MAX_FAILING_CALLS
    slots = [sum(1 for t in later if i <= t * 20 < i + 1) for i in range(40, 200)]
    assert max(slots) <= 4 * max(1.0, len(later) / len(slots)) + 4
    for caller in all_callers:
        caller.reset()
        assert BACKOFF_MIN <= caller.pause() <= 3 * BACKOFF_MIN


@pytest.mark.parametrize("gateways", [1, 48, 200, 10_000])
@pytest.mark.parametrize("grace", [200_000, 250_000, 800_000, 1_000_000, 5_000_000])
def test_a_returning_agent_is_called_within_the_grace_with_any_number_of_gateways(
    gateways: int, grace: int
) -> None:
    """Worst case: a call sent right before it is back times out, then the delay, then a call."""
    pauses: list[float] = []
    calls: list[float] = []

    async def scenario() -> None:
        rules = {"drainGrace": grace}
        async with running_gateway(settings={"balancers": gateways, "rules": rules}) as gateway:
            discovery = gateway.discovery
            calls.extend((discovery.times.call, discovery.times.snapshot_call))

            async def time_out(address: Address) -> bool:
                raise TimeoutError

            async def pause(seconds: float) -> None:
                pauses.append(seconds)
                if len(pauses) == 200:
                    raise asyncio.CancelledError

            discovery._poll, discovery._pause = time_out, pause  # type: ignore[method-assign]
            with contextlib.suppress(asyncio.CancelledError):
                await discovery.run()

    asyncio.run(scenario())
    assert len(pauses) == 200
    # A quarter is left for the next call, its connect and processing.
    assert max(calls) + max(pauses) < 0.75 * grace / 1e6
    assert min(pauses) >= min(BACKOFF_MIN, 0.15 * grace / 1e6)


def test_a_start_while_discovery_turns_away_serves_at_once_by_the_known_list(
    tmp_path: Path,
) -> None:
    async def reject(message: bytes, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")

    async def scenario() -> None:
        async with Server() as host, Server(reject) as registry:
            value = config_value(registry.addr, ("a", host.addr))
            async with process(tmp_path / "config.json", value) as (program, addr):
                client = await dial(addr)
                assert await client.ask(request("r1")) == (200, b"served")
                calls = len(registry.seen)
                await asyncio.sleep(1.0)
                assert len(registry.seen) - calls <= 1.0 / BACKOFF_MIN
                assert program.returncode is None
                # Once discovery answers again, it is called within the longest delay.
                registry.handler = DiscoveryServer(("a", host.addr)).reply
                assert await client.ask(request("r2")) == (200, b"served")

    asyncio.run(scenario())
