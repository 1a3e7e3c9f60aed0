"""The socket between two processes of a gateway: frames, and descriptors along with them."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Final

from ..net.system_errors import OUT_OF_RESOURCES

LONGEST: Final = 64 * 1024  # of a frame
SUN_PATH: Final = 100  # bytes of a path that surely fit into an address (unix(7))
BACKLOG: Final = 4
AT_ONCE: Final = 64  # frames read in one turn

OnFrame = Callable[[int, bytes, list[int]], None]


class Link:
    """One end. Frames go out in order; what the socket does not take yet waits here."""

    def __init__(self, sock: socket.socket, on_frame: OnFrame, on_end: Callable[[], None]) -> None:
        self.loop = asyncio.get_running_loop()
        self.sock = sock
        self.on_frame = on_frame
        self.on_end = on_end
        self.closed = False
        self._out: deque[tuple[bytes, int]] = deque()  # with a descriptor of ours, or -1
        sock.setblocking(False)
        self.loop.add_reader(sock, self._read)

    def send(self, frame: bytes, descriptor: int = -1) -> None:
        """Send a frame, and give away a descriptor with it."""
        if self.closed:
            if descriptor >= 0:
                os.close(descriptor)
            return
        self._out.append((frame, descriptor))
        if len(self._out) == 1:
            self._write()

    def waits(self) -> bool:
        """Return whether frames have not gone out yet."""
        return bool(self._out)

    def _write(self) -> None:
        try:
            while self._out:
                frame, descriptor = self._out[0]
                if descriptor >= 0:
                    socket.send_fds(self.sock, [frame], [descriptor])
                    os.close(descriptor)
                else:
                    self.sock.send(frame)
                self._out.popleft()
        except (BlockingIOError, InterruptedError):
            self.loop.add_writer(self.sock, self._write)
            return
        except OSError:
            # The other end has gone. What it said before that is here still: the reader ends this.
            self._drop()
        self.loop.remove_writer(self.sock)

    def _read(self) -> None:
        for _ in range(AT_ONCE):
            if self.closed:
                return
            try:
                frame, descriptors, _, _ = socket.recv_fds(self.sock, LONGEST, 4)
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionResetError:
                # An end that is closed with frames unread on it says so before what it had
                # sent, connections among it, can be read (unix(7)). It says so once.
                continue
            except OSError:
                self.close()
                return
            if not frame:
                self.close()
                return
            self.on_frame(frame[0], frame[1:], descriptors)

    def close(self) -> None:
        """End it; what had not gone out stays with nobody, and its descriptors are closed."""
        if self.closed:
            return
        self.closed = True
        self.loop.remove_reader(self.sock)
        self.loop.remove_writer(self.sock)
        self.sock.close()
        self._drop()
        self.on_end()

    def _drop(self) -> None:
        for _, descriptor in self._out:
            if descriptor >= 0:
                os.close(descriptor)
        self._out.clear()


@contextlib.contextmanager
def _short(path: Path):  # type: ignore[no-untyped-def]
    """A path that fits into an address, however long it is."""
    if len(os.fsencode(path)) <= SUN_PATH:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def _socket() -> socket.socket:
    return socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)


def connect(path: Path) -> socket.socket | None:
    """Return a socket to the process that listens there; None if none does.

    Raises OSError where the system is out of resources for it, or that process for its queue.
    """
    sock = _socket()
    try:
        with _short(path) as short:
            sock.connect(short)
    except OSError as error:
        sock.close()
        if error.errno in OUT_OF_RESOURCES or isinstance(error, BlockingIOError):
            raise
        return None
    return sock


def listen(path: Path) -> socket.socket:
    """Listen there from now on, in place of who did; raises OSError.

    A name that is taken away before its successor stands leaves a moment in which a third
    process finds nobody. So the new one is made beside it and moved over it.
    """
    sock = _socket()
    fresh = path.with_suffix(f".{os.getpid()}")
    try:
        with contextlib.suppress(FileNotFoundError):
            fresh.unlink()
        with _short(fresh) as short:
            sock.bind(short)
        fresh.chmod(0o600)
        sock.listen(BACKLOG)
        os.replace(fresh, path)
    except OSError:
        sock.close()
        with contextlib.suppress(OSError):
            fresh.unlink()
        raise
    return sock
