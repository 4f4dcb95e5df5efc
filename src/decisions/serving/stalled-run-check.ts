import type {SendFailure} from '../../common/index.js';
import type {ContinuationRetries} from './continuation-retries.js';
import type {StallDetector} from './stall-detector.js';
import type {StreamAttempt} from './stream-attempt.js';
import type {StreamCopies} from './stream-copies.js';

export type StalledRunCheckOptions = {
	readonly stallDetector: StallDetector;
	readonly retries: ContinuationRetries;
	readonly copies: StreamCopies;
	/** True while the attempt is the open one of its stream. */
	readonly isCurrent: (attempt: StreamAttempt) => boolean;
	/** Called when the run may continue elsewhere; the retry budget has been charged. */
	readonly onGranted: (attempt: StreamAttempt, failure: SendFailure) => void;
};

/** Finds runs that make no progress and can continue from a copy. */
export type StalledRunCheck = {
	/** Called at regular intervals. Without retry budget the run is kept, since its engine may still resume it. */
	check(attempt: StreamAttempt): void;
};

const silentFailure: SendFailure = {
	unsent: false,
	connectionEnded: false,
	reason: 'the engine is silent',
};

export function createStalledRunCheck({
	stallDetector,
	retries,
	copies,
	isCurrent,
	onGranted,
}: StalledRunCheckOptions): StalledRunCheck {
	return {
		check(attempt) {
			const canContinue = retries.mayRequest && copies.hasUsableCopy(attempt);
			if (!stallDetector.isStalled || !canContinue) {
				return;
			}

			retries.request((isGranted) => {
				if (isGranted && isCurrent(attempt)) {
					onGranted(attempt, silentFailure);
				}
			});
		},
	};
}
