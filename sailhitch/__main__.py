"""The real gateway's process: configuration, loop, signals and exit."""

from __future__ import annotations

import asyncio
import os
import signal
import sys

import uvloop

from . import __version__
from .core.log import Log
from .core.process import drain, settle_memory
from .net.config import Config, ConfigError, load_config, reload_config
from .net.platform import Platform

USAGE = """usage: python -m sailhitch [--help | --version]

One real gateway. It is told all it needs by the environment: EDGE_CONFIG (a JSON file), EDGE_NAME,
EDGE_LISTEN and EDGE_DISCOVERY. SIGHUP makes it read EDGE_CONFIG anew; SIGTERM drains it."""
BACKLOG = 4096
FIRST_LIST = 1.0  # s; without a list by then it serves by the known one
REREAD = (0.1, 0.4, 1.0)  # s; a file that is still being written can be read a little later


class Reloader:
    """SIGHUP: goes by the file as it is now, or by the old configuration if it can't be read."""

    def __init__(self, platform: Platform, log: Log) -> None:
        self.platform, self.log = platform, log
        self._again: asyncio.TimerHandle | None = None

    def reload(self, tries: int = 0) -> None:
        if self._again is not None:
            self._again.cancel()
            self._again = None
        try:
            config = reload_config(os.environ)
            self.platform.reconfigure(config)
        except Exception as error:
            # Whatever is wrong with the file, the gateway goes on as it was.
            self.log.say(f"SIGHUP: the old configuration stays: {error}")
            if tries < len(REREAD):
                loop = asyncio.get_running_loop()
                self._again = loop.call_later(REREAD[tries], self.reload, tries + 1)
            return
        host, port = config.discovery
        self.log.say(f"SIGHUP: new configuration, discovery at {host}:{port}")


async def serve(config: Config, log: Log) -> None:
    """Run one gateway until SIGTERM has been honoured."""
    loop = asyncio.get_running_loop()
    platform = Platform(config, loop, log)
    core, discovery = platform.core, platform.discovery
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    platform.begin()
    watch = loop.create_task(discovery.run())
    loop.add_signal_handler(signal.SIGHUP, Reloader(platform, log).reload)
    server = platform.listen(config.listen, BACKLOG)
    log.say(
        f"sailhitch {__version__} listens on {config.listen[0]}:{config.listen[1]}; "
        f"cores {config.cores:g}, memory {config.memory_mb} MB, sockets {config.sockets}, "
        f"{len(config.known.entries)} hosts known"
    )
    settle_memory()
    waits = [loop.create_task(e.wait()) for e in (discovery.heard, stop)]
    await asyncio.wait(waits, timeout=FIRST_LIST, return_when=asyncio.FIRST_COMPLETED)
    core.ready = not stop.is_set()
    log.say("ready")
    await stop.wait()
    log.say("SIGTERM: draining")
    await drain(core, server.close)
    watch.cancel()
    core.say_stats(core.clock())
    core.finish()
    log.say("drained")


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
    # One that comes before the gateway can heed it is answered by the file, which is read below.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        config = load_config(os.environ)
    except ConfigError as error:
        print(f"sailhitch: {error}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config, Log(config.name)))
    except OSError as error:
        print(f"sailhitch: EDGE_LISTEN: {error.strerror or error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
