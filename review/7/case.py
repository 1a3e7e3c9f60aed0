# ruff: noqa: D102, D103
"""A plan is applied though the tier's state moved after it was made, and undoes another change."""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig_2 import (
    BROKEN,
    HELD,
    TROUBLE,
    CannotRunError,
    Daemon,
    Node,
    Process,
    Record,
    ask,
    main,
    start_all,
    tier_of,
)

NODES = 72  # the fleet of today has 68 to 90
PLANS = 6  # operators who apply a plan while another takes a node out
SECONDS = 80.0  # until the last round begins
GRACE = 1.05  # s; drain_grace, and 50 ms for sockets
REQUESTS = 400
BANNED = "claims/n1"


def reading(nodes: list[Node], weights: dict[str, float]) -> dict[str, Any]:
    return {
        "classes": [{"name": "page", "aim": "1s", "deadline": "3s"}],
        "pools": [
            {
                "name": "claims",
                "nodes": [
                    {"id": n.name, "address": n.address, "weight": weights.get(n.name, 1.0)}
                    for n in nodes
                ],
            }
        ],
        "routes": [{"name": "rest", "class": "page", "pools": {"claims": 1.0}}],
    }


async def make_plans(
    record: Record, daemon: Daemon, nodes: list[Node], folder: Path, turn: int
) -> list[str]:
    """Have `sailhitch plan` make plans that change one weight each; return their texts."""

    async def one(number: int) -> str:
        weights = dict(daemon.value.get("weights", {}))
        weights[f"n{2 + number}"] = round(random.uniform(0.5, 3.0), 3)
        new, plan = folder / f"new{number}.toml", folder / f"plan{number}"
        value = {k: v for k, v in daemon.value.items() if k != "weights"}
        daemon.write(new, {**value, **reading(nodes, weights)})
        code, said = await daemon.command("plan", str(new), "-o", str(plan))
        if code != 2:
            raise CannotRunError(f"plan: exit {code}: {said}")
        return plan.read_text()

    texts = await asyncio.gather(*(one(number) for number in range(PLANS)))
    serials = {json.loads(text)["serial"] for text in texts}
    record(f"round {turn}: {len(texts)} plans made against serial {serials}")
    return list(texts)


class Round:
    """One operator takes a node out; others have plans that were made before."""

    def __init__(self, record: Record, daemon: Daemon, texts: list[str], lag: float) -> None:
        self.record, self.daemon, self.texts = record, daemon, texts
        self.serial = json.loads(texts[0])["serial"]
        self.lag = lag  # s from the decision until the ban was in force, in earlier rounds
        self.decided = asyncio.Event()

    async def apply(self, text: str) -> dict[str, Any]:
        return await self.daemon.request({"op": "apply", "plan": text})

    async def _take_out(self) -> tuple[dict[str, Any], float]:
        request = {"op": "ban", "node": BANNED, "out": True, "why": "repair"}
        return await self.daemon.request(request), time.monotonic()

    async def _watch(self) -> float:
        """Ask `tier status` until the ban is active: a pending change is to be waited for."""
        while True:
            status = await self.daemon.request({"op": "tier", "act": "status"})
            if status["active"] > self.serial and status["pending"] is None:
                self.decided.set()
                return time.monotonic()
            await asyncio.sleep(0.002)

    async def _apply_when_decided(self, text: str) -> dict[str, Any]:
        await self.decided.wait()
        await asyncio.sleep(max(0.0, self.lag + random.uniform(-0.012, 0.004)))
        return await self.apply(text)

    async def play(self) -> tuple[dict[str, Any], list[dict[str, Any]]]:
        """Return the replies to the ban, and to the plans that were answered with a yes."""
        decided_at, (banned, ended_at), *applied = await asyncio.gather(
            self._watch(), self._take_out(), *(self._apply_when_decided(t) for t in self.texts)
        )
        self.record(f"in force {ended_at - decided_at:.3f} s after it was decided")
        self.lag = 0.7 * self.lag + 0.3 * (ended_at - decided_at)
        return banned, [reply for reply in applied if reply.get("ok")]


async def case(record: Record, folder: Path, processes: list[Process]) -> int:
    nodes = [Node(f"n{i + 1}") for i in range(NODES)]
    for node in nodes:
        await node.start()
    daemons = tier_of(folder, ["g1", "g2", "g3"], reading(nodes, {}), {"cold_time": "2s"})
    processes += [one.process for one in daemons]
    await start_all(daemons)
    first = daemons[0]
    over = time.monotonic() + SECONDS
    turn, lag = 0, 0.02
    while time.monotonic() < over:
        turn += 1
        texts = await make_plans(record, first, nodes, folder, turn)
        one = Round(record, first, texts, lag)
        if not TROUBLE:
            reply = await one.apply(texts[0])
            record(f"apply: {reply.get('ok')}, serial {reply.get('serial')}")
            if not reply.get("ok"):
                raise CannotRunError(str(reply))
            record("without the disruption one round is enough")
            return HELD
        banned, wrong = await one.play()
        lag = one.lag
        record(f"round {turn}: maintenance enter {BANNED}: serial {banned.get('serial')}")
        if banned.get("ok") and not banned.get("pending") and wrong:
            return await judge(record, daemons, nodes, banned, wrong)
        if banned.get("ok"):
            await first.request({"op": "ban", "node": BANNED, "out": False})
    record(f"{turn} rounds, and no plan was applied to a state that it was not made for")
    return HELD


async def judge(
    record: Record,
    daemons: list[Daemon],
    nodes: list[Node],
    banned: dict[str, Any],
    wrong: list[dict[str, Any]],
) -> int:
    """Return the verdict, for a ban and a plan of one base that were both answered with a yes."""
    ban_serial = banned["serial"]
    for reply in wrong:
        record(f"apply of a plan made before serial {ban_serial}: yes, serial {reply['serial']}")
    if all(reply["serial"] < ban_serial for reply in wrong):
        record("the plan came first, and the ban was made against its result: no fault")
        return HELD
    live = await daemons[1].request({"op": "state"})
    record(f"bans that are in force at g2 now: {sorted(live['state']['bans'])}")
    await asyncio.sleep(GRACE)
    before = len(nodes[0].arrived)
    for number in range(REQUESTS):
        gateway = daemons[number % len(daemons)]
        fields = {"Req-Id": f"{number:016x}"}
        await ask(gateway.address, "GET", "/status", fields, b"", 3.0)
    came = len(nodes[0].arrived) - before
    record(f"{came} of {REQUESTS} requests went to {BANNED}, which nobody has put back")
    return BROKEN


if __name__ == "__main__":
    sys.exit(main(__file__, case))
