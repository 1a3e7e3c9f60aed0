"""Exhaustive search: every order of events in small worlds of the register.

A world has three voters and two proposers with one change each, made from the same version. In each
step, one of these happens:

- a request in flight is delivered, and its reply is delivered or lost;
- a request is duplicated: delivered, and left in flight;
- a voter is killed and restarts with the vote that it had synced;
- a proposer starts its next ballot.

Lost requests need no step of their own: every state is checked, also while requests are in flight.
The search visits all distinct states; `Exploration` has their number.

A reply is delivered at once or never. A late reply makes no difference to its voter, and for the
proposer it is the same as acting late on a reply, which is explored. All stamps are the same: disks
that lose votes are covered by random scenarios (`scenario`).

The search runs the daemon's cores, `Acceptor` and `Round`. It does not model the timers and resends
around them but lets every step happen at any time, which covers whatever they may do. The step of a
core from one state by one message is computed once and cached.
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
FIRST_STATE: Final = RegisterState(1, 1, 1, Version(1, 0, "a", "", "", 0, "first"), None, "r")
BOOTSTRAP_BALLOT: Final = Ballot(1, "v1", 0)
T = TypeVar("T")


class LostUpdateError(AssertionError):
    """Both of two changes made from the same version took effect."""


def change_of(name: str) -> StateChange:
    """Return a change made from the first version; its result shows whether it took effect."""

    def change(now: RegisterState | None) -> Transition | None:
        if now is None:
            return None
        if now.active.change_id == name:
            return Transition(now, ProposalResult.ACTIVE)
        if now.active.serial != FIRST_STATE.active.serial:
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
class Exploration:
    """The outcome of a search."""

    states: int = 0
    results: set[tuple[str, ...]] = field(
        default_factory=set
    )  # of both changes, once both are known
    complete: bool = True  # whether the search visited all states


class _Interned(Generic[T]):
    """Numbers values; those with equal keys get the same number."""

    def __init__(self) -> None:
        self.values: list[T] = []
        self._numbers: dict[bytes, int] = {}

    def number(self, key: Any, value: T) -> int:
        encoded = msgspec.msgpack.encode(key)
        number = self._numbers.get(encoded)
        if number is None:
            number = len(self.values)
            self._numbers[encoded] = number
            self.values.append(value)
        return number


class _Datagram(NamedTuple):
    sender: str
    to: str
    message: Message


class _WorldState(NamedTuple):
    """A state of the world; votes, rounds and datagrams are interned numbers."""

    votes: tuple[int, ...]  # of each voter
    synced: tuple[int, ...]  # the vote on each voter's disk
    rounds: tuple[int, ...]  # of each proposer; -1: none has begun
    ballots_left: tuple[int, ...]  # of each proposer
    in_flight: frozenset[int]
    crashes_left: int
    duplicates_left: int


class _VoterStep(NamedTuple):
    vote: int
    reply: int


class _ProposerStep(NamedTuple):
    round: int
    requests: tuple[int, ...]


class Explorer:
    """The search. Mutation tests replace `acceptor_type` or `syncs_votes`."""

    acceptor_type = Acceptor
    syncs_votes = True  # whether a vote is synced before its reply is sent

    def __init__(self) -> None:
        self._votes: _Interned[Vote] = _Interned()
        self._rounds: _Interned[Round] = _Interned()
        self._datagrams: _Interned[_Datagram] = _Interned()
        self._voter_steps: dict[tuple[int, int], _VoterStep] = {}
        self._reply_steps: dict[tuple[int, int], _ProposerStep] = {}
        self._begin_steps: dict[tuple[str, int], _ProposerStep] = {}

    def explore(
        self, ballots: int = 1, crashes: int = 0, duplicates: int = 0, max_states: int = 5_000_000
    ) -> Exploration:
        """Search a world completely, or up to `max_states` states; raises LostUpdateError.

        `ballots` is per proposer; `crashes` and `duplicates` are for the whole world.
        """
        exploration = Exploration()
        first = self._first_state(ballots, crashes, duplicates)
        seen = {first}
        stack = [first]
        while stack:
            state = stack.pop()
            exploration.states += 1
            if exploration.states >= max_states:
                exploration.complete = False
                break
            self._check(state, exploration)
            for successor in self._successors(state):
                if successor not in seen:
                    seen.add(successor)
                    stack.append(successor)
        return exploration

    def _first_state(self, ballots: int, crashes: int, duplicates: int) -> _WorldState:
        voter = self._acceptor("v1", None)
        voter.prepare(BOOTSTRAP_BALLOT)
        voter.accept(Accept(BOOTSTRAP_BALLOT, FIRST_STATE, {}))
        first = msgspec.structs.replace(voter.vote, stamp=1)
        votes = (self._votes.number(first, first),) * len(VOTERS)
        rounds = (-1,) * len(PROPOSERS)
        ballots_left = (ballots,) * len(PROPOSERS)
        return _WorldState(votes, votes, rounds, ballots_left, frozenset(), crashes, duplicates)

    def _acceptor(self, name: str, vote: Vote | None) -> Acceptor:
        acceptor = self.acceptor_type(name, VOTERS, vote)
        acceptor.mode = VoterMode.VOTING
        return acceptor

    def _check(self, state: _WorldState, exploration: Exploration) -> None:
        begun = [self._rounds.values[number] for number in state.rounds if number >= 0]
        chosen = [round_ for round_ in begun if round_.phase is Phase.CHOSEN]
        results = [round_.transition.result for round_ in chosen if round_.transition is not None]
        states = [round_.chosen.state for round_ in chosen if round_.chosen is not None]
        differ = any(a.revision == b.revision and a != b for a in states for b in states)
        if differ or results.count(ProposalResult.ACTIVE) > 1:
            raise LostUpdateError(
                f"both changes took effect: {[round_.chosen for round_ in chosen]}"
            )
        if len(results) == len(PROPOSERS):
            exploration.results.add(tuple(result.value for result in results))

    # --- Successors of a state

    def _successors(self, state: _WorldState) -> Iterator[_WorldState]:
        yield from self._ballots_begun(state)
        for number in state.in_flight:
            for successor in self._deliver(state, number):
                yield successor._replace(in_flight=successor.in_flight - {number})
                if state.duplicates_left:
                    yield successor._replace(duplicates_left=state.duplicates_left - 1)
        if state.crashes_left and state.votes != state.synced:
            for i in range(len(VOTERS)):
                yield state._replace(
                    votes=_with_value(state.votes, i, state.synced[i]),
                    crashes_left=state.crashes_left - 1,
                )

    def _ballots_begun(self, state: _WorldState) -> Iterator[_WorldState]:
        """Yield the states in which a proposer has started its next ballot."""
        for i, name in enumerate(PROPOSERS):
            number = state.rounds[i]
            is_chosen = number >= 0 and self._rounds.values[number].chosen is not None
            left = state.ballots_left[i]
            if left and not is_chosen:
                step = self._begin(name, left)
                yield state._replace(
                    rounds=_with_value(state.rounds, i, step.round),
                    ballots_left=_with_value(state.ballots_left, i, left - 1),
                    in_flight=state.in_flight | set(step.requests),
                )

    def _begin(self, name: str, ballots_left: int) -> _ProposerStep:
        """Start a proposer's next ballot; the numbers of the two proposers' ballots alternate."""
        step = self._begin_steps.get((name, ballots_left))
        if step is None:
            ballot = Ballot(100 - 2 * ballots_left + PROPOSERS.index(name), name, 0)
            round_ = Round(ballot, VOTERS, change_of(name))
            number = self._intern_round(round_)
            step = _ProposerStep(number, self._intern_requests(name, round_, VOTERS))
            self._begin_steps[name, ballots_left] = step
        return step

    def _intern_round(self, round_: Round) -> int:
        accepted = [(name, sorted(known)) for name, known in sorted(round_._accepted.items())]
        promises = list(round_._promises.items())
        key = (round_.ballot, round_.phase.value, round_.transition, promises, accepted)
        return self._rounds.number(key, round_)

    def _intern_requests(
        self, name: str, round_: Round, voters: tuple[str, ...]
    ) -> tuple[int, ...]:
        request_type = Prepare if round_.phase is Phase.PREPARE else Accept
        requests = [
            _Datagram(name, voter, message)
            for voter, message in round_.unanswered()
            if voter in voters and isinstance(message, request_type)
        ]
        return tuple(self._datagrams.number(request, request) for request in requests)

    def _deliver(self, state: _WorldState, request: int) -> Iterator[_WorldState]:
        """Deliver a request to its voter; yield the states with its reply lost and delivered."""
        sender, to, _ = self._datagrams.values[request]
        voter = VOTERS.index(to)
        proposer = PROPOSERS.index(sender)
        vote, reply = self._vote(state.votes[voter], request)
        synced = _with_value(state.synced, voter, vote) if self.syncs_votes else state.synced
        voted = state._replace(votes=_with_value(state.votes, voter, vote), synced=synced)
        yield voted
        step = self._receive_reply(state.rounds[proposer], reply)
        if step.round != state.rounds[proposer]:
            yield voted._replace(
                rounds=_with_value(state.rounds, proposer, step.round),
                in_flight=voted.in_flight | set(step.requests),
            )

    def _vote(self, vote: int, request: int) -> _VoterStep:
        step = self._voter_steps.get((vote, request))
        if step is None:
            sender, to, message = self._datagrams.values[request]
            voter = self._acceptor(to, self._votes.values[vote])
            answer: Message
            if isinstance(message, Prepare):
                answer = msgspec.structs.replace(voter.prepare(message.ballot)[0], stamp=1)
            else:
                assert isinstance(message, Accept)
                answer = msgspec.structs.replace(voter.accept(message)[0], stamp=1)
            new_vote = msgspec.structs.replace(voter.vote, stamp=1)
            reply = _Datagram(to, sender, answer)
            step = _VoterStep(
                self._votes.number(new_vote, new_vote), self._datagrams.number(reply, reply)
            )
            self._voter_steps[vote, request] = step
        return step

    def _receive_reply(self, number: int, reply: int) -> _ProposerStep:
        step = self._reply_steps.get((number, reply))
        if step is None:
            sender, to, message = self._datagrams.values[reply]
            round_ = _copy_round(self._rounds.values[number])
            phase_before = round_.phase
            if isinstance(message, Promise):
                round_.on_promise(sender, message)
            elif isinstance(message, Accepted):
                round_.on_accepted(sender, message)
            requests: tuple[int, ...] = ()
            if round_.phase is Phase.ACCEPT and isinstance(message, Promise):
                # After a late promise the request is sent only to its voter. The daemon also
                # resends it to the others, which a duplicated request covers already.
                voters = VOTERS if phase_before is not round_.phase else (sender,)
                requests = self._intern_requests(to, round_, voters)
            step = _ProposerStep(self._intern_round(round_), requests)
            self._reply_steps[number, reply] = step
        return step


def _with_value(values: tuple[int, ...], index: int, value: int) -> tuple[int, ...]:
    return (*values[:index], value, *values[index + 1 :])


def _copy_round(round_: Round) -> Round:
    copied = copy.copy(round_)
    copied._promises = dict(round_._promises)
    copied._accepted = {name: set(known) for name, known in round_._accepted.items()}
    return copied
