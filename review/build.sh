#!/bin/sh
# Checks the stand-ins of the scripts. They are Python without packages, so there is nothing to compile; the program under test is
# built by the deploy file's command.
set -e
cd "$(dirname "$0")"
python3 -B - <<'CHECK'
import ast, glob, sys
if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for path in ["standins.py"] + sorted(glob.glob("[0-9]/case.py")):
    ast.parse(open(path).read(), path)
CHECK
