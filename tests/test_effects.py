"""A repeat that hosts would no longer know as one is not written, whenever it was chosen."""

from __future__ import annotations

import asyncio

import pytest

from tests.crossings import LONG_CONNECT_TIMEOUT, delayed_connects
from tests.fake import BASE
from tests.sockets import Server, Writer, answer, request, running_gateway
from tests.virtual import eventually, play

SHORT = LONG_CONNECT_TIMEOUT | {
    "classes": [one | {"memorySpan": 1_000_000} for one in BASE["classes"]]
}


@pytest.mark.parametrize("late", [True, False])
@pytest.mark.parametrize("kind", ["token-all", "token-zone", "token-cell"])
def test_a_keys_memory_that_ends_while_a_connection_comes_up(kind: str, late: bool) -> None:
    asked, go = asyncio.Event(), asyncio.Event()

    async def reset(message: bytes, writer: Writer) -> None:
        if asked.is_set():
            writer.write(answer(b"served"))
            return
        asked.set()
        await go.wait()
        writer.transport.abort()

    async def story() -> None:
        async with Server(reset) as host, running_gateway(("a", host.addr), settings=SHORT) as it:
            client = await it.client()
            keyed = b"Idempotency-Key: k1\r\n"
            client.send(request("r1", b"pay", fields=keyed, kind=kind))
            await asked.wait()
            async with delayed_connects(host.addr) as held:
                go.set()
                await eventually(lambda: held.waiting == 1)
                await asyncio.sleep(0.95 if late else 0.5)  # the settings' memory is 1 s
                held.go.set()
                status, _ = await client.answer()
            assert len(host.seen) == (1 if late else 2)
            assert (status == 200) != late
            if late and kind != "token-all":
                assert status in (502, 504)  # nobody is told that a repeat is harmless

    play(story())
