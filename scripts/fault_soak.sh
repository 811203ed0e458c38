#!/usr/bin/env bash
# Injects faults into entry hosts on loopback and checks the stated guarantees; see --help.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh endivedock-edge
exec python3 tests/soak/fault_soak.py "$@"
