import type {Logger} from '../../adapters/system/index.js';
import type {Clock} from '../../common/index.js';
import {
	createOutlierDetector,
	type OutlierDetector,
} from '../../decisions/retries/index.js';

/** Creates the outlier detection for the requests of this VM. */
export function createFrontDetector(
	clock: Clock,
	logger: Logger,
): OutlierDetector {
	return createOutlierDetector({
		clock,
		maxFailures: 2,
		slowFactor: 4,
		slowMinMs: 250,
		ejectionMs: 800,
		maxEjectionMs: 4000,
		maxEjectedFraction: 0.6,
		onEjected(targetId, untilMs) {
			logger.warn('target ejected', {
				target: targetId,
				forMs: Math.round(untilMs - clock.nowMs()),
			});
		},
	});
}
