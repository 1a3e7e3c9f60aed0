"""Which of the servers a gateway uses, where the tier is so large that each sees little of each.

Sans-IO, and no part of the decision module, which goes on deciding which server a request goes to
among those that are in reach. `ring` says which servers, `width` how many, `reach` keeps to both
while servers come, go and fail. docs/design/reach.md weighs the ways and has the bounds.
"""

from .reach import Reach

__all__ = ["Reach"]
