#!/bin/sh
# The stand-ins of the cases are Python files under review/ that need the standard library alone:
# there is nothing to compile. This looks whether the interpreter reads them.
set -eu
cd "$(dirname "$0")"
for file in lib/*.py [1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
