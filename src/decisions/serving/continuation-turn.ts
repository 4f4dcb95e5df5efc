import {
	createDisposableStore,
	type Disposable,
	type TargetEntry,
	type Timers,
} from '../../common/index.js';
import type {PermitDecision, PermitRequest} from '../rate-limits/index.js';
import type {TargetEligibility} from '../target-eligibility/index.js';
import type {RestrictionCause} from '../target-statements/index.js';

/** Why a run does not continue at an engine. */
export type ContinuationDenial = RestrictionCause | 'rate limit';

/**
 * Waits for the turn of a run that is to continue at an engine.
 * @param onDecision - called once unless disposed before, with the reason if the engine takes the run not at
 *   all or not in time; called before this returns if the engine takes requests without a limit
 */
export type RequestContinuationTurn = (
	target: TargetEntry,
	onDecision: (denial: ContinuationDenial | undefined) => void,
) => Disposable;

export type ContinuationTurnOptions = {
	readonly timers: Timers;
	readonly eligibility: Pick<TargetEligibility, 'standingOf'>;
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
	eligibility,
	requestPermit,
}: ContinuationTurnOptions): RequestContinuationTurn {
	return (target, onDecision) => {
		const owned = createDisposableStore();

		/** Decides by what the engine says now. */
		const decide = (mayWait: boolean) => {
			const {use, cause, waitMs} = eligibility.standingOf(target);
			if (use !== 'none') {
				onDecision(undefined);
			} else if (mayWait && waitMs <= maxWaitMs) {
				decideAfter(waitMs);
			} else {
				onDecision(cause);
			}
		};

		const decideAfter = (waitMs: number) => {
			owned.add(
				timers.after(waitMs, () => {
					decide(false);
				}),
			);
		};

		const {use, requestsPerSecond} = eligibility.standingOf(target);
		if (use === 'none' || requestsPerSecond === undefined) {
			decide(true);
			return owned;
		}

		const request: PermitRequest = {
			targets: [{targetId: target.id, requestsPerSecond}],
			maxWaitMs,
			isUrgent: true,
		};
		owned.add(
			requestPermit(request, (decision) => {
				if (decision.outcome === 'denied') {
					onDecision('rate limit');
				} else if (decision.waitMs > 0) {
					decideAfter(decision.waitMs);
				} else {
					onDecision(undefined);
				}
			}),
		);
		return owned;
	};
}
