"""Trees in the content store: fetching, resuming, removal, and the byte budget."""

from __future__ import annotations

import random
import zlib
from collections import Counter
from collections.abc import Callable, Mapping
from hashlib import sha256
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sailhitch.model.contents import Contents
from sailhitch.model.tier import TierProcess, World
from sailhitch.pages import (
    MAX_PAGE_BYTES,
    Key,
    Tree,
    build,
    child_digests,
    compress,
    page_digest,
    read_entries,
    update,
)
from sailhitch.tier.content_store import (
    BURST_BYTES,
    BYTES_PER_SECOND,
    MAX_REPLY_BYTES,
    PAGE_KEY_PREFIX,
    ContentStore,
    root_of,
    tree_digest,
)
from sailhitch.tier.effects import ApplyVersions, Effect, Persist
from sailhitch.tier.fetch_status import FetchStatus
from sailhitch.tier.member import Configuration, Member, MemberStatus, TierConfig
from sailhitch.tier.messages import (
    Accept,
    Ballot,
    ChosenState,
    Message,
    PageBlock,
    PageRange,
    PageReply,
    PageRequest,
    Prepare,
    RegisterState,
    Version,
)
from sailhitch.tier.page_fetcher import BLOCK_SIZE, MAX_RANGES_PER_REQUEST, MAX_TIMEOUT
from sailhitch.tier.page_store import PageStore
from sailhitch.tier.voter import Voter
from sailhitch.tier.wire import MAX_DATAGRAM_BYTES, Keys, Wire

S = 1_000_000
STEP = 10_000  # us between two calls of `requests`
Source = Callable[[PageRequest, int], list[PageReply]]
Entries = dict[Key, bytes]


def random_entries(count: int, size: int = 100, seed: int = 1) -> Entries:
    """Entries with random values, which can't be compressed."""
    rng = random.Random(seed)
    return {Key(f"group{i % 7}", f"name{i}"): rng.randbytes(size) for i in range(count)}


def store_of(*trees: Tree) -> ContentStore:
    store = ContentStore({})
    for tree in trees:
        store.add(tree)
    return store


def answering(store: ContentStore) -> Source:
    return store.answer_pages


def silent(request: PageRequest, now: int) -> list[PageReply]:
    return []


class FetchSimulation:
    """Simulates a store that fetches from sources, and records requests and replies."""

    def __init__(
        self, sources: Mapping[str, Source], sink: ContentStore | None = None, seed: int = 1
    ) -> None:
        self.sources, self.sink = dict(sources), sink or ContentStore({})
        self.rng = random.Random(seed)
        self.now = 0
        self.requested: list[tuple[int, str, PageRange]] = []
        self.written: list[dict[str, bytes]] = []  # disk items written, by reply
        self.received_bytes = 0  # bytes of the replies' datagrams
        self.received_sizes: list[tuple[int, int]] = []  # time and bytes of blocks, by reply
        self.loss = self.duplicated = 0.0
        self._wires: dict[str, Wire] = {}

    def start_fetch(self, digest: str, source: str) -> None:
        self.sink.fetch(digest, source)

    def run(self, digest: str, until: int = 60 * S, max_written: int | None = None) -> bool:
        """Run until the tree is complete, or a limit is reached; return whether it is complete."""
        names = sorted(self.sources)
        while not self.sink.has(digest) and self.now < until:
            if max_written is not None and sum(map(len, self.written)) >= max_written:
                break
            self.now += STEP
            for to, request in self.sink.requests(self.now, self.rng, [names]):
                assert isinstance(request, PageRequest)
                self.requested += [(self.now, to, wanted) for wanted in request.ranges]
                if self.rng.random() >= self.loss:
                    self._answer(to, request)
        return self.sink.has(digest)

    def _answer(self, to: str, request: PageRequest) -> None:
        for reply in self.sources[to](request, self.now):
            self.received_bytes += len(self._seal(to, reply))
            self.received_sizes.append((self.now, sum(len(block.data) for block in reply.blocks)))
            copies = 1 + (self.rng.random() < self.duplicated)
            for _ in range(copies if self.rng.random() >= self.loss else 0):
                result = self.sink.on_page_reply(to, reply, self.now)
                if result.new_items:
                    self.written.append(result.new_items)

    def _seal(self, sender: str, message: Message) -> bytes:
        wire = self._wires.setdefault(sender, Wire(Keys(1, {1: b"k" * 32}), sender, 1 << 47))
        return wire.seal("a-gateway-of-a-region-17", message)

    def disk(self) -> dict[str, bytes]:
        return {name: value for written in self.written for name, value in written.items()}


def entries_of(store: ContentStore, digest: str) -> Entries:
    root = root_of(digest)
    assert root is not None
    return dict(read_entries(store, root))


# --- Digests


def test_digests_of_trees_and_blobs_are_distinguished() -> None:
    root = "ab" * 32
    assert root_of(tree_digest(root)) == root
    assert root_of(root) is None
    for wrong in ("tree:", "tree:" + "zz" * 32, "tree:" + root + "0", "tree:" + root.upper()):
        assert root_of(wrong) is None


# --- Fetching


@settings(max_examples=30)
@given(st.integers(0, 300), st.integers(0, 1 << 30), st.floats(0, 0.4), st.floats(0, 0.5))
def test_a_tree_is_fetched_completely_despite_loss_and_duplication(
    count: int, seed: int, loss: float, duplicated: float
) -> None:
    entries = random_entries(count, seed=seed)
    tree = build(entries, 500)
    simulation = FetchSimulation(
        {name: answering(store_of(tree)) for name in ("a", "b", "c")}, seed=seed
    )
    simulation.loss, simulation.duplicated = loss, duplicated
    digest = tree_digest(tree.root)
    simulation.start_fetch(digest, "a")
    assert simulation.run(digest)
    assert entries_of(simulation.sink, digest) == entries
    assert simulation.disk() == {
        PAGE_KEY_PREFIX + page: compress(raw) for page, raw in tree.pages.items()
    }
    assert simulation.sink.corrupt_count == 0


