import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {ProblemError} from '../../common/index.js';

const decoder = new TextDecoder('utf8', {fatal: true, ignoreBOM: true});

/**
 * Reads a request body as text.
 * @param maxBytes - largest size accepted, in bytes
 * @throws ProblemError `too-large`, or `invalid-request` if the body is not UTF-8 or incomplete
 */
export async function readRequestBody(
	request: IncomingMessage,
	maxBytes: number,
): Promise<string> {
	const bytes = await readBytes(request, maxBytes);
	try {
		return decoder.decode(bytes);
	} catch {
		throw new ProblemError('invalid-request', 'request body is not UTF-8', {
			field: 'body',
		});
	}
}

async function readBytes(
	request: IncomingMessage,
	maxBytes: number,
): Promise<Buffer> {
	return new Promise((resolve, reject) => {
		const chunks: Buffer[] = [];
		let sizeBytes = 0;

		// The rest of the body is discarded. Listeners are used instead of `for await`, since leaving such a loop
		// early would destroy the connection before the response is sent.
		const refuse = () => {
			request.removeAllListeners('data');
			request.resume();
			reject(
				new ProblemError(
					'too-large',
					`request body is larger than ${maxBytes} bytes`,
					{field: 'body'},
				),
			);
		};

		if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
			refuse();
			return;
		}

		request.on('data', (chunk: Buffer) => {
			sizeBytes += chunk.length;
			if (sizeBytes > maxBytes) {
				refuse();
			} else {
				chunks.push(chunk);
			}
		});
		request.on('end', () => {
			resolve(Buffer.concat(chunks));
		});
		request.on('error', (cause) => {
			reject(
				new ProblemError(
					'invalid-request',
					'connection failed before the request body was complete',
					{
						cause,
						field: 'body',
					},
				),
			);
		});
	});
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
