"""Tests of the scale rig at a small size. They check its counts, never its durations."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Iterator
from pathlib import Path
from typing import Any, get_args

import pytest

from benchmarks.scale import figures, fleet, full_state, report
from benchmarks.scale.__main__ import main, run_experiment
from benchmarks.scale.experiments import EXPERIMENTS, Options, change, idle, one_change, settle
from benchmarks.scale.fleet import Fleet, Size, check_memory
from benchmarks.scale.hollow import KINDS
from benchmarks.scale.processes import ROOT, RigError, logged_serial
from sailhitch.daemon.state_tree import to_tree
from sailhitch.tier.messages import Message
from tests.sockets import TEST_TIMEOUT

HOLLOW = 12
SMALL = Size(members=HOLLOW + 1, daemons=1, voters=3, fraction=0.001)
ONLY_HOLLOW = Size(members=HOLLOW, daemons=0, voters=3, fraction=0.001)
QUICK = Options(seconds=1.0, patience=30.0, repeats=1)


@pytest.fixture
def short_path() -> Iterator[Path]:
    """A folder whose path is short enough for a Unix socket, which pytest's may not be."""
    with tempfile.TemporaryDirectory(prefix="s") as folder:
        yield Path(folder)


def log_progress(text: str) -> None:
    """Discard the message."""


def processes_of(folder: Path) -> list[str]:
    """Return the command lines of processes that were started with a path in this folder."""
    found = []
    for file in Path("/proc").glob("[0-9]*/cmdline"):
        with contextlib.suppress(OSError):
            line = file.read_bytes().replace(b"\0", b" ").decode(errors="replace")
            if str(folder) in line:
                found.append(line)
    return found


@contextlib.asynccontextmanager
async def running(size: Size, folder: Path) -> AsyncIterator[Fleet]:
    made = Fleet(size, folder, log_progress)
    try:
        await made.start()
        yield made
    finally:
        await made.stop()
    assert processes_of(folder) == []


def counts(part: dict[str, Any], way: str) -> dict[str, list[int]]:
    found: dict[str, list[int]] = part["window"]["hollow"]["counts"][way]
    return found


def test_change_reaches_all_members_and_each_message_kind_is_counted(short_path: Path) -> None:
    async def go() -> dict[str, Any]:
        async with running(SMALL, short_path) as made:
            await settle(made, QUICK)
            return await change(made, QUICK)

    found = asyncio.run(go())
    for kind in ("weight", "ban"):
        part = found[kind]["plays"][0]
        assert part["refused"] == ""
        assert part["behind"] == 0
        assert part["in_force"]["count"] == HOLLOW + 1
        assert part["window"]["hollow_running"] == HOLLOW
        assert part["window"]["dropped_by_the_system"] == {"hollow": 0, "daemons": 0}
        sent, heard = counts(part, "sent"), counts(part, "heard")
        for message in ("promise", "accepted", "gossip", "lease question", "lease grant"):
            assert sent[message][0] > 0, message
        # Each hollow gateway has fetched the state, in at least one datagram.
        assert heard["page reply"][0] >= HOLLOW
        assert heard["page reply"][1] > heard["page reply"][0] * 100
        assert counts(part, "lost") == {}
        daemon = part["window"]["daemons"]["d1"]
        assert daemon["sent_bytes_s"] >= daemon["sent"]["all"]["bytes"] * 0.5 > 0
        assert daemon["heard"]["gossip"]["datagrams"] > 0
        assert daemon["rss_mb"] > 10


def test_loss_and_killed_members_are_in_the_figures(short_path: Path) -> None:
    async def go() -> tuple[dict[str, Any], dict[str, Any]]:
        options = Options(seconds=2.0, patience=30.0, loss=0.2, dead=0.1)
        async with running(ONLY_HOLLOW, short_path) as made:
            whole = await idle(made, options)
            await settle(made, options)
            return whole, await idle(made, options)

    whole, lossy = asyncio.run(go())
    assert counts(whole, "lost") == {}
    assert whole["window"]["hollow_running"] == HOLLOW
    assert lossy["window"]["hollow_running"] == HOLLOW - 1
    lost = figures.total({k: (n, b) for k, (n, b) in counts(lossy, "lost").items()})[0]
    heard = figures.total({k: (n, b) for k, (n, b) in counts(lossy, "heard").items()})[0]
    assert 0.1 < lost / (lost + heard) < 0.3


def test_member_that_fails_unnoticed_by_the_rig_counts_as_behind(short_path: Path) -> None:
    async def go() -> tuple[dict[str, Any], str]:
        options = Options(seconds=1.0, patience=5.0, repeats=1)
        async with running(ONLY_HOLLOW, short_path) as made:
            await settle(made, options)
            name = made.running_non_voters()[0]
            await made.command_all_hosts(
                "kill", who=[name]
            )  # bypasses `Fleet.kill`, so the rig still expects it to run
            found = await one_change(made, options, "weight")
            return found, (await made.in_force(made.serial))[1][0]

    part, behind = asyncio.run(go())
    assert part["behind"] == 1
    assert behind == "h0004"
    assert part["in_force"]["count"] == HOLLOW - 1