def test_many_pages_are_fetched_at_a_time_and_from_several_sources() -> None:
    tree = build(random_entries(400), 500)
    simulation = FetchSimulation({name: answering(store_of(tree)) for name in "abcd"})
    digest = tree_digest(tree.root)
    simulation.start_fetch(digest, "a")
    for source in "bcd":
        simulation.sink.add_source(source)
    assert simulation.run(digest, 2 * S)
    by_source = [sum(to == name for _, to, _ in simulation.requested) for name in "abcd"]
    assert min(by_source) > len(tree.pages) / 8, by_source
    # The number of round trips depends on the depth of the tree and not on its number of pages.
    assert simulation.now <= 20 * STEP < len(tree.pages) * STEP / 10


def test_stored_pages_are_not_fetched_again() -> None:
    entries = random_entries(8000)
    old = build(entries)
    new = update(store_of(old), old.root, {Key("group3", "name3"): b"changed"})
    simulation = FetchSimulation({"a": answering(store_of(old, new))}, sink=store_of(old))
    digest = tree_digest(new.root)
    simulation.start_fetch(digest, "a")
    assert simulation.run(digest)
    assert {wanted.digest.hex() for _, _, wanted in simulation.requested} == {*new.pages}
    assert len(new.pages) < len(old.pages) / 10


def test_changing_one_of_thousands_of_entries_fetches_few_pages_and_bytes() -> None:
    entries = {
        Key(f"nodes/service{i % 280}", f"n{i}"): b'{"address":"10.0.0.1:80","weight":%d}' % i
        for i in range(16_000)
    }
    old = build(entries)
    new = update(store_of(old), old.root, {Key("nodes/service7", "n7"): b'{"weight":1}'})
    simulation = FetchSimulation({"a": answering(store_of(old, new))}, sink=store_of(old))
    digest = tree_digest(new.root)
    simulation.start_fetch(digest, "a")
    assert simulation.run(digest)
    assert len(simulation.disk()) == len(new.pages) <= 6
    assert simulation.received_bytes < 16 * 1024


