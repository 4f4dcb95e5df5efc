import {Buffer} from 'node:buffer';
import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';

/**
 * Writes a response body in chunked transfer coding with one write for each chunk. Node.js writes the
 * size, the data and the two line ends of a chunk as four pieces, which takes more processor time than
 * the rest of the relay.
 */
export type ChunkedWriter = {
	writeHead(status: number, headers: OutgoingHttpHeaders): void;
	/**
	 * @param text - text of the chunk; must not be empty, since an empty chunk ends the body
	 * @param sizeBytes - length of the text in UTF-8, in bytes; computed if it is not given
	 */
	write(text: string, sizeBytes?: number): void;
	/** Writes a last chunk, which must not be empty either, and ends the body. */
	end(text: string): void;
};

const bodyEnd = '0\r\n\r\n';

/**
 * @param response - response whose headers have not been sent
 */
export function createChunkedWriter(response: ServerResponse): ChunkedWriter {
	const frame = (text: string, sizeBytes: number) =>
		`${sizeBytes.toString(16)}\r\n${text}\r\n`;
	// A text with as many UTF-8 bytes as characters is ASCII, which both encodings write as the same bytes.
	const encodingOf = (text: string, sizeBytes: number) =>
		sizeBytes === text.length ? 'latin1' : 'utf8';
	return {
		writeHead(status, headers) {
			response.writeHead(status, {...headers, 'transfer-encoding': 'chunked'});
			// The header is set above; Node.js must not add the chunk framing, which `write` and `end` do.
			response.chunkedEncoding = false;
		},
		write(text, sizeBytes = Buffer.byteLength(text)) {
			response.write(frame(text, sizeBytes), encodingOf(text, sizeBytes));
		},
		end(text) {
			const sizeBytes = Buffer.byteLength(text);
			response.end(
				frame(text, sizeBytes) + bodyEnd,
				encodingOf(text, sizeBytes),
			);
		},
	};
}
