#!/usr/bin/env bash
# Builds the stand-ins of the cases review/6 to review/10. They are Python files
# that use the packages under target/deps, which the build of the deploy file
# installs.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins-2
PYTHONPATH=../target/deps python3 -c 'import aiohttp'
