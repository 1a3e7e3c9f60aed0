"""The gateway process: configuration, event loop, signals and exit status."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from typing import TYPE_CHECKING, Final

import uvloop

from . import __version__
from .core.log import Log
from .core.process import block_signals, drain, finish, freeze_startup_objects, unblock_signals
from .net.config import Config, ConfigError, adopt_socket, load_config, reload_config
from .net.listener import Listener
from .net.platform import Platform
from .net.system_errors import retry_while_exhausted

if TYPE_CHECKING:
    from .control.server import OperatorServer
    from .handover.takeover import Takeover

USAGE = """usage: python -m sailhitch [--help | --version]

Run one gateway. The environment configures it: EDGE_CONFIG (a JSON file), EDGE_NAME, EDGE_LISTEN
and EDGE_DISCOVERY; optionally EDGE_OPERATOR, the address of the operators' endpoint, and
EDGE_SOCKET_FD, the descriptor of a listening socket that the parent process opened. SIGHUP reloads
EDGE_CONFIG; SIGTERM drains the gateway."""
BACKLOG: Final = 4096
FIRST_LIST_TIMEOUT: Final = 0.5  # s; without an answer of discovery the known list is used
MAX_ERROR_LINES: Final = 12  # logged for one invalid file
REREAD_DELAYS: Final = (0.1, 0.4, 1.0)  # s; the file may still be being written


class Reloader:
    """Reloads the configuration on SIGHUP; keeps the current one if the file is invalid."""

    def __init__(self, platform: Platform, log: Log) -> None:
        self.platform = platform
        self.log = log
        self._retry: asyncio.TimerHandle | None = None

    def reload(self, tries: int = 0) -> None:
        """Read and apply the file; on an error keep the old configuration and retry soon."""
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        try:
            config = reload_config(os.environ, self.platform.config)
            self.platform.reconfigure(config)
        except Exception as error:
            # No error in the file may stop the gateway.
            errors = str(error).splitlines() or [type(error).__name__]
            count = f" ({len(errors)} errors)" if len(errors) > 1 else ""
            self.log.write(f"SIGHUP: keeping the old configuration{count}: {errors[0]:.200}")
            for line in errors[1:MAX_ERROR_LINES]:
                self.log.write(f"SIGHUP: further error: {line:.200}")
            if tries < len(REREAD_DELAYS):
                loop = asyncio.get_running_loop()
                self._retry = loop.call_later(REREAD_DELAYS[tries], self.reload, tries + 1)
            return
        host, port = config.discovery
        self.log.write(f"SIGHUP: new configuration, discovery at {host}:{port}")


async def serve(config: Config, log: Log, inherited: socket.socket | None = None) -> None:
    """Run one gateway until it has drained; `inherited` is a listening socket of the parent."""
    loop = asyncio.get_running_loop()
    platform = Platform(config, loop, log)
    stop = asyncio.Event()

    def on_stop_signal() -> None:
        platform.core.on_stop_signal()
        stop.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_stop_signal)
    unblock_signals(signal.SIGTERM, signal.SIGINT)
    platform.begin()

    async def listen() -> Listener:
        return platform.listen(config.listen, BACKLOG, inherited)

    listener = await retry_while_exhausted(listen)
    takeover = await _take_over(platform, listener) if inherited is not None else None
    operator_server = await _open_operator_server(config, platform, takeover)
    watch = loop.create_task(platform.discovery.run())
    loop.add_signal_handler(signal.SIGHUP, Reloader(platform, log).reload)
    unblock_signals(signal.SIGHUP)
    if inherited is None:
        listener.start()
    _log_start(config, log)
    freeze_startup_objects()
    await _wait_for_list(platform, stop)
    if inherited is not None:
        listener.start()  # until now the predecessor has accepted new clients
    platform.core.ready = not stop.is_set()
    if takeover is not None:
        takeover.ready()
    log.write("ready")
    await stop.wait()
    log.write("SIGTERM: draining")
    await _drain(platform, listener, takeover)
    watch.cancel()
    _close(platform, operator_server, takeover)
    # The signal handlers end with the loop; a later signal would kill the process.
    block_signals()
    log.write("drained")


def _log_start(config: Config, log: Log) -> None:
    host, port = config.listen
    log.write(
        f"sailhitch {__version__} listens on {host}:{port}; "
        f"cores {config.cores:g}, memory {config.memory_mb} MB, sockets {config.descriptors}, "
        f"{len(config.known_endpoints.entries)} hosts known"
    )


async def _wait_for_list(platform: Platform, stop: asyncio.Event) -> None:
    """Wait for discovery's first answer or a stop signal, for at most FIRST_LIST_TIMEOUT."""
    loop = asyncio.get_running_loop()
    waits = [loop.create_task(event.wait()) for event in (platform.discovery.first_call_done, stop)]
    await asyncio.wait(waits, timeout=FIRST_LIST_TIMEOUT, return_when=asyncio.FIRST_COMPLETED)


async def _drain(platform: Platform, listener: Listener, takeover: Takeover | None) -> None:
    """Pass connections on to a successor; without one, serve them until they may be closed."""
    core = platform.core
    if takeover is not None and takeover.can_pass_on():
        await takeover.pass_on()
        await finish(core)
    else:
        await drain(core, listener.close)


def _close(
    platform: Platform, operator_server: OperatorServer | None, takeover: Takeover | None
) -> None:
    core = platform.core
    core.log_statistics(core.clock())
    if operator_server is not None:
        operator_server.close()
    if takeover is not None:
        takeover.close()
    core.stop()


async def _take_over(platform: Platform, listener: Listener) -> Takeover | None:
    """Take over from a predecessor process, if there is one; needs TMPDIR to find it."""
    folder = os.environ.get("TMPDIR")
    if not folder:
        platform.core.logger.write("TMPDIR is not set: no handover from or to another process")
        return None
    # Imported here, so that a gateway without an inherited socket does not load it.
    from .handover.files import HandoverFiles
    from .handover.takeover import Takeover

    takeover = Takeover(platform, listener, HandoverFiles(folder, platform.config.name))
    await takeover.inherit()
    takeover.open()
    return takeover


async def _open_operator_server(
    config: Config, platform: Platform, takeover: Takeover | None
) -> OperatorServer | None:
    if config.operator is None:
        return None
    from .control.handlers import OperatorHandlers
    from .control.server import OperatorServer

    pool = platform.pool
    announce = takeover.mark_changed if takeover else pool.set_maintenance
    server = OperatorServer(OperatorHandlers(pool, announce), pool.core.logger)
    address = config.operator
    await retry_while_exhausted(lambda: server.listen(address))
    return server


def main(arguments: list[str]) -> int:
    """Run the gateway; return 0 after a drain, 2 for a bad argument, setting or address."""
    if arguments in (["--help"], ["-h"]):
        print(USAGE)
        return 0
    if arguments == ["--version"]:
        print(f"sailhitch {__version__}")
        return 0
    if arguments:
        print(f"sailhitch: unknown argument: {arguments[0]}", file=sys.stderr)
        return 2
    block_signals()
    try:
        config = load_config(os.environ)
        inherited = None if config.held_socket is None else adopt_socket(config.held_socket)
    except ConfigError as error:
        for line in str(error).splitlines():
            print(f"sailhitch: {line}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config, Log(config.name), inherited))
    except OSError as error:
        print(f"sailhitch: can't listen: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
