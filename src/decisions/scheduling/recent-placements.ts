import type {Clock} from '../../common/index.js';
import type {PlacementDecision} from './types.js';

/** Recent placements, for VMs that did not get the decision and send their request again. */
export type RecentPlacements = {
	get(key: string): PlacementDecision | undefined;
	add(key: string, decision: PlacementDecision): void;
	delete(key: string): void;
	removeOld(): void;
};

/** Time for which a placement is repeated to a VM that sends its request again, in milliseconds. */
const retentionMs = 1500;

export function createRecentPlacements(clock: Clock): RecentPlacements {
	/** In the order of time. */
	const placements = new Map<
		string,
		{decision: PlacementDecision; atMs: number}
	>();
	return {
		get: (key) => placements.get(key)?.decision,
		add(key, decision) {
			placements.set(key, {decision, atMs: clock.nowMs()});
		},
		delete(key) {
			placements.delete(key);
		},
		removeOld() {
			const nowMs = clock.nowMs();
			for (const [key, {atMs}] of placements) {
				if (nowMs - atMs < retentionMs) {
					return;
				}

				placements.delete(key);
			}
		},
	};
}
