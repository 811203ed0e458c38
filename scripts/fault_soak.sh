#!/usr/bin/env bash
# Injects faults into entry hosts on loopback and checks the stated guarantees. Passes its
# arguments to fault_soak.py; see --help.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh endivedock-edge
exec python3 tests/soak/fault_soak.py "$@"
