#!/bin/sh
# Prepares the stand-ins of cases 11 to 15. They are Python scripts that need the
# standard library only, so nothing is compiled; this checks that they can be read.
set -eu
cd "$(dirname "$0")"
python3 - lib-3/*.py 1[1-5]/*.py <<'EOF'
import ast
import sys

for path in sys.argv[1:]:
    with open(path) as source:
        ast.parse(source.read(), path)
EOF
