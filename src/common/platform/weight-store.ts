/** Client of the rate-limited store of model weights. Failures are `weight-store-unavailable`. */
export abstract class WeightStore {
	/** @returns size of a model's weights in bytes */
	abstract sizeBytes(model: string, version: string): Promise<number>;
}
