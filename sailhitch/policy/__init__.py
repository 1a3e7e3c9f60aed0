"""Decision module: server selection, retries, shedding; types: sailhitch/policy_interface.py.

It implements C3 adaptive replica selection without doing any I/O. It ranks servers by C3's cubic
score, limits the send rate to each server with a cubic rate controller, and queues requests in a
backlog when every eligible server is saturated. The embedding gateway passes in events with their
timestamps and carries out the actions, which leave through `Port`.

Times are integer microseconds on the caller's clock, rates are per second. Instances share no
state, and all randomness comes from the seed. Doc comments give the C3 paper's symbol for each
quantity that the paper defines. Each module has one responsibility, holds the state for it, and
imports only from the modules listed before it:

    counters        counters of decisions, for the log
    rate            the cubic rate controller (algorithm 2)
    server          the state of one server
    request         an unanswered request, and whether it is safe to send again
    retry           whether a failed request may be retried
    slow_start      the share of requests for servers that are warming up
    endpoint_table  all servers, and the candidates for a request
    score           C3's cubic score, and the averages it is computed from
    overload        the rate that the fleet accepts, and load shedding
    health          what an attempt's outcome means for its server
    backlog         held requests, the retry budget, and hedging
    watch           when to (re)open the watch on the endpoint list
    gateway         handles the events, using all of the above
"""

from .gateway import Gateway
from .request import WINDOW_MARGIN

__all__ = ["WINDOW_MARGIN", "Gateway"]
