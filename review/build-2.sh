#!/bin/sh
# Prepares what the cases of review/6 and later start beside the daemon. Their
# stand-ins are in Python, of its standard library alone, and need no build; the
# daemon is built by the line `build` of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))'
for file in review/lib-2/*.py review/[6-9]*/*.py review/10/*.py; do
	[ -e "$file" ] || continue
	python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
