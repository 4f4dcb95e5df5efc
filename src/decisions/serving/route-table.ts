import type {
	AccountRule,
	DeploymentConfiguration,
	RouteRule,
} from '../../common/index.js';

/** Index of the routes and API keys of one configuration. */
export type RouteTable = {
	readonly configuration: DeploymentConfiguration;
	/** Returns the route of the host with the longest matching path prefix; the query is ignored. */
	match(host: string, path: string): RouteRule | undefined;
	/** Returns the client account to which the API key belongs. */
	accountOf(apiKey: string | undefined): AccountRule | undefined;
};

/** Builds the index of a configuration. */
export function createRouteTable(
	configuration: DeploymentConfiguration,
): RouteTable {
	const byHost = new Map<string, RouteRule[]>();
	for (const route of configuration.routes) {
		const routes = byHost.get(route.host) ?? [];
		routes.push(route);
		byHost.set(route.host, routes);
	}

	for (const routes of byHost.values()) {
		routes.sort(
			(first, second) => second.pathPrefix.length - first.pathPrefix.length,
		);
	}

	const byKey = new Map<string, AccountRule>();
	for (const account of configuration.accounts ?? []) {
		for (const key of account.apiKeys) {
			byKey.set(key, account);
		}
	}

	return {
		configuration,
		match(host, path) {
			const query = path.indexOf('?');
			const pathOnly = query === -1 ? path : path.slice(0, query);
			return byHost
				.get(host)
				?.find((route) => pathOnly.startsWith(route.pathPrefix));
		},
		accountOf(apiKey) {
			return apiKey === undefined ? undefined : byKey.get(apiKey);
		},
	};
}
