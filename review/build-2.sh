#!/bin/sh
# Builds what the cases 6 to 10 start: an environment for the operators' daemon, with the versions
# that the project itself names (requirements.txt and the extra `daemon` of pyproject.toml). The
# stand-ins are plain Python and need no build. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
tools=review/tools-2/.venv
extra=$(python3 - <<'PY'
import tomllib

with open("pyproject.toml", "rb") as file:
    print(" ".join(tomllib.load(file)["project"]["optional-dependencies"]["daemon"]))
PY
)
if ! "$tools/bin/python" -c "import httptools, msgspec, pydantic, uvloop" 2>/dev/null; then
    rm -rf "$tools"
    python3 -m venv "$tools"
    # shellcheck disable=SC2086
    "$tools/bin/pip" -q install -r requirements.txt $extra
fi
"$tools/bin/python" -m compileall -q sailhitch
"$tools/bin/python" -B -c "import httptools, msgspec, pydantic, uvloop"
