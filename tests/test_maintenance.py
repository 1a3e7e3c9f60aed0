"""Hosts that staff take out: out until they say otherwise, and cold when they come back."""

from __future__ import annotations

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from sailhitch.core.maintenance import REMEMBERED, Maintenance, Told
from sailhitch.interface import DRAINING, GONE, READY, Listed
from tests.sockets import Server, gate, request

S = 1_000_000
STEPS = st.lists(
    st.one_of(
        st.tuples(st.sampled_from(("enter", "leave")), st.just(0)),
        st.tuples(st.sampled_from((READY, DRAINING, GONE)), st.integers(0, 40)),
    ),
    max_size=40,
)


def listed(state: str = READY, boot: int = 0, name: str = "a") -> Listed:
    return Listed(name, 1.0, 0, 0, state, boot, 0)


@given(STEPS)
def test_a_ban_holds_whatever_the_list_says_until_one_call_ends_it(
    steps: list[tuple[str, int]],
) -> None:
    it = Maintenance()
    it.saw(("a",))
    out = False
    since = left = 0
    for now, (what, boot) in enumerate(steps, 1):
        if what == "enter":
            assert it.enter("a", now * S) == (Told.ALREADY if out else Told.CHANGED)
            since, out = (since if out else now * S), True
        elif what == "leave":
            assert it.leave("a", now * S) == (Told.CHANGED if out else Told.ALREADY)
            left, out = (now * S if out else left), False
        elif what == GONE:
            it.gone("a")
            left = 0
        else:
            told = it.over(listed(what, boot * S))
            assert told.state == (DRAINING if out else what)
            if not out and left:
                # It counts as started no earlier than staff let it go for.
                assert told.boot >= since
                left = left if boot * S < since else 0
        assert it.is_out("a") == out


def test_only_what_was_ever_listed_is_known_and_that_is_bounded() -> None:
    it = Maintenance()
    assert it.enter("a", S) is Told.UNKNOWN
    assert it.leave("a", S) is Told.UNKNOWN
    it.saw(("a",))
    it.enter("a", S)
    it.saw(f"n{i}" for i in range(REMEMBERED))
    assert len(it.ever) == REMEMBERED
    assert it.knows("a")  # for as long as it is out
    assert it.leave("a", S) is Told.CHANGED
    assert not it.knows("a")


def test_a_host_that_is_out_gets_nothing_and_comes_back_cold() -> None:
    async def play() -> None:
        async with (
            Server() as first,
            Server() as second,
            gate(("a", first.addr), ("b", second.addr)) as it,
        ):
            client = await it.client()
            it.pool.take_out("a")
            before = len(first.seen)
            for i in range(20):
                assert (await client.ask(request(f"r{i}")))[0] == 200
            assert len(first.seen) == before
            assert it.pool.module.roster.servers["a"].state == DRAINING
            # What the list says of it changes nothing.
            it.pool.take_list(it.platform.config.known, "full")
            assert it.pool.module.roster.servers["a"].state == DRAINING
            it.pool.put_back("a")
            server = it.pool.module.roster.servers["a"]
            assert server in it.pool.module.roster.cold.servers
            for i in range(200):
                assert (await client.ask(request(f"s{i}")))[0] == 200
            assert len(first.seen) > before
            assert it.core.counters.panics == 0

    asyncio.run(play())
