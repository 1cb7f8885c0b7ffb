#!/bin/sh
# The stand-ins need the standard library alone: this only compiles them with the Python of the build.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
