"""The `sailhitch` command: its output and exit codes."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from sailhitch.daemon.cli import main
from sailhitch.lab.files import toml_text
from sailhitch.lab.node import Node
from sailhitch.lab.ports import free_port
from tests.daemons import InProcessDaemon, file_value, in_process_daemon, pool
from tests.operator_files import FILE


def test_help_names_the_commands_and_codes(capsys: pytest.CaptureFixture[str]) -> None:
    for arguments in (["--help"], ["plan", "--help"], ["run", "--help"]):
        with pytest.raises(SystemExit) as caught:
            main(arguments)
        assert caught.value.code == 0
    printed = capsys.readouterr().out
    assert "Exit codes: 0 done, 1 error, 2 `plan` found changes, 3 `apply` was refused." in printed
    for command in ("run", "check", "state", "plan", "apply", "history", "hosts"):
        assert f"\n    {command} " in printed


@pytest.mark.parametrize("arguments", [[], ["explode"], ["check"], ["apply"]])
def test_an_invalid_command_line_exits_with_code_2(arguments: list[str]) -> None:
    with pytest.raises(SystemExit) as caught:
        main(arguments)
    assert caught.value.code == 2


def test_check_reports_errors_and_warnings(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "g.toml"
    path.write_text(FILE)
    assert main(["check", str(path)]) == 0
    printed = capsys.readouterr()
    assert "valid; 1 listeners, 2 classes, 1 tenants, 2 pools, 3 nodes, 2 routes" in printed.out
    assert "shares have no effect without gateway.rate" in printed.err
    path.write_text(FILE.replace("worth", "wroth").replace('"g1"', '""'))
    assert main(["check", str(path)]) == 1
    assert len(capsys.readouterr().err.splitlines()) == 2
    assert main(["check", "--json", str(path)]) == 1
    assert len(json.loads(capsys.readouterr().out)["errors"]) == 2


def test_an_unreachable_gateway_is_reported_with_the_next_step(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv("SAILHITCH_ADMIN", raising=False)
    assert main(["state"]) == 1
    assert "give --admin SOCKET" in capsys.readouterr().err
    assert main(["state", "--admin", str(tmp_path / "none")]) == 1
    assert "is the gateway running" in capsys.readouterr().err
    assert main(["apply", str(tmp_path / "none")]) == 1
    assert "No such file" in capsys.readouterr().err
    assert main(["plan", "--admin", "x"]) == 1
    assert "give either FILE or --to SERIAL" in capsys.readouterr().err


def test_run_rejects_an_invalid_file_and_a_port_in_use(tmp_path: Path) -> None:
    path = tmp_path / "g.toml"
    command = [sys.executable, "-m", "sailhitch.daemon.cli", "run", str(path)]
    path.write_text("version = 1\n")
    completed = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
    assert (completed.returncode, "gateway: required and missing" in completed.stderr) == (1, True)
    import socket

    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        path.write_text(toml_text(file_value([pool("p", {})], taken.getsockname()[1])))
        completed = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
    assert completed.returncode == 1
    assert "listeners[0] 'web'" in completed.stderr
    assert "in use" in completed.stderr


def test_run_prints_json_when_ready_and_serves_the_admin_socket_it_is_given(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path, socket = tmp_path / "g.toml", tmp_path / "other.sock"
    value = file_value([pool("p", {})], free_port())
    path.write_text(toml_text(value))
    command = [sys.executable, "-m", "sailhitch.daemon.cli", "run", str(path), "--json"]
    with subprocess.Popen(
        [*command, "--admin", str(socket)], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
    ) as process:
        assert process.stdout is not None
        try:
            ready = json.loads(process.stdout.readline())
            assert ready == {"ok": True, "gateway": "g1", "serial": 1}
            assert main(["check", str(path), "--admin", str(socket)]) == 0
            assert "the gateway matches the file" in capsys.readouterr().out
            path.write_text(toml_text({**value, "pools": [pool("p", {}), pool("q", {})]}))
            assert main(["check", str(path), "--admin", str(socket)]) == 0
            assert "the gateway differs" in capsys.readouterr().out
            assert main(["check", "--json", str(path), "--admin", str(socket)]) == 0
            assert json.loads(capsys.readouterr().out)["live"] is False
            process.terminate()
            assert process.wait(60) == 0
        finally:
            process.kill()


def test_a_change_is_planned_applied_and_reverted(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path, plan = tmp_path / "g.toml", tmp_path / "plan"

    async def command(it: InProcessDaemon, *arguments: str) -> tuple[int, str, str]:
        code = await asyncio.to_thread(main, [*arguments, "--admin", str(it.admin.path)])
        printed = capsys.readouterr()
        return code, printed.out, printed.err

    async def work() -> None:
        async with Node() as a, Node() as b:
            port = free_port()
            old = file_value([pool("p", {"a": a})], port)
            new: dict[str, Any] = file_value([pool("p", {"a": a, "b": b})], port)
            path.write_text(toml_text(old))
            async with in_process_daemon(tmp_path, old) as it:
                code, out, _ = await command(it, "plan", str(path))
                assert (code, out) == (
                    0,
                    "0 to add, 0 to remove, 0 to alter, against serial 1\n",
                )
                path.write_text(toml_text(new))
                code, out, _ = await command(it, "plan", str(path), "-o", str(plan))
                assert code == 2
                assert out.startswith("+ nodes p/b\n")
                stale = plan.read_text()
                code, out, _ = await command(it, "apply", str(plan))
                assert (code, out) == (
                    0,
                    "applied: 1 to add, 0 to remove, 0 to alter; serial 2\n",
                )
                plan.write_text(stale)
                code, _, err = await command(it, "apply", str(plan))
                assert code == 3
                assert "refused: made against serial 1, and the live state is 2" in err
                assert "serial 2, " in err
                code, out, _ = await command(it, "apply", str(plan), "--json")
                assert (code, json.loads(out)["code"]) == (3, "moved")
                code, out, _ = await command(it, "plan", "--to", "1", "-o", str(plan))
                assert (code, out.splitlines()[0]) == (2, "- nodes p/b")
                assert (await command(it, "apply", str(plan)))[0] == 0
                code, out, _ = await command(it, "history")
                assert [line.split()[0] for line in out.splitlines()] == ["1", "2", "3"]
                code, out, _ = await command(it, "state")
                assert "gateway g1, serial 3" in out
                assert "nodes p/a: address=" in out
                code, out, _ = await command(it, "hosts", "--json")
                assert {host["node"] for host in json.loads(out)["p"]} >= {"a"}
                plan.write_text(stale.replace('"p/b"', '"p/c"'))
                code, _, err = await command(it, "apply", str(plan))
                assert code == 1
                assert "changed after it was made" in err
                path.write_text(toml_text({**old, "gateway": {"name": "g9"}}))
                code, _, err = await command(it, "plan", str(path))
                assert code == 1
                assert "is for gateway 'g9', but 'g1' answered" in err

    asyncio.run(work())
