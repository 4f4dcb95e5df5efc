#!/usr/bin/env bash
# Runs the build, the linter, the formatter check, all tests, and short randomized runs with fixed
# seeds.
set -euo pipefail
cd "$(dirname "$0")/.."
# A test that hangs fails instead of holding up the run.
test_timeout_ms=120000
rm -rf dist
bash scripts/ensure-ready.sh
node_modules/.bin/xo >&2 &
lint_pid=$!
# These runs are mostly idle, so they run in parallel with the linter.
node dist/experiments/fault-soak/main.js --seed 1 --runs 3 --jobs 3 &
fault_soak_pid=$!
node dist/experiments/fault-soak/main.js --regressions --jobs 3 &
regressions_pid=$!
node dist/experiments/fuzz/main.js --seed 1 --seconds 10 &
fuzz_pid=$!
node_modules/.bin/prettier --check . >&2
if [ -f dist/experiments/soak/main.js ]; then
	node dist/experiments/soak/main.js --seed 1 --runs 10
fi
bash scripts/docs-check.sh
wait "$fault_soak_pid"
wait "$regressions_pid"
wait "$fuzz_pid"
# The test of the planted faults depends on timing, so only the linter runs in parallel with it.
planted=dist/experiments/fault-soak/planted-faults.test.js
node --test --test-timeout="$test_timeout_ms" "$planted"
wait "$lint_pid"
if [ -s KNOWN-RED.txt ]; then
	echo "Known failures, listed in KNOWN-RED.txt:"
	cat KNOWN-RED.txt
fi
find dist -name '*.test.js' ! -path "$planted" ! -name '*.serial.test.js' -print0 | sort -z |
	xargs -0 node --test --test-timeout="$test_timeout_ms"
# These tests press on a process with as much as the machine gives; nothing else runs beside them.
find dist -name '*.serial.test.js' -print0 | sort -z |
	xargs -0 node --test --test-concurrency=1 --test-timeout="$test_timeout_ms"
