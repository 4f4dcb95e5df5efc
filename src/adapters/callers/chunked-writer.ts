import {Buffer} from 'node:buffer';
import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';

/**
 * Writes a chunked response body with one write for each chunk. Node.js writes the size, the data
 * and the line ends of a chunk as four pieces, which costs more than the rest of the relay.
 */
export type ChunkedWriter = {
	writeHead(status: number, headers: OutgoingHttpHeaders): void;
	/**
	 * @param text - not empty, since an empty chunk ends the body
	 * @param sizeBytes - its length in UTF-8, counted here if it is not given
	 */
	write(text: string, sizeBytes?: number): void;
	end(text: string): void;
};

const bodyEnd = '0\r\n\r\n';

/** Creates the writer of a response whose header has not been sent. */
export function createChunkedWriter(response: ServerResponse): ChunkedWriter {
	const frame = (text: string, sizeBytes: number) =>
		`${sizeBytes.toString(16)}\r\n${text}\r\n`;
	// A text with as many bytes as characters is the same in both encodings.
	const encodingOf = (text: string, sizeBytes: number) =>
		sizeBytes === text.length ? 'latin1' : 'utf8';
	return {
		writeHead(status, headers) {
			response.writeHead(status, {...headers, 'transfer-encoding': 'chunked'});
			// The header says so; the frames are written here.
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
