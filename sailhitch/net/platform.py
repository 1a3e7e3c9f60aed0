"""The gateway as the platform runs it: one pool, one HTTP/1.1 listener, hosts from discovery."""

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
    """A gateway that is configured by the platform."""

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
        # This process's share of the gateway's limits, while another process of it is running.
        self.apply_share: Callable[[ResourceLimits], ResourceLimits] = lambda limits: limits

    def begin(self) -> None:
        """Start with the last known list of hosts; does not listen yet."""
        self.core.start()
        self.pool.start(self.config.known_endpoints)

    def inherit(self, endpoints: EndpointUpdate) -> None:
        """Use the list of hosts of the previous process, which is newer than that in the file."""
        self.pool.apply_update(endpoints, WatchEventKind.RESTORED)
        self.discovery.inherit(endpoints.version)

    def listen(
        self, address: Address, backlog: int, listening_socket: socket.socket | None = None
    ) -> Listener:
        """Return a listener for clients; it accepts once it is started. Raises OSError."""
        return Listener(self.core, self.intake, address, backlog, listening_socket)

    def resize(self) -> None:
        """Apply this process's share of the current limits."""
        self.core.reconfigure(self.apply_share(self.config.limits()))

    def reconfigure(self, config: Config) -> None:
        """Apply a new configuration; open requests and connections continue.

        Its list of hosts is ignored, as discovery has sent newer ones since. Name, listening
        address and seed belong to the process and are kept, too.
        """
        self.config = config
        self.resize()
        previous_classes = self.intake.reconfigure(self.core.clock(), config.settings, config.names)
        self.pool.reconfigure(config.settings, config.connection_settings(), previous_classes)
        self.discovery.reconfigure(config)
