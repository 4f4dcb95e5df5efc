#!/usr/bin/env bash
# Measures the slopes that docs/CAPACITY.md is worked out from: the relay and the memory of an idle
# daemon on separate processes, the rest in one process.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/ensure-ready.sh
source scripts/lib/fleet.sh
bash scripts/relay-slopes.sh 2 1500 >"$logs/relay.txt"
read -r platform caller peer <<<"$(node dist/experiments/demo/free-ports.js 3)"
platform_url="http://127.0.0.1:$platform"
launch standin-platform --listen-port "$platform"
entry entry-1 "$caller" "$peer" zone-1
entry_pid="$last_pid"
node -e 'setTimeout(() => {}, 60_000)' &
bare_pid="$!"
disown "$bare_pid"
pids+=("$bare_pid")
wait_ports "$platform" "$caller" "$peer"
sleep 3
CAPACITY_PROCESS_FIGURES="$(node dist/experiments/capacity/process-figures.js "$logs/relay.txt" "an idle entry daemon=$entry_pid" "a bare Node.js process=$bare_pid")"
export CAPACITY_PROCESS_FIGURES
kill -KILL "$entry_pid" "$bare_pid"
node dist/experiments/capacity/main.js
