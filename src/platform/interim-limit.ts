import {ProblemError} from '../common/index.js';

/** Limits the interim responses (status 1xx) that a target sends before its response to a request. */
export type InterimLimit = {
	/** Counts an interim response. @returns the error with which the request fails; undefined within the limit */
	record(): ProblemError | undefined;
};

const maxInterimResponses = 32;

export function createInterimLimit(): InterimLimit {
	let count = 0;
	return {
		record() {
			count++;
			return count > maxInterimResponses
				? new ProblemError(
						'too-large',
						`more than ${maxInterimResponses} interim responses`,
					)
				: undefined;
		},
	};
}
