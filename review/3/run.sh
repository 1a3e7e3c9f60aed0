#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
here=$(cd "$(dirname "$0")" && pwd)
python=$here/../../.venv/bin/python
test -x "$python" || { echo "run the build of the deploy file first"; exit 2; }
exec "$python" -B "$here/case.py"
