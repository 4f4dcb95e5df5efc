import {
	type Clock,
	createEmitter,
	type Disposable,
	type Event,
	type RandomSource,
} from '../../common/index.js';
import type {AvoidedTarget} from './types.js';

/** A target is avoided by the evidence of the fleet from now on, or no longer. */
export type AvoidanceChange = {
	readonly targetId: string;
	readonly change: 'begins' | 'ends';
	/** `decided` by the coordinator, or `expired` since the coordinator fell silent. */
	readonly cause: 'decided' | 'expired';
};

/** A target among which a call chooses. */
export type AvoidanceCandidate = {
	readonly targetId: string;
	/** True if this VM does not use all slots of the target. */
	readonly hasRoom: boolean;
};

/** Targets that get only part of their usual calls, as the coordinator has last said. */
export type AvoidedTargets = Disposable & {
	readonly onChanged: Event<AvoidanceChange>;
	/** Takes the coordinator's list of all such targets. */
	replace(targets: readonly AvoidedTarget[]): void;
	isAvoided(targetId: string): boolean;
	/**
	 * Draws the targets that one call should not use. None is returned unless another one has room.
	 * @param candidates - targets that have not had the call
	 * @param isFirstSend - false for a retry, which is no trial
	 */
	draw(
		candidates: readonly AvoidanceCandidate[],
		isIdempotent: boolean,
		isFirstSend: boolean,
	): ReadonlySet<string>;
	/** Ends the avoidance of all targets once the coordinator has been silent; called at regular intervals. */
	sweep(): void;
};

/**
 * Age at which the coordinator's list is dropped, in milliseconds; longer than it takes until the successor
 * of a coordinator that has ended sends its own list.
 */
const expiryMs = 3500;

export function createAvoidedTargets(
	clock: Clock,
	random: RandomSource,
): AvoidedTargets {
	const changed = createEmitter<AvoidanceChange>();
	let targets: ReadonlyMap<string, AvoidedTarget> = new Map();
	let receivedMs = -Infinity;

	const put = (
		next: ReadonlyMap<string, AvoidedTarget>,
		cause: AvoidanceChange['cause'],
	) => {
		const previous = targets;
		targets = next;
		for (const targetId of next.keys()) {
			if (!previous.has(targetId)) {
				changed.fire({targetId, change: 'begins', cause});
			}
		}

		for (const targetId of previous.keys()) {
			if (!next.has(targetId)) {
				changed.fire({targetId, change: 'ends', cause});
			}
		}
	};

	const isCurrent = () => clock.nowMs() - receivedMs <= expiryMs;

	return {
		onChanged: changed.event,
		replace(list) {
			receivedMs = clock.nowMs();
			put(new Map(list.map((target) => [target.targetId, target])), 'decided');
		},
		isAvoided: (targetId) => isCurrent() && targets.has(targetId),
		draw(candidates, isIdempotent, isFirstSend) {
			const drawn = new Set<string>();
			for (const {targetId} of candidates) {
				const target = isCurrent() ? targets.get(targetId) : undefined;
				const share = isIdempotent
					? target?.idempotentShare
					: target?.otherShare;
				if (
					share !== undefined &&
					(!isFirstSend || random.nextUnit() >= share)
				) {
					drawn.add(targetId);
				}
			}

			const hasOther = candidates.some(
				({targetId, hasRoom}) => hasRoom && !drawn.has(targetId),
			);
			return hasOther ? drawn : new Set();
		},
		sweep() {
			if (targets.size > 0 && !isCurrent()) {
				put(new Map(), 'expired');
			}
		},
		dispose() {
			changed.dispose();
		},
	};
}
