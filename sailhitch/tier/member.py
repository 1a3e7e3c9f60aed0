"""One process of the tier: what it knows, what it acts by, what it does about what is pending.

The argument, which `docs/design/tier.md` has at length: the meet of two versions permits what both
do. A member acts by the active version, or by the meet of active and pending; it confirms a pending
version once it acts by nothing older, and a pending version becomes active only when every member
of the roster has confirmed it, or can't act any more (its lease has lapsed at a majority of voters
that grant it none for anything older). So whatever any member does at any time is allowed by the
version that is active then.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

import msgspec

from .content_store import ContentStore
from .effects import Act, Acting, Done, Effect, End, Keep, Send, Tell
from .lease import Grants, Lease
from .line import Change, activate, enrol, found, offer, pose, withdraw
from .membership import MembershipTable
from .messages import (
    Accept,
    Accepted,
    Ack,
    Block,
    BlockRequest,
    Decided,
    Grant,
    Head,
    Message,
    Nack,
    News,
    Ping,
    Poll,
    Prepare,
    Promise,
    ReadReply,
    ReadRequest,
    Relayed,
    Version,
    VoteRecoveryReply,
    VoteRecoveryRequest,
)
from .probes import Health, Prober
from .proposer import Job, Proposer
from .register import VOTE, majority
from .relay import RelayPolicy
from .voter import STAMPS, Voter, digests

ROWS: Final = 12  # in a datagram of gossip
KNOWN, SELF, LEFT, CONTENT = "known", "self", "left", "content/"  # names on disk
AWAITED: Final = 24  # contents that are kept for votes under way, whether they come to anything
# Who proposed a version has it made active; others do so later, each at a time of its own.
FIRST_AFTER, LAST_AFTER = 600_000, 2_000_000
RETELL: Final = 300_000  # us between two words to who proposed what is pending
POLLS: Final = 6  # questions in a lease's length
AGAIN: Final = 1_000_000  # us between two tries to be enrolled; half of it to read
DEAD_TOO: Final = 0.1  # part of the gossip that is said to whoever it is, dead or not
TRIES: Final = 8  # to find one that is not dead
WORD_LIFE: Final = 10_000_000  # us for which a member's word counts after its last sign of life
QUIET: Final = 1_000_000  # us between two rounds of gossip where there is nothing new
BUSY: Final = 3_000_000  # us after something new in which each beat has a round


QUESTIONS = (ReadRequest, Prepare, Accept, VoteRecoveryRequest, Poll)  # to voters


class Roster(msgspec.Struct, frozen=True):
    """Whom a change waits for: members, and those that were put out and may still act."""

    inside: tuple[str, ...]
    out: tuple[str, ...]
    places: dict[str, str] = {}  # addresses that differ from the files', or that these don't have

    def names(self) -> tuple[str, ...]:
        """All that a change waits for, in order."""
        return tuple(sorted({*self.inside, *self.out}))

    def content(self) -> bytes:
        """One text for one roster."""
        places = dict(sorted(self.places.items()))
        return msgspec.json.encode(
            Roster(tuple(sorted(self.inside)), tuple(sorted(self.out)), places)
        )

    def but(self, inside: Iterable[str], out: Iterable[str]) -> Roster:
        """Others inside and out, at the same places."""
        return Roster(tuple(inside), tuple(out), self.places)


class MemberStatus(Enum):
    """Whether a member may act on what contradicts, and why not."""

    IN = "in"
    HEARING = "has not heard of a majority of voters since it started"
    OUTSIDE = "is not in the roster"
    BEHIND = "does not act by the version that holds yet"
    LAPSED = "has not heard of a majority of voters within its lease"
    TWIN = "another process goes by its name"
    BROKEN = "the register has gone back; see the log"


@dataclass(frozen=True, slots=True)
class TierConfig:
    """What a member is told of its tier at its start. Times in microseconds."""

    name: str  # this member's
    voters: tuple[str, ...]
    peers: tuple[str, ...]  # all members that the file names, this one too
    lease: int | None = None
    fanout: int = 2  # members that gossip goes to at each beat


@dataclass(frozen=True, slots=True)
class Founding:
    """What a tier begins with, if this member is the first to find it empty."""

    content: bytes
    serial: int
    who: str


class Member:
    """The sans-IO core of a member. Methods take the time; `take` gives what to do, in order."""

    def __init__(
        self, terms: TierConfig, boot: int, kept: dict[str, bytes], rng: random.Random, now: int,
        founding: Founding | None,
    ) -> None:  # fmt: skip
        self.config, self.boot, self.rng, self.founding = terms, boot, rng, founding
        self.out: list[Effect] = []
        self._others = [name for name in terms.peers if name != terms.name]
        self.since = now
        self.prober, self.relays = Prober(terms.name, rng, now), RelayPolicy()
        self._via: tuple[str, str] | None = None  # who is answered, and through whom as well
        life = 0 if SELF not in kept else int(msgspec.msgpack.decode(kept[SELF]))
        self.membership = MembershipTable(terms.name, life + 1, boot)
        self.contents = ContentStore(
            {k.removeprefix(CONTENT): v for k, v in kept.items() if k.startswith(CONTENT)}
        )
        self.stamps: dict[str, int] = msgspec.msgpack.decode(
            kept.get(STAMPS, b"\x80"), type=dict[str, int]
        )
        self._stamps_kept = dict(self.stamps)
        self.known: Decided | None = None
        if KNOWN in kept:
            self.known = msgspec.msgpack.decode(kept[KNOWN], type=Decided)
        self._kept_turn = 0 if self.known is None else self.known.head.turn
        self.proposer = Proposer(terms.name, boot, terms.voters, rng)
        self.lease = (
            None if terms.lease is None else Lease(terms.lease, majority(len(terms.voters)))
        )
        self.voter: Voter | None = None
        if terms.name in terms.voters:
            grants = None if terms.lease is None else Grants(terms.lease, now)
            self.voter = Voter(
                terms.name, terms.voters, kept.get(VOTE), self.contents, self.stamps, grants,
                self.proposer.ballot, boot, self.out,
            )  # fmt: skip
            self.proposer.rank(self.voter.acceptor.vote.promised)
        self.heard_register = False
        self.broken = self.left = False
        self.confirmed = 0
        self.trouble = ""
        self.word = b""  # what its rows carry for whoever runs it
        self.acting: Acting | None = None  # what was last asked to be acted by
        self.joined = 0  # the turn by which it came to be in the roster, as far as it acts
        self.roster = Roster((), ())  # as of the turn `_settled`
        self._settled = 0
        self._offers: set[str] = set()  # digests of contents that a job needs
        self._awaited: deque[str] = deque(maxlen=AWAITED)  # contents that a vote waits for
        self._jobs = 0
        self._local: deque[Message] = deque()
        self._lapsed: dict[str, tuple[int, bytes]] = {}  # by voter
        self._ready_at: int | None = None  # when the pending version may be made active by this one
        self._activating = self._enrolling = self._read_again = False
        self._gossip_at = self._busy_until = 0
        self._news_of_head = False
        self._enrol_at = self._poll_at = self._read_at = self._retell_at = 0
        self._keep_life()
        # Danger: the leave of an earlier life of this process may still be under way. If it were
        # decided after this life has read that it is inside, no change would wait for it.
        self.proposer.add(Job(None, self._read, LEFT in kept))

    # --- What happens

    def take(self) -> list[Effect]:
        """What to do, in this order; all since the last call."""
        out = self.out[:]
        self.out.clear()
        return out

    def tick(self, now: int) -> None:
        """Time passes; some ten times a second."""
        self.membership.beat(self.confirmed, self.trouble, self.word)
        if self.voter is not None:
            self._say_all(self.voter.tick(now))
        self._say_all(self.proposer.tick(now))
        others = self._others
        if self._read_again and now >= self._read_at:
            self._read_again, self._read_at = False, now + AGAIN // 2
            self.proposer.add(Job(None, self._read))
        if not self.settled():
            self._settle()
        self._say_all(self.contents.asks(now, others, self.rng.randrange(1 << 20)))
        self._poll(now)
        self._say_all(self.prober.tick(now, others, self.membership.life_of))
        if self._news_of_head:
            self._news_of_head, self._busy_until = False, now + BUSY
        lapsed = self._my_lapsed(now)
        if lapsed is not None:
            self._lapsed[self.config.name] = lapsed
        self._enrol(now)
        self._consider(now)
        self._keep_stamps()
        self._tell_proposer(now)
        if now >= self._gossip_at or self._is_busy(now):
            self._gossip_at = now + QUIET
            self._gossip(self.config.fanout, now)
        self._drain(now)

    def heard(self, sender: str, message: Message, now: int) -> None:
        """A member has said something; its name is certain, its truth is not taken for granted."""
        self._hear(sender, message, now)
        self._drain(now)

    def acted(self, turn: int, now: int) -> None:
        """Nothing in this process goes by anything older than this turn's rules any more."""
        if turn > self.confirmed:
            self._busy_until = now + BUSY
            self.confirmed, self.trouble = turn, ""
            self.membership.beat(turn, "", self.word)
            self._poll_at = now
            self._poll(now)
            self._consider(now)
            self._gossip(self.config.fanout, now)
            self._tell_proposer(now)
        self._drain(now)

    def _tell_proposer(self, now: int) -> None:
        """Confirm to who waits for it, now and again while it does; gossip brings it later."""
        pending = None if self.known is None else self.known.head.pending
        if pending is None or pending.by == self.config.name or now < self._retell_at:
            return
        if self.acting is not None and (self.confirmed >= self.acting.turn or self.trouble):
            self._retell_at = now + RETELL
            self._say(pending.by, self._news(now))

    def not_acted(self, turn: int, why: str) -> None:
        """This process can't go by that turn's rules; it goes on by the older ones."""
        if self.acting is not None and self.acting.turn == turn:
            self.trouble = why or "unknown"

    # --- What operators ask for

    def propose(self, content: bytes, base: int, waits: bool, who: str, when: int) -> int:
        """Offer a version made from the active one of serial `base`; the number of the job.

        `waits`: it contradicts its base, and all have to confirm it first.
        """
        version, digest = self._version(content, base, who, when)
        return self._job(offer(version, waits), digest)

    def _version(self, content: bytes, base: int, who: str, when: int) -> tuple[Version, str]:
        """Something to be offered, and its content's digest."""
        digest = self._add(content)
        change = f"{self.config.name}-{self.boot:x}-{self._jobs}"
        return Version(0, base, digest, self.config.name, who, when, change), digest

    def _add(self, content: bytes) -> str:
        """A content that a job needs."""
        digest, packed = self.contents.add(content)
        self.out.append(Keep({CONTENT + digest: packed}))
        self._offers.add(digest)
        return digest

    def pose(self, content: bytes, base: int, who: str, when: int) -> int:
        """Offer a posture made from the one of serial `base`; the number of the job."""
        version, digest = self._version(content, base, who, when)
        return self._job(pose(version), digest)

    def read(self) -> int:
        """Ask the voters what holds; the number of the job."""
        return self._job(None, None)

    def withdraw(self, serial: int) -> int:
        """Give a pending version up; the number of the job."""
        return self._job(withdraw(serial), None)

    def settled(self) -> bool:
        """Whether the head that is known is here with all that belongs to it.

        Danger: a roster of another turn, or none, must not be what the next one is made from.
        """
        return self.known is not None and self._settled == self.known.head.turn

    def why_not_gone(self, name: str, quiet: int, now: int) -> str:
        """Why nobody should say of a member that it is gone; empty: nothing speaks against it.

        `quiet` is for how long it must have given no sign of life, in microseconds.
        """
        if name not in self.roster.inside:
            return "not in the roster; `sailhitch tier members` shows it"
        if name == self.config.name:
            return "is the gateway that you ask, and surely not dead"
        # One of which nothing was heard since this member started may have been heard before.
        age = now - self.membership.seen.get(name, self.since)
        if age < quiet:
            return (
                f"a sign of life came {age / 1e6:.1f} s ago, and `gone` is for one that gave none "
                f"for {quiet / 1e6:g} s: end its process first"
            )
        if self.lease is None and name not in self.prober.dead():
            return (
                "is not told dead: somebody may still reach it, and with no lease nothing keeps "
                "it from acting; wait until `sailhitch tier members` says so"
            )
        return ""

    def put_out(self, name: str) -> int | None:
        """A member is gone, by an operator's word: changes wait for it no more.

        Where there are leases, it gets none from here on, and changes wait until the last one has
        lapsed; without, the word is taken for it. The number of the job; None: try again soon.
        """
        if not self.settled():
            return None
        rest = tuple(one for one in self.roster.inside if one != name)
        out = self.roster.out if self.lease is None else (*self.roster.out, name)
        return self._job_roster(self.roster.but(rest, out))

    def why_not_admitted(self, name: str) -> str:
        """Why a name should not be looked for elsewhere; empty: nothing speaks against it."""
        if name in self.roster.inside and name not in self.prober.dead():
            return (
                "is in the roster and not told dead, and two processes of one name would both "
                "stand back; end it first, and wait until `sailhitch tier members` says so"
            )
        return ""

    def admit(self, name: str, place: str) -> int | None:
        """A member is, or is to come, at this address (`host:port`), whatever the files say.

        It joins by itself once it is there. The number of the job; None: try again soon.
        """
        if not self.settled():
            return None
        places = {**self.roster.places, name: place}
        return self._job_roster(Roster(self.roster.inside, self.roster.out, places))

    def leave(self) -> int | None:
        """Go, and be waited for no more. This member acts on nothing from here on.

        The number of the job; None: it has not heard enough to say so.
        """
        self.left = True
        if not self.settled():
            return None
        self.out.append(Keep({LEFT: b"1"}))
        rest = tuple(one for one in self.roster.inside if one != self.config.name)
        return self._job_roster(self.roster.but(rest, self.roster.out))

    def _job_roster(self, roster: Roster) -> int:
        assert self.known is not None
        digest = self._add(roster.content())
        return self._job(enrol(self.known.head.roster, digest), digest)

    def _job(self, change: Change | None, digest: str | None) -> int:
        self._jobs += 1
        number = self._jobs

        def ended(decided: Decided | None, end: End) -> None:
            if digest is not None:
                self._offers.discard(digest)
            if decided is not None:
                self._learn(decided, self.config.name)
                self.out.append(Done(number, end, decided.head))

        self.proposer.add(Job(change, ended))
        return number

    # --- Status

    def standing(self, now: int) -> MemberStatus:
        """Whether this member may act on what contradicts; asked right before it acts."""
        if self.broken:
            return MemberStatus.BROKEN
        if self.membership.twin(now):
            return MemberStatus.TWIN
        if not self.heard_register:
            return MemberStatus.HEARING
        if not self.joined or self.left:
            return MemberStatus.OUTSIDE
        if self.confirmed < self.joined:
            return MemberStatus.BEHIND
        if self.lease is not None and now >= self.lease.until():
            return MemberStatus.LAPSED
        return MemberStatus.IN

    # --- Saying and hearing

    def _say(self, to: str, message: Message) -> None:
        if to == self.config.name:
            self._local.append(message)
            return
        self.out.append(Send(to, message))
        if isinstance(message, Relayed):
            return
        if self._via is not None and to == self._via[0]:
            self.out.append(Send(self._via[1], Relayed(self.config.name, to, message)))
        elif isinstance(message, QUESTIONS) and self.prober.alive(to):
            ask_too = self.relays.asks(to)
            helper = self._alive(self.rng.choice(self._others), but=to) if ask_too else None
            if helper is not None:
                self.out.append(Send(helper, Relayed(self.config.name, to, message)))

    def _say_all(self, said: list[tuple[str, Any]]) -> None:
        for to, message in said:
            self._say(to, message)

    def _gossip(self, count: int, now: int) -> None:
        """News to so many others; seldom to one taken for dead, which may be back."""
        for name in self.rng.sample(self._others, min(count, len(self._others))):
            to = name if self.rng.random() < DEAD_TOO else self._alive(name)
            if to is not None:
                self._say(to, self._news(now))

    def _alive(self, first: str, but: str = "") -> str | None:
        """This one or another that is not taken for dead; None where a few tries find none."""
        name = first
        for _ in range(TRIES):
            if name != but and self.prober.alive(name):
                return name
            name = self.rng.choice(self._others)
        return None

    def _is_busy(self, now: int) -> bool:
        """Whether there is something to be heard by all, or to be heard of, as soon as may be."""
        known = self.known
        if known is None or not self.heard_register or now < self._busy_until:
            return True
        if known.head.pending is not None or self.roster.out or not self.settled():
            return True
        return bool(self.proposer.jobs) or self.membership.has_news() or self.prober.has_news()

    def _drain(self, now: int) -> None:
        """What this member says to itself is heard at once; what it says to others follows it."""
        while self._local:
            self._hear(self.config.name, self._local.popleft(), now)

    def _hear(self, sender: str, message: Message, now: int) -> None:
        if isinstance(message, News):
            self._hear_news(sender, message, now)
        elif isinstance(message, BlockRequest):
            piece = self.contents.answer(message)
            if piece is not None:
                self._say(sender, piece)
        elif isinstance(message, Block):
            self._hear_piece(message, now)
        elif isinstance(message, Relayed):
            self._hear_via(sender, message, now)
        elif isinstance(message, (Ping, Ack, Nack)):
            self._hear_probe(sender, message)
        elif isinstance(message, QUESTIONS):
            if self.voter is not None:
                self._hear_as_voter(self.voter, sender, message, now)
        elif sender in self.config.voters:
            if self._via is None:
                self.relays.answered(sender)
            self._hear_voter(sender, message, now)

    def _hear_via(self, sender: str, via: Relayed, now: int) -> None:
        """Pass something on, or take what was passed on; what it is answered goes back that way."""
        if via.to == self.config.name:
            self._via = via.origin, sender
            try:
                self._hear(via.origin, via.message, now)
            finally:
                self._via = None
        elif via.origin == sender:  # one other member in between, and no more
            if isinstance(via.message, Ping):
                self.prober.passes(sender, via.message.number, now)
            elif isinstance(via.message, Ack):
                self.prober.has_passed(via.to, via.message.number)
            self._say(via.to, via)

    def _hear_probe(self, sender: str, message: Ping | Ack | Nack) -> None:
        if isinstance(message, Ping):
            self._refute(message.doubted)
            self._say(sender, Ack(message.number))
        elif isinstance(message, Ack):
            self.prober.answered(sender, message.number)
        else:
            self.prober.not_answered(sender, message.number)

    def _refute(self, life: int) -> None:
        """A life of this member is doubted: go on in the next."""
        if life and self.membership.live_above(life):
            self.prober.ill()
            self._keep_life()

    def _keep_life(self) -> None:
        self.out.append(Keep({SELF: msgspec.msgpack.encode(self.membership.mine.life)}))

    def _hear_as_voter(
        self,
        voter: Voter,
        sender: str,
        message: ReadRequest | Prepare | Accept | VoteRecoveryRequest | Poll,
        now: int,
    ) -> None:
        answer: Message | None = None
        if isinstance(message, ReadRequest):
            answer = ReadReply(message.number, voter.wants()) if voter.votes else None
        elif isinstance(message, Prepare):
            self.proposer.rank(message.ballot)
            answer = voter.prepare(message)
        elif isinstance(message, Accept):
            self.proposer.rank(message.ballot)
            answer = voter.accept(message)
            if answer is None and voter.votes:
                self._awaited.extend(digests(message.head))
                self._want_contents(message.head, sender)
                self._say_all(self.contents.asks(now, (), 0))
        elif isinstance(message, VoteRecoveryRequest):
            answer = voter.here(message)
        elif self.heard_register and self.known is not None:
            inside = sender in self.roster.inside
            ok = inside and voter.grant(sender, message, self.known.head.floor, now)
            answer = Grant(message.number, ok)
            if not ok and sender != self.config.name:
                self._say(sender, self._news(now))
        if answer is not None:
            self._say(sender, answer)

    def _hear_voter(self, sender: str, message: Message, now: int) -> None:
        """A voter's answer to something that this member asked."""
        if isinstance(message, ReadReply):
            self.proposer.seen(sender, message)
        elif isinstance(message, Promise):
            self._stamp(sender, message.stamp)
            self._say_all(self.proposer.promised(sender, message, now))
            if self.voter is not None:
                self.voter.promised(sender, message, self._want_to_mend)
        elif isinstance(message, Accepted):
            self._stamp(sender, message.stamp)
            self._say_all(self.proposer.accepted(sender, message, now))
        elif isinstance(message, VoteRecoveryReply) and self.voter is not None:
            self.voter.heard(sender, message, now)
        elif isinstance(message, Grant) and message.ok and self.lease is not None:
            self.lease.granted(sender, message.number)

    def _stamp(self, voter: str, stamp: int) -> None:
        self.stamps[voter] = max(stamp, self.stamps.get(voter, 0))
        if self.voter is not None and voter == self.config.name:
            self.voter.is_known(stamp)

    def _keep_stamps(self) -> None:
        if self.voter is not None and self.stamps != self._stamps_kept:
            self._stamps_kept = dict(self.stamps)
            self.out.append(Keep({STAMPS: msgspec.msgpack.encode(self.stamps)}))

    def _hear_piece(self, piece: Block, now: int) -> None:
        packed = self.contents.take(piece)
        if packed is None:
            self._say_all(self.contents.asks(now, (), 0))
            return
        self.out.append(Keep({CONTENT + piece.digest: packed}))
        if self.voter is not None:
            self.voter.settle()
        self._settle()

    # --- Gossip

    def _news(self, now: int) -> News:
        rows = self.membership.pick(ROWS, self.rng)
        stamps = {v: s for v, s in self.stamps.items() if v in self.config.voters}
        return News(self.known, rows, stamps, self._my_lapsed(now), self.prober.news())

    def _hear_news(self, sender: str, news: News, now: int) -> None:
        if self.membership.merge(news.rows, now):
            self._keep_life()
            self.out.append(Tell("name heard in another life", {"life": self.membership.mine.life}))
        self.prober.seen(news.rows)
        self._refute(self.prober.doubted(news.doubts, self.membership.life_of, now))
        doubted = self.prober.doubt_of(sender, self.membership.life_of)
        if doubted:
            self._say(sender, Ping(0, doubted))  # it is there, and may not know what is said of it
        for voter, stamp in news.stamps.items():
            if stamp > self.stamps.get(voter, 0) or voter == self.config.name:
                self._stamp(voter, stamp)
        if news.lapsed is not None and sender in self.config.voters:
            self._lapsed[sender] = news.lapsed
        if news.decided is not None:
            self.proposer.rank(news.decided.ballot)
            self._learn(news.decided, sender)
        turn = 0 if news.decided is None else news.decided.head.turn
        if self.known is not None and turn < self.known.head.turn:
            self._say(sender, self._news(now))  # it is behind, and need not wait to be chosen

    # --- Heads

    def _read(self, decided: Decided | None, end: End) -> None:
        """The reading that a start begins with."""
        if decided is not None:
            if decided.head.turn < self._kept_turn:
                self._went_back(decided.head)
            self.heard_register = True
            self.out.append(Keep({LEFT: None}))
            self._learn(decided, self.rng.choice(self.config.voters))
            self._settle()
        elif self._kept_turn:
            self._went_back(None)
        elif self.known is not None:
            # Others know of a head: it was decided meanwhile, or the voters' disks are lost.
            self._read_again = True
        elif self.founding is not None and self.config.name in self.config.voters:
            founding = self.founding
            digest = self._add(founding.content)
            roster = self._add(Roster(self.config.peers, ()).content())
            version = Version(
                founding.serial, 0, digest, self.config.name, founding.who, 0,
                f"{self.config.name}-{self.boot:x}-founding",
            )  # fmt: skip
            self.proposer.add(Job(found(version, roster), self._read))
        else:
            self._read_again = True  # voters found a tier; others wait until they have

    def _went_back(self, head: Head | None) -> None:
        """Voters have forgotten what was decided: more disks were lost than a minority."""
        self.broken = True
        known = 0 if self.known is None else self.known.head.turn
        fields: dict[str, object] = {"known": known, "read": 0 if head is None else head.turn}
        self.out.append(Tell("register went back", fields))

    def _want_to_mend(self, decided: Decided, source: str) -> None:
        self._awaited.extend(digests(decided.head))
        self._want_contents(decided.head, source)

    def _want_contents(self, head: Head, source: str) -> None:
        for digest in digests(head):
            self.contents.want(digest, source)

    def _learn(self, decided: Decided, source: str) -> None:
        """A head that was decided, by whoever's word: words are sealed with the tier's key."""
        known = self.known
        if known is not None and decided.head.turn <= known.head.turn:
            if decided.head.turn == known.head.turn and decided.head != known.head:
                self._went_back(decided.head)
            return
        self.known, self._news_of_head = decided, True
        self.out.append(Keep({KNOWN: msgspec.msgpack.encode(decided)}))
        self._ready_at, self._retell_at = None, 0
        self._want_contents(decided.head, source)
        self._settle()

    def _settle(self) -> None:
        """Go by the head that is known, once its contents are here and it is the latest heard."""
        known = self.known
        if known is None:
            return
        head = known.head
        if not self._is_here(head):
            self._want_contents(head, self.rng.choice(self.config.voters))
            return
        if self.voter is not None:
            self.voter.learn(known)
        self.roster = msgspec.json.decode(self.contents.read(head.roster), type=Roster)
        self._settled = head.turn
        more = [name for name in self.roster.places if name not in self.config.peers]
        self._others = [n for n in (*self.config.peers, *more) if n != self.config.name]
        if self.config.name not in self.roster.inside:
            self.joined = 0
        elif self.heard_register:
            self.joined = self.joined or head.turn
        self._forget()
        if not self.heard_register or (self.acting is not None and self.acting.turn >= head.turn):
            return
        self.acting = Acting(head.turn, head.active, head.pending, head.posture)
        self.out.append(Act(self.acting))

    def _forget(self) -> None:
        """Let go of contents that nobody can ask for any more."""
        assert self.known is not None
        wanted = set(digests(self.known.head)) | self._offers | {*self._awaited}
        accepted = None if self.voter is None else self.voter.wants()
        if accepted is not None:
            wanted.update(digests(accepted.head))
        gone = self.contents.keep_only(wanted)
        if gone:
            self.out.append(Keep({CONTENT + digest: None for digest in gone}))

    # --- The roster and what is pending

    def _enrol(self, now: int) -> None:
        """One that is not in the roster asks to be; until it is, it acts on nothing.

        Those that were put out are struck off once they can't act any more.
        """
        known = self.known
        if known is None or not self.heard_register or self._enrolling or now < self._enrol_at:
            return
        if self.left or not self.settled():
            return
        roster, me = self.roster, self.config.name
        gone = [one for one in roster.out if one != me and self._is_lapsed(one)]
        # Danger: one that was put out comes back only after it has lapsed: what it may still do
        # by an older lease would otherwise count as confirmed with what it does by the new one.
        # It strikes others off all the same, or where all are out nobody ever would.
        out_itself = me in roster.out
        if not gone and (out_itself or me in roster.inside):
            return
        inside = roster.inside if out_itself else {*roster.inside, me}
        out = tuple(one for one in roster.out if one not in gone)
        self._enrolling, self._enrol_at = True, now + AGAIN
        digest = self._add(roster.but(inside, out).content())

        def ended(decided: Decided | None, end: End) -> None:
            self._enrolling = False
            self._offers.discard(digest)
            if decided is not None:
                self._learn(decided, self.rng.choice(self.config.voters))

        self.proposer.add(Job(enrol(known.head.roster, digest), ended))

    def _poll(self, now: int) -> None:
        if self.lease is not None and now >= self._poll_at:
            self._poll_at = now + self.lease.length // POLLS
            number = self.lease.ask(now)
            for voter in self.config.voters:
                self._say(voter, Poll(number, self.confirmed))

    def _my_lapsed(self, now: int) -> tuple[int, bytes] | None:
        """Members for which no lease of this voter holds, and which get none by an older head."""
        voter, known = self.voter, self.known
        if voter is None or voter.grants is None or known is None:
            return None
        if not self.heard_register or not voter.votes or not self.settled():
            return None
        names = self.roster.names()
        bits = bytearray((len(names) + 7) // 8)
        for i, name in enumerate(names):
            barred = name in self.roster.out or not self._has_confirmed(name)
            if barred and voter.grants.lapsed(name, now):
                bits[i // 8] |= 1 << i % 8
        return known.head.turn, bytes(bits)

    def _has_confirmed(self, name: str) -> bool:
        assert self.known is not None
        row = self.membership.rows.get(name)
        own = self.confirmed if name == self.config.name else 0
        return max(own, row.confirmed if row is not None else 0) >= self.known.head.floor

    def _is_lapsed(self, name: str) -> bool:
        """Whether a majority of voters say that no lease of this member holds."""
        assert self.known is not None
        at, turn = self.roster.names().index(name), self.known.head.turn
        said = [bits for t, bits in self._lapsed.values() if t == turn and len(bits) > at // 8]
        return sum(bits[at // 8] >> at % 8 & 1 for bits in said) >= majority(
            len(self.config.voters)
        )

    def waiting_for(self) -> list[str]:
        """Members that a pending version waits for."""
        known = self.known
        if known is None or known.head.pending is None or not self.settled():
            return []
        return [
            name
            for name in self.roster.names()
            if not (self._has_confirmed(name) and name in self.roster.inside)
            and not self._is_lapsed(name)
        ]

    def words(self, now: int) -> dict[str, bytes]:
        """What those who are there say with their rows, this member too, by name.

        Danger: who dies with a zone has said of it, last, that it is well. Its word does not count
        from when it is suspected.
        """
        rows, health = self.membership.rows, self.prober.health
        found = {
            name: rows[name].word for name, seen in self.membership.seen.items()
            if now - seen <= WORD_LIFE and rows[name].word
            and health(name, rows[name].life) is Health.ALIVE
        }  # fmt: skip
        return {**found, self.config.name: self.word} if self.word else found

    def hurry(self, now: int) -> None:
        """What this member has to say is news that others wait for."""
        self._busy_until = now + BUSY

    def lagging(self) -> list[str]:
        """Members that are there, and have not said that they act by what this one acts by."""
        rows, dead = self.membership.rows, self.prober.dead()
        return [
            name for name in self.roster.inside
            if name not in dead and name != self.config.name
            and (name not in rows or rows[name].confirmed < self.confirmed)
        ]  # fmt: skip

    def _is_here(self, head: Head) -> bool:
        return self.contents.has(*digests(head))

    def _consider(self, now: int) -> None:
        """Make a pending version active once nobody has to be waited for."""
        known = self.known
        if known is None or known.head.pending is None or self._activating:
            return
        if not self.heard_register or not self.settled() or self.waiting_for():
            self._ready_at = None
            return
        pending = known.head.pending
        if self._ready_at is None:
            mine = pending.by == self.config.name
            self._ready_at = now + (0 if mine else self.rng.randrange(FIRST_AFTER, LAST_AFTER))
        if now >= self._ready_at:
            self._activating = True
            self.proposer.add(Job(activate(pending.serial), self._activated))

    def _activated(self, decided: Decided | None, end: End) -> None:
        self._activating = False
        if decided is not None:
            self._learn(decided, self.rng.choice(self.config.voters))

    # --- For people

    def status(self, now: int) -> dict[str, Any]:
        """What `tier status` shows. Ages are by this process's clock."""
        head = None if self.known is None else self.known.head
        members = []
        for name in sorted({*self.roster.names(), *self.membership.rows}):
            row, seen = self.membership.rows.get(name), self.membership.seen.get(name)
            me = name == self.config.name
            members.append({
                "name": name, "inside": name in self.roster.inside,
                "voter": name in self.config.voters,
                "confirmed": 0 if row is None else row.confirmed,
                "age": 0 if me else None if seen is None else now - seen,
                "trouble": "" if row is None else row.trouble,
                "health": self.prober.health(name, self.membership.life_of(name)).value,
                "place": self.roster.places.get(name),
            })  # fmt: skip
        return {
            "name": self.config.name, "standing": self.standing(now).name.lower(),
            "why": self.standing(now).value, "turn": 0 if head is None else head.turn,
            "active": None if head is None else head.active.serial,
            "pending": None if head is None or head.pending is None else head.pending.serial,
            "waiting_for": self.waiting_for(), "members": members,
            "voter": None if self.voter is None else self.voter.acceptor.mode.value,
            "old_disk": self.voter is not None and self.voter.acceptor.old,
        }  # fmt: skip
