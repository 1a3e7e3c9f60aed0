"""The last moments of a process: what is owed."""

from __future__ import annotations

import asyncio

import pytest

from sailhitch.core.process import drain
from tests.sockets import Server, Writer, gate, request
from tests.virtual import eventually, play

LONG = {
    "classes": [
        {
            "name": name, "importance": 1.0, "goalTime": 9_000_000, "deadline": 10_000_000,
            "repeat": repeat,
        }
        for name, repeat in (("pure-all", "pure"), ("side_effect-all", "side_effect"))
    ]
}  # fmt: skip


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
                await eventually(lambda: len(it.core.live) == 1 and len(host.seen) == sent)
                begun = loop.time()
                ending = asyncio.create_task(drain(it.core, lambda: None))
                status, _ = await client.answer()
                assert status == (503 if not sent else 504 if body else status)
                assert loop.time() - begun < 3.7  # SIGKILL comes no sooner (PROTOCOL)
                await ending
                assert loop.time() - begun < 3.7
                assert not it.core.live

    play(story())
