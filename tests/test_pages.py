"""Trees of pages: canonical shape, cost of updates and differences, verification of pages."""

from __future__ import annotations

import struct
import tracemalloc
import zlib
from collections.abc import Iterator, Mapping
from hashlib import sha256
from itertools import count, pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sailhitch.pages import (
    LEAF_SIZE,
    MAX_NAME_BYTES,
    MAX_PAGE_BYTES,
    Change,
    Key,
    PageError,
    Tree,
    build,
    child_digests,
    compress,
    decompress,
    difference,
    page_digest,
    read_entries,
    update,
    verify,
)
from sailhitch.pages.page import (
    MAX_ENTRY_BYTES,
    Branch,
    Leaf,
    Reference,
    decode,
    encode_branch,
    encode_leaf,
    make_entry,
)
from sailhitch.pages.paths import PATH_DIGITS, common_prefix, key_path, pack_digits, unpack_digits

Entries = dict[Key, bytes]
Edits = dict[Key, bytes | None]
GROUP_DIGITS = 32
ENTRY_HEADER_BYTES = 8  # bytes of an entry in addition to its group, name and value
BRANCH_HEADER_BYTES = 3  # bytes of a branch that skips no digits, before its children
CHILD_BYTES = 44


class Source:
    """Pages in memory, which records the digests of all pages read."""

    def __init__(self, *trees: Tree) -> None:
        self.pages: dict[str, bytes] = {}
        self.read: list[str] = []
        for tree in trees:
            self.pages.update(tree.pages)

    def page(self, digest: str) -> bytes:
        self.read.append(digest)
        return self.pages[digest]

    def add(self, raw: bytes) -> str:
        digest = page_digest(raw)
        self.pages[digest] = raw
        return digest


def apply_edits(entries: Mapping[Key, bytes], edits: Mapping[Key, bytes | None]) -> Entries:
    """Apply the edits to a dict."""
    after = dict(entries)
    for key, value in edits.items():
        if value is None:
            after.pop(key, None)
        else:
            after[key] = value
    return after


def dict_changes(old: Entries, new: Entries) -> list[Change]:
    """The difference of two dicts, sorted by path."""
    changes = [Change(key, old.get(key), new.get(key)) for key in old.keys() | new.keys()]
    changes = [change for change in changes if change.before != change.after]
    return sorted(changes, key=lambda change: key_path(change.key))


def pages_by_position(
    pages: Mapping[str, bytes], digest: str, position: str = ""
) -> Iterator[tuple[str, str]]:
    """The position and the digest of each page of a tree."""
    yield position, digest
    page = decode(pages[digest])
    if isinstance(page, Branch):
        for digit, child in page.children.items():
            yield from pages_by_position(pages, child.digest, position + page.skip + digit)


def keys_below(digits: str, group: str = "g") -> Iterator[Key]:
    """Keys of a group whose paths continue with these digits after those of the group."""
    for number in count():
        key = Key(group, f"n{number}")
        if key_path(key).startswith(digits, GROUP_DIGITS):
            yield key


# --- Canonical shape

KEYS = st.builds(
    Key, st.sampled_from(["a", "b", "pool/c"]), st.integers(0, 30).map(lambda number: f"n{number}")
)
VALUES = st.binary(max_size=40)
EDITS = st.dictionaries(KEYS, st.none() | VALUES, max_size=20)
LEAF_SIZES = st.sampled_from([1, 30, 100, 400, LEAF_SIZE])


@settings(max_examples=150)
@given(st.lists(EDITS, max_size=8), LEAF_SIZES)
def test_a_tree_does_not_depend_on_its_history(history: list[Edits], leaf_size: int) -> None:
    entries: Entries = {}
    tree = build({}, leaf_size)
    source = Source(tree)
    for edits in history:
        entries = apply_edits(entries, edits)
        rebuilt = build(entries, leaf_size)
        updated = update(source, tree.root, edits, leaf_size)
        assert updated.root == rebuilt.root
        assert updated.pages.keys() == rebuilt.pages.keys() - tree.pages.keys()
        assert {**rebuilt.pages, **updated.pages} == rebuilt.pages
        source.pages.update(updated.pages)
        assert dict(read_entries(source, updated.root)) == entries
        tree = rebuilt


