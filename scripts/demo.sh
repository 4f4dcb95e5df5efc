#!/usr/bin/env bash
# Demonstration: stand-ins, two entry VMs, an operator and callers. An engine is killed and an entry VM
# is stopped during the run.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/ensure-ready.sh
source scripts/lib/fleet.sh
read -r platform service engine1 engine2 caller1 peer1 caller2 peer2 <<<"$(node dist/experiments/demo/free-ports.js 8)"
platform_url="http://127.0.0.1:$platform"
entry_flags=(--entry "http://127.0.0.1:$peer1" --entry "http://127.0.0.1:$peer2")
launch standin-platform --listen-port "$platform"
launch standin-service --listen-port "$service"
launch standin-engine --listen-port "$engine1" --models inspector
engine_pid="$last_pid"
launch standin-engine --listen-port "$engine2" --models inspector
entry entry-1 "$caller1" "$peer1" zone-1
entry entry-2 "$caller2" "$peer2" zone-2
entry_pid="$last_pid"
wait_ports "$platform" "$service" "$engine1" "$engine2" "$caller1" "$caller2" "$peer1" "$peer2"
set_vms "entry,entry-1,$peer1,zone-1" "entry,entry-2,$peer2,zone-2" "engine,engine-1,$engine1,zone-1" "engine,engine-2,$engine2,zone-2" "service,kiln-1,$service,zone-1"
set_engine engine-1 "$engine1" zone-1
set_engine engine-2 "$engine2" zone-2
set_service kiln-1 "$service" zone-1
ctl --wait except account:finishers class.resumeWindowMs 20000 "finishers walk between benches"
DEMO_PLAN="{\"entryUrls\":[\"http://127.0.0.1:$caller1\",\"http://127.0.0.1:$caller2\"],\"peerUrls\":[\"http://127.0.0.1:$peer1\",\"http://127.0.0.1:$peer2\"],\"serviceUrl\":\"http://127.0.0.1:$service\",\"enginePid\":$engine_pid,\"entryPid\":$entry_pid,\"configVersion\":4}"
export DEMO_PLAN
node dist/experiments/demo/main.js
