"""The number of servers that a gateway needs in its subset."""

from __future__ import annotations

import math
from typing import Final

GATEWAYS_PER_SERVER: Final = 10  # subsets that contain a given server, so that load evens out
MIN_SERVERS: Final = 8  # minimum size, so that there is a choice when some servers fail
# Seconds in which a gateway returns to the same server at the latest: its last report then still
# counts.
REPORT_LIFETIME_S: Final = 0.5
RATE_TAU: Final = 4_000_000  # us; time constant of the request rate
PEAK_TAU: Final = 20_000_000  # us; time constant at which the peak of that rate decays


class SubsetSizer:
    """The target size of the subset, by the size of the tier and this gateway's request rate."""

    def __init__(self, gateway_count: int) -> None:
        self.gateway_count = gateway_count
        self.rate = self.peak = 0.0  # requests per second; the peak decays slowly
        self._since = self._last = 0

    def on_request(self, now: int) -> None:
        """Count a request at this time in microseconds."""
        if not self._since:
            self._since = self._last = now
        elapsed = now - self._last
        self._last = now
        self.rate = self.rate * math.exp(-elapsed / RATE_TAU) + 1e6 / RATE_TAU
        # The rate is corrected for the part of the window before the first request, but at least a
        # second counts as passed: two requests at the start are not enough to estimate a rate.
        window = 1.0 - math.exp(-max(now - self._since, 1_000_000) / RATE_TAU)
        self.peak = max(self.rate / window, self.peak * math.exp(-elapsed / PEAK_TAU))

    def target_size(self, server_count: int) -> int:
        """Return the target size of the subset, given the number of servers.

        With `gateway_count` gateways, each server is then in at least `GATEWAYS_PER_SERVER`
        subsets. A gateway with much traffic gets a larger subset, so that it sends no more to each
        server than other gateways do.
        """
        cover = math.ceil(GATEWAYS_PER_SERVER * server_count / self.gateway_count)
        return min(server_count, max(MIN_SERVERS, cover, math.ceil(self.peak * REPORT_LIFETIME_S)))
