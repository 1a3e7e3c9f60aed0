"""Read-only commands: `check`, `state`, `hosts` and `history`."""

from __future__ import annotations

import argparse
import json
import sys

from .cli_gateway import format_time, request_history, request_live_state, request_reply
from .cli_outcome import DONE
from .schema import OperatorFile, load_file
from .state import State, digest, from_file, with_bans


def check(options: argparse.Namespace) -> int:
    """Check an operator file; compare it with a running gateway if a socket is given."""
    operator_file = load_file(options.file)
    warnings = _warnings(operator_file)
    state = from_file(operator_file)
    counts = {kind: len(objects) for kind, objects in state.items()}
    matches_live = (
        None if options.admin is None else _matches_live_state(options, operator_file, state)
    )
    if options.json:
        report = {"ok": True, "digest": digest(state), "counts": counts, "warnings": warnings}
        print(json.dumps(report if matches_live is None else {**report, "live": matches_live}))
        return DONE
    for warning in warnings:
        print(f"sailhitch: warning: {warning}", file=sys.stderr)
    print(f"{options.file}: valid; " + ", ".join(f"{n} {kind}" for kind, n in counts.items()))
    if matches_live is not None:
        print("the gateway matches the file" if matches_live else "the gateway differs; see `plan`")
    return DONE


def _matches_live_state(
    options: argparse.Namespace, operator_file: OperatorFile, state: State
) -> bool:
    """Return whether the running gateway's state equals the file's, leaving bans aside."""
    reply = request_live_state(options, operator_file)
    live: State = reply["state"]
    wanted = with_bans(state, live)
    return live == ({**wanted, "listeners": {}} if "tier" in reply else wanted)


def _warnings(operator_file: OperatorFile) -> list[str]:
    """Return warnings about settings that are valid but probably unintended."""
    gateway = operator_file.gateway
    warnings = []
    if operator_file.tenants and gateway.rate is None:
        warnings.append(
            "tenants: shares have no effect without gateway.rate, which they are parts of"
        )
    if gateway.state_dir is None:
        warnings.append(
            "gateway.state_dir: not set; applied changes are lost when the process ends"
        )
    if gateway.admin is None:
        warnings.append("gateway.admin: not set; `plan` and `apply` cannot reach this gateway")
    used = {pool for route in operator_file.routes for pool in route.pools}
    warnings += [
        f"pools: no route leads to {pool.name!r}"
        for pool in operator_file.pools
        if pool.name not in used
    ]
    warnings += [
        f"pools: {pool.name!r} has no nodes" for pool in operator_file.pools if not pool.nodes
    ]
    return warnings


def show_state(options: argparse.Namespace) -> int:
    """Print the gateway's live state."""
    reply = request_live_state(options, None)
    if options.json:
        print(json.dumps(reply))
        return DONE
    print(
        f"gateway {reply['gateway']}, serial {reply['serial']}, "
        f"{format_time(reply)} by {reply['by']}"
    )
    for kind, objects in reply["state"].items():
        for name, fields in objects.items():
            shown = " ".join(f"{f}={json.dumps(v)}" for f, v in fields.items() if v is not None)
            print(f"{kind} {name}: {shown}")
    return DONE


def show_hosts(options: argparse.Namespace) -> int:
    """Print the current status of the nodes of all pools."""
    pools = request_reply(options, None, {"op": "hosts"})["pools"]
    if options.json:
        print(json.dumps(pools))
        return DONE
    for pool, nodes in pools.items():
        for node in nodes:
            failing = " failing" if node["failing"] else ""
            print(
                f"{pool}/{node['node']} {node['address']} {node['state']} "
                f"weight={node['weight']:g} out={node['outstanding']}{failing}"
            )
    return DONE


def show_history(options: argparse.Namespace) -> int:
    """Print the applied states in the gateway's history."""
    history = request_history(options)
    if options.json:
        print(json.dumps(history))
        return DONE
    for record in history:
        print(f"{record['serial']:6} {format_time(record)} {record['by']}: {record['summary']}")
    return DONE