def test_several_small_pages_share_a_datagram_and_none_is_large() -> None:
    tree = build(random_entries(300, size=20), 60)
    store = store_of(tree)
    small = [bytes.fromhex(digest) for digest in tree.pages][: 2 * MAX_RANGES_PER_REQUEST]
    replies = store.answer_pages(PageRequest([PageRange(one, 0, 4) for one in small]), 0)
    blocks = [block for reply in replies for block in reply.blocks]
    assert len(blocks) == MAX_RANGES_PER_REQUEST  # further ranges are ignored
    assert len(replies) <= -(-len(blocks) * 150 // MAX_REPLY_BYTES)
    large = store_of(build({Key("g", "n"): random.Random(1).randbytes(100_000)}))
    [root] = [*build({Key("g", "n"): random.Random(1).randbytes(100_000)}).pages]
    replies += large.answer_pages(PageRequest([PageRange(bytes.fromhex(root), 0, 16)]), 0)
    wire = Wire(Keys(1, {1: b"k" * 32}), "a-gateway-of-a-region-16", 1 << 47)
    sizes = [len(wire.seal("a-gateway-of-a-region-17", reply)) for reply in replies]
    assert max(sizes) <= 1200
    widest = PageRequest([PageRange(b"\xff" * 32, 255_000, 16)] * MAX_RANGES_PER_REQUEST)
    assert len(wire.seal("a-gateway-of-a-region-17", widest)) < 1200 < MAX_DATAGRAM_BYTES


# --- Faulty sources


def _altering_blocks(change: Callable[[PageBlock], PageBlock]) -> Callable[[ContentStore], Source]:
    def make(store: ContentStore) -> Source:
        def answer(request: PageRequest, now: int) -> list[PageReply]:
            replies = store.answer_pages(request, now)
            return [PageReply([change(one) for one in reply.blocks], []) for reply in replies]

        return answer

    return make


def _altering_pages(make: Callable[[bytes, bytes], bytes]) -> Callable[[ContentStore], Source]:
    """Sources that send what `make` returns for the digest and the compressed form of a page."""

    def build(store: ContentStore) -> Source:
        def answer(request: PageRequest, now: int) -> list[PageReply]:
            replies = []
            for wanted in request.ranges:
                compressed = compress(store.page(wanted.digest.hex()))
                sent = make(wanted.digest, compressed)
                blocks = [
                    PageBlock(wanted.digest, at, len(sent), sent[at : at + BLOCK_SIZE])
                    for at in range(0, len(sent), BLOCK_SIZE)
                ]
                replies += [PageReply([block], []) for block in blocks]
            return replies

        return answer

    return build


def _flipped(data: bytes) -> bytes:
    return data[:-1] + bytes((data[-1] ^ 1,))


OTHER_TREE = build(random_entries(3, seed=9))
BOMB = zlib.compress(b"L" + b"\0" * (64 << 20), 9)  # 64 KB that decompress to 64 MB
CORRUPT_SOURCES: dict[str, Callable[[ContentStore], Source]] = {
    "flipped bit": _altering_blocks(lambda one: one._replace(data=_flipped(one.data))),
    "truncated block": _altering_blocks(lambda one: one._replace(data=one.data[:-1])),
    "truncated page": _altering_pages(lambda digest, compressed: compressed[:-5]),
    "other page": _altering_pages(
        lambda digest, compressed: compress(OTHER_TREE.pages[OTHER_TREE.root])
    ),
    "data after its end": _altering_pages(lambda digest, compressed: compressed + b"x"),
    "total above the limit": _altering_blocks(lambda one: one._replace(total=1 << 40)),
    "decompresses to more than the limit": _altering_pages(lambda digest, compressed: BOMB),
    "uncompressed size above the limit": _altering_pages(
        lambda digest, compressed: compress(b"L" * (MAX_PAGE_BYTES + 1))
    ),
    "empty": _altering_blocks(lambda one: one._replace(data=b"", total=0)),
    "unaligned offset": _altering_blocks(lambda one: one._replace(offset=one.offset + 1)),
    "negative offset": _altering_blocks(lambda one: one._replace(offset=-BLOCK_SIZE)),
}


@pytest.mark.parametrize("fault", CORRUPT_SOURCES)
def test_a_corrupt_page_is_counted_discarded_and_requested_elsewhere(fault: str) -> None:
    entries = random_entries(100)
    tree = build(entries, 500)
    wrong = CORRUPT_SOURCES[fault](store_of(tree))
    digest = tree_digest(tree.root)
    alone = FetchSimulation({"a": wrong})
    alone.start_fetch(digest, "a")
    assert not alone.run(digest, 5 * S)
    assert alone.disk() == {}
    assert alone.sink.corrupt_count > 0
    both = FetchSimulation({"a": wrong, "b": answering(store_of(tree))})
    both.start_fetch(digest, "a")
    assert both.run(digest)
    assert both.sink.corrupt_count > 0
    assert entries_of(both.sink, digest) == entries
    assert both.disk() == {
        PAGE_KEY_PREFIX + page: compress(raw) for page, raw in tree.pages.items()
    }


def test_a_malformed_page_with_the_right_digest_is_discarded() -> None:
    raw = b"B\0\0\x80\1" + b"\0" * 44  # a branch with one child
    digest = tree_digest(page_digest(raw))
    simulation = FetchSimulation(
        {"a": _altering_pages(lambda name, compressed: compress(raw))(store_of(OTHER_TREE))}
    )
    simulation.sources["a"] = lambda request, now: [
        PageReply([PageBlock(r.digest, 0, len(compress(raw)), compress(raw))], [])
        for r in request.ranges
    ]
    simulation.start_fetch(digest, "a")
    assert not simulation.run(digest, 3 * S)
    assert simulation.sink.corrupt_count > 0
    assert simulation.disk() == {}


def _refusing(request: PageRequest, now: int) -> list[PageReply]:
    return [PageReply([], [wanted.digest for wanted in request.ranges])]


@pytest.mark.parametrize("source", [silent, _refusing], ids=["silent", "refusing"])
def test_a_source_that_sends_nothing_is_replaced(source: Source) -> None:
    tree = build(random_entries(100), 500)
    simulation = FetchSimulation({"a": source, "b": answering(store_of(tree))})
    digest = tree_digest(tree.root)
    simulation.start_fetch(digest, "a")
    assert simulation.run(digest, 5 * S)
    assert simulation.sink.corrupt_count == 0


def test_a_source_that_has_the_pages_later_is_asked_again() -> None:
    tree = build(random_entries(100), 500)
    late = ContentStore({})
    simulation = FetchSimulation({"a": answering(late)})
    digest = tree_digest(tree.root)
    simulation.start_fetch(digest, "a")
    assert not simulation.run(digest, 3 * S)
    late.add(tree)
    assert simulation.run(digest, 5 * S)


def test_a_source_that_dies_midway_is_replaced_and_nothing_is_fetched_twice() -> None:
    tree = build(random_entries(600), 500)
    simulation = FetchSimulation({"a": answering(store_of(tree)), "b": answering(store_of(tree))})
    digest = tree_digest(tree.root)
    simulation.start_fetch(digest, "a")
    assert not simulation.run(digest, max_written=len(tree.pages) // 2)
    stored, before = {*simulation.disk()}, len(simulation.requested)
    assert stored
    simulation.sources["a"] = silent
    assert simulation.run(digest)
    after = {
        PAGE_KEY_PREFIX + wanted.digest.hex() for _, _, wanted in simulation.requested[before:]
    }
    assert not after & stored
    assert {*simulation.disk()} == {PAGE_KEY_PREFIX + page for page in tree.pages}


def test_a_reply_from_another_member_than_the_source_is_ignored() -> None:
    tree = build(random_entries(3))
    store, sink = store_of(tree), ContentStore({})
    sink.fetch(tree_digest(tree.root), "a")
    [(_, request)] = sink.requests(1, random.Random(1), [["a"]])
    assert isinstance(request, PageRequest)
    [reply] = store.answer_pages(request, 1)
    assert sink.on_page_reply("b", reply, 1).new_items == {}
    assert not sink.has(tree_digest(tree.root))
    assert sink.on_page_reply("a", reply, 1).is_complete


def test_a_late_reply_is_used_if_no_other_has_arrived() -> None:
    tree = build(random_entries(3))
    store, sink, digest = store_of(tree), ContentStore({}), tree_digest(tree.root)
    rng = random.Random(1)
    sink.fetch(digest, "a")
    [(first, request)] = sink.requests(1, rng, [["b"]])
    [(second, _)] = sink.requests(1 + MAX_TIMEOUT, rng)
    assert (first, second) == ("a", "b")
    assert isinstance(request, PageRequest)
    [reply] = store.answer_pages(request, 1)
    assert sink.on_page_reply("a", reply, 2 + MAX_TIMEOUT).is_complete


def test_a_silent_source_is_asked_less_and_less() -> None:
    tree = build(random_entries(2000), 500)
    simulation = FetchSimulation({"a": silent, "b": answering(store_of(tree))})
    digest = tree_digest(tree.root)
    simulation.start_fetch(digest, "a")
    assert simulation.run(digest)
    requested = [at for at, to, _ in simulation.requested if to == "a"]
    assert len({*requested}) < 10


def test_a_source_that_was_silent_once_is_asked_again_though_a_preferred_one_is_dead() -> None:
    """Guards against a fetch that keeps asking a dead preferred source, and no other one."""
    tree = build(random_entries(20), 500)
    digest = tree_digest(tree.root)
    simulation = FetchSimulation({"dead": silent, "b": silent, "c": silent})
    simulation.start_fetch(digest, "dead")
    assert not simulation.run(digest, 3 * S)
    simulation.sources["b"] = answering(store_of(tree))
    assert simulation.run(digest, 20 * S)


def test_the_longest_running_fetch_is_reported_with_its_source() -> None:
    """Guards against a fetch that never ends without operators seeing it."""
    tree = build(random_entries(3))
    simulation = FetchSimulation({"a": silent})
    assert simulation.sink.oldest_fetch() is None
    simulation.start_fetch(tree_digest(tree.root), "a")
    assert not simulation.run(tree_digest(tree.root), 3 * S)
    assert simulation.sink.oldest_fetch() == FetchStatus(tree.root, "a", STEP, 1)
    simulation.sources["a"] = answering(store_of(tree))
    assert simulation.run(tree_digest(tree.root))
    assert simulation.sink.oldest_fetch() is None
    simulation.start_fetch("ab" * 32, "a")  # a blob
    assert len(simulation.sink.requests(simulation.now, simulation.rng, [["b"]])) == 1
    simulation.sink.requests(simulation.now + S, simulation.rng, [["b"]])
    assert simulation.sink.oldest_fetch() == FetchStatus("ab" * 32, "b", simulation.now, 1)


def test_a_source_that_is_declared_dead_is_asked_last_and_once() -> None:
    """Guards against a time-out per page at a proposer that is known to be dead."""
    digest = tree_digest(build(random_entries(3)).root)
    sink = ContentStore({}, is_alive=lambda name: name != "dead")
    rng = random.Random(1)
    sink.fetch(digest, "dead")
    requested = []
    for i in range(5):
        requested += [to for to, _ in sink.requests(1 + i * MAX_TIMEOUT, rng, [["b"], ["c"]])]
    assert requested == ["b", "c", "dead"]


def _with_prefix(digits: str, count: int) -> list[str]:
    """Names found by brute force whose positions in the tree share a prefix."""
    names: list[str] = []
    i = 0
    while len(names) < count:
        name = f"x{i}"
        i += 1
        if sha256(b"g\0" + name.encode()).hexdigest().startswith(digits):
            names.append(name)
    return names


@pytest.mark.parametrize(
    "names",
    [
        [name for n in (1, 2, 3) for name in _with_prefix("5" * n, 3)],
        [f"y{i}" for i in range(3000)],
        [name for digit in "0123456789abcdef" for name in _with_prefix(digit * 2, 2)],
    ],
    ids=["deep", "many", "wide"],
)
def test_a_tree_of_chosen_names_is_fetched_as_any_other(names: list[str]) -> None:
    tree = build({Key("g", name): b"v" * 40 for name in names}, 50)
    assert all(len(child_digests(raw)) <= 4 for raw in tree.pages.values())
    simulation = FetchSimulation({"a": answering(store_of(tree)), "b": answering(store_of(tree))})
    digest = tree_digest(tree.root)
    simulation.start_fetch(digest, "a")
    assert simulation.run(digest)
    assert {*simulation.disk()} == {PAGE_KEY_PREFIX + page for page in tree.pages}


def test_a_page_of_the_maximum_size_is_fetched_in_blocks() -> None:
    value = random.Random(1).randbytes(MAX_PAGE_BYTES - 20)
    tree = build({Key("g", "n"): value})
    simulation = FetchSimulation({"a": answering(store_of(tree))})
    digest = tree_digest(tree.root)
    simulation.start_fetch(digest, "a")
    assert simulation.run(digest)
    assert entries_of(simulation.sink, digest) == {Key("g", "n"): value}


# --- Complete trees


def test_a_tree_with_a_missing_leaf_is_incomplete() -> None:
    tree = build(random_entries(100), 500)
    leaves = [page for page, raw in tree.pages.items() if not child_digests(raw)]
    for leaf in (leaves[0], leaves[-1]):
        pages = {page: compress(raw) for page, raw in tree.pages.items() if page != leaf}
        store = ContentStore({}, pages)
        assert not store.has(tree_digest(tree.root))
        with pytest.raises(KeyError):
            entries_of(store, tree_digest(tree.root))
        simulation = FetchSimulation({"a": answering(store_of(tree))}, sink=store)
        simulation.start_fetch(tree_digest(tree.root), "a")
        assert simulation.run(tree_digest(tree.root))
        assert {*simulation.disk()} == {PAGE_KEY_PREFIX + leaf}


def test_an_updated_tree_needs_the_pages_that_it_shares() -> None:
    old = build(random_entries(500), 500)
    new = update(store_of(old), old.root, {Key("group1", "name1"): b"changed"}, 500)
    empty = ContentStore({})
    with pytest.raises(ValueError, match=f"tree {new.root}: page .* is neither new nor stored"):
        empty.add(new)
    assert empty.retain_only([]) == []  # nothing was added
    store = store_of(old)
    digest, written = store.add(new)
    assert written == {PAGE_KEY_PREFIX + page: compress(raw) for page, raw in new.pages.items()}
    assert store.has(digest)
    assert entries_of(store, digest)[Key("group1", "name1")] == b"changed"


def test_adding_a_tree_that_is_being_fetched_ends_the_fetch() -> None:
    tree = build(random_entries(300), 500)
    simulation = FetchSimulation({"a": answering(store_of(tree))})
    digest = tree_digest(tree.root)
    simulation.start_fetch(digest, "a")
    simulation.run(digest, max_written=5)
    _, written = simulation.sink.add(tree)
    assert {*written} == {PAGE_KEY_PREFIX + page for page in tree.pages} - {*simulation.disk()}
    assert simulation.sink.has(digest)
    assert not simulation.sink.is_fetching


# --- Removal and retention


def _reachable(pages: Mapping[str, bytes], roots: set[str]) -> set[str]:
    reachable: set[str] = set()
    waiting = list(roots)
    while waiting:
        page = waiting.pop()
        if page in pages and page not in reachable:
            reachable.add(page)
            waiting += child_digests(pages[page])
    return reachable


@settings(max_examples=60)
@given(st.data())
def test_after_any_history_the_page_store_agrees_with_a_walk(data: Any) -> None:
    keys = [Key(f"g{i % 3}", f"n{i}") for i in range(12)]
    versions, all_pages = [build(dict.fromkeys(keys, b"0" * 30), 80)], dict[str, bytes]()
    all_pages.update(versions[0].pages)
    source = store_of(versions[0])
    for i in range(data.draw(st.integers(1, 5))):
        changed = data.draw(st.sets(st.sampled_from(keys), min_size=1, max_size=3))
        wanted = {key: data.draw(st.sampled_from([b"1" * 30, b"%d" % i, None])) for key in changed}
        tree = update(source, versions[-1].root, wanted, 80)
        source.add(tree)
        versions.append(tree)
        all_pages.update(tree.pages)
    roots = [tree.root for tree in versions]
    store, stored = PageStore({}), set[str]()
    for _ in range(data.draw(st.integers(1, 25))):
        if data.draw(st.booleans()):
            page = data.draw(st.sampled_from(sorted(all_pages)))
            store.insert(page, compress(all_pages[page]), child_digests(all_pages[page]))
            stored.add(page)
        else:
            retained_roots = data.draw(st.sets(st.sampled_from(roots)))
            reachable = _reachable({page: all_pages[page] for page in stored}, retained_roots)
            assert {*store.retain_only(retained_roots)} == stored - reachable
            stored = reachable
        pages = {page: all_pages[page] for page in stored}
        assert {page for page in all_pages if page in store} == stored
        assert store.size == sum(len(compress(raw)) for raw in pages.values())
        for page in all_pages:
            is_complete = _reachable(all_pages, {page}) <= stored
            assert store.is_complete(page) == is_complete
            missing_pages = {*store.missing_pages(page)}
            assert (
                missing_pages == set()
                if is_complete
                else missing_pages and not missing_pages & stored
            )


def test_pages_shared_with_a_version_that_stays_are_retained() -> None:
    entries = random_entries(500)
    one = build(entries, 500)
    store = store_of(one)
    two = update(store, one.root, {Key("group1", "name1"): b"changed"}, 500)
    store.add(two)
    digests = tree_digest(one.root), tree_digest(two.root)
    assert store.retain_only(digests) == []
    removed_items = store.retain_only([digests[1]])
    assert {*removed_items} == {
        PAGE_KEY_PREFIX + page for page in one.pages if page not in _pages_of(store, two.root)
    }
    assert 0 < len(removed_items) < len(one.pages) / 10
    assert not store.has(digests[0])
    assert entries_of(store, digests[1]) == entries | {Key("group1", "name1"): b"changed"}
    rest = {PAGE_KEY_PREFIX + page for page in {**one.pages, **two.pages}} - {*removed_items}
    assert {*store.retain_only([])} == rest


def _pages_of(store: ContentStore, root: str) -> set[str]:
    reachable, waiting = set[str](), [root]
    while waiting:
        page = waiting.pop()
        reachable.add(page)
        waiting += child_digests(store.page(page))
    return reachable


def test_the_cost_of_removing_a_version_depends_on_the_removed_pages(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    one = build(random_entries(3000), 500)
    store = store_of(one)
    store.retain_only([tree_digest(one.root)])
    two = update(store, one.root, {Key("group1", "name1"): b"changed"}, 500)
    store.add(two)
    removed, added_references = list[str](), list[str]()
    remove, add_reference = PageStore._remove, PageStore._add_reference

    def counted_remove(self: PageStore, digest: str) -> None:
        removed.append(digest)
        remove(self, digest)

    def counted_add_reference(self: PageStore, digest: str) -> None:
        added_references.append(digest)
        add_reference(self, digest)

    monkeypatch.setattr(PageStore, "_remove", counted_remove)
    monkeypatch.setattr(PageStore, "_add_reference", counted_add_reference)
    monkeypatch.setattr("sailhitch.tier.page_store.decompress", None)  # no page is decoded
    store.retain_only([tree_digest(two.root)])
    assert len(removed) == len(two.pages)
    assert len(added_references) == 1


def test_a_version_withdrawn_during_its_fetch_leaves_no_pages() -> None:
    one = build(random_entries(300), 500)
    two = build(random_entries(300, seed=2), 500)
    simulation = FetchSimulation({"a": answering(store_of(one, two))}, sink=store_of(one))
    digest = tree_digest(two.root)
    simulation.start_fetch(digest, "a")
    assert not simulation.run(digest, max_written=4)
    assert simulation.sink.is_fetching
    received_items = {*simulation.disk()}
    assert received_items
    assert {*simulation.sink.retain_only([tree_digest(one.root)])} == received_items
    assert not simulation.sink.is_fetching
    before = len(simulation.requested)
    assert not simulation.run(digest, simulation.now + 2 * S)
    assert len(simulation.requested) == before
    assert simulation.sink.has(tree_digest(one.root))


def test_pages_of_a_cancelled_fetch_are_reused_for_the_next_version() -> None:
    """The state changes while a new member fetches it: pages of the old state are reused."""
    source = ContentStore({})
    one = build(random_entries(600), 500)
    source.add(one)
    two = update(source, one.root, {Key("group1", "name1"): b"changed"}, 500)
    source.add(two)
    simulation = FetchSimulation({"a": answering(source)})
    simulation.start_fetch(tree_digest(one.root), "a")
    simulation.run(tree_digest(one.root), max_written=len(one.pages) * 3 // 4)
    stored = {*simulation.disk()}
    simulation.start_fetch(tree_digest(two.root), "a")
    simulation.sink.fetch_only([tree_digest(two.root)])
    before = len(simulation.requested)
    assert simulation.run(tree_digest(two.root))
    requested = {
        PAGE_KEY_PREFIX + wanted.digest.hex() for _, _, wanted in simulation.requested[before:]
    }
    assert not requested & stored
    wanted = {PAGE_KEY_PREFIX + page for page in _pages_of(simulation.sink, two.root)}
    assert {*simulation.sink.retain_only([tree_digest(two.root)])} == {*simulation.disk()} - wanted


# --- Disk


def test_after_a_kill_only_the_missing_pages_are_fetched() -> None:
    entries = random_entries(150)
    tree = build(entries, 500)
    digest = tree_digest(tree.root)
    first = FetchSimulation({"a": answering(store_of(tree))})
    first.start_fetch(digest, "a")
    assert first.run(digest)
    assert len(first.written) > 5
    for steps in range(len(first.written) + 1):
        disk = {name: value for written in first.written[:steps] for name, value in written.items()}
        again = FetchSimulation(
            {"a": answering(store_of(tree))}, sink=ContentStore.from_disk(disk, 0)
        )
        assert again.sink.has(digest) == (steps == len(first.written))
        again.start_fetch(digest, "a")
        assert again.run(digest)
        assert {*again.disk()} == {PAGE_KEY_PREFIX + page for page in tree.pages} - {*disk}
        assert entries_of(again.sink, digest) == entries
        assert again.sink.retain_only([digest]) == []


def test_unreferenced_pages_on_an_old_disk_are_removed() -> None:
    one = build(random_entries(100), 500)
    withdrawn = build(random_entries(100, seed=2), 500)
    disk = {
        PAGE_KEY_PREFIX + page: compress(raw)
        for page, raw in {**one.pages, **withdrawn.pages}.items()
    }
    del disk[PAGE_KEY_PREFIX + withdrawn.root]  # its root was never received
    store = ContentStore.from_disk({**disk, "known": b"", "vote": b""}, 0)
    removed_items = store.retain_only([tree_digest(one.root)])
    assert {*removed_items} == {PAGE_KEY_PREFIX + page for page in withdrawn.pages} - {
        PAGE_KEY_PREFIX + withdrawn.root
    }
    assert store.has(tree_digest(one.root))


def test_a_corrupt_page_on_disk_is_fetched_again() -> None:
    tree = build(random_entries(100), 500)
    disk = {PAGE_KEY_PREFIX + page: compress(raw) for page, raw in tree.pages.items()}
    disk[PAGE_KEY_PREFIX + tree.root] = disk[PAGE_KEY_PREFIX + tree.root][:-3]
    store = ContentStore.from_disk(disk, 0)
    digest = tree_digest(tree.root)
    assert not store.has(digest)
    simulation = FetchSimulation({"a": answering(store_of(tree))}, sink=store)
    simulation.start_fetch(digest, "a")
    assert simulation.run(digest)
    assert {*simulation.disk()} == {PAGE_KEY_PREFIX + tree.root}


# --- Members


def _started_world(**options: Any) -> World:
    """A simulated tier after its start-up."""
    world = World(1, 5, 3, **options)
    world.start()
    world.kernel.run(4 * S)
    world.check_end()
    return world


def _settle(world: World, seconds: int = 20) -> RegisterState:
    world.kernel.run(world.kernel.now + seconds * S)
    world.check_end()
    assert world.checker.latest is not None
    return world.checker.latest


def _member(world: World, name: str) -> Member:
    member = world.processes[name].member
    assert member is not None
    return member


def _page_items_on(process: TierProcess) -> set[str]:
    return {name for name in process.disk.synced if name.startswith(PAGE_KEY_PREFIX)}


def _items_of_versions(world: World, *versions: Version) -> set[str]:
    """Names of the disk items of all pages of these versions."""
    all_pages: dict[str, bytes] = {}
    for allow in world.acts_by_digest.values():
        all_pages.update(world.contents.tree(allow, 0).pages)
    roots = {root for version in versions if (root := root_of(version.digest)) is not None}
    return {PAGE_KEY_PREFIX + page for page in _reachable(all_pages, roots)}


def _record_messages(world: World, to: str) -> list[Message]:
    """Record the messages sent to a member from now on."""
    sent: list[Message] = []
    send = world.network.send

    def counted(sender: str, addressee: str, message: Message) -> None:
        if addressee == to:
            sent.append(message)
        send(sender, addressee, message)

    world.network.send = counted  # type: ignore[assignment,method-assign]
    return sent


def _drop_pages(world: World, to: str) -> Callable[[], None]:
    """Drop the pages sent to a member until the returned function is called."""
    send = world.network.send

    def dropped(sender: str, addressee: str, message: Any) -> None:
        if addressee != to or not isinstance(message, PageReply):
            send(sender, addressee, message)

    world.network.send = dropped  # type: ignore[assignment,method-assign]
    return lambda: setattr(world.network, "send", send)


def test_a_member_that_lacks_the_contents_is_behind_and_not_outside() -> None:
    """Guards against a status that shows a configured member as outside of the tier."""
    world = _started_world()
    process = world.processes["g5"]
    world.processes["g5"].kill()
    process.disk.write(dict.fromkeys(_page_items_on(process)))
    stop_dropping = _drop_pages(world, "g5")
    process.start()
    world.kernel.run(world.kernel.now + 3 * S)
    member = _member(world, "g5")
    status = member.status(process.clock())
    assert not member.is_caught_up()
    assert (status["standing"], status["why"]) == ("behind", MemberStatus.BEHIND.reason)
    assert {row["inside"] for row in status["members"]} == {None}
    stop_dropping()
    _settle(world)
    assert member.status(process.clock())["standing"] == "in"


def test_a_voter_that_lacks_a_leaf_does_not_accept() -> None:
    tree = build(random_entries(50), 500)
    leaf = next(page for page, raw in tree.pages.items() if not child_digests(raw))
    pages = {page: compress(raw) for page, raw in tree.pages.items() if page != leaf}
    store, out, ballot = ContentStore({}, pages), list[Effect](), Ballot(1, "g1", 7)
    configuration_digest, _ = store.add(b"{}")
    voter = Voter("g1", ("g1",), None, store, {}, None, lambda: ballot, 7, out)
    version = Version(1, 0, tree_digest(tree.root), "g1", "", 0, "g1-7-0")
    accept = Accept(ballot, RegisterState(1, 1, 1, version, None, configuration_digest), {})
    assert voter.prepare(Prepare(ballot)) is not None
    out.clear()
    assert voter.accept(accept) is None
    assert out == []
    simulation = FetchSimulation({"a": answering(store_of(tree))}, sink=store)
    simulation.start_fetch(version.digest, "a")
    assert simulation.run(version.digest)
    assert voter.accept(accept) is not None
    assert [isinstance(effect, Persist) for effect in out] == [True]


def test_a_voter_answers_once_it_has_the_pages_without_being_asked_again() -> None:
    world = _started_world()
    requested: Counter[tuple[str, Ballot]] = Counter()
    send = world.network.send

    def counted(sender: str, to: str, message: Message) -> None:
        if isinstance(message, Accept):
            requested[to, message.ballot] += 1
        send(sender, to, message)

    world.network.send = counted  # type: ignore[method-assign]
    world.processes["g4"].propose(1, 0)
    register_state = _settle(world)
    assert (register_state.active.serial, register_state.active.proposer) == (2, "g4")
    assert {*requested.values()} == {1}


def test_a_member_does_not_propose_a_tree_of_which_it_lacks_pages() -> None:
    world = _started_world()
    member = _member(world, "g1")
    old = build(random_entries(50), 500)
    new = update(store_of(old), old.root, {Key("group1", "name1"): b"changed"}, 500)
    jobs = len(member.proposer.jobs)
    with pytest.raises(ValueError, match="neither new nor stored"):
        member.propose(new, 1, False, "test", 0)
    assert len(member.proposer.jobs) == jobs
    assert _settle(world).active.serial == 1


@pytest.mark.parametrize("restarted", [True, False])
def test_on_a_full_disk_no_page_is_kept_and_nothing_is_confirmed(restarted: bool) -> None:
    world = _started_world()
    full = world.processes["g4"]
    before = _page_items_on(full)
    full.disk.full = True
    world.processes["g1"].propose(1, 0)
    world.kernel.run(world.kernel.now + 10 * S)
    latest = world.checker.latest
    assert latest is not None
    assert latest.pending is not None
    assert full.disk_is_failing
    assert _page_items_on(full) == before
    assert _member(world, "g1").waiting_for() == ["g4"]
    if restarted:
        full.kill()
    full.disk.full = False
    if restarted:
        full.start()
    register_state = _settle(world)
    assert (register_state.active.serial, register_state.pending) == (2, None)
    assert not full.disk_is_failing
    assert _member(world, "g1").waiting_for() == []
    assert _page_items_on(full) == _items_of_versions(world, register_state.active)


@pytest.mark.parametrize("steps", range(1, 12))
def test_a_member_killed_after_any_page_resumes_its_fetch(steps: int) -> None:
    world = _started_world()
    process, synced_pages = world.processes["g5"], list[set[str]]()
    process.kill()
    process.disk.erase()
    real = process.on_synced

    def on_synced(persist: Persist) -> None:
        real(persist)
        pages = {
            name
            for name, value in persist.items.items()
            if name.startswith(PAGE_KEY_PREFIX) and value
        }
        if pages:
            synced_pages.append(pages)
            if process.incarnation == 2 and len(synced_pages) == steps:
                process.kill()

    process.on_synced = on_synced  # type: ignore[method-assign]
    process.start()
    world.kernel.run(world.kernel.now + 5 * S)
    assert world.checker.latest is not None
    wanted = _items_of_versions(world, world.checker.latest.active)
    if process.up:  # it had all pages before it could be killed
        assert len(synced_pages) < steps
        assert _page_items_on(process) == wanted
        return
    stored = _page_items_on(process)
    assert stored == set().union(*synced_pages)
    assert stored < wanted if steps < 4 else stored <= wanted
    synced_pages.clear()
    process.start()
    _settle(world)
    assert _page_items_on(process) == wanted
    assert (
        set().union(*synced_pages) == wanted - stored
    )  # together with the sum below: each page once
    assert sum(map(len, synced_pages)) == len(wanted - stored)


def test_a_version_withdrawn_during_a_members_fetch_leaves_no_pages() -> None:
    world = _started_world()
    before = _page_items_on(world.processes["g5"])
    stop_dropping = _drop_pages(world, "g5")
    world.processes["g1"].propose(1, 0)
    world.kernel.run(world.kernel.now + 3 * S)
    member = _member(world, "g5")
    assert member.chosen is not None
    assert member.chosen.state.pending is not None
    assert member.contents.is_fetching
    assert not member.is_caught_up()
    world.processes["g2"].withdraw()
    world.kernel.run(world.kernel.now + 3 * S)
    assert member.is_caught_up()
    assert not member.contents.is_fetching
    stop_dropping()
    register_state = _settle(world)
    assert (register_state.active.serial, register_state.pending) == (1, None)
    assert _page_items_on(world.processes["g5"]) == before
    assert _page_items_on(world.processes["g4"]) == before
    for voter in world.voters:  # voters retain for a while what they were asked to accept
        assert _page_items_on(world.processes[voter]) >= before


def test_pages_of_a_withdrawn_version_on_an_old_disk_are_removed() -> None:
    world = _started_world()
    stop_dropping = _drop_pages(world, "g4")
    restored = world.processes["g5"]
    world.processes["g1"].propose(1, 0)
    world.kernel.run(world.kernel.now + 3 * S)
    assert world.checker.latest is not None
    assert world.checker.latest.pending is not None
    withdrawn = _items_of_versions(world, world.checker.latest.pending)
    restored.disk.take_snapshot()
    restored.kill()
    world.processes["g2"].withdraw()
    stop_dropping()
    world.kernel.run(world.kernel.now + 3 * S)
    restored.disk.synced = dict(restored.disk.snapshots[-1])
    assert withdrawn <= _page_items_on(restored)
    restored.start()
    register_state = _settle(world)
    assert _page_items_on(restored) == _items_of_versions(world, register_state.active)


def test_a_disk_of_the_previous_release_is_readable() -> None:
    """A disk whose state and configuration are blobs, of a member that is alone in its tier."""
    state, configuration = b'{"nodes":{}}', Configuration(("g1",), ()).encode()
    digest, configuration_digest = sha256(state).hexdigest(), sha256(configuration).hexdigest()
    version = Version(4, 3, digest, "g1", "ann", 5, "g1-63-0")
    decided = ChosenState(
        Ballot(7, "g1", 99), RegisterState(6, 4, 1, version, None, configuration_digest)
    )
    encode = msgspec.msgpack.encode
    disk = {
        "known": encode(decided),
        "self": encode(3),
        "stamps": encode({"g1": 9}),
        "vote": encode([Ballot(7, "g1", 99), decided, 9]),
        f"content/{digest}": zlib.compress(state, 6),
        f"content/{configuration_digest}": zlib.compress(configuration, 6),
    }
    member = Member(TierConfig("g1", ("g1",), ("g1",)), 5, disk, random.Random(1), 0, None)
    for now in range(0, S, S // 10):
        member.on_tick(now)
        acted = [one.versions for one in member.take_effects() if isinstance(one, ApplyVersions)]
        for acting in acted:
            member.confirm_applied(acting.revision, now)
    assert member.member_status(S) is MemberStatus.ACTIVE
    assert member.applying is not None
    assert member.applying.active == version
    assert member.contents.read(digest) == state
    # The next version is a tree; the blob is removed once the process has applied that.
    tree = build(random_entries(20), 500)
    member.propose(tree, 4, False, "ann", 6)
    for now in range(S, 2 * S, S // 10):
        member.on_tick(now)
        for effect in member.take_effects():
            if isinstance(effect, Persist):
                for name, value in effect.items.items():
                    disk.pop(name, None)
                    if value is not None:
                        disk[name] = value
            elif isinstance(effect, ApplyVersions):
                assert f"content/{digest}" in disk
                member.confirm_applied(effect.versions.revision, now)
    assert member.applying.active.digest == tree_digest(tree.root)
    contents = {name for name in disk if "/" in name}
    assert contents == {PAGE_KEY_PREFIX + page for page in tree.pages} | {
        f"content/{configuration_digest}"
    }


LARGE_STATE = Contents(random_entries(6000, size=250), 4096)


def test_a_change_of_a_large_state_sends_few_pages_to_a_member() -> None:
    world = World(1, 5, 3, contents=LARGE_STATE, write_interval=S)
    world.start()
    world.kernel.run(60 * S)  # all members have the state by then
    world.check_end()
    before = {name: _page_items_on(process) for name, process in world.processes.items()}
    sent = _record_messages(world, "g5")
    world.processes["g4"].propose(1, 0)
    register_state = _settle(world)
    assert register_state.active.serial == 2
    replies = [message for message in sent if isinstance(message, PageReply)]
    wire = Wire(Keys(1, {1: b"k" * 32}), "a-gateway-of-a-region-16", 1 << 47)
    size = sum(len(wire.seal("a-gateway-of-a-region-17", reply)) for reply in replies)
    assert 0 < size < 16 * 1024
    new = _page_items_on(world.processes["g5"]) - before["g5"]
    assert 0 < len(new) <= 8
    assert len(before["g5"]) > 400


def test_a_new_member_fetches_a_large_state_within_a_minute_despite_gossip() -> None:
    world = World(1, 5, 3, contents=LARGE_STATE, write_interval=S, late=["g5"])
    world.start()
    world.kernel.run(60 * S)
    assert world.checker.latest is not None
    newcomer = world.processes["g5"]
    newcomer.start()
    began = world.kernel.now
    while not (newcomer.applied_versions is not None and _member(world, "g5").is_caught_up()):
        world.kernel.run(world.kernel.now + S)
        assert world.kernel.now - began < 60 * S
    size = sum(len(newcomer.disk.synced[name]) for name in _page_items_on(newcomer))
    assert size > 1.5e6
    world.kernel.run(world.kernel.now + 5 * S)
    assert _member(world, "g5").member_status(newcomer.clock()) is MemberStatus.ACTIVE


# --- Byte budget


def test_requests_and_replies_stay_within_the_budget() -> None:
    tree = build(random_entries(600, size=2000), 4000)
    stores = {name: store_of(tree) for name in "ab"}
    simulation = FetchSimulation({name: answering(store) for name, store in stores.items()})
    digest = tree_digest(tree.root)
    simulation.start_fetch(digest, "a")
    assert simulation.run(digest)
    size = sum(len(compress(raw)) for raw in tree.pages.values())
    assert size > 1 << 20
    assert (
        (size - BURST_BYTES) / BYTES_PER_SECOND < simulation.now / S < 1.6 * size / BYTES_PER_SECOND
    )
    for begin in range(0, simulation.now, S // 4):
        for length in (1, 5):
            received = sum(
                size for at, size in simulation.received_sizes if begin <= at < begin + length * S
            )
            assert received <= BURST_BYTES + BYTES_PER_SECOND * length
    greedy = [PageRange(bytes.fromhex(page), 0, 16) for page in tree.pages][:16]
    sent = sum(
        len(block.data)
        for i in range(1000)
        for reply in stores["a"].answer_pages(PageRequest(greedy), simulation.now + i * 10_000)
        for block in reply.blocks
    )
    assert sent <= BURST_BYTES + 10 * BYTES_PER_SECOND


def test_one_and_a_half_megabytes_are_fetched_within_a_minute() -> None:
    tree = build(random_entries(6000, size=250))
    size = sum(len(compress(raw)) for raw in tree.pages.values())
    assert size > 1.5e6
    simulation = FetchSimulation({name: answering(store_of(tree)) for name in "abcde"})
    simulation.loss = 0.05
    digest = tree_digest(tree.root)
    simulation.start_fetch(digest, "a")
    assert simulation.run(digest, 60 * S)
