import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {Agent, type Dispatcher} from 'undici';
import {z} from 'zod';
import {
	type CacheEvent,
	Engine,
	type EngineRequest,
	type EngineStream,
	type EngineStreamListener,
	type LoadReport,
	ProblemError,
	type TargetDescription,
	type TargetOrder,
	toProblem,
} from '../../common/index.js';
import {callJson} from '../platform/index.js';

const controlTimeoutMs = 2000;
const connectTimeoutMs = 2000;
const maxEventBytes = 65_536;

const loadSchema = z.object({
	sequence: z.number(),
	ageMs: z.number(),
	runningCount: z.number(),
	waitingCount: z.number(),
	usedTokens: z.number(),
	capacityTokens: z.number(),
	preemptionsTotal: z.number(),
	models: z.array(z.string()),
	leaving: z.boolean(),
});

const cacheEventsSchema = z.array(
	z.object({
		sequence: z.number(),
		change: z.enum(['stored', 'evicted']),
		prefixHash: z.string(),
	}),
);

type WireChunk = {
	readonly choices?: ReadonlyArray<{
		readonly text?: string;
		readonly finish_reason?: 'stop' | 'length' | null;
	}>;
	readonly usage?: {readonly completion_tokens: number};
};

/** Model engine behind an OpenAI-style HTTP interface with server-sent events. */
export class HttpEngine extends Engine {
	private readonly agent = new Agent({
		connect: {timeout: connectTimeoutMs},
		headersTimeout: 0,
		bodyTimeout: 0,
	});

	constructor(override readonly description: TargetDescription) {
		super();
	}

	override start(
		request: EngineRequest,
		listener: EngineStreamListener,
	): EngineStream {
		return this.open(
			{
				method: 'POST',
				path: '/v1/completions',
				headers: {
					'content-type': 'application/json',
					'x-request-id': request.generationId,
				},
				body: JSON.stringify({
					model: request.model,
					prompt: request.prompt,
					max_tokens: request.maxTokens,
					priority: request.priority,
					stream: true,
				}),
			},
			listener,
		);
	}

	override reopen(
		generationId: string,
		fromPosition: number,
		listener: EngineStreamListener,
	): EngineStream {
		return this.open(
			{
				method: 'GET',
				path: `/v1/completions/${encodeURIComponent(generationId)}`,
				headers:
					fromPosition > 0 ? {'last-event-id': String(fromPosition - 1)} : {},
			},
			listener,
		);
	}

	override async cancel(
		generationId: string,
		linkCount?: number,
	): Promise<void> {
		await this.control(
			`/v1/completions/${encodeURIComponent(generationId)}`,
			'DELETE',
			undefined,
			{
				...(linkCount === undefined ? {} : {'if-match': `"${linkCount}"`}),
			},
		);
	}

	override async loadReport(): Promise<LoadReport> {
		return loadSchema.parse(await this.control('/load', 'GET'));
	}

	override async cacheEvents(
		afterSequence: number,
	): Promise<readonly CacheEvent[]> {
		return cacheEventsSchema.parse(
			await this.control(`/cache-events?after=${afterSequence}`, 'GET'),
		);
	}

	override async order(order: TargetOrder): Promise<void> {
		await this.control('/orders', 'POST', order);
	}

	private async control(
		path: string,
		method: Dispatcher.HttpMethod,
		body?: unknown,
		headers?: Record<string, string>,
	): Promise<unknown> {
		try {
			const answer = await callJson(this.description.url + path, {
				method,
				body,
				headers,
				timeoutMs: controlTimeoutMs,
				dispatcher: this.agent,
			});
			if (answer.status === 409) {
				throw new ProblemError(
					'order-rejected',
					'engine refused an old fencing number',
				);
			}

			return JSON.parse(answer.text);
		} catch (error) {
			if (error instanceof ProblemError) {
				throw error;
			}

			throw new ProblemError(
				'target-unavailable',
				`call to target "${this.description.id}" failed`,
				{cause: toProblem(error)},
			);
		}
	}

	private open(
		options: Omit<Dispatcher.DispatchOptions, 'origin'>,
		listener: EngineStreamListener,
	): EngineStream {
		const targetId = this.description.id;
		let controller: Dispatcher.DispatchController | undefined;
		let paused = false;
		let ended = false;
		let status = 0;

		const fail = (error: ProblemError) => {
			if (!ended) {
				ended = true;
				listener.onFailure(error);
				controller?.abort(error);
			}
		};

		const takeChunk = (event: EventSourceMessage) => {
			if (ended || event.data === '[DONE]') {
				return;
			}

			const chunk = JSON.parse(event.data) as WireChunk;
			const choice = chunk.choices?.[0];
			if (choice?.finish_reason && chunk.usage) {
				ended = true;
				listener.onFinish(choice.finish_reason, chunk.usage.completion_tokens);
			} else if (typeof choice?.text === 'string' && event.id !== undefined) {
				listener.onToken(Number(event.id), choice.text);
			} else {
				throw new ProblemError(
					'target-protocol',
					'event holds neither a token nor an end',
				);
			}
		};

		const parser = createParser({onEvent: takeChunk});
		const decoder = new TextDecoder();
		this.agent.dispatch(
			{...options, origin: this.description.url},
			{
				onRequestStart(started) {
					controller = started;
					if (ended) {
						started.abort(
							new ProblemError('target-unavailable', 'link was closed'),
						);
					}
				},
				onResponseStart(started, statusCode) {
					status = statusCode;
					if (paused) {
						started.pause();
					}
				},
				onResponseData(_controller, data) {
					if (status !== 200) {
						return;
					}

					try {
						if (data.length > maxEventBytes * 16) {
							throw new ProblemError(
								'target-protocol',
								'chunk of an event stream is too large',
							);
						}

						parser.feed(decoder.decode(data, {stream: true}));
					} catch (error) {
						fail(
							new ProblemError(
								'target-protocol',
								`target "${targetId}" sent a malformed event`,
								{
									cause: toProblem(error),
								},
							),
						);
					}
				},
				onResponseEnd() {
					if (status === 200) {
						fail(
							new ProblemError(
								'target-unavailable',
								`target "${targetId}" ended the link early`,
							),
						);
					} else {
						const type =
							status === 404 ? 'stream-unknown' : 'target-unavailable';
						fail(
							new ProblemError(
								type,
								`target "${targetId}" answered status ${status}`,
							),
						);
					}
				},
				onResponseError(_controller, error) {
					fail(
						new ProblemError(
							'target-unavailable',
							`link to target "${targetId}" failed`,
							{
								cause: error,
							},
						),
					);
				},
			},
		);
		return {
			pause() {
				paused = true;
				controller?.pause();
			},
			resume() {
				paused = false;
				controller?.resume();
			},
			close() {
				ended = true;
				controller?.abort(
					new ProblemError('target-unavailable', 'link was closed'),
				);
			},
		};
	}
}
