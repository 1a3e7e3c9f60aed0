"""Snapshots of what the decision module has learned, for the process that takes over.

No decision is made here.
"""

from __future__ import annotations

from ..policy import Gateway
from ..policy_interface import PolicySnapshot, ServerSnapshot


def take_snapshot(policy: Gateway) -> PolicySnapshot:
    """Return what was learned; attempts, held requests and tokens are not part of it."""
    fields = ServerSnapshot._fields[1:-1]
    overload = policy.overload
    scores = policy.scores
    pairs = zip(overload.arrivals[::2], overload.arrivals[1::2], strict=True)
    return PolicySnapshot(
        {
            s.name: ServerSnapshot._make(
                [
                    s.listed_started_at,
                    *[getattr(s, name) for name in fields],
                    s.rate.take_snapshot(),
                ]
            )
            for s in policy.endpoint_table.servers.values()
            if s.answered_at or s.ejections
        },
        {
            c.name: (overload.class_latency[i], overload.class_work[i])
            for i, c in enumerate(policy.settings.classes)
        },
        [(w, *pair) for w, pair in zip(overload.priority_levels, pairs, strict=True)],
        overload.arrivals_at,
        overload.started_at,
        (
            scores.typical_queue,
            scores.typical_response_time,
            scores.typical_service_time,
        ),
        list(scores.typical_service_times),
        overload.fleet.take_snapshot(),
        overload.late_sum,
    )


def restore_snapshot(policy: Gateway, snapshot: PolicySnapshot) -> None:
    """Continue with what the predecessor has learned.

    Without it a new process would take all servers for equal and idle, and overload the slow ones
    first. What was learned of another instance of a server is dropped.
    """
    overload = policy.overload
    scores = policy.scores
    for name, known in snapshot.servers.items():
        server = policy.endpoint_table.servers.get(name)
        if server is not None and server.listed_started_at == known.started_at:
            for field, value in zip(ServerSnapshot._fields[2:-1], known[2:-1], strict=True):
                setattr(server, field, value)
            server.rate.restore_snapshot(known.rate)
    for i, cls in enumerate(policy.settings.classes):
        if cls.name in snapshot.classes:
            overload.class_latency[i], overload.class_work[i] = snapshot.classes[cls.name]
    for worth, *counts in snapshot.arrivals:
        if worth in overload.priority_levels:
            at = 2 * overload.priority_levels.index(worth)
            overload.arrivals[at : at + 2] = counts
    overload.arrivals_at = snapshot.arrivals_at
    overload.started_at = snapshot.started_at
    queue, response_time, service_time = snapshot.typical
    scores.typical_queue = queue
    scores.typical_response_time = response_time
    scores.typical_service_time = service_time
    if len(snapshot.typical_service_times) == len(scores.typical_service_times):
        scores.typical_service_times = list(snapshot.typical_service_times)
    overload.fleet.restore_snapshot(snapshot.fleet)
    overload.late_sum = snapshot.late_sum
