#!/usr/bin/env bash
# Checks the format of every C++ file and runs the linter over every translation unit.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
git ls-files '*.h' '*.cpp' | xargs clang-format-16 --dry-run --Werror
# clang-tidy cannot read headers that g++ precompiled, so this build does without them.
cmake -S . -B build-lint -G Ninja -DENDIVEDOCK_PCH=OFF >/dev/null
git ls-files 'src/*.cpp' 'platform/*.cpp' 'daemons/*.cpp' 'tools/*.cpp' | grep -v '_impl\.cpp$' \
    | xargs -P "$(nproc)" -n 1 clang-tidy-16 --quiet -p build-lint 2>/dev/null
echo "format and lint clean"
