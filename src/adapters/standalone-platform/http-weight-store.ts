import {ProblemError, toProblem, WeightStore} from '../../common/index.js';
import {callJson} from './http-json.js';

export type HttpWeightStoreOptions = {
	readonly url: string;
	/** Time after which a request fails, in milliseconds. */
	readonly timeoutMs: number;
};

/** Client of a weight store that is read by `GET /weights/<model>`. */
export class HttpWeightStore extends WeightStore {
	constructor(private readonly options: HttpWeightStoreOptions) {
		super();
	}

	override async sizeBytes(model: string, version: string): Promise<number> {
		const path = `/weights/${encodeURIComponent(model)}?version=${encodeURIComponent(version)}`;
		try {
			const response = await callJson(this.options.url + path, {
				timeoutMs: this.options.timeoutMs,
			});
			return Number(
				(JSON.parse(response.text) as {sizeBytes: unknown}).sizeBytes,
			);
		} catch (error) {
			throw new ProblemError(
				'weight-store-unavailable',
				'size of model weights could not be read from the weight store',
				{
					cause: toProblem(error),
				},
			);
		}
	}
}
