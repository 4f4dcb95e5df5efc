/**
 * Schedules and rate-limits bursts: messages to several peers at once, for entries that can't wait for the next
 * regular exchange.
 */
export type UrgentBursts = {
	/** Raises the number of bursts that are due to at least `count`. */
	request(count: number): void;
	/** True if a burst is due and within the budget; counts it as sent. */
	takeDue(nowMs: number): boolean;
};

const intervalMs = 500;

// Token bucket that limits the bytes sent when many targets are leaving at once; `leaving` entries beyond the
// budget are sent with the regular exchanges.
const maxBursts = 8;
const refillMs = 8000;

export function createUrgentBursts(): UrgentBursts {
	let dueCount = 0;
	let budget = maxBursts;
	let lastBurstAtMs = Number.NEGATIVE_INFINITY;
	let refilledAtMs = 0;

	const refill = (nowMs: number) => {
		const refillCount = Math.max(
			0,
			Math.floor((nowMs - refilledAtMs) / refillMs),
		);
		refilledAtMs += refillCount * refillMs;
		budget = Math.min(maxBursts, budget + refillCount);
	};

	return {
		request(count) {
			dueCount = Math.max(dueCount, count);
		},
		takeDue(nowMs) {
			refill(nowMs);
			if (
				dueCount === 0 ||
				budget === 0 ||
				nowMs - lastBurstAtMs < intervalMs
			) {
				return false;
			}

			dueCount--;
			budget--;
			lastBurstAtMs = nowMs;
			return true;
		},
	};
}
