#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
number=$(basename "$here")
[ -x "target/review-3/case-$number" ] && [ -x target/bin/lacewingd ] || exit 2
timeout -k 3 -s TERM 114 "target/review-3/case-$number" "$here"
code=$?
[ $code -le 1 ] && exit $code
exit 2
