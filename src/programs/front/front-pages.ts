import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {readyPath} from '../../platform/index.js';
import type {UnexpectedErrorLog} from '../unexpected-errors.js';

export type FrontPagesOptions = {
	/** True while the load balancer may send requests to this VM. */
	readonly isReady: () => boolean;
	readonly metricsText: () => string;
	readonly onUnexpected: UnexpectedErrorLog;
};

/** HTTP servers of the operational endpoints; callers are served by another server. */
export type FrontPages = {
	readonly ready: Server;
	readonly metrics: Server;
};

/** Creates the servers of the readiness check and of the metrics; the owner makes them listen. */
export function createFrontPages(options: FrontPagesOptions): FrontPages {
	const serve = (
		respond: (request: IncomingMessage, response: ServerResponse) => void,
	) =>
		createServer((request, response) => {
			try {
				respond(request, response);
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
