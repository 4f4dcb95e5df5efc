import type {Clock, Timers} from '../../common/index.js';
import {
	createFreshnessGate,
	type FreshnessGate,
} from '../../decisions/serving/index.js';
import type {StoreWatch} from './store-watch-types.js';

export type TableFreshnessOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	readonly storeWatch: Pick<
		StoreWatch,
		'confirmedAgeMs' | 'isStoreLost' | 'onConfirmed' | 'refreshAll'
	>;
	/** Monotonic time at which this VM resumed after its last pause, in milliseconds; -Infinity before. */
	readonly resumedMs: () => number;
};

/**
 * Creates the gate that holds requests after a pause of this VM until the targets and the operator's table,
 * which names the evacuated availability zones, are confirmed.
 */
export function createTableFreshnessGate({
	clock,
	timers,
	storeWatch,
	resumedMs,
}: TableFreshnessOptions): FreshnessGate {
	return createFreshnessGate({
		timers,
		isFresh: () =>
			storeWatch.isStoreLost ||
			storeWatch.confirmedAgeMs <= clock.nowMs() - resumedMs(),
		onConfirmed: storeWatch.onConfirmed,
		refresh() {
			storeWatch.refreshAll();
		},
	});
}
