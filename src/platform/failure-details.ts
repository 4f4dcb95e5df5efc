import {
	ProblemError,
	type ResponseDefect,
	type SendFailure,
} from '../common/index.js';
import {hasTimedOut} from './connection-timeout.js';
import {UndefinedStatusError} from './defined-status.js';

function defectOf(error: Error): ResponseDefect | undefined {
	if (error instanceof UndefinedStatusError) {
		return 'undefined-status';
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
