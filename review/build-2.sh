#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python of the standard library, so
# they are only compiled. The product is built by the deploy file.
set -eu
cd "$(dirname "$0")"
for file in standins_2.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    [ -f "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
