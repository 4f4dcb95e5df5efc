import type {Clock} from '../../common/index.js';
import type {ContractLedger} from '../contracts/index.js';
import type {LengthStatistics} from './length-statistics.js';
import {forecastRequest} from './request-forecast.js';
import type {RoutingCallbacks} from './router-types.js';
import type {
	OpenGeneration,
	PendingRequest,
	RoutingRequest,
	RoutingSettings,
} from './types.js';

/** What the intake works with. */
export type RequestFactoryOptions = {
	readonly clock: Clock;
	readonly ledger: ContractLedger;
	readonly statistics: LengthStatistics;
};

/** Turns requests of callers into entries of the queue and of the open generations. */
export type RequestFactory = {
	/**
	 * Forecasts a request and reserves its tokens.
	 * @throws ProblemError `rate-limited` when the account has reached its ceiling
	 */
	createQueued(
		request: RoutingRequest,
		settings: RoutingSettings,
		callbacks: RoutingCallbacks,
		avoidTargetId: string | undefined,
	): PendingRequest;
	/**
	 * A generation that another VM placed and charged for.
	 * @param position - tokens produced before
	 */
	createAdopted(
		request: RoutingRequest,
		settings: RoutingSettings,
		targetId: string,
		position: number,
	): OpenGeneration;
};

/** Creates an intake. */
export function createRequestFactory(
	options: RequestFactoryOptions,
): RequestFactory {
	const {clock, ledger, statistics} = options;
	return {
		createQueued(request, settings, callbacks, avoidTargetId) {
			const {account, requestClass} = request;
			const {distribution, forecast, expectedTokens} = forecastRequest(
				statistics,
				request,
				0,
			);
			const reservation = ledger.reserve(
				account,
				Math.round(expectedTokens),
				clock.wallMs(),
			);
			const arrivedMs = clock.nowMs();
			return {
				account,
				requestClass,
				request,
				settings,
				distribution,
				forecast,
				reservation,
				expectedTokens,
				arrivedMs,
				deadlineMs: arrivedMs + settings.classSettings.queueTimeoutMs,
				avoidTargetId,
				withdrawn: false,
				onPlaced(route) {
					callbacks.onPlaced(route);
				},
				onRefused(problem) {
					callbacks.onRefused(problem);
				},
			};
		},
		createAdopted(request, settings, targetId, position) {
			const {distribution, forecast} = forecastRequest(
				statistics,
				request,
				position,
			);
			return {
				request,
				targetId,
				distribution,
				reservation: ledger.adopt(request.account, clock.wallMs()),
				queueChargedTokens: position,
				shareWeight: settings.contract.shareWeight,
				forecast,
				forecastAtTokens: position,
				chargedTokens: position,
				forecastAtMs: undefined,
				nextMinuteTokens: 0,
			};
		},
	};
}
