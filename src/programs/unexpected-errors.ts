import type {Logger} from '../adapters/system/index.js';
import {toProblem} from '../common/index.js';

/**
 * Logs an error that no other code handled. It must not throw, since its callers carry on after the
 * error, and the process goes on.
 */
export type UnexpectedErrorLog = (error: unknown) => void;

export function createUnexpectedErrorLog(logger: Logger): UnexpectedErrorLog {
	return (error) => {
		const problem = toProblem(error);
		logger.error('unexpected error', {
			detail: problem.message,
			stack: problem.stack,
		});
	};
}
