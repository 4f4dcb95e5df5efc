import {Agent, type IncomingMessage, request as httpRequest} from 'node:http';
import {headerNames} from '../../platform/index.js';
import type {Attempt} from './observations.js';

/** Port, host name and API key of the front daemon that a caller uses. */
export type FrontEndpoint = {
	/** Port of the proxy in front of the daemon, on the loopback address. */
	readonly port: number;
	/** Value of the `Host` header. */
	readonly host: string;
	readonly apiKey: string;
};

/** A request to send. */
export type PlannedAttempt = {
	/** Record of the request, filled in as it proceeds. */
	readonly attempt: Attempt;
	readonly path: string;
	readonly timeoutMs: number;
	readonly promptTokens: number;
	readonly outputTokens: number;
	/** Time after which the caller disconnects; undefined if it waits for the response. */
	readonly disconnectAfterMs: number | undefined;
};

/** A caller that sends one request at a time over a persistent connection. */
export type Caller = {
	/** Sends a request; resolves when its outcome is known. */
	send(planned: PlannedAttempt): Promise<void>;
	dispose(): void;
};

/** Time after the request timeout at which a caller gives up, in milliseconds. */
const giveUpSlackMs = 3000;

function headersOf(
	{attempt, timeoutMs, promptTokens, outputTokens}: PlannedAttempt,
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

/** Records a response in the attempt; calls back once it has ended or failed. */
function recordResponse(
	attempt: Attempt,
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

/** Creates a caller; it connects on its first request. */
export function createCaller(endpoint: FrontEndpoint): Caller {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	return {
		async send(planned) {
			const {attempt} = planned;
			await new Promise<void>((resolve) => {
				const done = () => {
					clearTimeout(giveUpTimer);
					clearTimeout(disconnectTimer);
					attempt.endedMs ??= performance.now();
					resolve();
				};

				const request = httpRequest({
					host: '127.0.0.1',
					port: endpoint.port,
					path: planned.path,
					method: attempt.kind === 'lookup' ? 'GET' : 'POST',
					headers: headersOf(planned, endpoint),
					agent,
				});
				const disconnect = () => {
					attempt.leftMs = performance.now();
					request.destroy();
					done();
				};

				const giveUpTimer = setTimeout(
					disconnect,
					planned.timeoutMs + giveUpSlackMs,
				);
				const disconnectTimer =
					planned.disconnectAfterMs === undefined
						? undefined
						: setTimeout(disconnect, planned.disconnectAfterMs);
				request.on('response', (response) => {
					recordResponse(attempt, response, done);
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
