import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {
	type CacheEvent,
	prefixHashesOf,
	promptTokensOf,
	type TargetOrder,
} from '../../common/index.js';
import {readBody, sendJson} from '../http-helpers.js';
import {
	createEngineSimulation,
	type EngineSimulationOptions,
} from './engine-simulation.js';
import {
	type Generation,
	type GenerationConnection,
	writePendingTokens,
} from './generation-connection.js';
import {createLoadHistory} from './load-history.js';
import {outputTokensFor} from './token-text.js';

/** Options of a stand-in engine. */
export type EngineServerOptions = EngineSimulationOptions & {
	readonly models: readonly string[];
	/** Refuse orders that carry an old fencing number. */
	readonly refusesOldOrders: boolean;
	/** Age of the figures in a load report, in milliseconds. */
	readonly reportLagMs: number;
	/** How long a finished generation can still be resumed, in milliseconds. */
	readonly retainMs: number;
};

const maxCacheEvents = 10_000;

/** Creates the HTTP server of a stand-in engine; the caller makes it listen. */
export function createEngineServer(options: EngineServerOptions): Server {
	const model = createEngineSimulation(options);
	const generations = new Map<string, Generation>();
	const models = new Set(options.models);
	const loads = createLoadHistory(options.reportLagMs);
	const cacheEvents: CacheEvent[] = [];
	let highestFencingNumber = 0;
	let leaving = false;
	let stepTimer: NodeJS.Timeout | undefined;

	const step = () => {
		stepTimer = undefined;
		if (model.runningCount + model.waitingCount === 0) {
			return;
		}

		const result = model.step();
		stepTimer = setTimeout(() => {
			const nowMs = performance.now();
			for (const {generation} of result.finished) {
				const finished = generations.get(generation.id);
				if (finished) {
					finished.finishedAtMs = nowMs;
				}
			}

			for (const sequence of result.produced) {
				// A generation that was cancelled during the step is gone.
				const generation = generations.get(sequence.generation.id);
				if (generation) {
					generation.producedTokens = sequence.producedTokens;
					for (const link of generation.connections) {
						writePendingTokens(generation, link);
					}
				}
			}

			cacheEvents.push(...model.takeCacheEvents());
			cacheEvents.splice(0, cacheEvents.length - maxCacheEvents);
			loads.record(model, performance.now());
			step();
		}, result.durationMs);
	};

	const attach = (
		generation: Generation,
		response: ServerResponse,
		fromPosition: number,
	) => {
		const link: GenerationConnection = {
			response,
			nextPosition: fromPosition,
			isBlocked: false,
		};
		generation.openedConnectionCount++;
		generation.connections.add(link);
		response.on('close', () => {
			generation.connections.delete(link);
		});
		response.on('drain', () => {
			link.isBlocked = false;
			writePendingTokens(generation, link);
		});
		response.writeHead(200, {
			'content-type': 'text/event-stream',
			etag: `"${generation.openedConnectionCount}"`,
		});
		response.flushHeaders();
		writePendingTokens(generation, link);
	};

	const start = async (request: IncomingMessage, response: ServerResponse) => {
		const body = JSON.parse(await readBody(request)) as {
			model: string;
			prompt: string;
			max_tokens: number;
			priority?: number;
		};
		if (leaving) {
			sendJson(response, 503, {error: 'leaving'});
			return;
		}

		if (!models.has(body.model)) {
			sendJson(response, 404, {error: 'model is not loaded'});
			return;
		}

		const id = String(request.headers['x-request-id']);
		const outputTokens = outputTokensFor(body.prompt, body.max_tokens);
		const generation: Generation = {
			id,
			outputTokens,
			finishReason: outputTokens === body.max_tokens ? 'length' : 'stop',
			producedTokens: 0,
			finishedAtMs: undefined,
			openedConnectionCount: 0,
			connections: new Set(),
		};
		generations.set(id, generation);
		model.submit({
			id,
			promptTokens: promptTokensOf(body.prompt),
			prefixHashes: prefixHashesOf(body.prompt),
			outputTokens,
			priority: body.priority ?? 0,
			finishReason: generation.finishReason,
		});
		attach(generation, response, 0);
		if (stepTimer === undefined) {
			step();
		}
	};

	const cancel = (
		request: IncomingMessage,
		response: ServerResponse,
		id: string,
	) => {
		const generation = generations.get(id);
		const expected = request.headers['if-match'];
		if (
			generation &&
			expected !== undefined &&
			expected !== `"${generation.openedConnectionCount}"`
		) {
			sendJson(response, 412, {error: 'another link was opened'});
			return;
		}

		if (generation) {
			model.cancel(id);
			generations.delete(id);
			for (const link of generation.connections) {
				link.response.destroy();
			}
		}

		sendJson(response, 200, {});
	};

	const load = (response: ServerResponse) => {
		sendJson(response, 200, {
			...loads.laggedFigures(performance.now()),
			capacityTokens: options.capacityTokens,
			models: [...models],
			leaving,
		});
	};

	const order = async (request: IncomingMessage, response: ServerResponse) => {
		const body = JSON.parse(await readBody(request)) as TargetOrder;
		if (options.refusesOldOrders && body.fencingNumber < highestFencingNumber) {
			sendJson(response, 409, {
				error: 'old fencing number',
				highestFencingNumber,
			});
			return;
		}

		highestFencingNumber = Math.max(highestFencingNumber, body.fencingNumber);
		if (body.kind === 'load-model') {
			models.add(body.name);
		} else if (body.kind === 'unload-model') {
			models.delete(body.name);
		}

		sendJson(response, 200, {});
	};

	const handle = async (request: IncomingMessage, response: ServerResponse) => {
		const url = new URL(request.url!, 'http://engine');
		const generationPath = /^\/v1\/completions\/([^/]+)$/.exec(url.pathname);
		if (generationPath) {
			const id = decodeURIComponent(generationPath[1]);
			if (request.method === 'DELETE') {
				cancel(request, response, id);
				return;
			}

			const generation = generations.get(id);
			if (generation) {
				attach(
					generation,
					response,
					Number(request.headers['last-event-id'] ?? -1) + 1,
				);
			} else {
				sendJson(response, 404, {error: 'no such generation'});
			}

			return;
		}

		switch (`${request.method} ${url.pathname}`) {
			case 'POST /v1/completions': {
				await start(request, response);
				break;
			}

			case 'GET /load': {
				load(response);
				break;
			}

			case 'GET /cache-events': {
				const after = Number(url.searchParams.get('after') ?? 0);
				sendJson(
					response,
					200,
					cacheEvents.filter((event) => event.sequence > after),
				);
				break;
			}

			case 'POST /orders': {
				await order(request, response);
				break;
			}

			case 'POST /leave': {
				leaving = true;
				sendJson(response, 200, {});
				break;
			}

			default: {
				sendJson(response, 404, {error: 'no such path'});
			}
		}
	};

	const sweep = setInterval(() => {
		const oldestMs = performance.now() - options.retainMs;
		for (const [id, generation] of generations) {
			if (
				generation.finishedAtMs !== undefined &&
				generation.finishedAtMs < oldestMs
			) {
				generations.delete(id);
			}
		}
	}, 1000);
	sweep.unref();

	const server = createServer((request, response) => {
		handle(request, response).catch((error: unknown) => {
			if (!response.headersSent) {
				sendJson(response, 400, {error: String(error)});
			}
		});
	});
	server.on('close', () => {
		clearInterval(sweep);
		clearTimeout(stepTimer);
	});
	return server;
}
