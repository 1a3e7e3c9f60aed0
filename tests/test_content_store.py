"""Trees in the content store: how they are fetched, resumed and let go of, and within a budget."""

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
STEP = 10_000  # us between two rounds of questions
Source = Callable[[PageRequest, int], list[PageReply]]
Entries = dict[Key, bytes]


def some_entries(count: int, size: int = 100, seed: int = 1) -> Entries:
    """Entries of random values, which don't pack."""
    rng = random.Random(seed)
    return {Key(f"group{i % 7}", f"name{i}"): rng.randbytes(size) for i in range(count)}


def holding(*trees: Tree) -> ContentStore:
    store = ContentStore({})
    for tree in trees:
        store.add(tree)
    return store


def honest(store: ContentStore) -> Source:
    return store.answer_pages


def silent(request: PageRequest, now: int) -> list[PageReply]:
    return []


class Play:
    """A store that fetches from sources, and what was said meanwhile."""

    def __init__(
        self, sources: Mapping[str, Source], sink: ContentStore | None = None, seed: int = 1
    ) -> None:
        self.sources, self.sink = dict(sources), sink or ContentStore({})
        self.rng = random.Random(seed)
        self.now = 0
        self.asked: list[tuple[int, str, PageRange]] = []
        self.kept: list[dict[str, bytes]] = []  # what came to be on disk, step by step
        self.received = 0  # bytes of sealed answers
        self.came: list[tuple[int, int]] = []  # bytes of blocks, and when
        self.loss = self.doubled = 0.0
        self._wires: dict[str, Wire] = {}

    def want(self, digest: str, source: str) -> None:
        self.sink.fetch(digest, source)

    def run(self, digest: str, until: int = 60 * S, most_kept: int | None = None) -> bool:
        """Go on until the tree is here, or until a time; whether it is."""
        names = sorted(self.sources)
        while not self.sink.has(digest) and self.now < until:
            if most_kept is not None and sum(map(len, self.kept)) >= most_kept:
                break
            self.now += STEP
            for to, request in self.sink.requests(self.now, self.rng, [names]):
                assert isinstance(request, PageRequest)
                self.asked += [(self.now, to, wanted) for wanted in request.ranges]
                if self.rng.random() >= self.loss:
                    self._answer(to, request)
        return self.sink.has(digest)

    def _answer(self, to: str, request: PageRequest) -> None:
        for reply in self.sources[to](request, self.now):
            self.received += len(self._seal(to, reply))
            self.came.append((self.now, sum(len(block.data) for block in reply.blocks)))
            copies = 1 + (self.rng.random() < self.doubled)
            for _ in range(copies if self.rng.random() >= self.loss else 0):
                arrival = self.sink.take_pages(to, reply, self.now)
                if arrival.persisted:
                    self.kept.append(arrival.persisted)

    def _seal(self, sender: str, message: Message) -> bytes:
        wire = self._wires.setdefault(sender, Wire(Keys(1, {1: b"k" * 32}), sender, 1 << 47))
        return wire.seal("a-gateway-of-a-region-17", message)

    def disk(self) -> dict[str, bytes]:
        return {name: value for kept in self.kept for name, value in kept.items()}


def entries_of(store: ContentStore, digest: str) -> Entries:
    root = root_of(digest)
    assert root is not None
    return dict(read_entries(store, root))


# --- Digests


def test_a_trees_digest_is_told_from_that_of_a_whole_content() -> None:
    root = "ab" * 32
    assert root_of(tree_digest(root)) == root
    assert root_of(root) is None
    for wrong in ("tree:", "tree:" + "zz" * 32, "tree:" + root + "0", "tree:" + root.upper()):
        assert root_of(wrong) is None


# --- Fetching


@settings(max_examples=30)
@given(st.integers(0, 300), st.integers(0, 1 << 30), st.floats(0, 0.4), st.floats(0, 0.5))
def test_a_tree_is_fetched_whole_through_loss_and_doubling(
    count: int, seed: int, loss: float, doubled: float
) -> None:
    entries = some_entries(count, seed=seed)
    tree = build(entries, 500)
    play = Play({name: honest(holding(tree)) for name in ("a", "b", "c")}, seed=seed)
    play.loss, play.doubled = loss, doubled
    digest = tree_digest(tree.root)
    play.want(digest, "a")
    assert play.run(digest)
    assert entries_of(play.sink, digest) == entries
    assert play.disk() == {
        PAGE_KEY_PREFIX + page: compress(raw) for page, raw in tree.pages.items()
    }
    assert play.sink.corrupt_count == 0


def test_many_pages_are_fetched_at_a_time_and_from_several_sources() -> None:
    tree = build(some_entries(400), 500)
    play = Play({name: honest(holding(tree)) for name in "abcd"})
    digest = tree_digest(tree.root)
    play.want(digest, "a")
    for source in "bcd":
        play.sink.add_source(source)
    assert play.run(digest, 2 * S)
    by_source = [sum(to == name for _, to, _ in play.asked) for name in "abcd"]
    assert min(by_source) > len(tree.pages) / 8, by_source
    # A round of questions and answers for each level, and not one for each page.
    assert play.now <= 20 * STEP < len(tree.pages) * STEP / 10


