import type {
	Client as UndiciClient,
	Dispatcher,
	Pool as UndiciPool,
} from 'undici';
import {
	type ResponseListener,
	type SendHandle,
	type CallerRequest,
	type CopyOrder,
	type CopyResult,
	type EngineReport,
	ProblemError,
	type RunStatus,
	type SendOptions,
	type StopRunResult,
	TargetClient,
	type TargetEntry,
	type TargetLiveness,
} from '../common/index.js';
import {Pool, requireReadableHead} from '../adapters/http-client/index.js';
import {
	createPieceCollector,
	createReadBudget,
	createResetAwareClient,
} from '../adapters/targets/index.js';
import {failureDetails, isUnsendable} from './failure-details.js';
import {createInterimLimit} from './interim-limit.js';
import {rawHeaderPairs} from './raw-headers.js';
import {decodeResponseHead} from './response-head.js';
import {readRunStatus, stopRun} from './run-control.js';
import {
	checkLiveness,
	copyKvCache,
	maxControlResponseBytes,
	readReport,
	releaseCopy,
} from './target-control.js';
import {decidingHeaders, extraEventFields} from './wire-names.js';
import {encodeRequestHeaders} from './request-headers.js';

const connectTimeoutMs = 800;
/** Time after which an idle connection is closed; a keep-alive hint of the target may shorten it, in milliseconds. */
const idleTimeoutMs = 4000;
const defaultMaxConnections = 16;

/** Engines send what a backup lacks several times per second. */
const backupDelayMs = 1000;

const firstFinalStatus = 200;

type ReadControl = Pick<SendHandle, 'pause' | 'resume'>;

/** Target client for HTTP/1.1. Each connection carries one request at a time. */
export class HttpTargetClient extends TargetClient {
	override readonly extraEventFields = extraEventFields;
	override readonly backupDelayMs = backupDelayMs;
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
	private readonly reads = new WeakMap<object, ReadControl>();

	override send(
		address: string,
		request: CallerRequest,
		options: SendOptions,
		listener: ResponseListener,
	): SendHandle {
		let settled = false;
		let started = false;
		let withheld = false;
		const interimLimit = createInterimLimit();
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
				const {message: reason} = error as Error;
				settle(() => {
					abortSend();
					listener.onFailure({unsent: false, connectionEnded: false, reason});
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
				abort = controller.abort.bind(controller);
			},
			onResponseStart(controller, status, headers, reason = '') {
				if (settled) {
					return;
				}

				const pairs = rawHeaderPairs(controller, headers);
				try {
					requireReadableHead(
						{status, reason, headers: pairs},
						decidingHeaders,
					);
				} catch (error) {
					controller.abort(error as Error);
					return;
				}

				if (status >= firstFinalStatus) {
					listener.onHead(decodeResponseHead(status, pairs));
				} else {
					interimLimit.record(controller);
				}
			},
			onResponseData(_controller, chunk) {
				body.push(chunk);
			},
			onResponseEnd() {
				body.flush();
				settle(() => {
					if (resetRequests.has(dispatchOptions)) {
						const reason = 'the connection was reset';
						listener.onFailure({unsent: false, connectionEnded: true, reason});
					} else {
						listener.onEnd();
					}
				});
			},
			onResponseError(_controller, error) {
				body.flush();
				const connectionEnded = endedRequests.has(dispatchOptions);
				settle(() => {
					listener.onFailure({
						unsent: !started,
						withheld: withheld || isUnsendable(error),
						connectionEnded,
						...failureDetails(error),
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
		order: CopyOrder,
		timeoutMs: number,
	): Promise<CopyResult> {
		return copyKvCache(this.poolFor(order.address), order, timeoutMs);
	}

	override async stopRun(
		order: CopyOrder,
		timeoutMs: number,
	): Promise<StopRunResult> {
		return stopRun((origin) => this.createClient(origin), order, timeoutMs);
	}

	override async runStatus(
		target: TargetEntry,
		requestId: string,
		timeoutMs: number,
	): Promise<RunStatus> {
		return readRunStatus(
			(origin) => this.createClient(origin),
			target,
			requestId,
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
		target: TargetEntry,
		timeoutMs: number,
	): Promise<TargetLiveness> {
		return checkLiveness(this.poolFor(target.address), target, timeoutMs);
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
				factory: (origin) => this.createClient(origin),
			});
			this.pools.set(address, pool);
		}

		return pool;
	}

	/** Creates a client with one connection. */
	private createClient(origin: URL | string): UndiciClient {
		return createResetAwareClient(origin, {
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
		});
	}
}
