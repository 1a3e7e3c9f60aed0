"""Snapshots of the decision module's learned state, for a successor process to continue with."""

from __future__ import annotations

from ..policy import Gateway
from ..policy_interface import PolicySnapshot, ServerSnapshot


def take_snapshot(policy: Gateway) -> PolicySnapshot:
    """Return the learned state; attempts, queued requests and tokens are not part of it."""
    fields = ServerSnapshot._fields[1:-1]
    overload = policy.overload
    scores = policy.scores
    pairs = zip(overload.arrivals[::2], overload.arrivals[1::2], strict=True)
    return PolicySnapshot(
        {
            server.name: ServerSnapshot._make(
                [
                    server.listed_started_at,
                    *[getattr(server, name) for name in fields],
                    server.rate.take_snapshot(),
                ]
            )
            for server in policy.endpoint_table.servers.values()
            if server.answered_at or server.ejections
        },
        {
            request_class.name: (overload.class_latency[i], overload.class_work[i])
            for i, request_class in enumerate(policy.settings.classes)
        },
        [(weight, *pair) for weight, pair in zip(overload.priority_levels, pairs, strict=True)],
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
    """Continue with the predecessor's learned state.

    Without it a new process would assume that all servers are equal and idle, and overload the slow
    ones first. State of a server that has restarted since is dropped.
    """
    overload = policy.overload
    scores = policy.scores
    for name, saved in snapshot.servers.items():
        server = policy.endpoint_table.servers.get(name)
        if server is not None and server.listed_started_at == saved.started_at:
            for field, value in zip(ServerSnapshot._fields[2:-1], saved[2:-1], strict=True):
                setattr(server, field, value)
            server.rate.restore_snapshot(saved.rate)
    for i, request_class in enumerate(policy.settings.classes):
        if request_class.name in snapshot.classes:
            latency, work = snapshot.classes[request_class.name]
            overload.class_latency[i] = latency
            overload.class_work[i] = work
    for weight, *counts in snapshot.arrivals:
        if weight in overload.priority_levels:
            first = 2 * overload.priority_levels.index(weight)
            overload.arrivals[first : first + 2] = counts
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
