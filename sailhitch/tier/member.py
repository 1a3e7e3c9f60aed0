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
from .config import BootstrapVersion, MemberStatus, TierConfig
from .configuration import (
    EMPTY_CONFIGURATION,
    Configuration,
    ConfigurationIndex,
    decode_configuration,
)
from .confirmations import Confirmations
from .content_exchange import ANY_SOURCES, SOURCES, ContentExchange, ContentMessage
from .content_store import CONTENT
from .effects import AppliedVersions, ApplyVersions, Effect, JobCompleted, ProposalResult
from .gossip import Gossip
from .join import JoinSchedule, with_address, with_evicted, with_joined, without_member
from .lease import GrantTable, Lease
from .liveness import INCARNATION_KEY, Liveness
from .membership import MembershipTable
from .messages import (
    Accept,
    Accepted,
    Ack,
    ChosenState,
    GossipMessage,
    LeaseGrant,
    LeaseRequest,
    Message,
    Nack,
    Ping,
    Prepare,
    Promise,
    ReadReply,
    ReadRequest,
    RegisterState,
    Relayed,
    UnfinishedRound,
    Version,
    VoteRecoveryReply,
    VoteRecoveryRequest,
)
from .operator_checks import why_not_admitted, why_not_evictable
from .outbox import VOTER_REQUESTS, Outbox
from .probes import Prober
from .proposer import Job, Proposer
from .register import VOTE_KEY, majority
from .round_recovery import RoundRecovery
from .startup_read import NextStep, next_step_after_read
from .status_report import status_report
from .transitions import (
    StateChange,
    activate,
    bootstrap,
    change_configuration,
    propose_traffic_policy,
    propose_version,
    read,
    withdraw,
)
from .voter import STAMPS_KEY, Voter

__all__ = [
    "CHOSEN_KEY",
    "CONTENT",
    "BootstrapVersion",
    "Configuration",
    "Member",
    "MemberStatus",
    "TierConfig",
]

RECORDS_PER_MESSAGE: Final = 12  # of members, in a datagram of gossip
CHOSEN_KEY: Final = "known"  # the name on disk of the latest head
LEFT_KEY: Final = "left"  # ...and of a mark that this member may have left
REPORT_INTERVAL: Final = 300_000  # us between two reports to who proposed what is pending
RENEWALS_PER_LEASE: Final = 6  # questions in a lease's length
READ_RETRY_INTERVAL: Final = 500_000  # us between two readings of a register that was empty


