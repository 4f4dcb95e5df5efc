import type {AccountRule, RouteRule} from '../../common/index.js';

/** Regions whose targets may get a request; undefined for all, empty for none. */
export type AllowedRegions = ReadonlySet<string> | undefined;

/** Regions that both the route and the client account of a request allow. */
export function allowedRegionsOf(
	route: Pick<RouteRule, 'allowedRegions'>,
	account: Pick<AccountRule, 'allowedRegions'> | undefined,
): AllowedRegions {
	const [first, second] = [route, account]
		.map((rule) => rule?.allowedRegions ?? [])
		.filter((regions) => regions.length > 0);
	if (!first) {
		return undefined;
	}

	return new Set(
		second ? first.filter((region) => second.includes(region)) : first,
	);
}
