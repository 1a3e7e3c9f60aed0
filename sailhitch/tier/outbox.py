"""Collects a member's effects in order, and also relays messages where a direct path may be cut.

A reply to a relayed request goes back over the same relay as well.
"""

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
    """The effects of a member. Messages to itself are queued for `take_local_message`."""

    def __init__(self, name: str, gossip: Gossip, prober: Prober, rng: random.Random) -> None:
        self._name = name
        self._gossip = gossip
        self._prober = prober
        self._rng = rng
        self.effects: list[Effect] = []
        self.relays = RelayPolicy()
        self._local_messages: deque[Message] = deque()
        self._reply_route: tuple[str, str] | None = None  # the requester and its relay
        # By member whose latest message came over a relay: that relay.
        self._relay_by_member: dict[str, str] = {}

    @property
    def is_relayed(self) -> bool:
        """Return whether the message being processed came over a relay."""
        return self._reply_route is not None

    @contextmanager
    def replying_over(self, origin: str, relay: str) -> Iterator[None]:
        """Within this context, also send messages for `origin` over `relay`."""
        self._reply_route = origin, relay
        self._relay_by_member[origin] = relay
        try:
            yield
        finally:
            self._reply_route = None

    def on_direct_message(self, name: str) -> None:
        """Forget the relay of a member that has sent a message directly."""
        self._relay_by_member.pop(name, None)

    def take_effects(self) -> list[Effect]:
        """Return all effects since the last call."""
        effects = self.effects[:]
        self.effects.clear()
        return effects

    def take_local_message(self) -> Message | None:
        """Return the next message of this member to itself."""
        return self._local_messages.popleft() if self._local_messages else None

    def persist(self, items: dict[str, bytes | None]) -> None:
        """Write these items to disk before any later effect; an item of None may be deleted."""
        self.effects.append(Persist(items))

    def log_event(self, event: str, fields: dict[str, object]) -> None:
        """Log an event with its fields."""
        self.effects.append(LogEvent(event, fields))

    def send(self, to: str, message: Message) -> None:
        """Send a message, and also relay it if the direct path may be cut."""
        if to == self._name:
            self._local_messages.append(message)
            return
        self.effects.append(Send(to, message))
        if isinstance(message, Relayed):
            return
        if self._reply_route is not None and to == self._reply_route[0]:
            self._send_via(self._reply_route[1], to, message)
        elif isinstance(message, CONTENT_REQUESTS) and to in self._relay_by_member:
            self._send_via(self._relay_by_member[to], to, message)
        elif self._needs_relay(to, message):
            helper = self._choose_helper(to)
            if helper is not None:
                self._send_via(helper, to, message)

    def _choose_helper(self, to: str) -> str | None:
        """Return a random member to relay a request to a voter; None if none is found.

        A voter that does not answer this member is not drawn: it would not get the request either.
        """
        for _ in range(MAX_DRAWS):
            name = self._rng.choice(self._gossip.others)
            if name != to and self._prober.is_alive(name) and not self.relays.is_silent(name):
                return name
        return None

    def _needs_relay(self, to: str, message: Message) -> bool:
        is_request = isinstance(message, VOTER_REQUESTS) and self._prober.is_alive(to)
        return is_request and self.relays.needs_relay(to)

    def _send_via(self, relay: str, to: str, message: Any) -> None:
        self.effects.append(Send(relay, Relayed(self._name, to, message)))

    def send_all(self, messages: Iterable[tuple[str, Any]]) -> None:
        """Send each message to its addressee."""
        for to, message in messages:
            self.send(to, message)
