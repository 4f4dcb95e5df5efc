import {request, type Dispatcher} from 'undici';

export type TextResponse = {
	readonly status: number;
	readonly text: string;
};

export type JsonCallOptions = {
	readonly method?: Dispatcher.HttpMethod;
	/** Sent as JSON. */
	readonly body?: unknown;
	readonly headers?: Readonly<Record<string, string>>;
	/** Time within which the response must be complete, in milliseconds. */
	readonly timeoutMs: number;
	readonly dispatcher?: Dispatcher;
};

/** Sends one HTTP request with an optional JSON body and reads the whole response as text, whatever its status. */
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
