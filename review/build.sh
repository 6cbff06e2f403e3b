#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Run it in the repository after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/_rig
