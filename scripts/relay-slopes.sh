#!/usr/bin/env bash
# Measures the CPU time per token of the relay, compared with that of a bare pipe. Engine, relay and
# callers are separate processes.
# Usage: relay-slopes.sh [ROUNDS] [WINDOW_MS] [Node.js flags of the relay...]
# The environment variable STREAMS, a list such as "500 2000", overrides the numbers of streams.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/ensure-ready.sh
rounds="${1:-3}"
window_ms="${2:-3000}"
shift $(($# < 2 ? $# : 2))
programs=dist/experiments/capacity
read -r engine_port pipe_port relay_port <<<"$(node dist/experiments/demo/free-ports.js 3)"
pids=()
finish() {
	for pid in "${pids[@]}"; do
		kill -TERM "$pid" 2>/dev/null || true
	done
	wait
}
trap finish EXIT
node "$programs/relay-slopes-engine.js" "$engine_port" 12200 &
pids+=("$!")
node "$@" "$programs/relay-slopes-relay.js" "$engine_port" "$pipe_port" "$relay_port" &
pids+=("$!")
for port in "$engine_port" "$pipe_port" "$relay_port"; do
	for _ in $(seq 100); do
		if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then break; fi
		sleep 0.1
	done
done
node "$programs/relay-slopes.js" "$pipe_port" "$relay_port" "$rounds" 1000 "$window_ms" ${STREAMS:-}
