import {type HeaderPair, ProblemError} from '../../common/index.js';

/** Status line and headers of a response, as received. */
export type ReceivedHead = {
	readonly status: number;
	/** Reason phrase of the status line. */
	readonly reason: string;
	readonly headers: readonly HeaderPair[];
};

/** A response whose status HTTP does not define; the sender has failed, and its meaning is unknown. */
export class UndefinedStatusError extends ProblemError {
	constructor(status: number) {
		super('target-protocol', `HTTP does not define the status ${status}`);
	}
}

/** A head that can be read in two ways; it belongs to no request, and the outcome of the request is unknown. */
export class AmbiguousHeadError extends ProblemError {
	constructor(detail: string) {
		super(
			'target-protocol',
			`the head of the response is ambiguous: ${detail}`,
		);
	}
}

const minStatus = 100;
const maxStatus = 599;
/** Start of a status line. In a reason phrase or a header value, it is that of a second head. */
const statusLinePattern = /HTTP\/\d\.\d \d{3}/;

/**
 * Checks a head before its meaning is read. The end of one head and the start of another may have been read as one,
 * as when the rest of a broken response precedes the next one on a connection.
 * @param decidingHeaders - names, in lower case, of headers that decide what the response means
 * @throws UndefinedStatusError if HTTP does not define the status; AmbiguousHeadError if the head can be read in
 *   two ways
 */
export function requireReadableHead(
	{status, reason, headers}: ReceivedHead,
	decidingHeaders: ReadonlySet<string>,
): void {
	if (status < minStatus || status > maxStatus) {
		throw new UndefinedStatusError(status);
	}

	if (statusLinePattern.test(reason)) {
		throw new AmbiguousHeadError('the reason phrase holds a status line');
	}

	const seen = new Set<string>();
	for (const [name, value] of headers) {
		const lower = name.toLowerCase();
		if (statusLinePattern.test(value)) {
			throw new AmbiguousHeadError(`${name} holds a status line`);
		}

		if (seen.has(lower) && decidingHeaders.has(lower)) {
			throw new AmbiguousHeadError(`${name} is repeated`);
		}

		seen.add(lower);
	}
}
