/** A count in which events lose weight exponentially with age. */
export type DecayingCount = {
	/** @param nowMs - monotonic time, in milliseconds */
	at(nowMs: number): number;
	add(amount: number, nowMs: number): void;
	reset(): void;
};

/** @param timeConstantMs - age at which an event has 1/e of its weight, in milliseconds */
export function createDecayingCount(timeConstantMs: number): DecayingCount {
	let value = 0;
	let updatedMs = 0;
	const at = (nowMs: number) =>
		value * Math.exp(-Math.max(0, nowMs - updatedMs) / timeConstantMs);

	return {
		at,
		add(amount, nowMs) {
			value = Math.max(0, at(nowMs) + amount);
			updatedMs = nowMs;
		},
		reset() {
			value = 0;
		},
	};
}
