"""The encoding of a page: a leaf of entries, or a branch with up to four children.

Integers are big-endian. Each page has exactly one encoding, and the decoder accepts no other.

- Leaf: `L`, then for each entry, in the order of paths: the lengths of group, name and value
  (2, 2 and 4 bytes), the group, the name, the value.
- Branch: `B`, the number of digits that it skips (1 byte), these digits (four per byte, the first
  one in the highest bits, the last byte padded with zeros), a bit for each child (1 byte, the
  lowest bit for digit 0, the upper four bits zero), then for each child, in the order of digits:
  digest (32 bytes), number of entries (4 bytes) and encoded size of the entries (8 bytes) of its
  subtree.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from hashlib import sha256
from typing import NamedTuple

from .interface import MAX_NAME_BYTES, MAX_PAGE_BYTES, Key, PageError
from .paths import (
    DIGITS,
    DIGITS_PER_BYTE,
    PATH_DIGITS,
    key_path,
    pack_digits,
    unpack_digits,
)

_LEAF = b"L"
_BRANCH = b"B"
_LENGTHS = struct.Struct(">HHI")
_CHILD = struct.Struct(">32sIQ")
_SKIP_OFFSET = 2  # offset of the skipped digits, after the kind and their number
MAX_ENTRY_BYTES = MAX_PAGE_BYTES - len(_LEAF)
_MAX_COUNT = (1 << 32) - 1
_MAX_SIZE = (1 << 64) - 1


class Entry(NamedTuple):
    """An entry with its path and its encoding in a leaf."""

    path: str
    key: Key
    encoded: bytes

    @property
    def value(self) -> bytes:
        """The entry's value, a part of `encoded`."""
        return self.encoded[len(self.encoded) - _LENGTHS.unpack_from(self.encoded)[2] :]


@dataclass(frozen=True, slots=True)
class Leaf:
    """Entries in the order of their paths; only the root may have none."""

    entries: tuple[Entry, ...]

    @property
    def count(self) -> int:
        """The number of entries below."""
        return len(self.entries)

    @property
    def size(self) -> int:
        """The bytes of the entries below."""
        return sum(len(entry.encoded) for entry in self.entries)


@dataclass(frozen=True, slots=True)
class Reference:
    """A branch's reference to a child: its digest, and the totals of the entries below it."""

    digest: str
    count: int
    size: int


@dataclass(frozen=True, slots=True)
class Branch:
    """Children by digit; `skip` is the common prefix of their paths after the page's position."""

    skip: str
    children: Mapping[str, Reference]


def page_digest(raw: bytes) -> str:
    """Return a page's digest: its SHA-256 in hex."""
    return sha256(raw).hexdigest()


def make_entry(key: Key, value: bytes) -> Entry:
    """Return the entry of a key and its value; raises ValueError if either is too long."""
    group = _encode_name("group", key.group)
    name = _encode_name("name", key.name)
    encoded = b"".join((_LENGTHS.pack(len(group), len(name), len(value)), group, name, value))
    if len(encoded) > MAX_ENTRY_BYTES:
        raise ValueError(
            f"entry {key.group!r} {key.name!r}: {len(encoded)} bytes, at most {MAX_ENTRY_BYTES}"
        )
    return Entry(key_path(key), key, encoded)


def check_key(key: Key) -> None:
    """Raise ValueError if the key is not a valid one."""
    _encode_name("group", key.group)
    _encode_name("name", key.name)


def _encode_name(field: str, text: str) -> bytes:
    try:
        encoded = text.encode()
    except UnicodeEncodeError as error:
        raise ValueError(f"{field} {text[:80]!r}: not valid Unicode") from error
    if len(encoded) > MAX_NAME_BYTES:
        raise ValueError(
            f"{field} {text[:80]!r}...: {len(encoded)} bytes of UTF-8, at most {MAX_NAME_BYTES}"
        )
    return encoded


def encode_leaf(entries: Iterable[Entry]) -> bytes:
    """Return the page of these entries, which are sorted by path."""
    return _LEAF + b"".join(entry.encoded for entry in entries)


def encode_branch(branch: Branch) -> bytes:
    """Return the page of a branch."""
    skip = branch.skip
    digits = sorted(branch.children)
    child_bits = sum(1 << DIGITS.index(digit) for digit in digits)
    parts = [_BRANCH, bytes((len(skip),)), pack_digits(skip), bytes((child_bits,))]
    for digit in digits:
        child = branch.children[digit]
        parts.append(_CHILD.pack(bytes.fromhex(child.digest), child.count, child.size))
    return b"".join(parts)


def decode(raw: bytes) -> Leaf | Branch:
    """Return the decoded page; raises PageError if it is malformed."""
    if len(raw) > MAX_PAGE_BYTES:
        raise PageError(f"page: {len(raw)} bytes, at most {MAX_PAGE_BYTES}")
    kind = raw[:1]
    if kind == _LEAF:
        return _decode_leaf(raw)
    if kind == _BRANCH:
        return _decode_branch(raw)
    raise PageError(f"page: unknown kind {kind!r}")


