#!/bin/sh
# Compiles the stand-ins. They are Python programs that use the libraries of
# the project's own build, so nothing else has to be built.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review
