import type {Client as UndiciClient} from 'undici';
import * as z from 'zod';
import type {
	CopyOrder,
	EngineReport,
	RunStatus,
	StopRunResult,
	TargetEntry,
} from '../common/index.js';
import {hasTimedOut} from './connection-timeout.js';
import {decode, parseJson} from './decode.js';
import {makeHttpCall} from './http-call.js';
import {maxControlResponseBytes, readReport} from './target-control.js';
import {targetPaths} from './wire-names.js';

/** No complete response arrived in time. */
class NoResponseError extends Error {
	/** @param isConnected - true if the engine has accepted the connection */
	constructor(
		readonly isConnected: boolean,
		timeoutMs: number,
	) {
		super(
			isConnected
				? `connected, but no response within ${timeoutMs} ms`
				: `no connection within ${timeoutMs} ms`,
		);
	}
}

const stopResponseSchema = z.object({handle: z.string()});

/** Creates a client with one connection to `http://address:port`. */
export type ClientFactory = (origin: string) => UndiciClient;

/**
 * Makes a call over a connection of its own. Those of the pool may all be in use, and the open ones may be
 * silent.
 */
async function withNewConnection<T>(
	createClient: ClientFactory,
	address: string,
	timeoutMs: number,
	call: (engine: UndiciClient) => Promise<T>,
): Promise<T> {
	const engine = createClient(`http://${address}`);
	let isConnected = false;
	engine.on('connect', () => {
		isConnected = true;
	});
	let timer: NodeJS.Timeout | undefined;
	// Undici notices an aborted signal only once the connection is open, and times out connections late.
	const timeout = new Promise<never>((_resolve, reject) => {
		timer = setTimeout(() => {
			// A response that has arrived while this VM was busy is read before.
			setImmediate(() => {
				reject(new NoResponseError(isConnected, timeoutMs));
			});
		}, timeoutMs);
	});
	try {
		return await Promise.race([call(engine), timeout]);
	} finally {
		clearTimeout(timer);
		void engine.destroy();
	}
}

function statusFromError(error: unknown): RunStatus {
	const {code, message} = error as NodeJS.ErrnoException;
	if (code === 'ECONNREFUSED') {
		return {state: 'engine-ended'};
	}

	// An engine that accepts connections is there, though it may be too busy to respond.
	const isUnreachable =
		error instanceof NoResponseError
			? !error.isConnected
			: hasTimedOut(error as Error);
	return {state: isUnreachable ? 'unreachable' : 'unstated', reason: message};
}

function statusFromReport(
	{bornMs}: TargetEntry,
	requestId: string,
	report: EngineReport,
): RunStatus {
	if (
		bornMs !== undefined &&
		report.bornMs !== undefined &&
		bornMs !== report.bornMs
	) {
		return {state: 'engine-ended'};
	}

	const run = report.runs?.find((listed) => listed.requestId === requestId);
	if (run) {
		return {state: 'running', eventCount: run.eventCount};
	}

	// A preempted run waits like a new request, and is not listed meanwhile.
	if (report.queuedCount > 0) {
		return {state: 'unstated', reason: `${report.queuedCount} requests wait`};
	}

	return report.runs !== undefined || report.runningCount === 0
		? {state: 'absent'}
		: {state: 'unstated', reason: 'the report lists no runs'};
}

/** Asks an engine over a new connection whether it has a run; never rejects. */
export async function readRunStatus(
	createClient: ClientFactory,
	target: TargetEntry,
	requestId: string,
	timeoutMs: number,
): Promise<RunStatus> {
	try {
		const report = await withNewConnection(
			createClient,
			target.address,
			timeoutMs,
			async (engine) => readReport(engine, timeoutMs),
		);
		return statusFromReport(target, requestId, report);
	} catch (error) {
		return statusFromError(error);
	}
}

function decodeStopResult(
	address: string,
	status: number,
	text: string,
): StopRunResult {
	switch (status) {
		case 200:
		case 503: {
			// Without a handle, a 503 says that the order was not carried out.
			const label = 'the response to stopping a run';
			const problemType = 'target-protocol';
			const value = parseJson(text, label, problemType);
			const {handle} = decode(stopResponseSchema, value, label, problemType);
			return {
				outcome: 'stopped',
				holder: status === 200 ? 'destination' : 'source',
				kvCache: {address, handle},
			};
		}

		case 404: {
			return {outcome: 'unknown-run'};
		}

		case 409: {
			return {outcome: 'busy'};
		}

		default: {
			return {outcome: 'failed', reason: `status ${status}`};
		}
	}
}

/** Stops a run over a new connection and copies its KV cache; never rejects. */
export async function stopRun(
	createClient: ClientFactory,
	{address, requestId, toAddress}: CopyOrder,
	timeoutMs: number,
): Promise<StopRunResult> {
	const body = JSON.stringify({id: requestId, to: toAddress, last: true});
	try {
		const {status, text} = await withNewConnection(
			createClient,
			address,
			timeoutMs,
			async (engine) =>
				makeHttpCall(engine, {
					method: 'POST',
					path: targetPaths.copyKvCache,
					body,
					timeoutMs,
					maxResponseBytes: maxControlResponseBytes,
				}),
		);
		return decodeStopResult(address, status, text);
	} catch (error) {
		return {outcome: 'failed', reason: (error as Error).message};
	}
}
