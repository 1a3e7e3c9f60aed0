"""The platform's wiring: one pool, one HTTP/1.1 listener, members from its discovery."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from ..core.core import Core
from ..core.log import Log
from ..core.pool import Pool
from ..core.terms import Address, Bounds, Roster
from ..interface import RESTORED
from .config import Config
from .discovery import Discovery
from .intake import PlatformIntake
from .listener import Listener
from .upstream import Hosts


class Platform:
    """A gateway as the platform starts it."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, log: Log) -> None:
        self.config = config
        self.core = Core(config.bounds(), loop, log)
        self.pool = Pool(self.core, "hosts", config.settings, config.seed, config.reach(), Hosts)
        self.core.pools.append(self.pool)
        self.intake = PlatformIntake(self.pool, config.wire)
        self.discovery = Discovery(self.pool, config)
        # What of the gateway's bounds is this process's, where it has another beside it.
        self.fit: Callable[[Bounds], Bounds] = lambda whole: whole

    def begin(self) -> None:
        """Start with the list as last known; nothing is listened for yet."""
        self.core.begin()
        self.pool.start(self.config.known)

    def inherit(self, roster: Roster) -> None:
        """Go by the list of the process before this one, which is newer than the file's."""
        self.pool.take_list(roster, RESTORED)
        self.discovery.inherit(roster.version)

    def listen(self, address: Address, backlog: int, held: socket.socket | None = None) -> Listener:
        """Where clients come; they are taken in once it is started. Raises OSError."""
        return Listener(self.core, self.intake, address, backlog, held)

    def resize(self) -> None:
        """Go by what is this process's of the bounds as they are."""
        self.core.reconfigure(self.fit(self.config.bounds()))

    def reconfigure(self, config: Config) -> None:
        """Go by a new configuration, with all that is open going on.

        Its list of hosts is older than what discovery has said since, and name, listening address
        and seed belong to the process. They stay.
        """
        self.config = config
        self.resize()
        also = self.intake.reconfigure(self.core.clock(), config.settings, config.wire)
        self.pool.reconfigure(config.settings, config.reach(), also)
        self.discovery.reconfigure(config)
