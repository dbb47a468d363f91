#!/usr/bin/env bash
# Measures what one entry instance, on one core, adds to direct calls of an engine.
# Starts a platform, two fast engines and one instance from examples/ and ends them.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/...

dir=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; rm -rf "$dir"' EXIT

fast='s/prefill_per_piece = .*/prefill_per_piece = 100us\ntoken_interval = 20us\nstep_cost_per_request = 1us\nslots = 1000\nqueue = 1000\npieces = 20000/'
sed "$fast" examples/prefill-1.ini >"$dir/prefill.ini"
sed "$fast" examples/decode-1.ini >"$dir/decode.ini"
sed -e 's/^slots = .*/slots = 1000/' -e 's/^pieces = .*/pieces = 20000/' -e 's/^rate = .*/rate = 1e9/' -e 's/^burst = .*/burst = 1e9/' \
	-e '/^\[endpoint "decode-2"\]/,/^$/d' examples/first-ticket.ini >"$dir/ticket.ini"

start() { "$@" >>"$dir/log" 2>&1 & pids+=($!); }
start bin/caraway-standin platform --settings examples/platform.ini
start bin/caraway-standin engine --settings "$dir/prefill.ini"
start bin/caraway-standin engine --settings "$dir/decode.ini"
GOMAXPROCS=1 start bin/caraway-entry --settings examples/north-1.ini
entry=${pids[-1]}
sleep 1
bin/caraway-ctl --settings examples/ctl.ini ticket submit "$dir/ticket.ini" >/dev/null
sleep 2
bin/caraway-load overhead --entry http://127.0.0.1:7401 --key example-key --model caption-large \
	--prefill 127.0.0.1:7101 --decode 127.0.0.1:7102 --pid "$entry" "$@"
