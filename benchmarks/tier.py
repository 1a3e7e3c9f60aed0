"""How long a change of a tier takes, and what the tier costs, in the model.

    python -m benchmarks.tier [--members 5,25,200] [--loss 0,0.1,0.3] [--plays 5] [--json]

Times are virtual seconds. A play founds a tier, lets it come to rest, and has one member propose a
change that contradicts: `active` is when its proposer acts by it, `all` when the last member does;
`restart` is from a kill -9 of all until all are in. Bytes are of MessagePack without seals (28
bytes a datagram more), in the ten seconds before.
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

S = 1_000_000


def play(members: int, loss: float, seed: int) -> dict[str, float]:
    """One play; raises AssertionError where the change does not end in time."""
    world = World(
        seed, members, min(5, members) if members > 3 else 3, beat=100_000, write_interval=S
    )
    began = time.perf_counter()
    world.network.loss = loss
    world.start()
    world.kernel.run(15 * S)
    size = _count_bytes(world)
    sent, start = world.network.sent, size[0]
    world.kernel.run(25 * S)
    rate = (size[0] - start) / members / 10
    datagrams = (world.network.sent - sent) / members / 10
    proposer = world.processes[world.names[members // 2]]
    at = world.kernel.now
    proposer.propose(1, 0)
    first = last = 0
    while world.kernel.now < at + 60 * S and not last:
        world.kernel.run(world.kernel.now + S // 100)
        active = [_active(one) for one in world.processes.values()]
        if not first and _active(proposer):
            first = world.kernel.now
        if all(active):
            last = world.kernel.now
    assert last, f"{members} members, loss {loss}, seed {seed}: not active everywhere in 60 s"
    return {
        "active": (first - at) / S,
        "all": (last - at) / S,
        "bytes": rate,
        "datagrams": datagrams,
        "seconds": time.perf_counter() - began,
        "virtual": world.kernel.now / S,
    }


def restart(members: int, loss: float, seed: int) -> float:
    """Seconds from a kill -9 of all at once, and their start, until all are in."""
    world = World(
        seed, members, min(5, members) if members > 3 else 3, beat=100_000, write_interval=S
    )
    world.start()
    world.kernel.run(15 * S)
    world.network.loss = loss
    for process in world.processes.values():
        process.kill()
    at = world.kernel.now
    world.start()
    while world.kernel.now < at + 60 * S:
        world.kernel.run(world.kernel.now + S // 20)
        if all(one.up and _is_in(one) for one in world.processes.values()):
            return (world.kernel.now - at) / S
    raise AssertionError(f"{members} members, loss {loss}, seed {seed}: not all in within 60 s")


def _is_in(process: TierProcess) -> bool:
    member = process.member
    return member is not None and member.member_status(process.clock()) is MemberStatus.ACTIVE


def _active(process: TierProcess) -> bool:
    view = process.applied_versions
    return view is not None and view.active.serial > 1 and view.pending is None


def _count_bytes(world: World) -> list[int]:
    """Count what is sent from here on, in the one number of the list."""
    count, send, encode = [0], world.network.send, msgspec.msgpack.encode

    def counted(sender: str, to: str, message: Any) -> None:
        count[0] += len(encode(message))
        send(sender, to, message)

    world.network.send = counted  # type: ignore[method-assign]
    return count


def main() -> None:
    """Print a table, a line for each size and loss."""
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
            plays = [play(members, loss, seed) for seed in range(options.plays)]
            found = {name: [one[name] for one in plays] for name in plays[0]}
            found["restart"] = [restart(members, loss, seed) for seed in range(options.plays)]
            if options.json:
                print(json.dumps({"members": members, "loss": loss, **found}), flush=True)
                continue
            active, everyone = found["active"], found["all"]
            print(
                f"{members:7} {loss:5.2f} {statistics.median(active):14.2f} {max(active):5.2f} "
                f"{statistics.median(everyone):12.2f} {max(everyone):5.2f} "
                f"{statistics.mean(found['bytes']):9.0f} "
                f"{statistics.mean(found['datagrams']):12.1f} "
                f"{statistics.mean(found['seconds']):7.1f} "
                f"{statistics.median(found['restart']):14.2f} {max(found['restart']):5.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
