"""How many servers a gateway needs in its subset."""

from __future__ import annotations

import math
from typing import Final

COVER: Final = 10  # gateways whose subset has a given server, so that their load evens out
MIN_SERVERS: Final = 8  # servers in reach, so that there is a choice when some of them fail
FRESH: Final = 0.5  # s after which a server is met again: what it reported then still counts
RATE_TAU: Final = 4_000_000  # us, window of the rate of requests
NARROW_TAU: Final = 20_000_000  # us in which a peak of that rate is forgotten


class Width:
    """The width of the subset, by the size of the tier and this gateway's requests."""

    def __init__(self, gateways: int) -> None:
        self.gateways = gateways
        self.rate = self.peak = 0.0  # requests a second; the peak fades slowly
        self._since = self._last = 0

    def on_request(self, now: int) -> None:
        """Count a request at this time (us)."""
        if not self._since:
            self._since = self._last = now
        gap = now - self._last
        self._last = now
        self.rate = self.rate * math.exp(-gap / RATE_TAU) + 1e6 / RATE_TAU
        # A window that stood empty before the first request is read by as much as there was of it,
        # but a second at the least: two requests at a start are no rate.
        window = 1.0 - math.exp(-max(now - self._since, 1_000_000) / RATE_TAU)
        self.peak = max(self.rate / window, self.peak * math.exp(-gap / NARROW_TAU))

    def wanted(self, servers: int) -> int:
        """Return how many of so many servers.

        With `gateways` gateways a server is then in the reach of `COVER` of them, or of more; one
        gateway to which much comes reaches further, so that what it sends to each server is no
        more than what others do.
        """
        cover = math.ceil(COVER * servers / self.gateways)
        return min(servers, max(MIN_SERVERS, cover, math.ceil(self.peak * FRESH)))
