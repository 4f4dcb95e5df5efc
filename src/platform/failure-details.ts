import {
	AmbiguousHeadError,
	UndefinedStatusError,
} from '../adapters/http-client/index.js';
import {
	ProblemError,
	type ResponseDefect,
	type SendFailure,
} from '../common/index.js';
import {hasTimedOut} from './connection-timeout.js';

function defectOf(error: Error): ResponseDefect | undefined {
	if (error instanceof UndefinedStatusError) {
		return 'undefined-status';
	}

	if (error instanceof AmbiguousHeadError) {
		return 'ambiguous-head';
	}

	return error instanceof ProblemError && error.type === 'too-large'
		? 'too-large'
		: undefined;
}

/** @returns what an error tells of the failure of a send */
export function failureDetails(
	error: Error,
): Pick<SendFailure, 'defect' | 'reason' | 'timedOut'> {
	return {
		reason: error.message,
		timedOut: hasTimedOut(error),
		defect: defectOf(error),
	};
}

/** Errors with which the HTTP library refuses a request before it opens a connection for it. */
const unsendableCodes: ReadonlySet<string | undefined> = new Set([
	'UND_ERR_INVALID_ARG',
	'UND_ERR_NOT_SUPPORTED',
]);

/** @returns true if the HTTP library does not send the request, whatever the target */
export const isUnsendable = (error: Error): boolean =>
	unsendableCodes.has((error as NodeJS.ErrnoException).code);
