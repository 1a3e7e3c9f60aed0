"""The platform's wiring: one pool, one HTTP/1.1 listener, members from its discovery."""

from __future__ import annotations

import asyncio

from ..core.core import Core
from ..core.log import Log
from ..core.pool import Pool
from ..core.terms import Address
from .config import Config
from .discovery import Discovery
from .downstream import Listener
from .intake import PlatformIntake
from .upstream import Hosts


class Platform:
    """A gateway as the platform starts it."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, log: Log) -> None:
        self.config = config
        self.core = Core(config.bounds(), loop, log)
        self.pool = Pool(self.core, "hosts", config.settings, config.seed, config.reach(), Hosts)
        self.core.pools.append(self.pool)
        self.intake = PlatformIntake(self.pool, config.settings, config.wire)
        self.discovery = Discovery(self.pool, config)

    def begin(self) -> None:
        """Start with the list as last known; nothing is listened for yet."""
        self.core.begin()
        self.pool.start(self.config.known)

    def listen(self, address: Address, backlog: int) -> Listener:
        """Take clients in; raises OSError."""
        listener = Listener(self.core, self.intake, address, backlog)
        listener.start()
        return listener

    def reconfigure(self, config: Config) -> None:
        """Go by a new configuration, with all that is open going on.

        Its list of hosts is older than what discovery has said since, and name, listening address
        and seed belong to the process. They stay.
        """
        self.config = config
        self.core.reconfigure(config.bounds())
        self.intake.settings, self.intake.wire = config.settings, config.wire
        self.pool.reconfigure(config.settings, config.reach())
        self.discovery.reconfigure(config)
