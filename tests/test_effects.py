"""No repeat is sent after the idempotency window, even if it was scheduled within the window."""

from __future__ import annotations

import asyncio

import pytest

from tests.crossings import LONG_CONNECT_TIMEOUT, delayed_connects
from tests.fake import BASE
from tests.sockets import Server, Writer, answer, request, running_gateway
from tests.virtual import eventually, play

SHORT_WINDOW = LONG_CONNECT_TIMEOUT | {
    "classes": [one | {"memorySpan": 1_000_000} for one in BASE["classes"]]
}


@pytest.mark.parametrize("after_window", [True, False])
@pytest.mark.parametrize("kind", ["token-all", "token-zone", "token-cell"])
def test_the_idempotency_window_ends_while_a_connection_is_established(
    kind: str, after_window: bool
) -> None:
    received, go = asyncio.Event(), asyncio.Event()

    async def reset(message: bytes, writer: Writer) -> None:
        if received.is_set():
            writer.write(answer(b"served"))
            return
        received.set()
        await go.wait()
        writer.transport.abort()

    async def scenario() -> None:
        async with (
            Server(reset) as host,
            running_gateway(("a", host.addr), settings=SHORT_WINDOW) as it,
        ):
            client = await it.client()
            keyed = b"Idempotency-Key: k1\r\n"
            client.send(request("r1", b"pay", fields=keyed, kind=kind))
            await received.wait()
            async with delayed_connects(host.addr) as held:
                go.set()
                await eventually(lambda: held.waiting == 1)
                await asyncio.sleep(0.95 if after_window else 0.5)  # the idempotency window is 1 s
                held.go.set()
                status, _ = await client.answer()
            assert len(host.seen) == (1 if after_window else 2)
            assert (status == 200) != after_window
            if after_window and kind != "token-all":
                assert status in (502, 504)  # a 503 would say that a repeat is safe

    play(scenario())
