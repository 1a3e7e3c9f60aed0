"""The socket between two processes of a gateway; carries frames and file descriptors."""

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

MAX_FRAME_BYTES: Final = 64 * 1024
MAX_SOCKET_PATH: Final = 100  # bytes of a path that fit into a socket address (unix(7))
BACKLOG: Final = 4
MAX_FRAMES_PER_READ: Final = 64  # in one iteration of the event loop
MAX_DESCRIPTORS: Final = 4  # received with one frame

# Receives the kind of a frame, its payload, and the descriptors that came with it.
OnFrame = Callable[[int, bytes, list[int]], None]


class Link:
    """One end of the socket; sends frames in order, and queues those that would block."""

    def __init__(self, sock: socket.socket, on_frame: OnFrame, on_end: Callable[[], None]) -> None:
        self.loop = asyncio.get_running_loop()
        self.sock = sock
        self.on_frame = on_frame
        self.on_end = on_end
        self.on_drained: Callable[[], None] | None = None  # called once all frames are sent
        self.closed = False
        self._unsent: deque[tuple[bytes, int]] = deque()  # frame and its descriptor, or -1
        sock.setblocking(False)
        self.loop.add_reader(sock, self._read)

    def send(self, frame: bytes, descriptor: int = -1) -> None:
        """Send a frame, optionally with a descriptor, which is closed here once sent."""
        if self.closed:
            if descriptor >= 0:
                os.close(descriptor)
            return
        self._unsent.append((frame, descriptor))
        if len(self._unsent) == 1:
            self._write()

    def has_unsent_frames(self) -> bool:
        """Return whether frames are waiting to be sent."""
        return bool(self._unsent)

    def _write(self) -> None:
        try:
            while self._unsent:
                frame, descriptor = self._unsent[0]
                if descriptor >= 0:
                    socket.send_fds(self.sock, [frame], [descriptor])
                    os.close(descriptor)
                else:
                    self.sock.send(frame)
                self._unsent.popleft()
        except (BlockingIOError, InterruptedError):
            self.loop.add_writer(self.sock, self._write)
            return
        except OSError:
            # The other end is closed. What it sent can still be read; `_read` closes this end.
            self._discard_unsent()
        if self.loop.remove_writer(self.sock) and self.on_drained is not None:
            self.on_drained()

    def _read(self) -> None:
        for _ in range(MAX_FRAMES_PER_READ):
            if self.closed:
                return
            try:
                frame, descriptors, _, _ = socket.recv_fds(
                    self.sock, MAX_FRAME_BYTES, MAX_DESCRIPTORS
                )
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionResetError:
                # If the other end closed with frames unread, this error is raised once; after it
                # the frames that it had sent, possibly with connections, can be read (unix(7)).
                continue
            except OSError:
                self.close()
                return
            if not frame:
                self.close()
                return
            self.on_frame(frame[0], frame[1:], descriptors)

    def close(self) -> None:
        """Close the link; unsent frames are dropped, and their descriptors closed."""
        if self.closed:
            return
        self.closed = True
        self.loop.remove_reader(self.sock)
        self.loop.remove_writer(self.sock)
        self.sock.close()
        self._discard_unsent()
        self.on_end()

    def _discard_unsent(self) -> None:
        for _, descriptor in self._unsent:
            if descriptor >= 0:
                os.close(descriptor)
        self._unsent.clear()


@contextlib.contextmanager
def _socket_address(path: Path):  # type: ignore[no-untyped-def]
    """Yield a path to the same file that fits into a socket address."""
    if len(os.fsencode(path)) <= MAX_SOCKET_PATH:
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
    """Return a socket connected to the process that listens at this path; None if none does.

    Raises OSError if the system is out of resources, or the listener's backlog is full.
    """
    sock = _socket()
    try:
        with _socket_address(path) as address:
            sock.connect(address)
    except OSError as error:
        sock.close()
        if error.errno in OUT_OF_RESOURCES or isinstance(error, BlockingIOError):
            raise
        return None
    return sock


def listen(path: Path) -> socket.socket:
    """Listen at this path, replacing any other listener there; raises OSError.

    The new socket is created under a temporary name and renamed over the old one: if the old one
    were removed first, another process could find no socket in between.
    """
    sock = _socket()
    temporary = path.with_suffix(f".{os.getpid()}")
    try:
        with contextlib.suppress(FileNotFoundError):
            temporary.unlink()
        with _socket_address(temporary) as address:
            sock.bind(address)
        temporary.chmod(0o600)
        sock.listen(BACKLOG)
        os.replace(temporary, path)
    except OSError:
        sock.close()
        with contextlib.suppress(OSError):
            temporary.unlink()
        raise
    return sock
