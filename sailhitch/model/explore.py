"""Every order of events in small worlds of the register: all that can happen, not a sample.

A world has three voters and two proposers with one change each, made from the same version. At each
step any request under way arrives, and its answer does or is lost; or it arrives and is still under
way (doubled); or a voter is killed and comes back with what it had synced; or a proposer starts its
next ballot. A request that is lost is one that has not arrived when all is looked at, which is done
in every state. The search goes through all states that differ; `Explored` tells how many.

An answer arrives at once or never: that it is late makes no difference to its voter, and to the
proposer the same as if what it does on hearing it were late, which is tried. Stamps are all one:
disks that lose votes are the seeds' part (`story`).

The cores are those of the daemon, `Acceptor` and `Round`; what surrounds them there (timers, who
asks whom again) is left open, so that whatever it might do is among what is tried. Each core's step
from one state by one message is taken once and remembered, which makes the search fast.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Final, Generic, NamedTuple, TypeVar

import msgspec

from ..tier.effects import ProposalResult
from ..tier.messages import (
    Accept,
    Accepted,
    Ballot,
    Message,
    Prepare,
    Promise,
    RegisterState,
    Version,
)
from ..tier.register import Acceptor, Phase, Round, Vote, VoterMode
from ..tier.transitions import StateChange, Transition

VOTERS: Final = ("v1", "v2", "v3")
PROPOSERS: Final = ("p", "q")
FIRST: Final = RegisterState(1, 1, 1, Version(1, 0, "a", "", "", 0, "first"), None, "r")
FOUNDED: Final = Ballot(1, "v1", 0)
T = TypeVar("T")


class BrokenLineError(AssertionError):
    """Two changes made from one version both took effect."""


def change_of(name: str) -> StateChange:
    """Return a change made from the first version, that says whether it won."""

    def change(now: RegisterState | None) -> Transition | None:
        if now is None:
            return None
        if now.active.change_id == name:
            return Transition(now, ProposalResult.ACTIVE)
        if now.active.serial != FIRST.active.serial:
            return Transition(now, ProposalResult.STALE)
        version = Version(now.last_serial + 1, now.active.serial, name, name, "", 0, name)
        return Transition(
            RegisterState(
                now.revision + 1, now.last_serial + 1, now.required_revision, version, None, "r"
            ),
            ProposalResult.ACTIVE,
        )

    return change


@dataclass
class Explored:
    """What a search came to."""

    states: int = 0
    ends: set[tuple[str, ...]] = field(default_factory=set)  # how both changes ended, where known
    whole: bool = True  # whether all of it was searched


class _Known(Generic[T]):
    """Numbers for values that are alike."""

    def __init__(self) -> None:
        self.values: list[T] = []
        self._numbers: dict[bytes, int] = {}

    def number(self, key: Any, value: T) -> int:
        said = msgspec.msgpack.encode(key)
        found = self._numbers.get(said)
        if found is None:
            found = self._numbers[said] = len(self.values)
            self.values.append(value)
        return found


class _World(NamedTuple):
    """A state; votes, rounds and messages by their numbers."""

    votes: tuple[int, ...]
    synced: tuple[int, ...]
    rounds: tuple[int, ...]  # -1: none begun
    left: tuple[int, ...]  # ballots that each proposer may still begin
    under_way: frozenset[int]
    crashes: int
    doubles: int


class Explorer:
    """A search. Mutations replace `voter`, or `syncs`."""

    voter = Acceptor
    syncs = True  # whether a vote is synced before its answer goes out

    def __init__(self) -> None:
        self._votes: _Known[Vote] = _Known()
        self._rounds: _Known[Round] = _Known()
        self._messages: _Known[tuple[str, str, Message]] = _Known()
        self._voted: dict[tuple[int, int], tuple[int, int]] = {}
        self._heard: dict[tuple[int, int], tuple[int, tuple[int, ...]]] = {}
        self._begun: dict[tuple[str, int], tuple[int, tuple[int, ...]]] = {}

    def explore(
        self, ballots: int = 1, crashes: int = 0, doubles: int = 0, most: int = 5_000_000
    ) -> Explored:
        """Search a world whole, or until `most` states; raises BrokenLineError.

        `ballots` a proposer, `crashes` and `doubles` in all.
        """
        found = Explored()
        first = self._first(ballots, crashes, doubles)
        seen = {first}
        stack = [first]
        while stack:
            at = stack.pop()
            found.states += 1
            if found.states >= most:
                found.whole = False
                break
            self._check(at, found)
            for after in self._nexts(at):
                if after not in seen:
                    seen.add(after)
                    stack.append(after)
        return found

    def _first(self, ballots: int, crashes: int, doubles: int) -> _World:
        voter = self._acceptor("v1", None)
        voter.prepare(FOUNDED)
        voter.accept(Accept(FOUNDED, FIRST, {}))
        first = msgspec.structs.replace(voter.vote, stamp=1)
        vote = self._votes.number(first, first)
        votes = (vote,) * len(VOTERS)
        left = (ballots,) * len(PROPOSERS)
        return _World(votes, votes, (-1,) * len(PROPOSERS), left, frozenset(), crashes, doubles)

    def _acceptor(self, name: str, vote: Vote | None) -> Acceptor:
        made = self.voter(name, VOTERS, vote)
        made.mode = VoterMode.VOTING
        return made

    def _check(self, at: _World, found: Explored) -> None:
        ended = [self._rounds.values[r] for r in at.rounds if r >= 0]
        ended = [one for one in ended if one.phase is Phase.CHOSEN]
        ends = [one.transition.result for one in ended if one.transition is not None]
        heads = [one.chosen.state for one in ended if one.chosen is not None]
        torn = any(a.revision == b.revision and a != b for a in heads for b in heads)
        if torn or ends.count(ProposalResult.ACTIVE) > 1:
            raise BrokenLineError(f"both won: {[one.chosen for one in ended]}")
        if len(ends) == len(PROPOSERS):
            found.ends.add(tuple(end.value for end in ends))

    # --- What may happen

    def _nexts(self, at: _World) -> Iterator[_World]:
        """Each world that may come next."""
        for i, name in enumerate(PROPOSERS):
            done = at.rounds[i] >= 0 and self._rounds.values[at.rounds[i]].chosen is not None
            if at.left[i] and not done:
                number, said = self._begin(name, at.left[i])
                yield at._replace(
                    rounds=_put(at.rounds, i, number),
                    left=_put(at.left, i, at.left[i] - 1),
                    under_way=at.under_way | set(said),
                )
        for message in at.under_way:
            for after in self._arrive(at, message):
                yield after._replace(under_way=after.under_way - {message})
                if at.doubles:
                    yield after._replace(doubles=at.doubles - 1)
        if at.crashes and at.votes != at.synced:
            for i in range(len(VOTERS)):
                yield at._replace(votes=_put(at.votes, i, at.synced[i]), crashes=at.crashes - 1)

    def _begin(self, name: str, left: int) -> tuple[int, tuple[int, ...]]:
        """Return a proposer starts its next ballot; those of the two lie between each other."""
        found = self._begun.get((name, left))
        if found is None:
            ballot = Ballot(100 - 2 * left + PROPOSERS.index(name), name, 0)
            made = Round(ballot, VOTERS, change_of(name))
            found = self._begun[name, left] = (self._number(made), self._say(name, made))
        return found

    def _number(self, one: Round) -> int:
        accepted = [(v, sorted(known)) for v, known in sorted(one._accepted.items())]
        key = (one.ballot, one.phase.value, one.transition, list(one._promises.items()), accepted)
        return self._rounds.number(key, one)

    def _say(self, name: str, at: Round, only: tuple[str, ...] = VOTERS) -> tuple[int, ...]:
        kinds = Prepare if at.phase is Phase.PREPARE else Accept
        said = [
            (name, voter, message)
            for voter, message in at.unanswered()
            if voter in only and isinstance(message, kinds)
        ]
        return tuple(self._messages.number(one, one) for one in said)

    def _arrive(self, at: _World, message: int) -> Iterator[_World]:
        """Return a request reaches its voter, and the answer its proposer, or nobody."""
        sender, to, _ = self._messages.values[message]
        i = VOTERS.index(to)
        k = PROPOSERS.index(sender)
        vote, answer = self._vote(at.votes[i], message)
        synced = _put(at.synced, i, vote) if self.syncs else at.synced
        after = at._replace(votes=_put(at.votes, i, vote), synced=synced)
        yield after
        number, said = self._hear(at.rounds[k], answer)
        if number != at.rounds[k]:
            yield after._replace(
                rounds=_put(at.rounds, k, number), under_way=after.under_way | set(said)
            )

    def _vote(self, vote: int, message: int) -> tuple[int, int]:
        found = self._voted.get((vote, message))
        if found is None:
            sender, to, said = self._messages.values[message]
            voter = self._acceptor(to, self._votes.values[vote])
            answer: Message
            if isinstance(said, Prepare):
                promise = voter.prepare(said.ballot)[0]
                answer = msgspec.structs.replace(promise, stamp=1)
            else:
                assert isinstance(said, Accept)
                answer = msgspec.structs.replace(voter.accept(said)[0], stamp=1)
            vote_now = msgspec.structs.replace(voter.vote, stamp=1)
            back = (to, sender, answer)
            found = (self._votes.number(vote_now, vote_now), self._messages.number(back, back))
            self._voted[vote, message] = found
        return found

    def _hear(self, number: int, message: int) -> tuple[int, tuple[int, ...]]:
        found = self._heard.get((number, message))
        if found is None:
            sender, to, said = self._messages.values[message]
            at = _copied(self._rounds.values[number])
            before = at.phase
            if isinstance(said, Promise):
                at.on_promise(sender, said)
            elif isinstance(said, Accepted):
                at.on_accepted(sender, said)
            said_now: tuple[int, ...] = ()
            if at.phase is Phase.ACCEPT and isinstance(said, Promise):
                # To a voter whose promise comes late it is said alone; again to the others, as the
                # daemon would, brings nothing that a doubled request does not.
                only = VOTERS if before is not at.phase else (sender,)
                said_now = self._say(to, at, only)
            found = (self._number(at), said_now)
            self._heard[number, message] = found
        return found


def _put(values: tuple[int, ...], at: int, value: int) -> tuple[int, ...]:
    return (*values[:at], value, *values[at + 1 :])


def _copied(one: Round) -> Round:
    made = copy.copy(one)
    made._promises = dict(one._promises)
    made._accepted = {name: set(known) for name, known in one._accepted.items()}
    return made