def test_change_refused_by_a_daemon_is_reported_in_the_figures(short_path: Path) -> None:
    async def go() -> dict[str, Any]:
        options = Options(seconds=1.0, patience=2.0, repeats=1)
        async with running(SMALL, short_path) as made:
            made.serial += 5  # the plan is based on a serial that is not active
            return await one_change(made, options, "weight")

    part = asyncio.run(go())
    assert "made against serial 6" in part["refused"]
    assert part["behind"] == HOLLOW + 1


def test_new_member_fetches_the_whole_state(short_path: Path) -> None:
    size = Size(members=HOLLOW + 1, daemons=1, voters=3, fraction=0.01)
    result = asyncio.run(run_experiment("newcomer", size, QUICK, log_progress))
    for kind in ("hollow", "daemon"):
        part = result["figures"][kind]
        assert part["all_in"] is not None
    # Only the new member fetches: all page replies are replies to it.
    alone = result["figures"]["hollow"]
    assert counts(alone, "heard")["page reply"][0] > 0
    pages = to_tree({**full_state.state(size.fraction), "listeners": {}}).pages
    assert alone["window"]["hollow"]["kept"]["pages"] == len(pages) > 1
    assert result["figures"]["daemon"]["after"]["cpu_s"] > 0
    daemon = result["figures"]["daemon"]["window"]["daemons"]["d1"]
    assert daemon["heard"]["page reply"]["datagrams"] > 0
    assert daemon["core_share"] > 0


@pytest.mark.parametrize("name", ["burst", "restart", "rack", "regions", "start"])
def test_each_event_ends_with_all_members_active(name: str, short_path: Path) -> None:
    result = asyncio.run(run_experiment(name, ONLY_HOLLOW, QUICK, log_progress))
    parts = [part for _, part in report.windows(result["figures"])]
    assert parts
    for part in parts:
        assert part.get("behind", 0) == 0
        assert part.get("out", 0) == 0
        assert part["window"]["hollow"]["counts"]["sent"]["gossip"][0] > 0
    assert result["members"] == HOLLOW
    assert result["processes"] == 2
    assert {"cores", "memory_mb", "python"} <= result["machine"].keys()
    assert result["commit"] is None or len(result["commit"]) == 40
    assert name in report.table([result])


async def wait_for_drop(made: Fleet, before: Any) -> Any:
    """Return the first snapshot in which the rig has dropped a datagram since `before`; bounded."""
    async with asyncio.timeout(TEST_TIMEOUT):
        while True:
            now = await made.take_snapshot(last=True)
            if figures.total(figures.traffic_by_kind(before, now, "lost", None))[0]:
                return now
            await asyncio.sleep(0.05)


def test_parted_regions_do_not_reach_each_other(short_path: Path) -> None:
    async def go() -> tuple[int, int]:
        async with running(ONLY_HOLLOW, short_path) as made:
            before = await made.take_snapshot(last=False)
            await made.set_faults(0.0, (1, 2))
            parted = await wait_for_drop(made, before)
            await made.set_faults(0.0)
            await made.wait_until("all members are active", made.all_active, TEST_TIMEOUT)
            joined = await made.take_snapshot(last=True)
            await asyncio.sleep(0.5)
            later = await made.take_snapshot(last=True)
            lost = figures.total(figures.traffic_by_kind(before, parted, "lost", None))[0]
            return lost, figures.total(figures.traffic_by_kind(joined, later, "lost", None))[0]

    lost, lost_later = asyncio.run(go())
    assert lost > 0
    assert lost_later == 0


# --- Exits and cleanup


