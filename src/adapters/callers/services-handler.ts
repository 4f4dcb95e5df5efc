import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {IncomingHttpHeaders} from 'node:http';
import {
	type PlainService,
	ProblemError,
	type ServiceAnswer,
} from '../../common/index.js';
import {
	type BookingCoordinator,
	checkBookingKey,
} from '../../decisions/bookings/index.js';
import type {CallerHandler} from './caller-server.js';
import {readRequestBody} from './request-body.js';

/** What the handler of calls to plain services needs. */
export type ServicesHandlerOptions = {
	readonly maxBodyBytes: number;
	/** How long records of bookings are kept, in milliseconds. */
	readonly retentionMs: number;
	/** Time until a call to a target fails, in milliseconds. */
	readonly callTimeoutMs: number;
	readonly wallMs: () => number;
	readonly bookings: BookingCoordinator;
	/** Chooses a target; throws `not-run` or `unknown-service`. */
	readonly place: (service: string) => PlainService;
};

const servicePattern = /^\/v1\/services\/([\w-]+)(\/.*)?$/;

/**
 * Time that the caller waits, from its header and the limit of this entry VM.
 * @throws ProblemError `invalid-request`
 */
function readTimeoutMs(headers: IncomingHttpHeaders, limitMs: number): number {
	const text = headers['x-request-timeout-ms'];
	if (text === undefined) {
		return limitMs;
	}

	const timeoutMs = Number(text);
	if (!Number.isInteger(timeoutMs) || timeoutMs < 1) {
		throw new ProblemError(
			'invalid-request',
			'X-Request-Timeout-Ms must be a whole number of milliseconds above 0',
			{field: 'X-Request-Timeout-Ms'},
		);
	}

	return Math.min(timeoutMs, limitMs);
}

/** Creates the handler of `/v1/services/<service>/<path>`. */
export function createServicesHandler(
	options: ServicesHandlerOptions,
): CallerHandler {
	return async ({account, request, response, url}) => {
		const match = servicePattern.exec(url.pathname);
		if (!match) {
			throw new ProblemError('unknown-service', 'path names no service');
		}

		const [, service, path = '/'] = match;
		const method = request.method ?? 'GET';
		const body = await readRequestBody(request, options.maxBodyBytes);
		const call = {
			method,
			path: path + url.search,
			body,
			contentType: String(
				request.headers['content-type'] ?? 'application/octet-stream',
			),
		};
		const timeoutMs = readTimeoutMs(request.headers, options.callTimeoutMs);
		let answer: ServiceAnswer;
		if (method === 'GET' || method === 'HEAD') {
			answer = await options
				.place(service)
				.call({...call, idempotencyKey: undefined, timeoutMs});
		} else {
			const header = request.headers['idempotency-key'];
			const key = checkBookingKey(
				typeof header === 'string' ? header : undefined,
				options.wallMs(),
				options.retentionMs,
			);
			const bodyHash = createHash('sha256')
				.update(`${method}\n${service}\n${call.path}\n${body}`)
				.digest('base64url');
			answer = await options.bookings.run({
				account,
				key,
				bodyHash,
				service,
				request: call,
				timeoutMs,
			});
		}

		response.writeHead(answer.status, {
			'content-type': answer.contentType,
			'content-length': Buffer.byteLength(answer.body),
		});
		response.end(answer.body);
	};
}
