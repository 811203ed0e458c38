#!/usr/bin/env bash
# Measures the figures from which docs/CAPACITY.md is computed: scripts/slopes.sh [HOSTS]...
# HOSTS are the fleet sizes for the measurement without traffic.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
build/benchmark/slopes_benchmark
echo
exec python3 scripts/idle_cost.py "$@"
