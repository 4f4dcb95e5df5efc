import type {ServerResponse} from 'node:http';
import {resetSocket} from './reset-socket.js';
import {
	beginResponse,
	createTargetServer,
	refuse,
	type TargetArrival,
	type TargetObserver,
	type TargetServer,
} from './target-server.js';

/** How a modelled service treats requests. */
export type ServiceMode =
	| 'sound'
	/** Does not run requests and says so. */
	| 'refusing'
	/** Runs requests and answers with an error. */
	| 'failing'
	/** Runs requests and resets the connection instead of answering. */
	| 'losing-answers'
	| 'slow';

/** What a modelled plain service is made from. */
export type ServiceStandinOptions = {
	readonly targetId: string;
	readonly service: string;
	readonly workMs: number;
	readonly observer: TargetObserver;
};

/** A plain service that works on each request for some time and answers. */
export type ServiceStandin = TargetServer & {
	setMode(mode: ServiceMode): void;
};

const slowFactor = 12;
const failedStatus = 500;

/** Body of the answer to a request. */
export function serviceBody(requestId: string, targetId: string): string {
	return `${requestId} by ${targetId}`;
}

/** Creates a sound service; the owner makes it listen. */
export function createServiceStandin(
	options: ServiceStandinOptions,
): ServiceStandin {
	const {observer, workMs, targetId} = options;
	let mode: ServiceMode = 'sound';

	const answer = (arrival: TargetArrival, response: ServerResponse) => {
		observer.stopped(arrival, true);
		if (mode === 'losing-answers') {
			if (response.socket) {
				resetSocket(response.socket);
			}

			return;
		}

		const body = serviceBody(arrival.request.id, targetId);
		beginResponse(arrival, response, mode === 'failing' ? failedStatus : 200, {
			'Content-Length': String(body.length),
		});
		response.end(body);
	};

	const work = {
		...options,
		serve(arrival: TargetArrival, response: ServerResponse) {
			if (mode === 'refusing') {
				refuse(arrival, response);
				return;
			}

			observer.started(arrival);
			setTimeout(
				() => {
					answer(arrival, response);
				},
				mode === 'slow' ? workMs * slowFactor : workMs,
			);
		},
		control(_path: string, _body: string, response: ServerResponse) {
			response.writeHead(404).end('{}');
		},
	};
	return {
		...createTargetServer(work, observer),
		setMode(value) {
			mode = value;
		},
	};
}
