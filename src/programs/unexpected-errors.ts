import type {Logger} from '../adapters/system/index.js';
import {toProblem} from '../common/index.js';

/** Logs an error that nothing expects; it must end neither the process nor what comes after it. */
export type UnexpectedErrorLog = (error: unknown) => void;

/** Creates the log of unexpected errors. */
export function createUnexpectedErrorLog(logger: Logger): UnexpectedErrorLog {
	return (error) => {
		const problem = toProblem(error);
		logger.error('unexpected error', {
			detail: problem.message,
			stack: problem.stack,
		});
	};
}
