#!/usr/bin/env bash
# Builds, starts stand-ins and four entry hosts on loopback, applies the examples, sends mixed load
# for ten seconds and prints the result. With --keep, all processes run until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
exec python3 scripts/fleet.py "$@"
