import {Agent, type IncomingMessage, request as httpRequest} from 'node:http';
import {headerNames} from '../../platform/index.js';
import type {ObservedRequest} from './observations.js';

/** Port, host name and API key of the front daemon that a caller uses. */
export type FrontEndpoint = {
	/** Port of the proxy in front of the daemon, on the loopback address. */
	readonly port: number;
	/** Value of the `Host` header. */
	readonly host: string;
	readonly apiKey: string;
};

/** A request to send. */
export type PlannedRequest = {
	/** Record of the request, filled in as it proceeds. */
	readonly record: ObservedRequest;
	readonly path: string;
	readonly timeoutMs: number;
	readonly promptTokens: number;
	readonly outputTokens: number;
	/** Time after which the caller disconnects; undefined if it waits until it gives up. */
	readonly disconnectAfterMs: number | undefined;
};

/** A caller that sends one request at a time over a persistent connection. */
export type Caller = {
	/** Sends a request; resolves when its outcome is known. */
	send(planned: PlannedRequest): Promise<void>;
	dispose(): void;
};

/** Time after the request timeout at which a caller gives up, in milliseconds. */
const giveUpSlackMs = 3000;

/** Tokens of the part that all prompts share, and of one under which engines end. */
const sharedTokens = 100;

function promptPartsOf(
	{id, crashingPart}: ObservedRequest,
	promptTokens: number,
): string {
	const parts = ['shared', ...(crashingPart ? [crashingPart] : [])];
	const ownTokens = promptTokens - parts.length * sharedTokens;
	return [
		...parts.map((part) => `${part}:${sharedTokens}`),
		`${id}:${ownTokens}`,
	].join(',');
}

function headersOf(
	{record, timeoutMs, promptTokens, outputTokens}: PlannedRequest,
	{host, apiKey}: FrontEndpoint,
): Record<string, string> {
	return {
		Host: host,
		[headerNames.apiKey]: apiKey,
		[headerNames.requestId]: record.id,
		[headerNames.timeoutMs]: String(timeoutMs),
		...(record.eventCount > 0
			? {
					[headerNames.model]: 'm',
					[headerNames.tokenCounts]: `${promptTokens},${outputTokens}`,
					[headerNames.promptParts]: promptPartsOf(record, promptTokens),
				}
			: {}),
	};
}

/** Records a response; calls back once it has ended or failed. */
function recordResponse(
	record: ObservedRequest,
	response: IncomingMessage,
	done: () => void,
) {
	const headerOf = (name: string) => {
		const value = response.headers[name.toLowerCase()];
		return typeof value === 'string' ? value : undefined;
	};

	record.status = response.statusCode;
	record.stamp = headerOf(headerNames.targetStamp);
	record.retryAfter = headerOf('Retry-After');
	response.setEncoding('utf8');
	response.on('data', (text: string) => {
		record.body += text;
	});
	response.on('end', () => {
		record.isWhole = response.complete;
		done();
	});
	response.on('error', done);
}

/** Creates a caller; it connects on its first request. */
export function createCaller(endpoint: FrontEndpoint): Caller {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	return {
		async send(planned) {
			const {record} = planned;
			await new Promise<void>((resolve) => {
				const done = () => {
					clearTimeout(giveUpTimer);
					clearTimeout(disconnectTimer);
					record.endedMs ??= performance.now();
					resolve();
				};

				const clientRequest = httpRequest({
					host: '127.0.0.1',
					port: endpoint.port,
					path: planned.path,
					method: record.kind === 'lookup' ? 'GET' : 'POST',
					headers: headersOf(planned, endpoint),
					agent,
				});
				const disconnect = () => {
					record.leftMs = performance.now();
					clientRequest.destroy();
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
				clientRequest.on('response', (response) => {
					recordResponse(record, response, done);
				});
				clientRequest.on('error', done);
				clientRequest.end();
			});
		},
		dispose() {
			agent.destroy();
		},
	};
}