@settings(max_examples=150)
@given(st.dictionaries(KEYS, VALUES), EDITS, LEAF_SIZES)
def test_a_difference_equals_that_of_dicts_and_reads_only_pages_that_differ(
    old: Entries, edits: Edits, leaf_size: int
) -> None:
    new = apply_edits(old, edits)
    old_tree, new_tree = build(old, leaf_size), build(new, leaf_size)
    source = Source(old_tree, new_tree)
    assert list(difference(source, old_tree.root, new_tree.root)) == dict_changes(old, new)
    assert len(source.read) == len(set(source.read))
    # A page that is in both trees is read only if it has moved to another position, or is a root.
    differing = set(pages_by_position(source.pages, old_tree.root)) ^ set(
        pages_by_position(source.pages, new_tree.root)
    )
    assert set(source.read) <= {digest for _, digest in differing}


def test_entries_are_read_in_the_order_of_their_paths_group_by_group() -> None:
    entries = {Key(f"g{number % 3}", f"n{number}"): b"v" for number in range(60)}
    tree = build(entries, 50)
    keys = [key for key, _ in read_entries(Source(tree), tree.root)]
    assert keys == sorted(entries, key=key_path)
    groups = [key.group for key in keys]
    assert groups == sorted(groups, key=groups.index)  # the entries of each group are contiguous


def test_no_entries_are_an_empty_leaf() -> None:
    tree = build({})
    assert len(tree.pages) == 1
    source = Source(tree)
    assert list(read_entries(source, tree.root)) == []
    assert child_digests(tree.pages[tree.root]) == ()
    key = Key("g", "n")
    one = update(source, tree.root, {key: b""})
    source.pages.update(one.pages)
    assert list(read_entries(source, one.root)) == [(key, b"")]
    assert update(source, one.root, {key: None}).root == tree.root
    assert list(difference(source, tree.root, one.root)) == [Change(key, None, b"")]
    assert list(difference(source, one.root, tree.root)) == [Change(key, b"", None)]


def test_an_update_without_effect_makes_no_pages() -> None:
    entries = {Key("g", f"n{number}"): bytes(20) for number in range(100)}
    tree = build(entries, 200)
    source = Source(tree)
    for edits in ({}, {Key("g", "n7"): bytes(20)}, {Key("g", "none"): None}, {Key("h", ""): None}):
        assert update(source, tree.root, edits, 200) == Tree(tree.root, {})


# --- Cost of edits and differences


def test_one_edit_reads_and_writes_the_pages_of_one_path() -> None:
    entries = {Key(f"g{number % 20}", f"n{number}"): bytes(50) for number in range(5000)}
    tree = build(entries, 500)
    source = Source(tree)
    depth = max(len(position) for position, _ in pages_by_position(tree.pages, tree.root))
    assert depth > GROUP_DIGITS
    for number in (0, 17, 4999):
        source.read.clear()
        edit = {Key(f"g{number % 20}", f"n{number}"): bytes(49) + b"x"}
        updated = update(source, tree.root, edit, 500)
        edit_path = key_path(*edit)
        assert source.read == [
            d
            for position, d in pages_by_position(tree.pages, tree.root)
            if edit_path.startswith(position)
        ]
        assert len(source.read) == len(updated.pages) < 10
        source.pages.update(updated.pages)
        source.read.clear()
        assert len(list(difference(source, tree.root, updated.root))) == 1
        assert len(source.read) == 2 * len(updated.pages)


def test_edits_of_one_group_touch_its_pages_alone() -> None:
    entries = {Key(f"g{number % 20}", f"n{number}"): bytes(50) for number in range(2000)}
    tree = build(entries, 500)
    source = Source(tree)
    edits: Edits = {key: b"new" for key in entries if key.group == "g3"}
    updated = update(source, tree.root, edits, 500)
    group_path = key_path(Key("g3", ""))[:GROUP_DIGITS]
    for position, digest in pages_by_position(tree.pages, tree.root):
        if digest in source.read:
            assert group_path.startswith(position[:GROUP_DIGITS])
    assert len(updated.pages) < len(tree.pages) / 5


# --- Shrinking trees


