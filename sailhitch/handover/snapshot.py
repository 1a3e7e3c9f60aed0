"""What the old process tells the new one, and its form on the wire. No I/O.

A frame is one message of a `SOCK_SEQPACKET` socket: a kind, then a payload. State is longer than a
message may be, so it comes in pieces, closed by one that has its length and digest: it is taken
whole or not at all.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from typing import Final

import msgspec

from ..core.maintenance import Maintenance, Returned
from ..core.terms import Entry, Roster
from ..interface import Knowledge, KnownRate

FORM: Final = 1  # of what follows; another is left alone
MAGIC: Final = b"sailhitch"
PIECE: Final = 32 * 1024  # of state in a frame
MOST: Final = 16 << 20  # of state; more is none

# What a frame holds.
HELLO, STATE, WHOLE, READY, BAN, CLIENT, DRAINING, HOLDS, TAKEN = b"HSWRBCDNT"
CONFIRMS: Final = 1  # behind the form in a HELLO: a TAKEN follows each CLIENT that is taken


class HandoverError(ValueError):
    """What the other process said can't be used; the text says why."""


class Legacy(msgspec.Struct, frozen=True):
    """All that is told at once. Times are microseconds since 1970, as the core's clock has them."""

    ever: list[str]  # ids ever listed, the latest last
    bans: dict[str, int]
    returned: dict[str, Returned]
    version: int = 0  # of the list
    hosts: list[Entry] = []  # empty where no list has come
    knowledge: Knowledge | None = None  # what the module has learned
    # The clock's offset from the machine's monotonic one; 0 where it is not told.
    epoch: int = 0


class Ban(msgspec.Struct, array_like=True, frozen=True):
    """What staff have just said of a host."""

    host: str
    out: bool
    at: int


def bans_of(maintenance: Maintenance) -> Legacy:
    """What staff have said, without the list."""
    return Legacy(list(maintenance.ever), dict(maintenance.bans), dict(maintenance.returned))


def take_bans(legacy: Legacy, maintenance: Maintenance) -> None:
    """Go by what staff have said to the other process."""
    maintenance.saw(legacy.ever)
    maintenance.bans.update(legacy.bans)
    maintenance.returned.update(legacy.returned)


def by_clock_of(legacy: Legacy, epoch: int) -> Legacy:
    """What was told with its times by the clock of whoever takes it, which has this epoch.

    Both clocks start from the time of day. Danger: where that was stepped back between the two
    starts, a rate that was cut or a shun would end so much later, an hour perhaps, and nearly all
    requests be refused until then.
    """
    by = epoch - legacy.epoch
    if not legacy.epoch or not by:
        return legacy
    return msgspec.structs.replace(
        legacy,
        bans={name: since + by for name, since in legacy.bans.items()},
        returned={
            name: Returned(one.entered + by, one.left + by) for name, one in legacy.returned.items()
        },
        knowledge=None if legacy.knowledge is None else _moved(legacy.knowledge, by),
        epoch=epoch,
    )


def _moved(knowledge: Knowledge, by: int) -> Knowledge:
    """What was learned, with its times so much later; 0 is never, and stays so."""

    def at(time: int) -> int:
        return time + by if time else 0

    def rate(known: KnownRate) -> KnownRate:
        return known._replace(t_rate=at(known.t_rate), begun=at(known.begun), t_cut=at(known.t_cut))

    servers = {
        name: one._replace(
            seen=at(one.seen),
            sent_seen=at(one.sent_seen),
            shun_until=at(one.shun_until),
            rate=rate(one.rate),
        )
        for name, one in knowledge.servers.items()
    }
    return knowledge._replace(
        servers=servers,
        t_arrival=at(knowledge.t_arrival),
        t_start=at(knowledge.t_start),
        fleet=rate(knowledge.fleet),
    )


def roster_of(legacy: Legacy) -> Roster | None:
    """The list as the other process had it; None where it had none."""
    if not legacy.hosts:
        return None
    return Roster(legacy.version, True, tuple(legacy.hosts), 0, frozenset())


def pack(legacy: Legacy) -> bytes:
    """State as bytes that say where they end and whether they are whole."""
    return seal(msgspec.msgpack.encode(legacy))


def seal(body: bytes) -> bytes:
    """Bytes with their form, length and digest before them."""
    digest = hashlib.blake2b(body, digest_size=16).digest()
    return MAGIC + bytes((FORM,)) + len(body).to_bytes(4, "big") + digest + body


def unpack(data: bytes) -> Legacy:
    """What `pack` made; raises HandoverError for anything else, also for any part of it."""
    head = len(MAGIC) + 1 + 4 + 16
    if len(data) < head or not data.startswith(MAGIC):
        raise HandoverError("not a gateway's state")
    if data[len(MAGIC)] != FORM:
        raise HandoverError(f"state of form {data[len(MAGIC)]}; this one reads {FORM}")
    size = int.from_bytes(data[len(MAGIC) + 1 : len(MAGIC) + 5], "big")
    body = data[head:]
    if len(body) != size or seal(body) != data:
        raise HandoverError("state that was cut or changed on its way")
    try:
        return msgspec.msgpack.decode(body, type=Legacy)
    except msgspec.MsgspecError as error:
        raise HandoverError(f"state: {error}") from None


def frames(data: bytes) -> Iterator[bytes]:
    """State as frames."""
    for at in range(0, len(data), PIECE):
        yield bytes((STATE,)) + data[at : at + PIECE]
    yield bytes((WHOLE,))


class Pieces:
    """Puts state together from its frames."""

    def __init__(self) -> None:
        self._held = bytearray()

    def add(self, piece: bytes) -> None:
        """One more; raises HandoverError."""
        self._held += piece
        if len(self._held) > MOST:
            raise HandoverError("state without end")

    def whole(self) -> Legacy:
        """All have come; raises HandoverError."""
        return unpack(bytes(self._held))


def ban_frame(ban: Ban) -> bytes:
    """A ban, or its end, as a frame."""
    return bytes((BAN,)) + msgspec.msgpack.encode(ban)


def read_ban(payload: bytes) -> Ban:
    """What `ban_frame` made; raises HandoverError."""
    try:
        return msgspec.msgpack.decode(payload, type=Ban)
    except msgspec.MsgspecError as error:
        raise HandoverError(f"a ban: {error}") from None
