import type {
	HeaderPair,
	ResponseHead,
	StatedRateLimit,
} from '../common/index.js';
import {headerNames} from './wire-names.js';
import {endToEndHeaders, indexHeaders} from './request-headers.js';

const decimalPattern = /^(?:\d+(?:\.\d*)?|\.\d+)$/;
/** Length to which an unreadable header value is cut in the description of the problem. */
const maxQuotedLength = 40;

function decodeRateLimit(text: string | undefined): StatedRateLimit {
	if (text === undefined) {
		return {state: 'unlimited'};
	}

	const requestsPerSecond = Number(text);
	return decimalPattern.test(text) && Number.isFinite(requestsPerSecond)
		? {state: 'limited', requestsPerSecond}
		: {
				state: 'malformed',
				detail: `${headerNames.rateLimit} is "${text.slice(0, maxQuotedLength)}"; allowed is a decimal number that is not negative`,
			};
}

/** Decodes the status and headers of a target's response. */
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
		rateLimit: decodeRateLimit(index.get(headerNames.rateLimit.toLowerCase())),
	};
}
