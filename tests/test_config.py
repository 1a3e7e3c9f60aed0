"""What the gateway reads of its peers means in the module what it means on the simulator's wire."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from sailhitch.adapter import _load_report
from sailhitch.net.config import parse_load_report
from sailhitch.policy_interface import LoadReport
from tests.sockets import Server, Writer, answer, config_value, gate, request


def test_a_load_report_reaches_the_module_in_its_units() -> None:
    async def loaded(message: bytes, writer: Writer) -> None:
        writer.write(answer(b"", b"Srv-Load: depth=1.5,concurrent=4,mean_ms=20\r\n"))

    async def play() -> None:
        async with Server(loaded) as host, gate(("a", host.addr)) as it:
            client = await it.client()
            assert (await client.ask(request("r1")))[0] == 200
            # The simulator's wire says the same in its own form.
            told = _load_report("load", "depth:1.5,concurrent:4,mean_ms:20")
            assert told == LoadReport(1.5, 20_000.0, 4.0)
            server = it.pool.policy.endpoint_table.servers["a"]
            assert (server.queue_ewma, server.service_time_ewma) == (
                told.queue_length,
                told.service_time,
            )

    asyncio.run(play())


@pytest.mark.parametrize(
    "value",
    [b"", b"=", b"depth", b"depth=x,mean_ms=", b"depth=nan,mean_ms=inf", b"depth=-1", b"\xff=\xfe"],
)
def test_a_report_that_cannot_be_read_says_nothing(value: bytes) -> None:
    assert parse_load_report(value) == {}


@pytest.mark.parametrize(
    ("part", "key", "value", "says"),
    [
        ("limits", "attemptsCap", 0, "settings.limits.attemptsCap"),
        ("classes", "deadline", 0, "settings.classes[0].deadline"),
        ("classes", "goalTime", 0, "settings.classes[0].goalTime"),
        ("classes", "name", "", "settings.classes[0].name"),
    ],
)
def test_a_start_by_figures_that_cannot_be_is_refused_naming_the_field(
    part: str, key: str, value: object, says: str, tmp_path: Path
) -> None:
    wrong = config_value("127.0.0.1:9")
    at = wrong["settings"][part]
    (at[0] if isinstance(at, list) else at)[key] = value
    path = tmp_path / "config.json"
    path.write_text(json.dumps(wrong))
    env = {"EDGE_CONFIG": str(path), "PATH": os.environ["PATH"]}
    ended = subprocess.run(
        [sys.executable, "-B", "-m", "sailhitch"],
        env=env,
        capture_output=True,
        timeout=30,
        check=False,
    )
    assert ended.returncode == 2
    assert says.encode() in ended.stderr