def _decode_leaf(raw: bytes) -> Leaf:
    entries: list[Entry] = []
    offset = len(_LEAF)
    previous = ""
    while offset < len(raw):
        entry = _decode_entry(raw, offset)
        if entry.path <= previous:
            raise PageError(
                f"leaf, byte {offset}: entry {entry.key!r} is not after the one before it"
            )
        previous = entry.path
        entries.append(entry)
        offset += len(entry.encoded)
    return Leaf(tuple(entries))


def _decode_entry(raw: bytes, offset: int) -> Entry:
    start = offset + _LENGTHS.size
    if start > len(raw):
        raise PageError(f"leaf, byte {offset}: ends within the lengths of an entry")
    group_length, name_length, value_length = _LENGTHS.unpack_from(raw, offset)
    name_start = start + group_length
    value_start = name_start + name_length
    end = value_start + value_length
    if end > len(raw):
        raise PageError(f"leaf, byte {offset}: ends within an entry of {end - offset} bytes")
    group = _decode_name("group", raw, start, name_start)
    name = _decode_name("name", raw, name_start, value_start)
    key = Key(group, name)
    return Entry(key_path(key), key, raw[offset:end])


def _decode_name(field: str, raw: bytes, start: int, end: int) -> str:
    if end - start > MAX_NAME_BYTES:
        raise PageError(
            f"leaf, byte {start}: {field} of {end - start} bytes, at most {MAX_NAME_BYTES}"
        )
    try:
        return raw[start:end].decode()
    except UnicodeDecodeError as error:
        raise PageError(f"leaf, byte {start}: {field} is not UTF-8") from error


def _decode_branch(raw: bytes) -> Branch:
    skip, offset = _decode_skip(raw)
    if offset == len(raw):
        raise PageError("branch: ends before its children")
    child_bits = raw[offset]
    offset += 1
    if child_bits >> len(DIGITS):
        raise PageError(f"branch: child bits {child_bits:#04x}, at most {len(DIGITS)} children")
    digits = [digit for bit, digit in enumerate(DIGITS) if child_bits >> bit & 1]
    if len(digits) < 2:
        raise PageError(f"branch: {len(digits)} children, at least 2")
    expected = offset + len(digits) * _CHILD.size
    if len(raw) != expected:
        raise PageError(f"branch: {len(raw)} bytes, its {len(digits)} children take {expected}")
    children = {
        digit: _decode_child(raw, offset + index * _CHILD.size, digit)
        for index, digit in enumerate(digits)
    }
    if len({child.digest for child in children.values()}) < len(children):
        raise PageError("branch: two children have the same digest")
    _check_totals(children)
    return Branch(skip, children)


def _check_totals(children: Mapping[str, Reference]) -> None:
    """Check that the totals fit into the fields of a parent branch's page."""
    count = sum(child.count for child in children.values())
    if count > _MAX_COUNT:
        raise PageError(f"branch: {count} entries, at most {_MAX_COUNT}")
    size = sum(child.size for child in children.values())
    if size > _MAX_SIZE:
        raise PageError(f"branch: entries of {size} bytes, at most {_MAX_SIZE}")


def _decode_skip(raw: bytes) -> tuple[str, int]:
    if len(raw) < _SKIP_OFFSET:
        raise PageError("branch: ends before the number of skipped digits")
    length = raw[1]
    if length >= PATH_DIGITS:
        raise PageError(f"branch: skips {length} digits, at most {PATH_DIGITS - 1}")
    end = _SKIP_OFFSET + -(-length // DIGITS_PER_BYTE)
    if end > len(raw):
        raise PageError("branch: ends within the skipped digits")
    digits = unpack_digits(raw[_SKIP_OFFSET:end])
    if digits[length:].strip("0"):
        raise PageError("branch: the skipped digits are not padded with zeros")
    return digits[:length], end


def _decode_child(raw: bytes, offset: int, digit: str) -> Reference:
    digest, count, size = _CHILD.unpack_from(raw, offset)
    if not count:
        raise PageError(f"branch: child {digit} has no entries")
    if size < count * _LENGTHS.size:
        raise PageError(f"branch: child {digit} has {count} entries in {size} bytes")
    return Reference(digest.hex(), count, size)


def child_digests(raw: bytes) -> tuple[str, ...]:
    """Return the digests of a branch's children, () for a leaf; raises PageError.

    A leaf's entries are not checked; `verify` does that.
    """
    if raw[:1] == _LEAF and len(raw) <= MAX_PAGE_BYTES:
        return ()
    page = decode(raw)
    if isinstance(page, Leaf):
        return ()
    return tuple(child.digest for child in page.children.values())


def decode_verified(raw: bytes, digest: str) -> Leaf | Branch:
    """Return the decoded page; raises PageError if it is malformed or has another digest."""
    page = decode(raw)
    actual = page_digest(raw)
    if actual != digest:
        raise PageError(f"page {digest}: actual digest is {actual}")
    return page


def verify(raw: bytes, digest: str) -> None:
    """Raise PageError if the page is malformed, is too large, or has another digest."""
    decode_verified(raw, digest)
