#!/usr/bin/env bash
# Builds the stand-ins of the scripts; run after the build of the deploy file.
# They are Python of the standard library alone, so compiling them shows that
# they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
for path in ["standins.py", *glob.glob("*/case.py")]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PY
[ -d ../target/deps ] || { echo "target/deps is missing: build the deploy file first" >&2; exit 1; }
