import {Buffer} from 'node:buffer';
import {STATUS_CODES} from 'node:http';
import type {Duplex} from 'node:stream';
import {ProblemError} from '../../common/index.js';
import {problemBody, statusOf} from './problem-response.js';

function problemOf(code: string): ProblemError {
	switch (code) {
		case 'HPE_HEADER_OVERFLOW': {
			return new ProblemError('too-large', 'request headers are too large', {
				field: 'headers',
			});
		}

		case 'ERR_HTTP_REQUEST_TIMEOUT': {
			return new ProblemError(
				'invalid-request',
				'request did not arrive in time',
				{field: 'request'},
			);
		}

		default: {
			return new ProblemError('invalid-request', 'request is not valid HTTP', {
				field: 'request',
			});
		}
	}
}

/**
 * Answers a request that could not be parsed or did not arrive in time, and closes its connection.
 * @returns the problem that was answered
 */
export function respondToClientError(
	error: Error & {code?: string},
	socket: Duplex,
): ProblemError {
	const problem = problemOf(error.code ?? '');
	if (error.code === 'ECONNRESET' || !socket.writable) {
		socket.destroy();
		return problem;
	}

	const status = statusOf(problem);
	const body = JSON.stringify(problemBody(problem));
	socket.end(
		`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
			'content-type: application/problem+json\r\n' +
			`content-length: ${Buffer.byteLength(body)}\r\n` +
			`connection: close\r\n\r\n${body}`,
	);
	return problem;
}
