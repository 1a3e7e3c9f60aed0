"""Values that the gateway parses: load reports of hosts, and its configuration."""

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
from tests.sockets import Server, Writer, answer, config_value, request, running_gateway


def test_a_load_report_reaches_the_module_in_its_units() -> None:
    async def reply_with_load(message: bytes, writer: Writer) -> None:
        writer.write(answer(b"", b"Srv-Load: depth=1.5,concurrent=4,mean_ms=20\r\n"))

    async def scenario() -> None:
        async with Server(reply_with_load) as host, running_gateway(("a", host.addr)) as gateway:
            client = await gateway.client()
            assert (await client.ask(request("r1")))[0] == 200
            # The same report in the format of the simulator's wire.
            expected = _load_report("load", "depth:1.5,concurrent:4,mean_ms:20")
            assert expected == LoadReport(1.5, 20_000.0, 4.0)
            server = gateway.pool.policy.endpoint_table.servers["a"]
            assert (server.queue_ewma, server.service_time_ewma) == (
                expected.queue_length,
                expected.service_time,
            )

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "value",
    [b"", b"=", b"depth", b"depth=x,mean_ms=", b"depth=nan,mean_ms=inf", b"depth=-1", b"\xff=\xfe"],
)
def test_a_malformed_report_is_ignored(value: bytes) -> None:
    assert parse_load_report(value) == {}


@pytest.mark.parametrize(
    ("part", "key", "value", "message"),
    [
        ("limits", "attemptsCap", 0, "settings.limits.attemptsCap"),
        ("classes", "deadline", 0, "settings.classes[0].deadline"),
        ("classes", "goalTime", 0, "settings.classes[0].goalTime"),
        ("classes", "name", "", "settings.classes[0].name"),
    ],
)
def test_a_start_with_invalid_values_is_refused_naming_the_field(
    part: str, key: str, value: object, message: str, tmp_path: Path
) -> None:
    config = config_value("127.0.0.1:9")
    section = config["settings"][part]
    (section[0] if isinstance(section, list) else section)[key] = value
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    env = {"EDGE_CONFIG": str(path), "PATH": os.environ["PATH"]}
    completed = subprocess.run(
        [sys.executable, "-B", "-m", "sailhitch"],
        env=env,
        capture_output=True,
        timeout=30,
        check=False,
    )
    assert completed.returncode == 2
    assert message.encode() in completed.stderr
