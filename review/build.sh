#!/bin/sh
# Builds every stand-in that the scripts of this folder start. Run it after the build of the deploy
# file; it needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin/review
CGO_ENABLED=1 go build -o bin/review/ ./review/standin ./review/client ./review/fleetview ./review/pause
