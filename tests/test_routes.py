"""Route lookup, compared with a linear search, and splits that keep keys in their pools."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sailhitch.daemon.routes import (
    Match,
    PathError,
    Route,
    RouteQuery,
    Routes,
    StickyPools,
    choose_pool,
    find_ambiguous_routes,
    normalize_host,
    normalize_path,
)


def route(name: str, **match: Any) -> Route:
    return Route(name, Match(**match), "page", (("p", 1.0),))


def found(routes: Routes, method: str, path: str, **more: Any) -> str | None:
    match = routes.find(RouteQuery(method, path, **more))
    return None if match is None else match.name


TABLE = Routes(
    [
        route("rest"),
        route("claims", path_prefix="/claims"),
        route("posts", path_prefix="/claims", methods=frozenset({"POST"})),
        route("deep", path_prefix="/claims/new/"),
        route("wide", path_prefix="/", host="*.example.org"),
        route("exact", path_prefix="/", host="a.example.org"),
        route("kano", path_prefix="/claims", tenant="kano"),
        route("class", path_prefix="/claims", cls="bulk"),
        route("beta", path_prefix="/claims", header=(("x-beta", "1"),)),
    ]
)


@pytest.mark.parametrize(
    ("query", "name"),
    [
        (RouteQuery("GET", "/"), "rest"),
        (RouteQuery("GET", "/claimsx"), "rest"),
        (RouteQuery("GET", "/claims"), "claims"),
        (RouteQuery("GET", "/claims/"), "claims"),
        (RouteQuery("GET", "/claims/7"), "claims"),
        (RouteQuery("POST", "/claims/7"), "posts"),
        (RouteQuery("POST", "/claims/new/1"), "deep"),
        (RouteQuery("GET", "/claims", "a.example.org"), "exact"),
        (RouteQuery("GET", "/claims", "b.example.org"), "wide"),
        (RouteQuery("GET", "/claims", "x.b.example.org"), "wide"),
        (RouteQuery("GET", "/claims", "example.org"), "claims"),
        (RouteQuery("POST", "/claims", tenant="kano"), "kano"),
        (RouteQuery("POST", "/claims", tenant="kano", cls="bulk"), "kano"),
        (RouteQuery("POST", "/claims", tenant="other", cls="bulk"), "class"),
        (RouteQuery("POST", "/claims", header={"x-beta": "1"}), "beta"),
        (RouteQuery("POST", "/claims", header={"x-beta": "2"}), "posts"),
    ],
)
def test_the_most_specific_route_wins(query: RouteQuery, name: str) -> None:
    match = TABLE.find(query)
    assert match is not None
    assert match.name == name


def test_no_route_is_found_if_none_matches() -> None:
    assert found(Routes([]), "GET", "/") is None
    assert found(Routes([route("a", path_prefix="/a")]), "GET", "/b") is None


matches = st.builds(
    Match,
    path_prefix=st.sampled_from(["/", "/a", "/a/b", "/a/b/", "/c"]),
    host=st.sampled_from([None, "*.x.org", "h.x.org", "*.org"]),
    methods=st.sampled_from([frozenset(), frozenset({"GET"}), frozenset({"GET", "POST"})]),
    header=st.sampled_from([(), (("n", "1"),), (("n", "2"),), (("m", "1"), ("n", "1"))]),
    cls=st.sampled_from([None, "c"]),
    tenant=st.sampled_from([None, "t", "u"]),
)
requests = st.builds(
    RouteQuery,
    method=st.sampled_from(["GET", "POST", "PUT"]),
    path=st.sampled_from(["/", "/a", "/a/b", "/a/b/c", "/ab", "/c/"]),
    host=st.sampled_from(["", "h.x.org", "g.x.org", "y.org"]),
    header=st.sampled_from([{}, {"n": "1"}, {"n": "1", "m": "1"}, {"n": "2"}]),
    cls=st.sampled_from([None, "c", "d"]),
    tenant=st.sampled_from([None, "t", "u"]),
)


def reference_matches(match: Match, query: RouteQuery) -> bool:
    prefix = match.path_prefix.rstrip("/")
    host = match.host
    return (
        (query.path.rstrip("/") + "/").startswith(prefix + "/")
        and (
            host is None or host == query.host or (host[0] == "*" and query.host.endswith(host[1:]))
        )
        and (not match.methods or query.method in match.methods)
        and match.cls in (None, query.cls)
        and match.tenant in (None, query.tenant)
        and all(query.header.get(n) == v for n, v in match.header)
    )


def _under(pattern: str, host: str) -> bool:
    return pattern[0] == "*" and host.endswith(pattern[1:])


def reference_precedence(match: Match) -> tuple[Any, ...]:
    host = match.host or ""
    return (
        0 if not host else 2 if host[0] != "*" else 1,
        len(host),
        len(match.path_prefix.rstrip("/")),
        match.tenant is not None,
        match.cls is not None,
        len(match.header),
        bool(match.methods),
    )


@settings(max_examples=400)
@given(st.lists(matches, max_size=8), st.lists(requests, min_size=1, max_size=10))
def test_the_lookup_agrees_with_a_linear_search_and_all_ties_are_reported(
    conditions: list[Match], queries: list[RouteQuery]
) -> None:
    routes = [Route(str(i), match, "c", (("p", 1.0),)) for i, match in enumerate(conditions)]
    pairs = {(a.name, b.name) for a, b in find_ambiguous_routes(routes)}
    table = Routes(routes)
    for query in queries:
        matching = [r for r in routes if reference_matches(r.match, query)]
        best = max((reference_precedence(r.match) for r in matching), default=None)
        winners = [r.name for r in matching if reference_precedence(r.match) == best]
        for i, name in enumerate(winners):
            assert all((name, other) in pairs for other in winners[i + 1 :])
        if len(winners) <= 1:
            got = table.find(query)
            assert [got.name] if got else winners == []


@pytest.mark.parametrize(
    ("target", "path"),
    [
        (b"/a/b?c=/../d", "/a/b"),
        (b"/%61/%7Eb", "/a/~b"),
        (b"/a%20b", "/a%20b"),
        (b"/a%e9", "/a%E9"),
        (b"*", "/"),
        (b"http://host/a/b?c", "/a/b"),
        (b"http://host", "/"),
    ],
)
def test_a_path_is_normalized(target: bytes, path: str) -> None:
    assert normalize_path(target) == path


@pytest.mark.parametrize(
    "target",
    [
        b"/a/../b",
        b"/./a",
        b"/a/%2e%2E/b",
        b"/a%2fb",
        b"/a%5Cb",
        b"/a%00",
        b"/a%",
        b"/a%4",
        b"/a%zz",
        b"a/b",
        b"mailto:x",
    ],
)
def test_an_ambiguous_path_is_rejected(target: bytes) -> None:
    with pytest.raises(PathError):
        normalize_path(target)


def test_a_host_is_compared_without_its_port_and_case() -> None:
    assert normalize_host("A.Example.Org:8080") == "a.example.org"
    assert normalize_host("[::1]:80") == "[::1]"
    assert normalize_host("a.org.") == "a.org"


KEYS = [str(i).encode() for i in range(4000)]


def test_a_split_is_by_weight_and_stable_by_key() -> None:
    split = [("claims", 0.95), ("next", 0.05)]
    chosen = [choose_pool(split, key) for key in KEYS]
    assert chosen == [choose_pool(list(reversed(split)), key) for key in KEYS]
    assert 0.03 < chosen.count("next") / len(KEYS) < 0.07


def test_a_changed_split_moves_only_the_keys_that_must_move() -> None:
    old = [("a", 0.6), ("b", 0.3), ("c", 0.1)]
    new = [("a", 0.3), ("b", 0.3), ("c", 0.4)]
    moved = [
        (choose_pool(old, key), choose_pool(new, key))
        for key in KEYS
        if choose_pool(old, key) != choose_pool(new, key)
    ]
    assert {before for before, _ in moved} <= {"a", "b"}
    assert {after for _, after in moved} <= {"b", "c"}
    assert len(moved) < 0.4 * len(KEYS)
    scaled = [("a", 6.0), ("b", 3.0), ("c", 1.0)]
    assert all(choose_pool(old, key) == choose_pool(scaled, key) for key in KEYS)


def test_a_pool_without_weight_gets_nothing() -> None:
    assert {choose_pool([("a", 0.0), ("b", 1.0)], key) for key in KEYS} == {"b"}
    with pytest.raises(ValueError, match="no pool"):
        choose_pool([("a", 0.0)], b"k")


def test_a_key_stays_with_its_pool_for_its_window_and_memory_is_bounded() -> None:
    sticky: StickyPools[str] = StickyPools(max_keys=10)
    sticky.remember(b"k", "claims", 0, 100)
    assert sticky.get(b"k", 99) == "claims"
    assert sticky.get(b"k", 100) is None
    for i in range(50):
        sticky.remember(str(i).encode(), "p", 0, 1000)
    assert len(sticky) == 10
    assert sticky.get(b"49", 1) == "p"
    sticky.remember(b"late", "p", 5000, 6000)
    assert len(sticky) == 1
