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

/** Decides when a lost generation of one stream is replaced by a new one. */
export type RestartPolicy = Disposable & {
	/**
	 * Replaces a lost generation, at once or as soon as the restart budget allows.
	 * @param callerHasTokens - true if tokens were written to the caller, which then has declared that it
	 * supports restarts
	 */
	handleLoss(placement: GenerationPlacement, callerHasTokens: boolean): void;
	/** Retries a replacement that was refused, with backoff, until the restart window ends. */
	handleRefusal(placement: GenerationPlacement, problem: ProblemError): void;
};

export type RestartPolicyOptions = {
	readonly account: string;
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	readonly limits: RelayLimits;
	readonly restartBudget: RestartBudget;
	/** Called to start the replacement. */
	readonly onRestart: (lost: GenerationPlacement) => void;
	/** Called when the restart window has ended without a replacement. */
	readonly onGivenUp: (problem: ProblemError) => void;
};

export function createRestartPolicy(
	options: RestartPolicyOptions,
): RestartPolicy {
	const {clock, limits} = options;
	let lostAtMs = 0;
	let delayCount = 0;
	let declaredRestartCount = 0;
	let timer: Disposable | undefined;

	const retryLater = (retry: () => void, refusal: ProblemError | undefined) => {
		if (clock.nowMs() - lostAtMs >= limits.restartWindowMs) {
			options.onGivenUp(
				new ProblemError(
					'generation-lost',
					'the engine lost the generation and no replacement could be started in time; send the request again',
					{
						cause: refusal,
						retryAfterMs: refusal?.retryAfterMs ?? limits.backoffMaxMs,
					},
				),
			);
			return;
		}

		delayCount++;
		const delayMs = fullJitterMs(
			options.random,
			delayCount,
			limits.backoffBaseMs,
			limits.backoffMaxMs,
		);
		timer = options.timers.after(delayMs, retry);
	};

	const restartWithinBudget = (placement: GenerationPlacement) => {
		if (options.restartBudget.tryTake(options.account, placement.targetId)) {
			options.onRestart(placement);
		} else {
			retryLater(() => {
				restartWithinBudget(placement);
			}, undefined);
		}
	};

	return {
		handleLoss(placement, callerHasTokens) {
			lostAtMs = clock.nowMs();
			delayCount = 0;
			// The first restart of a stream whose caller has declared support for restarts is free; later ones
			// are charged to the budget.
			if (callerHasTokens && declaredRestartCount++ === 0) {
				options.onRestart(placement);
			} else {
				restartWithinBudget(placement);
			}
		},
		handleRefusal(placement, problem) {
			retryLater(() => {
				options.onRestart(placement);
			}, problem);
		},
		dispose() {
			timer?.dispose();
		},
	};
}