def test_entries_that_fit_into_one_leaf_again_are_one() -> None:
    first, second, third = keys_below("0"), keys_below("1"), keys_below("2")
    small = {next(first): b"", next(second): b""}
    large = next(third)
    size = sum(len(make_entry(key, value).encoded) for key, value in small.items())
    tree = build({**small, large: bytes(size)}, size)
    assert len(tree.pages) == 4
    source = Source(tree)
    updated = update(source, tree.root, {large: None}, size)
    assert updated.pages == build(small, size).pages
    assert len(updated.pages) == 1
    # With a leaf size one byte smaller they don't fit.
    tree = build({**small, large: bytes(size)}, size - 1)
    updated = update(Source(tree), tree.root, {large: None}, size - 1)
    assert updated.root == build(small, size - 1).root
    assert len(build(small, size - 1).pages) == 3


def test_leaves_that_do_not_fit_together_are_not_read() -> None:
    keys = [next(keys_below(digit)) for digit in "0123"]
    tree = build(dict.fromkeys(keys, bytes(100)), 200)
    source = Source(tree)
    update(source, tree.root, {keys[0]: None}, 200)
    assert len(source.read) == 2  # the root and the leaf of the entry


def test_a_single_remaining_leaf_replaces_its_branch_unread() -> None:
    alone, gone = next(keys_below("0")), next(keys_below("1"))
    tree = build({alone: bytes(500), gone: bytes(500)}, 100)
    source = Source(tree)
    updated = update(source, tree.root, {gone: None}, 100)
    assert updated.root == build({alone: bytes(500)}, 100).root
    assert updated.root not in source.read
    assert updated.pages == {}  # the leaf is a page of the old tree already


def test_a_single_remaining_branch_also_skips_the_digits_of_its_parent() -> None:
    below, gone = keys_below("1"), next(keys_below("2"))
    kept = {next(below): bytes(100) for _ in range(20)}
    tree = build({**kept, gone: b""}, 150)
    source = Source(tree)
    updated = update(source, tree.root, {gone: None}, 150)
    assert updated.root == build(kept, 150).root
    assert len(source.read) == 3  # the root, the leaf of the entry, and the remaining branch
    root = decode(updated.pages[updated.root])
    assert isinstance(root, Branch)
    assert root.skip == key_path(next(iter(kept)))[: GROUP_DIGITS + 1]


def test_deleting_all_entries_leaves_an_empty_leaf() -> None:
    entries = {Key(f"g{number % 5}", f"n{number}"): bytes(30) for number in range(500)}
    tree = build(entries, 100)
    assert update(Source(tree), tree.root, dict.fromkeys(entries), 100).root == build({}).root


# --- Unusual names and values


def test_names_with_long_common_path_prefixes_just_make_a_deep_tree() -> None:
    keys = sorted((Key("g", f"n{number}") for number in range(200_000)), key=key_path)
    paths = [key_path(key) for key in keys]
    shared = [len(common_prefix(a, b)) for a, b in pairwise(paths)]
    best = max(range(len(shared)), key=shared.__getitem__)
    assert shared[best] >= GROUP_DIGITS + 14
    target = paths[best]
    # For each length of a prefix shared with the target's path, one name: a branch for each.
    chosen = {len(common_prefix(target, path)): key for key, path in zip(keys, paths, strict=True)}
    entries = dict.fromkeys(chosen.values(), b"value")
    tree = build(entries, 1)
    depth = max(len(position) for position, _ in pages_by_position(tree.pages, tree.root))
    assert depth == shared[best] + 1
    assert sum(bool(child_digests(raw)) for raw in tree.pages.values()) >= 5
    source = Source(tree)
    assert dict(read_entries(source, tree.root)) == entries
    root = tree.root
    left = dict(entries)
    for key in entries:  # removed one by one, at various depths
        updated = update(source, root, {key: None}, 1)
        del left[key]
        assert updated.root == build(left, 1).root
        source.pages.update(updated.pages)
        changes = list(difference(source, root, updated.root))
        assert changes == [Change(key, b"value", None)]
        root = updated.root


