import {ProblemError, type Row} from '../../common/index.js';

/** Key of the row that holds the shared budget of the weight store. */
export const weightBudgetKey = 'weight-budget';

/** Token bucket of the weight store. */
export type WeightBudget = {
	readonly availableBytes: number;
	/** Wall-clock time up to which the bucket was refilled, in milliseconds. */
	readonly refilledWallMs: number;
};

/** Settings of the budget. */
export type WeightBudgetSettings = {
	readonly bytesPerSecond: number;
	/** Largest content of the bucket, in bytes. */
	readonly burstBytes: number;
};

// A row further ahead than this was written under a wrong wall clock.
const maxAheadMs = 60_000;

/**
 * Reads the budget's row; an absent row is a full bucket.
 * @throws ProblemError `table-corrupt-row`
 */
export function parseWeightBudget(
	row: Row | undefined,
	wallMs: number,
	settings: WeightBudgetSettings,
): WeightBudget {
	if (!row) {
		return {availableBytes: settings.burstBytes, refilledWallMs: wallMs};
	}

	try {
		const budget = JSON.parse(row.value) as WeightBudget;
		if (Number.isFinite(budget.availableBytes + budget.refilledWallMs)) {
			return budget;
		}

		throw new TypeError('a figure is missing');
	} catch (error) {
		throw new ProblemError(
			'table-corrupt-row',
			`row "${row.key}" holds no valid budget`,
			{field: row.key, cause: error as Error},
		);
	}
}

/**
 * Refills the bucket and takes out the size of a load. The time of the row never goes back, so that
 * VMs whose wall clocks differ do not refill the same interval twice. A load larger than the burst
 * is let through with a full bucket, which then goes below 0.
 * @returns the bucket afterwards, or undefined if it holds too little
 */
export function debitWeightBudget(
	budget: WeightBudget,
	sizeBytes: number,
	wallMs: number,
	settings: WeightBudgetSettings,
): WeightBudget | undefined {
	const wrongClock = budget.refilledWallMs - wallMs > maxAheadMs;
	const elapsedMs = wrongClock
		? 0
		: Math.max(0, wallMs - budget.refilledWallMs);
	const filledBytes = Math.min(
		settings.burstBytes,
		budget.availableBytes + (elapsedMs / 1000) * settings.bytesPerSecond,
	);
	return filledBytes < Math.min(sizeBytes, settings.burstBytes)
		? undefined
		: {
				availableBytes: filledBytes - sizeBytes,
				refilledWallMs: wrongClock
					? wallMs
					: Math.max(wallMs, budget.refilledWallMs),
			};
}
