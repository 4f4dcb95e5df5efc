/** Decides when news that cannot wait for the next regular exchange is sent to several peers at once. */
export type UrgentBursts = {
	/** Asks for a number of bursts. */
	request(count: number): void;
	/** True if a burst is due; counts it as sent. */
	takeDue(nowMs: number): boolean;
};

const intervalMs = 500;

// Bounds the bytes when many targets leave at once; the marks then travel with the regular exchanges.
const maxBursts = 8;
const refillMs = 8000;

/** Creates a full budget of bursts. */
export function createUrgentBursts(): UrgentBursts {
	let due = 0;
	let budget = maxBursts;
	let takenAtMs = Number.NEGATIVE_INFINITY;
	let refilledAtMs = 0;

	const refill = (nowMs: number) => {
		const refills = Math.max(0, Math.floor((nowMs - refilledAtMs) / refillMs));
		refilledAtMs += refills * refillMs;
		budget = Math.min(maxBursts, budget + refills);
	};

	return {
		request(count) {
			due = Math.max(due, count);
		},
		takeDue(nowMs) {
			refill(nowMs);
			if (due === 0 || budget === 0 || nowMs - takenAtMs < intervalMs) {
				return false;
			}

			due--;
			budget--;
			takenAtMs = nowMs;
			return true;
		},
	};
}
