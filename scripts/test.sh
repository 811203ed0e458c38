#!/usr/bin/env bash
# Installs missing packages, builds, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
ctest --test-dir build --output-on-failure -j "${TEST_JOBS:-4}"
