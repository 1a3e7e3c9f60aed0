"""A member's contents: what it serves, what it fetches and from whom, and what it retains."""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable, Mapping
from typing import Final

from ..pages import Tree
from .content_store import Arrival, ContentStore
from .messages import Block, BlockRequest, PageReply, PageRequest, RegisterState
from .outbox import Outbox
from .voter import content_digests

AWAITED: Final = 24  # contents that are kept for votes under way, whether they come to anything
APPLYING: Final = 16  # heads whose contents stay until the process has applied a later one
SOURCES: Final = 16  # members that have confirmed, among whom contents are asked for
ANY_SOURCES: Final = 4  # members beside them, confirmed or not

ContentMessage = BlockRequest | Block | PageRequest | PageReply


class ContentExchange:
    """Keeps a store, and tells it what is wanted. Effects go to the member's outbox."""

    def __init__(self, kept: Mapping[str, bytes], outbox: Outbox, rng: random.Random, now: int):
        self.store = ContentStore.from_disk(kept, now)
        self._outbox = outbox
        self._rng = rng
        self._offered: Counter[str] = Counter()  # digests that a job needs
        self._awaited: deque[str] = deque(maxlen=AWAITED)  # digests that a vote waits for
        # Digests by turn of what the process applies, and of what it was asked to since.
        self._applying: dict[int, tuple[str, ...]] = {}

    # --- What is retained

    def offer(self, content: bytes | Tree) -> str:
        """Put in a content that a job needs; raises ValueError for a tree that lacks pages."""
        digest, kept = self.store.add(content)
        if kept:
            self._outbox.persist(dict(kept))
        self._offered[digest] += 1
        return digest

    def end_offer(self, digest: str) -> None:
        """The job that needed a content has ended."""
        self._offered[digest] -= 1
        if not self._offered[digest]:
            del self._offered[digest]

    def applying(self, head: RegisterState) -> None:
        """The process is asked to apply a head. What it applies until then stays here.

        It compares the two, and may be asked to apply others before it has.
        """
        self._applying[head.revision] = content_digests(head)
        if len(self._applying) > APPLYING:
            del self._applying[sorted(self._applying)[1]]

    def applied(self, turn: int) -> None:
        """The process applies that turn: what it applied before is compared with it no more."""
        for older in [one for one in self._applying if one < turn]:
            del self._applying[older]

    def _wanted(self, *heads: RegisterState | None) -> set[str]:
        wanted = {*self._offered, *self._awaited}
        for head in heads:
            if head is not None:
                wanted.update(content_digests(head))
        for applied in self._applying.values():
            wanted.update(applied)
        return wanted

    def retain_only(self, known: RegisterState, accepted: RegisterState | None) -> None:
        """Let go of contents that nobody can ask for any more.

        `known` is the latest head, and `accepted` the one that this member has voted for.
        """
        gone = self.store.keep_only(self._wanted(known, accepted))
        if gone:
            self._outbox.persist(dict.fromkeys(gone))

    # --- What is fetched

    def want(self, head: RegisterState, source: str) -> None:
        """Fetch the contents of a head; `source` most likely has them."""
        for digest in content_digests(head):
            self.store.want(digest, source)

    def want_to_vote(self, head: RegisterState, source: str) -> None:
        """Fetch the contents of a head that a vote waits for."""
        self._awaited.extend(content_digests(head))
        self.want(head, source)

    def want_latest(
        self, known: RegisterState, accepted: RegisterState | None, source: str
    ) -> None:
        """Fetch the contents of a head that has just become known, and no older one's."""
        self.store.fetch_only(self._wanted(known, accepted))
        self.want(known, source)

    def has(self, head: RegisterState) -> bool:
        """Return whether all contents of a head are here."""
        return self.store.has(*content_digests(head))

    def send_requests(self, now: int, sources: Callable[[], list[list[str]]] | None = None) -> None:
        """Send what is to be asked now; `sources` finds members that may have what is lacking."""
        if self.store.is_fetching:
            others = None if sources is None else sources()
            self._outbox.send_all(self.store.requests(now, self._rng, others))

    def sample(self, names: list[str], most: int) -> list[str]:
        """Some of these members."""
        return self._rng.sample(names, min(most, len(names)))

    # --- Messages

    def on_message(self, sender: str, message: ContentMessage, now: int) -> bool:
        """Answer a request or take an answer; whether a content that was wanted is whole now."""
        if isinstance(message, BlockRequest):
            block = self.store.answer_block(message, now)
            if block is not None:
                self._outbox.send(sender, block)
        elif isinstance(message, PageRequest):
            for reply in self.store.answer_pages(message, now):
                self._outbox.send(sender, reply)
        elif isinstance(message, Block):
            return self._take(self.store.take_block(message), now)
        else:
            return self._take(self.store.take_pages(sender, message, now), now)
        return False

    def _take(self, arrival: Arrival, now: int) -> bool:
        # What is asked for next says nothing of what is here, and need not wait for the disk.
        self.send_requests(now)
        if arrival.kept:
            self._outbox.persist(dict(arrival.kept))
        return arrival.is_complete
