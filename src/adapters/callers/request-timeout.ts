import type {IncomingMessage} from 'node:http';
import {ProblemError} from '../../common/index.js';

const header = 'x-request-timeout-ms';
const maxTimeoutMs = 86_400_000;

/**
 * Reads the time that a caller waits.
 * @returns milliseconds, or undefined without the header
 * @throws ProblemError `invalid-request`
 */
export function parseRequestTimeoutMs(
	request: IncomingMessage,
): number | undefined {
	const text = request.headers[header];
	if (text === undefined) {
		return undefined;
	}

	const timeoutMs =
		typeof text === 'string' && /^\d{1,8}$/.test(text) ? Number(text) : 0;
	if (timeoutMs < 1 || timeoutMs > maxTimeoutMs) {
		throw new ProblemError(
			'invalid-request',
			`X-Request-Timeout-Ms allows: whole milliseconds, 1 to ${maxTimeoutMs}`,
			{field: 'X-Request-Timeout-Ms'},
		);
	}

	return timeoutMs;
}
