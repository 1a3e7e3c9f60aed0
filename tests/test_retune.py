"""New settings under load: applied completely or not at all; requests keep their class."""

from __future__ import annotations

import asyncio
import copy
import json
import signal
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sailhitch.core.request_classes import MAX_RETAINED, RequestClasses
from sailhitch.net.config import ConfigError, load_config, parse_config, reload_config
from sailhitch.net.intake import PREVIOUS_CLASSES_TTL
from sailhitch.settings import (
    Idempotency,
    parse_settings,
)
from tests.fake import GatewayHarness, S, settings_value
from tests.sockets import (
    Server,
    Writer,
    config_value,
    hosted_process,
    request,
    running_gateway,
    until,
)

TENANTS = [{"name": "a", "portion": 0.5, "quotaPerS": 5.0}]
VALUE = config_value("127.0.0.1:9", ("a", "127.0.0.1:8"), settings={"tenants": TENANTS})


def key_paths(value: Any, before: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """The path of each key that a later version of the file must also have."""
    if isinstance(value, dict):
        for key, child in value.items():
            if key not in ("known", "warmKeys"):
                yield (*before, key)
                yield from key_paths(child, (*before, key))
    elif isinstance(value, list):
        for i, child in enumerate(value):
            yield from key_paths(child, (*before, i))


def at(value: Any, path: tuple[Any, ...]) -> Any:
    for key in path:
        value = value[key]
    return value


@given(st.sampled_from(list(key_paths(VALUE))), st.sampled_from(["gone", None, {}, "x", -1]))
def test_a_file_with_a_missing_key_or_a_changed_type_is_rejected(
    tmp_path_factory: pytest.TempPathFactory, path: tuple[Any, ...], other: Any
) -> None:
    file = tmp_path_factory.getbasetemp() / "config.json"
    env = {"EDGE_CONFIG": str(file)}
    file.write_text(json.dumps(VALUE))
    before = load_config(env)
    changed = copy.deepcopy(VALUE)
    old = at(changed, path)
    if other == "gone":
        del at(changed, path[:-1])[path[-1]]
    elif isinstance(other, type(old)) or (isinstance(old, float) and other == -1):
        return
    else:
        at(changed, path[:-1])[path[-1]] = other
    file.write_text(json.dumps(changed))
    with pytest.raises(ConfigError, match=str(path[-1])):
        reload_config(env, before)
    # The number of classes and tenants may change.
    fewer_entries = copy.deepcopy(VALUE)
    fewer_entries["settings"]["classes"].pop()
    fewer_entries["settings"]["tenants"] = []
    file.write_text(json.dumps(fewer_entries))
    assert len(reload_config(env, before).settings.classes) == 4


@pytest.mark.parametrize(
    ("changes", "expected_errors"),
    [
        ({"limits": {"attemptsCap": 0}}, ["settings.limits.attemptsCap"]),
        ({"limits": {"attemptsCap": float("nan")}}, ["settings.limits.attemptsCap"]),
        ({"classes": []}, ["settings.classes"]),
        (
            {"classes": [{"name": "x", "deadline": 0, "goalTime": -1}] * 2},
            ["[0].deadline", "[0].goalTime", "[1].name", "[0].importance", "[0].repeat"],
        ),
    ],
)
def test_all_errors_are_reported_at_once(
    tmp_path: Path, changes: dict[str, Any], expected_errors: list[str]
) -> None:
    file = tmp_path / "config.json"
    env = {"EDGE_CONFIG": str(file)}
    file.write_text(json.dumps(VALUE))
    before = load_config(env)
    file.write_text(json.dumps(VALUE | {"settings": settings_value(**changes)}))
    with pytest.raises(ConfigError) as caught:
        reload_config(env, before)
    for error in expected_errors:
        assert error in str(caught.value)


def test_invalid_files_change_nothing_and_the_next_valid_one_is_applied(tmp_path: Path) -> None:
    async def play() -> None:
        path = tmp_path / "config.json"
        async with hosted_process(path, Server()) as (program, client):
            valid = json.loads(path.read_text())
            text = json.dumps(valid)
            broken = ["", text[: len(text) // 2], "[]", json.dumps({**valid, "settings": {}})]
            invalid = copy.deepcopy(valid)
            invalid["settings"]["classes"][0]["deadline"] = 0
            for i, bad in enumerate([*broken, json.dumps(invalid)]):
                path.write_text(bad)
                program.send_signal(signal.SIGHUP)
                for j in range(20):
                    assert await client.ask(request(f"r{i}-{j}")) == (200, b"served")
            valid["settings"]["classes"][0]["name"] = "renamed"
            path.write_text(json.dumps(valid))
            program.send_signal(signal.SIGHUP)
            async with asyncio.timeout(30):
                n = 0
                current_client = client
                while (await current_client.ask(request(f"n{n}", kind="renamed")))[0] != 200:
                    n += 1
                    current_client = await current_client.reconnect()

    asyncio.run(play())


def test_a_request_keeps_its_class_through_three_settings_changes() -> None:
    go = asyncio.Event()

    async def resets(message: bytes, writer: Writer) -> None:
        await go.wait()
        writer.transport.abort()

    async def play() -> None:
        async with Server(resets) as host, running_gateway(("a", host.addr)) as it:
            safe_client, unsafe_client, incomplete = [await it.client() for _ in range(3)]
            safe_client.send(request("safe"))
            unsafe_client.send(request("effect", b"b"))
            incomplete.send(request("half", b"body")[:-1])
            await until(lambda: len(host.seen) == 2 and len(it.clients()) == 3)
            await until(lambda: any(c.incoming is not None for c in it.clients()))
            for effects in (
                (Idempotency.UNSAFE, Idempotency.SAFE),
                (Idempotency.UNSAFE, Idempotency.UNSAFE),
                (Idempotency.SAFE, Idempotency.SAFE),
            ):
                _apply_settings(it, *effects)
            # After a reset, a request that arrived as safe is retried; any other never is.
            go.set()
            assert (await safe_client.answer())[0] == 503
            assert (await unsafe_client.answer())[0] == 502
            incomplete.send(b"y")
            assert (await incomplete.answer())[0] == 502
            names = [m.split(b"Req-Id: ")[1].split(b"\r")[0] for m in host.seen]
            assert names.count(b"safe") == 2
            assert names.count(b"effect") == names.count(b"half") == 1
            assert it.core.counters.panics == 0

    asyncio.run(play())


def _apply_settings(it: Any, pure: str, unsafe: str) -> None:
    """Apply settings in which these two classes have another idempotency, in another order."""
    value = settings_value()["classes"]
    value[0]["repeat"], value[1]["repeat"] = pure, unsafe
    settings = {"classes": value[::-1], "limits": {"attemptsCap": 2}}
    it.platform.reconfigure(parse_config(config_value("127.0.0.1:9", settings=settings), {}))


def test_a_previous_class_is_accepted_briefly_with_the_stricter_idempotency() -> None:
    async def play() -> None:
        async with Server() as host, running_gateway(("a", host.addr)) as it:
            _apply_settings(it, Idempotency.UNSAFE, Idempotency.UNSAFE)
            client = await it.client()
            assert await client.ask(request("r1", b"", kind="pure-all")) == (200, b"served")
            assert await client.ask(request("r2")) == (
                200,
                b"served",
            )  # a GET: safe
            previous_class = it.platform.intake.previous[b"pure-all"]
            assert (previous_class.idempotency, previous_class.request_class.idempotency) == (
                Idempotency.SAFE,
                Idempotency.UNSAFE,
            )
            it.platform.intake.previous_until -= PREVIOUS_CLASSES_TTL
            assert (await client.ask(request("r3")))[0] == 400
            assert len(host.seen) == 2

    asyncio.run(play())


@given(st.lists(st.sets(st.integers(0, 5)), max_size=12), st.integers(0, 30))
def test_every_class_of_open_requests_keeps_an_index(
    revisions: list[set[int]], interval: int
) -> None:
    template = parse_settings(settings_value()).classes[0]
    classes = [replace(template, name=str(i)) for i in range(6)]
    known_classes, now = RequestClasses(classes), 0
    for revision in revisions:
        now += interval * S
        before = known_classes.current
        listed = known_classes.replace(now, tuple(replace(classes[i]) for i in sorted(revision)))
        for request_class in (*before, *known_classes.current):
            number = known_classes.number(request_class)
            assert number is not None
            assert listed[number] is request_class
        assert len(listed) <= MAX_RETAINED + 6


def test_learned_state_is_kept_across_new_settings() -> None:
    harness = GatewayHarness(tenants=TENANTS)
    gateway = harness.gateway
    gateway.overload.class_latency[:] = [1.0, 2.0, 3.0, 4.0, 5.0]
    gateway.overload.arrivals[:] = [float(i) for i in range(len(gateway.overload.arrivals))]
    gateway.overload.tenant_tokens[0] = 0.25
    total = sum(gateway.overload.arrivals)
    value = settings_value(tenants=[{"name": "new", "quotaPerS": 1.0}, *TENANTS])
    value["classes"] = [*value["classes"][:0:-1], {**value["classes"][0], "name": "new"}]
    gateway.reconfigure(harness.now, parse_settings(value))
    assert gateway.overload.class_latency == [5.0, 4.0, 3.0, 2.0, 0.0]
    assert sum(gateway.overload.arrivals) == total
    assert gateway.overload.tenant_tokens == [1.0, 0.25]
    assert gateway.settings.classes[0].idempotency == Idempotency.KEYED
