import type {
	CallerRequest,
	RouteRule,
	TargetEntry,
} from '../../common/index.js';
import type {AdmittedRequest} from '../../decisions/serving/index.js';

/** A route as the operator's configuration has it. */
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
		...changes,
	};
}

/** A request of a caller. */
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

/** A request that was admitted at time 0. */
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
		priority: route.priority,
		arrivedMs: 0,
		previousWaitMs: 0,
		deadlineMs: route.timeoutMs,
	};
}

/** A target that registered itself. */
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
