#!/bin/sh
# Each case has its stand-ins in its own folder; they use the standard library
# only, so nothing has to be installed. This checks that they can be loaded.
set -e
cd "$(dirname "$0")"
python3 -B -c '
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for number in range(6, 11):
    for name in ("case.py", "lab.py"):
        path = pathlib.Path(str(number)) / name
        ast.parse(path.read_text(), str(path))
'
