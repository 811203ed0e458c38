#!/usr/bin/env bash
# The stand-ins of review/6 to review/10 are Python programs of the standard library only, which need
# no build. This checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins_2.py */case.py <<'CHECK'
import ast
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf8") as file:
        ast.parse(file.read(), path)
CHECK
