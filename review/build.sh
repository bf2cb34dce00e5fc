#!/bin/sh
# Builds what the scripts of the cases start, beside the build of the deploy
# file: the test bed, which plays the store, the servers and the clients.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
${CC:-cc} -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wno-restrict -Wno-format-truncation -o bin/bed standin/*.c
