#!/usr/bin/env bash
# Prints the time that an entry host adds to a call, compared with direct calls in the same run:
# scripts/overhead.sh [SECONDS FOR EACH MEASUREMENT].
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
exec python3 scripts/overhead.py "$@"
