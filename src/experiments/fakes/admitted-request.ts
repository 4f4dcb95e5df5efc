import type {
	CallerRequest,
	RouteRule,
	TargetEntry,
} from '../../common/index.js';
import type {AdmittedRequest} from '../../decisions/serving/index.js';

/** Creates a route with the settings of an idempotent call, apart from `changes`. */
export function fakeRoute(changes: Partial<RouteRule> = {}): RouteRule {
	return {
		name: 'r-1',
		host: 'a.example',
		pathPrefix: '/stock/',
		kind: 'idempotent',
		timeoutMs: 1000,
		objectiveMs: 193,
		maxEventGapMs: undefined,
		maxAttempts: 2,
		priority: 1,
		anonymous: false,
		resumable: false,
		generation: false,
		shares: [{service: 'desk', weight: 1}],
		allowedRegions: [],
		...changes,
	};
}

/** Creates a request that matches `fakeRoute()`. */
export function fakeCallerRequest(
	changes: Partial<CallerRequest> = {},
): CallerRequest {
	return {
		id: 'q1',
		method: 'GET',
		path: '/stock/7',
		host: 'a.example',
		headers: [],
		body: undefined,
		timeoutMs: 1000,
		apiKey: 'key-1',
		generation: undefined,
		lastEventId: undefined,
		...changes,
	};
}

/**
 * Creates a request that was admitted at time 0, with the deadline and priority of its route.
 * @param changes - settings of the route that differ from `fakeRoute()`
 */
export function fakeAdmittedRequest(
	changes: Partial<RouteRule> = {},
	request: Partial<CallerRequest> = {},
): AdmittedRequest {
	const route = fakeRoute(changes);
	return {
		request: fakeCallerRequest(request),
		route,
		service: 'desk',
		account: 'finishers',
		allowedRegions: undefined,
		priority: route.priority,
		arrivedMs: 0,
		previousWaitMs: 0,
		deadlineMs: route.timeoutMs,
	};
}

/** Creates the entry of a ready target; the digits in `id` become the last part of its address. */
export function fakeTargetEntry(
	id: string,
	changes: Partial<TargetEntry> = {},
): TargetEntry {
	return {
		id,
		service: 'desk',
		address: `10.0.0.${id.replaceAll(/\D/g, '')}:80`,
		availabilityZone: 'zone-1',
		slotCount: 6,
		state: 'ready',
		warmingMs: 0,
		bornMs: 1,
		...changes,
	};
}
