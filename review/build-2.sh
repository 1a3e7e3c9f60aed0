#!/bin/sh
# Builds what the cases 6 to 10 start: an interpreter for the operators' daemon, with the versions
# that the project itself names (requirements.txt, and the extra `daemon` of pyproject.toml), as
# review/tools-2/.venv/daemon-python. The environment of `make check` serves too, where it is there;
# else one is made, which needs the package registry. The stand-ins are plain Python and need no build.
# Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
tools=review/tools-2/.venv
needed="import httptools, msgspec, pydantic, uvloop"
if ! "$tools/daemon-python" -B -c "$needed" 2>/dev/null; then
    rm -rf "$tools"
    if .venv-dev/bin/python -B -c "$needed" 2>/dev/null; then
        mkdir -p "$tools"
        python=../../../.venv-dev/bin/python
    else
        extra=$(python3 -c 'import tomllib
with open("pyproject.toml", "rb") as file:
    print(*tomllib.load(file)["project"]["optional-dependencies"]["daemon"])')
        python3 -m venv "$tools"
        # shellcheck disable=SC2086
        "$tools/bin/pip" -q install -r requirements.txt $extra
        python=bin/python
    fi
    printf '#!/bin/sh\nexec "$(dirname "$0")/%s" "$@"\n' "$python" > "$tools/daemon-python"
    chmod +x "$tools/daemon-python"
fi
"$tools/daemon-python" -B -c "$needed"
.venv/bin/python -B -c "import httptools, msgspec, uvloop"
