"""Deterministic subsetting: which servers a gateway of a large tier uses.

Sans-IO, and no part of the decision module, which chooses among the servers in reach. `ring` says
which servers, `width` how many, and `reach` keeps to both while servers come, go and fail.
docs/design/reach.md has the bounds and the alternatives.
"""

from .reach import Reach

__all__ = ["Reach"]
