"""The platform's wiring: one pool, one HTTP/1.1 listener, members from its discovery."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from ..core.core import GatewayCore
from ..core.endpoints import Address, EndpointUpdate
from ..core.log import Log
from ..core.pool import Pool
from ..core.resource_limits import ResourceLimits
from ..policy_interface import WatchEventKind
from .config import Config
from .connection_pool import ConnectionPool
from .discovery import Discovery
from .intake import PlatformIntake
from .listener import Listener


class Platform:
    """A gateway as the platform starts it."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, log: Log) -> None:
        self.config = config
        self.core = GatewayCore(config.limits(), loop, log)
        self.pool = Pool(
            self.core,
            "hosts",
            config.settings,
            config.seed,
            config.connection_settings(),
            ConnectionPool,
        )
        self.core.pools.append(self.pool)
        self.intake = PlatformIntake(self.pool, config.names)
        self.discovery = Discovery(self.pool, config)
        # What of the gateway's bounds is this process's, where it has another beside it.
        self.apply_share: Callable[[ResourceLimits], ResourceLimits] = lambda whole: whole

    def begin(self) -> None:
        """Start with the list as last known; nothing is listened for yet."""
        self.core.start()
        self.pool.start(self.config.known_endpoints)

    def inherit(self, roster: EndpointUpdate) -> None:
        """Go by the list of the process before this one, which is newer than the file's."""
        self.pool.apply_update(roster, WatchEventKind.RESTORED)
        self.discovery.inherit(roster.version)

    def listen(self, address: Address, backlog: int, held: socket.socket | None = None) -> Listener:
        """Return where clients come; they are taken in once it is started. Raises OSError."""
        return Listener(self.core, self.intake, address, backlog, held)

    def resize(self) -> None:
        """Go by what is this process's of the bounds as they are."""
        self.core.reconfigure(self.apply_share(self.config.limits()))

    def reconfigure(self, config: Config) -> None:
        """Go by a new configuration, with all that is open going on.

        Its list of hosts is older than what discovery has said since, and name, listening address
        and seed belong to the process. They stay.
        """
        self.config = config
        self.resize()
        also = self.intake.reconfigure(self.core.clock(), config.settings, config.names)
        self.pool.reconfigure(config.settings, config.connection_settings(), also)
        self.discovery.reconfigure(config)
