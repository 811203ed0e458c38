#!/usr/bin/env bash
# Prints p99 of each policy by load and fault as a ratio to one ideal queue, in virtual time, and
# fails where a stated bound is missed. Arguments go to the benchmark; see --help.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
build/benchmark/policy_benchmark --seeds 6 "$@"
