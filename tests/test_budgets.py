"""Tests of the arithmetic that compares figures with the budgets."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from benchmarks.scale import budgets, slopes


def figures(**changes: float) -> dict[str, float]:
    """Return all figures as zero except those given (`__` stands for the dot)."""
    found = {
        f"{name}.{figure.key}": 0.0
        for name, measurement in slopes.MEASUREMENTS.items()
        for figure in measurement.figures
    }
    found["rounds.news_bytes"] = 400.0
    return found | {key.replace("__", "."): value for key, value in changes.items()}


def verdict(name: str, **changes: float) -> budgets.Verdict:
    return {one.name: one for one in budgets.verdicts(figures(**changes))}[name]


def test_change_cost_is_averaged_over_the_day() -> None:
    name = "gateway: processor for control, mean of a day"
    one = verdict(name, switch__switch_s=0.6, fetch__read_s=0.4)
    assert one.value == pytest.approx(1500 / 86400)
    assert one.holds
    assert not verdict(name, switch__switch_s=0.7, fetch__read_s=0.4).holds


def test_gossip_is_busy_all_day_if_it_outlasts_the_time_between_changes() -> None:
    between = 86400 / (1500 + 2 * 4300)
    assert budgets.busy_share(figures(play__until_rest_s=between / 2)) == pytest.approx(0.5)
    assert budgets.busy_share(figures(play__until_rest_s=between * 9)) == 1.0
    one = verdict(
        "gateway: bytes sent and received, mean of a day",
        play__until_rest_s=100.0,
        play__worst_bytes_s=10_000.0,
    )
    assert one.value == pytest.approx(20_000)
    assert one.holds


def test_fetches_count_both_ways() -> None:
    one = verdict("gateway: bytes sent and received, mean of a day", fetch__fetch_bytes=864_000.0)
    assert one.value == pytest.approx(30_000)
    assert not one.holds


def test_a_figure_that_is_missing_is_named() -> None:
    found = figures()
    del found["keep.store_bytes"]
    with pytest.raises(budgets.ResultsError, match=r"keep\.store_bytes"):
        budgets.verdicts(found)


def test_results_are_read_back_as_they_were_written(tmp_path: Path) -> None:
    sizes = (10.0, 20.0, 30.0)
    keys = [figure.key for figure in slopes.MEASUREMENTS["table"].figures]
    result = slopes.Result("table", sizes, dict.fromkeys(keys, (1.0, 2.0, 3.0)))
    path = tmp_path / "results.jsonl"
    path.write_text(json.dumps(result.as_json()) + "\n")
    assert budgets.load_figures(path)["table.table_bytes"] == pytest.approx(170.0)


def test_invalid_line_of_results_is_named(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "results.jsonl"
    path.write_text('{"name": "table", "figures": {}}\n[1]\n')
    assert budgets.main([str(path)]) == 1
    assert "results.jsonl: line 2: not a result" in capsys.readouterr().err
