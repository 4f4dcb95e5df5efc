#!/usr/bin/env bash
# Measures the slopes from which docs/CAPACITY.md is computed. The cost of the relay and the memory of
# an idle daemon are measured on separate processes, the rest in one process with a stand-in engine
# beside it.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/ensure-ready.sh
source scripts/lib/fleet.sh
bash scripts/relay-slopes.sh 2 1500 >"$logs/relay.txt"
read -r platform caller peer engine <<<"$(node dist/experiments/demo/free-ports.js 4)"
platform_url="http://127.0.0.1:$platform"
launch standin-platform --listen-port "$platform"
entry entry-1 "$caller" "$peer" zone-1
entry_pid="$last_pid"
node -e 'setTimeout(() => {}, 60_000)' &
bare_pid="$!"
disown "$bare_pid"
pids+=("$bare_pid")
launch standin-engine --listen-port "$engine" --models inspector
wait_ports "$platform" "$caller" "$peer" "$engine"
sleep 3
CAPACITY_PROCESS_FIGURES="$(node dist/experiments/capacity/process-figures.js "$logs/relay.txt" "an idle entry daemon=$entry_pid" "a bare Node.js process=$bare_pid")"
export CAPACITY_PROCESS_FIGURES
kill -KILL "$entry_pid" "$bare_pid"
export CAPACITY_ENGINE_URL="http://127.0.0.1:$engine"
node dist/experiments/capacity/main.js
