#!/usr/bin/env bash
# Runs three entry VMs under load: one is killed, one paused and one stopped, an engine is killed, and
# the table service is unavailable for half a minute. Exits with a non-zero code if a response was
# broken, a booking ran twice, or a booking ran although it was reported as not run.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/ensure-ready.sh
source scripts/lib/fleet.sh
read -r platform service engine1 engine2 engine3 caller1 peer1 caller2 peer2 caller3 peer3 <<<"$(node dist/experiments/demo/free-ports.js 11)"
platform_url="http://127.0.0.1:$platform"
entry_flags=(--entry "http://127.0.0.1:$peer1" --entry "http://127.0.0.1:$peer2" --entry "http://127.0.0.1:$peer3")
launch standin-platform --listen-port "$platform"
launch standin-service --listen-port "$service"
launch standin-engine --listen-port "$engine1" --models inspector
engine_pid="$last_pid"
launch standin-engine --listen-port "$engine2" --models inspector
launch standin-engine --listen-port "$engine3" --models inspector
entry entry-1 "$caller1" "$peer1" zone-1
killed_pid="$last_pid"
entry entry-2 "$caller2" "$peer2" zone-2
paused_pid="$last_pid"
entry entry-3 "$caller3" "$peer3" zone-3
stopped_pid="$last_pid"
wait_ports "$platform" "$service" "$engine1" "$engine2" "$engine3" "$caller1" "$caller2" "$caller3" "$peer1" "$peer2" "$peer3"
set_vms "entry,entry-1,$peer1,zone-1" "entry,entry-2,$peer2,zone-2" "entry,entry-3,$peer3,zone-3" \
	"engine,engine-1,$engine1,zone-1" "engine,engine-2,$engine2,zone-2" "engine,engine-3,$engine3,zone-3" "service,kiln-1,$service,zone-1"
set_engine engine-1 "$engine1" zone-1
set_engine engine-2 "$engine2" zone-2
set_engine engine-3 "$engine3" zone-3
set_service kiln-1 "$service" zone-1
ctl --wait set class.queueTimeoutMs 20000
PROCESS_CHECK_PLAN="{\"entryUrls\":[\"http://127.0.0.1:$caller1\",\"http://127.0.0.1:$caller2\",\"http://127.0.0.1:$caller3\"],\"platformUrl\":\"$platform_url\",\"serviceUrl\":\"http://127.0.0.1:$service\",\"enginePid\":$engine_pid,\"killedPid\":$killed_pid,\"pausedPid\":$paused_pid,\"stoppedPid\":$stopped_pid}"
export PROCESS_CHECK_PLAN
node dist/experiments/process-check/main.js
