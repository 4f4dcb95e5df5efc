import {type Buffer} from 'node:buffer';
import type {Dispatcher, Pool as UndiciPool} from 'undici';
import * as z from 'zod';
import {
	type ResponseListener,
	type CallerRequest,
	type CopyResult,
	type Disposable,
	type EngineReport,
	headerPairs,
	ProblemError,
	type SendOptions,
	TargetClient,
} from '../common/index.js';
import {Pool} from '../adapters/http-client/index.js';
import {createResetAwareClient} from '../adapters/targets/index.js';
import {decodeResponseHead} from './response-head.js';
import {decode, parseJson} from './decode.js';
import {makeHttpCall} from './http-call.js';
import {targetPaths} from './wire-names.js';
import {encodeRequestHeaders} from './request-headers.js';

const connectTimeoutMs = 800;
/** Idle connections without a hint of the target are closed after this time, in milliseconds. */
const idleTimeoutMs = 4000;
const defaultMaxConnections = 16;
const releaseTimeoutMs = 1000;
/** Reports name each run of an engine; this is many times the largest. */
const maxControlAnswerBytes = 1_048_576;

const reportSchema = z.object({
	queued: z.number(),
	running: z.number(),
	kv_used: z.number(),
	kv_total: z.number(),
	state: z.string().optional(),
	leaves_ms: z.number().nullish(),
});
const copiedSchema = z.object({handle: z.string()});

function decodeCopyResult(
	address: string,
	status: number,
	text: string,
): CopyResult {
	switch (status) {
		case 200: {
			const what = 'the answer to a copy';
			const problem = 'target-protocol';
			const value = parseJson(text, what, problem);
			const {handle} = decode(copiedSchema, value, what, problem);
			return {outcome: 'copied', copy: {address, handle}};
		}

		case 404: {
			return {outcome: 'unknown-run'};
		}

		case 409: {
			return {outcome: 'busy'};
		}

		case 503: {
			return {outcome: 'refused'};
		}

		default: {
			return {outcome: 'failed', reason: `status ${status}`};
		}
	}
}

type RawHeaders = {readonly rawHeaders?: readonly Buffer[]};

function rawPairs(controller: unknown, fallback: Record<string, unknown>) {
	const raw = (controller as RawHeaders).rawHeaders;
	if (raw) {
		return headerPairs(raw.map((part) => part.toString('latin1')));
	}

	return Object.entries(fallback).flatMap(([name, value]) =>
		(Array.isArray(value) ? value : [value]).map(
			(one) => [name, String(one)] as const,
		),
	);
}

/** Connections to targets over HTTP/1.1, one request at a time on each. */
export class HttpTargetClient extends TargetClient {
	private readonly pools = new Map<string, UndiciPool>();
	/** Requests whose connection was reset, by the options they were dispatched with. */
	private readonly resets = new WeakSet();
	private readonly maxConnections = new Map<string, number>();
	/** Largest answers to requests, by the options they were dispatched with. */
	private readonly maxAnswerBytes = new WeakMap<object, number>();

	override send(
		address: string,
		request: CallerRequest,
		orders: SendOptions,
		sink: ResponseListener,
	): Disposable {
		let settled = false;
		let started = false;
		let abort: ((reason: Error) => void) | undefined;
		const settle = (run: () => void) => {
			if (!settled) {
				settled = true;
				run();
			}
		};

		const breakOff = () => {
			abort?.(new ProblemError('target-failed', 'the send was broken off'));
		};

		const dispatched: Dispatcher.DispatchOptions = {
			path: request.path,
			method: request.method,
			headers: encodeRequestHeaders(request, orders),
			body: request.body,
			// A generation gets a connection of its own: what an earlier answer left on one would be
			// taken for its stream.
			reset: request.generation !== undefined,
			headersTimeout: 0,
			bodyTimeout: 0,
		};
		const {resets} = this;
		this.maxAnswerBytes.set(dispatched, orders.maxAnswerBytes);
		this.poolOf(address).dispatch(dispatched, {
			onRequestStart(controller) {
				if (settled) {
					controller.abort(new Error('the send was broken off'));
					return;
				}

				started = true;
				abort = (reason) => {
					controller.abort(reason);
				};
			},
			onResponseStart(controller, status, headers) {
				if (!settled && status >= 200) {
					sink.onHead(
						decodeResponseHead(status, rawPairs(controller, headers)),
					);
				}
			},
			onResponseData(_controller, chunk) {
				if (!settled) {
					sink.onData(chunk);
				}
			},
			onResponseEnd() {
				settle(() => {
					if (resets.has(dispatched)) {
						sink.onFailure({unsent: false, reason: 'the connection was reset'});
					} else {
						sink.onEnd();
					}
				});
			},
			onResponseError(_controller, error) {
				settle(() => {
					sink.onFailure({unsent: !started, reason: error.message});
				});
			},
		});
		return {
			dispose() {
				settle(breakOff);
			},
		};
	}

