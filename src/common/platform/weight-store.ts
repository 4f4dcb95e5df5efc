/** The rate-limited store of model weights. Failures are `weight-store-unavailable`. */
export abstract class WeightStore {
	/**
	 * Size of a model's weights.
	 * @returns size in bytes
	 */
	abstract sizeBytes(model: string, version: string): Promise<number>;
}
