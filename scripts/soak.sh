#!/usr/bin/env bash
# Runs the randomised tests with many seeds: scripts/soak.sh [NUMBER OF SEEDS] [FIRST SEED].
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
export SOAK_SEEDS="${1:-2000}" SOAK_FIRST="${2:-1000}"
ctest --test-dir build -R '^(idempotency|shards|placement)$' --output-on-failure --timeout 3000
