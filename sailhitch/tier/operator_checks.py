"""Why what an operator asks about a member is refused; an empty text: it is not."""

from __future__ import annotations


def why_not_evictable(is_inside: bool, is_self: bool, age: int, quiet: int, may_act: bool) -> str:
    """Return why nobody should declare a member gone.

    `age` is the time since its last sign of life and `quiet` the least it must be, in microseconds.
    `may_act`: no lease keeps it from acting, and it is not declared dead.
    """
    if not is_inside:
        return "not in the roster; `sailhitch tier members` shows it"
    if is_self:
        return "is the gateway that you ask, and surely not dead"
    if age < quiet:
        return (
            f"a sign of life came {age / 1e6:.1f} s ago, and `gone` is for one that gave none "
            f"for {quiet / 1e6:g} s: end its process first"
        )
    if may_act:
        return (
            "is not told dead: somebody may still reach it, and with no lease nothing keeps "
            "it from acting; wait until `sailhitch tier members` says so"
        )
    return ""


def why_not_admitted(is_inside: bool, is_dead: bool) -> str:
    """Return why a member should not be looked for at another address."""
    if is_inside and not is_dead:
        return (
            "is in the roster and not told dead, and two processes of one name would both "
            "stand back; end it first, and wait until `sailhitch tier members` says so"
        )
    return ""
