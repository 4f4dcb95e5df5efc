import {Agent, type IncomingMessage, request as httpRequest} from 'node:http';
import {headerNames} from '../../platform/index.js';
import type {ObservedRequest} from './observations.js';

/** Where and how a caller sends. */
export type FrontEndpoint = {
	readonly port: number;
	readonly host: string;
	readonly apiKey: string;
};

/** A request that a caller is to send. */
export type PlannedRequest = {
	readonly attempt: ObservedRequest;
	readonly path: string;
	readonly timeoutMs: number;
	readonly promptTokens: number;
	readonly outputTokens: number;
	/** Time after which the caller leaves, or undefined if it waits. */
	readonly disconnectAfterMs: number | undefined;
};

/** A caller that keeps its connection open and sends one request at a time. */
export type Caller = {
	/** Sends a request; resolves when its outcome is known. */
	send(planned: PlannedRequest): Promise<void>;
	dispose(): void;
};

/** Callers give up this long after their timeout, in milliseconds. */
const patienceMs = 3000;

function headersOf(
	{attempt, timeoutMs, promptTokens, outputTokens}: PlannedRequest,
	{host, apiKey}: FrontEndpoint,
): Record<string, string> {
	return {
		Host: host,
		[headerNames.apiKey]: apiKey,
		[headerNames.requestId]: attempt.id,
		[headerNames.timeoutMs]: String(timeoutMs),
		...(attempt.eventCount > 0
			? {
					[headerNames.model]: 'm',
					[headerNames.tokenCounts]: `${promptTokens},${outputTokens}`,
					[headerNames.promptParts]: `${attempt.id}:${promptTokens}`,
				}
			: {}),
	};
}

function receive(
	attempt: ObservedRequest,
	response: IncomingMessage,
	done: () => void,
) {
	const headerOf = (name: string) => {
		const value = response.headers[name.toLowerCase()];
		return typeof value === 'string' ? value : undefined;
	};

	attempt.status = response.statusCode;
	attempt.stamp = headerOf(headerNames.targetStamp);
	attempt.retryAfter = headerOf('Retry-After');
	response.setEncoding('utf8');
	response.on('data', (text: string) => {
		attempt.body += text;
	});
	response.on('end', () => {
		attempt.isWhole = response.complete;
		done();
	});
	response.on('error', done);
}

/** Creates a caller without a connection. */
export function createCaller(target: FrontEndpoint): Caller {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	return {
		async send(planned) {
			const {attempt} = planned;
			await new Promise<void>((resolve) => {
				const done = () => {
					clearTimeout(patience);
					clearTimeout(leaving);
					attempt.endedMs ??= performance.now();
					resolve();
				};

				const request = httpRequest({
					host: '127.0.0.1',
					port: target.port,
					path: planned.path,
					method: attempt.kind === 'lookup' ? 'GET' : 'POST',
					headers: headersOf(planned, target),
					agent,
				});
				const leave = () => {
					attempt.leftMs = performance.now();
					request.destroy();
					done();
				};

				const patience = setTimeout(leave, planned.timeoutMs + patienceMs);
				const leaving =
					planned.disconnectAfterMs === undefined
						? undefined
						: setTimeout(leave, planned.disconnectAfterMs);
				request.on('response', (response) => {
					receive(attempt, response, done);
				});
				request.on('error', done);
				request.end();
			});
		},
		dispose() {
			agent.destroy();
		},
	};
}
