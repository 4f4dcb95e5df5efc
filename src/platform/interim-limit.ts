import {ProblemError} from '../common/index.js';

/** Limits the interim responses (status 1xx) that a target sends before its response to a request. */
export type InterimLimit = {
	/**
	 * Counts an interim response.
	 * @param controller - aborts the request once there are too many
	 */
	record(controller: {abort(reason: Error): void}): void;
};

const maxInterimResponses = 32;

export function createInterimLimit(): InterimLimit {
	let count = 0;
	return {
		record(controller) {
			count++;
			if (count > maxInterimResponses) {
				controller.abort(
					new ProblemError(
						'too-large',
						`more than ${maxInterimResponses} interim responses`,
					),
				);
			}
		},
	};
}
