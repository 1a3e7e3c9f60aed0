"""Deterministic subsetting: selects the servers that each gateway of a large tier uses.

It does no I/O and is separate from the decision module, which selects among the servers of the
subset. `ring` determines which servers are in it, `width` how many, and `reach` maintains the
subset while servers are added, removed, or fail. docs/design/reach.md has the bounds and the
alternatives.
"""

from .reach import Subsetter

__all__ = ["Subsetter"]
