#!/usr/bin/env bash
# Builds the stand-ins of the script cases of the second review, which need the build of the deploy file too.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS=-buildvcs=false
go build -o target/review-2 ./review/_rig2
