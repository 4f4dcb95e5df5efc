/** Source of random numbers. Tests, the soak and the benchmark use a seeded one, so that runs can be reproduced. */
export abstract class RandomSource {
	/**
	 * @param bound - exclusive upper bound, at least 1
	 * @returns an integer in [0, bound)
	 */
	nextInt(bound: number): number {
		return Math.floor(this.nextUnit() * bound);
	}

	/** @returns a number in [0, 1) */
	abstract nextUnit(): number;
}
