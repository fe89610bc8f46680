#!/bin/sh
# Builds the stand-in that the scripts of the second review start. It needs the
# programs of the build line of deploy/system.toml beside it.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin-2 ./review/standin-2
