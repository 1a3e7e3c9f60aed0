"""Shares the ids of unsafe requests with the gateway's other processes, so that none runs twice.

Each process tells the others which ids are open in it, and which of those have ended. While there
is no other process, nothing is recorded.
"""

from __future__ import annotations

from functools import partial

import msgspec

from ..core.core import GatewayCore
from .frames import FrameKind, plain_frame
from .link import Link
from .snapshot import HandoverError
from .unsent_ids import IdChange, RequestIds, UnsentIds

__all__ = ["RequestIdSharing", "RequestIds", "read_request_ids", "request_ids_frame"]


def request_ids_frame(ids: RequestIds) -> bytes:
    """Return changes of ids as a frame."""
    return plain_frame(FrameKind.REQUEST_IDS) + msgspec.msgpack.encode(ids)


def read_request_ids(payload: bytes) -> RequestIds:
    """Return the changes in the payload of a `request_ids_frame`; raises HandoverError."""
    try:
        return msgspec.msgpack.decode(payload, type=RequestIds)
    except msgspec.MsgspecError as error:
        raise HandoverError(f"invalid request ids: {error}") from None


class RequestIdSharing:
    """Sends changes of this process's ids on links, and applies those of other processes."""

    def __init__(self, core: GatewayCore) -> None:
        self._core = core
        self._recent = core.recent_requests
        self._unsent: dict[Link, UnsentIds] = {}  # for each link

    def add_link(self, link: Link) -> None:
        """Share ids with one more process, beginning with those that are in use here."""
        unsent = self._unsent[link] = UnsentIds()
        self._recent.observer = self
        link.on_drained = partial(self._flush, link)
        for request in self._core.open_requests.values():
            if request.is_unsafe():
                unsent.add(request.name, IdChange.OPENED)
        for name in self._recent:
            unsent.add(name, IdChange.MAY_HAVE_RUN)
        self._flush(link)

    def remove_link(self, link: Link) -> None:
        """Stop sharing: what the process had open may have run."""
        if link not in self._unsent:
            return
        del self._unsent[link]
        link.on_drained = None
        self._recent.end_elsewhere(self._core.clock())
        if not self._unsent:
            self._recent.observer = None

    def on_opened(self, name: bytes) -> None:
        """Report an unsafe request that may run from now on."""
        self._report(name, IdChange.OPENED)

    def on_closed(self, name: bytes, may_have_run: bool) -> None:
        """Report the end of an unsafe request."""
        self._report(name, IdChange.MAY_HAVE_RUN if may_have_run else IdChange.CLOSED)

    def _report(self, name: bytes, change: IdChange) -> None:
        for link, unsent in self._unsent.items():
            unsent.add(name, change)
            if not link.has_unsent_frames():
                self._flush(link)

    def _flush(self, link: Link) -> None:
        """Send what has changed, which a link with unsent frames does later."""
        for ids in self._unsent[link].take():
            link.send(request_ids_frame(ids))

    def apply(self, ids: RequestIds) -> None:
        """Apply another process's changes."""
        now = self._core.clock()
        for name in ids.opened:
            self._recent.open_elsewhere(name)
        for name in ids.closed:
            self._recent.close_elsewhere(name)
        for name in ids.may_have_run:
            self._recent.close_elsewhere(name)
            self._recent.add(name, now)