@contextlib.contextmanager
def as_command(folder: Path, *more: str) -> Iterator[subprocess.Popen[str]]:
    """Run the command in its own process; yield it once its tier is up."""
    line = [sys.executable, "-m", "benchmarks.scale", "idle", "--members", "13", "--voters", "3"]
    program = subprocess.Popen(
        [*line, "--fraction", "0.001", "--seconds", "600", *more],
        cwd=ROOT,
        env=os.environ | {"TMPDIR": str(folder)},
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        assert program.stderr is not None
        assert any("begins" in said for said in program.stderr)
        assert len(processes_of(folder)) == 2
        yield program
    finally:
        program.kill()
        program.wait()
        assert program.stderr is not None
        program.stderr.close()


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_interrupt_leaves_no_process(number: int, short_path: Path) -> None:
    with as_command(short_path) as program:
        program.send_signal(number)
        assert program.wait(TEST_TIMEOUT) == 130
        assert processes_of(short_path) == []
        assert list(short_path.iterdir()) == []


def test_interrupt_ends_a_command_started_with_sigint_ignored(
    short_path: Path,
) -> None:
    handler = signal.signal(signal.SIGINT, signal.SIG_IGN)
    try:
        with as_command(short_path) as program:
            program.send_signal(signal.SIGINT)
            assert program.wait(TEST_TIMEOUT) == 130
    finally:
        signal.signal(signal.SIGINT, handler)


def test_kill_leaves_no_process(short_path: Path) -> None:
    with as_command(short_path) as program:
        program.kill()
        program.wait()

        async def gone() -> None:
            async with asyncio.timeout(TEST_TIMEOUT):
                while processes_of(short_path):
                    await asyncio.sleep(0.05)

        asyncio.run(gone())


def test_a_path_that_is_too_long_for_a_socket_is_refused(tmp_path: Path) -> None:
    long = tmp_path / ("x" * 100)
    with pytest.raises(RigError, match=r"TMPDIR: .*107 bytes at most"):
        fleet.admin_socket(long)


def test_daemon_that_exits_at_its_start_ends_the_run(
    short_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def file_with_missing_key(*positional: Any, **more: Any) -> dict[str, Any]:
        value = original(*positional, **more)
        if "tier" in value:
            value["tier"]["key_file"] = str(short_path / "none")
        return value

    original = full_state.operator_file
    monkeypatch.setattr(full_state, "operator_file", file_with_missing_key)

    async def go() -> None:
        async with running(SMALL, short_path):
            raise AssertionError("the fleet has started in spite of a missing key file")

    with pytest.raises(RigError, match=r"ended at its start: .*key_file"):
        asyncio.run(go())


def test_an_error_leaves_no_process(short_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def fails(made: Fleet, options: Options) -> dict[str, Any]:
        assert len(processes_of(made.folder)) == made.size.processes() - 1
        folders.append(made.folder)
        await made.host_of("h0001").send_command("no such command")
        raise AssertionError("an unknown command was accepted")

    folders: list[Path] = []
    monkeypatch.setitem(EXPERIMENTS, "idle", fails)
    with pytest.raises(RigError, match="no such command"):
        asyncio.run(run_experiment("idle", ONLY_HOLLOW, QUICK, log_progress))
    assert len(folders) == 1
    assert not folders[0].exists()
    assert processes_of(folders[0]) == []


# --- Refusals and output


def test_more_than_half_of_the_memory_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    assert check_memory(SMALL, 1000) > HOLLOW * fleet.HOLLOW_BASE_BYTES
    monkeypatch.setattr(figures, "machine_memory_kb", lambda name="MemTotal": 200_000)
    with pytest.raises(RigError, match="half of this machine's"):
        check_memory(SMALL, 1000)


@pytest.mark.parametrize(
    ("size", "why"),
    [
        (Size(100, voters=4), "--voters: 4"),
        (Size(100, daemons=2, voters=3, voters_are="real"), "more than the 2 real"),
        (Size(4000, daemons=0), "25 processes"),
        (Size(100_000, daemons=1), "a daemon takes"),
    ],
)
def test_sizes_that_cannot_be_run_are_refused(size: Size, why: str) -> None:
    with pytest.raises(RigError, match=why):
        size.check()


def test_every_message_of_the_tier_has_a_name_in_the_figures() -> None:
    tags = {str(one.__struct_config__.tag) for one in get_args(Message)}
    assert tags == KINDS.keys()


@pytest.mark.parametrize(
    ("line", "serial"),
    [
        ("10:00:00.000 d1 tier: turn 7: serial 12", 12),
        ("10:00:00.000 d1 tier: turn 7: serial 12, combined with pending 13", 12),
        ("10:00:00.000 d1 tier: turn 7 can't be applied: serial 12", None),
        ("10:00:00.000 d1 serial 3 (nobody), 4 nodes; ready", None),
    ],
)
def test_serials_are_read_from_a_daemons_log(line: str, serial: int | None) -> None:
    assert logged_serial(line) == serial


def test_a_chart_without_its_library_says_what_to_install(
    short_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    file = short_path / "results.jsonl"
    file.write_text("")
    monkeypatch.setitem(sys.modules, "matplotlib", None)
    assert main(["report", str(file), "--chart", str(short_path / "chart.png")]) == 1
    assert "sailhitch[scale]" in capsys.readouterr().err
    assert not (short_path / "chart.png").exists()


def test_datagrams_that_the_system_drops_are_counted_by_address(short_path: Path) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as here:
        here.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        here.bind(("127.77.0.1", 0))
        port = here.getsockname()[1]
        before = figures.system_drops(port)
        assert before == {"127.77.0.1": 0}
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as there:
            for _ in range(50):
                there.sendto(bytes(1000), ("127.77.0.1", port))
        after = figures.system_drops(port)
        assert 0 < after["127.77.0.1"] < 50
        assert figures.drops_since(before, after) == after["127.77.0.1"]
        assert (
            figures.drops_since(after, {"127.77.0.1": 3}) == 3
        )  # a lower count is that of a new socket


def test_results_that_are_no_json_are_refused_by_line(
    short_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = short_path / "results.jsonl"
    file.write_text(json.dumps({"experiment": "idle", "figures": {}}) + "\n{\n")
    assert main(["report", str(file)]) == 1
    assert "results.jsonl: line 2: not JSON" in capsys.readouterr().err
