#!/bin/sh
# Builds what the scripts of review/9 to review/13 start beside the program of the deploy file. Their stand-ins are
# written in Python (3.11 or later, standard library only) and need no build; this checks that they can be read.
cd "$(dirname "$0")" || exit 1
for file in rig3.py 9/case.py 10/case.py 11/case.py 12/case.py 13/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file" || exit 1
done
python3 -c 'import tomllib'
