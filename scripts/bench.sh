#!/usr/bin/env bash
# Simulates the policies in virtual time, prints the p99 of each policy as a ratio to one ideal
# queue, and fails if a stated bound is missed. Passes its arguments to the benchmark; see --help.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
build/benchmark/policy_benchmark --seeds 6 "$@"
