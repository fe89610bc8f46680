#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, after the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./review/standin-3
