import type {Disposable} from '../../common/index.js';
import type {AdmittedRequest, SessionServices} from './session-types.js';

/** Requests retries for continuing the run of one generation from the retry budget. */
export type ContinuationRetries = Disposable & {
	/** False while a request is pending, and for `denialCooldownMs` after a denial. */
	readonly mayRequest: boolean;
	/** @param onDecision - called once, possibly before this returns, unless disposed before */
	request(onDecision: (isGranted: boolean) => void): void;
};

/** Time after a denial during which retries that can wait are not requested, in milliseconds. */
const denialCooldownMs = 1000;

/** Creates the requests of a generation that has not requested a retry. */
export function createContinuationRetries(
	{request, service}: AdmittedRequest,
	{clock, retryShare, log}: SessionServices,
): ContinuationRetries {
	let pending: Disposable | undefined;
	let deniedMs = -Infinity;

	return {
		get mayRequest() {
			return !pending && clock.nowMs() - deniedMs > denialCooldownMs;
		},
		request(onDecision) {
			let isDecided = false;
			const retryRequest = retryShare.take(service, (isGranted) => {
				isDecided = true;
				pending = undefined;
				if (!isGranted) {
					deniedMs = clock.nowMs();
					log('continuation denied', {
						request: request.id,
						reason: 'retry budget',
					});
				}

				onDecision(isGranted);
			});
			if (!isDecided) {
				pending = retryRequest;
			}
		},
		dispose() {
			pending?.dispose();
		},
	};
}
