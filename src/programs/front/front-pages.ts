import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {readyPath} from '../../platform/index.js';
import type {UnexpectedErrorLog} from '../unexpected-errors.js';

/** What the pages show. */
export type FrontPagesOptions = {
	readonly isReady: () => boolean;
	readonly metricsText: () => string;
	readonly onUnexpected: UnexpectedErrorLog;
};

/** Servers of the pages beside the callers' one. */
export type FrontPages = {
	readonly ready: Server;
	readonly metrics: Server;
};

/** Creates the readiness check and the metrics page; the owner makes them listen. */
export function createFrontPages(options: FrontPagesOptions): FrontPages {
	const serve = (
		answer: (request: IncomingMessage, response: ServerResponse) => void,
	) =>
		createServer((request, response) => {
			try {
				answer(request, response);
			} catch (error) {
				options.onUnexpected(error);
				response.writeHead(500).end();
			}
		});

	const ready = serve((request, response) => {
		if (request.url === readyPath) {
			response.writeHead(options.isReady() ? 200 : 503).end();
		} else {
			response.writeHead(404).end();
		}
	});
	const metrics = serve((_request, response) => {
		const text = options.metricsText();
		response
			.writeHead(200, {'Content-Type': 'text/plain; version=0.0.4'})
			.end(text);
	});
	return {ready, metrics};
}