	override async copyKvCache(
		address: string,
		runId: string,
		toAddress: string,
		timeoutMs: number,
	): Promise<CopyResult> {
		const body = JSON.stringify({id: runId, to: toAddress, last: false});
		try {
			const {status, text} = await makeHttpCall(this.poolOf(address), {
				method: 'POST',
				path: targetPaths.copyKvCache,
				body,
				timeoutMs,
				maxResponseBytes: maxControlAnswerBytes,
			});
			return decodeCopyResult(address, status, text);
		} catch (error) {
			return {outcome: 'failed', reason: (error as Error).message};
		}
	}

	override releaseCopy(address: string, handle: string): void {
		makeHttpCall(this.poolOf(address), {
			method: 'DELETE',
			path: `${targetPaths.releaseCopy}/${handle}`,
			timeoutMs: releaseTimeoutMs,
			maxResponseBytes: maxControlAnswerBytes,
		}).catch(() => {
			// The engine frees a copy by itself after some seconds.
		});
	}

	override async report(
		address: string,
		timeoutMs: number,
	): Promise<EngineReport> {
		const {status, text} = await makeHttpCall(this.poolOf(address), {
			method: 'GET',
			path: targetPaths.report,
			timeoutMs,
			maxResponseBytes: maxControlAnswerBytes,
		});
		const problem = 'target-protocol';
		const what = 'the load report of an engine';
		if (status !== 200) {
			throw new ProblemError(problem, `${what} has status ${status}`);
		}

		const raw = decode(
			reportSchema,
			parseJson(text, what, problem),
			what,
			problem,
		);
		return {
			queuedCount: raw.queued,
			runningCount: raw.running,
			usedTokens: raw.kv_used,
			capacityTokens: raw.kv_total,
			leaving: raw.state === 'draining' || typeof raw.leaves_ms === 'number',
		};
	}

	override closeConnections(address: string): void {
		const pool = this.pools.get(address);
		this.pools.delete(address);
		void pool?.close();
	}

	override setMaxConnections(address: string, count: number): void {
		if (this.maxConnections.get(address) !== count) {
			this.maxConnections.set(address, count);
			this.closeConnections(address);
		}
	}

	override retainOnly(addresses: ReadonlySet<string>): void {
		for (const address of this.pools.keys()) {
			if (!addresses.has(address)) {
				this.closeConnections(address);
				this.maxConnections.delete(address);
			}
		}
	}

	private poolOf(address: string): UndiciPool {
		let pool = this.pools.get(address);
		if (!pool) {
			pool = new Pool(`http://${address}`, {
				connections: this.maxConnections.get(address) ?? defaultMaxConnections,
				factory: (origin) =>
					createResetAwareClient(origin, {
						connectTimeoutMs,
						idleTimeoutMs,
						onReset: (request) => {
							this.resets.add(request);
						},
						maxResponseBytes: (request) =>
							this.maxAnswerBytes.get(request) ?? maxControlAnswerBytes,
					}),
			});
			this.pools.set(address, pool);
		}

		return pool;
	}
}
