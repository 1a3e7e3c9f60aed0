"""Ordinary HTTP clients that ask steadily, and a count of what finally became of each request."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from .crowd import Line, dial
from .message import build

SERVED = "served"
REFUSED = "refused"
FAILED = "failed"
LOST = "lost"
CUT: Final = "cut"  # no answer, as the connection could not be had or broke
PATIENCE: Final = 15.0  # s until a request counts as lost; gateways answer long before


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request: how it looks, and how often it comes among the others."""

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
    """Clients with a connection each, that ask again as soon as they are answered.

    `ends` counts what became of requests, `answers` how many final answers each got, by its id. A
    keyed request that got no clear answer comes again under its key, as a good client's does;
    `repeats` counts those.
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
        self.prefix = prefix  # of the ids of its requests
        self.addr = addr
        self.clients = clients
        self.kinds = kinds
        self.pause = pause
        self.random = random.Random(seed)
        self.ends: Counter[str] = Counter()
        self.answers: Counter[str] = Counter()
        self.statuses: Counter[int] = Counter()
        self.times: list[tuple[float, float]] = []  # when each served answer came, how long it took
        self.wrong: list[str] = []  # answers that were another's
        self.repeats = 0
        self._names = itertools.count()
        self._ending = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Load:
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._client(i)) for i in range(self.clients)]
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.finish()

    async def finish(self) -> None:
        """Begin nothing more, and wait for what is under way."""
        self._ending.set()
        await asyncio.gather(*self._tasks)

    @property
    def asked(self) -> int:
        """Return the number of requests sent."""
        return sum(self.ends.values())

    def quantile(self, part: float, since: float = 0.0) -> float:
        """Of the times of served requests that ended since then, seconds; 0 with none."""
        times = sorted(took for at, took in self.times if at >= since)
        return times[min(len(times) - 1, int(part * len(times)))] if times else 0.0

    async def _client(self, number: int) -> None:
        line: Line | None = None
        again: str | None = None
        while not self._ending.is_set():
            kind = self.random.choices(self.kinds, [one.part for one in self.kinds])[0]
            if again is not None:
                kind = FILINGS
            name = f"{self.prefix}{number}-{next(self._names):x}"
            key = again or (name if kind.keyed else "")
            self.repeats += again is not None
            line, clear = await self._ask(line, kind, name, key)
            again = key if key and not clear else None
            if self.pause or not clear:
                await asyncio.sleep(self.pause or 0.01)
        if line is not None:
            line.close()

    async def _ask(
        self, line: Line | None, kind: Kind, name: str, key: str
    ) -> tuple[Line | None, bool]:
        """One request; the connection, if it is still good, and whether its end is clear."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            if line is None or not line.open:
                line = await dial(self.addr)
            status, _, body = await line.ask(_message(kind, name, key), PATIENCE)
        except TimeoutError:
            self.ends[LOST] += 1
            return None, False
        except OSError:
            # A close that crosses the request, or no gateway: nothing was answered.
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
        return (line if line.open else None), status < 400 or status in (429, 503)


def _message(kind: Kind, name: str, key: str) -> bytes:
    fields = [("Req-Id", name)]
    if key:
        fields.append(("Idempotency-Key", key))
    return build(kind.method, kind.path, fields, b"claim" if kind.method == "POST" else b"")
