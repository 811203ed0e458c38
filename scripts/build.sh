#!/usr/bin/env bash
# Configures and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
cmake -S . -B build -G Ninja >build.log 2>&1 || { cat build.log; exit 1; }
rm -f build.log
# grep hides the exit code of ninja, so the dry run below fails if a build step is left to do.
ninja -C build "$@" | grep -vE '^\[[0-9]+/[0-9]+\] (Building|Linking)' || true
ninja -C build -n "$@" | grep -q 'no work to do'
