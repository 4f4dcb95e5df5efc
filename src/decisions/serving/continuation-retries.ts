import type {Disposable} from '../../common/index.js';
import type {AdmittedRequest, SessionServices} from './session-types.js';

/** Leave of one generation to be sent once more, which the fleet's retry budget gives. */
export type ContinuationRetries = Disposable & {
	/** False while a question is open, and for a while after one was denied. */
	readonly mayRequest: boolean;
	/** @param onAnswer - called once, unless the generation has ended before */
	request(onAnswer: (isGranted: boolean) => void): void;
};

/** Time after a denial in which no question is asked that can wait, in milliseconds. */
const askAgainMs = 1000;

/** Creates a leave that was not asked for. */
export function createContinuationRetries(
	{request, service}: AdmittedRequest,
	{clock, retryShare, log}: SessionServices,
): ContinuationRetries {
	let asking: Disposable | undefined;
	let deniedMs = -Infinity;

	return {
		get mayRequest() {
			return !asking && clock.nowMs() - deniedMs > askAgainMs;
		},
		request(onAnswer) {
			let isAnswered = false;
			const taking = retryShare.take(service, (isGranted) => {
				isAnswered = true;
				asking = undefined;
				if (!isGranted) {
					deniedMs = clock.nowMs();
					log('continuation denied', {
						request: request.id,
						reason: 'retry budget',
					});
				}

				onAnswer(isGranted);
			});
			if (!isAnswered) {
				asking = taking;
			}
		},
		dispose() {
			asking?.dispose();
		},
	};
}
