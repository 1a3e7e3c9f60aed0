"""Reasons to reject an operator's command about a member; an empty text permits it."""

from __future__ import annotations


def why_not_evictable(
    is_member: bool, is_self: bool, age: int, min_silence: int, may_act: bool
) -> str:
    """Return why a member must not be evicted.

    Args:
        is_member: It is in the configuration.
        is_self: It is the gateway that was asked.
        age: Microseconds since its latest heartbeat.
        min_silence: Microseconds without a heartbeat before it may be evicted.
        may_act: No lease keeps it from acting, and it is not declared dead.
    """
    if not is_member:
        return "not in the roster; `sailhitch tier members` shows it"
    if is_self:
        return "is the gateway that you ask, and surely not dead"
    if age < min_silence:
        return (
            f"a sign of life came {age / 1e6:.1f} s ago, and `gone` is for one that gave none "
            f"for {min_silence / 1e6:g} s: end its process first"
        )
    if may_act:
        return (
            "is not told dead: somebody may still reach it, and with no lease nothing keeps "
            "it from acting; wait until `sailhitch tier members` says so"
        )
    return ""


def why_not_admitted(is_member: bool, is_dead: bool) -> str:
    """Return why a member must not be given another address."""
    if is_member and not is_dead:
        return (
            "is in the roster and not told dead, and two processes of one name would both "
            "stand back; end it first, and wait until `sailhitch tier members` says so"
        )
    return ""
