#!/usr/bin/env bash
# Runs the binaries on loopback: stand-ins, two entry VMs, an operator and callers, with an engine
# killed and an entry VM stopped on the way. Ends the processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/ensure-ready.sh
programs=dist/programs
read -r platform service engine1 engine2 caller1 peer1 caller2 peer2 <<<"$(node dist/experiments/demo/free-ports.js 8)"
logs="$(mktemp -d)"
pids=()
finish() {
	for pid in "${pids[@]}"; do
		kill -KILL "$pid" 2>/dev/null || true
	done
	rm -rf "$logs"
}
trap finish EXIT
launch() {
	local name="$1"
	shift
	node "$programs/$name.js" "$@" 2>"$logs/${#pids[@]}.log" &
	pids+=("$!")
}
export COWSLIP_ENTRY_PLATFORM_URL="http://127.0.0.1:$platform"
export COWSLIP_ENTRY_OPERATOR_TOKEN=operator-token
export COWSLIPCTL_PLATFORM_URL="http://127.0.0.1:$platform"
export COWSLIPCTL_OPERATOR_TOKEN=operator-token
launch standin-platform --listen-port "$platform"
launch standin-service --listen-port "$service"
launch standin-engine --listen-port "$engine1" --models inspector
engine_pid="${pids[-1]}"
launch standin-engine --listen-port "$engine2" --models inspector
entry() {
	launch entry --name "$1" --listen-port "$2" --peer-port "$3" --availability-zone "$4" --region pirkanmaa \
		--account-tokens finishers=finishers-token,orders=orders-token --peer-token peer-token --stream-key stream-key \
		--poll-interval-ms 500
}
entry entry-1 "$caller1" "$peer1" zone-1
entry entry-2 "$caller2" "$peer2" zone-2
entry_pid="${pids[-1]}"
ctl() {
	node "$programs/cowslipctl.js" --entry "http://127.0.0.1:$peer1" --entry "http://127.0.0.1:$peer2" "$@" >&2
}
for port in "$platform" "$service" "$engine1" "$engine2" "$caller1" "$caller2" "$peer1" "$peer2"; do
	for _ in $(seq 100); do
		if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then break; fi
		sleep 0.1
	done
done
ctl set target.engine-1 "{\"kind\":\"engine\",\"url\":\"http://127.0.0.1:$engine1\",\"availabilityZone\":\"zone-1\",\"models\":[\"inspector\"]}"
ctl set target.engine-2 "{\"kind\":\"engine\",\"url\":\"http://127.0.0.1:$engine2\",\"availabilityZone\":\"zone-2\",\"models\":[\"inspector\"]}"
ctl set target.kiln-1 "{\"kind\":\"service\",\"url\":\"http://127.0.0.1:$service\",\"availabilityZone\":\"zone-1\",\"service\":\"kiln\",\"answersOutcomes\":true}"
ctl --wait except account:finishers class.resumeWindowMs 20000 "finishers walk between benches"
DEMO_PLAN="{\"entryUrls\":[\"http://127.0.0.1:$caller1\",\"http://127.0.0.1:$caller2\"],\"peerUrls\":[\"http://127.0.0.1:$peer1\",\"http://127.0.0.1:$peer2\"],\"serviceUrl\":\"http://127.0.0.1:$service\",\"enginePid\":$engine_pid,\"entryPid\":$entry_pid,\"configVersion\":4}"
export DEMO_PLAN
node dist/experiments/demo/main.js
