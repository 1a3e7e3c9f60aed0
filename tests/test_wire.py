"""The adapter's line protocol: a malformed line ends the process with one line of error."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys

import pytest

from sailhitch.adapter import main
from tests.fake import settings_value

CONFIG = json.dumps(settings_value())
INIT = (
    f"mark\t1000000\nattach\tgateway_0\t5\t{CONFIG}\n"
    "catalog\t0\t2\nm\t10.0.0.1:80\t1\t0\t0\tU\t-\t0\nm\t10.0.0.2:80\t1.5\t0\t0\tU\t0\t0\n"
    "roster_change\tgateway_0\trestored\t1\t0\n"
)
JOB = "job_in\tgateway_0\t9\t1\t12000\t3000000\t0\t91f03b7c55d20a64\t0\n"


def run_adapter(text: str | bytes) -> tuple[int, str, str]:
    raw = text if isinstance(text, bytes) else text.encode()
    sink, errors = io.BytesIO(), io.StringIO()
    code = main(io.BytesIO(raw), sink, errors)
    return code, sink.getvalue().decode(), errors.getvalue()


def test_a_batch_is_acknowledged_after_its_actions() -> None:
    code, out, err = run_adapter("mark\t5\nflush\n" + INIT + JOB + "flush\n")
    assert code == 0
    assert err == ""
    first, second = out.split("ack\n")[:2]
    assert first == ""
    assert second.startswith("relay\tgateway_0\t9\t10.0.0.")


@pytest.mark.parametrize(
    ("lines", "field"),
    [
        ("job_in\tgateway_0\t9\n", "expected 8 values"),
        (JOB.replace("gateway_0", "gateway_1"), "gatewayId"),
        (JOB.replace("\t9\t", "\tnine\t"), "req"),
        (JOB.replace("\t9\t", "\t-9\t"), "req"),
        (JOB.replace("3000000", "soon"), "clientDeadline"),
        (JOB.replace("91f0", "xyz!"), "key"),
        (JOB.replace("\t0\t91f0", "\t77\t91f0"), "grade"),
        ("done\tgateway_0\t9\t2\tdone\t0\t5\t10.0.0.1:80\t-\n", "closed"),
        ("done\tgateway_0\t9\t1\tfine\t0\t5\t10.0.0.1:80\t-\n", "code"),
        ("done\tgateway_0\t9\t1\tdone\t0\t5\t10.0.0.1:80\tdepth:x\n", "load"),
        ("done\tgateway_0\t9\t1\tdone\t0\t5\t10.0.0.1:80\tdepth:nan\n", "load"),
        ("catalog\t1\t1\nm\t10.0.0.1:80\tbig\t0\t0\tU\t-\t0\n", "weight"),
        ("catalog\t1\t1\nm\t10.0.0.1:80\t1\t0\t0\tX\t-\t0\n", "phase"),
        ("catalog\t1\t1\nx\t10.0.0.1:80\n", "entry"),
        ("catalog\t1\t2\nm\t10.0.0.1:80\t1\t0\t0\tU\t-\t0\n", "hosts"),
        ("roster_change\tgateway_0\treplace\t2\t7\n", "page"),
        ("roster_change\tgateway_0\tsometimes\t2\t0\n", "mode"),
        ("surprise\tgateway_0\n", "no such event"),
        ("attach\tgateway_2\t5\t{\n", "config"),
        ("attach\tgateway_2\t5\t{}\n", "limits"),
    ],
)
def test_a_malformed_line_ends_the_adapter_naming_line_and_field(lines: str, field: str) -> None:
    end = "" if "hosts" in field else "flush\n"
    code, _, err = run_adapter(INIT + lines + end)
    assert code == 2
    assert err.startswith("sailhitch: line ")
    assert field in err
    assert err.count("\n") == 1


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (INIT.encode() + b"flush\nmark\t999999\nflush\n", "clock went back"),
        (INIT.encode(), "ended inside a batch"),
        (INIT.encode() + b"left\tgateway_0\t\xff\xfe\nflush\n", "UTF-8"),
        (INIT.encode() + b"catalog\t1\t1\nm\t\xff\nflush\n", "UTF-8"),
        (b"flush\n", "expected mark"),
    ],
)
def test_a_malformed_stream_ends_the_adapter(text: bytes, message: str) -> None:
    code, _, err = run_adapter(text)
    assert code == 2
    assert message in err
    assert err.count("\n") == 1


def test_the_same_events_give_the_same_actions_under_any_hash_seed() -> None:
    jobs = "".join(
        f"job_in\tgateway_0\t{i}\t1\t12000\t3000000\t{i % 5}\t{i * 7919:016x}\t0\n"
        for i in range(200)
    )
    text = INIT + jobs + "flush\n"
    outs = []
    for seed in ("0", "1", "4711"):
        done = subprocess.run(
            [sys.executable, "-B", "-m", "sailhitch.adapter"],
            input=text.encode(),
            capture_output=True,
            check=True,
            env=os.environ | {"PYTHONHASHSEED": seed},
        )
        outs.append(done.stdout)
    assert outs[0] == outs[1] == outs[2]
    assert outs[0].count(b"relay") > 100
