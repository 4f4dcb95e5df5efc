/** A route as the operator writes it. */
export type OperatorRoute = {
	readonly name: string;
	readonly prefix: string;
	readonly kind: 'idempotent' | 'non_idempotent' | 'stream';
	readonly service: string;
	readonly timeoutMs?: number;
	readonly objectiveMs?: number;
};

/** A version of the configuration as the operator writes it. */
export type OperatorConfiguration = {
	readonly version: number;
	readonly host: string;
	readonly routes: readonly OperatorRoute[];
	readonly account: string;
	readonly apiKeys: readonly string[];
};

const defaultTimeoutMs = 2000;
const defaultObjectiveMs = 500;

/** Value of the row that holds the configuration. */
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
		})),
		tenants: [{name: account, api_keys: apiKeys}],
	};
}

/** Value of the row in which a target registers itself. */
export function targetRow(
	service: string,
	address: string,
	state: 'draining' | 'ready' = 'ready',
	slotCount = 6,
): Readonly<Record<string, unknown>> {
	return {service, address, zone: 'zone-1', slots: slotCount, state};
}
