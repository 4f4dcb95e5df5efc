import {type Buffer} from 'node:buffer';
import type {Dispatcher, Pool as UndiciPool} from 'undici';
import * as z from 'zod';
import {
	type ResponseListener,
	type SendHandle,
	type CallerRequest,
	type CopyResult,
	type EngineReport,
	headerPairs,
	ProblemError,
	type SendOptions,
	TargetClient,
	type TargetEntry,
	type TargetLiveness,
} from '../common/index.js';
import {Pool} from '../adapters/http-client/index.js';
import {
	createPieceCollector,
	createReadBudget,
	createResetAwareClient,
} from '../adapters/targets/index.js';
import {decodeCold, decodeResponseHead} from './response-head.js';
import {decode, parseJson} from './decode.js';
import {makeHttpCall} from './http-call.js';
import {extraEventFields, headerNames, targetPaths} from './wire-names.js';
import {encodeRequestHeaders} from './request-headers.js';

const connectTimeoutMs = 800;
/** Time after which an idle connection is closed; a keep-alive hint of the target may shorten it, in milliseconds. */
const idleTimeoutMs = 4000;
const defaultMaxConnections = 16;
const releaseTimeoutMs = 1000;
/** Size limit of responses to control calls. A load report lists every run of its engine; the largest is far smaller. */
const maxControlResponseBytes = 1_048_576;

const firstFinalStatus = 200;
const maxInterimResponses = 32;

const isTooLarge = (error: Error) =>
	error instanceof ProblemError && error.type === 'too-large';

const reportSchema = z.object({
	queued: z.number(),
	running: z.number(),
	kv_used: z.number(),
	kv_total: z.number(),
	state: z.string().optional(),
	leaves_ms: z.number().nullish(),
	born: z.number().nullish(),
});
/** An unreadable value counts as none, since the target's row states the time too. */
function statedColdMs(value: string[] | string | undefined): number {
	const cold = decodeCold(typeof value === 'string' ? value : undefined);
	return cold.state === 'stated' ? cold.coldMs : 0;
}

const copyResponseSchema = z.object({handle: z.string()});

