import {
	type Clock,
	type Disposable,
	ProblemError,
	type RandomSource,
	type Timers,
} from '../../common/index.js';
import {fullJitterMs} from '../retries/index.js';
import type {RelayLimits} from './relay-limits.js';
import type {GenerationPlacement, RestartBudget} from './types.js';

/** Decides when a lost generation is started over. */
export type RestartPolicy = Disposable & {
	/**
	 * A generation was lost and is to be replaced, now or when the budget allows.
	 * @param isDeclared - the caller has tokens and declared that it takes a restart
	 */
	handleLoss(place: GenerationPlacement, isDeclared: boolean): void;
	/** No engine took the replacement; it is tried again for a while. */
	handleRefusal(place: GenerationPlacement, problem: ProblemError): void;
};

/** What a policy needs. */
export type RestartPolicyOptions = {
	readonly account: string;
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	readonly limits: RelayLimits;
	readonly restartBudget: RestartBudget;
	/** Starts the replacement. */
	readonly onRestart: (lost: GenerationPlacement) => void;
	/** The replacement is given up. */
	readonly onGivenUp: (problem: ProblemError) => void;
};

/** Creates the policy of one stream. */
export function createRestartPolicy(
	options: RestartPolicyOptions,
): RestartPolicy {
	const {clock, limits} = options;
	let lostSinceMs = 0;
	let delays = 0;
	let declaredRestarts = 0;
	let timer: Disposable | undefined;

	const later = (run: () => void, refusal: ProblemError | undefined) => {
		if (clock.nowMs() - lostSinceMs >= limits.restartWindowMs) {
			options.onGivenUp(
				new ProblemError(
					'generation-lost',
					'the engine lost the generation and no other has room; ask again',
					{
						cause: refusal,
						retryAfterMs: refusal?.retryAfterMs ?? limits.backoffMaxMs,
					},
				),
			);
			return;
		}

		delays++;
		const delayMs = fullJitterMs(
			options.random,
			delays,
			limits.backoffBaseMs,
			limits.backoffMaxMs,
		);
		timer = options.timers.after(delayMs, run);
	};

	const charge = (place: GenerationPlacement) => {
		if (options.restartBudget.tryTake(options.account, place.targetId)) {
			options.onRestart(place);
		} else {
			later(() => {
				charge(place);
			}, undefined);
		}
	};

	return {
		handleLoss(place, isDeclared) {
			lostSinceMs = clock.nowMs();
			delays = 0;
			// Restarts by the caller's declaration are charged only after one for each stream.
			if (isDeclared && declaredRestarts++ === 0) {
				options.onRestart(place);
			} else {
				charge(place);
			}
		},
		handleRefusal(place, problem) {
			later(() => {
				options.onRestart(place);
			}, problem);
		},
		dispose() {
			timer?.dispose();
		},
	};
}
