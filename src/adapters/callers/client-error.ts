import {Buffer} from 'node:buffer';
import {STATUS_CODES} from 'node:http';
import type {Duplex} from 'node:stream';
import {ProblemError} from '../../common/index.js';
import {problemBody, statusOf} from './problem-response.js';

function problemForCode(code: string): ProblemError {
	switch (code) {
		case 'HPE_HEADER_OVERFLOW': {
			return new ProblemError('too-large', 'request headers are too large', {
				field: 'headers',
			});
		}

		case 'ERR_HTTP_REQUEST_TIMEOUT': {
			return new ProblemError(
				'invalid-request',
				'request was not received in time',
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
 * Responds to a request that Node.js could not parse or that was not received in time, and closes its
 * connection.
 * @param error - error of the server's `clientError` event
 * @returns the problem, also if the connection no longer took a response
 */
export function respondToClientError(
	error: Error & {code?: string},
	socket: Duplex,
): ProblemError {
	const problem = problemForCode(error.code ?? '');
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
