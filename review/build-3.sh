#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python files (standard library only): this checks that they can be run.
set -eu
cd "$(dirname "$0")"
python3 -c 'import ast, sys; [ast.parse(open(path).read(), path) for path in sys.argv[1:]]' standin-3/*.py 1?/case.py
