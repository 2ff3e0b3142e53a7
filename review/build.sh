#!/bin/sh
# Builds what the scripts of the review start beside the daemon. Their stand-ins
# are Python programs that use nothing but its standard library (3.11; meson,
# which builds the daemon, brings Python along), so this only checks that they
# can be compiled.
set -eu
cd "$(dirname "$0")"
for file in lib/*.py */case.py; do
	python3 -c 'import sys, tomllib
compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
