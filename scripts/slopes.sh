#!/usr/bin/env bash
# Measures what docs/CAPACITY.md is worked out from.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
build/benchmark/slopes_benchmark
