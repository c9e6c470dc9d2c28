#!/bin/sh
# Builds every stand-in that the cases of the second review start, into bin/review2. It runs after
# the build of the deploy file and needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin/review2
go build -o bin/review2/ ./review/6 ./review/7 ./review/8 ./review/9 ./review/10
