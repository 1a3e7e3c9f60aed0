"""The components of a member that its other classes share, built from the items on its disk."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from .config import TierConfig
from .confirmations import Confirmations
from .content_exchange import ContentExchange
from .gossip import Gossip
from .lease import GrantTable, Lease
from .liveness import INCARNATION_KEY, Liveness
from .membership import MembershipTable
from .outbox import Outbox
from .probes import Prober
from .proposer import Proposer
from .register import VOTE_KEY, majority
from .voter import STAMPS_KEY, Voter


@dataclass(frozen=True, slots=True)
class MemberParts:
    """The components of a member. None of them refers to the member itself."""

    config: TierConfig
    boot: int
    rng: random.Random
    prober: Prober
    gossip: Gossip
    outbox: Outbox
    membership: MembershipTable
    liveness: Liveness
    exchange: ContentExchange
    stamps: dict[str, int]  # by voter: the latest stamp known of its votes
    persisted_stamps: dict[str, int]  # `stamps` as they are on disk at the start
    proposer: Proposer
    lease: Lease | None  # None: the tier has no leases
    voter: Voter | None  # None: this member is not a voter
    confirmations: Confirmations


def build_parts(
    config: TierConfig,
    boot: int,
    persisted: Mapping[str, bytes],
    rng: random.Random,
    now: int,
) -> MemberParts:
    """Build the components of a member that starts with these items on its disk."""
    prober = Prober(config.name, rng, now)
    gossip = Gossip(rng, prober, [name for name in config.peers if name != config.name])
    outbox = Outbox(config.name, gossip, prober, rng)
    membership = MembershipTable(config.name, _last_incarnation(persisted) + 1, boot)
    exchange = ContentExchange(persisted, outbox, rng, now, prober.is_alive)
    persisted_stamps = _persisted_stamps(persisted)
    stamps = dict(persisted_stamps)  # the voter adds its own
    proposer = Proposer(config.name, boot, config.voters, rng)
    lease = None
    if config.lease is not None:
        lease = Lease(config.lease, majority(len(config.voters)))
    return MemberParts(
        config=config,
        boot=boot,
        rng=rng,
        prober=prober,
        gossip=gossip,
        outbox=outbox,
        membership=membership,
        liveness=Liveness(membership, prober, outbox),
        exchange=exchange,
        stamps=stamps,
        persisted_stamps=persisted_stamps,
        proposer=proposer,
        lease=lease,
        voter=_build_voter(config, boot, persisted, now, exchange, stamps, proposer, outbox),
        confirmations=Confirmations(membership, len(config.voters)),
    )


def _build_voter(
    config: TierConfig,
    boot: int,
    persisted: Mapping[str, bytes],
    now: int,
    exchange: ContentExchange,
    stamps: dict[str, int],
    proposer: Proposer,
    outbox: Outbox,
) -> Voter | None:
    """Build the voter of a member that is one; it adds its own stamp to `stamps`."""
    if config.name not in config.voters:
        return None
    voter = Voter(
        config.name,
        config.voters,
        persisted.get(VOTE_KEY),
        exchange.store,
        stamps,
        None if config.lease is None else GrantTable(config.lease, now),
        proposer.next_ballot,
        boot,
        outbox.effects,
    )
    proposer.observe_ballot(voter.acceptor.vote.promised)
    return voter


def _last_incarnation(persisted: Mapping[str, bytes]) -> int:
    encoded = persisted.get(INCARNATION_KEY)
    return 0 if encoded is None else msgspec.msgpack.decode(encoded, type=int)


def _persisted_stamps(persisted: Mapping[str, bytes]) -> dict[str, int]:
    encoded = persisted.get(STAMPS_KEY)
    return {} if encoded is None else msgspec.msgpack.decode(encoded, type=dict[str, int])
