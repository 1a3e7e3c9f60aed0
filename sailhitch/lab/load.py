"""Ordinary HTTP clients that send requests continuously, and count their final outcomes."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from .crowd import ClientConnection, dial
from .message import build

SERVED = "served"
REFUSED = "refused"
FAILED = "failed"
LOST = "lost"
CUT: Final = "cut"  # no response: the connection failed or broke
PATIENCE: Final = 15.0  # s until a request counts as lost; gateways answer long before that


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request, and its relative frequency."""

    name: str
    method: str
    path: str
    keyed: bool = False
    part: float = 1.0


PAGES: Final = Kind("page", "GET", "/claims/7")
PAYOUTS: Final = Kind("payout", "POST", "/payouts/new")
FILINGS: Final = Kind("filing", "POST", "/claims", keyed=True)
MIX: Final = (PAGES, PAYOUTS, FILINGS)


class Load:
    """Clients with a connection each, that send the next request after each response.

    `ends` counts the outcomes of requests, `answers` the final responses to each, by its id. A
    keyed request without a conclusive response is sent again under its key, as a correct client
    does; `repeats` counts those.
    """

    def __init__(
        self,
        addr: str,
        clients: int = 8,
        kinds: Sequence[Kind] = MIX,
        pause: float = 0.0,
        seed: int = 1,
        prefix: str = "c",
    ) -> None:
        self.prefix = prefix  # of its request ids
        self.addr = addr
        self.clients = clients
        self.kinds = kinds
        self.pause = pause
        self.random = random.Random(seed)
        self.ends: Counter[str] = Counter()
        self.answers: Counter[str] = Counter()
        self.statuses: Counter[int] = Counter()
        self.times: list[tuple[float, float]] = []  # arrival and latency of each served response
        self.wrong: list[str] = []  # ids of requests that got another request's response
        self.repeats = 0
        self._request_numbers = itertools.count()
        self._is_ending = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Load:
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._client(i)) for i in range(self.clients)]
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.finish()

    async def finish(self) -> None:
        """Send no new requests, and wait for those in flight."""
        self._is_ending.set()
        await asyncio.gather(*self._tasks)

    @property
    def asked(self) -> int:
        """Return the number of requests sent."""
        return sum(self.ends.values())

    def quantile(self, part: float, since: float = 0.0) -> float:
        """Return a quantile of the latencies (s) of requests served since a time; 0 with none."""
        times = sorted(took for at, took in self.times if at >= since)
        return times[min(len(times) - 1, int(part * len(times)))] if times else 0.0

    async def _client(self, number: int) -> None:
        connection: ClientConnection | None = None
        retry_key: str | None = None
        while not self._is_ending.is_set():
            kind = self.random.choices(self.kinds, [one.part for one in self.kinds])[0]
            if retry_key is not None:
                kind = FILINGS
            name = f"{self.prefix}{number}-{next(self._request_numbers):x}"
            key = retry_key or (name if kind.keyed else "")
            self.repeats += retry_key is not None
            connection, is_final = await self._request(connection, kind, name, key)
            retry_key = key if key and not is_final else None
            if self.pause or not is_final:
                await asyncio.sleep(self.pause or 0.01)
        if connection is not None:
            connection.close()

    async def _request(
        self, connection: ClientConnection | None, kind: Kind, name: str, key: str
    ) -> tuple[ClientConnection | None, bool]:
        """Send a request; return the connection if usable, and whether the outcome is final."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            if connection is None or not connection.open:
                connection = await dial(self.addr)
            status, _, body = await connection.ask(_message(kind, name, key), PATIENCE)
        except TimeoutError:
            self.ends[LOST] += 1
            return None, False
        except OSError:
            # The connection was closed while the request was sent, or no gateway is running.
            self.ends[CUT] += 1
            await asyncio.sleep(0.02)
            return None, False
        self.answers[name] += 1
        self.statuses[status] += 1
        if status < 400:
            self.ends[SERVED] += 1
            self.times.append((loop.time(), loop.time() - started))
            if body.split(b" ")[0] != name.encode():
                self.wrong.append(name)
        else:
            self.ends[REFUSED if status in (429, 503) else FAILED] += 1
        return (connection if connection.open else None), status < 400 or status in (429, 503)


def _message(kind: Kind, name: str, key: str) -> bytes:
    fields = [("Req-Id", name)]
    if key:
        fields.append(("Idempotency-Key", key))
    return build(kind.method, kind.path, fields, b"claim" if kind.method == "POST" else b"")
