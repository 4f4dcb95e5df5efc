import {ProblemError, type ResponseDefect} from '../common/index.js';
import {UndefinedStatusError} from './defined-status.js';

/** @returns what is wrong with a response that was broken off with this error, if it is the response */
export function defectOf(error: Error): ResponseDefect | undefined {
	if (error instanceof UndefinedStatusError) {
		return 'undefined-status';
	}

	return error instanceof ProblemError && error.type === 'too-large'
		? 'too-large'
		: undefined;
}
