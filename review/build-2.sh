#!/bin/sh
# Builds what the scripts of review 2 start beside the project's own programs: their stand-ins are Python
# modules of the standard library alone, so they are only compiled as a check. Needs the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
for file in review/lib2/*.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
