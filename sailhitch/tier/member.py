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
from typing import Any, Final

import msgspec

from ..pages import Tree
from .activation import Activation
from .config import Founding, MemberStatus, TierConfig
from .confirmations import Confirmations
from .content_exchange import ANY_SOURCES, SOURCES, ContentExchange, ContentMessage
from .content_store import CONTENT
from .effects import Act, Acting, Done, Effect, End
from .enrolment import Enrolment, enrolled, left, placed, put_out
from .first_reading import NextStep, after_reading
from .gossip import Gossip
from .lease import Grants, Lease
from .line import Change, activate, enrol, found, offer, pose, read, withdraw
from .membership import MembershipTable
from .messages import (
    Accept,
    Accepted,
    Ack,
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
    UnfinishedRound,
    Version,
    VoteRecoveryReply,
    VoteRecoveryRequest,
)
from .operator_checks import why_not_admitted, why_not_gone
from .outbox import VOTER_REQUESTS, Outbox
from .presence import INCARNATION, Presence
from .probes import Prober
from .proposer import Job, Proposer
from .register import VOTE, majority
from .roster import EMPTY_ROSTER, Roster, RosterIndex, decode_roster
from .round_recovery import RoundRecovery
from .status_report import status_report
from .voter import STAMPS, Voter

__all__ = ["CONTENT", "KNOWN", "Founding", "Member", "MemberStatus", "Roster", "TierConfig"]

RECORDS: Final = 12  # of members, in a datagram of gossip
KNOWN: Final = "known"  # the name on disk of the latest head
LEFT: Final = "left"  # ...and of a mark that this member may have left
REPORT_AGAIN: Final = 300_000  # us between two reports to who proposed what is pending
POLLS: Final = 6  # questions in a lease's length
READ_AGAIN: Final = 500_000  # us between two readings of a register that was empty


