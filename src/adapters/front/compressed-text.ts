import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {ProblemError} from '../../common/index.js';

/** Limit of a decompressed text; the same as that of a store response. */
const maxTextBytes = 16_777_216;

/** Compresses a text for the messages between VMs (raw deflate in base64). */
export function compressText(text: string): string {
	return deflateRawSync(text).toString('base64');
}

/**
 * Decompresses a text from another VM.
 * @throws ProblemError `peer-protocol` if it is malformed, or too large when decompressed
 */
export function decompressText(compressed: string): string {
	try {
		return inflateRawSync(Buffer.from(compressed, 'base64'), {
			maxOutputLength: maxTextBytes,
		}).toString('utf8');
	} catch (error) {
		throw new ProblemError(
			'peer-protocol',
			`cannot decompress a text from a peer: ${(error as Error).message}`,
		);
	}
}
