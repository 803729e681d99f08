#!/bin/sh
# Checks the stand-ins of the cases 4 to 8; they need no other build than that
# of the deploy file. The project's own stand-in of the store comes with it.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-2/*.py review/[4-8]/*.py; do
    [ -f "$file" ] || continue
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
PYTHONPATH="$PWD:$PWD/target/deps" python3 -B -c \
    'import importlib; importlib.import_module("endivewind.commands.standin")'
