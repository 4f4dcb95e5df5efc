# Starts and ends the binaries of a small fleet on loopback. Sourced by the demo and the process check.
programs=dist/programs
logs="$(mktemp -d)"
pids=()

# Ends the processes that this script started.
finish() {
	for pid in "${pids[@]}"; do
		kill -KILL "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	rm -rf "$logs"
}
trap finish EXIT

# launch PROGRAM FLAGS...: starts a program; its process id is then in last_pid.
launch() {
	local name="$1"
	shift
	node "$programs/$name.js" "$@" >"$logs/${#pids[@]}.log" 2>&1 &
	last_pid="$!"
	# The shell then prints nothing when the process is killed on purpose.
	disown "$last_pid"
	pids+=("$last_pid")
}

# entry NAME CALLER_PORT PEER_PORT ZONE: starts an entry VM's daemon.
entry() {
	launch entry --name "$1" --listen-port "$2" --peer-port "$3" --availability-zone "$4" --region pirkanmaa \
		--platform-url "$platform_url" --operator-token operator-token --peer-token peer-token \
		--account-tokens finishers=finishers-token,orders=orders-token --stream-key stream-key \
		--poll-interval-ms 500
}

# wait_ports PORT...: waits until something listens on each port.
wait_ports() {
	local port
	for port in "$@"; do
		for _ in $(seq 200); do
			if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
				break
			fi
			sleep 0.1
		done
	done
}

# set_vms ROLE,NAME,PORT,ZONE...: replaces the platform's VM list; an entry VM's port is its peer port.
set_vms() {
	node -e '
		const [url, ...rows] = process.argv.slice(1);
		const vms = rows.map((row) => {
			const [role, name, port, availabilityZone] = row.split(",");
			return {instanceId: name, role, name, availabilityZone, region: "pirkanmaa", address: `127.0.0.1:${port}`, state: "live"};
		});
		fetch(`${url}/vms`, {method: "PUT", body: JSON.stringify(vms)}).then((response) => {
			process.exitCode = response.ok ? 0 : 1;
		});
	' "$platform_url" "$@"
}

# ctl FLAGS...: runs the operator's command line; entry_flags names the entry VMs.
ctl() {
	node "$programs/cowslipctl.js" --platform-url "$platform_url" --operator-token operator-token --json \
		"${entry_flags[@]}" "$@" >&2
}

# set_engine ID PORT ZONE, set_service ID PORT ZONE: describe targets in the configuration.
set_engine() {
	ctl set "target.$1" "{\"kind\":\"engine\",\"url\":\"http://127.0.0.1:$2\",\"availabilityZone\":\"$3\",\"models\":[\"inspector\"]}"
}
set_service() {
	ctl set "target.$1" "{\"kind\":\"service\",\"url\":\"http://127.0.0.1:$2\",\"availabilityZone\":\"$3\",\"service\":\"kiln\",\"answersOutcomes\":true}"
}
