import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {ProblemError, ProblemType} from '../../common/index.js';

const statusByType: Partial<Record<ProblemType, number>> = {
	'not-run': 503,
	'outcome-unknown': 502,
	'rate-limited': 429,
	'generation-lost': 502,
	'unknown-model': 404,
	'unknown-service': 404,
	'invalid-request': 400,
	'too-large': 413,
	unauthorized: 401,
	forbidden: 403,
	'not-found': 404,
	'idempotency-key-invalid': 400,
	'idempotency-key-reused': 422,
	'idempotency-key-expired': 410,
	'stream-unknown': 404,
	'deadline-exceeded': 504,
	'target-protocol': 502,
	'target-unavailable': 502,
	'target-failed': 502,
	'not-ready': 503,
	'configuration-conflict': 409,
};

/** HTTP status of a problem. */
export function statusOf(problem: ProblemError): number {
	return statusByType[problem.type] ?? 500;
}

/** Body of an `application/problem+json` response. Causes are left out, since they may contain internals. */
export function problemBody(problem: ProblemError): Record<string, unknown> {
	return {
		...problem.details,
		type: problem.type,
		status: statusOf(problem),
		// The message of an unexpected error may contain internals.
		detail: problem.type === 'internal' ? 'internal error' : problem.detail,
		...(problem.field === undefined ? {} : {field: problem.field}),
		...(problem.retryAfterMs === undefined
			? {}
			: {retryAfterMs: problem.retryAfterMs}),
	};
}

/** Sends a problem as the response, or closes the connection if another response has begun. */
export function sendProblem(
	response: ServerResponse,
	problem: ProblemError,
): void {
	if (response.headersSent) {
		response.destroy();
		return;
	}

	const text = JSON.stringify(problemBody(problem));
	response.writeHead(statusOf(problem), {
		'content-type': 'application/problem+json',
		'content-length': Buffer.byteLength(text),
		...(problem.retryAfterMs === undefined
			? {}
			: {'retry-after': String(Math.ceil(problem.retryAfterMs / 1000))}),
	});
	response.end(text);
}
