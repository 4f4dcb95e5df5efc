import type {Logger} from '../../adapters/system/index.js';
import {
	type Clock,
	createDisposableStore,
	type Disposable,
	type RandomSource,
} from '../../common/index.js';
import {
	type AvoidedTargets,
	type CallObserver,
	createAvoidedTargets,
	createCallObserver,
} from '../../decisions/fleet-health/index.js';
import {
	createOutlierDetector,
	type OutlierDetector,
} from '../../decisions/retries/index.js';

/** What this VM and the fleet know of the health of targets. */
export type TargetHealth = Disposable & {
	/** By the requests of this VM alone. */
	readonly detector: OutlierDetector;
	/** Counts what the calls of this VM show, for the coordinator. */
	readonly observer: CallObserver;
	/** By the calls of all VMs. */
	readonly avoidedTargets: AvoidedTargets;
};

export function createTargetHealth(
	clock: Clock,
	random: RandomSource,
	logger: Pick<Logger, 'warn'>,
): TargetHealth {
	const owned = createDisposableStore();
	return {
		detector: createOutlierDetector({
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
		}),
		observer: createCallObserver(clock),
		avoidedTargets: owned.add(createAvoidedTargets(clock, random)),
		dispose() {
			owned.dispose();
		},
	};
}
