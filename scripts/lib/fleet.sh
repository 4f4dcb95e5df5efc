# Starts and ends the programs of a small fleet on the loopback address. To be sourced by scripts.
programs=dist/programs
logs="$(mktemp -d)"
pids=()

# Kills the processes that this script started and removes their logs.
finish() {
	for pid in "${pids[@]}"; do
		kill -KILL "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	rm -rf "$logs"
}
trap finish EXIT

# launch PROGRAM FLAGS...: starts a program in the background and sets last_pid to its process id.
launch() {
	local name="$1"
	shift
	node "$programs/$name.js" "$@" >"$logs/${#pids[@]}.log" 2>&1 &
	last_pid="$!"
	# Keeps the shell from printing a message when the process is killed.
	disown "$last_pid"
	pids+=("$last_pid")
}

# entry NAME CALLER_PORT PEER_PORT ZONE: starts the daemon of an entry VM.
entry() {
	launch entry --name "$1" --listen-port "$2" --peer-port "$3" --availability-zone "$4" --region pirkanmaa \
		--platform-url "$platform_url" --operator-token operator-token --peer-token peer-token \
		--account-tokens finishers=finishers-token,orders=orders-token --stream-key stream-key \
		--poll-interval-ms 500
}

# wait_ports PORT...: waits until a process listens on each port, for at most about 20 s per port.
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

# set_vms ROLE,NAME,PORT,ZONE...: replaces the VM list of the platform. PORT is the peer port of an entry VM.
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

# ctl ARGUMENTS...: runs cowslipctl with JSON output to standard error. The array entry_flags holds its
# --entry flags.
ctl() {
	node "$programs/cowslipctl.js" --platform-url "$platform_url" --operator-token operator-token --json \
		"${entry_flags[@]}" "$@" >&2
}

# set_engine ID PORT ZONE, set_service ID PORT ZONE: add a target to the configuration.
set_engine() {
	ctl set "target.$1" "{\"kind\":\"engine\",\"url\":\"http://127.0.0.1:$2\",\"availabilityZone\":\"$3\",\"models\":[\"inspector\"]}"
}
set_service() {
	ctl set "target.$1" "{\"kind\":\"service\",\"url\":\"http://127.0.0.1:$2\",\"availabilityZone\":\"$3\",\"service\":\"kiln\",\"answersOutcomes\":true}"
}