def test_pages_that_are_here_are_not_fetched_again() -> None:
    entries = some_entries(8000)
    old = build(entries)
    new = update(holding(old), old.root, {Key("group3", "name3"): b"changed"})
    play = Play({"a": honest(holding(old, new))}, sink=holding(old))
    digest = tree_digest(new.root)
    play.want(digest, "a")
    assert play.run(digest)
    assert {wanted.digest.hex() for _, _, wanted in play.asked} == {*new.pages}
    assert len(new.pages) < len(old.pages) / 10


def test_one_weight_in_thousands_of_entries_brings_few_pages_and_bytes() -> None:
    entries = {
        Key(f"nodes/service{i % 280}", f"n{i}"): b'{"address":"10.0.0.1:80","weight":%d}' % i
        for i in range(16_000)
    }
    old = build(entries)
    new = update(holding(old), old.root, {Key("nodes/service7", "n7"): b'{"weight":1}'})
    play = Play({"a": honest(holding(old, new))}, sink=holding(old))
    digest = tree_digest(new.root)
    play.want(digest, "a")
    assert play.run(digest)
    assert len(play.disk()) == len(new.pages) <= 6
    assert play.received < 16 * 1024


def test_several_small_pages_share_a_datagram_and_none_is_large() -> None:
    tree = build(some_entries(300, size=20), 60)
    store = holding(tree)
    small = [bytes.fromhex(digest) for digest in tree.pages][: 2 * MAX_RANGES_PER_REQUEST]
    replies = store.answer_pages(PageRequest([PageRange(one, 0, 4) for one in small]), 0)
    blocks = [block for reply in replies for block in reply.blocks]
    assert len(blocks) == MAX_RANGES_PER_REQUEST  # more than that is not looked at
    assert len(replies) <= -(-len(blocks) * 150 // MAX_REPLY_BYTES)
    large = holding(build({Key("g", "n"): random.Random(1).randbytes(100_000)}))
    [root] = [*build({Key("g", "n"): random.Random(1).randbytes(100_000)}).pages]
    replies += large.answer_pages(PageRequest([PageRange(bytes.fromhex(root), 0, 16)]), 0)
    wire = Wire(Keys(1, {1: b"k" * 32}), "a-gateway-of-a-region-16", 1 << 47)
    sizes = [len(wire.seal("a-gateway-of-a-region-17", reply)) for reply in replies]
    assert max(sizes) <= 1200
    widest = PageRequest([PageRange(b"\xff" * 32, 255_000, 16)] * MAX_RANGES_PER_REQUEST)
    assert len(wire.seal("a-gateway-of-a-region-17", widest)) < 1200 < MAX_DATAGRAM_BYTES


# --- What goes wrong


def _changed(change: Callable[[PageBlock], PageBlock]) -> Callable[[ContentStore], Source]:
    def make(store: ContentStore) -> Source:
        def answer(request: PageRequest, now: int) -> list[PageReply]:
            replies = store.answer_pages(request, now)
            return [PageReply([change(one) for one in reply.blocks], []) for reply in replies]

        return answer

    return make


def _whole(make: Callable[[bytes, bytes], bytes]) -> Callable[[ContentStore], Source]:
    """Sends another packed page, whole and in one piece, made of its digest and packed form."""

    def build(store: ContentStore) -> Source:
        def answer(request: PageRequest, now: int) -> list[PageReply]:
            replies = []
            for wanted in request.ranges:
                packed = compress(store.page(wanted.digest.hex()))
                sent = make(wanted.digest, packed)
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


OTHER = build(some_entries(3, seed=9))
BOMB = zlib.compress(b"L" + b"\0" * (64 << 20), 9)  # 64 KB that unpack to 64 MB
SPOILT: dict[str, Callable[[ContentStore], Source]] = {
    "spoilt": _changed(lambda one: one._replace(data=_flipped(one.data))),
    "block cut short": _changed(lambda one: one._replace(data=one.data[:-1])),
    "page cut short": _whole(lambda digest, packed: packed[:-5]),
    "other page": _whole(lambda digest, packed: compress(OTHER.pages[OTHER.root])),
    "more after its end": _whole(lambda digest, packed: packed + b"x"),
    "said to be larger than the bound": _changed(lambda one: one._replace(total=1 << 40)),
    "unpacks to more than the bound": _whole(lambda digest, packed: BOMB),
    "raw and larger than the bound": _whole(
        lambda digest, packed: compress(b"L" * (MAX_PAGE_BYTES + 1))
    ),
    "empty": _changed(lambda one: one._replace(data=b"", total=0)),
    "out of step": _changed(lambda one: one._replace(offset=one.offset + 1)),
    "below its beginning": _changed(lambda one: one._replace(offset=-BLOCK_SIZE)),
}


@pytest.mark.parametrize("how", SPOILT)
def test_a_wrong_page_is_counted_thrown_away_and_asked_for_elsewhere(how: str) -> None:
    entries = some_entries(100)
    tree = build(entries, 500)
    wrong = SPOILT[how](holding(tree))
    digest = tree_digest(tree.root)
    alone = Play({"a": wrong})
    alone.want(digest, "a")
    assert not alone.run(digest, 5 * S)
    assert alone.disk() == {}
    assert alone.sink.corrupt_count > 0
    both = Play({"a": wrong, "b": honest(holding(tree))})
    both.want(digest, "a")
    assert both.run(digest)
    assert both.sink.corrupt_count > 0
    assert entries_of(both.sink, digest) == entries
    assert both.disk() == {
        PAGE_KEY_PREFIX + page: compress(raw) for page, raw in tree.pages.items()
    }


def test_a_malformed_page_of_the_right_digest_is_not_taken() -> None:
    raw = b"B\0\0\x80\1" + b"\0" * 44  # a branch with one child
    digest = tree_digest(page_digest(raw))
    play = Play({"a": _whole(lambda name, packed: compress(raw))(holding(OTHER))})
    play.sources["a"] = lambda request, now: [
        PageReply([PageBlock(r.digest, 0, len(compress(raw)), compress(raw))], [])
        for r in request.ranges
    ]
    play.want(digest, "a")
    assert not play.run(digest, 3 * S)
    assert play.sink.corrupt_count > 0
    assert play.disk() == {}


def _refusing(request: PageRequest, now: int) -> list[PageReply]:
    return [PageReply([], [wanted.digest for wanted in request.ranges])]


@pytest.mark.parametrize("source", [silent, _refusing], ids=["silent", "refusing"])
def test_a_source_that_sends_nothing_gives_way(source: Source) -> None:
    tree = build(some_entries(100), 500)
    play = Play({"a": source, "b": honest(holding(tree))})
    digest = tree_digest(tree.root)
    play.want(digest, "a")
    assert play.run(digest, 5 * S)
    assert play.sink.corrupt_count == 0


def test_a_source_that_has_the_pages_later_is_asked_again() -> None:
    tree = build(some_entries(100), 500)
    late = ContentStore({})
    play = Play({"a": honest(late)})
    digest = tree_digest(tree.root)
    play.want(digest, "a")
    assert not play.run(digest, 3 * S)
    late.add(tree)
    assert play.run(digest, 5 * S)


def test_a_source_that_dies_half_way_gives_way_and_nothing_is_fetched_twice() -> None:
    tree = build(some_entries(600), 500)
    play = Play({"a": honest(holding(tree)), "b": honest(holding(tree))})
    digest = tree_digest(tree.root)
    play.want(digest, "a")
    assert not play.run(digest, most_kept=len(tree.pages) // 2)
    here, before = {*play.disk()}, len(play.asked)
    assert here
    play.sources["a"] = silent
    assert play.run(digest)
    after = {PAGE_KEY_PREFIX + wanted.digest.hex() for _, _, wanted in play.asked[before:]}
    assert not after & here
    assert {*play.disk()} == {PAGE_KEY_PREFIX + page for page in tree.pages}


def test_an_answer_from_whom_was_not_asked_is_not_taken() -> None:
    tree = build(some_entries(3))
    store, sink = holding(tree), ContentStore({})
    sink.fetch(tree_digest(tree.root), "a")
    [(_, request)] = sink.requests(1, random.Random(1), [["a"]])
    assert isinstance(request, PageRequest)
    [reply] = store.answer_pages(request, 1)
    assert sink.take_pages("b", reply, 1).persisted == {}
    assert not sink.has(tree_digest(tree.root))
    assert sink.take_pages("a", reply, 1).is_complete


def test_an_answer_that_is_late_is_taken_where_no_other_has_come() -> None:
    tree = build(some_entries(3))
    store, sink, digest = holding(tree), ContentStore({}), tree_digest(tree.root)
    rng = random.Random(1)
    sink.fetch(digest, "a")
    [(first, request)] = sink.requests(1, rng, [["b"]])
    [(second, _)] = sink.requests(1 + MAX_TIMEOUT, rng)
    assert (first, second) == ("a", "b")
    assert isinstance(request, PageRequest)
    [reply] = store.answer_pages(request, 1)
    assert sink.take_pages("a", reply, 2 + MAX_TIMEOUT).is_complete


def test_a_source_that_stays_silent_is_asked_ever_less() -> None:
    tree = build(some_entries(2000), 500)
    play = Play({"a": silent, "b": honest(holding(tree))})
    digest = tree_digest(tree.root)
    play.want(digest, "a")
    assert play.run(digest)
    asked = [at for at, to, _ in play.asked if to == "a"]
    assert len({*asked}) < 10


def test_a_source_that_was_silent_once_is_asked_again_though_a_preferred_one_is_dead() -> None:
    """Guards against a fetch that asks a dead preferred source without end, and no other."""
    tree = build(some_entries(20), 500)
    digest = tree_digest(tree.root)
    play = Play({"dead": silent, "b": silent, "c": silent})
    play.want(digest, "dead")
    assert not play.run(digest, 3 * S)
    play.sources["b"] = honest(holding(tree))
    assert play.run(digest, 20 * S)


def test_the_fetch_that_takes_longest_is_told_with_its_source() -> None:
    """Guards against a fetch that never ends and that no operator can see."""
    tree = build(some_entries(3))
    play = Play({"a": silent})
    assert play.sink.oldest_fetch() is None
    play.want(tree_digest(tree.root), "a")
    assert not play.run(tree_digest(tree.root), 3 * S)
    assert play.sink.oldest_fetch() == FetchStatus(tree.root, "a", STEP, 1)
    play.sources["a"] = honest(holding(tree))
    assert play.run(tree_digest(tree.root))
    assert play.sink.oldest_fetch() is None
    play.want("ab" * 32, "a")  # an undivided content
    assert len(play.sink.requests(play.now, play.rng, [["b"]])) == 1
    play.sink.requests(play.now + S, play.rng, [["b"]])
    assert play.sink.oldest_fetch() == FetchStatus("ab" * 32, "b", play.now, 1)


def test_a_source_that_is_declared_dead_is_asked_last_and_once() -> None:
    """Guards against time-outs for each page at a proposer that is known to have died."""
    digest = tree_digest(build(some_entries(3)).root)
    sink = ContentStore({}, is_alive=lambda name: name != "dead")
    rng = random.Random(1)
    sink.fetch(digest, "dead")
    asked = []
    for i in range(5):
        asked += [to for to, _ in sink.requests(1 + i * MAX_TIMEOUT, rng, [["b"], ["c"]])]
    assert asked == ["b", "c", "dead"]


def _with_prefix(digits: str, count: int) -> list[str]:
    """Names, chosen by trying, whose places in the tree begin alike."""
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
    play = Play({"a": honest(holding(tree)), "b": honest(holding(tree))})
    digest = tree_digest(tree.root)
    play.want(digest, "a")
    assert play.run(digest)
    assert {*play.disk()} == {PAGE_KEY_PREFIX + page for page in tree.pages}


def test_a_page_of_the_largest_size_is_fetched_and_found_by_its_blocks() -> None:
    value = random.Random(1).randbytes(MAX_PAGE_BYTES - 20)
    tree = build({Key("g", "n"): value})
    play = Play({"a": honest(holding(tree))})
    digest = tree_digest(tree.root)
    play.want(digest, "a")
    assert play.run(digest)
    assert entries_of(play.sink, digest) == {Key("g", "n"): value}


# --- What is whole


def test_a_tree_with_a_leaf_lacking_is_not_here() -> None:
    tree = build(some_entries(100), 500)
    leaves = [page for page, raw in tree.pages.items() if not child_digests(raw)]
    for leaf in (leaves[0], leaves[-1]):
        pages = {page: compress(raw) for page, raw in tree.pages.items() if page != leaf}
        store = ContentStore({}, pages)
        assert not store.has(tree_digest(tree.root))
        with pytest.raises(KeyError):
            entries_of(store, tree_digest(tree.root))
        play = Play({"a": honest(holding(tree))}, sink=store)
        play.want(tree_digest(tree.root), "a")
        assert play.run(tree_digest(tree.root))
        assert {*play.disk()} == {PAGE_KEY_PREFIX + leaf}


def test_an_updated_tree_needs_the_pages_that_it_shares() -> None:
    old = build(some_entries(500), 500)
    new = update(holding(old), old.root, {Key("group1", "name1"): b"changed"}, 500)
    empty = ContentStore({})
    with pytest.raises(ValueError, match=f"tree {new.root}: its page .* is neither new nor here"):
        empty.add(new)
    assert empty.retain_only([]) == []  # nothing was put in
    store = holding(old)
    digest, kept = store.add(new)
    assert kept == {PAGE_KEY_PREFIX + page: compress(raw) for page, raw in new.pages.items()}
    assert store.has(digest)
    assert entries_of(store, digest)[Key("group1", "name1")] == b"changed"


def test_adding_a_tree_that_is_being_fetched_ends_the_fetch() -> None:
    tree = build(some_entries(300), 500)
    play = Play({"a": honest(holding(tree))})
    digest = tree_digest(tree.root)
    play.want(digest, "a")
    play.run(digest, most_kept=5)
    _, kept = play.sink.add(tree)
    assert {*kept} == {PAGE_KEY_PREFIX + page for page in tree.pages} - {*play.disk()}
    assert play.sink.has(digest)
    assert not play.sink.is_fetching


# --- What goes, and what stays


def _reached(pages: Mapping[str, bytes], roots: set[str]) -> set[str]:
    reached: set[str] = set()
    waiting = list(roots)
    while waiting:
        page = waiting.pop()
        if page in pages and page not in reached:
            reached.add(page)
            waiting += child_digests(pages[page])
    return reached


@settings(max_examples=60)
@given(st.data())
def test_after_any_history_what_is_here_and_whole_is_what_a_walk_finds(data: Any) -> None:
    keys = [Key(f"g{i % 3}", f"n{i}") for i in range(12)]
    versions, everything = [build(dict.fromkeys(keys, b"0" * 30), 80)], dict[str, bytes]()
    everything.update(versions[0].pages)
    source = holding(versions[0])
    for i in range(data.draw(st.integers(1, 5))):
        changed = data.draw(st.sets(st.sampled_from(keys), min_size=1, max_size=3))
        wanted = {key: data.draw(st.sampled_from([b"1" * 30, b"%d" % i, None])) for key in changed}
        tree = update(source, versions[-1].root, wanted, 80)
        source.add(tree)
        versions.append(tree)
        everything.update(tree.pages)
    roots = [tree.root for tree in versions]
    store, here = PageStore({}), set[str]()
    for _ in range(data.draw(st.integers(1, 25))):
        if data.draw(st.booleans()):
            page = data.draw(st.sampled_from(sorted(everything)))
            store.insert(page, compress(everything[page]), child_digests(everything[page]))
            here.add(page)
        else:
            kept = data.draw(st.sets(st.sampled_from(roots)))
            reached = _reached({page: everything[page] for page in here}, kept)
            assert {*store.retain_only(kept)} == here - reached
            here = reached
        pages = {page: everything[page] for page in here}
        assert {page for page in everything if page in store} == here
        assert store.size == sum(len(compress(raw)) for raw in pages.values())
        for page in everything:
            is_complete = _reached(everything, {page}) <= here
            assert store.is_complete(page) == is_complete
            lacking = {*store.lacking(page)}
            assert lacking == set() if is_complete else lacking and not lacking & here


def test_pages_shared_with_a_version_that_stays_are_retained() -> None:
    entries = some_entries(500)
    one = build(entries, 500)
    store = holding(one)
    two = update(store, one.root, {Key("group1", "name1"): b"changed"}, 500)
    store.add(two)
    digests = tree_digest(one.root), tree_digest(two.root)
    assert store.retain_only(digests) == []
    gone = store.retain_only([digests[1]])
    assert {*gone} == {
        PAGE_KEY_PREFIX + page for page in one.pages if page not in _all_of(store, two.root)
    }
    assert 0 < len(gone) < len(one.pages) / 10
    assert not store.has(digests[0])
    assert entries_of(store, digests[1]) == entries | {Key("group1", "name1"): b"changed"}
    rest = {PAGE_KEY_PREFIX + page for page in {**one.pages, **two.pages}} - {*gone}
    assert {*store.retain_only([])} == rest


def _all_of(store: ContentStore, root: str) -> set[str]:
    reached, waiting = set[str](), [root]
    while waiting:
        page = waiting.pop()
        reached.add(page)
        waiting += child_digests(store.page(page))
    return reached


def test_letting_go_of_one_of_two_versions_costs_what_goes(monkeypatch: pytest.MonkeyPatch) -> None:
    one = build(some_entries(3000), 500)
    store = holding(one)
    store.retain_only([tree_digest(one.root)])
    two = update(store, one.root, {Key("group1", "name1"): b"changed"}, 500)
    store.add(two)
    removed, referred = list[str](), list[str]()
    remove, refer = PageStore._remove, PageStore._add_reference

    def counted_remove(self: PageStore, digest: str) -> None:
        removed.append(digest)
        remove(self, digest)

    def counted_refer(self: PageStore, digest: str) -> None:
        referred.append(digest)
        refer(self, digest)

    monkeypatch.setattr(PageStore, "_remove", counted_remove)
    monkeypatch.setattr(PageStore, "_add_reference", counted_refer)
    monkeypatch.setattr("sailhitch.tier.page_store.decompress", None)  # no page is decoded
    store.retain_only([tree_digest(two.root)])
    assert len(removed) == len(two.pages)
    assert len(referred) == 1


def test_a_version_withdrawn_while_its_pages_come_leaves_nothing() -> None:
    one = build(some_entries(300), 500)
    two = build(some_entries(300, seed=2), 500)
    play = Play({"a": honest(holding(one, two))}, sink=holding(one))
    digest = tree_digest(two.root)
    play.want(digest, "a")
    assert not play.run(digest, most_kept=4)
    assert play.sink.is_fetching
    came = {*play.disk()}
    assert came
    assert {*play.sink.retain_only([tree_digest(one.root)])} == came
    assert not play.sink.is_fetching
    before = len(play.asked)
    assert not play.run(digest, play.now + 2 * S)
    assert len(play.asked) == before
    assert play.sink.has(tree_digest(one.root))


def test_pages_of_a_fetch_serve_the_next_version_though_it_is_not_wanted_any_more() -> None:
    """A newcomer's state changes while it comes: what it has of the old one is not lost."""
    source = ContentStore({})
    one = build(some_entries(600), 500)
    source.add(one)
    two = update(source, one.root, {Key("group1", "name1"): b"changed"}, 500)
    source.add(two)
    play = Play({"a": honest(source)})
    play.want(tree_digest(one.root), "a")
    play.run(tree_digest(one.root), most_kept=len(one.pages) * 3 // 4)
    here = {*play.disk()}
    play.want(tree_digest(two.root), "a")
    play.sink.fetch_only([tree_digest(two.root)])
    before = len(play.asked)
    assert play.run(tree_digest(two.root))
    asked = {PAGE_KEY_PREFIX + wanted.digest.hex() for _, _, wanted in play.asked[before:]}
    assert not asked & here
    wanted = {PAGE_KEY_PREFIX + page for page in _all_of(play.sink, two.root)}
    assert {*play.sink.retain_only([tree_digest(two.root)])} == {*play.disk()} - wanted


# --- The disk


def test_whatever_was_kept_when_it_was_killed_the_rest_is_fetched_and_no_more() -> None:
    entries = some_entries(150)
    tree = build(entries, 500)
    digest = tree_digest(tree.root)
    first = Play({"a": honest(holding(tree))})
    first.want(digest, "a")
    assert first.run(digest)
    assert len(first.kept) > 5
    for steps in range(len(first.kept) + 1):
        disk = {name: value for kept in first.kept[:steps] for name, value in kept.items()}
        again = Play({"a": honest(holding(tree))}, sink=ContentStore.from_disk(disk, 0))
        assert again.sink.has(digest) == (steps == len(first.kept))
        again.want(digest, "a")
        assert again.run(digest)
        assert {*again.disk()} == {PAGE_KEY_PREFIX + page for page in tree.pages} - {*disk}
        assert entries_of(again.sink, digest) == entries
        assert again.sink.retain_only([digest]) == []


def test_pages_on_an_old_disk_that_nothing_wants_are_let_go_of() -> None:
    one = build(some_entries(100), 500)
    withdrawn = build(some_entries(100, seed=2), 500)
    disk = {
        PAGE_KEY_PREFIX + page: compress(raw)
        for page, raw in {**one.pages, **withdrawn.pages}.items()
    }
    del disk[PAGE_KEY_PREFIX + withdrawn.root]  # not even its root came to be there
    store = ContentStore.from_disk({**disk, "known": b"", "vote": b""}, 0)
    gone = store.retain_only([tree_digest(one.root)])
    assert {*gone} == {PAGE_KEY_PREFIX + page for page in withdrawn.pages} - {
        PAGE_KEY_PREFIX + withdrawn.root
    }
    assert store.has(tree_digest(one.root))


def test_a_page_on_disk_that_cannot_be_read_is_fetched_anew() -> None:
    tree = build(some_entries(100), 500)
    disk = {PAGE_KEY_PREFIX + page: compress(raw) for page, raw in tree.pages.items()}
    disk[PAGE_KEY_PREFIX + tree.root] = disk[PAGE_KEY_PREFIX + tree.root][:-3]
    store = ContentStore.from_disk(disk, 0)
    digest = tree_digest(tree.root)
    assert not store.has(digest)
    play = Play({"a": honest(holding(tree))}, sink=store)
    play.want(digest, "a")
    assert play.run(digest)
    assert {*play.disk()} == {PAGE_KEY_PREFIX + tree.root}


# --- Members


def _stood(**options: Any) -> World:
    """A tier in the model that has found itself."""
    world = World(1, 5, 3, **options)
    world.start()
    world.kernel.run(4 * S)
    world.check_end()
    return world


def _rested(world: World, seconds: int = 20) -> RegisterState:
    world.kernel.run(world.kernel.now + seconds * S)
    world.check_end()
    assert world.checker.latest is not None
    return world.checker.latest


def _member(world: World, name: str) -> Member:
    member = world.processes[name].member
    assert member is not None
    return member


def _pages_on(process: TierProcess) -> set[str]:
    return {name for name in process.disk.synced if name.startswith(PAGE_KEY_PREFIX)}


def _of_versions(world: World, *versions: Version) -> set[str]:
    """Names on disk of all pages of these versions."""
    everything: dict[str, bytes] = {}
    for allow in world.acts_by_digest.values():
        everything.update(world.contents.tree(allow, 0).pages)
    roots = {root for version in versions if (root := root_of(version.digest)) is not None}
    return {PAGE_KEY_PREFIX + page for page in _reached(everything, roots)}


def _count(world: World, to: str) -> list[Message]:
    """What is sent to a member from here on."""
    sent: list[Message] = []
    send = world.network.send

    def counted(sender: str, addressee: str, message: Message) -> None:
        if addressee == to:
            sent.append(message)
        send(sender, addressee, message)

    world.network.send = counted  # type: ignore[assignment,method-assign]
    return sent


def _drop(world: World, to: str) -> Callable[[], None]:
    """No page comes to a member from here on, until the answer is called."""
    send = world.network.send

    def dropped(sender: str, addressee: str, message: Any) -> None:
        if addressee != to or not isinstance(message, PageReply):
            send(sender, addressee, message)

    world.network.send = dropped  # type: ignore[assignment,method-assign]
    return lambda: setattr(world.network, "send", send)


def test_a_member_that_lacks_the_contents_is_behind_and_not_outside() -> None:
    """Guards against a status that takes a member out that the configuration has."""
    world = _stood()
    process = world.processes["g5"]
    world.processes["g5"].kill()
    process.disk.write(dict.fromkeys(_pages_on(process)))
    heal = _drop(world, "g5")
    process.start()
    world.kernel.run(world.kernel.now + 3 * S)
    member = _member(world, "g5")
    status = member.status(process.clock())
    assert not member.is_caught_up()
    assert (status["standing"], status["why"]) == ("behind", MemberStatus.BEHIND.reason)
    assert {row["inside"] for row in status["members"]} == {None}
    heal()
    _rested(world)
    assert member.status(process.clock())["standing"] == "in"


def test_a_voter_that_lacks_a_leaf_does_not_accept() -> None:
    tree = build(some_entries(50), 500)
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
    play = Play({"a": honest(holding(tree))}, sink=store)
    play.want(version.digest, "a")
    assert play.run(version.digest)
    assert voter.accept(accept) is not None
    assert [isinstance(effect, Persist) for effect in out] == [True]


def test_a_voter_answers_once_the_pages_are_here_without_being_asked_again() -> None:
    world = _stood()
    asked: Counter[tuple[str, Ballot]] = Counter()
    send = world.network.send

    def counted(sender: str, to: str, message: Message) -> None:
        if isinstance(message, Accept):
            asked[to, message.ballot] += 1
        send(sender, to, message)

    world.network.send = counted  # type: ignore[method-assign]
    world.processes["g4"].propose(1, 0)
    register_state = _rested(world)
    assert (register_state.active.serial, register_state.active.proposer) == (2, "g4")
    assert {*asked.values()} == {1}


def test_a_member_does_not_propose_a_tree_of_which_it_lacks_pages() -> None:
    world = _stood()
    member = _member(world, "g1")
    old = build(some_entries(50), 500)
    new = update(holding(old), old.root, {Key("group1", "name1"): b"changed"}, 500)
    jobs = len(member.proposer.jobs)
    with pytest.raises(ValueError, match="neither new nor here"):
        member.propose(new, 1, False, "test", 0)
    assert len(member.proposer.jobs) == jobs
    assert _rested(world).active.serial == 1


@pytest.mark.parametrize("restarted", [True, False])
def test_on_a_full_disk_no_page_is_kept_and_nothing_is_confirmed(restarted: bool) -> None:
    world = _stood()
    full = world.processes["g4"]
    before = _pages_on(full)
    full.disk.full = True
    world.processes["g1"].propose(1, 0)
    world.kernel.run(world.kernel.now + 10 * S)
    latest = world.checker.latest
    assert latest is not None
    assert latest.pending is not None
    assert full.disk_is_failing
    assert _pages_on(full) == before
    assert _member(world, "g1").waiting_for() == ["g4"]
    if restarted:
        full.kill()
    full.disk.full = False
    if restarted:
        full.start()
    register_state = _rested(world)
    assert (register_state.active.serial, register_state.pending) == (2, None)
    assert not full.disk_is_failing
    assert _member(world, "g1").waiting_for() == []
    assert _pages_on(full) == _of_versions(world, register_state.active)


@pytest.mark.parametrize("steps", range(1, 12))
def test_one_killed_after_any_page_that_it_kept_resumes_and_completes(steps: int) -> None:
    world = _stood()
    process, kept = world.processes["g5"], list[set[str]]()
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
            kept.append(pages)
            if process.incarnation == 2 and len(kept) == steps:
                process.kill()

    process.on_synced = on_synced  # type: ignore[method-assign]
    process.start()
    world.kernel.run(world.kernel.now + 5 * S)
    assert world.checker.latest is not None
    wanted = _of_versions(world, world.checker.latest.active)
    if process.up:  # it was done sooner
        assert len(kept) < steps
        assert _pages_on(process) == wanted
        return
    here = _pages_on(process)
    assert here == set().union(*kept)
    assert here < wanted if steps < 4 else here <= wanted
    kept.clear()
    process.start()
    _rested(world)
    assert _pages_on(process) == wanted
    assert set().union(*kept) == wanted - here  # and none of them twice
    assert sum(map(len, kept)) == len(wanted - here)


def test_a_version_withdrawn_while_its_pages_come_to_a_member_leaves_it_as_it_was() -> None:
    world = _stood()
    before = _pages_on(world.processes["g5"])
    heal = _drop(world, "g5")
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
    heal()
    register_state = _rested(world)
    assert (register_state.active.serial, register_state.pending) == (1, None)
    assert _pages_on(world.processes["g5"]) == before
    assert _pages_on(world.processes["g4"]) == before
    for voter in world.voters:  # they keep for a while what they were asked to accept
        assert _pages_on(world.processes[voter]) >= before


def test_pages_of_a_withdrawn_version_on_an_old_disk_are_let_go_of() -> None:
    world = _stood()
    heal = _drop(world, "g4")
    old = world.processes["g5"]
    world.processes["g1"].propose(1, 0)
    world.kernel.run(world.kernel.now + 3 * S)
    assert world.checker.latest is not None
    assert world.checker.latest.pending is not None
    withdrawn = _of_versions(world, world.checker.latest.pending)
    old.disk.take_snapshot()
    old.kill()
    world.processes["g2"].withdraw()
    heal()
    world.kernel.run(world.kernel.now + 3 * S)
    old.disk.synced = dict(old.disk.snapshots[-1])
    assert withdrawn <= _pages_on(old)
    old.start()
    register_state = _rested(world)
    assert _pages_on(old) == _of_versions(world, register_state.active)


def test_a_disk_of_the_version_before_is_read_as_it_is() -> None:
    """A member of a tier of its own, with a state and a roster as whole contents."""
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
    # The next version is a tree; the whole content goes once the process applies that.
    tree = build(some_entries(20), 500)
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


LARGE = Contents(some_entries(6000, size=250), 4096)


def test_a_change_brings_a_member_few_pages_of_a_large_state() -> None:
    world = World(1, 5, 3, contents=LARGE, write_interval=S)
    world.start()
    world.kernel.run(60 * S)  # all have it by then
    world.check_end()
    before = {name: _pages_on(process) for name, process in world.processes.items()}
    sent = _count(world, "g5")
    world.processes["g4"].propose(1, 0)
    register_state = _rested(world)
    assert register_state.active.serial == 2
    replies = [message for message in sent if isinstance(message, PageReply)]
    wire = Wire(Keys(1, {1: b"k" * 32}), "a-gateway-of-a-region-16", 1 << 47)
    size = sum(len(wire.seal("a-gateway-of-a-region-17", reply)) for reply in replies)
    assert 0 < size < 16 * 1024
    new = _pages_on(world.processes["g5"]) - before["g5"]
    assert 0 < len(new) <= 8
    assert len(before["g5"]) > 400


def test_a_newcomer_has_a_large_state_within_a_minute_while_gossip_goes_on() -> None:
    world = World(1, 5, 3, contents=LARGE, write_interval=S, late=["g5"])
    world.start()
    world.kernel.run(60 * S)
    assert world.checker.latest is not None
    newcomer = world.processes["g5"]
    newcomer.start()
    began = world.kernel.now
    while not (newcomer.applied_versions is not None and _member(world, "g5").is_caught_up()):
        world.kernel.run(world.kernel.now + S)
        assert world.kernel.now - began < 60 * S
    size = sum(len(newcomer.disk.synced[name]) for name in _pages_on(newcomer))
    assert size > 1.5e6
    world.kernel.run(world.kernel.now + 5 * S)
    assert _member(world, "g5").member_status(newcomer.clock()) is MemberStatus.ACTIVE


# --- The budget


def test_what_is_asked_for_and_what_is_answered_keeps_to_the_budget() -> None:
    tree = build(some_entries(600, size=2000), 4000)
    stores = {name: holding(tree) for name in "ab"}
    play = Play({name: honest(store) for name, store in stores.items()})
    digest = tree_digest(tree.root)
    play.want(digest, "a")
    assert play.run(digest)
    size = sum(len(compress(raw)) for raw in tree.pages.values())
    assert size > 1 << 20
    assert (size - BURST_BYTES) / BYTES_PER_SECOND < play.now / S < 1.6 * size / BYTES_PER_SECOND
    for begin in range(0, play.now, S // 4):
        for length in (1, 5):
            came = sum(size for at, size in play.came if begin <= at < begin + length * S)
            assert came <= BURST_BYTES + BYTES_PER_SECOND * length
    greedy = [PageRange(bytes.fromhex(page), 0, 16) for page in tree.pages][:16]
    sent = sum(
        len(block.data)
        for i in range(1000)
        for reply in stores["a"].answer_pages(PageRequest(greedy), play.now + i * 10_000)
        for block in reply.blocks
    )
    assert sent <= BURST_BYTES + 10 * BYTES_PER_SECOND


def test_the_whole_of_a_million_and_a_half_bytes_comes_within_a_minute() -> None:
    tree = build(some_entries(6000, size=250))
    size = sum(len(compress(raw)) for raw in tree.pages.values())
    assert size > 1.5e6
    play = Play({name: honest(holding(tree)) for name in "abcde"})
    play.loss = 0.05
    digest = tree_digest(tree.root)
    play.want(digest, "a")
    assert play.run(digest, 60 * S)
