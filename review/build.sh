#!/bin/sh
# The stand-ins need the standard library alone: this only checks that the Python of the build can compile them.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -B -c '
import pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_bytes(), str(path), "exec")
'
