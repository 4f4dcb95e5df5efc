import type {Dispatcher, Pool as UndiciPool} from 'undici';
import {
	type ResponseListener,
	type SendHandle,
	type CallerRequest,
	type CopyResult,
	type EngineReport,
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
import {isDefinedStatus, UndefinedStatusError} from './defined-status.js';
import {defectOf} from './response-defect.js';
import {rawHeaderPairs} from './raw-headers.js';
import {decodeResponseHead} from './response-head.js';
import {
	copyKvCache,
	maxControlResponseBytes,
	readReport,
	releaseCopy,
} from './target-control.js';
import {extraEventFields} from './wire-names.js';
import {encodeRequestHeaders} from './request-headers.js';

const connectTimeoutMs = 800;
/** Time after which an idle connection is closed; a keep-alive hint of the target may shorten it, in milliseconds. */
const idleTimeoutMs = 4000;
const defaultMaxConnections = 16;

const firstFinalStatus = 200;
const maxInterimResponses = 32;

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

				if (!isDefinedStatus(status)) {
					controller.abort(new UndefinedStatusError(status));
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
						defect: defectOf(error),
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
		return copyKvCache(
			this.poolFor(address),
			{address, requestId, toAddress},
			timeoutMs,
		);
	}

	override releaseCopy(address: string, handle: string): void {
		releaseCopy(this.poolFor(address), handle);
	}

	override async report(
		address: string,
		timeoutMs: number,
	): Promise<EngineReport> {
		return readReport(this.poolFor(address), timeoutMs);
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
