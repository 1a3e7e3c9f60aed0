"""All decisions of one gateway; types, events and actions stand in sailhitch/interface.py.

C3 adaptive replica selection, sans-IO: a gateway ranks servers by C3's cubic score, sends within
a cubic-adapted rate per server, and holds requests in a backlog when every server it may use is
saturated. The embedding gateway feeds events with their time and carries out what goes through
`Port`.

Times are integer microseconds of the clock handed in, rates are requests a second. Nothing is
shared between instances, and randomness comes from the seed alone. The quantities that the paper
names keep its names: srate, rrate, q_hat, psi, outstanding. Each file has one duty, holds the
state of its decisions, and imports only those before it:

    rate      the cubic rate of sending (algorithm 2)
    server    what a server is known by
    request   what is owed, and the rule on effects
    cold      cold servers' slices: the rule on those that have just started
    roster    which servers there are, and which are looked at for a request
    score     C3's cubic score, and the figures it goes by
    overload  what the fleet takes, and what is refused at the door
    health    what an outcome says of its server: saturated, failing, resting
    backlog   what waits for a token, and what further attempts may cost
    gateway   the events, and what holds all of these
"""

from .gateway import Gateway
from .request import WINDOW_MARGIN

__all__ = ["WINDOW_MARGIN", "Gateway"]
