import type {Buffer} from 'node:buffer';
import {type HeaderPair, headerPairs} from '../common/index.js';

type RawHeaders = {readonly rawHeaders?: readonly Buffer[]};

/**
 * Returns the headers of a response as they were received.
 * @param controller - undici's, which has them as bytes
 * @param fallback - undici's decoded headers, for a controller without the bytes
 */
export function rawHeaderPairs(
	controller: unknown,
	fallback: Readonly<Record<string, unknown>>,
): readonly HeaderPair[] {
	const raw = (controller as RawHeaders).rawHeaders;
	if (raw) {
		return headerPairs(raw.map((part) => part.toString('latin1')));
	}

	return headerEntries(fallback);
}

/** @returns decoded headers as pairs; those with several values as several pairs */
export function headerEntries(
	headers: Readonly<Record<string, unknown>>,
): HeaderPair[] {
	return Object.entries(headers).flatMap(([name, value]) =>
		(Array.isArray(value) ? value : [value]).map((item): HeaderPair => [
			name,
			String(item),
		]),
	);
}
