import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {ProblemError} from '../../common/index.js';

/** As much as the store may answer. */
const maxTextBytes = 16_777_216;

/** Packs a text for datagrams. */
export function compressText(text: string): string {
	return deflateRawSync(text).toString('base64');
}

/** @throws ProblemError `peer-protocol` if the text was not packed by a VM, or is too large */
export function decompressText(packed: string): string {
	try {
		return inflateRawSync(Buffer.from(packed, 'base64'), {
			maxOutputLength: maxTextBytes,
		}).toString('utf8');
	} catch (error) {
		throw new ProblemError(
			'peer-protocol',
			`a packed text cannot be read: ${(error as Error).message}`,
		);
	}
}
