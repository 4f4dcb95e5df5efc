/** Source of random numbers, seeded in tests, the soak and the bench. */
export abstract class RandomSource {
	/**
	 * A whole number in [0, bound).
	 * @param bound - exclusive upper bound, at least 1
	 */
	nextInt(bound: number): number {
		return Math.floor(this.nextUnit() * bound);
	}

	/** A number in [0, 1). */
	abstract nextUnit(): number;
}
