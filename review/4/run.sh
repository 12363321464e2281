#!/bin/sh
# Plays the case once and writes record.txt beside this script; TROUBLE=0 leaves
# the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
cd "$root" || exit 2
PYTHONPATH="$root/target/deps:$root" exec python3 "$folder/run.py" \
  "$folder/record.txt"
