#!/usr/bin/env bash
# Harms entry hosts on loopback and checks what callers and targets see: scripts/fault_soak.sh --help.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh endivedock-edge
exec python3 tests/soak/fault_soak.py "$@"
