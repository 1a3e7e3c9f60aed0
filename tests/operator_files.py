"""Operator files for tests: an example, and random ones for property tests."""

from __future__ import annotations

from typing import Any

from hypothesis import strategies as st

FILE = """
version = 1
[gateway]
name = "g1"
[[listeners]]
name = "web"
address = "127.0.0.1:8080"
[[classes]]
name = "page"
aim = "1s"
deadline = "3s"
[[classes]]
name = "payout"
effect = "unsafe"
aim = "2.5s"
deadline = "5s"
worth = 3.0
[[tenants]]
name = "kano-grain"
share = 0.22
[[pools]]
name = "claims"
[[pools.nodes]]
id = "n1"
address = "127.0.0.1:9001"
zone = "abuja-1"
weight = 1.0
[[pools.nodes]]
id = "n2"
address = "127.0.0.1:9002"
[[pools]]
name = "next"
[[pools.nodes]]
id = "m1"
address = "127.0.0.1:9011"
[[routes]]
name = "payouts"
match = { path_prefix = "/payouts", methods = ["POST"] }
class = "payout"
pools = { claims = 0.95, next = 0.05 }
[[routes]]
name = "all"
class = "page"
pools = { claims = 1.0 }
"""


def nodes(draw: Any, pool: int, max_nodes: int) -> list[dict[str, Any]]:
    ids = draw(st.sets(st.integers(0, 30), max_size=max_nodes))
    return [
        {
            "id": f"p{pool}n{i}",
            "address": f"10.0.{pool}.{i}:{draw(st.sampled_from([9000, 9001]))}",
            "zone": draw(st.sampled_from(["", "a", "b"])),
            "cell": draw(st.sampled_from(["", "c"])),
            "weight": draw(st.sampled_from([0.5, 1.0, 3.0])),
        }
        for i in sorted(ids)
    ]


@st.composite
def values(draw: Any) -> dict[str, Any]:
    """The decoded value of a valid file with random objects of each kind."""
    pools = sorted(draw(st.sets(st.integers(0, 3), min_size=1)))
    classes = sorted(draw(st.sets(st.integers(0, 3), min_size=1)))
    tenants = sorted(draw(st.sets(st.integers(0, 3))))
    effects = st.sampled_from([None, "safe", "keyed", "unsafe"])
    routes = []
    for i in sorted(draw(st.sets(st.integers(0, 8)))):
        split = draw(st.dictionaries(st.sampled_from(pools), st.sampled_from([0.5, 1.0, 9.0])))
        split = split or {pools[0]: 1.0}
        match = {"path_prefix": f"/r{i}", "methods": draw(st.sampled_from([[], ["GET"]]))}
        if tenants and draw(st.booleans()):
            match["tenant"] = f"t{tenants[0]}"
        routes.append(
            {
                "name": f"r{i}",
                "match": match,
                "class": f"c{draw(st.sampled_from(classes))}",
                "pools": {f"p{p}": w for p, w in split.items()},
            }
        )
    return {
        "version": 1,
        "gateway": {"name": "g1"},
        "listeners": [
            {"name": f"l{i}", "address": f"127.0.0.1:{8000 + i}"}
            for i in sorted(draw(st.sets(st.integers(0, 3))))
        ],
        "classes": [
            {
                "name": f"c{i}",
                "effect": draw(effects),
                "aim": "1s",
                "deadline": draw(st.sampled_from(["2s", "2500ms"])),
            }
            for i in classes
        ],
        "tenants": [{"name": f"t{i}", "share": draw(st.sampled_from([0.1, 0.5]))} for i in tenants],
        "pools": [{"name": f"p{i}", "nodes": nodes(draw, i, 4)} for i in pools],
        "routes": routes,
    }
