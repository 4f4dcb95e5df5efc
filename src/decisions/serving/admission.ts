import type {
	CallerRequest,
	RandomSource,
	RouteRule,
} from '../../common/index.js';
import type {PreviousWaitEstimator} from './previous-wait-estimator.js';
import {localResponseStatus} from './refusals.js';
import type {RouteTable} from './route-table.js';
import type {AdmittedRequest} from './session-types.js';

/** What becomes of a request before it is placed. */
export type Admission =
	| {readonly admitted: AdmittedRequest}
	| {
			readonly status: number;
			readonly reason: string;
			/** Time after which the caller may come back, in milliseconds. */
			readonly retryAfterMs: number | undefined;
	  };

/** What a request is admitted by. */
export type AdmissionInputs = {
	readonly table: RouteTable | undefined;
	/** True while the configuration is confirmed to be the newest. */
	readonly isConfirmed: boolean;
	readonly nowMs: number;
	readonly previousWaitEstimator: PreviousWaitEstimator;
	readonly random: RandomSource;
};

const retryAfterMs = 500;

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
 * Decides whether a request may be served, by the newest configuration that this VM knows. Where that
 * may be out of date, what it does not know is refused as not run and not as unknown.
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