def test_an_edit_at_the_last_digit_goes_down_all_levels() -> None:
    """The deepest possible tree: a branch at each digit of one path, each with one more entry."""
    key = Key("g", "n")
    path = key_path(key)
    source = Source()
    entry = make_entry(key, b"before")
    top = Reference(source.add(encode_leaf([entry])), 1, len(entry.encoded))
    for depth in reversed(range(PATH_DIGITS)):
        # The sibling's page is missing, so that a read of it fails.
        sibling = Reference(page_digest(b"%d" % depth), 1, 9)
        children = {path[depth]: top, "1032"[int(path[depth])]: sibling}
        raw = encode_branch(Branch("", children))
        top = Reference(source.add(raw), top.count + 1, top.size + 9)
    updated = update(source, top.digest, {key: b"after"}, 1)
    assert len(updated.pages) == PATH_DIGITS + 1
    source.pages.update(updated.pages)
    changes = list(difference(source, top.digest, updated.root))
    assert changes == [Change(key, b"before", b"after")]
    assert len(update(source, top.digest, {key: None}, 1).pages) == PATH_DIGITS - 1


def test_a_large_group_is_split_by_names() -> None:
    entries = {Key("tenants", f"t{number}"): b"{}" for number in range(20_000)}
    tree = build(entries)
    assert max(map(len, tree.pages.values())) <= LEAF_SIZE + 1
    assert (
        max(len(position) for position, _ in pages_by_position(tree.pages, tree.root))
        <= GROUP_DIGITS + 12
    )
    assert len(dict(read_entries(Source(tree), tree.root))) == 20_000


def test_a_value_larger_than_a_leaf_is_a_leaf_of_its_own() -> None:
    large, small = Key("g", "large"), Key("g", "small")
    key_bytes = ENTRY_HEADER_BYTES + len("g") + len("large")
    entries = {large: bytes(MAX_ENTRY_BYTES - key_bytes), small: b"x"}
    tree = build(entries)
    assert max(map(len, tree.pages.values())) == MAX_PAGE_BYTES
    for digest, raw in tree.pages.items():
        verify(raw, digest)
    source = Source(tree)
    assert dict(read_entries(source, tree.root)) == entries
    over = {large: entries[large] + b"x"}
    with pytest.raises(ValueError, match="'large': 262144 bytes, at most 262143"):
        build(over)
    with pytest.raises(ValueError, match="'large': 262144 bytes, at most 262143"):
        update(source, tree.root, over)


