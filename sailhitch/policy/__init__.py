"""All decisions of one gateway; types, events and actions stand in sailhitch/policy_interface.py.

C3 adaptive replica selection, sans-IO: a gateway ranks servers by C3's cubic score, sends within
a cubic-adapted rate per server, and holds requests in a backlog when every server it may use is
saturated. The embedding gateway feeds events with their time and carries out what goes through
`Port`.

Times are integer microseconds of the clock handed in, rates are requests a second. Nothing is
shared between instances, and randomness comes from the seed alone. The quantities that the paper
names are given by the paper's symbols in the doc comments. Each file has one duty, holds the
state of its decisions, and imports only those before it:

    counters  what is counted for the log
    rate      the cubic rate of sending (algorithm 2)
    server    what is known of a server
    request   a request without a final response, and the rule on effects
    retry     whether a request may have another attempt
    slow_start  shares of servers that are warming up
    endpoint_table  which servers there are, and which are considered for a request
    score     C3's cubic score, and the measurements behind it
    overload  the rate that the fleet takes, and load shedding
    health    what an outcome says of its server
    backlog   held requests, and the budget of retries
    watch     when to watch the endpoint list again
    gateway   the events, and all of these together
"""

from .gateway import Gateway
from .request import WINDOW_MARGIN

__all__ = ["WINDOW_MARGIN", "Gateway"]
