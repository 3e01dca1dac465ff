#!/usr/bin/env bash
# The stand-ins of the scripts are Python 3 without other packages, so there is
# nothing to build. Fails where they cannot be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - lib/*.py [0-9]/case.py <<'END'
import ast
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
END