function decodeCopyResult(
	address: string,
	status: number,
	text: string,
): CopyResult {
	switch (status) {
		case 200: {
			const label = 'the response to a KV cache copy';
			const problemType = 'target-protocol';
			const value = parseJson(text, label, problemType);
			const {handle} = decode(copyResponseSchema, value, label, problemType);
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

function rawHeaderPairs(
	controller: unknown,
	fallback: Record<string, unknown>,
) {
	const raw = (controller as RawHeaders).rawHeaders;
	if (raw) {
		return headerPairs(raw.map((part) => part.toString('latin1')));
	}

	return Object.entries(fallback).flatMap(([name, value]) =>
		(Array.isArray(value) ? value : [value]).map(
			(item) => [name, String(item)] as const,
		),
	);
}

/** Target client for HTTP/1.1. Each connection carries one request at a time. */
export class HttpTargetClient extends TargetClient {
	override readonly extraEventFields = extraEventFields;
	private readonly pools = new Map<string, UndiciPool>();
	private readonly readBudget = createReadBudget();
	/** Dispatch options of the requests whose connection was reset. */
	private readonly resetRequests = new WeakSet();
	/** Dispatch options of the requests whose connection was ended from outside, by a reset or not. */
	private readonly endedRequests = new WeakSet();
	private readonly maxConnections = new Map<string, number>();
	/** Response size limits of requests, by dispatch options. */
	private readonly maxResponseBytes = new WeakMap<object, number>();
	/** Control of the connections that carry requests, by dispatch options. */
	private readonly reads = new WeakMap<
		object,
		Pick<SendHandle, 'pause' | 'resume'>
	>();

	override send(
		address: string,
		request: CallerRequest,
		options: SendOptions,
		listener: ResponseListener,
	): SendHandle {
		let settled = false;
		let started = false;
		let withheld = false;
		let interimCount = 0;
		let abort: ((reason: Error) => void) | undefined;
		const settle = (run: () => void) => {
			if (!settled) {
				settled = true;
				run();
			}
		};

		const abortSend = () => {
			abort?.(new ProblemError('target-failed', 'the request was aborted'));
		};

		const body = createPieceCollector((bytes) => {
			if (settled) {
				return;
			}

			try {
				listener.onData(bytes);
			} catch (error) {
				// The collector delivers outside undici's callbacks, in which undici fails the request itself.
				const {message} = error as Error;
				settle(() => {
					abortSend();
					listener.onFailure({
						unsent: false,
						connectionEnded: false,
						reason: message,
					});
				});
			}
		});

		const dispatchOptions: Dispatcher.DispatchOptions = {
			path: request.path,
			method: request.method,
			headers: encodeRequestHeaders(request, options),
			body: request.body,
			// Closes the connection after a generation, so that bytes left over from its stream are not
			// read as part of a later response.
			reset: request.generation !== undefined,
			headersTimeout: 0,
			bodyTimeout: 0,
		};
		const {resetRequests, endedRequests, reads} = this;
		this.maxResponseBytes.set(dispatchOptions, options.maxAnswerBytes);
		this.poolFor(address).dispatch(dispatchOptions, {
			onRequestStart(controller) {
				if (settled) {
					controller.abort(new Error('the request was aborted'));
					return;
				}

				if (!options.mayStart()) {
					withheld = true;
					controller.abort(new Error('the request is not wanted any more'));
					return;
				}

				started = true;
				abort = (reason) => {
					controller.abort(reason);
				};
			},
			onResponseStart(controller, status, headers) {
				if (settled) {
					return;
				}

				if (status >= firstFinalStatus) {
					listener.onHead(
						decodeResponseHead(status, rawHeaderPairs(controller, headers)),
					);
					return;
				}

				interimCount++;
				if (interimCount > maxInterimResponses) {
					controller.abort(
						new ProblemError(
							'too-large',
							`more than ${maxInterimResponses} interim responses`,
						),
					);
				}
			},
			onResponseData(_controller, chunk) {
				body.push(chunk);
			},
			onResponseEnd() {
				body.flush();
				settle(() => {
					if (resetRequests.has(dispatchOptions)) {
						listener.onFailure({
							unsent: false,
							connectionEnded: true,
							reason: 'the connection was reset',
						});
					} else {
						listener.onEnd();
					}
				});
			},
			onResponseError(_controller, error) {
				body.flush();
				settle(() => {
					listener.onFailure({
						unsent: !started,
						withheld,
						connectionEnded: endedRequests.has(dispatchOptions),
						reason: error.message,
						defect: isTooLarge(error) ? 'too-large' : undefined,
					});
				});
			},
		});
		return {
			pause() {
				if (!settled) {
					reads.get(dispatchOptions)?.pause();
				}
			},
			resume() {
				reads.get(dispatchOptions)?.resume();
			},
			dispose() {
				settle(abortSend);
			},
		};
	}

	override async copyKvCache(
		address: string,
		requestId: string,
		toAddress: string,
		timeoutMs: number,
	): Promise<CopyResult> {
		const body = JSON.stringify({id: requestId, to: toAddress, last: false});
		try {
			const {status, text} = await makeHttpCall(this.poolFor(address), {
				method: 'POST',
				path: targetPaths.copyKvCache,
				body,
				timeoutMs,
				maxResponseBytes: maxControlResponseBytes,
			});
			return decodeCopyResult(address, status, text);
		} catch (error) {
			return {outcome: 'failed', reason: (error as Error).message};
		}
	}

	override releaseCopy(address: string, handle: string): void {
		makeHttpCall(this.poolFor(address), {
			method: 'DELETE',
			path: `${targetPaths.releaseCopy}/${handle}`,
			timeoutMs: releaseTimeoutMs,
			maxResponseBytes: maxControlResponseBytes,
		}).catch(() => {
			// The engine frees an unused copy by itself after some seconds.
		});
	}

	override async report(
		address: string,
		timeoutMs: number,
	): Promise<EngineReport> {
		const {status, headers, text} = await makeHttpCall(this.poolFor(address), {
			method: 'GET',
			path: targetPaths.report,
			timeoutMs,
			maxResponseBytes: maxControlResponseBytes,
		});
		const problemType = 'target-protocol';
		const label = 'the load report of an engine';
		if (status !== 200) {
			throw new ProblemError(
				problemType,
				`the request for ${label} failed with status ${status} instead of 200`,
			);
		}

		const raw = decode(
			reportSchema,
			parseJson(text, label, problemType),
			label,
			problemType,
		);
		return {
			queuedCount: raw.queued,
			runningCount: raw.running,
			usedTokens: raw.kv_used,
			capacityTokens: raw.kv_total,
			coldMs: statedColdMs(headers[headerNames.coldMs.toLowerCase()]),
			leaving: raw.state === 'draining' || typeof raw.leaves_ms === 'number',
			bornMs: raw.born ?? undefined,
		};
	}

	override async checkLiveness(
		{address, bornMs}: TargetEntry,
		timeoutMs: number,
	): Promise<TargetLiveness> {
		try {
			const report = await this.report(address, timeoutMs);
			const isOther =
				bornMs !== undefined &&
				report.bornMs !== undefined &&
				report.bornMs !== bornMs;
			return isOther ? 'ended' : 'alive';
		} catch (error) {
			const {code} = error as NodeJS.ErrnoException;
			return code === 'ECONNREFUSED' ? 'ended' : 'unknown';
		}
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

	private poolFor(address: string): UndiciPool {
		let pool = this.pools.get(address);
		if (!pool) {
			pool = new Pool(`http://${address}`, {
				connections: this.maxConnections.get(address) ?? defaultMaxConnections,
				factory: (origin) =>
					createResetAwareClient(origin, {
						connectTimeoutMs,
						readBudget: this.readBudget,
						idleTimeoutMs,
						onConnectionEnd: (request, wasReset) => {
							this.endedRequests.add(request);
							if (wasReset) {
								this.resetRequests.add(request);
							}
						},
						onDispatch: (request, control) => {
							this.reads.set(request, control);
						},
						maxResponseBytes: (request) =>
							this.maxResponseBytes.get(request) ?? maxControlResponseBytes,
					}),
			});
			this.pools.set(address, pool);
		}

		return pool;
	}
}
