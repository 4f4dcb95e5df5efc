import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';

const maxBodyBytes = 4 * 1024 * 1024;

/**
 * Reads a request body as text.
 * @throws RangeError if the body is larger than 4 MiB
 */
export async function readBody(request: IncomingMessage): Promise<string> {
	const chunks: Buffer[] = [];
	let sizeBytes = 0;
	for await (const chunk of request as AsyncIterable<Buffer>) {
		sizeBytes += chunk.length;
		if (sizeBytes > maxBodyBytes) {
			throw new RangeError('request body is larger than 4 MiB');
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

/** Sends a JSON response. */
export function sendJson(
	response: ServerResponse,
	status: number,
	body: unknown,
): void {
	const text = JSON.stringify(body);
	response.writeHead(status, {
		'content-type': 'application/json',
		'content-length': Buffer.byteLength(text),
	});
	response.end(text);
}
