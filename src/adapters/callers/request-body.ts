import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {ProblemError} from '../../common/index.js';

/**
 * Reads a request body as text.
 * @param maxBytes - largest size accepted, in bytes
 * @throws ProblemError `too-large`
 */
export async function readRequestBody(
	request: IncomingMessage,
	maxBytes: number,
): Promise<string> {
	const chunks: Buffer[] = [];
	let sizeBytes = 0;
	for await (const chunk of request as AsyncIterable<Buffer>) {
		sizeBytes += chunk.length;
		if (sizeBytes > maxBytes) {
			throw new ProblemError(
				'too-large',
				`request body is over ${maxBytes} bytes`,
				{
					field: 'body',
				},
			);
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

/**
 * Parses a JSON body.
 * @throws ProblemError `invalid-request`
 */
export function parseJsonBody(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		throw new ProblemError(
			'invalid-request',
			'request body is not valid JSON',
			{field: 'body'},
		);
	}
}
