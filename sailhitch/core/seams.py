"""What the core asks of the parts around it, and no more."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..front import Reason
from .terms import Answer, Entry

if TYPE_CHECKING:
    from .exchange import Attempt, Exchange


class Client(Protocol):
    """A front's side of one request: it takes the one final answer."""

    def serve(self, exchange: Exchange, answer: Answer) -> None:
        """A host's whole answer."""

    def refuse(self, exchange: Exchange, retry_after: int) -> None:
        """Turned away; `retry_after` in microseconds, 0 for no advice."""

    def fail(self, exchange: Exchange, late: bool) -> None:
        """Failed, which promises nothing about the effect."""

    def begin(self, exchange: Exchange, answer: Answer, length: int | None, giver: Giver) -> None:
        """A host's answer has begun; its body comes by `more` until `end` or `cut`.

        `length` is that of the body where it is known.
        """

    def more(self, data: bytes) -> None:
        """More of the answer that has begun."""

    def end(self) -> None:
        """That was all of it."""

    def cut(self) -> None:
        """The rest will not come: the client must be able to tell."""

    def left(self) -> bool:
        """Whether the client has gone, also by what has not been read of its connection."""


class Giver(Protocol):
    """Where an answer comes from that is passed on as it comes."""

    def hold(self) -> None:
        """The client does not keep up: read no more for now."""

    def go_on(self) -> None:
        """It has taken what there was."""

    def unwanted(self) -> None:
        """The client has gone."""


class Connection(Protocol):
    """A front's connection, as the door and the drain see it."""

    def let_go(self, reason: Reason) -> bool:
        """Close now; False if bytes of a request are here unread, and it was not closed."""

    def close_idle(self, reason: Reason) -> bool:
        """Close between two requests; False if the next one is here already, unread."""

    def sweep(self, now: int) -> None:
        """Several times a second: end what has stood still for too long."""

    def is_idle(self) -> bool:
        """Whether nothing is owed and nothing of a request has been read."""

    def is_closed(self) -> bool:
        """Closed by this side, with nothing left to write: its descriptor is about to be free."""

    def owes(self) -> bool:
        """Whether the client may still get something: an answer, or its bytes on their way."""

    def abort(self) -> None:
        """Close at once, whatever is open."""

    def detach(self) -> int | None:
        """Give the connection away between two requests: a descriptor of it, the caller's to close.

        None while anything is owed or read of it.
        """


class Carrier(Protocol):
    """What carries an attempt."""

    def abandon(self) -> None:
        """Stop waiting: its answer may still come, and must reach nobody."""

    def holds_back(self) -> bool:
        """Whether some of the request is still held here: given up now, it never ran."""


class Pending(Protocol):
    """What waits for a connection on behalf of an attempt."""

    def cancel(self) -> object:
        """Stop waiting for it."""


class Transport(Protocol):
    """Connections to the hosts of one pool.

    It reports each attempt's one outcome to the pool, by `Pool.ended`, or by `Pool.later` where it
    is known while `start` is still running.
    """

    opened: int  # connections made so far, for the log

    def start(self, attempt: Attempt, now: int) -> None:
        """Send an attempt; one to a host that is not listed ends as a failed connection."""

    def list_host(self, entry: Entry) -> None:
        """A host as its source of members tells it, new or known."""

    def drop_host(self, name: str) -> None:
        """A host is gone for good; what is out at it runs on to its end."""

    def size(self) -> int:
        """Descriptors held, those of connections being made too."""

    def oldest_idle(self) -> int | None:
        """Since when the connection has stood idle that has done so longest."""

    def close_oldest_idle(self) -> bool:
        """Free a descriptor; False if none is idle."""

    def sweep(self, now: int) -> None:
        """Once a second: retire what has stood idle for long."""

    def stop(self) -> None:
        """Close everything at once."""
