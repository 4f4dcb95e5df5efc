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
const maxEventLength = 65_536;
// Further parts of the body of an error response are ignored after this many characters.
const maxErrorBodyLength = 1024;
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

/** Client of a model engine with an OpenAI-style HTTP interface and server-sent events. */
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
		connectionCount?: number,
	): Promise<void> {
		await this.sendControlRequest(
			`/v1/completions/${encodeURIComponent(generationId)}`,
			'DELETE',
			undefined,
			{
				...(connectionCount === undefined
					? {}
					: {'if-match': `"${connectionCount}"`}),
			},
		);
	}

	override async loadReport(): Promise<LoadReport> {
		return loadSchema.parse(await this.sendControlRequest('/load', 'GET'));
	}

	override async cacheEvents(
		afterSequence: number,
	): Promise<readonly CacheEvent[]> {
		return cacheEventsSchema.parse(
			await this.sendControlRequest(
				`/cache-events?after=${afterSequence}`,
				'GET',
			),
		);
	}

	override async order(order: TargetOrder): Promise<void> {
		await this.sendControlRequest('/orders', 'POST', order);
	}

	/** Sends a request that is not for a stream, and parses the JSON response. */
	private async sendControlRequest(
		path: string,
		method: Dispatcher.HttpMethod,
		body?: unknown,
		headers?: Record<string, string>,
	): Promise<unknown> {
		try {
			const response = await callJson(this.description.url + path, {
				method,
				body,
				headers,
				timeoutMs: controlTimeoutMs,
				dispatcher: this.agent,
			});
			if (response.status >= firstServerErrorStatus) {
				throw new ProblemError(
					'target-unavailable',
					`target "${this.description.id}" responded with status ${response.status}`,
				);
			}

			if (response.status === 409) {
				throw new ProblemError(
					'order-rejected',
					'engine refused the order: its fencing number is older than one that the engine has seen',
				);
			}

			return JSON.parse(response.text);
		} catch (error) {
			if (error instanceof ProblemError) {
				throw error;
			}

			throw new ProblemError(
				'target-unavailable',
				`request to target "${this.description.id}" failed`,
				{cause: toProblem(error)},
			);
		}
	}

	/** Opens a stream and passes its events to the listener. */
	private open(
		options: Omit<Dispatcher.DispatchOptions, 'origin'>,
		generationId: string,
		listener: EngineStreamListener,
	): EngineStream {
		const targetId = this.description.id;
		let controller: Dispatcher.DispatchController | undefined;
		let isPaused = false;
		let hasEnded = false;
		let status = 0;
		let connectionCount: number | undefined;
		let errorBody = '';

		const fail = (error: ProblemError) => {
			if (!hasEnded) {
				hasEnded = true;
				listener.onFailure(error);
				controller?.abort(error);
			}
		};

		const parser = createEngineEventParser(generationId, maxEventLength, {
			onToken(position, text) {
				if (!hasEnded) {
					listener.onToken(position, text);
				}
			},
			onFinish(reason, tokenCount) {
				if (!hasEnded) {
					hasEnded = true;
					listener.onFinish(reason, tokenCount);
				}
			},
		});
		this.agent.dispatch(
			{...options, origin: this.description.url},
			{
				onRequestStart(dispatchController) {
					controller = dispatchController;
					if (hasEnded) {
						dispatchController.abort(
							new ProblemError(
								'target-unavailable',
								'connection was closed by this VM',
							),
						);
					}
				},
				onResponseStart(dispatchController, statusCode, headers) {
					status = statusCode;
					connectionCount = parseConnectionCount(headers.etag);
					if (isPaused) {
						dispatchController.pause();
					}
				},
				onResponseData(_controller, data) {
					if (status !== 200) {
						if (errorBody.length < maxErrorBodyLength) {
							errorBody += data.toString();
						}

						return;
					}

					try {
						parser.feed(data);
					} catch (error) {
						fail(
							new ProblemError(
								'target-protocol',
								`target "${targetId}" sent an invalid event stream`,
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
								`target "${targetId}" closed the connection before the output was complete`,
							),
						);
					} else {
						fail(problemForStatus(targetId, status, errorBody));
					}
				},
				onResponseError(_controller, error) {
					fail(
						new ProblemError(
							'target-unavailable',
							`connection to target "${targetId}" failed`,
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
				return connectionCount;
			},
			pause() {
				isPaused = true;
				controller?.pause();
			},
			resume() {
				isPaused = false;
				controller?.resume();
			},
			close() {
				hasEnded = true;
				controller?.abort(
					new ProblemError(
						'target-unavailable',
						'connection was closed by this VM',
					),
				);
			},
		};
	}
}
