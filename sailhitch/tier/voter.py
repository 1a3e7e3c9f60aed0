"""A voter's part of a member: its vote on disk before it is said, its leases, its coming back."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Final

import msgspec

from .content_store import ContentStore
from .effects import Effect, Keep, Tell
from .lease import Grants
from .messages import (
    Accept,
    Accepted,
    Ballot,
    Decided,
    Head,
    Message,
    Poll,
    Prepare,
    Promise,
    ReadReply,
    UnfinishedRound,
    VoteRecoveryReply,
    VoteRecoveryRequest,
)
from .register import VOTE, Acceptor, Mode, Vote

STAMPS: Final = "stamps"  # the name under which others' stamps are kept
LONE: Final = 10_000_000  # us until a voter that was restarted votes with fewer answers
AGAIN: Final = 300_000  # us until a question of a voter that comes back is said again


def digests(head: Head) -> tuple[str, ...]:
    """What must be here before a head can be accepted or acted on."""
    versions = (head.active, head.pending, head.posture)
    return (*(version.digest for version in versions if version is not None), head.roster)


class Voter:
    """Answers as a voter. What changes its vote goes to `out` as a `Keep` before the answer does.

    A head is accepted only where its contents are on this disk: what is decided can be read from a
    majority of the voters, whoever proposed it.
    """

    def __init__(
        self, name: str, voters: Collection[str], kept: bytes | None, contents: ContentStore,
        stamps: dict[str, int], grants: Grants | None, ballot: Callable[[], Ballot], nonce: int,
        out: list[Effect],
    ) -> None:  # fmt: skip
        vote = None if kept is None else msgspec.msgpack.decode(kept, type=Vote)
        self.acceptor = Acceptor(name, voters, vote)
        self.name, self.contents, self.stamps = name, contents, stamps
        self.grants, self.ballot, self.nonce, self.out = grants, ballot, nonce, out
        self.others = self.acceptor.others
        self._said = 0
        self._since: int | None = None
        self._mending: Ballot | None = None
        self._found: Decided | None = None  # what a mending voter goes on from, once it is here
        self._is_found = False
        self._told = Mode.ASKING
        self._note()

    @property
    def votes(self) -> bool:
        return self.acceptor.mode is Mode.VOTING

    def _keep(self) -> None:
        self._note()
        encode = msgspec.msgpack.encode
        self.out.append(Keep({VOTE: encode(self.acceptor.vote), STAMPS: encode(self.stamps)}))

    def _note(self) -> None:
        stamp = self.acceptor.vote.stamp
        self.stamps[self.name] = max(stamp, self.stamps.get(self.name, 0))

    def wants(self) -> Decided | None:
        """The head that it accepted and must go on holding; its contents may not go."""
        return self.acceptor.vote.accepted

    # --- Votes

    def read(self, reader: str, number: int) -> ReadReply | UnfinishedRound | None:
        """The answer to a reading. None: this voter does not vote."""
        if not self.votes:
            return None
        answer = UnfinishedRound if self.acceptor.has_unfinished(reader) else ReadReply
        return answer(number, self.wants())

    def prepare(self, message: Prepare) -> Promise | None:
        """None: this voter does not vote."""
        if not self.votes:
            return None
        answer, news = self.acceptor.prepare(message.ballot)
        if news:
            self._keep()
        return answer

    def accept(self, message: Accept) -> Accepted | None:
        """None: this voter does not vote, or does not have the contents yet."""
        if self.is_known(message.stamps.get(self.name, 0)) or not self.votes:
            return None
        if not self.contents.has(*digests(message.head)):
            return None
        older = any(stamp > self.stamps.get(v, 0) for v, stamp in message.stamps.items())
        for voter, stamp in message.stamps.items():
            self.stamps[voter] = max(stamp, self.stamps.get(voter, 0))
        answer, news = self.acceptor.accept(message)
        news = news or older
        if news:
            self._keep()
        return answer

    def learn(self, decided: Decided) -> None:
        """A head that was decided, whose contents are here."""
        if self.votes and self.acceptor.learn(decided):
            self._keep()

    # --- Leases

    def grant(self, name: str, poll: Poll, floor: int, now: int) -> bool:
        """Whether a member may go on: it has confirmed all that could contradict."""
        ok = self.votes and poll.confirmed >= floor
        if ok and self.grants is not None:
            self.grants.grant(name, now)
        return ok

    # --- Coming back

    def tick(self, now: int) -> list[tuple[str, Message]]:
        """What a voter that has started asks the others."""
        self._tell()
        if self._since is None:
            self._since = now
        if self.votes or now - self._said < AGAIN:
            return []
        self._said = now
        if self.acceptor.mode is Mode.ASKING:
            return [(v, VoteRecoveryRequest(self.nonce)) for v in self.others]
        if self._is_found:
            self.settle()
            return []
        if self._mending is None:
            self._mending = self.ballot()
        return [(v, Prepare(self._mending)) for v in self.others]

    def here(self, hello: VoteRecoveryRequest) -> VoteRecoveryReply:
        """The answer to a voter that has started."""
        return VoteRecoveryReply(hello.nonce, dict(self.stamps))

    def heard(self, voter: str, answer: VoteRecoveryReply, now: int) -> None:
        """Another voter says what it knows of this one's votes."""
        if answer.nonce != self.nonce:
            return
        lone = self._since is not None and now - self._since >= LONE
        self.acceptor.heard(voter, answer, lone)
        for name, stamp in answer.stamps.items():
            self.stamps[name] = max(stamp, self.stamps.get(name, 0))
        self._tell()

    def is_known(self, stamp: int) -> bool:
        """Somebody knows this stamp of this voter; whether that shows that it has lost votes."""
        lost = self.acceptor.known(stamp)
        if lost:
            self.stamps[self.name] = max(stamp, self.stamps.get(self.name, 0))
            self._mending, self._is_found = None, False
            self._tell()
        return lost

    def promised(self, voter: str, promise: Promise, fetch: Callable[[Head, str], None]) -> None:
        """A promise for this voter's own mending; `fetch` has contents fetched from a voter."""
        if self._mending is None or promise.ballot != self._mending or self._is_found:
            return
        if not promise.ok:
            self._mending = None  # the next one is above what beat it
            return
        found = self.acceptor.promised_to_mend(voter, promise)
        if isinstance(found, bool):
            return
        self._found, self._is_found = found, True
        if found is not None:
            fetch(found.head, voter)
        self.settle()

    def settle(self) -> None:
        """Vote again, where all that a mending voter goes on from is here."""
        if not self._is_found or self._mending is None or self.votes:
            return
        if self._found is not None and not self.contents.has(*digests(self._found.head)):
            return
        self.acceptor.mend(self._mending, self._found, self.stamps.get(self.name, 0))
        self._keep()
        self._tell()

    def _tell(self) -> None:
        mode = self.acceptor.mode
        if mode is not self._told:
            self._told = mode
            fields: dict[str, object] = {"old_disk": self.acceptor.old}
            self.out.append(Tell(f"voter {mode.value}", fields))
