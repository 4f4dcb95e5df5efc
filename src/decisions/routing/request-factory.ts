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

export type RequestFactoryOptions = {
	readonly clock: Clock;
	readonly ledger: ContractLedger;
	readonly statistics: LengthStatistics;
};

/** Creates the queue entries of new requests and the state of generations taken over from another VM. */
export type RequestFactory = {
	/**
	 * Forecasts a request, reserves its tokens and creates its queue entry.
	 * @throws ProblemError `rate-limited` when the account has reached its ceiling
	 */
	createQueued(
		request: RoutingRequest,
		settings: RoutingSettings,
		callbacks: RoutingCallbacks,
		avoidTargetId: string | undefined,
	): PendingRequest;
	/**
	 * Creates the state of a generation that another VM placed; its tokens from `receivedCount` on are
	 * charged here.
	 * @param receivedCount - number of tokens that the caller has
	 */
	createAdopted(
		request: RoutingRequest,
		settings: RoutingSettings,
		targetId: string,
		receivedCount: number,
	): OpenGeneration;
};

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
		createAdopted(request, settings, targetId, receivedCount) {
			const {distribution, forecast} = forecastRequest(
				statistics,
				request,
				receivedCount,
			);
			return {
				request,
				targetId,
				distribution,
				reservation: ledger.adopt(request.account, clock.wallMs()),
				queueChargedTokens: receivedCount,
				shareWeight: settings.contract.shareWeight,
				forecast,
				forecastAtTokens: receivedCount,
				chargedTokens: receivedCount,
				forecastAtMs: undefined,
				nextMinuteTokens: 0,
			};
		},
	};
}