class Member:
    """The sans-IO core of a member. Methods take the time; `take` gives what to do, in order."""

    def __init__(
        self, config: TierConfig, boot: int, kept: dict[str, bytes], rng: random.Random, now: int,
        founding: Founding | None,
    ) -> None:  # fmt: skip
        self.config, self.boot, self.rng, self.founding = config, boot, rng, founding
        self.since = now
        self.prober = Prober(config.name, rng, now)
        others = [name for name in config.peers if name != config.name]
        self._gossip = Gossip(rng, self.prober, others)
        self._outbox = Outbox(config.name, self._gossip, self.prober, rng)
        life = 0
        if INCARNATION in kept:
            life = msgspec.msgpack.decode(kept[INCARNATION], type=int)
        self.membership = MembershipTable(config.name, life + 1, boot)
        self._presence = Presence(self.membership, self.prober, self._outbox)
        self._exchange = ContentExchange(kept, self._outbox, rng, now)
        self.contents = self._exchange.store
        self.stamps: dict[str, int] = msgspec.msgpack.decode(
            kept.get(STAMPS, b"\x80"), type=dict[str, int]
        )
        self._stamps_kept = dict(self.stamps)
        self.known: Decided | None = None
        if KNOWN in kept:
            self.known = msgspec.msgpack.decode(kept[KNOWN], type=Decided)
        self._kept_turn = 0 if self.known is None else self.known.head.turn
        self.proposer = Proposer(config.name, boot, config.voters, rng)
        self.lease = (
            None if config.lease is None else Lease(config.lease, majority(len(config.voters)))
        )
        self.voter: Voter | None = None
        if config.name in config.voters:
            grants = None if config.lease is None else Grants(config.lease, now)
            self.voter = Voter(
                config.name, config.voters, kept.get(VOTE), self.contents, self.stamps, grants,
                self.proposer.ballot, boot, self._outbox.effects,
            )  # fmt: skip
            self.proposer.rank(self.voter.acceptor.vote.promised)
        self.heard_register = False
        self.broken = self.left = False
        self.trouble = ""
        self.word = b""  # what its rows carry for whoever runs it
        self.acting: Acting | None = None  # what was last asked to be acted by
        self.joined = 0  # the turn by which it came to be in the roster, as far as it acts
        self._index = RosterIndex(EMPTY_ROSTER)  # as of the turn `_settled`
        self._roster_digest = ""
        self._settled = 0
        self._jobs = 0
        self._confirmations = Confirmations(self.membership, len(config.voters))
        self._activation, self._enrolment = Activation(rng), Enrolment()
        self._recovery = RoundRecovery(rng)
        self._unanswered: tuple[str, Accept] | None = None  # whose contents are on their way
        self._read_again = self._head_is_new = False
        self._poll_at = self._read_at = self._report_at = 0
        self._presence.keep_incarnation()
        # Voters of an earlier version of the program do not tell of a leave that is under way.
        self.proposer.add(self._first_reading(at_once=LEFT in kept))

    @property
    def confirmed(self) -> int:
        """The turn by which this process acts, or a later one."""
        return self._confirmations.own

    @property
    def roster(self) -> Roster:
        """Whom a change waits for, as of the latest head whose contents are here."""
        return self._index.roster

    # --- What happens

    def take(self) -> list[Effect]:
        """What to do, in this order; all since the last call."""
        return self._outbox.take()

    def tick(self, now: int) -> None:
        """Time passes; some ten times a second."""
        self.membership.beat(self.confirmed, self.trouble, self.word)
        if self.voter is not None:
            self._outbox.send_all(self.voter.tick(now))
        self._outbox.send_all(self.proposer.tick(now))
        if self._read_again and now >= self._read_at:
            self._read_again, self._read_at = False, now + READ_AGAIN
            self.proposer.add(self._first_reading())
        if not self.settled():
            self._settle()
        self._exchange.ask(now, self._sources)
        self._poll(now)
        others = self._gossip.others
        self._outbox.send_all(self.prober.tick(now, others, self.membership.life_of))
        if self._head_is_new:
            self._head_is_new = False
            self._gossip.hurry(now)
        self._make_lapse_report(now)
        self._enrol(now)
        self._activate(now)
        self._recover(now)
        self._keep_stamps()
        self._report_confirmed(now)
        if self._gossip.is_due(now, self._is_busy(now)):
            self._send_news(now)
        self._drain(now)

    def heard(self, sender: str, message: Message, now: int) -> None:
        """A member has said something; its name is certain, its truth is not taken for granted."""
        self._outbox.heard_directly(sender)
        self._hear(sender, message, now)
        self._drain(now)

    def acted(self, turn: int, now: int) -> None:
        """Nothing in this process goes by anything older than this turn's rules any more."""
        if turn > self.confirmed:
            self._gossip.hurry(now)
            self._confirmations.own, self.trouble = turn, ""
            self.membership.beat(turn, "", self.word)
            self._poll_at = now
            self._poll(now)
            self._activate(now)
            self._send_news(now)
            self._report_confirmed(now)
            self._exchange.applied(turn)
            if self.settled():
                self._forget()
        self._drain(now)

    def _report_confirmed(self, now: int) -> None:
        """Confirm to who waits for it, now and again while it does; gossip brings it later."""
        pending = None if self.known is None else self.known.head.pending
        if pending is None or pending.by == self.config.name or now < self._report_at:
            return
        if self.acting is not None and (self.confirmed >= self.acting.turn or self.trouble):
            self._report_at = now + REPORT_AGAIN
            self._outbox.send(pending.by, self._news(now))

    def not_acted(self, turn: int, why: str) -> None:
        """This process can't go by that turn's rules; it goes on by the older ones."""
        if self.acting is not None and self.acting.turn == turn:
            self.trouble = why or "unknown"

    # --- What operators ask for

    def propose(self, content: bytes | Tree, base: int, waits: bool, who: str, when: int) -> int:
        """Offer a version made from the active one of serial `base`; the number of the job.

        `waits`: it contradicts its base, and all have to confirm it first. A tree has at least the
        pages that are not here; raises ValueError where others are lacking.
        """
        version, digest = self._version(content, base, who, when)
        return self._job(offer(version, waits), digest)

    def _version(
        self, content: bytes | Tree, base: int, who: str, when: int
    ) -> tuple[Version, str]:
        """Something to be offered, and its content's digest."""
        digest = self._exchange.offer(content)
        change = f"{self.config.name}-{self.boot:x}-{self._jobs}"
        return Version(0, base, digest, self.config.name, who, when, change), digest

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
        # One of which nothing was heard since this member started may have been heard before.
        age = now - self.membership.seen.get(name, self.since)
        may_act = self.lease is None and name not in self.prober.dead()
        is_self = name == self.config.name
        return why_not_gone(name in self._index.inside, is_self, age, quiet, may_act)

    def put_out(self, name: str) -> int | None:
        """A member is gone, by an operator's word: changes wait for it no more.

        Where there are leases, it gets none from here on, and changes wait until the last one has
        lapsed; without, the word is taken for it. The number of the job; None: try again soon.
        """
        if not self.settled():
            return None
        return self._job_roster(put_out(self.roster, name, self.lease is not None))

    def why_not_admitted(self, name: str) -> str:
        """Why a name should not be looked for elsewhere; empty: nothing speaks against it."""
        return why_not_admitted(name in self._index.inside, name in self.prober.dead())

    def admit(self, name: str, place: str) -> int | None:
        """A member is, or is to come, at this address (`host:port`), whatever the files say.

        It joins by itself once it is there. The number of the job; None: try again soon.
        """
        if not self.settled():
            return None
        return self._job_roster(placed(self.roster, name, place))

    def leave(self) -> int | None:
        """Go, and be waited for no more. This member acts on nothing from here on.

        The number of the job; None: it has not heard enough to say so.
        """
        self.left = True
        if not self.settled():
            return None
        self._outbox.keep({LEFT: b"1"})
        return self._job_roster(left(self.roster, self.config.name))

    def _job_roster(self, roster: Roster) -> int:
        assert self.known is not None
        digest = self._exchange.offer(roster.content())
        return self._job(enrol(self.known.head.roster, digest), digest)

    def _job(self, change: Change | None, digest: str | None) -> int:
        self._jobs += 1
        number = self._jobs

        def ended(decided: Decided | None, end: End) -> None:
            if digest is not None:
                self._exchange.end_offer(digest)
            if decided is not None:
                self._learn(decided, self.config.name)
                self._outbox.effects.append(Done(number, end, decided.head))

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

    # --- Receiving

    def _is_busy(self, now: int) -> bool:
        """Whether there is something to be heard by all, or to be heard of, as soon as may be."""
        known = self.known
        if known is None or not self.heard_register or self._gossip.is_hurried(now):
            return True
        if known.head.pending is not None or self.roster.out or not self.settled():
            return True
        return bool(self.proposer.jobs) or self.membership.has_news() or self.prober.has_news()

    def _drain(self, now: int) -> None:
        """What this member says to itself is heard at once; what it says to others follows it."""
        while (message := self._outbox.take_local()) is not None:
            self._hear(self.config.name, message, now)

    def _hear(self, sender: str, message: Message, now: int) -> None:
        if isinstance(message, News):
            self._hear_news(sender, message, now)
        elif isinstance(message, ContentMessage):
            if self._exchange.hear(sender, message, now):
                self._content_is_here(now)
        elif isinstance(message, Relayed):
            self._hear_relayed(sender, message, now)
        elif isinstance(message, (Ping, Ack, Nack)):
            self._presence.hear_probe(sender, message)
        elif isinstance(message, VOTER_REQUESTS):
            if self.voter is not None:
                self._hear_as_voter(self.voter, sender, message, now)
        elif sender in self.config.voters:
            if not self._outbox.is_relayed:
                self._outbox.relays.answered(sender)
            self._hear_voter(sender, message, now)

    def _hear_relayed(self, sender: str, relayed: Relayed, now: int) -> None:
        """Pass a message on, or take one that was passed on; the reply goes back that way."""
        if relayed.to == self.config.name:
            with self._outbox.replying_over(relayed.origin, sender):
                self._hear(relayed.origin, relayed.message, now)
        elif relayed.origin == sender:  # one other member in between, and no more
            if isinstance(relayed.message, Ping):
                self.prober.passes(sender, relayed.message.number, now)
            elif isinstance(relayed.message, Ack):
                self.prober.has_passed(relayed.to, relayed.message.number)
            self._outbox.send(relayed.to, relayed)

    def _hear_as_voter(
        self,
        voter: Voter,
        sender: str,
        message: ReadRequest | Prepare | Accept | VoteRecoveryRequest | Poll,
        now: int,
    ) -> None:
        answer: Message | None = None
        if isinstance(message, ReadRequest):
            answer = voter.read(sender, message.number)
        elif isinstance(message, Prepare):
            self.proposer.rank(message.ballot)
            answer = voter.prepare(message)
        elif isinstance(message, Accept):
            self.proposer.rank(message.ballot)
            answer = voter.accept(message)
            if answer is None and voter.votes:
                self._unanswered = sender, message
                self._exchange.want_to_vote(message.head, sender)
                self._exchange.ask(now)
        elif isinstance(message, VoteRecoveryRequest):
            answer = voter.here(message)
        elif self.heard_register and self.known is not None:
            inside = sender in self._index.inside
            ok = inside and voter.grant(sender, message, self.known.head.floor, now)
            answer = Grant(message.number, ok)
            if not ok and sender != self.config.name:
                self._outbox.send(sender, self._news(now))
        if answer is not None:
            self._outbox.send(sender, answer)

    def _hear_voter(self, sender: str, message: Message, now: int) -> None:
        """A voter's answer to something that this member asked."""
        if isinstance(message, ReadReply | UnfinishedRound):
            self.proposer.seen(sender, message)
        elif isinstance(message, Promise):
            self._stamp(sender, message.stamp)
            self._outbox.send_all(self.proposer.promised(sender, message, now))
            if self.voter is not None:
                self.voter.promised(sender, message, self._exchange.want_to_vote)
        elif isinstance(message, Accepted):
            self._stamp(sender, message.stamp)
            self._outbox.send_all(self.proposer.accepted(sender, message, now))
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
            self._outbox.keep({STAMPS: msgspec.msgpack.encode(self.stamps)})

    def _content_is_here(self, now: int) -> None:
        """Go by what waited for a content."""
        if self.voter is not None:
            self.voter.settle()
            if self._unanswered is not None:
                (sender, accept), self._unanswered = self._unanswered, None
                self._hear_as_voter(self.voter, sender, accept, now)
        self._settle()

    def _sources(self) -> list[list[str]]:
        """Members that may have what is fetched: voters and those that apply it; then any."""
        turn = 0 if self.known is None else self.known.head.turn
        confirmed = self._exchange.draw(self._presence.confirmed(turn), SOURCES)
        likely = sorted({*self.config.voters, *confirmed} - {self.config.name})
        others = self._exchange.draw(list(self._gossip.others), ANY_SOURCES)
        alive = self.prober.alive
        return [[name for name in names if alive(name)] for names in (likely, others)]

    # --- Gossip

    def _send_news(self, now: int) -> None:
        for name in self._gossip.draw(self.config.fanout):
            self._outbox.send(name, self._news(now))

    def _news(self, now: int) -> News:
        records = self.membership.pick(RECORDS, self.rng)
        stamps = {v: s for v, s in self.stamps.items() if v in self.config.voters}
        lapses = self._confirmations.report(None if self.known is None else self.known.head)
        return News(self.known, records, stamps, lapses, self.prober.news())

    def _hear_news(self, sender: str, news: News, now: int) -> None:
        self._presence.hear_news(sender, news, now)
        for voter, stamp in news.stamps.items():
            if stamp > self.stamps.get(voter, 0) or voter == self.config.name:
                self._stamp(voter, stamp)
        if news.lapsed is not None and sender in self.config.voters:
            self._confirmations.record(sender, news.lapsed)
        if news.decided is not None:
            self.proposer.rank(news.decided.ballot)
            self._learn(news.decided, sender)
        record = self.membership.records.get(sender)
        if (
            record is not None
            and self.known is not None
            and (record.confirmed >= self.known.head.turn)
        ):
            self.contents.add_source(sender)  # it applies that head, and so has all of its contents
        turn = 0 if news.decided is None else news.decided.head.turn
        if self.known is not None and turn < self.known.head.turn:
            # It is behind, and need not wait to be chosen.
            self._outbox.send(sender, self._news(now))

    # --- Heads

    def _first_reading(self, at_once: bool = False) -> Job:
        """The reading that a start begins with.

        Danger: the leave of an earlier life may still be under way. If it were decided after this
        life has read that it is inside, no change would wait for it. A mark on this member's own
        disk is not enough: that may be an older or an empty one by now. Voters tell.
        """
        return Job(None, self._read, final=True, at_once=at_once)

    def _read(self, decided: Decided | None, end: End) -> None:
        """That reading has ended."""
        may_found = self.founding is not None and self.voter is not None
        step = after_reading(decided, self._kept_turn, self.known is not None, may_found)
        if step is NextStep.REPORT_LOSS:
            self._went_back(None if decided is None else decided.head)
        elif step is NextStep.READ_AGAIN:
            self._read_again = True
        elif step is NextStep.FOUND:
            self._found_tier()
        if decided is not None:
            self.heard_register = True
            if not self.left:  # otherwise a leave of this life waits behind this reading
                self._outbox.keep({LEFT: None})
            self._learn(decided, self.rng.choice(self.config.voters))
            self._settle()

    def _found_tier(self) -> None:
        founding, name = self.founding, self.config.name
        assert founding is not None
        digest = self._exchange.offer(founding.content)
        roster = self._exchange.offer(Roster(self.config.peers, ()).content())
        change = f"{name}-{self.boot:x}-founding"
        version = Version(founding.serial, 0, digest, name, founding.who, 0, change)
        self.proposer.add(Job(found(version, roster), self._read))

    def _went_back(self, head: Head | None) -> None:
        """Voters have forgotten what was decided: more disks were lost than a minority."""
        self.broken = True
        known = 0 if self.known is None else self.known.head.turn
        fields: dict[str, object] = {"known": known, "read": 0 if head is None else head.turn}
        self._outbox.tell("register went back", fields)

    def _learn(self, decided: Decided, source: str) -> None:
        """A head that was decided, by whoever's word: words are sealed with the tier's key."""
        known = self.known
        if known is not None and decided.head.turn <= known.head.turn:
            if decided.head.turn == known.head.turn and decided.head != known.head:
                self._went_back(decided.head)
            return
        self.known, self._head_is_new = decided, True
        self._outbox.keep({KNOWN: msgspec.msgpack.encode(decided)})
        self._activation.restart()
        self._report_at = 0
        self._exchange.want_latest(decided.head, self._accepted(), source)
        self._settle()

    def _settle(self) -> None:
        """Go by the head that is known, once its contents are here and it is the latest heard."""
        known = self.known
        if known is None:
            return
        head = known.head
        if not self._exchange.has(head):
            self._exchange.want(head, self.rng.choice(self.config.voters))
            return
        if self.voter is not None:
            self.voter.learn(known)
        self._take_roster(head.roster)
        self._settled = head.turn
        if self.config.name not in self._index.inside:
            self.joined = 0
        elif self.heard_register:
            self.joined = self.joined or head.turn
        self._forget()
        if not self.heard_register or (self.acting is not None and self.acting.turn >= head.turn):
            return
        self.acting = Acting(head.turn, head.active, head.pending, head.posture)
        self._exchange.applying(head)
        self._outbox.effects.append(Act(self.acting))

    def _take_roster(self, digest: str) -> None:
        if digest == self._roster_digest:
            return
        self._roster_digest = digest
        self._index = RosterIndex(decode_roster(self.contents.read(digest)))
        peers, me = self.config.peers, self.config.name
        more = [name for name in self.roster.places if name not in peers]
        self._gossip.others = [name for name in (*peers, *more) if name != me]

    def _accepted(self) -> Head | None:
        """The head that this member has voted for."""
        accepted = None if self.voter is None else self.voter.wants()
        return None if accepted is None else accepted.head

    def _forget(self) -> None:
        """Let go of contents that nobody can ask for any more."""
        assert self.known is not None
        self._exchange.retain_only(self.known.head, self._accepted())

    # --- The roster and what is pending

    def _enrol(self, now: int) -> None:
        """One that is not in the roster asks to be; until it is, it acts on nothing.

        Those that were put out are struck off once they can't act any more.
        """
        known = self.known
        if known is None or not self.heard_register or not self._enrolment.is_due(now):
            return
        if self.left or not self.settled():
            return
        roster = enrolled(self._index, self.config.name, self._is_lapsed)
        if roster is None:
            return
        self._enrolment.begin(now)
        digest = self._exchange.offer(roster.content())

        def ended(decided: Decided | None, end: End) -> None:
            self._enrolment.end()
            self._exchange.end_offer(digest)
            self._learn_from_voters(decided, end)

        self.proposer.add(Job(enrol(known.head.roster, digest), ended))

    def _poll(self, now: int) -> None:
        if self.lease is not None and now >= self._poll_at:
            self._poll_at = now + self.lease.length // POLLS
            number = self.lease.ask(now)
            for voter in self.config.voters:
                self._outbox.send(voter, Poll(number, self.confirmed))

    def _make_lapse_report(self, now: int) -> None:
        voter, known = self.voter, self.known
        self._confirmations.drop_report()
        if voter is None or voter.grants is None or known is None:
            return
        if self.heard_register and voter.votes and self.settled():
            self._confirmations.make_report(self._index, known.head, voter.grants, now)

    def _is_lapsed(self, name: str) -> bool:
        assert self.known is not None
        return self._confirmations.is_lapsed(name, self._index, self.known.head)

    def waiting_for(self) -> list[str]:
        """Members that a pending version waits for."""
        known = self.known
        if known is None or known.head.pending is None or not self.settled():
            return []
        return self._confirmations.waiting_for(self._index, known.head)

    def words(self, now: int) -> dict[str, bytes]:
        """The metadata of those that are there, this member too, by name."""
        return self._presence.metadata(self.word, now)

    def hurry(self, now: int) -> None:
        """What this member has to say is news that others wait for."""
        self._gossip.hurry(now)

    def lagging(self) -> list[str]:
        """Members that are there, and have not said that they act by what this one acts by."""
        return self._presence.lagging(self.roster.inside, self.confirmed)

    def _activate(self, now: int) -> None:
        """Make a pending version active once nobody has to be waited for."""
        known = self.known
        if known is None or known.head.pending is None or self._activation.under_way:
            return
        if not self.heard_register or not self.settled() or self.waiting_for():
            self._activation.restart()
            return
        pending = known.head.pending
        if self._activation.is_due(now, pending.by == self.config.name):
            self._activation.under_way = True
            self.proposer.add(Job(activate(pending.serial), self._activated))

    def _activated(self, decided: Decided | None, end: End) -> None:
        self._activation.under_way = False
        self._learn_from_voters(decided, end)

    def _recover(self, now: int) -> None:
        """Complete a round that this voter has accepted and nobody speaks of any more."""
        voter = self.voter
        if voter is None or not voter.votes or self.proposer.jobs:
            return  # a job of its own, if there is one, finds what was accepted
        if self._recovery.is_due(now, voter.wants(), self.known):
            self.proposer.add(Job(read, self._learn_from_voters))

    def _learn_from_voters(self, decided: Decided | None, end: End) -> None:
        """A round of this member has found or made this."""
        if decided is not None:
            self._learn(decided, self.rng.choice(self.config.voters))

    # --- For people

    def status(self, now: int) -> dict[str, Any]:
        """What `tier status` shows. Ages are by this process's clock."""
        return status_report(self, now)
