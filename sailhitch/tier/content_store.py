"""Contents by digest, fetched in pieces from whoever has them, whole and checked or not at all."""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Iterable, Sequence
from typing import Final

from .messages import Block, BlockRequest

BLOCK_SIZE: Final = 1024  # bytes; a piece and its seal fit any path's datagrams
WINDOW: Final = 16  # pieces asked for at a time
PATIENCE: Final = 150_000  # us until a piece is asked for again
MOST: Final = 64 << 20  # bytes of a content; ten thousand nodes take one and a half


def digest_of(content: bytes) -> str:
    """A content's name."""
    return hashlib.sha256(content).hexdigest()


class _Fetch:
    """A content that is on its way."""

    def __init__(self, source: str) -> None:
        self.source = source
        self.total: int | None = None
        self.pieces: dict[int, bytes] = {}
        self.asked: dict[int, int] = {}  # offset: when


class ContentStore:
    """What is here, packed, and what is wanted."""

    def __init__(self, packed: dict[str, bytes]) -> None:
        self.packed = dict(packed)
        self._fetches: dict[str, _Fetch] = {}
        self.spoilt = 0  # contents that came whole and were not what they should be

    def add(self, content: bytes) -> tuple[str, bytes]:
        """Put a content in; its digest and packed form."""
        digest, packed = digest_of(content), zlib.compress(content, 6)
        self.packed[digest] = packed
        self._fetches.pop(digest, None)
        return digest, packed

    def has(self, *digests: str) -> bool:
        """Whether all of these are here."""
        return all(digest in self.packed for digest in digests)

    def read(self, digest: str) -> bytes:
        """A content; raises KeyError."""
        return _unpack(self.packed[digest])

    def keep_only(self, digests: Iterable[str]) -> list[str]:
        """Let go of all others; which went."""
        wanted = set(digests)
        gone = [digest for digest in self.packed if digest not in wanted]
        for digest in gone:
            del self.packed[digest]
        for digest in [d for d in self._fetches if d not in wanted]:
            del self._fetches[digest]
        return gone

    # --- Fetching

    def want(self, digest: str, source: str) -> None:
        """Fetch this; `source` surely has it, or had it."""
        if digest not in self.packed and digest not in self._fetches:
            self._fetches[digest] = _Fetch(source)

    def asks(self, now: int, others: Sequence[str], pick: int) -> list[tuple[str, BlockRequest]]:
        """What to ask whom now. A source that does not answer gives way to `others[pick]`."""
        found = []
        for digest, fetch in self._fetches.items():
            late = any(now - at >= PATIENCE for at in fetch.asked.values())
            if late and others:
                fetch.source = others[pick % len(others)]
            found += [(fetch.source, BlockRequest(digest, offset)) for offset in _next(fetch, now)]
        return found

    def answer(self, get: BlockRequest) -> Block | None:
        """A piece of what is here."""
        packed = self.packed.get(get.digest)
        if packed is None or not 0 <= get.offset < len(packed) or get.offset % BLOCK_SIZE:
            return None
        data = packed[get.offset : get.offset + BLOCK_SIZE]
        return Block(get.digest, get.offset, len(packed), data)

    def take(self, piece: Block) -> bytes | None:
        """A piece has come; the packed content, once it is whole and right."""
        fetch = self._fetches.get(piece.digest)
        if fetch is None or not 0 < piece.total <= MOST or piece.offset % BLOCK_SIZE:
            return None
        if fetch.total is None:
            fetch.total = piece.total
        size = min(BLOCK_SIZE, fetch.total - piece.offset)
        if piece.total != fetch.total or len(piece.data) != size:
            return None
        fetch.pieces[piece.offset] = piece.data
        fetch.asked.pop(piece.offset, None)
        if len(fetch.pieces) * BLOCK_SIZE < fetch.total:
            return None
        packed = b"".join(fetch.pieces[at] for at in sorted(fetch.pieces))
        del self._fetches[piece.digest]
        try:
            right = digest_of(_unpack(packed)) == piece.digest
        except (ValueError, zlib.error):
            right = False
        if not right:
            self.spoilt += 1
            self._fetches[piece.digest] = _Fetch(fetch.source)
            return None
        self.packed[piece.digest] = packed
        return packed


def _next(fetch: _Fetch, now: int) -> list[int]:
    """Offsets to ask for: the first tells how many there are."""
    if fetch.total is None:
        offsets: Iterable[int] = (0,)
    else:
        offsets = range(0, fetch.total, BLOCK_SIZE)
    chosen: list[int] = []
    under_way = sum(now - at < PATIENCE for at in fetch.asked.values())
    for offset in offsets:
        if under_way + len(chosen) >= WINDOW:
            break
        asked = fetch.asked.get(offset)
        if offset not in fetch.pieces and (asked is None or now - asked >= PATIENCE):
            chosen.append(offset)
            fetch.asked[offset] = now
    return chosen


def _unpack(packed: bytes) -> bytes:
    """Raises ValueError for what is too large, and zlib.error."""
    unpacker = zlib.decompressobj()
    content = unpacker.decompress(packed, MOST)
    if unpacker.unconsumed_tail or not unpacker.eof:
        raise ValueError("a content that is too large, or cut short")
    return content
