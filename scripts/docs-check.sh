#!/usr/bin/env bash
# Runs the commands in the "sh check" code blocks of docs/OPERATIONS.md against a fleet of stand-ins,
# and fails if one of them fails or if there are none.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/ensure-ready.sh
source scripts/lib/fleet.sh
read -r platform caller1 peer1 caller2 peer2 <<<"$(node dist/experiments/demo/free-ports.js 5)"
platform_url="http://127.0.0.1:$platform"
launch standin-platform --listen-port "$platform"
entry entry-1 "$caller1" "$peer1" zone-1
entry entry-2 "$caller2" "$peer2" zone-2
wait_ports "$platform" "$caller1" "$peer1" "$caller2" "$peer2"
set_vms "entry,entry-1,$peer1,zone-1" "entry,entry-2,$peer2,zone-2"
# Like the platform, the stand-in shows a new VM list only after its lag.
sleep 1.5
cowslipctl() {
	node "$programs/cowslipctl.js" --platform-url "$platform_url" --operator-token operator-token \
		"$@" >/dev/null
}
cowslip-explain() {
	node "$programs/explain.js" "$@"
}
commands="$(awk '/^```sh check$/ {on = 1; next} /^```$/ {on = 0} on' docs/OPERATIONS.md)"
count=0
while IFS= read -r command; do
	if ! eval "$command"; then
		echo "docs/OPERATIONS.md: command failed: $command" >&2
		exit 1
	fi
	count=$((count + 1))
done <<<"$commands"
[ "$count" -gt 0 ]
echo "docs/OPERATIONS.md: $count commands ran"
