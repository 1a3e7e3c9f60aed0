"""What an instance of the decision module has learned, for the process that goes on in its place.

No decision is made here: what the module knows is taken out of it and put into another one.
"""

from __future__ import annotations

from ..interface import Knowledge, KnownServer
from ..policy import Gateway


def learned(module: Gateway) -> Knowledge:
    """What has been learned; what is out, held or counted as tokens stays where it is."""
    plain, load, typical = KnownServer._fields[1:-1], module.overload, module.scores
    pairs = zip(load.arrivals[::2], load.arrivals[1::2], strict=True)
    return Knowledge(
        {
            s.name: KnownServer._make(
                [s.listed_boot, *[getattr(s, name) for name in plain], s.rate.known()]
            )
            for s in module.roster.servers.values()
            if s.seen or s.failures
        },
        {
            c.name: (load.class_r[i], load.class_work[i])
            for i, c in enumerate(module.settings.classes)
        },
        [(w, *pair) for w, pair in zip(load.worths, pairs, strict=True)],
        load.t_arrival, load.t_start, (typical.q, typical.r, typical.all),
        list(typical.service), load.fleet.known(), load.late_sum,
    )  # fmt: skip


def teach(module: Gateway, knowledge: Knowledge) -> None:
    """Let it go on with what the process before has learned.

    Danger: without it the new process takes every server for as good as any and the fleet for
    empty, and fills the slow ones first. What it knows of another life of a server is dropped.
    """
    load, typical = module.overload, module.scores
    for name, known in knowledge.servers.items():
        server = module.roster.servers.get(name)
        if server is not None and server.listed_boot == known.boot:
            for field, value in zip(KnownServer._fields[2:-1], known[2:-1], strict=True):
                setattr(server, field, value)
            server.rate.adopt(known.rate)
    for i, cls in enumerate(module.settings.classes):
        if cls.name in knowledge.classes:
            load.class_r[i], load.class_work[i] = knowledge.classes[cls.name]
    for worth, *counts in knowledge.arrivals:
        if worth in load.worths:
            at = 2 * load.worths.index(worth)
            load.arrivals[at : at + 2] = counts
    load.t_arrival, load.t_start = knowledge.t_arrival, knowledge.t_start
    typical.q, typical.r, typical.all = knowledge.typical
    if len(knowledge.typical_service) == len(typical.service):
        typical.service = list(knowledge.typical_service)
    load.fleet.adopt(knowledge.fleet)
    load.late_sum = knowledge.late_sum
