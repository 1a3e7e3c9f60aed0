"""The successor process: the link to it, and the connections that it has not confirmed."""

from __future__ import annotations

import socket
from collections.abc import Callable

from .frames import FrameKind, confirms_clients, plain_frame, snapshot_frames
from .link import Link, OnFrame
from .passed_connections import PassedConnections, PeerProcess
from .snapshot import ProcessSnapshot, encode_snapshot


class Successor:
    """A process that has connected to take over from this one."""

    def __init__(self, sock: socket.socket, on_frame: OnFrame, on_end: Callable[[], None]) -> None:
        self.link = Link(sock, on_frame, on_end)
        self._process = PeerProcess(sock)
        self._confirms_clients = False
        self._unconfirmed = PassedConnections()

    def send_snapshot(self, hello_payload: bytes, snapshot: ProcessSnapshot) -> None:
        """Answer its HELLO with a snapshot."""
        self._confirms_clients = confirms_clients(hello_payload)
        for frame in snapshot_frames(encode_snapshot(snapshot)):
            self.link.send(frame)

    def pass_connection(self, descriptor: int) -> None:
        """Pass a client's connection to the successor; the link closes this descriptor."""
        if self._confirms_clients:
            self._unconfirmed.keep(descriptor)
        self.link.send(plain_frame(FrameKind.CLIENT), descriptor)

    def confirm_client(self) -> None:
        """Release the oldest unconfirmed connection: the successor has taken it."""
        self._unconfirmed.confirm_oldest()

    def has_pending(self) -> bool:
        """Return whether frames are unsent, or connections unconfirmed."""
        return self.link.has_unsent_frames() or len(self._unconfirmed) > 0

    def reclaim(self) -> list[int] | None:
        """Return the connections that an exited successor did not take; None if there are none.

        A process that has closed the link but still runs may have taken them; reclaiming them
        would have two processes read from one connection.
        """
        if len(self._unconfirmed) and self._process.has_ended():
            return self._unconfirmed.take_back()
        return None

    def release(self) -> None:
        """Close the duplicates of connections, and stop observing the process."""
        self._unconfirmed.close()
        self._process.close()
