#!/usr/bin/env bash
# Checks that the stand-ins of the scripts compile. They use the standard
# library alone, so that nothing has to be installed.
set -eu
cd "$(dirname "$0")"
for source in *.py [1-5]/*.py; do
    [ -f "$source" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
