"""The duration of a tier's changes and restart, and its network traffic, in the model.

    python -m benchmarks.tier [--members 5,25,200] [--loss 0,0.1,0.3] [--plays 5] [--json]

Times are virtual seconds. A run bootstraps a tier, lets it settle, and has one member propose a
contradicting change: `active` is the time until its proposer applies it, `all` until the last
member does, and `restart` the time from a kill -9 of all members until all are active again. Bytes
are those of MessagePack in the ten seconds before the change, without seals (28 more per datagram).
"""

from __future__ import annotations

import argparse
import json
import statistics
import time
from typing import Any

import msgspec

from sailhitch.model.tier import TierProcess, World
from sailhitch.tier.member import MemberStatus

SECOND = 1_000_000


def run_change(members: int, loss: float, seed: int) -> dict[str, float]:
    """Run one change; raises AssertionError if it does not finish in time."""
    world = World(
        seed, members, min(5, members) if members > 3 else 3, beat=100_000, write_interval=SECOND
    )
    began = time.perf_counter()
    world.network.loss = loss
    world.start()
    world.kernel.run(15 * SECOND)
    size = _count_bytes(world)
    sent, start = world.network.sent, size[0]
    world.kernel.run(25 * SECOND)
    rate = (size[0] - start) / members / 10
    datagrams = (world.network.sent - sent) / members / 10
    proposer = world.processes[world.names[members // 2]]
    at = world.kernel.now
    proposer.propose(1, 0)
    first = last = 0
    while world.kernel.now < at + 60 * SECOND and not last:
        world.kernel.run(world.kernel.now + SECOND // 100)
        active = [_has_applied_change(one) for one in world.processes.values()]
        if not first and _has_applied_change(proposer):
            first = world.kernel.now
        if all(active):
            last = world.kernel.now
    assert last, f"{members} members, loss {loss}, seed {seed}: not active everywhere in 60 s"
    return {
        "active": (first - at) / SECOND,
        "all": (last - at) / SECOND,
        "bytes": rate,
        "datagrams": datagrams,
        "seconds": time.perf_counter() - began,
        "virtual": world.kernel.now / SECOND,
    }


def restart(members: int, loss: float, seed: int) -> float:
    """Return the seconds from a kill -9 and restart of all members until all are active."""
    world = World(
        seed, members, min(5, members) if members > 3 else 3, beat=100_000, write_interval=SECOND
    )
    world.start()
    world.kernel.run(15 * SECOND)
    world.network.loss = loss
    for process in world.processes.values():
        process.kill()
    at = world.kernel.now
    world.start()
    while world.kernel.now < at + 60 * SECOND:
        world.kernel.run(world.kernel.now + SECOND // 20)
        if all(one.up and _is_active(one) for one in world.processes.values()):
            return (world.kernel.now - at) / SECOND
    raise AssertionError(f"{members} members, loss {loss}, seed {seed}: not all active within 60 s")


def _is_active(process: TierProcess) -> bool:
    member = process.member
    return member is not None and member.member_status(process.clock()) is MemberStatus.ACTIVE


def _has_applied_change(process: TierProcess) -> bool:
    versions = process.applied_versions
    return versions is not None and versions.active.serial > 1 and versions.pending is None


def _count_bytes(world: World) -> list[int]:
    """Count the bytes sent from here on in the one element of the list returned."""
    count, send, encode = [0], world.network.send, msgspec.msgpack.encode

    def counted(sender: str, to: str, message: Any) -> None:
        count[0] += len(encode(message))
        send(sender, to, message)

    world.network.send = counted  # type: ignore[method-assign]
    return count


def main() -> None:
    """Print a table with a row for each size and loss."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", default="5,25,200")
    parser.add_argument("--loss", default="0,0.1,0.3")
    parser.add_argument("--plays", type=int, default=5)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    if not options.json:
        print(
            "members  loss  active median worst   all median worst   bytes/s  datagrams/s  real s"
            "  restart median worst"
        )
    for members in map(int, options.members.split(",")):
        for loss in map(float, options.loss.split(",")):
            runs = [run_change(members, loss, seed) for seed in range(options.plays)]
            found = {name: [one[name] for one in runs] for name in runs[0]}
            found["restart"] = [restart(members, loss, seed) for seed in range(options.plays)]
            if options.json:
                print(json.dumps({"members": members, "loss": loss, **found}), flush=True)
                continue
            active, latest = found["active"], found["all"]
            print(
                f"{members:7} {loss:5.2f} {statistics.median(active):14.2f} {max(active):5.2f} "
                f"{statistics.median(latest):12.2f} {max(latest):5.2f} "
                f"{statistics.mean(found['bytes']):9.0f} "
                f"{statistics.mean(found['datagrams']):12.1f} "
                f"{statistics.mean(found['seconds']):7.1f} "
                f"{statistics.median(found['restart']):14.2f} {max(found['restart']):5.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
