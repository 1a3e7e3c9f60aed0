"""A member's effects, in order; replies also go over the relay that a request came by."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Any

from .effects import Effect, LogEvent, Persist, Send
from .gossip import MAX_DRAWS, Gossip
from .messages import (
    Accept,
    BlockRequest,
    LeaseRequest,
    Message,
    PageRequest,
    Prepare,
    ReadRequest,
    Relayed,
    VoteRecoveryRequest,
)
from .probes import Prober
from .relay import RelayPolicy

CONTENT_REQUESTS = (BlockRequest, PageRequest)
VOTER_REQUESTS = (ReadRequest, Prepare, Accept, VoteRecoveryRequest, LeaseRequest)


class Outbox:
    """The effects of a member. Messages to itself wait for `take_local_message`."""

    def __init__(self, name: str, gossip: Gossip, prober: Prober, rng: random.Random) -> None:
        self._name = name
        self._gossip = gossip
        self._prober = prober
        self._rng = rng
        self.effects: list[Effect] = []
        self.relays = RelayPolicy()
        self._local: deque[Message] = deque()
        self._replying: tuple[str, str] | None = None  # the requester, and its relay
        self._relay_of: dict[str, str] = {}  # of members last heard from over a relay, not directly

    @property
    def is_relayed(self) -> bool:
        """Return whether the message that is processed now came over a relay."""
        return self._replying is not None

    @contextmanager
    def replying_over(self, origin: str, relay: str) -> Iterator[None]:
        """Within this context, send messages to `origin` over `relay` too."""
        self._replying = origin, relay
        self._relay_of[origin] = relay
        try:
            yield
        finally:
            self._replying = None

    def on_direct_message(self, name: str) -> None:
        """Forget the relay of a member that has sent a message directly."""
        self._relay_of.pop(name, None)

    def take_effects(self) -> list[Effect]:
        """Return all effects since the last call."""
        effects = self.effects[:]
        self.effects.clear()
        return effects

    def take_local_message(self) -> Message | None:
        """Return the next message of this member to itself."""
        return self._local.popleft() if self._local else None

    def persist(self, items: dict[str, bytes | None]) -> None:
        """Write these items to disk before any later effect; an item of None may be deleted."""
        self.effects.append(Persist(items))

    def log_event(self, event: str, fields: dict[str, object]) -> None:
        """Log an event with its fields."""
        self.effects.append(LogEvent(event, fields))

    def send(self, to: str, message: Message) -> None:
        """Send a message; over a relay too, where the direct path may be cut."""
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
        """Return a member to relay a request to a voter; None where `MAX_DRAWS` find none.

        A voter that does not answer this member is no help, as it would not get the request.
        """
        for _ in range(MAX_DRAWS):
            name = self._rng.choice(self._gossip.others)
            if name != to and self._prober.is_alive(name) and not self.relays.is_silent(name):
                return name
        return None

    def _needs_relay(self, to: str, message: Message) -> bool:
        is_request = isinstance(message, VOTER_REQUESTS) and self._prober.is_alive(to)
        return is_request and self.relays.needs_relay(to)

    def _send_over(self, relay: str, to: str, message: Any) -> None:
        self.effects.append(Send(relay, Relayed(self._name, to, message)))

    def send_all(self, messages: Iterable[tuple[str, Any]]) -> None:
        """Send each to its addressee."""
        for to, message in messages:
            self.send(to, message)
