/** A route of the operator's configuration. */
export type OperatorRoute = {
	readonly name: string;
	readonly prefix: string;
	readonly kind: 'idempotent' | 'non_idempotent' | 'stream';
	readonly service: string;
	readonly timeoutMs?: number;
	/** Latency objective, in milliseconds. */
	readonly objectiveMs?: number;
};

/** A version of the operator's configuration with one host and one client account. */
export type OperatorConfiguration = {
	readonly version: number;
	readonly host: string;
	readonly routes: readonly OperatorRoute[];
	readonly account: string;
	readonly apiKeys: readonly string[];
};

const defaultTimeoutMs = 2000;
const defaultObjectiveMs = 500;
/** Limits on what callers may send, as the operator writes them. */
const callerLimits = {
	max_header_bytes: 16_384,
	max_body_bytes: 4_194_304,
	header_timeout_ms: 5000,
	idle_timeout_ms: 20_000,
};

/** @returns value of the store row with the operator's configuration */
export function configurationRow({
	version,
	host,
	routes,
	account,
	apiKeys,
}: OperatorConfiguration): Readonly<Record<string, unknown>> {
	return {
		version,
		routes: routes.map((route) => ({
			name: route.name,
			hostname: host,
			prefix: route.prefix,
			kind: route.kind,
			service: route.service,
			timeout_ms: route.timeoutMs ?? defaultTimeoutMs,
			target_latency_ms: route.objectiveMs ?? defaultObjectiveMs,
			priority: 1,
			max_attempts: route.kind === 'idempotent' ? 2 : 1,
		})),
		services: [...new Set(routes.map(({service}) => service))].map((name) => ({
			name,
			health_path: '/healthz',
			max_conns: 100,
		})),
		limits: callerLimits,
		tenants: [{name: account, api_keys: apiKeys}],
	};
}

/** @returns value of the store row in which a target registers itself */
export function targetRow(
	service: string,
	address: string,
	state: 'draining' | 'ready' = 'ready',
	slotCount = 6,
): Readonly<Record<string, unknown>> {
	return {
		service,
		address,
		zone: 'zone-1',
		version: 'v1',
		slots: slotCount,
		state,
		cold_left_ms: 0,
		seq: 1,
	};
}
