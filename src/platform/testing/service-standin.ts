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

/** How a simulated service treats requests. */
export type ServiceMode =
	| 'sound'
	/** Refuses requests and states that it did not execute them. */
	| 'refusing'
	/** Executes requests and responds with an error. */
	| 'failing'
	/** Executes requests and resets the connection instead of responding. */
	| 'losing-answers'
	| 'slow';

export type ServiceStandinOptions = {
	readonly targetId: string;
	readonly service: string;
	/** Time that a request takes, in milliseconds. */
	readonly workMs: number;
	readonly observer: TargetObserver;
};

/** Simulated plain service that responds to each request after a fixed time. */
export type ServiceStandin = TargetServer & {
	setMode(mode: ServiceMode): void;
};

const slowFactor = 12;
const failedStatus = 500;

/** @returns body of the response to a request */
export function serviceBody(requestId: string, targetId: string): string {
	return `${requestId} by ${targetId}`;
}

/** Creates a service in the mode `sound`. The caller makes the server listen. */
export function createServiceStandin(
	options: ServiceStandinOptions,
): ServiceStandin {
	const {observer, workMs, targetId} = options;
	let mode: ServiceMode = 'sound';

	const respond = (arrival: TargetArrival, response: ServerResponse) => {
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

	const handler = {
		...options,
		serve(arrival: TargetArrival, response: ServerResponse) {
			if (mode === 'refusing') {
				refuse(arrival, response);
				return;
			}

			observer.started(arrival);
			setTimeout(
				() => {
					respond(arrival, response);
				},
				mode === 'slow' ? workMs * slowFactor : workMs,
			);
		},
		control(_path: string, _body: string, response: ServerResponse) {
			response.writeHead(404).end('{}');
		},
	};
	return {
		...createTargetServer(handler, observer),
		setMode(value) {
			mode = value;
		},
	};
}
