import {ProblemError, toProblem, WeightStore} from '../../common/index.js';
import {callJson} from './http-json.js';

/** Options of the weight store client. */
export type HttpWeightStoreOptions = {
	readonly url: string;
	/** Time until a call fails, in milliseconds. */
	readonly timeoutMs: number;
};

/** Weight store read with `GET /weights/<model>`. */
export class HttpWeightStore extends WeightStore {
	constructor(private readonly options: HttpWeightStoreOptions) {
		super();
	}

	override async sizeBytes(model: string, version: string): Promise<number> {
		const path = `/weights/${encodeURIComponent(model)}?version=${encodeURIComponent(version)}`;
		try {
			const answer = await callJson(this.options.url + path, {
				timeoutMs: this.options.timeoutMs,
			});
			return Number(
				(JSON.parse(answer.text) as {sizeBytes: unknown}).sizeBytes,
			);
		} catch (error) {
			throw new ProblemError(
				'weight-store-unavailable',
				'weight store could not be read',
				{
					cause: toProblem(error),
				},
			);
		}
	}
}
