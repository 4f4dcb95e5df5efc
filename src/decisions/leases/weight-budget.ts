import {ProblemError, type Row} from '../../common/index.js';

/** Key of the row with the budget of the weight store, which all VMs share. */
export const weightBudgetKey = 'weight-budget';

/** Token bucket that limits how fast engines load weights from the weight store. */
export type WeightBudget = {
	/** Content of the bucket; below 0 after a load that is larger than the burst. */
	readonly availableBytes: number;
	/** Wall-clock time up to which the bucket was refilled, in milliseconds. */
	readonly refilledWallMs: number;
};

/** Settings of the token bucket. */
export type WeightBudgetSettings = {
	/** Refill rate. */
	readonly bytesPerSecond: number;
	/** Capacity of the bucket, in bytes. */
	readonly burstBytes: number;
};

// A refill time further ahead of the own clock than this was written by a VM with a wrong wall clock.
const maxAheadMs = 60_000;

/**
 * Parses the budget's row; an absent row means a full bucket.
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

		throw new TypeError(
			'availableBytes and refilledWallMs must be finite numbers',
		);
	} catch (error) {
		throw new ProblemError(
			'table-corrupt-row',
			`row "${row.key}" is not a valid weight budget`,
			{field: row.key, cause: error as Error},
		);
	}
}

/**
 * Refills the bucket and debits the size of a load. The refill time of the row never moves back, so
 * that VMs with different wall clocks do not refill for the same interval twice; the exception is a
 * time that only a wrong clock can have written, which is replaced without a refill. A load larger
 * than the burst is allowed with a full bucket, whose content then goes below 0.
 * @returns the bucket after the debit, or undefined if its content is too small
 */
export function debitWeightBudget(
	budget: WeightBudget,
	sizeBytes: number,
	wallMs: number,
	settings: WeightBudgetSettings,
): WeightBudget | undefined {
	const isClockWrong = budget.refilledWallMs - wallMs > maxAheadMs;
	const elapsedMs = isClockWrong
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
				refilledWallMs: isClockWrong
					? wallMs
					: Math.max(wallMs, budget.refilledWallMs),
			};
}
