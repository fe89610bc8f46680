#!/usr/bin/env bash
# The test command of the README. Seeds are fixed; pass another with
# RAPID_SEED=n. Tests listed in KNOWN-RED.txt (one a line, the name first, or that of
# a subtest as Test/Subtest) are printed and passed over. Nothing is taken from the cache: the tests of separate
# processes depend on more than their own package.
set -euo pipefail
cd "$(dirname "$0")"
seed=${RAPID_SEED:-20261204}
echo "rapid seed: $seed"
export EGRETPITCH_RAPID_SEED=$seed
skip=()
if [ -s KNOWN-RED.txt ]; then
  echo "known red, passed over:"
  cat KNOWN-RED.txt
  # An entry may name a seed that no run of CI draws, and no test to pass over.
  names=$(sed -nE 's/^((Test|Fuzz)[A-Za-z0-9_]+)([^A-Za-z0-9_\/].*)?$/\1/p' KNOWN-RED.txt | paste -sd '|' -)
  subtests=$(sed -nE 's/^(Test[A-Za-z0-9_]+)\/([A-Za-z0-9_]+) .*/^\1$\/^\2$/p' KNOWN-RED.txt | paste -sd '|' -)
  pattern=${names:+"^($names)\$"}
  pattern=$pattern${subtests:+${pattern:+|}$subtests}
  if [ -n "$pattern" ]; then
    skip=(-skip "$pattern")
  fi
fi
go test -race -count=1 -timeout 15m "${skip[@]}" ./...
# Measures the memory of a process: nothing runs beside it.
go test -tags intake -count=1 -timeout 15m "${skip[@]}" ./test/intake
