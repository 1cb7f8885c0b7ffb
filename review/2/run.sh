#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves the late connections out.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
exec timeout -k 2 116 .venv/bin/python -B review/2/case.py
