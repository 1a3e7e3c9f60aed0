"""Commands to a tier of gateways: `tier` and `zones`."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Mapping
from typing import Any, Final

from .admin_client import ask
from .admin_replies import MOVED
from .cli_gateway import admin_socket, check_done, request_reply
from .cli_inspect import show_history
from .cli_outcome import CHANGES, DONE, REFUSED, CommandError
from .schema import read_duration

MAX_DIGEST_LENGTH: Final = 16  # characters of a digest that are printed


def tier(options: argparse.Namespace) -> int:
    """Print a tier's status, members or history, or change its members or pending version."""
    if options.act != "withdraw" and (options.act in ("gone", "join")) != (
        options.name is not None
    ):
        raise CommandError("tier: `gone` and `join` need MEMBER, other actions take none")
    if (options.act == "join") != (options.place is not None):
        raise CommandError("tier: `join` needs MEMBER and HOST:PORT, other actions take no address")
    if options.act == "history":
        return show_history(options)
    act = "status" if options.act == "members" else options.act
    request = {"op": "tier", "act": act, "name": options.name, "place": options.place}
    if act == "withdraw":
        request["serial"] = _serial(options)
    reply = ask(admin_socket(options, None), request)
    if reply.get("code") == MOVED:
        print(f"sailhitch: refused: {reply['error']}", file=sys.stderr)
        return REFUSED
    check_done(reply)
    if options.json:
        print(json.dumps(reply))
    else:
        _print_tier_reply(options.act, reply)
    return CHANGES if options.act == "status" and reply.get("pending") else DONE


def _serial(options: argparse.Namespace) -> int | None:
    """Return the serial to withdraw; None if any pending version may be."""
    if options.name is None:
        return None
    try:
        return int(options.name)
    except ValueError:
        raise CommandError(f"tier: `withdraw` takes a serial, not {options.name!r}") from None


def _print_tier_reply(act: str, reply: Mapping[str, Any]) -> None:
    if act == "status":
        _print_status(reply)
    elif act == "members":
        for member in reply["members"]:
            print(_describe_member(member))
    elif act == "withdraw":
        print(f"serial {reply['withdrawn']} is withdrawn")
    elif act == "join":
        print(f"the tier looks for {reply['joins']} at {reply['place']}; it joins automatically")
    else:
        print(f"changes no longer wait for {reply['gone']}; it rejoins automatically if it returns")


def _print_status(status: Mapping[str, Any]) -> None:
    standing = status["standing"] if status["standing"] == "in" else f"out, {status['why']}"
    print(f"tier {status['tier']}, as seen by {status['name']}: {standing}")
    print(f"turn {status['turn']}, active serial {status['active']}")
    if status["pending"] is not None:
        names = ", ".join(status["waiting_for"]) or "nobody"
        print(f"pending serial {status['pending']}, waiting for {names}")
    if status["voter"] is not None:
        old_disk = ", started from an outdated disk" if status["old_disk"] else ""
        print(f"voter: {status['voter']}{old_disk}")
    if status.get("fetching") is not None:  # not sent by gateways of earlier releases
        print(_describe_fetch(status["fetching"], status["jobs"]))
    if status["silent"]:
        print(f"silent: {status['silent']}")
    for member in status["members"]:
        if member["trouble"] or member["name"] in status["waiting_for"]:
            print(_describe_member(member))


def _describe_fetch(fetch: Mapping[str, Any], jobs: int) -> str:
    oldest = f"{fetch['digest'][:MAX_DIGEST_LENGTH]} for {fetch['age'] / 1e6:.1f} s"
    others = f", {fetch['count'] - 1} more" if fetch["count"] > 1 else ""
    waiting = f"; {jobs} reads or changes on this gateway are waiting" if jobs else ""
    return f"fetching {oldest}, now from {fetch['source']}{others}{waiting}"


def _describe_member(member: Mapping[str, Any]) -> str:
    age = member["age"]
    heard = "never heard from" if age is None else f"heard from {age / 1e6:.1f} s ago"
    voter = " voter" if member["voter"] else ""
    outside = " not in the roster" if member["inside"] is False else ""
    place = f" at {member['place']}" if member["place"] else ""
    health = f", {member['health']}" if member["health"] != "alive" else ""
    fault = f": {member['trouble']}" if member["trouble"] else ""
    confirmed = f"confirmed turn {member['confirmed']}"
    return f"  {member['name']}{voter}{outside}{place}, {confirmed}, {heard}{health}{fault}"


def zones(options: argparse.Namespace) -> int:
    """Print the health of the zones, or order the tier to leave a zone or return to it."""
    if (options.act in ("leave", "return")) != (options.zone is not None):
        raise CommandError("zones: `leave` and `return` need ZONE, other actions take none")
    request = {
        "op": "zones",
        "act": options.act,
        "zone": options.zone,
        "why": options.why,
        "step": _step_duration(options),
        "dry_run": options.dry_run,
    }
    reply = request_reply(options, None, request)
    if options.json:
        print(json.dumps(reply))
    elif options.act == "status":
        _print_zones(reply)
    elif reply.get("dry_run"):
        _print_dry_run(reply)
    elif reply.get("pending"):
        print(f"serial {reply['serial']} accepted; waiting for {', '.join(reply['waiting_for'])}")
    else:
        print(f"serial {reply['serial']}: applied by all reachable members")
    return CHANGES if reply.get("pending") else DONE


def _step_duration(options: argparse.Namespace) -> int | None:
    """Return how long a step lasts, in microseconds; None if the option is not given."""
    if options.step is None:
        return None
    try:
        return read_duration(options.step)
    except ValueError as error:
        raise CommandError(f"zones: --step: {error}") from None


def _print_dry_run(reply: Mapping[str, Any]) -> None:
    for name, pool in reply["pools"].items():
        print(
            f"pool {name}: {pool['in_use']} of {pool['nodes']} nodes in use, {pool['before']} "
            f"now; each would carry {pool['each_carries']} times as much"
        )


def _print_zones(reply: Mapping[str, Any]) -> None:
    hold = f", held: {reply['held']}" if reply["held"] else ""
    print(f"serial {reply['serial']}, mode {reply['mode']}{hold}")
    for name, zone in reply["zones"].items():
        print(f"  {name or '(none)'}: {zone['finding']} ({zone['sure']:.0%} agree): {zone['seen']}")
        if zone["phase"] == "in use":
            print(f"    all of {zone['nodes']} nodes in use")
            continue
        relapses = f", {zone['relapses']} relapses" if zone["relapses"] else ""
        print(
            f"    {zone['phase']}, {zone['in_use']} of {zone['nodes']} nodes in use"
            f"{relapses}; {zone['failed']} of {zone['ended']} requests failed; waiting for "
            f"{zone['waits_for']}; by {zone['by']}: {zone['why'] or '-'}"
        )
