"""The real gateway's process: configuration, loop, signals and exit."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from typing import TYPE_CHECKING

import uvloop

from . import __version__
from .core.log import Log
from .core.process import drain, finish, heed, hold_signals, settle_memory
from .net.config import Config, ConfigError, adopt_socket, load_config, reload_config
from .net.listener import Listener
from .net.platform import Platform
from .net.system_errors import retry_shortage

if TYPE_CHECKING:
    from .control.server import OperatorServer
    from .handover.takeover import Takeover

USAGE = """usage: python -m sailhitch [--help | --version]

One real gateway. It is told all it needs by the environment: EDGE_CONFIG (a JSON file), EDGE_NAME,
EDGE_LISTEN and EDGE_DISCOVERY; EDGE_OPERATOR is where staff call, and EDGE_SOCKET_FD a descriptor
that clients come to, held by whoever starts it. SIGHUP makes it read EDGE_CONFIG anew; SIGTERM
drains it."""
BACKLOG = 4096
FIRST_LIST = 0.5  # s; with discovery silent until then it serves by the known list
MOST_WRONG = 12  # lines about one file
REREAD = (0.1, 0.4, 1.0)  # s; a file that is still being written can be read a little later


class Reloader:
    """SIGHUP: goes by the file as it is now, or by the old configuration if it can't be read."""

    def __init__(self, platform: Platform, log: Log) -> None:
        self.platform = platform
        self.log = log
        self._again: asyncio.TimerHandle | None = None

    def reload(self, tries: int = 0) -> None:
        """Read the file and apply it; on an error keep the old configuration and try again soon."""
        if self._again is not None:
            self._again.cancel()
            self._again = None
        try:
            config = reload_config(os.environ, self.platform.config)
            self.platform.reconfigure(config)
        except Exception as error:
            # Whatever is wrong with the file, the gateway goes on as it was.
            wrong = str(error).splitlines() or [type(error).__name__]
            more = f" ({len(wrong)} things are wrong)" if len(wrong) > 1 else ""
            self.log.write(f"SIGHUP: the old configuration stays{more}: {wrong[0]:.200}")
            for line in wrong[1:MOST_WRONG]:
                self.log.write(f"SIGHUP: also {line:.200}")
            if tries < len(REREAD):
                loop = asyncio.get_running_loop()
                self._again = loop.call_later(REREAD[tries], self.reload, tries + 1)
            return
        host, port = config.discovery
        self.log.write(f"SIGHUP: new configuration, discovery at {host}:{port}")


async def serve(config: Config, log: Log, held: socket.socket | None = None) -> None:
    """Run one gateway until SIGTERM has been honoured; `held` is a socket that clients come to."""
    loop = asyncio.get_running_loop()
    platform = Platform(config, loop, log)
    core = platform.core
    discovery = platform.discovery
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    heed(signal.SIGTERM, signal.SIGINT)
    platform.begin()

    async def listen() -> Listener:
        return platform.listen(config.listen, BACKLOG, held)

    listener = await retry_shortage(listen)
    succession = await _succeed(platform, listener) if held is not None else None
    operator_server = await _open_operator_server(config, platform, succession)
    watch = loop.create_task(discovery.run())
    loop.add_signal_handler(signal.SIGHUP, Reloader(platform, log).reload)
    heed(signal.SIGHUP)
    if held is None:
        listener.start()
    log.write(
        f"sailhitch {__version__} listens on {config.listen[0]}:{config.listen[1]}; "
        f"cores {config.cores:g}, memory {config.memory_mb} MB, sockets {config.descriptors}, "
        f"{len(config.known_endpoints.entries)} hosts known"
    )
    settle_memory()
    waits = [loop.create_task(e.wait()) for e in (discovery.settled, stop)]
    await asyncio.wait(waits, timeout=FIRST_LIST, return_when=asyncio.FIRST_COMPLETED)
    if held is not None:
        listener.start()  # until now whoever comes was another process's to serve
    core.ready = not stop.is_set()
    if succession is not None:
        succession.ready()
    log.write("ready")
    await stop.wait()
    log.write("SIGTERM: draining")
    if succession is not None and succession.can_pass_on():
        await succession.pass_on()
        await finish(core)
    else:
        await drain(core, listener.close)
    watch.cancel()
    core.log_statistics(core.clock())
    if operator_server is not None:
        operator_server.close()
    if succession is not None:
        succession.close()
    core.finish()
    # The loop takes its handlers with it, and one that comes after it would kill.
    hold_signals()
    log.write("drained")


async def _succeed(platform: Platform, listener: Listener) -> Takeover | None:
    """Return where the platform holds clients' socket it may start a process beside this one."""
    folder = os.environ.get("TMPDIR")
    if not folder:
        platform.core.logger.write("TMPDIR: not set, so no process before or after is known")
        return None
    # Not before it is asked for: the line that has none of this loads none of it.
    from .handover.files import HandoverFiles
    from .handover.takeover import Takeover

    succession = Takeover(platform, listener, HandoverFiles(folder, platform.config.name))
    await succession.inherit()
    succession.open()
    return succession


async def _open_operator_server(
    config: Config, platform: Platform, succession: Takeover | None
) -> OperatorServer | None:
    if config.operator is None:
        return None
    from .control.handlers import OperatorHandlers
    from .control.server import OperatorServer

    pool = platform.pool
    announce = succession.mark_changed if succession else pool.set_maintenance
    server = OperatorServer(OperatorHandlers(pool, announce), pool.core.logger)
    address = config.operator
    await retry_shortage(lambda: server.listen(address))
    return server


def main(arguments: list[str]) -> int:
    """Run the gateway; 0 after a drain, 2 where it is told something bad."""
    if arguments in (["--help"], ["-h"]):
        print(USAGE)
        return 0
    if arguments == ["--version"]:
        print(f"sailhitch {__version__}")
        return 0
    if arguments:
        print(f"sailhitch: unknown argument: {arguments[0]}", file=sys.stderr)
        return 2
    hold_signals()
    try:
        config = load_config(os.environ)
        held = None if config.held_socket is None else adopt_socket(config.held_socket)
    except ConfigError as error:
        for line in str(error).splitlines():
            print(f"sailhitch: {line}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config, Log(config.name), held))
    except OSError as error:
        print(f"sailhitch: can't listen: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
