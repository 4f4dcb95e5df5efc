import type {
	HeaderPair,
	ResponseHead,
	StatedBackOff,
	StatedCold,
	StatedLeaving,
	StatedRateLimit,
} from '../common/index.js';
import {headerNames} from './wire-names.js';
import {endToEndHeaders, indexHeaders} from './request-headers.js';

const decimalPattern = /^(?:\d+(?:\.\d*)?|\.\d+)$/;
/** Length to which an unreadable header value is cut in the description of the problem. */
const maxQuotedLength = 40;
/** Statuses with which a target turns a request away. */
const turnedAwayStatuses: ReadonlySet<number> = new Set([429, 503]);
/** Longest back-off that a target may ask for, in seconds; longer ones are taken for mistakes. */
const maxBackOffS = 600;
/** Longest time for which a target may say that it is cold, in milliseconds: one day. */
const maxColdMs = 86_400_000;
const millisecondsPerSecond = 1000;

/** @returns undefined if the text is no decimal number without a sign */
function parseDecimal(text: string): number | undefined {
	const value = Number(text);
	return decimalPattern.test(text) && Number.isFinite(value)
		? value
		: undefined;
}

function malformed(name: string, text: string, allowed: string) {
	return {
		state: 'malformed' as const,
		detail: `${name} is "${text.slice(0, maxQuotedLength)}"; allowed is ${allowed}`,
	};
}

function decodeRateLimit(text: string | undefined): StatedRateLimit {
	if (text === undefined) {
		return {state: 'unlimited'};
	}

	const requestsPerSecond = parseDecimal(text);
	return requestsPerSecond === undefined
		? malformed(
				headerNames.rateLimit,
				text,
				'a decimal number that is not negative',
			)
		: {state: 'limited', requestsPerSecond};
}

function decodeLeaving(text: string | undefined): StatedLeaving {
	switch (text) {
		case undefined:
		case '0': {
			return {state: 'staying'};
		}

		case '1': {
			return {state: 'leaving'};
		}

		default: {
			return malformed(headerNames.leaving, text, '0 or 1');
		}
	}
}

function decodeBackOff(
	status: number,
	text: string | undefined,
): StatedBackOff {
	if (text === undefined || !turnedAwayStatuses.has(status)) {
		return {state: 'none'};
	}

	const durationS = parseDecimal(text);
	if (durationS === undefined || durationS > maxBackOffS) {
		const allowed = `a decimal number of seconds up to ${maxBackOffS}`;
		return malformed(headerNames.retryAfter, text, allowed);
	}

	return durationS === 0
		? {state: 'none'}
		: {state: 'backing-off', durationMs: durationS * millisecondsPerSecond};
}

/** Decodes the header that says for how long a target is still cold. */
export function decodeCold(text: string | undefined): StatedCold {
	if (text === undefined) {
		return {state: 'not-stated'};
	}

	const coldMs = parseDecimal(text);
	if (coldMs === undefined || coldMs > maxColdMs) {
		const allowed = `a decimal number of milliseconds up to ${maxColdMs}`;
		return malformed(headerNames.coldMs, text, allowed);
	}

	return {state: 'stated', coldMs};
}

/** Decodes the status and headers of a target's response. */
export function decodeResponseHead(
	status: number,
	headers: readonly HeaderPair[],
): ResponseHead {
	const index = indexHeaders(headers);
	const valueOf = (name: string) => index.get(name.toLowerCase());
	return {
		status,
		headers: endToEndHeaders(headers),
		requestId: index.get(headerNames.requestId.toLowerCase()),
		isFromTarget: index.has(headerNames.targetStamp.toLowerCase()),
		notExecuted: index.has(headerNames.notExecuted.toLowerCase()),
		hasContentEncoding:
			(index.get('content-encoding') ?? 'identity') !== 'identity',
		rateLimit: decodeRateLimit(valueOf(headerNames.rateLimit)),
		leaving: decodeLeaving(valueOf(headerNames.leaving)),
		backOff: decodeBackOff(status, valueOf(headerNames.retryAfter)),
		cold: decodeCold(valueOf(headerNames.coldMs)),
	};
}
