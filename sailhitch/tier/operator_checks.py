"""Reasons to reject an operator's command about a member; an empty text permits it."""

from __future__ import annotations


def why_not_evictable(
    is_member: bool, is_self: bool, age: int, min_silence: int, may_act: bool
) -> str:
    """Return why a member must not be evicted.

    Args:
        is_member: It is in the configuration.
        is_self: It is the gateway that runs the command.
        age: Microseconds since its latest heartbeat.
        min_silence: Microseconds without a heartbeat before it may be evicted.
        may_act: No lease keeps it from acting, and it is not declared dead.
    """
    if not is_member:
        return "not in the roster; `sailhitch tier members` shows it"
    if is_self:
        return "is the gateway that runs this command, so it is alive"
    if age < min_silence:
        return (
            f"its last heartbeat came {age / 1e6:.1f} s ago, and `gone` requires "
            f"{min_silence / 1e6:g} s without one: end its process first"
        )
    if may_act:
        return (
            "is not declared dead: others may still reach it, and without a lease nothing stops "
            "it from acting; wait until `sailhitch tier members` shows it as dead"
        )
    return ""


def why_not_admitted(is_member: bool, is_dead: bool) -> str:
    """Return why a member must not be given another address."""
    if is_member and not is_dead:
        return (
            "is in the roster and not declared dead, and of two processes with one name neither "
            "may act; end it first, and wait until `sailhitch tier members` shows it as dead"
        )
    return ""
