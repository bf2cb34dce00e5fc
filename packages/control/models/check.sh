#!/usr/bin/env bash
# Checks a Promela model whole, then once with each of its guards removed,
# where a counterexample must appear.
# Usage: check.sh MODEL WORK_DIR [GUARD...]
set -euo pipefail
model=$(realpath "$1")
work=$2
shift 2
name=$(basename "$model" .pml)

# Prints the number of errors that the search found. The search of the whole
# model must be complete: one cut off by the depth limit (pan -m) prints
# "incomplete" and fails.
search() {
    local dir=$work/$name${1:+-$1}
    rm -rf "$dir"
    mkdir -p "$dir"
    (cd "$dir" && spin ${1:+-D"$1"} -a "$model" >spin.log &&
        gcc -O2 -w -DSAFETY -o pan pan.c &&
        ./pan -m1000000 >pan.log)
    if [ -z "${1:-}" ] && grep -q -i 'search not completed\|max search depth' \
        "$dir/pan.log"; then
        echo "incomplete"
        return
    fi
    sed -n 's/.*errors: \([0-9]*\)/\1/p' "$dir/pan.log"
}

failed=0
errors=$(search "")
states=$(sed -n 's/^ *\([0-9]*\) states, stored.*/\1/p' "$work/$name/pan.log")
echo "$name: $states states, errors: $errors"
[ "$errors" = 0 ] || failed=1
for guard in "$@"; do
    errors=$(search "$guard")
    echo "$name without its guard ($guard): errors: $errors"
    [ "$errors" -gt 0 ] || failed=1
done
exit $failed
