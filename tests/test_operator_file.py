"""The operator file: valid files are read, and invalid ones rejected with an error per field."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, settings

from sailhitch.daemon.schema import (
    FileError,
    format_duration,
    load_file,
    parse_text,
    parse_value,
)
from sailhitch.daemon.state import canonical, digest, from_file, to_file
from tests.operator_files import FILE, values


def problems(text: str) -> list[str]:
    with pytest.raises(FileError) as caught:
        parse_text(text)
    return caught.value.problems


def changed(old: str, new: str) -> list[str]:
    assert old in FILE
    return problems(FILE.replace(old, new, 1))


def test_a_complete_file_is_read() -> None:
    operator_file = parse_text(FILE)
    assert operator_file.classes[1].aim == 2_500_000
    assert operator_file.pools[0].nodes[0].zone == "abuja-1"
    assert operator_file.routes[0].match.methods == ["POST"]


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('name = "g1"', 'nmae = "g1"', "gateway.nmae: unknown key (did you mean 'name'?)"),
        ("worth = 3.0", "wroth = 3.0", "classes[1].wroth: unknown key (did you mean 'worth'?)"),
        ("path_prefix", "path_prefx", "routes[0].match.path_prefx: unknown key"),
        ("weight = 1.0", "weight = 0", "pools[0].nodes[0].weight:"),
        ("weight = 1.0", "weight = -1.0", "pools[0].nodes[0].weight:"),
        ("weight = 1.0", "weight = nan", "pools[0].nodes[0].weight:"),
        ("weight = 1.0", "weight = inf", "pools[0].nodes[0].weight:"),
        ("weight = 1.0", 'weight = "1"', "pools[0].nodes[0].weight:"),
        ('"2.5s"', '"2.5"', "classes[1].aim: not a duration"),
        ('"2.5s"', "2500", "classes[1].aim: not a duration"),
        ('"2.5s"', '"0s"', "classes[1].aim: not above 0"),
        ('"2.5s"', '"9s"', "classes[1].aim: longer than the deadline"),
        ('"unsafe"', '"unsfae"', "classes[1].effect:"),
        ('"n2"', '"n1"', "pools[0].nodes[1].id: 'n1' is already used by pools[0].nodes[0]"),
        ('"m1"', '"n1"', "pools[1].nodes[0].id: 'n1' is already used by pools[0].nodes[0]"),
        (":9011", ":9002", "pools[1].nodes[0].address: '127.0.0.1:9002' is already used by"),
        (":9011", ":99011", "pools[1].nodes[0].address: not an address"),
        ('"next"', '"claims"', "pools[1].name: 'claims' is already used by pools[0]"),
        ("next = 0.05", "nxet = 0.05", "routes[0].pools: no pool is called 'nxet' (did you mean"),
        ('class = "page"', 'class = "pgae"', "routes[1].class: no class is called 'pgae'"),
        ("claims = 1.0", "claims = 0.0", "routes[1].pools: no pool has a weight above 0"),
        ('"/payouts"', '"payouts"', "routes[0].match.path_prefix: not a path"),
        ('"/payouts"', '"/a/../b"', "routes[0].match.path_prefix: a path with"),
        ('["POST"]', '["post"]', "routes[0].match.methods[0]: not a method"),
        ('address = "127.0.0.1:8080"', "", "listeners[0].address: required and missing"),
        ('name = "g1"', 'name = "g1"\ngateways = 3\nnumber = 3', "gateway.number: not below"),
        ("version = 1", "version = 7", "version: 7 is newer than this program supports"),
        ("version = 1", 'version = "1"', "version:"),
        ("version = 1", "", "version: required and missing"),
    ],
)
def test_an_error_names_its_field(old: str, new: str, expected: str) -> None:
    errors = changed(old, new)
    assert any(line.startswith(expected) for line in errors), errors


def test_all_errors_come_at_once() -> None:
    text = FILE.replace("weight = 1.0", "weight = nan").replace('"2.5s"', "1").replace("g1", "")
    assert len(problems(text)) == 3
    text = FILE.replace('"n2"', '"n1"').replace("next = 0.05", "nxet = 1.0")
    assert len(problems(text)) == 2


def test_contradictions_are_reported_together_with_invalid_fields() -> None:
    text = FILE.replace("weight = 1.0", "weight = nan").replace("worth", "wroth")
    text = text.replace('"n2"', '"n1"').replace("next = 0.05", "nxet = 1.0").replace(":9011", ":x")
    errors = problems(text)
    starts = [line.partition(":")[0] for line in errors]
    assert starts == [
        "classes[1].wroth",
        "pools[0].nodes[0].weight",
        "pools[1].nodes[0].address",
        "pools[0].nodes[1].id",
        "routes[0].pools",
    ]
    # If the name of a class is invalid, references to that class are not reported as well.
    errors = problems(FILE.replace('name = "payout"', 'name = "pay out"'))
    assert len(errors) == 1
    assert errors[0].startswith("classes[1].name: not a name")


def test_two_ambiguous_routes_are_reported() -> None:
    second_route = (
        '[[routes]]\nname = "other"\nmatch = { path_prefix = "/payouts/", methods = ["PUT", '
    )
    second_route += '"POST"] }\nclass = "page"\npools = { claims = 1.0 }\n'
    (error,) = problems(FILE + second_route)
    assert error.startswith("routes[2].match: a request can match it and routes[0] ('payouts')")


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"a = [", "not TOML"),
        (b"version = 1\n\xff = 2", "line 2: not UTF-8"),
        (b"a = " + b"[" * 100_000, "not TOML"),
        (b"", "version: required and missing"),
    ],
)
def test_an_unreadable_file_is_reported_with_the_reason(
    data: bytes, expected: str, tmp_path: Path
) -> None:
    path = tmp_path / "file.toml"
    path.write_bytes(data)
    with pytest.raises(FileError) as caught:
        load_file(path)
    assert str(path) in caught.value.problems[0]
    assert any(expected in line for line in caught.value.problems)


def test_a_missing_or_endless_file_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(FileError, match="No such file"):
        load_file(tmp_path / "none")
    with pytest.raises(FileError, match="larger than"):
        load_file("/dev/zero")


@settings(max_examples=60)
@given(values())
def test_a_state_keeps_everything_in_the_file(value: dict[str, object]) -> None:
    operator_file = parse_value(value)
    state = from_file(operator_file)
    restored = to_file(state, {"name": "g1"})
    assert from_file(restored) == state
    assert digest(from_file(restored)) == digest(state)


def test_the_order_of_objects_in_a_file_does_not_matter() -> None:
    operator_file = parse_text(FILE)
    value = operator_file.model_dump(mode="json", by_alias=True)
    for kind in ("classes", "pools", "routes"):
        value[kind].reverse()
    assert digest(from_file(parse_value(value))) == digest(from_file(operator_file))


def test_a_state_from_disk_is_validated_like_a_file() -> None:
    operator_file = parse_text(FILE)
    state = {kind: dict(objects) for kind, objects in from_file(operator_file).items()}
    state["nodes"]["nowhere/n9"] = dict(state["nodes"]["claims/n1"])
    with pytest.raises(FileError, match="no pool is called 'nowhere'"):
        to_file(state, {"name": "g1"})
    del state["nodes"]["nowhere/n9"]
    state["classes"] = {}
    with pytest.raises(FileError, match="no class is called"):
        to_file(state, {"name": "g1"})


@pytest.mark.parametrize(
    ("time", "expected"),
    [(2_000_000, "2s"), (2_500_000, "2500ms"), (1500, "1500us"), (60_000_000, "60s")],
)
def test_a_duration_is_formatted_as_in_the_file(time: int, expected: str) -> None:
    assert format_duration(time) == expected


def test_equal_values_have_one_canonical_encoding() -> None:
    assert canonical({"b": 1, "a": [1.0, None]}) == b'{"a":[1.0,null],"b":1}'
    with pytest.raises(ValueError, match=r"not JSON compliant|Out of range"):
        canonical(float("nan"))
