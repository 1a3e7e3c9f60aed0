"""New settings under load: taken whole or not at all, and requests keep their class."""

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
from tests.fake import S, World, settings_value
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


def paths(value: Any, before: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """The way to each key that the next file must have too."""
    if isinstance(value, dict):
        for key, under in value.items():
            if key not in ("known", "warmKeys"):
                yield (*before, key)
                yield from paths(under, (*before, key))
    elif isinstance(value, list):
        for i, under in enumerate(value):
            yield from paths(under, (*before, i))


def at(value: Any, path: tuple[Any, ...]) -> Any:
    for key in path:
        value = value[key]
    return value


@given(st.sampled_from(list(paths(VALUE))), st.sampled_from(["gone", None, {}, "x", -1]))
def test_a_file_without_a_key_or_with_another_kind_under_it_is_refused(
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
    # A class or a tenant fewer, or more, is no sign of a broken file.
    fewer = copy.deepcopy(VALUE)
    fewer["settings"]["classes"].pop()
    fewer["settings"]["tenants"] = []
    file.write_text(json.dumps(fewer))
    assert len(reload_config(env, before).settings.classes) == 4


@pytest.mark.parametrize(
    ("part", "wrong"),
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
def test_all_that_is_wrong_is_told_at_once(
    tmp_path: Path, part: dict[str, Any], wrong: list[str]
) -> None:
    file = tmp_path / "config.json"
    env = {"EDGE_CONFIG": str(file)}
    file.write_text(json.dumps(VALUE))
    before = load_config(env)
    file.write_text(json.dumps(VALUE | {"settings": settings_value(**part)}))
    with pytest.raises(ConfigError) as caught:
        reload_config(env, before)
    for one in wrong:
        assert one in str(caught.value)


def test_broken_files_change_nothing_and_the_next_good_one_holds(tmp_path: Path) -> None:
    async def play() -> None:
        path = tmp_path / "config.json"
        async with hosted_process(path, Server()) as (program, client):
            good = json.loads(path.read_text())
            text = json.dumps(good)
            broken = ["", text[: len(text) // 2], "[]", json.dumps({**good, "settings": {}})]
            slipped = copy.deepcopy(good)
            slipped["settings"]["classes"][0]["deadline"] = 0
            for i, bad in enumerate([*broken, json.dumps(slipped)]):
                path.write_text(bad)
                program.send_signal(signal.SIGHUP)
                for j in range(20):
                    assert await client.ask(request(f"r{i}-{j}")) == (200, b"served")
            good["settings"]["classes"][0]["name"] = "renamed"
            path.write_text(json.dumps(good))
            program.send_signal(signal.SIGHUP)
            async with asyncio.timeout(30):
                n = 0
                asking = client
                while (await asking.ask(request(f"n{n}", kind="renamed")))[0] != 200:
                    n += 1
                    asking = await asking.reconnect()

    asyncio.run(play())


def test_a_request_keeps_its_class_through_three_retunes() -> None:
    go = asyncio.Event()

    async def resets(message: bytes, writer: Writer) -> None:
        await go.wait()
        writer.transport.abort()

    async def play() -> None:
        async with Server(resets) as host, running_gateway(("a", host.addr)) as it:
            safe, effect, half = [await it.client() for _ in range(3)]
            safe.send(request("safe"))
            effect.send(request("effect", b"b"))
            half.send(request("half", b"body")[:-1])
            await until(lambda: len(host.seen) == 2 and len(it.clients()) == 3)
            await until(lambda: any(c.incoming is not None for c in it.clients()))
            for effects in (
                (Idempotency.UNSAFE, Idempotency.SAFE),
                (Idempotency.UNSAFE, Idempotency.UNSAFE),
                (Idempotency.SAFE, Idempotency.SAFE),
            ):
                _retune(it, *effects)
            # What was safe goes out again after a reset; what was not never does.
            go.set()
            assert (await safe.answer())[0] == 503
            assert (await effect.answer())[0] == 502
            half.send(b"y")
            assert (await half.answer())[0] == 502
            names = [m.split(b"Req-Id: ")[1].split(b"\r")[0] for m in host.seen]
            assert names.count(b"safe") == 2
            assert names.count(b"effect") == names.count(b"half") == 1
            assert it.core.counters.panics == 0

    asyncio.run(play())


def _retune(it: Any, pure: str, unsafe: str) -> None:
    """New settings in which these two classes have another effect, and another order."""
    value = settings_value()["classes"]
    value[0]["repeat"], value[1]["repeat"] = pure, unsafe
    settings = {"classes": value[::-1], "limits": {"attemptsCap": 2}}
    it.platform.reconfigure(parse_config(config_value("127.0.0.1:9", settings=settings), {}))


def test_the_old_form_of_a_class_is_taken_for_a_moment_and_held_to_the_stricter_effect() -> None:
    async def play() -> None:
        async with Server() as host, running_gateway(("a", host.addr)) as it:
            _retune(it, Idempotency.UNSAFE, Idempotency.UNSAFE)
            client = await it.client()
            assert await client.ask(request("r1", b"", kind="pure-all")) == (200, b"served")
            assert await client.ask(request("r2")) == (200, b"served")  # as a safe one: a GET
            older = it.platform.intake.previous[b"pure-all"]
            assert (older.idempotency, older.request_class.idempotency) == (
                Idempotency.SAFE,
                Idempotency.UNSAFE,
            )
            it.platform.intake.previous_until -= PREVIOUS_CLASSES_TTL
            assert (await client.ask(request("r3")))[0] == 400
            assert len(host.seen) == 2

    asyncio.run(play())


@given(st.lists(st.sets(st.integers(0, 5)), max_size=12), st.integers(0, 30))
def test_any_class_that_a_request_may_have_has_its_place(turns: list[set[int]], every: int) -> None:
    known = parse_settings(settings_value()).classes[0]
    classes = [replace(known, name=str(i)) for i in range(6)]
    known_classes, now = RequestClasses(classes), 0
    for turn in turns:
        now += every * S
        before = known_classes.current
        listed = known_classes.replace(now, tuple(replace(classes[i]) for i in sorted(turn)))
        for kind in (*before, *known_classes.current):
            number = known_classes.number(kind)
            assert number is not None
            assert listed[number] is kind
        assert len(listed) <= MAX_RETAINED + 6


def test_what_the_module_knows_outlasts_new_settings() -> None:
    world = World(tenants=TENANTS)
    gateway = world.gateway
    gateway.overload.class_latency[:] = [1.0, 2.0, 3.0, 4.0, 5.0]
    gateway.overload.arrivals[:] = [float(i) for i in range(len(gateway.overload.arrivals))]
    gateway.overload.tenant_tokens[0] = 0.25
    total = sum(gateway.overload.arrivals)
    value = settings_value(tenants=[{"name": "new", "quotaPerS": 1.0}, *TENANTS])
    value["classes"] = [*value["classes"][:0:-1], {**value["classes"][0], "name": "new"}]
    gateway.reconfigure(world.now, parse_settings(value))
    assert gateway.overload.class_latency == [5.0, 4.0, 3.0, 2.0, 0.0]
    assert sum(gateway.overload.arrivals) == total
    assert gateway.overload.tenant_tokens == [1.0, 0.25]
    assert gateway.settings.classes[0].idempotency == Idempotency.KEYED
