#!/usr/bin/env bash
# Installs what is missing, builds, and runs the test program of every library.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
ctest --test-dir build --output-on-failure -j "${TEST_JOBS:-4}"
