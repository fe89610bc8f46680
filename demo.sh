#!/usr/bin/env bash
# The demo of the README: the Ikenna example on the stand-in platform.
set -euo pipefail
cd "$(dirname "$0")"

dir=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap finish EXIT

go build -o "$dir" ./cmd/...

# launch NAME PROGRAM ARGS...: starts a program with its log in $dir.
launch() {
  local name=$1 program=$2
  shift 2
  "$dir/$program" "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
}

# await URL: waits until the URL answers 200, at most 30 s.
await() {
  for _ in $(seq 300); do
    if curl -fs -o /dev/null "$1"; then return 0; fi
    sleep 0.1
  done
  echo "no answer from $1" >&2
  tail -n 5 "$dir"/*.log >&2
  return 1
}

platform=http://127.0.0.1:7000
common=(--region lagos --datacentre ikeja --rack ikeja-entries
  --platform.table $platform --platform.objects $platform
  --platform.hosts $platform --platform.workers $platform)
export EGRETPITCH_SERVER=127.0.0.1:7301

launch standin egretpitch-standin --settings examples/ikenna.yaml --listen 127.0.0.1:7000 \
  --entry entry-1 --entry entry-2
await $platform/v1/hosts
launch control-1 egretpitch-control "${common[@]}" --name control-1 \
  --rpc-listen 127.0.0.1:7201 --admin-listen 127.0.0.1:7301
launch control-2 egretpitch-control "${common[@]}" --name control-2 \
  --rpc-listen 127.0.0.1:7202 --admin-listen 127.0.0.1:7302 --control 127.0.0.1:7201
await http://127.0.0.1:7301/v1/settings

echo "== the operator puts the settings in force"
"$dir/egretpitch" settings apply examples/ikenna.yaml --expect 0

for i in 1 2; do
  launch entry-$i egretpitch-entry "${common[@]}" --name entry-$i \
    --listen 127.0.0.1:740$i --rpc-listen 127.0.0.1:750$i --admin-listen 127.0.0.1:760$i \
    --control 127.0.0.1:7201 --control 127.0.0.1:7202
  await http://127.0.0.1:760$i/ready
done

echo "== a caller sends an order"
curl -si -X POST -H 'Idempotency-Key: demo-1' -H 'X-Request-Id: demo-1' \
  --data '12 gas mantles' http://127.0.0.1:7401/kano-orders/new
echo "== the caller repeats it at the other entry: the same answer, run once"
curl -si -X POST -H 'Idempotency-Key: demo-1' -H 'X-Request-Id: demo-1' \
  --data '12 gas mantles' http://127.0.0.1:7402/kano-orders/new

echo "== the operator changes a setting and waits until it is in force everywhere"
sed 's/^  retry_budget: 0.1$/  retry_budget: 0.05/' examples/ikenna.yaml >"$dir/changed.yaml"
"$dir/egretpitch" settings diff examples/ikenna.yaml "$dir/changed.yaml"
"$dir/egretpitch" settings apply "$dir/changed.yaml" --expect 1 --wait

echo "== callers go on for 25 seconds, so that the report has whole intervals"
for _ in $(seq 250); do
  curl -s -o /dev/null http://127.0.0.1:740$((RANDOM % 2 + 1))/kano-stock/mantles || true
  sleep 0.1
done

echo "== the estate"
"$dir/egretpitch" status
echo "== the report"
"$dir/egretpitch" report
