import {request, type Dispatcher} from 'undici';

/** Answer of a JSON call. */
export type TextResponse = {
	readonly status: number;
	readonly text: string;
};

/** Options of a JSON call. */
export type JsonCallOptions = {
	readonly method?: Dispatcher.HttpMethod;
	readonly body?: unknown;
	readonly headers?: Readonly<Record<string, string>>;
	/** Time until the answer must be complete, in milliseconds. */
	readonly timeoutMs: number;
	readonly dispatcher?: Dispatcher;
};

/** Makes one HTTP call with a JSON body and reads the whole answer. */
export async function callJson(
	url: string,
	options: JsonCallOptions,
): Promise<TextResponse> {
	const response = await request(url, {
		method: options.method ?? 'GET',
		headers: {
			...(options.body === undefined
				? {}
				: {'content-type': 'application/json'}),
			...options.headers,
		},
		body: options.body === undefined ? undefined : JSON.stringify(options.body),
		signal: AbortSignal.timeout(options.timeoutMs),
		dispatcher: options.dispatcher,
	});
	return {status: response.statusCode, text: await response.body.text()};
}
