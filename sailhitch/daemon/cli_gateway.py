"""Requests from commands to the running gateway, and formatting of its replies."""

from __future__ import annotations

import argparse
import datetime
import sys
import time
from collections.abc import Mapping
from typing import Any, Final, cast

from .admin_client import ask
from .admin_replies import AppliedRecord, HistoryReply, StateReply
from .cli_outcome import CommandError
from .schema import OperatorFile

POLL_INTERVAL: Final = 0.3  # s between two requests for the status of a pending change


def admin_socket(options: argparse.Namespace, operator_file: OperatorFile | None) -> str:
    """Return the admin socket's path, from the option or the file; raises CommandError."""
    path = options.admin or (operator_file.gateway.admin if operator_file is not None else None)
    if not path:
        raise CommandError("which gateway? give --admin SOCKET, or set SAILHITCH_ADMIN")
    return str(path)


def request_reply(
    options: argparse.Namespace, operator_file: OperatorFile | None, request: Mapping[str, Any]
) -> dict[str, Any]:
    """Send a request and return the reply; raises CommandError if the gateway reports an error."""
    reply = ask(admin_socket(options, operator_file), request)
    check_done(reply)
    return reply


def check_done(reply: Mapping[str, Any]) -> None:
    """Raise CommandError with the gateway's reason if the reply is an error."""
    if not reply.get("ok"):
        raise CommandError(str(reply.get("error", "the gateway refused it and gave no reason")))


def request_live_state(
    options: argparse.Namespace, operator_file: OperatorFile | None
) -> StateReply:
    """Return the reply with the gateway's live state."""
    return cast(StateReply, request_reply(options, operator_file, {"op": "state"}))


def request_history(options: argparse.Namespace) -> list[AppliedRecord]:
    """Return the gateway's applied states, oldest first, without their contents."""
    reply = cast(HistoryReply, request_reply(options, None, {"op": "history"}))
    return reply["history"]


def wait_if_asked(options: argparse.Namespace, reply: dict[str, Any]) -> dict[str, Any]:
    """Wait for a pending change if `--wait` was given; return the final reply."""
    if reply.get("pending") and options.wait:
        return _wait_until_active(options, reply["serial"])
    return reply


def _wait_until_active(options: argparse.Namespace, serial: int) -> dict[str, Any]:
    """Wait until a pending version is active or withdrawn; print the members it waits for."""
    last_printed = ""
    while True:
        request = {"op": "tier", "act": "status", "serial": serial}
        status = request_reply(options, None, request)
        if status["pending"] != serial:
            break
        text = _confirmation_progress(serial, status)
        if text != last_printed:
            print(f"sailhitch: {text}", file=sys.stderr, flush=True)
        last_printed = text
        time.sleep(POLL_INTERVAL)
    _check_was_active(options, serial, status)
    return {"ok": True, "serial": serial}


def _check_was_active(options: argparse.Namespace, serial: int, status: Mapping[str, Any]) -> None:
    """Raise CommandError if a version that is no longer pending is not known to have been active.

    Later versions may have followed it before this gateway had applied it.
    """
    if serial == status["active"] or status.get("was_active"):
        return
    if serial in [record["serial"] for record in request_history(options)]:
        return
    # Gateways of earlier releases don't tell whether it was active.
    if status.get("was_active", False) is False:
        raise CommandError(f"serial {serial} was withdrawn")
    raise CommandError(
        f"serial {serial} is not pending any more, and this gateway does not know whether it was "
        "active; do not repeat the change before `sailhitch state` shows what is in force"
    )


def _confirmation_progress(serial: int, status: Mapping[str, Any]) -> str:
    waiting_for = status["waiting_for"]
    member_count = sum(bool(member["inside"]) for member in status["members"])
    return (
        f"serial {serial}: {member_count - len(waiting_for)} of {member_count} "
        f"have confirmed; waiting for {', '.join(waiting_for) or 'nobody'}"
    )


def describe_outcome(reply: Mapping[str, Any]) -> str:
    """Return the serial of an active change, or the reason why a change is pending."""
    return str(reply["error"]) if reply.get("pending") else f"serial {reply['serial']}"


def format_time(record: Mapping[str, Any]) -> str:
    """Return a record's `when`, the time of an apply or a ban, as text."""
    when = datetime.datetime.fromtimestamp(record["when"] / 1e6, datetime.UTC)
    return when.strftime("%Y-%m-%d %H:%M:%S UTC")
