import type {
	CallerRequest,
	RandomSource,
	RouteRule,
} from '../../common/index.js';
import {allowedRegionsOf} from '../target-eligibility/index.js';
import type {PreviousWaitEstimator} from './previous-wait-estimator.js';
import {localResponseStatus} from './refusals.js';
import type {RouteTable} from './route-table.js';
import type {AdmittedRequest} from './session-types.js';

/** Result of the admission of a request: admitted or refused. */
export type Admission =
	| {readonly admitted: AdmittedRequest}
	| {
			readonly status: number;
			readonly reason: string;
			/** Value for `Retry-After`, in milliseconds; undefined for final refusals. */
			readonly retryAfterMs: number | undefined;
	  };

/** State by which requests are admitted. */
export type AdmissionInputs = {
	/** Undefined until a configuration is known. */
	readonly table: RouteTable | undefined;
	/** True while the configuration is confirmed to be the latest. */
	readonly isConfirmed: boolean;
	/** Current monotonic time, in milliseconds. */
	readonly nowMs: number;
	readonly previousWaitEstimator: PreviousWaitEstimator;
	readonly random: RandomSource;
};

/** `Retry-After` for a request that may be admitted later, in milliseconds. */
const retryAfterMs = 500;

/** Draws one of the services of a route at random, by the weights of its shares. */
function drawService(route: RouteRule, random: RandomSource): string {
	const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
	let left = random.nextUnit() * total;
	for (const share of route.shares) {
		left -= share.weight;
		if (left < 0) {
			return share.service;
		}
	}

	return route.shares.at(-1)?.service ?? '';
}

/**
 * Decides whether a request is served, by the latest configuration that this VM has. While the
 * configuration may be out of date, an unknown route or API key is refused with a retryable 503 instead
 * of 404 or 401, since a newer version may contain it.
 */
export function admit(
	request: CallerRequest,
	{table, isConfirmed, nowMs, previousWaitEstimator, random}: AdmissionInputs,
): Admission {
	const refuse = (status: number, reason: string): Admission => ({
		status,
		reason,
		retryAfterMs:
			status === localResponseStatus.notRun ? retryAfterMs : undefined,
	});

	if (!table) {
		return refuse(localResponseStatus.notRun, 'no configuration is known yet');
	}

	const route = table.match(request.host, request.path);
	if (!route) {
		return isConfirmed
			? refuse(localResponseStatus.notFound, 'no route for this host and path')
			: refuse(
					localResponseStatus.notRun,
					'the configuration may be out of date',
				);
	}

	const account = table.accountOf(request.apiKey);
	const needsKey =
		table.configuration.accounts !== undefined && !route.anonymous;
	if (needsKey && !account) {
		return isConfirmed
			? refuse(localResponseStatus.unauthorized, 'the API key is not known')
			: refuse(
					localResponseStatus.notRun,
					'the configuration may be out of date',
				);
	}

	const timeoutMs = Math.min(route.timeoutMs, request.timeoutMs ?? Infinity);
	return {
		admitted: {
			request,
			route,
			service: drawService(route, random),
			account: account?.name,
			allowedRegions: allowedRegionsOf(route, account),
			priority: account?.priority ?? route.priority,
			arrivedMs: nowMs,
			previousWaitMs: previousWaitEstimator.estimateMs(
				route.name,
				request.timeoutMs,
			),
			deadlineMs: nowMs + timeoutMs,
		},
	};
}
