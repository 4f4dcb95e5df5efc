/** Exponentially decaying average of a rate. */
export type DecayingRate = {
	add(amount: number, atMs: number): void;
	/** Average amount per second; recent amounts weigh more. */
	perSecond(atMs: number): number;
};

/**
 * Creates a rate of zero.
 * @param decayMs - time after which an amount counts for 1/e, in milliseconds
 */
export function createDecayingRate(decayMs: number): DecayingRate {
	let sum = 0;
	let decayedAtMs = 0;
	const decay = (atMs: number) => {
		// If the wall clock jumps back, nothing decays.
		const elapsedMs = Math.max(0, atMs - decayedAtMs);
		sum *= Math.exp(-elapsedMs / decayMs);
		decayedAtMs = atMs;
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
