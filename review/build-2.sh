#!/bin/sh
# Prepares the stand-ins of the scripts in review/4 to review/8. They are Python sources that need only the standard
# library, so there is nothing to compile: this checks that the interpreter is new enough and can read them.
cd "$(dirname "$0")" || exit 1
exec python3 -B - <<'END'
import ast
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in ["rig.py"] + ["%d/case.py" % number for number in range(4, 9)]:
    try:
        with open(path) as file:
            ast.parse(file.read(), path)
    except FileNotFoundError:
        print("no %s" % path)
END
