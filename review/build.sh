#!/usr/bin/env bash
# Builds the stand-in and driver of the cases, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-harness ./review/harness
