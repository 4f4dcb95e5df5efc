import {Agent, type Dispatcher} from 'undici';
import * as z from 'zod';
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
import {callJson} from '../standalone-platform/index.js';
import {createEngineEventParser} from './engine-event-parser.js';
import {parseConnectionCount, problemForStatus} from './engine-response.js';

const controlTimeoutMs = 2000;
const connectTimeoutMs = 2000;
const maxEventBytes = 65_536;
const maxProblemBytes = 1024;
const firstServerErrorStatus = 500;

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
					...(request.timeoutMs === undefined
						? {}
						: {
								'x-request-timeout-ms': String(
									Math.max(1, Math.ceil(request.timeoutMs)),
								),
							}),
				},
				body: JSON.stringify({
					model: request.model,
					prompt: request.prompt,
					max_tokens: request.maxTokens,
					priority: request.priority,
					stream: true,
				}),
			},
			request.generationId,
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
			generationId,
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
			if (answer.status >= firstServerErrorStatus) {
				throw new ProblemError(
					'target-unavailable',
					`target "${this.description.id}" answered status ${answer.status}`,
				);
			}

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
		generationId: string,
		listener: EngineStreamListener,
	): EngineStream {
		const targetId = this.description.id;
		let controller: Dispatcher.DispatchController | undefined;
		let paused = false;
		let ended = false;
		let status = 0;
		let linkCount: number | undefined;
		let problemText = '';

		const fail = (error: ProblemError) => {
			if (!ended) {
				ended = true;
				listener.onFailure(error);
				controller?.abort(error);
			}
		};

		const parser = createEngineEventParser(generationId, maxEventBytes, {
			onToken(position, text) {
				if (!ended) {
					listener.onToken(position, text);
				}
			},
			onFinish(reason, tokenCount) {
				if (!ended) {
					ended = true;
					listener.onFinish(reason, tokenCount);
				}
			},
		});
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
				onResponseStart(started, statusCode, headers) {
					status = statusCode;
					linkCount = parseConnectionCount(headers.etag);
					if (paused) {
						started.pause();
					}
				},
				onResponseData(_controller, data) {
					if (status !== 200) {
						if (problemText.length < maxProblemBytes) {
							problemText += data.toString();
						}

						return;
					}

					try {
						parser.feed(data);
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
						fail(problemForStatus(targetId, status, problemText));
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
			get connectionCount() {
				return linkCount;
			},
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
