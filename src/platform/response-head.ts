import type {ResponseHead, HeaderPair} from '../common/index.js';
import {headerNames} from './wire-names.js';
import {endToEndHeaders, indexHeaders} from './request-headers.js';

/** Decodes the status and headers of a target's answer. */
export function decodeResponseHead(
	status: number,
	headers: readonly HeaderPair[],
): ResponseHead {
	const index = indexHeaders(headers);
	return {
		status,
		headers: endToEndHeaders(headers),
		requestId: index.get(headerNames.requestId.toLowerCase()),
		isFromTarget: index.has(headerNames.targetStamp.toLowerCase()),
		notExecuted: index.has(headerNames.notExecuted.toLowerCase()),
		hasContentEncoding:
			(index.get('content-encoding') ?? 'identity') !== 'identity',
	};
}
