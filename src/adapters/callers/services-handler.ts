import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {ProblemError, type ServiceResponse} from '../../common/index.js';
import {
	type BookingCoordinator,
	checkBookingKey,
} from '../../decisions/bookings/index.js';
import type {ServiceCaller} from '../../decisions/retries/index.js';
import type {CallerHandler} from './caller-server.js';
import {readRequestBody} from './request-body.js';
import {parseRequestTimeoutMs} from './request-timeout.js';

export type ServicesHandlerOptions = {
	readonly maxBodyBytes: number;
	/** Time for which booking records are kept, in milliseconds. */
	readonly retentionMs: number;
	/** Longest time for a request, in milliseconds; a caller may set a shorter one. */
	readonly callTimeoutMs: number;
	/** Wall-clock time in milliseconds since the epoch. */
	readonly wallMs: () => number;
	/** Sends requests that must not be executed twice. */
	readonly bookings: BookingCoordinator;
	/** Sends requests that may be repeated: `GET` and `HEAD`. */
	readonly serviceCaller: ServiceCaller;
	/** Monotonic time in milliseconds. */
	readonly nowMs: () => number;
};

const servicePattern = /^\/v1\/services\/([\w-]+)(\/.*)?$/;

/**
 * Creates the handler of `/v1/services/<service>/<path>`. Methods other than `GET` and `HEAD` need an
 * `Idempotency-Key`.
 */
export function createServicesHandler(
	options: ServicesHandlerOptions,
): CallerHandler {
	return async ({account, request, response, url}) => {
		const match = servicePattern.exec(url.pathname);
		if (!match) {
			throw new ProblemError(
				'unknown-service',
				'path contains no valid service name',
			);
		}

		const [, service, path = '/'] = match;
		const method = request.method ?? 'GET';
		const timeoutMs = Math.min(
			options.callTimeoutMs,
			parseRequestTimeoutMs(request) ?? options.callTimeoutMs,
		);
		const deadlineMs = options.nowMs() + timeoutMs;
		const body = await readRequestBody(request, options.maxBodyBytes);
		const call = {
			method,
			path: path + url.search,
			body,
			contentType: String(
				request.headers['content-type'] ?? 'application/octet-stream',
			),
		};
		let serviceResponse: ServiceResponse;
		if (method === 'GET' || method === 'HEAD') {
			serviceResponse = await options.serviceCaller.run({
				account,
				service,
				call: {...call, timeoutMs, idempotencyKey: undefined},
				deadlineMs,
			});
		} else {
			const header = request.headers['idempotency-key'];
			const key = checkBookingKey(
				typeof header === 'string' ? header : undefined,
				options.wallMs(),
				options.retentionMs,
			);
			// Covers the whole request, so that a key that is reused for another path or method is detected too.
			const bodyHash = createHash('sha256')
				.update(`${method}\n${service}\n${call.path}\n${body}`)
				.digest('base64url');
			serviceResponse = await options.bookings.run({
				account,
				key,
				bodyHash,
				service,
				request: call,
				timeoutMs,
			});
		}

		response.writeHead(serviceResponse.status, {
			'content-type': serviceResponse.contentType,
			'content-length': Buffer.byteLength(serviceResponse.body),
		});
		response.end(serviceResponse.body);
	};
}
