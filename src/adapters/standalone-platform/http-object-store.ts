import {ObjectStore, ProblemError, toProblem} from '../../common/index.js';
import {callJson} from './http-json.js';

/** Options of the object store client. */
export type HttpObjectStoreOptions = {
	readonly url: string;
	/** Time until a call fails, in milliseconds. */
	readonly timeoutMs: number;
};

/** Object store with `GET` and `PUT` of whole objects. */
export class HttpObjectStore extends ObjectStore {
	constructor(private readonly options: HttpObjectStoreOptions) {
		super();
	}

	override async get(name: string): Promise<string | undefined> {
		const answer = await this.call(name, 'GET');
		return answer.status === 404 ? undefined : answer.text;
	}

	override async put(name: string, body: string): Promise<void> {
		await this.call(name, 'PUT', body);
	}

	private async call(name: string, method: 'GET' | 'PUT', body?: string) {
		let answer;
		try {
			answer = await callJson(
				`${this.options.url}/objects/${encodeURIComponent(name)}`,
				{
					method,
					body: body === undefined ? undefined : JSON.parse(body),
					timeoutMs: this.options.timeoutMs,
				},
			);
		} catch (error) {
			throw new ProblemError(
				'object-store-unavailable',
				'call to the object store failed',
				{
					cause: toProblem(error),
				},
			);
		}

		if (answer.status !== 200 && answer.status !== 404) {
			throw new ProblemError(
				'object-store-unavailable',
				`object store answered status ${answer.status}`,
			);
		}

		return answer;
	}
}
