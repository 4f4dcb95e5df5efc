import {
	createDisposableStore,
	type Disposable,
	type TargetEntry,
	type Timers,
} from '../../common/index.js';
import type {
	PermitDecision,
	PermitRequest,
	RateLimitTable,
} from '../rate-limits/index.js';

/**
 * Waits for the turn of a run that is to continue at an engine.
 * @param onDecision - called once unless disposed before, with false if the engine's rate limit leaves no turn
 *   in time; called before this returns if the engine has no limit
 */
export type RequestContinuationTurn = (
	target: TargetEntry,
	onDecision: (isGranted: boolean) => void,
) => Disposable;

export type ContinuationTurnOptions = {
	readonly timers: Timers;
	readonly rateLimits: Pick<RateLimitTable, 'limitOf'>;
	readonly requestPermit: (
		request: PermitRequest,
		onDecision: (decision: PermitDecision) => void,
	) => Disposable;
};

/** Longest wait of a begun stream, in milliseconds; callers abandon a stream after some seconds without events. */
const maxWaitMs = 1000;

/** Runs that continue go ahead of new requests: what their callers have received would be lost. */
export function createContinuationTurns({
	timers,
	rateLimits,
	requestPermit,
}: ContinuationTurnOptions): RequestContinuationTurn {
	return (target, onDecision) => {
		const owned = createDisposableStore();
		const requestsPerSecond = rateLimits.limitOf(target.id);
		if (requestsPerSecond === undefined) {
			onDecision(true);
			return owned;
		}

		const request: PermitRequest = {
			targets: [{targetId: target.id, requestsPerSecond}],
			maxWaitMs,
			isUrgent: true,
		};
		owned.add(
			requestPermit(request, (decision) => {
				const isGranted = decision.outcome === 'granted';
				if (isGranted && decision.waitMs > 0) {
					owned.add(
						timers.after(decision.waitMs, () => {
							onDecision(true);
						}),
					);
				} else {
					onDecision(isGranted);
				}
			}),
		);
		return owned;
	};
}
