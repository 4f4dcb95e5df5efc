import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {
	createBoundedServer,
	type ServerBounds,
} from '../../adapters/front/index.js';
import {readyPath} from '../../platform/index.js';
import type {UnexpectedErrorLog} from '../unexpected-errors.js';

export type FrontPagesOptions = {
	/** True while the load balancer may send requests to this VM. */
	readonly isReady: () => boolean;
	readonly metricsText: () => string;
	readonly onUnexpected: UnexpectedErrorLog;
	/** Limits of the connections of each server. */
	readonly bounds: {
		readonly ready: ServerBounds;
		readonly metrics: ServerBounds;
	};
};

/** HTTP servers of the operational endpoints; callers are served by another server. */
export type FrontPages = {
	readonly ready: Server;
	readonly metrics: Server;
};

/** Time in which a request must have been sent, in milliseconds. */
const maxReceiveMs = 5000;

/** Creates the servers of the readiness check and of the metrics; the owner makes them listen. */
export function createFrontPages(options: FrontPagesOptions): FrontPages {
	const http = {headersTimeout: maxReceiveMs, requestTimeout: maxReceiveMs};
	const serve = (
		bounds: ServerBounds,
		respond: (request: IncomingMessage, response: ServerResponse) => void,
	) =>
		createBoundedServer({...bounds, http}, (request, response) => {
			try {
				respond(request, response);
			} catch (error) {
				options.onUnexpected(error);
				response.writeHead(500).end();
			}
		});

	const ready = serve(options.bounds.ready, (request, response) => {
		if (request.url === readyPath) {
			response.writeHead(options.isReady() ? 200 : 503).end();
		} else {
			response.writeHead(404).end();
		}
	});
	const metrics = serve(options.bounds.metrics, (_request, response) => {
		const text = options.metricsText();
		response
			.writeHead(200, {'Content-Type': 'text/plain; version=0.0.4'})
			.end(text);
	});
	return {ready, metrics};
}
