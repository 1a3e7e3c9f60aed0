"""What a member does and sends, in order; replies go back over the relay that a request came by."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Any

from .effects import Effect, Keep, Send, Tell
from .gossip import TRIES, Gossip
from .messages import (
    Accept,
    BlockRequest,
    Message,
    PageRequest,
    Poll,
    Prepare,
    ReadRequest,
    Relayed,
    VoteRecoveryRequest,
)
from .probes import Prober
from .relay import RelayPolicy

CONTENT_REQUESTS = (BlockRequest, PageRequest)
VOTER_REQUESTS = (ReadRequest, Prepare, Accept, VoteRecoveryRequest, Poll)


class Outbox:
    """Effects of a member's core. What it sends to itself is held back until `take_local`."""

    def __init__(self, name: str, gossip: Gossip, prober: Prober, rng: random.Random) -> None:
        self._name, self._gossip, self._prober, self._rng = name, gossip, prober, rng
        self.effects: list[Effect] = []
        self.relays = RelayPolicy()
        self._local: deque[Message] = deque()
        self._replying: tuple[str, str] | None = None  # who is answered, and over which relay
        self._relay_of: dict[str, str] = {}  # of members last heard over a relay, and not directly

    @property
    def is_relayed(self) -> bool:
        """Whether what is handled now came over a relay."""
        return self._replying is not None

    @contextmanager
    def replying_over(self, origin: str, relay: str) -> Iterator[None]:
        """Within it, what is sent to `origin` goes over `relay` too."""
        self._replying = origin, relay
        self._relay_of[origin] = relay
        try:
            yield
        finally:
            self._replying = None

    def heard_directly(self, name: str) -> None:
        """A member has sent something that did not come over a relay."""
        self._relay_of.pop(name, None)

    def take(self) -> list[Effect]:
        """All effects since the last call."""
        effects = self.effects[:]
        self.effects.clear()
        return effects

    def take_local(self) -> Message | None:
        """The next message of this member to itself."""
        return self._local.popleft() if self._local else None

    def keep(self, items: dict[str, bytes | None]) -> None:
        """Have these on disk before what follows; None: it may be forgotten."""
        self.effects.append(Keep(items))

    def tell(self, event: str, fields: dict[str, object]) -> None:
        """Have an event in the log."""
        self.effects.append(Tell(event, fields))

    def send(self, to: str, message: Message) -> None:
        """Send a message; over a relay too, where the direct way may be cut."""
        if to == self._name:
            self._local.append(message)
            return
        self.effects.append(Send(to, message))
        if isinstance(message, Relayed):
            return
        if self._replying is not None and to == self._replying[0]:
            self._send_over(self._replying[1], to, message)
        elif isinstance(message, CONTENT_REQUESTS) and to in self._relay_of:
            self._send_over(self._relay_of[to], to, message)
        elif self._needs_relay(to, message):
            helper = self._draw_helper(to)
            if helper is not None:
                self._send_over(helper, to, message)

    def _draw_helper(self, to: str) -> str | None:
        """A member to relay a request to a voter; None where a few draws find none.

        A voter that does not answer this member either would not get the request.
        """
        for _ in range(TRIES):
            name = self._rng.choice(self._gossip.others)
            if name != to and self._prober.alive(name) and not self.relays.is_silent(name):
                return name
        return None

    def _needs_relay(self, to: str, message: Message) -> bool:
        is_request = isinstance(message, VOTER_REQUESTS) and self._prober.alive(to)
        return is_request and self.relays.asks(to)

    def _send_over(self, relay: str, to: str, message: Any) -> None:
        self.effects.append(Send(relay, Relayed(self._name, to, message)))

    def send_all(self, messages: Iterable[tuple[str, Any]]) -> None:
        """Send each to its addressee."""
        for to, message in messages:
            self.send(to, message)
