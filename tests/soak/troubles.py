"""What goes wrong in a play, drawn from its seed: several at a time, for a while each."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import random
import signal
import time
from collections.abc import Awaitable, Callable

from tests.soak.agents import Catalogue
from tests.soak.clients import Crowd
from tests.soak.gateways import Gateway
from tests.soak.nodes import Mode, SoakNode
from tests.soak.proxy import LATE_MOST
from tests.soak.records import Drain, Records
from tests.soak.system_faults import Call
from tests.sockets import dial

SPAN = 8.0  # s over which troubles begin
COUNT = (18, 28)  # of them, at least and at most
MORE = (2, 5)  # signals in series and crowds, beside those
BAD_AT_ONCE = 0.4  # share of the nodes that may misbehave at a time
LOCAL_FAILURES = {
    Call.ACCEPT: (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS),
    Call.SOCKET: (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
    Call.CONNECT: (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS),
}
STEPS = (-3600.0, -2.0, 2.0, 3600.0)  # s by which a wall clock is stepped
SERIES = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)  # any of them, again and again
CROWD = 300  # idle connections, which is more than a gateway has descriptors
IDLERS, HALVES = 20, 6  # connections of a crowd that say nothing, or half of a request


class Troubles:
    """Draws troubles and has them happen."""

    def __init__(
        self,
        rng: random.Random,
        gateways: list[Gateway],
        nodes: list[SoakNode],
        catalogue: Catalogue,
        crowd: Crowd,
        records: Records,
    ) -> None:
        self.rng, self.gateways, self.nodes = rng, gateways, nodes
        self.catalogue, self.crowd, self.records = catalogue, crowd, records
        self.kinds: list[Callable[[], Awaitable[str]]] = [
            self.restart,
            self.restart,
            self.kill,
            self.pause,
            self.reload,
            self.drain,
            self.drain,
            self.misbehave,
            self.misbehave,
            self.replace_node,
            self.cut,
            self.late,
            self.outage,
            self.watch_reset,
            self.system_calls,
            self.system_calls,
            self.system_calls,
            self.clock,
            self.idlers,
            self.leavers,
            self.stalled_end,
            self.stalled_end,
            self.surge,
        ]
        # Drawn from a stream of their own, so that those above stay the same for a seed.
        self.more = random.Random(f"{rng.getstate()} more")
        self.more_kinds = [self.signals, self.signals, self.crowd_of_idlers]
        self._bad: set[str] = set()

    async def run(self) -> None:
        """Have all happen, and return once they are over."""
        count = self.rng.randint(*COUNT)
        drawn = [(self.rng.uniform(0.0, SPAN), self.rng.choice(self.kinds)) for _ in range(count)]
        drawn.extend(
            (self.more.uniform(0.0, SPAN), self.more.choice(self.more_kinds))
            for _ in range(self.more.randint(*MORE))
        )
        begun = time.monotonic()

        async def one(at: float, kind: Callable[[], Awaitable[str]]) -> None:
            await asyncio.sleep(at)
            told = await kind()
            over = time.monotonic() - begun
            self.records.troubles.append(f"{at:5.2f} s to {over:5.2f} s  {kind.__name__}  {told}")

        await asyncio.gather(*(one(at, kind) for at, kind in sorted(drawn, key=lambda d: d[0])))

    def _take_node(self) -> SoakNode | None:
        """A node that may be made bad now, if there is one."""
        sound = [n for n in self.nodes if n.name not in self._bad and n.state == "active"]
        if len(self._bad) >= BAD_AT_ONCE * len(self.nodes) or not sound:
            return None
        node = self.rng.choice(sound)
        self._bad.add(node.name)
        return node

    # --- Gateways

    async def restart(self) -> str:
        """One to three at once, in order."""
        chosen = self.rng.sample(self.gateways, self.rng.randint(1, 3))
        await asyncio.gather(*(gateway.restart() for gateway in chosen))
        return " ".join(gateway.name for gateway in chosen)

    async def signals(self) -> str:
        """One is told to end among other signals, within milliseconds of each other."""
        gateway, rng = self.more.choice(self.gateways), self.more
        before = [(rng.uniform(0.0, 0.02), signal.SIGHUP) for _ in range(rng.randint(0, 2))]
        after = [(rng.uniform(0.0, 0.3), rng.choice(SERIES)) for _ in range(rng.randint(0, 4))]
        await gateway.restart(before, after)
        return " ".join([gateway.name, *(number.name for _, number in (*before, *after))])

    async def crowd_of_idlers(self) -> str:
        """Clients that say nothing take all descriptors of one, and stay for a while."""
        gateway = self.more.choice(self.gateways)
        clients = []
        for _ in range(CROWD):
            with contextlib.suppress(OSError):
                clients.append(await dial(gateway.addr))
        await asyncio.sleep(self.more.uniform(0.5, 3.0))
        for client in clients:
            client.writer.close()
        return gateway.name

    async def stalled_end(self) -> str:
        """One ends while its accepts fail, and is held up as its listener is about to close."""
        gateway = self.rng.choice(self.gateways)
        number = self.rng.choice(LOCAL_FAILURES[Call.ACCEPT])
        restarting = asyncio.create_task(gateway.restart())
        await asyncio.sleep(self.rng.uniform(0.05, 0.15))
        gateway.faults.fail(Call.ACCEPT, number, self.rng.randint(1, 4))
        await gateway.pause(self.rng.uniform(0.05, 0.15))
        gateway.faults.fail(Call.ACCEPT, number, self.rng.randint(1, 4))
        await asyncio.sleep(max(0.0, gateway.life.stopped + 0.5 - time.monotonic()))
        await gateway.pause(0.15)
        await restarting
        gateway.faults.fail(Call.ACCEPT, number, 0)
        return f"{gateway.name} {errno.errorcode[number]}"

    async def surge(self) -> str:
        """Twice as many requests as usual."""
        self.crowd.surge = 2.0
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        self.crowd.surge = 1.0
        return ""

    async def kill(self) -> str:
        """One is killed, and starts anew."""
        gateway = self.rng.choice(self.gateways)
        await gateway.kill()
        return gateway.name

    async def pause(self) -> str:
        """Held up for up to 0.15 s."""
        gateway = self.rng.choice(self.gateways)
        await gateway.pause(self.rng.uniform(0.05, 0.15))
        return gateway.name

    async def reload(self) -> str:
        """A new configuration with discovery elsewhere, twice in a row at times."""
        gateway = self.rng.choice(self.gateways)
        for _ in range(self.rng.randint(1, 2)):
            gateway.reload()
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))
        return gateway.name

    async def system_calls(self) -> str:
        """Calls of two to six gateways fail, some in a row and some now and then."""
        chosen = self.rng.sample(self.gateways, self.rng.randint(2, 6))
        call = self.rng.choice(list(LOCAL_FAILURES))
        number = self.rng.choice(LOCAL_FAILURES[call])
        for _ in range(self.rng.randint(1, 5)):
            for gateway in chosen:
                gateway.faults.fail(call, number, self.rng.randint(1, 3))
            await asyncio.sleep(self.rng.uniform(0.05, 0.6))
        for gateway in chosen:
            gateway.faults.fail(call, number, 0)
        names = " ".join(gateway.name for gateway in chosen)
        return f"{call.name} {errno.errorcode[number]} at {names}"

    async def clock(self) -> str:
        """The wall clock of some is stepped, and back a while later."""
        chosen = self.rng.sample(self.gateways, self.rng.randint(1, 4))
        step = self.rng.choice(STEPS)
        for gateway in chosen:
            gateway.faults.step_wall_clock(step)
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        for gateway in chosen:
            gateway.faults.step_wall_clock(0.0)
        return f"{step:g} s at " + " ".join(gateway.name for gateway in chosen)

    # --- Nodes and the way to them

    async def drain(self) -> str:
        """A node leaves, and comes back as one that has just started, or does not."""
        node = self._take_node()
        if node is None:
            return "none"
        node.state = "leaving"
        drain = Drain(node.name, time.monotonic())
        self.records.drains.append(drain)
        self.catalogue.change(node.entry())
        await asyncio.sleep(self.rng.uniform(1.5, 4.0))
        await self._come_back(node, drain)
        return node.name

    async def _come_back(self, node: SoakNode, drain: Drain | None) -> None:
        if drain is not None:
            drain.over = time.monotonic()
        node.proxy.reset()
        node.restart()
        node.mode, node.state = Mode.SOUND, "active"
        node.started_ms = int(time.time() * 1000)
        self.catalogue.change(node.entry())
        self._bad.discard(node.name)

    async def replace_node(self) -> str:
        """It crashes, and is back at once: cold."""
        node = self._take_node()
        if node is None:
            return "none"
        await self._come_back(node, None)
        return node.name

    async def misbehave(self) -> str:
        """A node hangs, resets, spoils its answers or is full."""
        node = self._take_node()
        if node is None:
            return "none"
        node.mode = self.rng.choice([mode for mode in Mode if mode is not Mode.SOUND])
        told = f"{node.name} {node.mode.name.lower()}"
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        node.mode = Mode.SOUND
        self._bad.discard(node.name)
        return told

    async def cut(self) -> str:
        """The way to a node is cut, silently; what was open is reset at its end."""
        node = self._take_node()
        if node is None:
            return "none"
        node.proxy.cut = True
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        node.proxy.heal()
        self._bad.discard(node.name)
        return node.name

    async def late(self) -> str:
        """New connections to some nodes come up late."""
        chosen = self.rng.sample(self.nodes, len(self.nodes) // 3)
        for node in chosen:
            node.proxy.late = LATE_MOST
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        for node in chosen:
            node.proxy.end_late(time.monotonic())
        return " ".join(node.name for node in chosen)

    # --- Discovery and clients

    async def outage(self) -> str:
        """Discovery is down."""
        await self.catalogue.outage(self.rng.uniform(0.5, 4.0))
        return ""

    async def watch_reset(self) -> str:
        """Watches are broken."""
        for gateway in self.gateways:
            for agent in gateway.agents:
                agent.reset()
        return ""

    async def idlers(self) -> str:
        """Clients that say nothing, or half of a request, and stay for a while."""
        gateway = self.rng.choice(self.gateways)
        clients = []
        try:
            for number in range(IDLERS + HALVES):
                client = await dial(gateway.addr)
                if number >= IDLERS:
                    client.send(b"GET /api HTTP/1.1\r\nHost: service.inter")
                clients.append(client)
        except OSError:
            pass
        await asyncio.sleep(self.rng.uniform(0.5, 3.5))
        for client in clients:
            client.writer.close()
        return gateway.name

    async def leavers(self) -> str:
        """A third of the clients leaves early."""
        self.crowd.leaving = 0.33
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        self.crowd.leaving = 0.05
        return ""