@pytest.mark.parametrize("field", ["group", "name"])
def test_names_are_bounded_in_bytes_of_utf8(field: str) -> None:
    longest = "é" * (MAX_NAME_BYTES // 2)
    key = Key("g", "n")._replace(**{field: longest})
    tree = build({key: b"v"})
    verify(tree.pages[tree.root], tree.root)
    assert list(read_entries(Source(tree), tree.root)) == [(key, b"v")]
    over = key._replace(**{field: longest + "x"})
    wrong = key._replace(**{field: "\ud800"})
    for value in (b"v", None):
        with pytest.raises(ValueError, match=f"^{field} .*1025 bytes of UTF-8, at most 1024"):
            update(Source(tree), tree.root, {over: value})
        with pytest.raises(ValueError, match=f"^{field} .*not valid Unicode"):
            update(Source(tree), tree.root, {wrong: value})


def test_names_and_values_may_be_arbitrary() -> None:
    names = ["", "\0", "a\0b", "b", "/", "../x", "\n", "\U0001f600", "L", "B" * 300]
    entries = {Key(group, name): f"{group}L\0B{name}".encode() for group in names for name in names}
    tree = build(entries, 60)
    assert dict(read_entries(Source(tree), tree.root)) == entries


@pytest.mark.parametrize("leaf_size", [-1, 0, MAX_ENTRY_BYTES + 1])
def test_a_leaf_size_that_no_page_can_have_is_refused(leaf_size: int) -> None:
    tree = build({})
    with pytest.raises(ValueError, match=f"leaf_size {leaf_size}"):
        build({}, leaf_size)
    with pytest.raises(ValueError, match=f"leaf_size {leaf_size}"):
        update(Source(tree), tree.root, {}, leaf_size)


def test_an_update_under_another_leaf_size_is_refused() -> None:
    entries = {Key("g", f"n{number}"): bytes(50) for number in range(40)}
    one, many = build(entries, 4000), build(entries, 200)
    with pytest.raises(PageError, match="not a leaf at leaf size 200"):
        update(Source(one), one.root, {Key("g", "n1"): b""}, 200)
    with pytest.raises(PageError, match="not a branch at leaf size 4000"):
        update(Source(many), many.root, {Key("g", "n1"): b""}, 4000)


def test_a_missing_page_raises_key_error() -> None:
    entries = {Key("g", f"n{number}"): bytes(50) for number in range(40)}
    tree = build(entries, 200)
    other = build({}, 200)
    source = Source(tree, other)
    (lost, *_) = child_digests(tree.pages[tree.root])
    del source.pages[lost]
    with pytest.raises(KeyError, match=lost):
        list(read_entries(source, tree.root))
    with pytest.raises(KeyError, match=lost):
        list(difference(source, other.root, tree.root))
    with pytest.raises(KeyError, match=lost):
        update(source, tree.root, dict.fromkeys(entries, b""), 200)


# --- Invalid pages


def is_valid(raw: bytes) -> bool:
    """Whether a page passes verification; if so, encoding the decoded page must reproduce it."""
    try:
        verify(raw, page_digest(raw))
    except PageError:
        return False
    page = decode(raw)
    again = encode_leaf(page.entries) if isinstance(page, Leaf) else encode_branch(page)
    assert again == raw
    return True


def sample_pages() -> list[bytes]:
    """A leaf, and branches that skip 0, 1, 2, 3, 4 and 127 digits."""
    entries = {Key("g", f"n{number}"): f"value {number}".encode() for number in range(5)}
    pages = [next(iter(build(entries).pages.values()))]
    children = {
        digit: Reference(page_digest(digit.encode()), 2, 40 + int(digit)) for digit in "0123"
    }
    skips = ("", "2", "03", "021", "0123", "0" * 127)
    pages += [encode_branch(Branch(skip, children)) for skip in skips]
    some = {digit: children[digit] for digit in "13"}
    return [*pages, encode_branch(Branch("2", some))]


SAMPLES = sample_pages()


@pytest.mark.parametrize("raw", SAMPLES)
def test_any_byte_changed_is_found_by_the_digest(raw: bytes) -> None:
    digest = page_digest(raw)
    verify(raw, digest)
    for offset in range(len(raw)):
        for bit in range(8):
            changed = bytearray(raw)
            changed[offset] ^= 1 << bit
            with pytest.raises(PageError):
                verify(bytes(changed), digest)


@pytest.mark.parametrize("raw", SAMPLES)
def test_a_page_has_one_encoding(raw: bytes) -> None:
    assert is_valid(raw)
    for offset in range(len(raw)):
        for value in {0, 1, 0xFF, *(raw[offset] ^ 1 << bit for bit in range(8))}:
            is_valid(raw[:offset] + bytes((value,)) + raw[offset + 1 :])
    for tail in (b"\0", b"L", bytes(ENTRY_HEADER_BYTES - 1), bytes(CHILD_BYTES)):
        assert not is_valid(raw + tail)


@given(st.binary(max_size=200), st.sampled_from([b"", b"L", b"B", b"B\0", b"B\2\x60"]))
def test_no_bytes_break_the_decoder(tail: bytes, head: bytes) -> None:
    is_valid(head + tail)


@pytest.mark.parametrize("raw", SAMPLES)
def test_a_page_cut_short_is_refused(raw: bytes) -> None:
    page = decode(raw)
    leaf_ends = {1}  # lengths at which a leaf may end
    if isinstance(page, Leaf):
        for entry in page.entries:
            leaf_ends.add(max(leaf_ends) + len(entry.encoded))
    for length in range(len(raw)):
        is_leaf = isinstance(page, Leaf) and length in leaf_ends
        assert is_valid(raw[:length]) == is_leaf, length


def encoded_entry(group: bytes, name: bytes, value: bytes = b"") -> bytes:
    return struct.pack(">HHI", len(group), len(name), len(value)) + group + name + value


def encoded_entries(*names: str) -> list[bytes]:
    keys = sorted((Key("g", name) for name in names), key=key_path)
    return [make_entry(key, b"v").encoded for key in keys]


FIRST, SECOND = encoded_entries("one", "two")
BRANCH_HEADER = b"B\0\x03"
CHILD_A = bytes(32) + struct.pack(">IQ", 1, 9)
CHILD_B = b"\1" * 32 + struct.pack(">IQ", 1, 9)


@pytest.mark.parametrize(
    ("raw", "message"),
    [
        (b"", "unknown kind b''"),
        (b"X", "unknown kind b'X'"),
        (b"L" + bytes(MAX_PAGE_BYTES), "262145 bytes, at most 262144"),
        (b"B" + bytes(MAX_PAGE_BYTES), "262145 bytes, at most 262144"),
        (b"L" + SECOND + FIRST, "not after the one before"),
        (b"L" + FIRST + FIRST, "not after the one before"),
        (b"L" + FIRST[:-1] + b"w" + FIRST, "not after the one before"),
        (b"L" + bytes(7), "ends within the lengths of an entry"),
        (b"L" + FIRST + bytes(7), "ends within the lengths of an entry"),
        (b"L" + b"\xff" * 8, "ends within an entry of 4295098373 bytes"),
        (b"L" + encoded_entry(b"g" * 1025, b"n"), "group of 1025 bytes, at most 1024"),
        (b"L" + encoded_entry(b"g", b"n" * 1025), "name of 1025 bytes, at most 1024"),
        (b"L" + encoded_entry(b"\xff", b"n"), "byte 9: group is not UTF-8"),
        (b"L" + encoded_entry(b"g", b"\xed\xa0\x80"), "byte 10: name is not UTF-8"),
        (b"B", "ends before the number of skipped digits"),
        (b"B\x80", "skips 128 digits, at most 127"),
        (b"B\xff", "skips 255 digits, at most 127"),
        (b"B\x02", "ends within the skipped digits"),
        (b"B\x05\0", "ends within the skipped digits"),
        (b"B\x01\x7f" + BRANCH_HEADER[2:] + CHILD_A + CHILD_B, "not padded with zeros"),
        (b"B\x01\x41" + BRANCH_HEADER[2:] + CHILD_A + CHILD_B, "not padded with zeros"),
        (b"B\x03\x41" + BRANCH_HEADER[2:] + CHILD_A + CHILD_B, "not padded with zeros"),
        (b"B\x05\0\x50" + BRANCH_HEADER[2:] + CHILD_A + CHILD_B, "not padded with zeros"),
        (b"B\x00", "ends before its children"),
        (b"B\x01\x40", "ends before its children"),
        (b"B\0\0", "0 children, at least 2"),
        (b"B\0\1" + CHILD_A, "1 children, at least 2"),
        (b"B\0\x13" + CHILD_A + CHILD_B, "child bits 0x13, at most 4 children"),
        (b"B\0\x83" + CHILD_A + CHILD_B, "child bits 0x83, at most 4 children"),
        (b"B\0\x11" + CHILD_A + CHILD_B, "child bits 0x11, at most 4 children"),
        (BRANCH_HEADER + CHILD_A, "47 bytes, its 2 children take 91"),
        (BRANCH_HEADER + CHILD_A + CHILD_B + b"\0", "92 bytes, its 2 children take 91"),
        (BRANCH_HEADER + CHILD_A + CHILD_A, "two children have the same digest"),
        (BRANCH_HEADER + CHILD_A + bytes(44), "child 1 has no entries"),
        (BRANCH_HEADER + CHILD_A + bytes(32) + struct.pack(">IQ", 2, 15), "2 entries in 15 bytes"),
        (
            BRANCH_HEADER + CHILD_A + b"\1" * 32 + struct.pack(">IQ", 2**32 - 1, 2**40),
            "4294967296 entries",
        ),
        (
            BRANCH_HEADER + CHILD_A + b"\1" * 32 + struct.pack(">IQ", 1, 2**64 - 1),
            "18446744073709551624 bytes",
        ),
    ],
)
def test_an_invalid_page_is_refused_with_the_reason(raw: bytes, message: str) -> None:
    with pytest.raises(PageError, match=message):
        verify(raw, page_digest(raw))
    if raw[:1] != b"L" or len(raw) > MAX_PAGE_BYTES:
        with pytest.raises(PageError, match=message):
            child_digests(raw)


def test_child_digests_are_in_the_order_of_digits() -> None:
    assert child_digests(BRANCH_HEADER + CHILD_A + CHILD_B) == ("00" * 32, "01" * 32)


def test_a_page_with_another_digest_is_refused_by_every_reader() -> None:
    tree, other = build({Key("g", "n"): b"v"}), build({Key("g", "n"): b"w"})
    source = Source(tree, other)
    source.pages[tree.root] = other.pages[other.root]
    with pytest.raises(PageError, match=f"{tree.root}: actual digest is {other.root}"):
        verify(source.pages[tree.root], tree.root)
    with pytest.raises(PageError, match=tree.root):
        list(read_entries(source, tree.root))
    with pytest.raises(PageError, match=tree.root):
        list(difference(source, tree.root, other.root))
    with pytest.raises(PageError, match=tree.root):
        update(source, tree.root, {Key("g", "n"): None})


def test_a_branch_is_encoded_as_its_layout_says() -> None:
    children = {"1": Reference("00" * 32, 1, 9), "3": Reference("01" * 32, 1, 9)}
    layout = b"B" + b"\x05" + bytes((0b00_01_10_11, 0b10_00_00_00)) + b"\x0a" + CHILD_A + CHILD_B
    assert encode_branch(Branch("01232", children)) == layout
    assert len(encode_branch(Branch("", children))) == BRANCH_HEADER_BYTES + 2 * CHILD_BYTES
    assert decode(layout) == Branch("01232", children)


@given(st.text("0123", max_size=PATH_DIGITS))
def test_digits_are_packed_four_to_a_byte(digits: str) -> None:
    packed = pack_digits(digits)
    assert len(packed) == (len(digits) + 3) // 4
    unpacked = unpack_digits(packed)
    assert unpacked[: len(digits)] == digits
    assert set(unpacked[len(digits) :]) <= {"0"}


def test_a_path_is_the_hashes_in_base_4() -> None:
    key = Key("g", "n")
    path = key_path(key)
    assert len(path) == PATH_DIGITS
    group, name = sha256(b"g").digest()[:8], sha256(b"g\0n").digest()[:24]
    assert int(path, 4).to_bytes(32, "big") == group + name


# --- Valid pages in wrong positions

SMALL_LEAF_SIZE = 100  # leaf size of the trees below


def sample_tree() -> tuple[Source, Branch, dict[str, list[Key]]]:
    """A root branch with leaves at digits 0 and 1, and a branch at digit 2."""
    keys = {"0": [next(keys_below("0"))], "1": [next(keys_below("1"))]}
    below = keys_below("2")
    keys["2"] = [next(below) for _ in range(6)]
    entries = {key: bytes(60) for part in keys.values() for key in part}
    tree = build(entries, SMALL_LEAF_SIZE)
    root = decode(tree.pages[tree.root])
    assert isinstance(root, Branch)
    assert root.skip == key_path(keys["0"][0])[:GROUP_DIGITS]
    assert child_digests(tree.pages[root.children["2"].digest])
    return Source(tree), root, keys


def assert_refused(source: Source, wrong: Branch, message: str, digits: str) -> None:
    """Check that reading, comparing and updating through the wrong branch all refuse it."""
    root = source.add(encode_branch(wrong))
    empty = source.add(build({}).pages[build({}).root])
    verify(source.pages[root], root)  # valid by itself
    with pytest.raises(PageError, match=message):
        list(read_entries(source, root))
    for pair in ((empty, root), (root, empty)):
        with pytest.raises(PageError, match=message):
            list(difference(source, *pair))
    edits = {next(keys_below(digit)): b"" for digit in digits}
    with pytest.raises(PageError, match=message):
        update(source, root, edits, SMALL_LEAF_SIZE)


@pytest.mark.parametrize("digits", ["01", "02", "12"])
def test_children_in_each_others_place_are_refused(digits: str) -> None:
    source, root, _ = sample_tree()
    first, second = digits[0], digits[1]
    swapped = {first: root.children[second], second: root.children[first]}
    wrong = Branch(root.skip, {**root.children, **swapped})
    assert_refused(source, wrong, "does not belong at", digits)


@pytest.mark.parametrize("skip", ["3" * GROUP_DIGITS, "", "0"])
def test_wrong_skipped_digits_are_refused(skip: str) -> None:
    source, root, _ = sample_tree()
    wrong = Branch(skip, root.children)
    digest = source.add(encode_branch(wrong))
    right = source.add(encode_branch(root))
    with pytest.raises(PageError, match="does not belong at"):
        list(read_entries(source, digest))
    for pair in ((digest, right), (right, digest)):
        with pytest.raises(PageError, match="does not belong at"):
            list(difference(source, *pair))


@pytest.mark.parametrize(("extra_count", "extra_size"), [(1, 0), (0, 1), (0, -1), (5, 500)])
@pytest.mark.parametrize("digit", ["0", "2"])
def test_wrong_totals_of_a_child_are_refused(digit: str, extra_count: int, extra_size: int) -> None:
    source, root, _ = sample_tree()
    child = root.children[digit]
    wrong_reference = Reference(child.digest, child.count + extra_count, child.size + extra_size)
    wrong = Branch(root.skip, {**root.children, digit: wrong_reference})
    assert_refused(source, wrong, "its parent says", digit)


def test_branches_below_the_last_digit_are_refused() -> None:
    children = dict(zip("01", (Reference(page_digest(b"x"), 1, 9),) * 2, strict=True))
    children["1"] = Reference(page_digest(b"y"), 1, 9)
    source = Source()
    low = source.add(encode_branch(Branch("0" * 64, children)))
    upper = {"0": Reference(low, 2, 18), "1": children["1"]}
    root = source.add(encode_branch(Branch("0" * 63, upper)))
    with pytest.raises(PageError, match=f"branch at digit 128, of {PATH_DIGITS} in a path"):
        list(read_entries(source, root))


def test_a_page_referenced_many_times_is_not_walked_each_time() -> None:
    """30 levels of branches, each with the same two children, have 2**30 leaves."""
    source = Source()
    first, second = (next(keys_below(digit, "g")) for digit in "01")
    pair = [Reference(source.add(encode_leaf([make_entry(key, b"")])), 1, 11) for key in (first,)]
    pair.append(Reference(source.add(encode_leaf([make_entry(second, b"")])), 1, 11))
    for _ in range(30):
        size = sum(child.size for child in pair)
        total = sum(child.count for child in pair)
        pages = [
            encode_branch(Branch("", dict(zip(digits, pair, strict=True))))
            for digits in ("01", "23")
        ]
        pair = [Reference(source.add(raw), total, size) for raw in pages]
    root = source.add(encode_branch(Branch("", dict(zip("01", pair, strict=True)))))
    with pytest.raises(PageError):
        list(read_entries(source, root))
    assert len(source.read) < 100  # the first page in a wrong position ends the walk


# --- Compression


@given(st.binary(max_size=3000))
def test_compressed_pages_are_restored(raw: bytes) -> None:
    compressed = compress(raw)
    assert decompress(compressed, len(raw)) == raw
    assert decompress(compressed, MAX_PAGE_BYTES) == raw
    if raw:
        with pytest.raises(PageError, match=f"more than {len(raw) - 1} bytes"):
            decompress(compressed, len(raw) - 1)


def test_a_decompression_bomb_stops_at_the_size_limit() -> None:
    bomb = zlib.compress(bytes(100 << 20), 9)
    tracemalloc.start()
    try:
        with pytest.raises(PageError, match="more than 262144 bytes"):
            decompress(bomb, MAX_PAGE_BYTES)
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak < 4 * MAX_PAGE_BYTES


def test_invalid_compressed_pages_are_refused() -> None:
    raw = SAMPLES[0]
    compressed = compress(raw)
    for length in range(len(compressed)):
        with pytest.raises(PageError, match="compressed page: ends too early"):
            decompress(compressed[:length], len(raw))
    for tail in (b"\0", compressed):
        with pytest.raises(PageError, match=f"{len(tail)} bytes after its end"):
            decompress(compressed + tail, len(raw))
    for wrong in (
        b"not packed",
        compressed[:-1] + bytes((compressed[-1] ^ 1,)),
        b"\x78\xbb" + compressed[2:],
    ):
        with pytest.raises(PageError, match="compressed page: "):
            decompress(wrong, len(raw))
    with pytest.raises(ValueError, match="max_size -1"):
        decompress(compressed, -1)


def test_a_size_limit_of_zero_is_a_limit() -> None:
    assert decompress(compress(b""), 0) == b""
    with pytest.raises(PageError, match="more than 0 bytes"):
        decompress(compress(b"x"), 0)
