import type {Clock} from '../../common/index.js';
import type {LimitedTarget} from '../rate-limits/index.js';

/** Denials of turns at targets with a rate limit, so that the coordinator is not asked again too early. */
export type TurnDenials = {
	/** Time before which a target has no turn for this VM, in milliseconds; 0 if none is known. */
	waitMsOf(target: LimitedTarget): number;
	/** Records that targets have no turn for this VM before a time has passed, in milliseconds. */
	record(targets: readonly LimitedTarget[], waitMs: number): void;
};

/** Creates a record without denials. */
export function createTurnDenials(clock: Clock): TurnDenials {
	/** Monotonic times of the next turns, in milliseconds. */
	const nextTurnMs = new Map<string, number>();

	return {
		waitMsOf: ({targetId}) =>
			Math.max(0, (nextTurnMs.get(targetId) ?? -Infinity) - clock.nowMs()),
		record(targets, waitMs) {
			const nowMs = clock.nowMs();
			for (const [targetId, turnMs] of nextTurnMs) {
				if (turnMs <= nowMs) {
					nextTurnMs.delete(targetId);
				}
			}

			for (const {targetId} of targets) {
				nextTurnMs.set(targetId, nowMs + waitMs);
			}
		},
	};
}
