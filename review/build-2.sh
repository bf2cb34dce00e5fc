#!/bin/sh
# Builds the stand-ins that the scripts of review/6, review/8 and review/9 start. They are
# Python, standard library only (python3 comes with libglib2.0-dev of the deploy
# file), so there is nothing to compile: this checks that python3 takes them.
cd "$(dirname "$0")" || exit 1
for file in standin-2/fleet.py standin-2/bodies.py [6-9]/play.py; do
    [ ! -f "$file" ] || python3 -c 'import ast, sys
ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
