"""Imports go in one direction, so that a new front or transport needs only a module and wiring."""

from __future__ import annotations

import ast
import re
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "sailhitch"
# Each layer may import itself and those to its left.
LAYERS = ("policy_interface", "settings", "reach", "policy", "front", "core", "net")


def _imports(path: Path) -> set[str]:
    """Return the top-level parts of the program that a module imports, also for types only."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.level:
            base = path.relative_to(ROOT).parts[: -node.level]
            found.add((*base, *(node.module or "").split("."))[0])
    return found


@pytest.mark.parametrize("layer", LAYERS)
def test_a_layer_imports_only_those_below_it(layer: str) -> None:
    below = set(LAYERS[: LAYERS.index(layer) + 1])
    files = sorted((ROOT / layer).glob("*.py")) or [ROOT / f"{layer}.py"]
    for path in files:
        assert _imports(path) <= below, path.name


def test_the_files_of_policy_import_only_those_listed_before_them() -> None:
    text = (ROOT / "policy/__init__.py").read_text()
    order = re.findall(r"^    (\w+)  ", text, re.MULTILINE)  # as listed in the package's docstring
    assert sorted(order) == sorted(p.stem for p in (ROOT / "policy").glob("[a-z]*.py"))
    for i, name in enumerate(order):
        tree = ast.parse((ROOT / f"policy/{name}.py").read_text())
        used = {n.module for n in ast.walk(tree) if isinstance(n, ast.ImportFrom) and n.level == 1}
        assert used <= set(order[:i]), name


@pytest.mark.parametrize(("part", "more"), [("control", ()), ("handover", ("net",))])
def test_parts_loaded_on_demand_import_only_what_is_below_them(
    part: str, more: tuple[str, ...]
) -> None:
    for path in sorted((ROOT / part).glob("*.py")):
        assert _imports(path) <= {"policy_interface", "core", part, *more}, path.name


@pytest.mark.parametrize(
    ("part", "more"),
    [
        ("pages", ()),
        ("tier", ("pages",)),
        ("zones", ()),
        ("model", ("pages", "tier", "zones")),
    ],
)
def test_the_tier_imports_nothing_of_the_gateway(part: str, more: tuple[str, ...]) -> None:
    paths = sorted((ROOT / part).glob("*.py"))
    assert paths
    for path in paths:
        assert _imports(path) <= {part, *more}, path.name


def test_the_pages_need_the_standard_library_alone() -> None:
    for path in sorted((ROOT / "pages").glob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            names = [alias.name for alias in node.names] if isinstance(node, ast.Import) else []
            if isinstance(node, ast.ImportFrom) and not node.level:
                names = [node.module or ""]
            used = {name.partition(".")[0] for name in names}
            assert used <= set(sys.stdlib_module_names), path.name


def test_state_sources_do_not_import_each_other_nor_the_applier_any_source() -> None:
    names = {
        "state_applier": {"source", "tier_source", "tier_link", "rules"},
        "source": {"tier_source", "tier_link", "rules"},
    }
    for name, others in names.items():
        tree = ast.parse((ROOT / f"daemon/{name}.py").read_text())
        used = {n.module for n in ast.walk(tree) if isinstance(n, ast.ImportFrom) and n.level == 1}
        assert not used & others, name


def test_the_platforms_gateway_loads_only_what_it_uses() -> None:
    code = (
        "import sys, sailhitch.__main__\n"
        "print(*sorted(m for m in sys.modules if m.startswith('sailhitch.')))\n"
        "print(*sorted({m.partition('.')[0] for m in sys.modules} - set(sys.stdlib_module_names)))"
    )
    out = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, timeout=60
    ).stdout.splitlines()
    parts = {name.split(".")[1] for name in out[0].split()}
    assert parts == {*LAYERS, "__main__"}
    outside = {n for n in out[1].split() if not n.startswith("_") and n != "sailhitch"}
    assert outside <= {"cython_runtime", "httptools", "uvloop"}
