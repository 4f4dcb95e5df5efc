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

/** What the handler of calls to plain services needs. */
export type ServicesHandlerOptions = {
	readonly maxBodyBytes: number;
	/** How long records of bookings are kept, in milliseconds. */
	readonly retentionMs: number;
	/** Time until a call to a target fails, in milliseconds. */
	readonly callTimeoutMs: number;
	readonly wallMs: () => number;
	readonly bookings: BookingCoordinator;
	/** Sends calls that may be repeated. */
	readonly serviceCaller: ServiceCaller;
	readonly nowMs: () => number;
};

const servicePattern = /^\/v1\/services\/([\w-]+)(\/.*)?$/;

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
		let answer: ServiceResponse;
		if (method === 'GET' || method === 'HEAD') {
			answer = await options.serviceCaller.run({
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
