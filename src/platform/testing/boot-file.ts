/** Ports that a VM listens on, and the port of the store on the loopback address. */
export type VmPorts = {
	readonly front: number;
	readonly ready: number;
	readonly peer: number;
	readonly store: number;
};

/** Ports used if a test sets none. */
export const defaultPorts: VmPorts = {
	front: 8740,
	ready: 8749,
	peer: 7200,
	store: 8742,
};

/** Values that differ between the boot files of VMs. */
export type BootFileOptions = {
	readonly name?: string;
	/** Address that the VM listens on. */
	readonly ip?: string;
	/** Addresses at which other VMs may be found. */
	readonly seedIps?: readonly string[];
	/** Bounds that replace the defaults, by their names in the file. */
	readonly bounds?: Readonly<Record<string, number>>;
};

/** @returns the content of a boot file in the format of the platform */
export function bootFile(
	ports: VmPorts = defaultPorts,
	options: BootFileOptions = {},
): Readonly<Record<string, unknown>> {
	const {
		name = 'edge-1',
		ip = '127.0.0.1',
		seedIps = [],
		bounds = {},
	} = options;
	return {
		node: name,
		ip,
		zone: 'zone-1',
		region: 'region-1',
		listen: {
			front: `${ip}:${ports.front}`,
			ready: `${ip}:${ports.ready}`,
		},
		port_range: [ports.peer, ports.peer + 1],
		seed_nodes: seedIps.map((seedIp) => `${seedIp}:${ports.peer}`),
		heartbeat_ms: 1200,
		limits: {memory_mb: 200, max_fds: 4100},
		bounds: {
			drain_ms: 2000,
			grace_s: 8,
			config_apply_ms: 2000,
			retry_budget_ratio: 0.2,
			retry_budget_extra: 56,
			budget_window_s: 10,
			reuse_after_s: 2,
			...bounds,
		},
		platform: {address: `127.0.0.1:${ports.store}`},
	};
}
