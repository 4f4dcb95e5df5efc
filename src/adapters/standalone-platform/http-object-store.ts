import {ObjectStore, ProblemError, toProblem} from '../../common/index.js';
import {callJson} from './http-json.js';

export type HttpObjectStoreOptions = {
	readonly url: string;
	/** Time after which a request fails, in milliseconds. */
	readonly timeoutMs: number;
};

/** Client of an object store that reads and writes whole objects by `GET` and `PUT`. Objects are JSON texts. */
export class HttpObjectStore extends ObjectStore {
	constructor(private readonly options: HttpObjectStoreOptions) {
		super();
	}

	override async get(name: string): Promise<string | undefined> {
		const response = await this.call(name, 'GET');
		return response.status === 404 ? undefined : response.text;
	}

	override async put(name: string, body: string): Promise<void> {
		await this.call(name, 'PUT', body);
	}

	private async call(name: string, method: 'GET' | 'PUT', body?: string) {
		let response;
		try {
			response = await callJson(
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
				'request to the object store failed',
				{
					cause: toProblem(error),
				},
			);
		}

		if (response.status !== 200 && response.status !== 404) {
			throw new ProblemError(
				'object-store-unavailable',
				`object store responded with status ${response.status}`,
			);
		}

		return response;
	}
}
