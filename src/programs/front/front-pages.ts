import {createServer, type Server} from 'node:http';
import {readyPath} from '../../platform/index.js';

/** What the pages show. */
export type FrontPagesOptions = {
	readonly isReady: () => boolean;
	readonly metricsText: () => string;
};

/** Servers of the pages beside the callers' one. */
export type FrontPages = {
	readonly ready: Server;
	readonly metrics: Server;
};

/** Creates the readiness check and the metrics page; the owner makes them listen. */
export function createFrontPages(options: FrontPagesOptions): FrontPages {
	const ready = createServer((request, response) => {
		if (request.url === readyPath) {
			response.writeHead(options.isReady() ? 200 : 503).end();
		} else {
			response.writeHead(404).end();
		}
	});
	const metrics = createServer((_request, response) => {
		response
			.writeHead(200, {'Content-Type': 'text/plain; version=0.0.4'})
			.end(options.metricsText());
	});
	return {ready, metrics};
}
