#!/bin/sh
# The stand-ins are Python scripts that use the standard library alone: nothing is compiled or
# fetched. This checks that the interpreter of the deploy file's build can read all of them.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -B -c '
import ast, pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
'
