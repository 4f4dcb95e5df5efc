/** Rate that forgets exponentially. */
export type DecayingRate = {
	add(amount: number, atMs: number): void;
	/** Amount per second. */
	perSecond(atMs: number): number;
};

/**
 * Creates a rate of zero.
 * @param decayMs - time after which an amount counts for 1/e, in milliseconds
 */
export function createDecayingRate(decayMs: number): DecayingRate {
	let sum = 0;
	let sinceMs = 0;
	const decay = (atMs: number) => {
		// A wall clock that jumps back leaves the sum as it is.
		const passedMs = Math.max(0, atMs - sinceMs);
		sum *= Math.exp(-passedMs / decayMs);
		sinceMs = atMs;
	};

	return {
		add(amount, atMs) {
			decay(atMs);
			sum += amount;
		},
		perSecond(atMs) {
			decay(atMs);
			return (sum * 1000) / decayMs;
		},
	};
}