class Member:
    """The sans-IO core of a member. Methods take the time; `take` gives what to do, in order."""

    def __init__(
        self,
        config: TierConfig,
        boot: int,
        kept: dict[str, bytes],
        rng: random.Random,
        now: int,
        founding: BootstrapVersion | None,
    ) -> None:
        self.config = config
        self.boot = boot
        self.rng = rng
        self.bootstrap_version = founding
        self.started_at = now
        self.prober = Prober(config.name, rng, now)
        others = [name for name in config.peers if name != config.name]
        self._gossip = Gossip(rng, self.prober, others)
        self._outbox = Outbox(config.name, self._gossip, self.prober, rng)
        life = 0
        if INCARNATION_KEY in kept:
            life = msgspec.msgpack.decode(kept[INCARNATION_KEY], type=int)
        self.membership = MembershipTable(config.name, life + 1, boot)
        self._liveness = Liveness(self.membership, self.prober, self._outbox)
        self._exchange = ContentExchange(kept, self._outbox, rng, now)
        self.contents = self._exchange.store
        self.stamps: dict[str, int] = msgspec.msgpack.decode(
            kept.get(STAMPS_KEY, b"\x80"), type=dict[str, int]
        )
        self._persisted_stamps = dict(self.stamps)
        self.chosen: ChosenState | None = None
        if CHOSEN_KEY in kept:
            self.chosen = msgspec.msgpack.decode(kept[CHOSEN_KEY], type=ChosenState)
        self._persisted_revision = 0 if self.chosen is None else self.chosen.state.revision
        self.proposer = Proposer(config.name, boot, config.voters, rng)
        self.lease = (
            None if config.lease is None else Lease(config.lease, majority(len(config.voters)))
        )
        self.voter: Voter | None = None
        if config.name in config.voters:
            grants = None if config.lease is None else GrantTable(config.lease, now)
            self.voter = Voter(
                config.name,
                config.voters,
                kept.get(VOTE_KEY),
                self.contents,
                self.stamps,
                grants,
                self.proposer.next_ballot,
                boot,
                self._outbox.effects,
            )
            self.proposer.observe_ballot(self.voter.acceptor.vote.promised)
        self.has_read_register = False
        self.register_regressed = self.has_left = False
        self.fault = ""
        self.metadata = b""  # what its rows carry for whoever runs it
        self.applying: AppliedVersions | None = None  # what was last asked to be acted by
        self.joined_revision = 0  # the turn by which it came to be in the roster, as far as it acts
        self._index = ConfigurationIndex(EMPTY_CONFIGURATION)  # as of the turn `_settled`
        self._configuration_digest = ""
        self._caught_up_revision = 0
        self._jobs = 0
        self._confirmations = Confirmations(self.membership, len(config.voters))
        self._activation = Activation(rng)
        self._join_schedule = JoinSchedule()
        self._recovery = RoundRecovery(rng)
        self._unanswered: tuple[str, Accept] | None = None  # whose contents are on their way
        self._read_again = self._has_new_state = False
        self._renew_lease_at = self._read_at = self._report_at = 0
        self._liveness.persist_incarnation()
        # Voters of an earlier version of the program do not tell of a leave that is under way.
        self.proposer.add(self._startup_read(at_once=LEFT_KEY in kept))

    @property
    def confirmed_revision(self) -> int:
        """The turn by which this process acts, or a later one."""
        return self._confirmations.own_revision

    @property
    def configuration(self) -> Configuration:
        """Whom a change waits for, as of the latest head whose contents are here."""
        return self._index.configuration

    # --- What happens

    def take_effects(self) -> list[Effect]:
        """Return what to do, in this order; all since the last call."""
        return self._outbox.take_effects()

    def on_tick(self, now: int) -> None:
        """Time passes; some ten times a second."""
        self.membership.record_heartbeat(self.confirmed_revision, self.fault, self.metadata)
        if self.voter is not None:
            self._outbox.send_all(self.voter.on_tick(now))
        self._outbox.send_all(self.proposer.on_tick(now))
        if self._read_again and now >= self._read_at:
            self._read_again = False
            self._read_at = now + READ_RETRY_INTERVAL
            self.proposer.add(self._startup_read())
        if not self.is_caught_up():
            self._apply_chosen()
        self._exchange.send_requests(now, self._sources)
        self._renew_lease(now)
        others = self._gossip.others
        self._outbox.send_all(self.prober.on_tick(now, others, self.membership.incarnation_of))
        if self._has_new_state:
            self._has_new_state = False
            self._gossip.gossip_soon(now)
        self._report_expired_leases(now)
        self._join(now)
        self._activate(now)
        self._recover_round(now)
        self._persist_stamps()
        self._report_confirmed(now)
        if self._gossip.is_due(now, self._is_busy(now)):
            self._gossip_round(now)
        self._deliver_local_messages(now)

    def on_message(self, sender: str, message: Message, now: int) -> None:
        """A member has said something; its name is certain, its truth is not taken for granted."""
        self._outbox.on_direct_message(sender)
        self._dispatch(sender, message, now)
        self._deliver_local_messages(now)

    def confirm_applied(self, turn: int, now: int) -> None:
        """Nothing in this process goes by anything older than this turn's rules any more."""
        if turn > self.confirmed_revision:
            self._gossip.gossip_soon(now)
            self._confirmations.own_revision = turn
            self.fault = ""
            self.membership.record_heartbeat(turn, "", self.metadata)
            self._renew_lease_at = now
            self._renew_lease(now)
            self._activate(now)
            self._gossip_round(now)
            self._report_confirmed(now)
            self._exchange.applied(turn)
            if self.is_caught_up():
                self._release_unreferenced()
        self._deliver_local_messages(now)

    def _report_confirmed(self, now: int) -> None:
        """Confirm to who waits for it, now and again while it does; gossip brings it later."""
        pending = None if self.chosen is None else self.chosen.state.pending
        if pending is None or pending.proposer == self.config.name or now < self._report_at:
            return
        if self.applying is not None and (
            self.confirmed_revision >= self.applying.revision or self.fault
        ):
            self._report_at = now + REPORT_INTERVAL
            self._outbox.send(pending.proposer, self._gossip_message(now))

    def report_apply_failure(self, turn: int, why: str) -> None:
        """This process can't go by that turn's rules; it goes on by the older ones."""
        if self.applying is not None and self.applying.revision == turn:
            self.fault = why or "unknown"

    # --- What operators ask for

    def propose(self, content: bytes | Tree, base: int, waits: bool, who: str, when: int) -> int:
        """Offer a version made from the active one of serial `base`; the number of the job.

        `waits`: it contradicts its base, and all have to confirm it first. A tree has at least the
        pages that are not here; raises ValueError where others are lacking.
        """
        version, digest = self._version(content, base, who, when)
        return self._job(propose_version(version, waits), digest)

    def _version(
        self, content: bytes | Tree, base: int, who: str, when: int
    ) -> tuple[Version, str]:
        """Something to be offered, and its content's digest."""
        digest = self._exchange.offer(content)
        change = f"{self.config.name}-{self.boot:x}-{self._jobs}"
        return Version(0, base, digest, self.config.name, who, when, change), digest

    def propose_traffic_policy(self, content: bytes, base: int, who: str, when: int) -> int:
        """Offer a posture made from the one of serial `base`; the number of the job."""
        version, digest = self._version(content, base, who, when)
        return self._job(propose_traffic_policy(version), digest)

    def read(self) -> int:
        """Ask the voters what holds; the number of the job."""
        return self._job(None, None)

    def withdraw(self, serial: int) -> int:
        """Give a pending version up; the number of the job."""
        return self._job(withdraw(serial), None)

    def is_caught_up(self) -> bool:
        """Return whether the head that is known is here with all that belongs to it.

        A roster of another turn, or none, must not be what the next one is made from.
        """
        return self.chosen is not None and self._caught_up_revision == self.chosen.state.revision

    def why_not_evictable(self, name: str, quiet: int, now: int) -> str:
        """Why nobody should say of a member that it is gone; empty: nothing speaks against it.

        `quiet` is for how long it must have given no sign of life, in microseconds.
        """
        # One of which nothing was heard since this member started may have been heard before.
        age = now - self.membership.updated_at.get(name, self.started_at)
        may_act = self.lease is None and name not in self.prober.dead_members()
        is_self = name == self.config.name
        return why_not_evictable(name in self._index.members, is_self, age, quiet, may_act)

    def evict(self, name: str) -> int | None:
        """A member is gone, by an operator's word: changes wait for it no more.

        Where there are leases, it gets none from here on, and changes wait until the last one has
        lapsed; without, the word is taken for it. The number of the job; None: try again soon.
        """
        if not self.is_caught_up():
            return None
        return self._propose_configuration(
            with_evicted(self.configuration, name, self.lease is not None)
        )

    def why_not_admitted(self, name: str) -> str:
        """Why a name should not be looked for elsewhere; empty: nothing speaks against it."""
        return why_not_admitted(name in self._index.members, name in self.prober.dead_members())

    def admit(self, name: str, place: str) -> int | None:
        """A member is, or is to come, at this address (`host:port`), whatever the files say.

        It joins by itself once it is there. The number of the job; None: try again soon.
        """
        if not self.is_caught_up():
            return None
        return self._propose_configuration(with_address(self.configuration, name, place))

    def leave(self) -> int | None:
        """Go, and be waited for no more. This member acts on nothing from here on.

        The number of the job; None: it has not heard enough to say so.
        """
        self.has_left = True
        if not self.is_caught_up():
            return None
        self._outbox.persist({LEFT_KEY: b"1"})
        return self._propose_configuration(without_member(self.configuration, self.config.name))

    def _propose_configuration(self, roster: Configuration) -> int:
        assert self.chosen is not None
        digest = self._exchange.offer(roster.encode())
        return self._job(
            change_configuration(self.chosen.state.configuration_digest, digest), digest
        )

    def _job(self, change: StateChange | None, digest: str | None) -> int:
        self._jobs += 1
        number = self._jobs

        def ended(decided: ChosenState | None, end: ProposalResult) -> None:
            if digest is not None:
                self._exchange.end_offer(digest)
            if decided is not None:
                self._adopt_chosen(decided, self.config.name)
                self._outbox.effects.append(JobCompleted(number, end, decided.state))

        self.proposer.add(Job(change, ended))
        return number

    # --- Status

    def member_status(self, now: int) -> MemberStatus:
        """Return whether this member may act on what contradicts; asked right before it acts."""
        if self.register_regressed:
            return MemberStatus.REGISTER_REGRESSED
        if self.membership.has_duplicate_name(now):
            return MemberStatus.DUPLICATE_NAME
        if not self.has_read_register:
            return MemberStatus.READING_REGISTER
        if not self.joined_revision or self.has_left:
            return MemberStatus.NOT_A_MEMBER
        if self.confirmed_revision < self.joined_revision:
            return MemberStatus.BEHIND
        if self.lease is not None and now >= self.lease.expires_at():
            return MemberStatus.LEASE_EXPIRED
        return MemberStatus.ACTIVE

    # --- Receiving

    def _is_busy(self, now: int) -> bool:
        """Whether there is something to be heard by all, or to be heard of, as soon as may be."""
        known = self.chosen
        if known is None or not self.has_read_register or self._gossip.is_expedited(now):
            return True
        if known.state.pending is not None or self.configuration.evicted or not self.is_caught_up():
            return True
        return (
            bool(self.proposer.jobs)
            or self.membership.has_unsent_updates()
            or self.prober.has_unsent_updates()
        )

    def _deliver_local_messages(self, now: int) -> None:
        """What this member says to itself is heard at once; what it says to others follows it."""
        while (message := self._outbox.take_local_message()) is not None:
            self._dispatch(self.config.name, message, now)

    def _dispatch(self, sender: str, message: Message, now: int) -> None:
        if isinstance(message, GossipMessage):
            self._on_gossip(sender, message, now)
        elif isinstance(message, ContentMessage):
            if self._exchange.on_message(sender, message, now):
                self._on_content_complete(now)
        elif isinstance(message, Relayed):
            self._on_relayed(sender, message, now)
        elif isinstance(message, (Ping, Ack, Nack)):
            self._liveness.on_probe(sender, message)
        elif isinstance(message, VOTER_REQUESTS):
            if self.voter is not None:
                self._on_voter_request(self.voter, sender, message, now)
        elif sender in self.config.voters:
            if not self._outbox.is_relayed:
                self._outbox.relays.on_reply(sender)
            self._on_voter_reply(sender, message, now)

    def _on_relayed(self, sender: str, relayed: Relayed, now: int) -> None:
        """Pass a message on, or take one that was passed on; the reply goes back that way."""
        if relayed.to == self.config.name:
            with self._outbox.replying_over(relayed.origin, sender):
                self._dispatch(relayed.origin, relayed.message, now)
        elif relayed.origin == sender:  # one other member in between, and no more
            if isinstance(relayed.message, Ping):
                self.prober.on_relayed_ping(sender, relayed.message.number, now)
            elif isinstance(relayed.message, Ack):
                self.prober.on_relayed_ack(relayed.to, relayed.message.number)
            self._outbox.send(relayed.to, relayed)

    def _on_voter_request(
        self,
        voter: Voter,
        sender: str,
        message: ReadRequest | Prepare | Accept | VoteRecoveryRequest | LeaseRequest,
        now: int,
    ) -> None:
        answer: Message | None = None
        if isinstance(message, ReadRequest):
            answer = voter.read_reply(sender, message.number)
        elif isinstance(message, Prepare):
            self.proposer.observe_ballot(message.ballot)
            answer = voter.prepare(message)
        elif isinstance(message, Accept):
            self.proposer.observe_ballot(message.ballot)
            answer = voter.accept(message)
            if answer is None and voter.is_voting:
                self._unanswered = sender, message
                self._exchange.want_to_vote(message.state, sender)
                self._exchange.send_requests(now)
        elif isinstance(message, VoteRecoveryRequest):
            answer = voter.recover_vote(message)
        elif self.has_read_register and self.chosen is not None:
            inside = sender in self._index.members
            ok = inside and voter.grant(sender, message, self.chosen.state.required_revision, now)
            answer = LeaseGrant(message.number, ok)
            if not ok and sender != self.config.name:
                self._outbox.send(sender, self._gossip_message(now))
        if answer is not None:
            self._outbox.send(sender, answer)

    def _on_voter_reply(self, sender: str, message: Message, now: int) -> None:
        """A voter's answer to something that this member asked."""
        if isinstance(message, ReadReply | UnfinishedRound):
            self.proposer.on_read_reply(sender, message)
        elif isinstance(message, Promise):
            self._observe_stamp(sender, message.stamp)
            self._outbox.send_all(self.proposer.on_promise(sender, message, now))
            if self.voter is not None:
                self.voter.on_recovery_promise(sender, message, self._exchange.want_to_vote)
        elif isinstance(message, Accepted):
            self._observe_stamp(sender, message.stamp)
            self._outbox.send_all(self.proposer.on_accepted(sender, message, now))
        elif isinstance(message, VoteRecoveryReply) and self.voter is not None:
            self.voter.on_recovery_reply(sender, message, now)
        elif isinstance(message, LeaseGrant) and message.granted and self.lease is not None:
            self.lease.on_grant(sender, message.number)

    def _observe_stamp(self, voter: str, stamp: int) -> None:
        self.stamps[voter] = max(stamp, self.stamps.get(voter, 0))
        if self.voter is not None and voter == self.config.name:
            self.voter.observe_stamp(stamp)

    def _persist_stamps(self) -> None:
        if self.voter is not None and self.stamps != self._persisted_stamps:
            self._persisted_stamps = dict(self.stamps)
            self._outbox.persist({STAMPS_KEY: msgspec.msgpack.encode(self.stamps)})

    def _on_content_complete(self, now: int) -> None:
        """Go by what waited for a content."""
        if self.voter is not None:
            self.voter.complete_recovery()
            if self._unanswered is not None:
                (sender, accept), self._unanswered = self._unanswered, None
                self._on_voter_request(self.voter, sender, accept, now)
        self._apply_chosen()

    def _sources(self) -> list[list[str]]:
        """Members that may have what is fetched: voters and those that apply it; then any."""
        turn = 0 if self.chosen is None else self.chosen.state.revision
        confirmed = self._exchange.sample(self._liveness.confirmed(turn), SOURCES)
        likely = sorted({*self.config.voters, *confirmed} - {self.config.name})
        others = self._exchange.sample(list(self._gossip.others), ANY_SOURCES)
        alive = self.prober.is_alive
        return [[name for name in names if alive(name)] for names in (likely, others)]

    # --- Gossip

    def _gossip_round(self, now: int) -> None:
        for name in self._gossip.draw(self.config.fanout):
            self._outbox.send(name, self._gossip_message(now))

    def _gossip_message(self, now: int) -> GossipMessage:
        records = self.membership.select_for_gossip(RECORDS_PER_MESSAGE, self.rng)
        stamps = {v: s for v, s in self.stamps.items() if v in self.config.voters}
        lapses = self._confirmations.report(None if self.chosen is None else self.chosen.state)
        return GossipMessage(self.chosen, records, stamps, lapses, self.prober.suspicions_to_send())

    def _on_gossip(self, sender: str, news: GossipMessage, now: int) -> None:
        self._liveness.on_gossip(sender, news, now)
        for voter, stamp in news.stamps.items():
            if stamp > self.stamps.get(voter, 0) or voter == self.config.name:
                self._observe_stamp(voter, stamp)
        if news.expired_leases is not None and sender in self.config.voters:
            self._confirmations.record(sender, news.expired_leases)
        if news.chosen is not None:
            self.proposer.observe_ballot(news.chosen.ballot)
            self._adopt_chosen(news.chosen, sender)
        record = self.membership.records.get(sender)
        if (
            record is not None
            and self.chosen is not None
            and (record.confirmed_revision >= self.chosen.state.revision)
        ):
            self.contents.add_source(sender)  # it applies that head, and so has all of its contents
        turn = 0 if news.chosen is None else news.chosen.state.revision
        if self.chosen is not None and turn < self.chosen.state.revision:
            # It is behind, and need not wait to be chosen.
            self._outbox.send(sender, self._gossip_message(now))

    # --- Heads

    def _startup_read(self, at_once: bool = False) -> Job:
        """Return the reading that a start begins with.

        The leave of an earlier life may still be under way. If it were decided after this
        life has read that it is inside, no change would wait for it. A mark on this member's own
        disk is not enough: that may be an older or an empty one by now. Voters tell.
        """
        return Job(None, self._on_startup_read, final=True, with_ballot=at_once)

    def _on_startup_read(self, decided: ChosenState | None, end: ProposalResult) -> None:
        """That reading has ended."""
        may_found = self.bootstrap_version is not None and self.voter is not None
        step = next_step_after_read(
            decided, self._persisted_revision, self.chosen is not None, may_found
        )
        if step is NextStep.REPORT_LOSS:
            self._report_register_regression(None if decided is None else decided.state)
        elif step is NextStep.RETRY:
            self._read_again = True
        elif step is NextStep.BOOTSTRAP:
            self._bootstrap_tier()
        if decided is not None:
            self.has_read_register = True
            if not self.has_left:  # otherwise a leave of this life waits behind this reading
                self._outbox.persist({LEFT_KEY: None})
            self._adopt_chosen(decided, self.rng.choice(self.config.voters))
            self._apply_chosen()

    def _bootstrap_tier(self) -> None:
        founding = self.bootstrap_version
        name = self.config.name
        assert founding is not None
        digest = self._exchange.offer(founding.content)
        roster = self._exchange.offer(Configuration(self.config.peers, ()).encode())
        change = f"{name}-{self.boot:x}-founding"
        version = Version(founding.serial, 0, digest, name, founding.operator, 0, change)
        self.proposer.add(Job(bootstrap(version, roster), self._on_startup_read))

    def _report_register_regression(self, head: RegisterState | None) -> None:
        """Voters have forgotten what was decided: more disks were lost than a minority."""
        self.register_regressed = True
        known = 0 if self.chosen is None else self.chosen.state.revision
        fields: dict[str, object] = {"known": known, "read": 0 if head is None else head.revision}
        self._outbox.log_event("register went back", fields)

    def _adopt_chosen(self, decided: ChosenState, source: str) -> None:
        """A head that was decided, by whoever's word: words are sealed with the tier's key."""
        known = self.chosen
        if known is not None and decided.state.revision <= known.state.revision:
            if decided.state.revision == known.state.revision and decided.state != known.state:
                self._report_register_regression(decided.state)
            return
        self.chosen = decided
        self._has_new_state = True
        self._outbox.persist({CHOSEN_KEY: msgspec.msgpack.encode(decided)})
        self._activation.restart()
        self._report_at = 0
        self._exchange.want_latest(decided.state, self._accepted_state(), source)
        self._apply_chosen()

    def _apply_chosen(self) -> None:
        """Go by the head that is known, once its contents are here and it is the latest heard."""
        known = self.chosen
        if known is None:
            return
        head = known.state
        if not self._exchange.has(head):
            self._exchange.want(head, self.rng.choice(self.config.voters))
            return
        if self.voter is not None:
            self.voter.learn(known)
        self._load_configuration(head.configuration_digest)
        self._caught_up_revision = head.revision
        if self.config.name not in self._index.members:
            self.joined_revision = 0
        elif self.has_read_register:
            self.joined_revision = self.joined_revision or head.revision
        self._release_unreferenced()
        if not self.has_read_register or (
            self.applying is not None and self.applying.revision >= head.revision
        ):
            return
        self.applying = AppliedVersions(
            head.revision, head.active, head.pending, head.traffic_policy
        )
        self._exchange.applying(head)
        self._outbox.effects.append(ApplyVersions(self.applying))

    def _load_configuration(self, digest: str) -> None:
        if digest == self._configuration_digest:
            return
        self._configuration_digest = digest
        self._index = ConfigurationIndex(decode_configuration(self.contents.read(digest)))
        peers = self.config.peers
        me = self.config.name
        more = [name for name in self.configuration.addresses if name not in peers]
        self._gossip.others = [name for name in (*peers, *more) if name != me]

    def _accepted_state(self) -> RegisterState | None:
        """Return the head that this member has voted for."""
        accepted = None if self.voter is None else self.voter.accepted_state()
        return None if accepted is None else accepted.state

    def _release_unreferenced(self) -> None:
        """Let go of contents that nobody can ask for any more."""
        assert self.chosen is not None
        self._exchange.retain_only(self.chosen.state, self._accepted_state())

    # --- The roster and what is pending

    def _join(self, now: int) -> None:
        """One that is not in the roster asks to be; until it is, it acts on nothing.

        Those that were put out are struck off once they can't act any more.
        """
        known = self.chosen
        if known is None or not self.has_read_register or not self._join_schedule.is_due(now):
            return
        if self.has_left or not self.is_caught_up():
            return
        roster = with_joined(self._index, self.config.name, self._is_lease_expired)
        if roster is None:
            return
        self._join_schedule.begin(now)
        digest = self._exchange.offer(roster.encode())

        def ended(decided: ChosenState | None, end: ProposalResult) -> None:
            self._join_schedule.end()
            self._exchange.end_offer(digest)
            self._adopt_from_voters(decided, end)

        self.proposer.add(
            Job(change_configuration(known.state.configuration_digest, digest), ended)
        )

    def _renew_lease(self, now: int) -> None:
        if self.lease is not None and now >= self._renew_lease_at:
            self._renew_lease_at = now + self.lease.length // RENEWALS_PER_LEASE
            number = self.lease.request(now)
            for voter in self.config.voters:
                self._outbox.send(voter, LeaseRequest(number, self.confirmed_revision))

    def _report_expired_leases(self, now: int) -> None:
        voter = self.voter
        known = self.chosen
        self._confirmations.drop_report()
        if voter is None or voter.grants is None or known is None:
            return
        if self.has_read_register and voter.is_voting and self.is_caught_up():
            self._confirmations.make_report(self._index, known.state, voter.grants, now)

    def _is_lease_expired(self, name: str) -> bool:
        assert self.chosen is not None
        return self._confirmations.is_lease_expired(name, self._index, self.chosen.state)

    def waiting_for(self) -> list[str]:
        """Members that a pending version waits for."""
        known = self.chosen
        if known is None or known.state.pending is None or not self.is_caught_up():
            return []
        return self._confirmations.waiting_for(self._index, known.state)

    def metadata_by_member(self, now: int) -> dict[str, bytes]:
        """Return the metadata of those that are there, this member too, by name."""
        return self._liveness.metadata(self.metadata, now)

    def gossip_soon(self, now: int) -> None:
        """What this member has to say is news that others wait for."""
        self._gossip.gossip_soon(now)

    def members_behind(self) -> list[str]:
        """Members that are there, and have not said that they act by what this one acts by."""
        return self._liveness.members_behind(self.configuration.members, self.confirmed_revision)

    def _activate(self, now: int) -> None:
        """Make a pending version active once nobody has to be waited for."""
        known = self.chosen
        if known is None or known.state.pending is None or self._activation.under_way:
            return
        if not self.has_read_register or not self.is_caught_up() or self.waiting_for():
            self._activation.restart()
            return
        pending = known.state.pending
        if self._activation.is_due(now, pending.proposer == self.config.name):
            self._activation.under_way = True
            self.proposer.add(Job(activate(pending.serial), self._on_activated))

    def _on_activated(self, decided: ChosenState | None, end: ProposalResult) -> None:
        self._activation.under_way = False
        self._adopt_from_voters(decided, end)

    def _recover_round(self, now: int) -> None:
        """Complete a round that this voter has accepted and nobody speaks of any more."""
        voter = self.voter
        if voter is None or not voter.is_voting or self.proposer.jobs:
            return  # a job of its own, if there is one, finds what was accepted
        if self._recovery.is_due(now, voter.accepted_state(), self.chosen):
            self.proposer.add(Job(read, self._adopt_from_voters))

    def _adopt_from_voters(self, decided: ChosenState | None, end: ProposalResult) -> None:
        """A round of this member has found or made this."""
        if decided is not None:
            self._adopt_chosen(decided, self.rng.choice(self.config.voters))

    # --- For people

    def status(self, now: int) -> dict[str, Any]:
        """Return what `tier status` shows. Ages are by this process's clock."""
        return status_report(self, now)
