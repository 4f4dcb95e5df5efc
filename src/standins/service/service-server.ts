import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {readBody, sendJson} from '../http-helpers.js';

export type ServiceServerOptions = {
	/** Time from a request to its response, in milliseconds. */
	readonly delayMs: number;
};

type Outcome = {
	readonly booking: number;
	readonly body: string;
};

/**
 * Creates the HTTP server of a stand-in plain service; it does not listen yet. The service deliberately
 * doesn't deduplicate: it executes every call, and `GET /counts` returns how often each idempotency key was
 * received, so that a repeated call is noticed.
 */
export function createServiceServer(options: ServiceServerOptions): Server {
	const outcomes = new Map<string, Outcome>();
	const counts = new Map<string, number>();
	let bookingCount = 0;

	const book = async (request: IncomingMessage, response: ServerResponse) => {
		const body = await readBody(request);
		const key = String(request.headers['idempotency-key']);
		counts.set(key, (counts.get(key) ?? 0) + 1);
		const outcome: Outcome = {booking: ++bookingCount, body};
		outcomes.set(key, outcome);
		setTimeout(() => {
			sendJson(response, 201, outcome);
		}, options.delayMs);
	};

	const handle = async (request: IncomingMessage, response: ServerResponse) => {
		const url = new URL(request.url!, 'http://service');
		const outcomePath = /^\/outcomes\/([^/]+)$/.exec(url.pathname);
		if (outcomePath) {
			const outcome = outcomes.get(decodeURIComponent(outcomePath[1]));
			sendJson(response, outcome ? 201 : 404, outcome ?? {});
		} else if (url.pathname === '/counts') {
			sendJson(response, 200, Object.fromEntries(counts));
		} else if (request.method === 'POST') {
			await book(request, response);
		} else {
			sendJson(response, 200, {path: url.pathname, inStock: true});
		}
	};

	return createServer((request, response) => {
		handle(request, response).catch((error: unknown) => {
			if (!response.headersSent) {
				sendJson(response, 400, {error: String(error)});
			}
		});
	});
}
