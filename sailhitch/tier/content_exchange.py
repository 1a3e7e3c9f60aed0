"""Serves a member's contents to others, fetches missing ones, and removes unreferenced ones."""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable, Mapping
from typing import Final

from ..pages import Tree
from .content_store import ContentStore, ReplyResult
from .messages import Block, BlockRequest, PageReply, PageRequest, RegisterState
from .outbox import Outbox
from .page_sources import IsAlive
from .voter import content_digests

# Contents retained because a vote waited for them, whether or not their state gets chosen.
MAX_AWAITED_CONTENTS: Final = 24
# Revisions whose contents are retained until the process has applied a later one.
MAX_UNCONFIRMED_REVISIONS: Final = 16
# Members that confirmed the state, from which contents are requested.
MAX_CONFIRMED_SOURCES: Final = 16
MAX_OTHER_SOURCES: Final = 4  # additional members, whether or not they confirmed it

ContentMessage = BlockRequest | Block | PageRequest | PageReply


class ContentExchange:
    """Owns the content store. Messages and disk writes go to the member's outbox."""

    def __init__(
        self,
        disk_items: Mapping[str, bytes],
        outbox: Outbox,
        rng: random.Random,
        now: int,
        is_alive: IsAlive,
    ) -> None:
        self.store = ContentStore.from_disk(disk_items, now, is_alive)
        self._outbox = outbox
        self._rng = rng
        self._job_references: Counter[str] = Counter()  # by digest: how many jobs need it
        self._awaited_by_votes: deque[str] = deque(maxlen=MAX_AWAITED_CONTENTS)  # digests
        # Digests by revision: the one that the process has applied, and those requested since.
        self._applied_contents: dict[int, tuple[str, ...]] = {}

    # --- Retention

    def add_for_job(self, content: bytes | Tree) -> str:
        """Add a content that a job needs; raises ValueError for a tree with missing pages."""
        digest, new_items = self.store.add(content)
        if new_items:
            self._outbox.persist(dict(new_items))
        self._job_references[digest] += 1
        return digest

    def release_from_job(self, digest: str) -> None:
        """Release a content that a completed job needed."""
        self._job_references[digest] -= 1
        if not self._job_references[digest]:
            del self._job_references[digest]

    def retain_for_apply(self, state: RegisterState) -> None:
        """Retain the contents of a state that the process is requested to apply.

        The contents that it has applied are retained too: it compares the two states, and it may be
        requested to apply yet another one before it is done.
        """
        self._applied_contents[state.revision] = content_digests(state)
        if len(self._applied_contents) > MAX_UNCONFIRMED_REVISIONS:
            del self._applied_contents[sorted(self._applied_contents)[1]]

    def release_before(self, revision: int) -> None:
        """Release the contents of revisions before the one that the process has applied."""
        for earlier in [applied for applied in self._applied_contents if applied < revision]:
            del self._applied_contents[earlier]

    def _referenced_digests(self, *states: RegisterState | None) -> set[str]:
        digests = {*self._job_references, *self._awaited_by_votes}
        for state in states:
            if state is not None:
                digests.update(content_digests(state))
        for applied in self._applied_contents.values():
            digests.update(applied)
        return digests

    def retain_only(self, known: RegisterState, accepted: RegisterState | None) -> None:
        """Remove the contents that no member can request any more.

        `known` is the latest state, and `accepted` the one that this member's voter accepted.
        """
        removed = self.store.retain_only(self._referenced_digests(known, accepted))
        if removed:
            self._outbox.persist(dict.fromkeys(removed))

    # --- Fetching

    def fetch(self, state: RegisterState, source: str) -> None:
        """Fetch the contents of a state; `source` is the member most likely to have them."""
        for digest in content_digests(state):
            self.store.fetch(digest, source)

    def fetch_for_vote(self, state: RegisterState, source: str) -> None:
        """Fetch the contents of a state before this member's voter can accept it."""
        self._awaited_by_votes.extend(content_digests(state))
        self.fetch(state, source)

    def fetch_latest(
        self, known: RegisterState, accepted: RegisterState | None, source: str
    ) -> None:
        """Fetch the contents of a newly known state, and cancel the fetches of older states."""
        self.store.fetch_only(self._referenced_digests(known, accepted))
        self.fetch(known, source)

    def has(self, state: RegisterState) -> bool:
        """Return whether all contents of a state are stored."""
        return self.store.has(*content_digests(state))

    def send_requests(self, now: int, sources: Callable[[], list[list[str]]] | None = None) -> None:
        """Send the requests due now; `sources` returns members that may have the contents."""
        if self.store.is_fetching:
            others = None if sources is None else sources()
            self._outbox.send_all(self.store.requests(now, self._rng, others))

    def sample(self, names: list[str], limit: int) -> list[str]:
        """Return up to `limit` of these members at random."""
        return self._rng.sample(names, min(limit, len(names)))

    # --- Messages

    def on_message(self, sender: str, message: ContentMessage, now: int) -> bool:
        """Answer a request or process a reply; return whether it completed a fetched content."""
        if isinstance(message, BlockRequest):
            block = self.store.answer_block(message, now)
            if block is not None:
                self._outbox.send(sender, block)
        elif isinstance(message, PageRequest):
            for reply in self.store.answer_pages(message, now):
                self._outbox.send(sender, reply)
        elif isinstance(message, Block):
            return self._on_result(self.store.on_block(message), now)
        else:
            return self._on_result(self.store.on_page_reply(sender, message, now), now)
        return False

    def _on_result(self, result: ReplyResult, now: int) -> bool:
        # The next requests do not depend on the received data, so they need not wait for the disk.
        self.send_requests(now)
        if result.new_items:
            self._outbox.persist(dict(result.new_items))
        return result.is_complete
