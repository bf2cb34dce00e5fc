#!/bin/sh
# Builds the programs of the scripts of the third review into target/review-3,
# after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
flags="-std=gnu11 -O1 -Wall -Wextra -Ireview/standin-3"
libs="$(pkg-config --cflags --libs glib-2.0 json-glib-1.0) -lpthread"
for source in review/1[1-5]/case.c; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    cc $flags "$source" review/standin-3/standin.c review/standin-3/chain.c -o \
        "target/review-3/case-$number" $libs
done
